"""The leader's side of replication: what each follower has, what it is sent next, and what is committed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ochrespan.common.addresses import Address

from .log import Snapshot
from .membership_config import Member
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    Heartbeat,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from .state import ReplicaState

MAX_APPEND_ENTRIES = 256
MAX_APPEND_BYTES = 32 * 1024
MAX_APPENDS_IN_FLIGHT = 32
MAX_BYTES_IN_FLIGHT = 64 * 1024  # of appends: what a follower's link and disk have taken bounds what it is sent
SNAPSHOT_CHUNK_BYTES = 32 * 1024
MAX_CHUNKS_IN_FLIGHT = 2  # heartbeats and votes travel behind them: 0.1 s at 5 Mbit/s
MIN_LINK_BYTES_PER_S = 125_000  # a message is not taken for lost before such a link has carried what is under way
MAX_RESEND_S = 5.0
COMMIT_NOTICE_INTERVAL_S = 0.02  # between messages to one follower that only tell it a higher commit index


class ProgressMode(Enum):
    """PROBE: one append at a time until it is known what the follower has. PIPELINE: appends without waiting."""

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """What a leader knows of another replica."""

    member: Member
    next_index: int
    last_contact_at: float  # when anything last came from it
    stable_since: float  # since when it has been heard without a long pause
    match_index: int = 0
    stamp: float = float("-inf")  # the newest stamp that it has repeated
    eligible: bool = True
    mode: ProgressMode = ProgressMode.PROBE
    in_flight: int = 0  # appends or chunks without an answer
    bytes_in_flight: int = 0
    sent_at: float = float("-inf")
    sent_stamp: float = float("-inf")
    resends: int = 0  # since something was last taken
    snapshot: Snapshot | None = None  # the image that is being sent, to its end, whatever is taken meanwhile
    snapshot_offset: int = 0  # bytes of it that have arrived
    snapshot_sent: int = 0
    commit_index_sent: int = 0  # the highest commit index that it was sent
    commit_index_sent_at: float = float("-inf")

    def send_again(self) -> None:
        """What is under way counts as lost."""
        self.in_flight = self.bytes_in_flight = 0
        if self.mode is ProgressMode.SNAPSHOT:
            self.snapshot_sent = self.snapshot_offset
            return
        self.mode = ProgressMode.PROBE
        if self.match_index:
            self.next_index = self.match_index + 1

    def begin_transfer(self, snapshot: Snapshot) -> None:
        """The log doesn't reach back to what the follower has: it gets an image first."""
        self.mode, self.snapshot = ProgressMode.SNAPSHOT, snapshot
        self.snapshot_offset = self.snapshot_sent = 0
        self.in_flight = self.bytes_in_flight = 0

    def resend_after(self, resend_s: float) -> float:
        """Seconds without an answer after which what is under way counts as lost; longer with each time in a row."""
        carried_s = self.bytes_in_flight / MIN_LINK_BYTES_PER_S
        return min(MAX_RESEND_S, resend_s * 2 ** min(self.resends, 10)) + carried_s


