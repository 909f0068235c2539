"""The log of one replica in memory: a snapshot and the entries after it, and how much of it is durable."""

from __future__ import annotations

from dataclasses import dataclass

from .membership_config import MembershipConfig
from .messages import Entry, EntryKind


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state machine's state after `index`, with the group's configuration there. Index 0 is the founding."""

    index: int
    term: int
    configuration: MembershipConfig
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, MembershipConfig(), b"")


class ReplicaLog:
    """Entries from `first_index` on. A configuration is in force as soon as its entry is in the log."""

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: list[Entry] | None = None) -> None:
        self.snapshot = snapshot
        self._start = snapshot.index  # index of the last entry that is no longer kept
        self._start_term = snapshot.term
        self._entries: list[Entry] = []
        self._has_commands = False
        self._configurations: list[tuple[int, MembershipConfig]] = [(snapshot.index, snapshot.configuration)]
        for entry in entries or []:
            self._push(entry)
        self.persisted_index = self.last_index
        self._writing_to = self.last_index  # last index covered by the write that is under way
        self._written_to = self.last_index  # last index that was handed out for writing

    @property
    def first_index(self) -> int:
        return self._start + 1

    @property
    def last_index(self) -> int:
        return self._start + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self._start_term

    @property
    def configuration(self) -> MembershipConfig:
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        return self._configurations[-1][0]

    @property
    def has_commands(self) -> bool:
        """Whether there is, or was, anything but configurations of the group."""
        if not self._has_commands:
            self._has_commands = self._start > 0 or any(entry.kind == EntryKind.COMMAND for entry in self._entries)
        return self._has_commands

    def configuration_at(self, index: int) -> MembershipConfig:
        return next(configuration for at, configuration in reversed(self._configurations) if at <= index)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it isn't known (compacted, or beyond the end)."""
        if index == self._start:
            return self._start_term
        if self._start < index <= self.last_index:
            return self._entries[index - self._start - 1].term
        return None

    def entry(self, index: int) -> Entry:
        return self._entries[index - self._start - 1]

    def slice(self, first: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Entries from `first` on, at least one if there is one."""
        chosen, size = [], 0
        at = first - self._start - 1
        for entry in self._entries[at : at + max_entries]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: Entry) -> int:
        self._push(entry)
        return self.last_index

    def merge(self, previous_index: int, entries: list[Entry]) -> None:
        """Takes a leader's entries: what conflicts is dropped, what is there stays."""
        for index, entry in enumerate(entries, previous_index + 1):
            if index <= self._start:
                continue
            if index <= self.last_index:
                if self.term_at(index) == entry.term:
                    continue
                self._truncate(index)
            self._push(entry)

    def reset(self, snapshot: Snapshot) -> None:
        """Replaces everything by a snapshot, which is durable only after the next write."""
        self.__init__(snapshot)

    def compact(
        self,
        snapshot: Snapshot,
        keep: int,
        keep_bytes: int,
        retained_from: int | None = None,
        transfer_retained_bytes: int = 0,
    ) -> None:
        """Replaces entries up to `snapshot.index` by it, except the last `keep` of them or fewer, by their size.

        Those behind `retained_from` stay too, up to `transfer_retained_bytes`.
        """
        start = min(snapshot.index, self.persisted_index)
        oldest, most_bytes = snapshot.index - keep, keep_bytes
        if retained_from is not None and retained_from < oldest:
            oldest, most_bytes = retained_from, transfer_retained_bytes
        kept_bytes = 0
        while start > max(self._start, oldest):
            kept_bytes += len(self.entry(start).data)
            if kept_bytes > most_bytes:
                break
            start -= 1
        self._start_term = self.term_at(start) or 0
        del self._entries[: start - self._start]
        self._start = start
        self.snapshot = snapshot
        kept = [pair for pair in self._configurations if pair[0] > start]
        self._configurations = [(start, self.configuration_at(start)), *kept]

    def take_unpersisted(self) -> tuple[int, list[Entry]]:
        """The first index and the entries that no write has covered; the next `persisted` is about them."""
        first = self._written_to + 1
        self._written_to = self._writing_to = self.last_index
        return first, self._entries[first - self._start - 1 :]

    def has_unpersisted(self) -> bool:
        return self._written_to < self.last_index

    def persisted(self) -> None:
        """The write that was under way is durable."""
        self.persisted_index = max(self.persisted_index, self._writing_to)

    def _push(self, entry: Entry) -> None:
        self._entries.append(entry)
        if entry.kind == EntryKind.CONFIGURATION:
            self._configurations.append((self.last_index, MembershipConfig.from_bytes(entry.data)))

    def _truncate(self, index: int) -> None:
        del self._entries[index - self._start - 1 :]
        while self._configurations[-1][0] >= index:
            self._configurations.pop()
        self.persisted_index = min(self.persisted_index, index - 1)
        self._writing_to = min(self._writing_to, index - 1)
        self._written_to = min(self._written_to, index - 1)
