"""Where the shared parts of prompts are kept: decided by the owner of the service's shard, once for all routers.

A hash would do without a word between processes, but a few dozen long prefixes fall unevenly on a few servers. The
owner deals them out by their tokens. What it remembers is soft: a new owner begins anew, routers that know a prefix's
server go on with it, and a prefix that is read at two servers costs time, nothing else.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..coordination.shards import shard_of
from ..transport.rpc import CallServer
from .home_messages import Home, HomeRequest
from .instances import InstanceMachine, InstanceState
from .owners import ReplicaGroups
from .quota_messages import NotTheOwner

MOST_PREFIXES = 8192  # of one service; those asked for longest ago are forgotten


@dataclass(slots=True)
class _Homes:
    """The prefixes of one service."""

    known: OrderedDict[str, tuple[str, float]] = field(default_factory=OrderedDict)  # instance and tokens
    tokens: dict[str, float] = field(default_factory=dict)  # by instance

    def put(self, prefix: str, instance: str, tokens: float) -> None:
        self.drop(prefix)
        self.known[prefix] = (instance, tokens)
        self.tokens[instance] = self.tokens.get(instance, 0.0) + tokens
        while len(self.known) > MOST_PREFIXES:
            self.drop(next(iter(self.known)))

    def drop(self, prefix: str) -> None:
        instance, tokens = self.known.pop(prefix, ("", 0.0))
        if instance in self.tokens:
            self.tokens[instance] -= tokens

    def keep_only(self, instances: list[str]) -> None:
        self.tokens = {name: self.tokens.get(name, 0.0) for name in instances}


class HomeOwner:
    """Answers routers for the services whose shards this process leads."""

    def __init__(self, groups: ReplicaGroups, instances: Mapping[int, InstanceMachine]) -> None:
        self._groups = groups
        self._instances = instances
        self._services: dict[str, _Homes] = {}

    def register(self, call_server: CallServer) -> None:
        """Answers routers."""
        call_server.on_call(HomeRequest, self.home)

    def leadership_changed(self, shard: int, is_leader: bool) -> None:
        """To be called when this process begins or ceases to lead a shard."""
        for service in [each for each in self._services if shard_of(each) == shard]:
            del self._services[service]

    def home(self, request: HomeRequest) -> Home | NotTheOwner:
        """The instance that keeps the prefix: a known one, or the one with the fewest tokens so far."""
        shard = shard_of(request.service)
        if not self._groups.is_leader(shard):
            leader = self._groups.leader(shard)
            return NotTheOwner(*leader) if leader is not None else NotTheOwner()
        ready = self._ready(shard, request.service)
        homes = self._services.setdefault(request.service, _Homes())
        instance, _ = homes.known.get(request.prefix, ("", 0.0))
        if instance in ready and instance != request.unusable:
            homes.known.move_to_end(request.prefix)
            return Home(instance)
        candidates = [name for name in ready if name != request.unusable]
        if not candidates:
            return Home("")
        homes.keep_only(ready)
        instance = min(candidates, key=lambda name: (homes.tokens[name], name))
        homes.put(request.prefix, instance, request.tokens)
        return Home(instance)

    def _ready(self, shard: int, service: str) -> list[str]:
        records = self._instances[shard].records.values()
        return [each.id for each in records if each.backend == service and each.state == InstanceState.READY]
