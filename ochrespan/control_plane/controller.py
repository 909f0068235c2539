"""Everything that a controller runs on top of its replicas: the control interface, the feed and the census."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from time import monotonic
from typing import Any

import gevent

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.api.forwarding import ControlService
from ochrespan.control_plane.api.handlers import ControlApi
from ochrespan.control_plane.config.owner import ConfigurationOwner
from ochrespan.control_plane.config.state_machine import ConfigurationStateMachine
from ochrespan.control_plane.feed.live_routers import LiveRouters
from ochrespan.control_plane.feed.messages import max_duration_s
from ochrespan.control_plane.feed.presence import PresenceReporter, PresenceState
from ochrespan.control_plane.feed.server import FeedServer
from ochrespan.control_plane.feed.shard_snapshots import ShardSnapshots
from ochrespan.control_plane.prefix_placement.owner import PrefixPlacementOwner
from ochrespan.control_plane.quota.allocation import QuotaBounds
from ochrespan.control_plane.quota.owner import QuotaOwner
from ochrespan.control_plane.registry.owner import InstanceOwner
from ochrespan.control_plane.registry.records import InstanceRecord, record_fields
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication.groups import ReplicaGroups, cluster_name
from ochrespan.control_plane.replication.lag_detector import LagDetector
from ochrespan.control_plane.replication.state_machine import StateMachine
from ochrespan.observability.metrics import MetricsRegistry
from ochrespan.transport.peer_clients import PeerClients
from ochrespan.transport.rpc import RpcServer

from .shards import ALL_SHARDS, CONFIG_SHARD

READY_QUORUM_AGE_S = 1.0


class ControlState:
    """The state machines of all shards."""

    def __init__(self) -> None:
        self.configuration = ConfigurationStateMachine()
        self.instances = {shard: InstanceStateMachine() for shard in ALL_SHARDS if shard != CONFIG_SHARD}

    def records(self) -> list[InstanceRecord]:
        """The registered instances of all shards."""
        return [record for machine in self.instances.values() for record in machine.records.values()]

    @property
    def machines(self) -> dict[int, StateMachine]:
        """The machine of each shard, for the replica host."""
        return {CONFIG_SHARD: self.configuration, **self.instances}


class ControllerNode:
    """Wires the parts of a controller; the replica host calls `applied`, `restored` and `leadership_changed`."""

    def __init__(
        self,
        node: str,
        zone: str,
        address: Address,
        heartbeat_s: float,
        quota_bounds: QuotaBounds,
        groups: ReplicaGroups,
        state: ControlState,
        call_server: RpcServer,
        seeds: Callable[[], Iterable[Address]],
    ) -> None:
        self._node = node
        self._zone = zone
        self._address = address
        self._groups = groups
        self._state = state
        self._peers = PeerClients()
        self._live_routers = LiveRouters(monotonic())
        self._lag_detector = LagDetector()
        self._instance_owner = InstanceOwner(groups, state.instances, heartbeat_s)
        configuration_owner = ConfigurationOwner(groups, state.configuration)
        self.service = ControlService(groups, configuration_owner, self._instance_owner, state.instances, self._peers)
        registry = MetricsRegistry()
        self._add_gauges(registry)
        self.api = ControlApi(self.service, self.status, self.is_ready, registry)
        self._feed = FeedServer(
            groups,
            ShardSnapshots(groups, state.configuration, state.instances),
            self._live_routers,
            self._lag_detector,
            self._controllers,
        )
        self._presence = PresenceReporter(
            address,
            zone,
            PresenceState(groups, self._live_routers, self._lag_detector),
            self._peers,
            self._known_addresses,
        )
        self._seeds = seeds
        self._members: frozenset[Address] = frozenset()
        self._quota = QuotaOwner(groups, state.configuration.tenant, quota_bounds)
        self._homes = PrefixPlacementOwner(groups, state.instances)
        self._tasks: list[gevent.Greenlet] = []
        for part in (self.service, self._feed, self._presence, self._quota, self._homes):
            part.register(call_server)

    def start(self) -> None:
        """Begins the periodic work."""
        tasks = (self._instance_owner.watch, self._feed.run, self._presence.run)
        self._tasks = [gevent.spawn(task) for task in tasks]

    def stop(self) -> None:
        """Ends the periodic work."""
        gevent.killall(self._tasks, block=False)

    def applied(self, shard: int, index: int, command: bytes, result: Any) -> None:
        """A command was applied."""
        self._feed.applied(shard, index, result)

    def restored(self, shard: int) -> None:
        """A shard jumped ahead by a snapshot."""
        self._feed.restored(shard)

    def leadership_changed(self, shard: int, is_leader: bool) -> None:
        """This process began or ceased to lead a shard."""
        self._instance_owner.leadership_changed(shard, is_leader)
        self._quota.leadership_changed(shard, is_leader)
        self._homes.leadership_changed(shard, is_leader)

    def members_changed(self, routers: Iterable[str], controllers: Iterable[Address]) -> None:
        """Membership holds these processes for living."""
        self._live_routers.set_members(routers)
        self._members = frozenset(controllers)

    def is_ready(self) -> bool:
        """Whether every shard's group has a majority."""
        return (
            max_duration_s({shard: self._groups.seconds_since_quorum(shard) for shard in ALL_SHARDS})
            <= READY_QUORUM_AGE_S
        )

    def status(self) -> dict[str, Any]:
        """What the command line shows."""
        return {
            "node": self._node,
            "zone": self._zone,
            "cluster": cluster_name(self._groups.cluster()),
            "version": self._state.configuration.current.version,
            "declines_leadership_for_s": round(self._groups.declines_leadership_for(), 1),
            "shards": [self._shard_status(shard) for shard in ALL_SHARDS],
            "controllers": [
                {"address": format_address(address), "zone": zone} for address, zone in self._controllers()
            ],
            "routers": self._live_routers.routers(),
            "instances": [record_fields(record) for record in self._state.records()],
        }

    def _add_gauges(self, registry: MetricsRegistry) -> None:
        groups, by_shard = self._groups, ("shard",)
        configuration = self._state.configuration
        registry.gauge(
            "ochrespan_configuration_version", "The newest known one.", lambda: configuration.current.version
        )
        registry.gauge("ochrespan_instances", "Registered servers.", lambda: len(self._state.records()))
        registry.gauge("ochrespan_routers", "Living routers.", lambda: len(self._live_routers.routers()))
        registry.gauge(
            "ochrespan_feed_readers", "Routers that read here.", lambda: len(self._live_routers.subscribers())
        )
        registry.gauges(
            "ochrespan_shard_leads", "Whether this controller leads it.", by_shard, lambda: _each(groups.is_leader)
        )
        registry.gauges(
            "ochrespan_shard_offset", "Log index that is applied.", by_shard, lambda: _each(groups.applied_index)
        )
        registry.gauges(
            "ochrespan_shard_quorum_age_seconds", "Since a majority was heard of.", by_shard,
            lambda: _each(groups.seconds_since_quorum),
        )  # fmt: skip
        registry.gauges(
            "ochrespan_shard_bearable_losses", "Voters that may be lost now, of shards led here.", by_shard,
            lambda: _led(groups.failures_tolerated),
        )  # fmt: skip

    def _shard_status(self, shard: int) -> dict[str, Any]:
        leader = self._groups.leader(shard)
        return {
            "shard": shard,
            "leader": None if leader is None else format_address(leader),
            "leads": self._groups.is_leader(shard),
            "bearable_losses": self._groups.failures_tolerated(shard),
            "quorum_age_s": round(min(self._groups.seconds_since_quorum(shard), 1e9), 3),
            "offset": self._groups.applied_index(shard),
        }

    def _known_addresses(self) -> set[Address]:
        return self._groups.voters(CONFIG_SHARD).union(self._seeds(), self._members)

    def _controllers(self) -> list[tuple[Address, str]]:
        return [(self._address, self._zone), *self._live_routers.controllers()]


def _each(read: Callable[[int], float]) -> dict[tuple[str, ...], float]:
    """A figure of every shard, by the shard's number."""
    return {(str(shard),): read(shard) for shard in ALL_SHARDS}


def _led(read: Callable[[int], int | None]) -> dict[tuple[str, ...], float]:
    """A figure of the shards that are led here."""
    return {(str(shard),): value for shard in ALL_SHARDS if (value := read(shard)) is not None}
