"""The messages of the change feed, from a controller to routers and between controllers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ochrespan.control_plane.config.configuration import SECTIONS, ConfigurationChange, SectionChange
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.records import record_fields, record_from_fields
from ochrespan.transport import compact
from ochrespan.transport.codec import message

FRESHNESS_INTERVAL_S = 0.5


@message("feed.subscribe")
@dataclass(slots=True)
class Subscribe:
    """A router asks for the feed from the offsets that it has, by shard."""

    node: str
    zone: str
    offsets: dict[int, int] = field(default_factory=dict)
    cluster: int = 0  # the one whose state it has; 0: none yet


@message("feed.snapshot")
@dataclass(slots=True)
class FeedSnapshot:
    """The whole state of a shard at an offset; for the configuration's shard, a change from the empty configuration."""

    shard: int
    offset: int
    body: bytes


@message("feed.delta")
@dataclass(slots=True)
class FeedDelta:
    """A change of a shard: the step from the change at `previous` to the one at `offset`."""

    shard: int
    previous: int
    offset: int
    body: bytes


@message("feed.freshness")
@dataclass(slots=True)
class Freshness:
    """How fresh the feed is, by shard; every change up to the offsets has been sent before this."""

    quorum_ages: dict[int, float]  # seconds since each shard's group was known to have a majority
    lags: dict[int, float]  # seconds for which this controller has known of changes that it has not applied
    offsets: dict[int, int]
    controllers: list[list[Any]]  # IP, port and zone of each controller that is known
    router_count: int  # 0 while it is not known
    router_rank: int  # of the receiver, among the routers in the order of their names
    leaders: dict[int, list[Any]] = field(default_factory=dict)  # IP and port of each shard's leader, if known
    cluster: int = 0  # the founding that the controller belongs to; 0: none, or an earlier version


@message("feed.presence")
@dataclass(slots=True)
class Presence:
    """A controller tells another of itself, of the routers that read its feed, and of what it has applied."""

    ip: str
    port: int
    zone: str
    routers: list[str]
    offsets: dict[int, int] = field(default_factory=dict)
    cluster: int = 0


def are_different_clusters(first: int, second: int) -> bool:
    """Whether two processes belong to different foundings; 0 is not known."""
    return first != second and 0 not in (first, second)


def pack_configuration_change(change: ConfigurationChange) -> bytes:
    """The body of a message for the configuration's shard."""
    sections = [[list(part.upserted), list(part.deleted)] for part in (getattr(change, name) for name in SECTIONS)]
    return compact.pack([change.version, sections, None if change.others is None else dict(change.others)])


def unpack_configuration_change(body: bytes) -> ConfigurationChange:
    """What `pack_configuration_change` was given."""
    version, sections, others = compact.unpack(body)
    changes = [SectionChange(tuple(upserted), tuple(deleted)) for upserted, deleted in sections]
    return ConfigurationChange(version, **dict(zip(SECTIONS, changes, strict=True)), others=others)


def pack_instances_change(change: InstancesChange) -> bytes:
    """The body of a message for a shard of instances."""
    return compact.pack([[record_fields(record) for record in change.upserted], list(change.removed)])


def unpack_instances_change(body: bytes) -> InstancesChange:
    """What `pack_instances_change` was given."""
    upserted, removed = compact.unpack(body)
    return InstancesChange(tuple(record_from_fields(each) for each in upserted), tuple(removed))


def max_duration_s(spans: Mapping[int, float]) -> float:
    """The longest of the spans of all shards."""
    return max(spans.values(), default=0.0)
