"""The owner of a service's prefix placements: the leader of the shard that the service's name belongs to.

Consistent hashing would need no messages, but would distribute a few dozen long prefixes unevenly over a few instances.
The owner balances the prefixes by their tokens, responds at once, and replicates the placements in batches afterwards.
The loss of a placement that was not yet replicated costs one prefill of the prefix.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

import gevent

from ochrespan.control_plane.owner_calls import NotOwnerResponse
from ochrespan.control_plane.registry.prefix_placements import AssignPrefixes, PrefixPlacements
from ochrespan.control_plane.registry.records import InstanceState
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication.errors import NotLeaderError, OutcomeUnknownError
from ochrespan.control_plane.replication.groups import ReplicaGroups
from ochrespan.control_plane.shards import shard_of
from ochrespan.transport.codec import encode
from ochrespan.transport.rpc import RpcServer

from .messages import PrefixPlacement, PrefixPlacementRequest

log = logging.getLogger(__name__)


BATCH_INTERVAL_S = 0.1  # from the first placement of a batch to the proposal of the batch
REPLICATION_TIMEOUT_S = 3.0


class PrefixPlacementOwner:
    """Places prefixes for the services whose shards this process leads.

    Args:
        groups: The Raft groups of this process.
        instances: The state machine of each shard of instances.
        schedule: Calls a function with the given arguments after `BATCH_INTERVAL_S`.
    """

    def __init__(
        self,
        groups: ReplicaGroups,
        instances: Mapping[int, InstanceStateMachine],
        schedule: Callable[..., object] = lambda call, *given: gevent.spawn_later(BATCH_INTERVAL_S, call, *given),
    ) -> None:
        self._groups = groups
        self._instances = instances
        self._schedule = schedule
        self._unreplicated: dict[str, PrefixPlacements] = {}  # by service: not yet known to be applied
        self._batches: dict[str, list[tuple[str, str, float]]] = {}  # by service: prefix, instance and tokens of each

    def register(self, rpc_server: RpcServer) -> None:
        """Serves the requests of routers."""
        rpc_server.on_request(PrefixPlacementRequest, self.assign)

    def leadership_changed(self, shard: int, is_leader: bool) -> None:  # noqa: ARG002 - all owners have the same hook
        """To be called when this process gains or loses the leadership of a shard; drops unreplicated placements."""
        for service in [each for each in self._unreplicated if shard_of(each) == shard]:
            del self._unreplicated[service]
            self._batches.pop(service, None)

    def assign(self, request: PrefixPlacementRequest) -> PrefixPlacement | NotOwnerResponse:
        """Returns the known placement of a prefix, or places it on the ready instance with the fewest placed tokens.

        Names the leader if this process does not lead the service's shard.
        """
        service = request.service
        shard = shard_of(service)
        if not self._groups.is_leader(shard):
            leader = self._groups.leader(shard)
            return NotOwnerResponse(*leader) if leader is not None else NotOwnerResponse()
        machine = self._instances[shard]
        unreplicated = self._unreplicated.setdefault(service, PrefixPlacements())
        known = unreplicated.instance_of(service, request.prefix) or machine.placements.instance_of(
            service, request.prefix
        )
        ready = [
            record.id
            for record in machine.records.values()
            if record.backend == service and record.state == InstanceState.READY and record.id != request.unusable
        ]
        if known in ready:
            return PrefixPlacement(known)
        if not ready:
            return PrefixPlacement("")
        instance = min(ready, key=lambda name: (machine.placements.tokens(name) + unreplicated.tokens(name), name))
        self._assign(service, (request.prefix, instance, request.tokens))
        return PrefixPlacement(instance, is_new=True)

    def _assign(self, service: str, entry: tuple[str, str, float]) -> None:
        self._unreplicated[service].assign(AssignPrefixes(service, [entry]))
        if service not in self._batches:
            self._batches[service] = []
            self._schedule(self._replicate, service)
        self._batches[service].append(entry)

    def _replicate(self, service: str) -> None:
        """Proposes the batch of a service; if that fails, only this process knows its placements."""
        entries = self._batches.pop(service, [])
        if not entries:
            return
        try:
            self._groups.propose(shard_of(service), encode(AssignPrefixes(service, entries)), REPLICATION_TIMEOUT_S)
        except (NotLeaderError, OutcomeUnknownError) as error:
            log.info("placements not replicated service=%s count=%d error=%r", service, len(entries), str(error))
            return
        # A change of leadership during the proposal drops the unreplicated placements of the service.
        if (unreplicated := self._unreplicated.get(service)) is not None:
            unreplicated.forget(service, [prefix for prefix, _, _ in entries])
