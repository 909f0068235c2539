"""The tokens of a tenant's quota that a request has taken, until it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..control_plane.quota_client import Taken


class Quotas(Protocol):
    """What is used of `control_plane.quota_client.QuotaClient`; both calls may wait for a short time."""

    def take(self, tenant: str, tokens: float) -> Taken: ...
    def renew(self, tenant: str, taken: Taken) -> Taken: ...


class QuotaTicket:
    """Tokens count when a request reaches its server, so they are renewed where it is sent much later."""

    __slots__ = ("_quotas", "_tenant", "_taken")

    def __init__(self, quotas: Quotas, tenant: str, tokens: float) -> None:
        self._quotas = quotas
        self._tenant = tenant
        self._taken = quotas.take(tenant, tokens)

    @property
    def is_valid(self) -> bool:
        """Whether the request may be sent, as far as was known last."""
        return self._taken.allowed

    @property
    def retry_after_s(self) -> float:
        """When a refused client should come back."""
        return self._taken.retry_after_s

    def renew(self) -> bool:
        """Whether the request may be sent now."""
        self._taken = self._quotas.renew(self._tenant, self._taken)
        return self._taken.allowed
