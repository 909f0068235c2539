"""Token quotas in a simulated run: the program's `QuotaOwner` on each machine, and routers that ask all of them.

Each machine that leads a shard grants tokens of one tenant by its lease, without a round of messages. However often the
leadership changes, all machines together must grant no more than one token bucket would.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from ochrespan.common.addresses import Address
from ochrespan.control_plane.config.views import Tenant, tenant_view
from ochrespan.control_plane.quota.allocation import QuotaBounds, TokenBucket, terms_for
from ochrespan.control_plane.quota.messages import Grant, GrantRequest
from ochrespan.control_plane.quota.owner import QuotaOwner
from ochrespan.control_plane.replication.groups import ReplicaGroups
from ochrespan.control_plane.shards import CONFIG_SHARD, shard_of

if TYPE_CHECKING:
    from .node import Node
    from .world import World

RATE_PER_S = 1000.0
BOUNDS = QuotaBounds(window_s=8.0, overshoot=0.0, slack=1000.0)  # a small bucket reveals even a short overlap of owners
REQUEST_INTERVAL_S = 0.02
TOKENS_PER_REQUEST = 30.0  # 1,500 a second: above the rate, so that the buckets stay empty
ROUNDING_TOLERANCE = 1e-6


def tenant_of(shard: int) -> str:
    """The name of a tenant whose quota belongs to `shard`."""
    return next(name for number in range(1000) if shard_of(name := f"tenant-{number}") == shard)


class SimulatedGroups:
    """The part of `ReplicaGroups` that the owner of quotas uses, of one simulated process."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def lease_age_s(self, shard: int) -> float:
        """Seconds since a majority responded to this process as the leader; infinite where it does not lead."""
        return self._node.multi_raft.replicas[shard].lease_age_s(self._node.world.now)

    def leader(self, shard: int) -> Address | None:
        """Address of the shard's leader, if it is known here."""
        member = self._node.multi_raft.replicas[shard].leader
        return member.address if member else None


class SimulatedQuotaOwner:
    """The owner of quotas of one simulated process."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._led_shards: set[int] = set()
        groups = cast(ReplicaGroups, SimulatedGroups(node))
        self._owner = QuotaOwner(groups, _find_tenant, BOUNDS, clock=lambda: node.world.now)

    def follow_leadership(self) -> None:
        """Notifies the owner of the shards that this process has begun or ceased to lead."""
        for shard, replica in self._node.multi_raft.replicas.items():
            leads = replica.is_leader
            if leads != (shard in self._led_shards):
                (self._led_shards.add if leads else self._led_shards.discard)(shard)
                self._owner.leadership_changed(shard, leads)

    def grant(self, tenant: str) -> float:
        """Tokens that are granted to a router now; 0 where this process grants none."""
        response: Any = self._owner.grant(GrantRequest(tenant, "router", TOKENS_PER_REQUEST, 0.0))
        return response.tokens if isinstance(response, Grant) else 0.0


class QuotaTraffic:
    """Routers that ask every machine for tokens of one tenant per shard, and the check of the tokens granted."""

    def __init__(self, world: World) -> None:
        self._world = world
        terms = terms_for(RATE_PER_S, 0.0, BOUNDS)
        tenants = [tenant_of(shard) for shard in world.shards if shard != CONFIG_SHARD]
        # A bucket that starts full and is never overdrawn grants no more than the bound in any window.
        self._allowed = {tenant: TokenBucket(terms.rate, terms.depth, world.now, terms.depth) for tenant in tenants}
        self.granted = dict.fromkeys(tenants, 0.0)

    def begin(self, until: float) -> None:
        """Asks every REQUEST_INTERVAL_S, up to the time `until`."""
        if self._world.now >= until:
            return
        for tenant in self.granted:
            for node in self._world.running():
                self._count(tenant, node.quota.grant(tenant))
        self._world.later(REQUEST_INTERVAL_S, None, lambda: self.begin(until))

    def _count(self, tenant: str, tokens: float) -> None:
        bucket = self._allowed[tenant]
        bucket.refill(self._world.now)
        bucket.level -= tokens
        self.granted[tenant] += tokens
        if bucket.level < -ROUNDING_TOLERANCE:
            self._world.checks.quota_exceeded(tenant, -bucket.level)


def _find_tenant(name: str) -> Tenant:
    return tenant_view({"name": name, "api_keys": ["key"], "rate_per_s": RATE_PER_S, "burst": 0.0})
