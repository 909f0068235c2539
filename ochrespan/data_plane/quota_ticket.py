"""The tokens of a tenant's quota that a request has taken, until it is sent."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

from .client_connection import ClientConnection

if TYPE_CHECKING:
    from ochrespan.control_plane.quota.client import TokenReservation

ASK_INTERVAL_S = 0.05  # between two questions for a tenant, but for the first one of each request


class Quotas(Protocol):
    """What is used of `control_plane.quota.client.QuotaClient`; `take` and `renew` may wait for a short time."""

    def take(self, tenant: str, tokens: float) -> TokenReservation: ...
    def renew(self, tenant: str, reservation: TokenReservation) -> TokenReservation: ...
    def release(self, tenant: str, reservation: TokenReservation) -> None: ...


class QuotaTicket:
    """Tokens count when a request reaches its server, so they are renewed where it is sent much later."""

    __slots__ = ("asked", "tokens", "_quotas", "_tenant", "_taken")

    def __init__(self, quotas: Quotas, tenant: str, tokens: float, asked: int = 1) -> None:
        self.tokens = tokens
        self.asked = asked  # times that tokens were asked for until this ticket
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

    def release(self) -> None:
        """Gives the tokens back: the request was not sent and will not be."""
        if self._taken.allowed:
            self._quotas.release(self._tenant, self._taken)


class TicketDesk:
    """Gives tickets; where a tenant is short of tokens for a moment, its requests wait in place of coming back.

    Of the requests that wait, whichever comes first after QUERY_INTERVAL_S asks again, so they do not add up to a load
    on the tenant's owner. Their order does not matter: where there are too many, serving the oldest first would make
    all of them late.
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._asked_at: dict[str, float] = {}

    def take(self, client: ClientConnection, tenant: str, tokens: float, wait_until: float) -> QuotaTicket:
        """A ticket, valid or not; raises ClientDisconnected where the client leaves while its request waits."""
        ticket = self._ask(tenant, tokens)
        while not ticket.is_valid:
            pause = max(ticket.retry_after_s, ASK_INTERVAL_S)
            if time.monotonic() + pause > wait_until:
                break
            client.sleep(pause)
            if time.monotonic() - self._asked_at[tenant] >= ASK_INTERVAL_S:
                ticket = self._ask(tenant, tokens, ticket.asked + 1)
        return ticket

    def _ask(self, tenant: str, tokens: float, asked: int = 1) -> QuotaTicket:
        self._asked_at[tenant] = time.monotonic()
        return QuotaTicket(self._quotas, tenant, tokens, asked)
