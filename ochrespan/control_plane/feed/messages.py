"""The messages of the change feed, from a controller to routers and between controllers.

The names and the order of the messages' fields are part of the wire format. An offset is the index in a shard's log up
to which commands are applied.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ochrespan.control_plane.config.configuration import SECTIONS, ConfigurationChange, SectionChange
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.records import record_fields, record_from_fields
from ochrespan.transport import compact
from ochrespan.transport.codec import message

FRESHNESS_INTERVAL_S = 0.5  # between freshness messages


@message("feed.subscribe")
@dataclass(slots=True)
class Subscribe:
    """A router subscribes to the feed.

    Attributes:
        node: The router's node name.
        zone: The router's zone.
        offsets: By shard, the offset of the state that the router has; shards without one are missing.
        cluster: Id of the cluster that the state belongs to; 0 if there is none yet.
    """

    node: str
    zone: str
    offsets: dict[int, int] = field(default_factory=dict)
    cluster: int = 0


@message("feed.snapshot")
@dataclass(slots=True)
class FeedSnapshot:
    """The complete state of a shard at an offset.

    Attributes:
        shard: The shard.
        offset: The offset of the state.
        body: For the configuration shard, a packed change from the empty configuration; for other shards, a packed
            change that adds all instances.
    """

    shard: int
    offset: int
    body: bytes


@message("feed.delta")
@dataclass(slots=True)
class FeedDelta:
    """A change of a shard.

    Attributes:
        shard: The shard.
        previous: The offset of the preceding change.
        offset: The offset after this change.
        body: The packed change.
    """

    shard: int
    previous: int
    offset: int
    body: bytes


@message("feed.freshness")
@dataclass(slots=True)
class Freshness:
    """How current the feed is.

    Attributes:
        quorum_ages: By shard, seconds since its group was known to have a quorum.
        lags: By shard, seconds for which this controller has known of changes that it has not applied.
        offsets: By shard, the offset up to which every change was sent before this message.
        controllers: IP, port and zone of each known controller.
        router_count: The number of live routers; 0 while it is not known.
        router_rank: The receiver's rank among them in the order of their names.
        leaders: By shard, IP and port of its leader, where it is known.
        cluster: Id of the controller's cluster; 0 for none, or from an earlier version of the program.
    """

    quorum_ages: dict[int, float]
    lags: dict[int, float]
    offsets: dict[int, int]
    controllers: list[list[Any]]
    router_count: int
    router_rank: int
    leaders: dict[int, list[Any]] = field(default_factory=dict)
    cluster: int = 0


@message("feed.presence")
@dataclass(slots=True)
class ControllerReport:
    """A report of a controller to another one, which responds with its own.

    Attributes:
        ip: IP of the reporting controller.
        port: Port of the reporting controller.
        zone: Zone of the reporting controller.
        routers: The node names of the routers that subscribe to its feed.
        offsets: By shard, the offset up to which it has applied the log.
        cluster: Id of the cluster that it belongs to; 0 for none.
    """

    ip: str
    port: int
    zone: str
    routers: list[str]
    offsets: dict[int, int] = field(default_factory=dict)
    cluster: int = 0


def are_different_clusters(first: int, second: int) -> bool:
    """Whether two processes belong to different clusters; 0 stands for an unknown one."""
    return first != second and 0 not in (first, second)


def pack_configuration_change(change: ConfigurationChange) -> bytes:
    """Packs a change of the configuration into the body of a message."""
    changes = (getattr(change, name) for name in SECTIONS)
    sections = [[list(section.upserted), list(section.deleted)] for section in changes]
    return compact.pack([change.version, sections, None if change.others is None else dict(change.others)])


def unpack_configuration_change(body: bytes) -> ConfigurationChange:
    """The inverse of `pack_configuration_change`."""
    version, sections, others = compact.unpack(body)
    changes = [SectionChange(tuple(upserted), tuple(deleted)) for upserted, deleted in sections]
    return ConfigurationChange(version, **dict(zip(SECTIONS, changes, strict=True)), others=others)


def pack_instances_change(change: InstancesChange) -> bytes:
    """Packs a change of instances into the body of a message."""
    return compact.pack([[record_fields(record) for record in change.upserted], list(change.removed)])


def unpack_instances_change(body: bytes) -> InstancesChange:
    """The inverse of `pack_instances_change`."""
    upserted, removed = compact.unpack(body)
    return InstancesChange(tuple(record_from_fields(each) for each in upserted), tuple(removed))


def max_duration_s(durations_s: Mapping[int, float]) -> float:
    """The maximum of the durations of all shards, in seconds; 0 where there are none."""
    return max(durations_s.values(), default=0.0)