class LeaderReplication:
    """Sends the log to voters and learners and moves the commit index."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self.progress: dict[int, Progress] = {}
        self.learners: dict[int, Member] = {}
        self.term_start_index = 0
        self._heartbeat_due = 0.0
        self.last_broadcast = float("-inf")

    def start(self) -> None:
        """Begins a term of leadership by an entry that repeats the configuration; it commits what came before."""
        state = self._state
        self.progress, self.learners = {}, {}
        self.term_start_index = state.log.last_index + 1
        self.append(EntryKind.CONFIGURATION, state.configuration.to_bytes())
        self.broadcast_heartbeat()

    def append(self, kind: EntryKind, data: bytes) -> int:
        index = self._state.log.append(Entry(self._state.term, kind, data))
        if kind == EntryKind.CONFIGURATION:
            self.sync_progress()
        return index

    def sync_progress(self) -> None:
        """Keeps a progress for each voter and learner, and for nobody else."""
        state = self._state
        members = {**self.learners, **state.configuration.members()}
        for member_id, member in members.items():
            if member_id != state.id and member_id not in self.progress:
                self.progress[member_id] = Progress(member, state.log.last_index, state.now, state.now)
        for member_id in [known for known in self.progress if known not in members]:
            del self.progress[member_id]

    def tick(self) -> None:
        state = self._state
        if state.now >= self._heartbeat_due:
            self.broadcast_heartbeat()
        for progress in self.progress.values():
            waited = state.now - progress.sent_at
            if progress.in_flight and waited > progress.resend_after(state.timing.resend_s):
                progress.resends += 1
                progress.send_again()

    def returned(self, progress: Progress) -> None:
        """A follower that was silent is heard again: nothing of what it was sent meanwhile can be counted on."""
        progress.resends = 0
        progress.send_again()

    def discard_acknowledgements(self, address: Address) -> None:
        """The connections with a process have ended: it counts as heard again with its next answer."""
        for progress in self.progress.values():
            if progress.member.address == address:
                progress.stamp = float("-inf")

    def retained_from(self) -> int | None:
        """Entries behind this index are wanted by followers that are being sent an image."""
        images = [progress.snapshot.index for progress in self.progress.values() if progress.snapshot is not None]
        return min(images, default=None)

    def broadcast_heartbeat(self) -> None:
        """Heartbeats fall on multiples of their interval, so those of several groups travel together."""
        state = self._state
        self._heartbeat_due = (state.now // state.timing.heartbeat_s + 1) * state.timing.heartbeat_s
        stamp, seconds_since_quorum = state.stamp(), state.now - state.last_quorum_at
        self.last_broadcast = stamp
        for member_id, progress in self.progress.items():
            self._send_heartbeat(member_id, progress, stamp, seconds_since_quorum)

    def send_commits(self) -> None:
        """Tells followers what they may apply now, so that a change need not wait for the next heartbeat."""
        state = self._state
        for member_id, progress in self.progress.items():
            is_news = min(state.commit_index, progress.match_index) > progress.commit_index_sent
            if is_news and state.now - progress.commit_index_sent_at >= COMMIT_NOTICE_INTERVAL_S:
                self._send_heartbeat(member_id, progress, state.stamp(), state.now - state.last_quorum_at)

    def _send_heartbeat(self, member_id: int, progress: Progress, stamp: float, seconds_since_quorum: float) -> None:
        state = self._state
        progress.commit_index_sent, progress.commit_index_sent_at = (
            min(state.commit_index, progress.match_index),
            state.now,
        )
        state.send(member_id, Heartbeat(state.term, progress.commit_index_sent, stamp, seconds_since_quorum))

    def send_entries(self, receiving: set[Address]) -> None:
        """Sends to each replica what it lacks, as far as its mode allows.

        `receiving`: the processes that other groups send an image to; those that this one does are added.
        """
        for member_id, progress in self.progress.items():
            while self._may_send(progress):
                if self._needs_image(progress):
                    if progress.member.address in receiving:
                        break
                    self._send_chunk(member_id, progress)
                else:
                    self._send_append(member_id, progress)
            if progress.mode is ProgressMode.SNAPSHOT and self._is_heard(progress):
                receiving.add(progress.member.address)

    def accepted(self, member_id: int, reply: AppendEntriesResponse) -> None:
        progress = self.progress[member_id]
        if progress.in_flight:
            progress.bytes_in_flight -= progress.bytes_in_flight // progress.in_flight
            progress.in_flight -= 1
        if reply.accepted:
            progress.resends = 0
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.mode, progress.snapshot = ProgressMode.PIPELINE, None
            self.advance_commit()
        elif progress.mode is not ProgressMode.SNAPSHOT:
            progress.next_index = max(progress.match_index + 1, min(reply.index, progress.next_index - 1))
            progress.mode, progress.in_flight, progress.bytes_in_flight = ProgressMode.PROBE, 0, 0

    def chunk_arrived(self, member_id: int, reply: InstallSnapshotResponse) -> None:
        progress = self.progress[member_id]
        if (
            progress.mode is not ProgressMode.SNAPSHOT
            or progress.snapshot is None
            or reply.index != progress.snapshot.index
        ):
            return
        if reply.offset > progress.snapshot_offset:
            progress.bytes_in_flight = max(0, progress.bytes_in_flight - (reply.offset - progress.snapshot_offset))
            progress.in_flight = max(0, progress.in_flight - 1)
            progress.snapshot_offset, progress.resends = reply.offset, 0
            progress.snapshot_sent = max(progress.snapshot_sent, reply.offset)
        elif reply.stamp == progress.sent_stamp:  # behind a gap: one before it was lost
            progress.snapshot_offset = reply.offset
            progress.send_again()

    def advance_commit(self) -> None:
        state = self._state
        index = int(state.configuration.majority_value(self._match))
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index

    def quorum_stamp(self) -> float:
        """The newest stamp that a majority has repeated."""
        return self._state.configuration.majority_value(self._stamp)

    def voters_by_match(self) -> Iterator[tuple[int, Progress]]:
        """Other voters that were heard within the silence limit, the furthest first."""
        state = self._state
        ids = [member.id for member in state.configuration.voters if member.id in self.progress]
        for member_id in sorted(ids, key=lambda voter: -self.progress[voter].match_index):
            if state.now - self.progress[member_id].last_contact_at < state.timing.voter_timeout_s:
                yield member_id, self.progress[member_id]

    def _match(self, member_id: int) -> int:
        return self._state.log.persisted_index if member_id == self._state.id else self.progress[member_id].match_index

    def _stamp(self, member_id: int) -> float:
        return self._state.stamp() if member_id == self._state.id else self.progress[member_id].stamp

    def _may_send(self, progress: Progress) -> bool:
        last_index = self._state.log.last_index
        match progress.mode:
            case ProgressMode.SNAPSHOT:
                is_whole = progress.snapshot_sent >= len(progress.snapshot.data)
                return progress.in_flight < MAX_CHUNKS_IN_FLIGHT and not (is_whole and progress.in_flight)
            case ProgressMode.PROBE:
                return not progress.in_flight and (progress.next_index <= last_index or not progress.match_index)
            case _:
                has_room = progress.bytes_in_flight < MAX_BYTES_IN_FLIGHT
                return progress.next_index <= last_index and has_room and progress.in_flight < MAX_APPENDS_IN_FLIGHT

    def _is_heard(self, progress: Progress) -> bool:
        """Whether a transfer goes on: a voter whose disk is gone must not hold up the one that has its address now."""
        return self._state.now - progress.last_contact_at < self._state.timing.election_min_s

    def _needs_image(self, progress: Progress) -> bool:
        """Whether an image has to come first, since the log doesn't reach back far enough."""
        return progress.mode is ProgressMode.SNAPSHOT or self._state.log.term_at(progress.next_index - 1) is None

    def _send_append(self, member_id: int, progress: Progress) -> None:
        state, previous = self._state, progress.next_index - 1
        entries = state.log.slice(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
        stamp = self._note_sent(progress, sum(len(entry.data) for entry in entries))
        state.send(
            member_id,
            AppendEntries(
                state.term,
                previous,
                state.log.term_at(previous),
                entries,
                state.commit_index,
                stamp,
            ),
        )
        if progress.mode is ProgressMode.PIPELINE:
            progress.next_index += len(entries)

    def _send_chunk(self, member_id: int, progress: Progress) -> None:
        state = self._state
        if progress.mode is not ProgressMode.SNAPSHOT:
            progress.begin_transfer(state.log.snapshot)
        snapshot, size = progress.snapshot, len(progress.snapshot.data)
        offset = progress.snapshot_sent if progress.snapshot_sent < size else max(0, size - SNAPSHOT_CHUNK_BYTES)
        piece = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        progress.snapshot_sent = offset + len(piece)
        stamp = self._note_sent(progress, len(piece))
        state.send(
            member_id,
            InstallSnapshot(
                state.term,
                snapshot.index,
                snapshot.term,
                snapshot.configuration.to_bytes(),
                offset,
                size,
                piece,
                stamp,
            ),
        )

    def _note_sent(self, progress: Progress, size: int) -> float:
        """Counts a message as under way and gives its stamp."""
        progress.in_flight += 1
        progress.bytes_in_flight += size
        progress.sent_at, progress.sent_stamp = self._state.now, self._state.stamp()
        return progress.sent_stamp
