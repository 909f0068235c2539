"""Encoded snapshots of the shards of a controller, for subscribers that cannot catch up from the history."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from time import monotonic

from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.config.state_machine import ConfigurationStateMachine
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.slow_start import SlowStartTimes
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication.groups import ReplicaGroups
from ochrespan.control_plane.shards import CONFIG_SHARD
from ochrespan.transport.codec import encode

from .messages import FeedSnapshot, pack_configuration_change, pack_instances_change

SNAPSHOT_CACHE_TTL_S = 1.0  # snapshots contain remaining slow-start times, which get out of date


@dataclass(frozen=True, slots=True)
class _CachedSnapshot:
    """The encoded state of a shard at an offset."""

    offset: int
    encoded_at: float
    encoded: bytes


class ShardSnapshots:
    """Encodes the state of shards; many routers that subscribe at once get the same bytes.

    Args:
        groups: The Raft groups of this process.
        configuration: The state machine of the configuration's shard.
        instances: The state machine of each shard of instances.
    """

    def __init__(
        self,
        groups: ReplicaGroups,
        configuration: ConfigurationStateMachine,
        instances: Mapping[int, InstanceStateMachine],
    ) -> None:
        self._groups = groups
        self._configuration = configuration
        self._instances = instances
        self._slow_start = SlowStartTimes()
        self._cache: dict[int, _CachedSnapshot] = {}  # by shard

    def record_change(self, change: InstancesChange) -> None:
        """Records the slow-start times of an applied change."""
        self._slow_start.record(change, monotonic())

    def encoded(self, shard: int) -> bytes:
        """The encoded `FeedSnapshot` of a shard at its applied index, cached for up to SNAPSHOT_CACHE_TTL_S."""
        offset = self._groups.applied_index(shard)
        now = monotonic()
        cached = self._cache.get(shard)
        if cached is None or cached.offset != offset or now - cached.encoded_at > SNAPSHOT_CACHE_TTL_S:
            encoded = encode(FeedSnapshot(shard, offset, self._pack(shard, now)))
            cached = self._cache[shard] = _CachedSnapshot(offset, now, encoded)
        return cached.encoded

    def _pack(self, shard: int, now: float) -> bytes:
        if shard == CONFIG_SHARD:
            return pack_configuration_change(change_to(Configuration(), self._configuration.current.document()))
        records = self._instances[shard].records.values()
        return pack_instances_change(
            InstancesChange(tuple(self._slow_start.with_remaining_time(record, now) for record in records))
        )
