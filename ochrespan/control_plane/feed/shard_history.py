"""The recent changes of a shard at a controller, by which subscribers catch up without a snapshot. Pure."""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass, field

from ochrespan.control_plane.registry.change_batch import ChangeBatch

MAX_HISTORY_BYTES = 4 * 1024 * 1024
MAX_HISTORY_CHANGES = 4096


@dataclass(slots=True)
class ShardHistory:
    """The encoded `FeedDelta` messages of a shard.

    Attributes:
        start: A router at this offset or a later one can catch up by the changes alone.
        last: The offset of the latest change.
        is_restoring: Whether the state was replaced by a snapshot whose offset is not known yet.
        changes: The offset and the encoded message of each change, the oldest first.
        size: The sum of the lengths of the messages, in bytes.
        batch: Changes of instances that are not among `changes` yet.
        batch_sent_at: When the last batch was sent, in seconds of the monotonic clock.
    """

    start: int = 0
    last: int = 0
    is_restoring: bool = False
    changes: deque[tuple[int, bytes]] = field(default_factory=deque)
    size: int = 0
    batch: ChangeBatch = field(default_factory=ChangeBatch)
    batch_sent_at: float = float("-inf")

    def add(self, offset: int, encoded: bytes) -> None:
        """Appends a change; drops the oldest ones beyond MAX_HISTORY_BYTES and MAX_HISTORY_CHANGES."""
        self.changes.append((offset, encoded))
        self.size += len(encoded)
        self.last = offset
        while self.size > MAX_HISTORY_BYTES or len(self.changes) > MAX_HISTORY_CHANGES:
            self.start, dropped = self.changes.popleft()
            self.size -= len(dropped)

    def restart(self, offset: int) -> None:
        """Drops all changes: the state was replaced by a snapshot at `offset`."""
        self.changes.clear()
        self.batch.take()
        self.size = 0
        self.start = offset
        self.last = offset
        self.is_restoring = False

    def since(self, offset: int) -> list[bytes] | None:
        """The messages after `offset`; None if the changes since then are no longer stored."""
        if offset < self.start:
            return None
        first = bisect.bisect_right(self.changes, offset, key=lambda change: change[0])
        return [encoded for _, encoded in list(self.changes)[first:]]
