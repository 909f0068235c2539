"""The messages between routers and the owners of tenants."""

from __future__ import annotations

from dataclasses import dataclass

from ochrespan.transport.codec import message


@message("quota.ask")
@dataclass(slots=True)
class GrantRequest:
    """A router asks for tokens of a tenant: those `needed` for a request that waits, and some `ahead`."""

    tenant: str
    router: str
    needed: float
    ahead: float
    left_over: float = 0.0  # earlier grants of the same owner and epoch that expired unspent
    epoch: int = 0


@message("quota.grant")
@dataclass(slots=True)
class Grant:
    """Tokens to be spent within GRANT_LIFETIME_S; none where the tenant is at its limit."""

    tokens: float
    retry_after_s: float
    epoch: int  # names the owner's time of ownership
    owner_age_s: float = 0.0  # for how long it has been the owner
