"""Where the shared parts of prompts are kept: decided by the owner of the service's shard, once for all routers.

A hash would do without a word between processes, but a few dozen long prefixes fall unevenly on a few servers. The
owner deals them out by their tokens, answers at once, and has the placements replicated in batches behind that.
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


BATCH_S = 0.1  # placements are gathered for so long
REPLICATION_TIMEOUT_S = 3.0


class PrefixPlacementOwner:
    """Answers routers for the services whose shards this process leads."""

    def __init__(
        self,
        groups: ReplicaGroups,
        instances: Mapping[int, InstanceStateMachine],
        later: Callable[..., object] = lambda call, *given: gevent.spawn_later(BATCH_S, call, *given),
    ) -> None:
        self._groups = groups
        self._instances = instances
        self._later = later
        self._fresh: dict[str, PrefixPlacements] = {}  # by service: placements that may not be replicated yet
        self._batches: dict[str, list[tuple[str, str, float]]] = {}

    def register(self, call_server: RpcServer) -> None:
        """Answers routers."""
        call_server.on_request(PrefixPlacementRequest, self.home)

    def leadership_changed(self, shard: int, is_leader: bool) -> None:
        """To be called when this process begins or ceases to lead a shard."""
        for service in [each for each in self._fresh if shard_of(each) == shard]:
            del self._fresh[service]
            self._batches.pop(service, None)

    def home(self, request: PrefixPlacementRequest) -> PrefixPlacement | NotOwnerResponse:
        """The instance that keeps the prefix: a known one, or the one with the fewest tokens so far."""
        shard, service = shard_of(request.service), request.service
        if not self._groups.is_leader(shard):
            leader = self._groups.leader(shard)
            return NotOwnerResponse(*leader) if leader is not None else NotOwnerResponse()
        machine = self._instances[shard]
        fresh = self._fresh.setdefault(service, PrefixPlacements())
        known = fresh.of(service, request.prefix) or machine.placements.of(service, request.prefix)
        ready = [
            record.id
            for record in machine.records.values()
            if record.backend == service and record.state == InstanceState.READY and record.id != request.unusable
        ]
        if known in ready:
            return PrefixPlacement(known)
        if not ready:
            return PrefixPlacement("")
        instance = min(ready, key=lambda name: (machine.placements.tokens(name) + fresh.tokens(name), name))
        self._place(service, (request.prefix, instance, request.tokens))
        return PrefixPlacement(instance, is_new=True)

    def _place(self, service: str, entry: tuple[str, str, float]) -> None:
        self._fresh[service].assign(AssignPrefixes(service, [entry]))
        if service not in self._batches:
            self._batches[service] = []
            self._later(self._replicate, service)
        self._batches[service].append(entry)

    def _replicate(self, service: str) -> None:
        """Has the placements of the last moments replicated; those that fail are known here alone."""
        entries = self._batches.pop(service, [])
        if not entries:
            return
        try:
            self._groups.propose(shard_of(service), encode(AssignPrefixes(service, entries)), REPLICATION_TIMEOUT_S)
        except (NotLeaderError, OutcomeUnknownError) as error:
            log.info("placements not replicated service=%s count=%d error=%r", service, len(entries), str(error))
            return
        if (fresh := self._fresh.get(service)) is not None:
            fresh.forget(service, [prefix for prefix, _, _ in entries])
