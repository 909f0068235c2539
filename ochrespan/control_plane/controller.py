"""The components of a controller above its replicas: control interface, feed, registry, quotas and placement."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import monotonic
from typing import Any

import gevent

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.api.forwarding import ControlService
from ochrespan.control_plane.api.handlers import ControlApi
from ochrespan.control_plane.config.owner import ConfigurationOwner
from ochrespan.control_plane.feed.live_routers import LiveRouters
from ochrespan.control_plane.feed.messages import max_duration_s
from ochrespan.control_plane.feed.presence import PresenceReporter, PresenceState
from ochrespan.control_plane.feed.server import FeedServer
from ochrespan.control_plane.feed.shard_snapshots import ShardSnapshots
from ochrespan.control_plane.prefix_placement.owner import PrefixPlacementOwner
from ochrespan.control_plane.quota.allocation import QuotaBounds
from ochrespan.control_plane.quota.owner import QuotaOwner
from ochrespan.control_plane.registry.owner import InstanceOwner
from ochrespan.control_plane.registry.records import record_fields
from ochrespan.control_plane.replication.groups import ReplicaGroups, cluster_name
from ochrespan.control_plane.replication.lag_detector import LagDetector
from ochrespan.observability.metrics import MetricsRegistry
from ochrespan.transport.peer_clients import PeerClients
from ochrespan.transport.rpc import RpcServer

from .control_state import ControlState
from .controller_metrics import register_controller_metrics
from .shards import ALL_SHARDS, CONFIG_SHARD

log = logging.getLogger(__name__)

READY_QUORUM_AGE_S = 1.0  # a controller that has had no contact to a majority for longer is not ready
MAX_STATUS_AGE_S = 1e9  # stands for infinity, which JSON lacks


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Settings of a controller.

    Attributes:
        node: Node name of the controller.
        zone: Zone of the controller's machine.
        address: Address at which the other processes of the fleet reach the controller.
        heartbeat_s: Interval of the instances' heartbeats, in seconds.
        quota_bounds: How far the tokens spent may exceed a tenant's quota.
    """

    node: str
    zone: str
    address: Address
    heartbeat_s: float
    quota_bounds: QuotaBounds


@dataclass(frozen=True, slots=True)
class ControllerCollaborators:
    """The objects that a controller uses.

    Attributes:
        groups: The replicated shards.
        state: The state machines to which the replicas of this process apply commands.
        call_server: Receives the calls of routers and of other controllers.
        seeds: Returns the controllers that the current settings name.
    """

    groups: ReplicaGroups
    state: ControlState
    call_server: RpcServer
    seeds: Callable[[], Iterable[Address]]


