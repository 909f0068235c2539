"""The tokens of a tenant's quota that a request has taken, until it is sent."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

from .client_connection import ClientConnection

if TYPE_CHECKING:
    from ochrespan.control_plane.quota.client import TokenReservation

REQUEST_INTERVAL_S = 0.05  # between two questions for a tenant, but for the first one of each request


class Quotas(Protocol):
    """What is used of `control_plane.quota.client.QuotaClient`; `take` and `renew` may wait for a short time."""

    def take(self, tenant: str, tokens: float) -> TokenReservation: ...
    def renew(self, tenant: str, reservation: TokenReservation) -> TokenReservation: ...
    def release(self, tenant: str, reservation: TokenReservation) -> None: ...


class QuotaReservation:
    """Tokens count when a request reaches its server, so they are renewed where it is sent much later."""

    __slots__ = ("request_count", "tokens", "_quotas", "_tenant", "_reservation")

    def __init__(self, quotas: Quotas, tenant: str, tokens: float, request_count: int = 1) -> None:
        self.tokens = tokens
        self.request_count = request_count  # times that tokens were asked for until this ticket
        self._quotas = quotas
        self._tenant = tenant
        self._reservation = quotas.take(tenant, tokens)

    @property
    def is_valid(self) -> bool:
        """Whether the request may be sent, as far as was known last."""
        return self._reservation.allowed

    @property
    def retry_after_s(self) -> float:
        """When a refused client should come back."""
        return self._reservation.retry_after_s

    def renew(self) -> bool:
        """Whether the request may be sent now."""
        self._reservation = self._quotas.renew(self._tenant, self._reservation)
        return self._reservation.allowed

    def release(self) -> None:
        """Gives the tokens back: the request was not sent and will not be."""
        if self._reservation.allowed:
            self._quotas.release(self._tenant, self._reservation)


class QuotaAdmission:
    """Gives tickets; where a tenant is short of tokens for a moment, its requests wait in place of coming back.

    Of the requests that wait, whichever comes first after QUERY_INTERVAL_S asks again, so they do not add up to a load
    on the tenant's owner. Their order does not matter: where there are too many, serving the oldest first would make
    all of them late.
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._requested_at: dict[str, float] = {}

    def take(self, client: ClientConnection, tenant: str, tokens: float, wait_until: float) -> QuotaReservation:
        """A ticket, valid or not; raises ClientGone where the client leaves while its request waits."""
        reservation = self._request_tokens(tenant, tokens)
        while not reservation.is_valid:
            delay_s = max(reservation.retry_after_s, REQUEST_INTERVAL_S)
            if time.monotonic() + delay_s > wait_until:
                break
            client.pause(delay_s)
            if time.monotonic() - self._requested_at[tenant] >= REQUEST_INTERVAL_S:
                reservation = self._request_tokens(tenant, tokens, reservation.request_count + 1)
        return reservation

    def _request_tokens(self, tenant: str, tokens: float, request_count: int = 1) -> QuotaReservation:
        self._requested_at[tenant] = time.monotonic()
        return QuotaReservation(self._quotas, tenant, tokens, request_count)
