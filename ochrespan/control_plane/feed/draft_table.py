"""The table that a router builds from feed messages, before it is complete and published.

Pure: the time is an argument, in seconds of a monotonic clock.
"""

from __future__ import annotations

from ochrespan.common.addresses import Address
from ochrespan.control_plane.shards import ALL_SHARDS, CONFIG_SHARD, shard_of

from .errors import FeedGapError, LogResetError
from .messages import (
    FeedDelta,
    FeedSnapshot,
    Freshness,
    unpack_configuration_change,
    unpack_instances_change,
)
from .table import (
    NO_CHANGE,
    FleetChange,
    FleetTable,
    with_configuration_change,
    with_configuration_snapshot,
    with_instances_change,
    with_instances_snapshot,
    with_router_count,
)

# If a controller that does not lag has lower offsets than the router for longer than this, its shards have another log.
# A controller that has just started may have lower offsets of the same log for a shorter time.
LOG_RESET_CONFIRM_S = 4.0


class DraftTable:
    """Applies the messages of the feed in the order of each shard's offsets.

    Attributes:
        table: The present state.
        unpublished: The changes since the table was last published.
        offsets: By shard, the offset up to which its log is applied; a shard is missing until its snapshot arrives.
        complete_since: Time at which the table first was complete; None until then.
    """

    def __init__(self) -> None:
        self.table = FleetTable()
        self.unpublished = NO_CHANGE
        self.offsets: dict[int, int] = {}
        self.complete_since: float | None = None
        self._lower_offset_since: dict[int, float] = {}  # by shard, since when controllers have had lower offsets

    def is_complete(self) -> bool:
        """Whether a configuration and the state of all shards are known."""
        return self.table.version > 0 and all(shard in self.offsets for shard in ALL_SHARDS)

    def apply_delta(self, delta: FeedDelta, now: float) -> None:
        """Applies a change, unless it is applied already.

        Raises:
            FeedGapError: An earlier change of the shard, or its snapshot, is missing.
        """
        offset = self.offsets.get(delta.shard)
        if offset is None or delta.previous > offset:
            raise FeedGapError(delta.shard, delta.previous, offset)
        if delta.offset <= offset:
            return
        if delta.shard == CONFIG_SHARD:
            table, change = with_configuration_change(self.table, unpack_configuration_change(delta.body))
        else:
            table, change = with_instances_change(self.table, unpack_instances_change(delta.body), now)
        self.offsets[delta.shard] = delta.offset
        self._replace(table, change, now)

    def apply_snapshot(self, snapshot: FeedSnapshot, now: float) -> None:
        """Replaces the state of a shard, unless the snapshot is older than the known state."""
        shard = snapshot.shard
        if snapshot.offset < self.offsets.get(shard, 0):
            return
        if shard == CONFIG_SHARD:
            table, change = with_configuration_snapshot(self.table, unpack_configuration_change(snapshot.body))
        else:
            services = [service for service in self.table.instances if shard_of(service) == shard]
            instances = unpack_instances_change(snapshot.body)
            table, change = with_instances_snapshot(self.table, instances, services, now)
        self.offsets[shard] = snapshot.offset
        self._replace(table, change, now)

    def set_router_count(self, count: int, rank: int, now: float) -> None:
        """Sets the number of live routers and this router's rank among them."""
        self._replace(*with_router_count(self.table, count, rank), now)

    def advance_offsets(self, freshness: Freshness, has_quorum: bool, controller: Address, now: float) -> None:
        """Advances to the offsets of a freshness message, up to which the controller has sent every change.

        Args:
            freshness: The message.
            has_quorum: Whether every shard's group has had a quorum recently, by the message.
            controller: The address of the controller that sent it.
            now: The present time.

        Raises:
            LogResetError: A shard has a new log. Its offset is dropped, so that the next subscription gets a
                snapshot of the shard; the old state remains in the table until then.
        """
        for shard, offset in freshness.offsets.items():
            known = self.offsets.get(shard)
            if known is None or offset >= known:
                self._lower_offset_since.pop(shard, None)
                if known is not None:
                    self.offsets[shard] = offset
            elif (
                has_quorum
                and not freshness.lags.get(shard)
                and now - self._lower_offset_since.setdefault(shard, now) > LOG_RESET_CONFIRM_S
            ):
                del self.offsets[shard]
                del self._lower_offset_since[shard]
                raise LogResetError(shard, controller)

    def _replace(self, table: FleetTable, change: FleetChange, now: float) -> None:
        self.table = table
        self.unpublished |= change
        if self.complete_since is None and self.is_complete():
            self.complete_since = now