class ControllerNode:
    """Connects the components of a controller; the replica host calls `applied`, `restored` and `leadership_changed`.

    Owns the greenlets of the periodic tasks; `stop()` ends them.

    Attributes:
        service: Passes the requests of the control interface to the leader of their shard.
        api: The control interface over HTTP.
    """

    def __init__(self, settings: ControllerSettings, collaborators: ControllerCollaborators) -> None:
        groups = collaborators.groups
        state = collaborators.state
        self._settings = settings
        self._groups = groups
        self._state = state
        self._seeds = collaborators.seeds
        self._members: frozenset[Address] = frozenset()
        self._tasks: list[gevent.Greenlet] = []
        self._peers = PeerClients()
        self._live_routers = LiveRouters(monotonic())
        self._lag_detector = LagDetector()
        self._instance_owner = InstanceOwner(groups, state.instances, settings.heartbeat_s)
        configuration_owner = ConfigurationOwner(groups, state.configuration)
        self.service = ControlService(groups, configuration_owner, self._instance_owner, state.instances, self._peers)
        registry = MetricsRegistry()
        register_controller_metrics(registry, groups, state, self._live_routers)
        self.api = ControlApi(self.service, self.status, self.is_ready, registry)
        self._feed = FeedServer(
            groups,
            ShardSnapshots(groups, state.configuration, state.instances),
            self._live_routers,
            self._lag_detector,
            self._controllers,
        )
        self._presence = PresenceReporter(
            settings.address,
            settings.zone,
            PresenceState(groups, self._live_routers, self._lag_detector),
            self._peers,
            self._known_addresses,
        )
        self._quota_owner = QuotaOwner(groups, state.configuration.tenant, settings.quota_bounds)
        self._placement_owner = PrefixPlacementOwner(groups, state.instances)
        for component in (self.service, self._feed, self._presence, self._quota_owner, self._placement_owner):
            component.register(collaborators.call_server)

    def start(self) -> None:
        """Starts the periodic tasks: expiry of instances, freshness messages and presence reports."""
        for loop in (self._instance_owner.run, self._feed.run, self._presence.run):
            task = gevent.spawn(loop)
            task.name = loop.__qualname__
            task.link_exception(_log_failed_task)
            self._tasks.append(task)

    def stop(self) -> None:
        """Ends the periodic tasks."""
        gevent.killall(self._tasks, block=False)

    def applied(self, shard: int, index: int, command: bytes, result: Any) -> None:  # noqa: ARG002 - the host's callback
        """Passes the result of an applied command to the feed; called by the replica host."""
        self._feed.applied(shard, index, result)

    def restored(self, shard: int) -> None:
        """Notifies the feed that a snapshot has replaced a shard's state; called by the replica host."""
        self._feed.restored(shard)

    def leadership_changed(self, shard: int, is_leader: bool) -> None:
        """Notifies the owners that this process has gained or lost the leadership of a shard."""
        self._instance_owner.leadership_changed(shard, is_leader)
        self._quota_owner.leadership_changed(shard, is_leader)
        self._placement_owner.leadership_changed(shard, is_leader)

    def members_changed(self, routers: Iterable[str], controllers: Iterable[Address]) -> None:
        """Sets the routers and controllers that membership finds alive."""
        self._live_routers.set_members(routers)
        self._members = frozenset(controllers)

    def is_ready(self) -> bool:
        """Whether every shard's group had a majority at most READY_QUORUM_AGE_S ago."""
        return (
            max_duration_s({shard: self._groups.seconds_since_quorum(shard) for shard in ALL_SHARDS})
            <= READY_QUORUM_AGE_S
        )

    def status(self) -> dict[str, Any]:
        """The document of `GET /api/status`."""
        return {
            "node": self._settings.node,
            "zone": self._settings.zone,
            "cluster": cluster_name(self._groups.cluster()),
            "missing_initial_members": [format_address(each) for each in self._groups.missing_initial_members()],
            "version": self._state.configuration.current.version,
            "declines_leadership_for_s": round(self._groups.declines_leadership_for(), 1),
            "shards": [self._shard_status(shard) for shard in ALL_SHARDS],
            "controllers": [
                {"address": format_address(address), "zone": zone} for address, zone in self._controllers()
            ],
            "routers": self._live_routers.routers(),
            "instances": [record_fields(record) for record in self._state.records()],
        }

    def _shard_status(self, shard: int) -> dict[str, Any]:
        leader = self._groups.leader(shard)
        return {
            "shard": shard,
            "leader": None if leader is None else format_address(leader),
            "leads": self._groups.is_leader(shard),
            "bearable_losses": self._groups.failures_tolerated(shard),
            "quorum_age_s": round(min(self._groups.seconds_since_quorum(shard), MAX_STATUS_AGE_S), 3),
            "offset": self._groups.applied_index(shard),
        }

    def _known_addresses(self) -> set[Address]:
        return self._groups.voters(CONFIG_SHARD).union(self._seeds(), self._members)

    def _controllers(self) -> list[tuple[Address, str]]:
        return [(self._settings.address, self._settings.zone), *self._live_routers.controllers()]


def _log_failed_task(task: gevent.Greenlet) -> None:
    """Logs a failed periodic task, which is not restarted; gevent prints the traceback."""
    log.error("controller task failed task=%s error=%r", task.name, task.exception)
