"""Reserves tokens of a tenant's quota for a request until it is sent."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

from .client_connection import ClientConnection

if TYPE_CHECKING:
    from ochrespan.control_plane.quota.client import TokenReservation

# between two requests for tokens of one tenant; the first one of each client request is not limited
REQUEST_INTERVAL_S = 0.05


class Quotas(Protocol):
    """The used methods of `control_plane.quota.client.QuotaClient`; `take` and `renew` may block for a short time."""

    def take(self, tenant: str, tokens: float) -> TokenReservation: ...
    def renew(self, tenant: str, reservation: TokenReservation) -> TokenReservation: ...
    def release(self, tenant: str, reservation: TokenReservation) -> None: ...


class QuotaReservation:
    """Tokens reserved for one request.

    Tokens count when the request reaches its server, so a reservation is renewed if the request is sent much later.
    """

    __slots__ = ("request_count", "tokens", "_quota_client", "_tenant", "_reservation")

    def __init__(self, quotas: Quotas, tenant: str, tokens: float, request_count: int = 1) -> None:
        self.tokens = tokens
        self.request_count = request_count  # how often tokens were requested, including this time
        self._quota_client = quotas
        self._tenant = tenant
        self._reservation = quotas.take(tenant, tokens)

    @property
    def is_valid(self) -> bool:
        """Whether the request may be sent, according to the last reply."""
        return self._reservation.allowed

    @property
    def retry_after_s(self) -> float:
        """Seconds after which a refused client should retry."""
        return self._reservation.retry_after_s

    def renew(self) -> bool:
        """Renews the reservation; returns whether the request may be sent now."""
        self._reservation = self._quota_client.renew(self._tenant, self._reservation)
        return self._reservation.allowed

    def release(self) -> None:
        """Returns the tokens of a request that will not be sent."""
        if self._reservation.allowed:
            self._quota_client.release(self._tenant, self._reservation)


class QuotaAdmission:
    """Reserves tokens; requests of a tenant that is briefly out of tokens wait here instead of being refused.

    Of the waiting requests, the first to wake after REQUEST_INTERVAL_S requests tokens again, which bounds the load on
    the controller that owns the tenant. They are not served in order: if there are too many, serving the oldest first
    would make all of them late.
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quota_client = quotas
        self._requested_at: dict[str, float] = {}

    def take(self, client: ClientConnection, tenant: str, tokens: float, wait_until: float) -> QuotaReservation:
        """Returns a reservation, valid or not; raises ClientDisconnected if the client leaves while it waits."""
        reservation = self._request_tokens(tenant, tokens)
        while not reservation.is_valid:
            delay_s = max(reservation.retry_after_s, REQUEST_INTERVAL_S)
            if time.monotonic() + delay_s > wait_until:
                break
            client.sleep(delay_s)
            if time.monotonic() - self._requested_at[tenant] >= REQUEST_INTERVAL_S:
                reservation = self._request_tokens(tenant, tokens, reservation.request_count + 1)
        return reservation

    def _request_tokens(self, tenant: str, tokens: float, request_count: int = 1) -> QuotaReservation:
        self._requested_at[tenant] = time.monotonic()
        return QuotaReservation(self._quota_client, tenant, tokens, request_count)
