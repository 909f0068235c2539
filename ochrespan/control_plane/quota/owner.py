"""The owner of a tenant's quota: the leader of the shard that the tenant's name belongs to.

The token buckets are in memory only. A new owner begins with empty buckets, as if all that its predecessor granted had
been spent. A former owner stops granting before a successor can be elected, since its leader lease expires first.
"""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Callable
from time import monotonic

from ochrespan.control_plane.config.views import Tenant
from ochrespan.control_plane.owner_calls import NotOwnerResponse
from ochrespan.control_plane.replication.groups import LEASE_DURATION_S, ReplicaGroups
from ochrespan.control_plane.shards import shard_of
from ochrespan.transport.rpc import RpcServer

from .allocation import QuotaBounds, TokenBucket, terms_for
from .messages import Grant, GrantRequest

log = logging.getLogger(__name__)


MAX_RETRY_S = 5.0


class QuotaOwner:
    """Grants tokens of the tenants whose shards this process leads.

    Args:
        groups: The Raft groups of this process.
        find_tenant: Returns the tenant of that name in the current configuration, or None.
        bounds: The quota bounds of the fleet.
        clock: Returns the present time in seconds, monotonic.
    """

    def __init__(
        self,
        groups: ReplicaGroups,
        find_tenant: Callable[[str], Tenant | None],
        bounds: QuotaBounds,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._groups = groups
        self._find_tenant = find_tenant
        self._bounds = bounds
        self._clock = clock
        self._owner_since: dict[int, float] = {}  # by shard
        self._epochs: dict[int, int] = {}  # by shard
        # A random start makes collisions unlikely between epochs of different processes or of a restarted one.
        self._next_epochs = itertools.count(random.SystemRandom().getrandbits(48))
        self._buckets: dict[str, TokenBucket] = {}  # by tenant

    def register(self, rpc_server: RpcServer) -> None:
        """Serves the requests of routers."""
        rpc_server.on_request(GrantRequest, self.grant)

    def leadership_changed(self, shard: int, is_leader: bool) -> None:
        """To be called when this process gains or loses the leadership of a shard; drops the shard's buckets."""
        for tenant in [each for each in self._buckets if shard_of(each) == shard]:
            del self._buckets[tenant]
        if is_leader:
            self._owner_since[shard] = self._clock()
            self._epochs[shard] = next(self._next_epochs)
        else:
            self._owner_since.pop(shard, None)

    def grant(self, request: GrantRequest) -> Grant | NotOwnerResponse:
        """Grants the needed tokens and some to prefetch, or none; names the owner if that is another process."""
        shard = shard_of(request.tenant)
        if not self._owns(shard):
            leader = self._groups.leader(shard)
            return NotOwnerResponse(*leader) if leader is not None else NotOwnerResponse()
        tenant = self._find_tenant(request.tenant)
        epoch = self._epochs[shard]
        now = self._clock()
        owner_age_s = now - self._owner_since[shard]
        if tenant is None:
            return Grant(0.0, MAX_RETRY_S, epoch, owner_age_s)
        bucket = self._bucket(tenant, shard, now)
        if request.epoch == epoch and request.left_over > 0:
            bucket.put_back(request.left_over)
        if not bucket.take(request.needed, now, allow_debt=True):
            log.debug(
                "tenant quota has too few tokens tenant=%s needed=%.0f available=%.0f",
                request.tenant,
                request.needed,
                bucket.level,
            )
            return Grant(0.0, min(MAX_RETRY_S, bucket.wait_for(request.needed, now)), epoch, owner_age_s)
        return Grant(request.needed + bucket.take_prefetch(request.ahead, now), 0.0, epoch, owner_age_s)

    def _owns(self, shard: int) -> bool:
        return shard in self._owner_since and self._groups.lease_age_s(shard) < LEASE_DURATION_S

    def _bucket(self, tenant: Tenant, shard: int, now: float) -> TokenBucket:
        terms = terms_for(tenant.rate_per_s, tenant.burst, self._bounds)
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            # Tokens accrue from the start of the ownership: the tenant's first request may find a full bucket.
            bucket = self._buckets[tenant.name] = TokenBucket(terms.rate, terms.depth, self._owner_since[shard])
        if (bucket.rate, bucket.depth) != (terms.rate, terms.depth):
            bucket.configure(terms.rate, terms.depth, now)
        return bucket
