"""The leader's side of replication: what each follower has, what it is sent next, and what is committed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from .configuration import Member
from .core import ReplicaCore
from .messages import Append, AppendReply, Entry, EntryKind, Heartbeat, SnapshotChunk, SnapshotReply

MAX_APPEND_ENTRIES = 256
MAX_APPEND_BYTES = 128 * 1024
MAX_APPENDS_UNDER_WAY = 32
SNAPSHOT_CHUNK_BYTES = 256 * 1024
COMMIT_PAUSE_S = 0.02  # between messages to one follower that only tell it a higher commit index


class Mode(Enum):
    """PROBE: one append at a time until it is known what the follower has. PIPELINE: appends without waiting."""

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """What a leader knows of another replica."""

    member: Member
    next: int
    heard_at: float  # when anything last came from it
    steady_since: float  # since when it has been heard without a long pause
    match: int = 0
    stamp: float = float("-inf")  # the newest stamp that it has repeated
    willing: bool = True
    mode: Mode = Mode.PROBE
    under_way: int = 0
    sent_at: float = float("-inf")
    snapshot_index: int = 0
    snapshot_offset: int = 0
    commit_told: int = 0  # the highest commit index that it was sent
    commit_told_at: float = float("-inf")


class Replication:
    """Sends the log to voters and learners and moves the commit index."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self.progress: dict[int, Progress] = {}
        self.learners: dict[int, Member] = {}
        self.term_start_index = 0
        self._heartbeat_due = 0.0
        self.last_broadcast = float("-inf")

    def start(self) -> None:
        """Begins a term of leadership by an entry that repeats the configuration; it commits what came before."""
        core = self._core
        self.progress, self.learners = {}, {}
        self.term_start_index = core.log.last_index + 1
        self.append(EntryKind.CONFIGURATION, core.configuration.to_bytes())
        self.broadcast_heartbeat()

    def append(self, kind: EntryKind, data: bytes) -> int:
        index = self._core.log.append(Entry(self._core.term, kind, data))
        if kind == EntryKind.CONFIGURATION:
            self.follow_members()
        return index

    def follow_members(self) -> None:
        """Keeps a progress for each voter and learner, and for nobody else."""
        core = self._core
        members = {**self.learners, **core.configuration.members()}
        for member_id, member in members.items():
            if member_id != core.id and member_id not in self.progress:
                self.progress[member_id] = Progress(member, core.log.last_index, core.now, core.now)
        for member_id in [known for known in self.progress if known not in members]:
            del self.progress[member_id]

    def tick(self) -> None:
        core = self._core
        if core.now >= self._heartbeat_due:
            self.broadcast_heartbeat()
        for progress in self.progress.values():
            waiting = progress.under_way and core.now - progress.sent_at > core.timing.resend_s
            if waiting:
                progress.mode, progress.under_way, progress.next = Mode.PROBE, 0, progress.match + 1

    def broadcast_heartbeat(self) -> None:
        """Heartbeats fall on multiples of their interval, so those of several groups travel together."""
        core = self._core
        self._heartbeat_due = (core.now // core.timing.heartbeat_s + 1) * core.timing.heartbeat_s
        stamp, quorum_age = core.stamp(), core.now - core.quorum_known_at
        self.last_broadcast = stamp
        for member_id, progress in self.progress.items():
            self._send_heartbeat(member_id, progress, stamp, quorum_age)

    def send_commits(self) -> None:
        """Tells followers what they may apply now, so that a change need not wait for the next heartbeat."""
        core = self._core
        for member_id, progress in self.progress.items():
            is_news = min(core.commit_index, progress.match) > progress.commit_told
            if is_news and core.now - progress.commit_told_at >= COMMIT_PAUSE_S:
                self._send_heartbeat(member_id, progress, core.stamp(), core.now - core.quorum_known_at)

    def _send_heartbeat(self, member_id: int, progress: Progress, stamp: float, quorum_age: float) -> None:
        core = self._core
        progress.commit_told, progress.commit_told_at = min(core.commit_index, progress.match), core.now
        core.send(member_id, Heartbeat(core.term, progress.commit_told, stamp, quorum_age))

    def send_entries(self) -> None:
        """Sends to each replica what it lacks, as far as its mode allows."""
        for member_id, progress in self.progress.items():
            while self._may_send(progress):
                self._send_next(member_id, progress)

    def accepted(self, member_id: int, reply: AppendReply) -> None:
        progress = self.progress[member_id]
        progress.under_way = max(0, progress.under_way - 1)
        if reply.accepted:
            progress.match = max(progress.match, reply.index)
            progress.next = max(progress.next, progress.match + 1)
            progress.mode = Mode.PIPELINE
            self.advance_commit()
        elif progress.mode is not Mode.SNAPSHOT:
            progress.next = max(progress.match + 1, min(reply.index, progress.next - 1))
            progress.mode, progress.under_way = Mode.PROBE, 0

    def chunk_arrived(self, member_id: int, reply: SnapshotReply) -> None:
        progress = self.progress[member_id]
        if progress.mode is Mode.SNAPSHOT and reply.index == progress.snapshot_index:
            progress.under_way, progress.snapshot_offset = 0, reply.offset

    def advance_commit(self) -> None:
        core = self._core
        index = int(core.configuration.majority_value(self._match))
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_index = index

    def quorum_stamp(self) -> float:
        """The newest stamp that a majority has repeated."""
        return self._core.configuration.majority_value(self._stamp)

    def voters_by_match(self) -> Iterator[tuple[int, Progress]]:
        """Other voters that were heard within the silence limit, the furthest first."""
        core = self._core
        ids = [member.id for member in core.configuration.voters if member.id in self.progress]
        for member_id in sorted(ids, key=lambda voter: -self.progress[voter].match):
            if core.now - self.progress[member_id].heard_at < core.timing.voter_silence_s:
                yield member_id, self.progress[member_id]

    def _match(self, member_id: int) -> int:
        return self._core.log.stable_index if member_id == self._core.id else self.progress[member_id].match

    def _stamp(self, member_id: int) -> float:
        return self._core.stamp() if member_id == self._core.id else self.progress[member_id].stamp

    def _may_send(self, progress: Progress) -> bool:
        if progress.mode is not Mode.PIPELINE:
            return not progress.under_way and (
                progress.mode is Mode.SNAPSHOT or progress.next <= self._core.log.last_index or not progress.match
            )
        return progress.next <= self._core.log.last_index and progress.under_way < MAX_APPENDS_UNDER_WAY

    def _send_next(self, member_id: int, progress: Progress) -> None:
        core = self._core
        progress.under_way += 1
        progress.sent_at = core.now
        previous = progress.next - 1
        previous_term = core.log.term_at(previous)
        if previous_term is None or progress.mode is Mode.SNAPSHOT:
            self._send_chunk(member_id, progress)
            return
        entries = core.log.slice(progress.next, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
        core.send(member_id, Append(core.term, previous, previous_term, entries, core.commit_index, core.stamp()))
        if progress.mode is Mode.PIPELINE:
            progress.next += len(entries)

    def _send_chunk(self, member_id: int, progress: Progress) -> None:
        core, snapshot = self._core, self._core.log.snapshot
        if progress.mode is not Mode.SNAPSHOT or progress.snapshot_index != snapshot.index:
            progress.mode, progress.snapshot_index, progress.snapshot_offset = Mode.SNAPSHOT, snapshot.index, 0
        offset = progress.snapshot_offset
        core.send(member_id, SnapshotChunk(
            core.term, snapshot.index, snapshot.term, snapshot.configuration.to_bytes(), offset, len(snapshot.data),
            snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES], core.stamp(),
        ))
