"""The messages between routers and the owners of tenants about token quotas.

The names and the order of the fields are part of the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass

from ochrespan.transport.codec import message


@message("quota.ask")
@dataclass(slots=True)
class GrantRequest:
    """A router requests tokens of a tenant.

    Attributes:
        tenant: The tenant's name.
        router: The node name of the router.
        needed: Tokens for a request that waits for them.
        ahead: Tokens to prefetch for requests that are expected.
        left_over: Unused tokens of earlier grants of the same owner and epoch, which go back into its bucket.
        epoch: Epoch of the latest grant that the router received; 0 before the first.
    """

    tenant: str
    router: str
    needed: float
    ahead: float
    left_over: float = 0.0
    epoch: int = 0


@message("quota.grant")
@dataclass(slots=True)
class Grant:
    """Tokens to be spent within GRANT_LIFETIME_S.

    Attributes:
        tokens: Number of tokens granted; 0 if the quota is exhausted.
        retry_after_s: Seconds until the needed tokens will have accrued.
        epoch: Identifies the owner's period of ownership.
        owner_age_s: Seconds since the granting process became the owner.
    """

    tokens: float
    retry_after_s: float
    epoch: int
    owner_age_s: float = 0.0
