"""The log of one replica in memory: a snapshot, the entries after it, and how much of it is persisted."""

from __future__ import annotations

from dataclasses import dataclass

from .membership_config import MembershipConfig
from .messages import Entry, EntryKind


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state machine's state after `index`, with the group's configuration there. Index 0 is the bootstrap."""

    index: int
    term: int
    configuration: MembershipConfig
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, MembershipConfig(), b"")


class ReplicaLog:
    """Entries from `first_index` on. A configuration is in force as soon as its entry is in the log.

    Three indexes track how much is on the disk: entries up to `persisted_index` are persisted, those up to `_write_end`
    are covered by the write in flight, and those up to `_taken_index` were handed out for writing. The last two differ
    only where entries were truncated or appended since.
    """

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: list[Entry] | None = None) -> None:
        self._load(snapshot, entries or [])

    def _load(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self._compacted_index = snapshot.index  # last index whose entry is no longer retained
        self._compacted_term = snapshot.term
        self._entries: list[Entry] = []
        self._has_commands = False
        self._marker_index: int | None = None
        self._configurations: list[tuple[int, MembershipConfig]] = [(snapshot.index, snapshot.configuration)]
        for entry in entries:
            self._push(entry)
        self.persisted_index = self.last_index
        self._write_end = self.last_index  # last index covered by the write in flight
        self._taken_index = self.last_index  # last index that was handed out for writing

    @property
    def first_index(self) -> int:
        """Index of the oldest entry that is retained."""
        return self._compacted_index + 1

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self._compacted_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self._compacted_term

    @property
    def configuration(self) -> MembershipConfig:
        """The newest configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Index of the entry that contains `configuration`."""
        return self._configurations[-1][0]

    @property
    def has_commands(self) -> bool:
        """Whether there is, or was, a command with content."""
        if not self._has_commands:
            self._has_commands = self._compacted_index > 0 or any(
                entry.kind == EntryKind.COMMAND and entry.data for entry in self._entries
            )
        return self._has_commands

    @property
    def marker_index(self) -> int | None:
        """Index of the first command without content (see `opening`); None while the log has none."""
        return self._marker_index

    def configuration_at(self, index: int) -> MembershipConfig:
        """The configuration in force after `index`."""
        return next(configuration for at, configuration in reversed(self._configurations) if at <= index)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it isn't known (compacted, or beyond the end)."""
        if index == self._compacted_index:
            return self._compacted_term
        if self._compacted_index < index <= self.last_index:
            return self._entries[index - self._compacted_index - 1].term
        return None

    def entry(self, index: int) -> Entry:
        """The entry at `index`, which has to be retained."""
        return self._entries[index - self._compacted_index - 1]

    def slice(self, first: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Entries from `first` on within both limits, but at least one if there is one."""
        chosen: list[Entry] = []
        size = 0
        offset = first - self._compacted_index - 1
        for entry in self._entries[offset : offset + max_entries]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: Entry) -> int:
        """Adds an entry at the end and returns its index."""
        self._push(entry)
        return self.last_index

    def merge(self, previous_index: int, entries: list[Entry]) -> None:
        """Adds a leader's entries: those that match are retained, and the log is truncated at the first conflict."""
        for index, entry in enumerate(entries, previous_index + 1):
            if index <= self._compacted_index:
                continue
            if index <= self.last_index:
                if self.term_at(index) == entry.term:
                    continue
                self._truncate(index)
            self._push(entry)

    def reset(self, snapshot: Snapshot) -> None:
        """Replaces everything by a snapshot, which is persisted only with the next write."""
        self._load(snapshot, [])

    def compact(
        self,
        snapshot: Snapshot,
        retained_entries: int,
        retained_bytes: int,
        *,
        transfer_index: int | None = None,
        transfer_retained_bytes: int = 0,
    ) -> None:
        """Replaces entries up to `snapshot.index` by it, but retains the newest for followers that lag a little.

        Args:
            snapshot: The state after an applied index.
            retained_entries: Number of entries before `snapshot.index` to retain.
            retained_bytes: Limit of their size.
            transfer_index: Index of the oldest snapshot that is being transferred to a follower, which needs the
                entries after it next; None without a transfer.
            transfer_retained_bytes: Limit in place of `retained_bytes` for entries that a transfer needs.
        """
        start = min(snapshot.index, self.persisted_index)
        oldest = snapshot.index - retained_entries
        max_bytes = retained_bytes
        if transfer_index is not None and transfer_index < oldest:
            oldest = transfer_index
            max_bytes = transfer_retained_bytes
        total_bytes = 0
        while start > max(self._compacted_index, oldest):
            total_bytes += len(self.entry(start).data)
            if total_bytes > max_bytes:
                break
            start -= 1
        self._compacted_term = self.term_at(start) or 0
        del self._entries[: start - self._compacted_index]
        self._compacted_index = start
        self.snapshot = snapshot
        later = [pair for pair in self._configurations if pair[0] > start]
        self._configurations = [(start, self.configuration_at(start)), *later]

    def take_unpersisted(self) -> tuple[int, list[Entry]]:
        """The first index and the entries that no write has covered; the next `persisted` confirms them."""
        first = self._taken_index + 1
        self._taken_index = self._write_end = self.last_index
        return first, self._entries[first - self._compacted_index - 1 :]

    def has_unpersisted(self) -> bool:
        """Whether there are entries that no write has covered."""
        return self._taken_index < self.last_index

    def persisted(self) -> None:
        """Called when the write in flight is on the disk."""
        self.persisted_index = max(self.persisted_index, self._write_end)

    def _push(self, entry: Entry) -> None:
        self._entries.append(entry)
        if entry.kind == EntryKind.CONFIGURATION:
            self._configurations.append((self.last_index, MembershipConfig.from_bytes(entry.data)))
        elif not entry.data and self._marker_index is None:
            self._marker_index = self.last_index

    def _truncate(self, index: int) -> None:
        """Drops the entries from `index` on; a write in flight no longer covers these indexes."""
        del self._entries[index - self._compacted_index - 1 :]
        if self._marker_index is not None and self._marker_index >= index:
            self._marker_index = None
        while self._configurations[-1][0] >= index:
            self._configurations.pop()
        self.persisted_index = min(self.persisted_index, index - 1)
        self._write_end = min(self._write_end, index - 1)
        self._taken_index = min(self._taken_index, index - 1)
