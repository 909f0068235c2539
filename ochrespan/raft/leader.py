"""The leader's side of replication: what each follower has, what it is sent next, and what is committed.

Flow control follows etcd's Raft: a follower is probed with one message at a time until its log is known to match, then
gets a pipeline of appends bounded by count and bytes, or a snapshot where the log doesn't reach back far enough.
"""

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
MAX_BYTES_IN_FLIGHT = 64 * 1024  # of appends; a follower gets more only once its link and disk have processed these
SNAPSHOT_CHUNK_BYTES = 32 * 1024
MAX_CHUNKS_IN_FLIGHT = 2  # heartbeats and votes queue behind them, for 0.1 s at 5 Mbit/s
MIN_LINK_BYTES_PER_S = 125_000  # a message counts as lost only when a link of this rate would have carried it
MAX_RESEND_S = 5.0
MAX_RESEND_DOUBLINGS = 10
COMMIT_NOTICE_INTERVAL_S = 0.02  # between messages to one follower that carry only a higher commit index


class ProgressMode(Enum):
    """How a follower is sent what it lacks.

    PROBE: one append at a time until it is known what the follower has. PIPELINE: appends without waiting for
    responses. SNAPSHOT: chunks of a snapshot.
    """

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """What a leader knows of another replica."""

    member: Member
    next_index: int
    last_contact_at: float  # when the last message of the replica arrived
    stable_since: float  # since when the replica has been in contact without a long gap
    match_index: int = 0
    stamp: float = float("-inf")  # the newest stamp that the replica has repeated (see `messages`)
    eligible: bool = True
    mode: ProgressMode = ProgressMode.PROBE
    in_flight: int = 0  # appends or chunks without a response
    bytes_in_flight: int = 0
    sent_at: float = float("-inf")
    sent_stamp: float = float("-inf")
    resends: int = 0  # in a row, without anything being acknowledged
    snapshot: Snapshot | None = None  # in transfer to the replica, sent completely even if there is a newer one
    snapshot_offset: int = 0  # bytes of the snapshot that have arrived
    snapshot_sent: int = 0
    commit_index_sent: int = 0  # the highest commit index that was sent to the replica
    commit_index_sent_at: float = float("-inf")

    def resend(self) -> None:
        """Counts the messages in flight as lost and continues from the last acknowledged position."""
        self.in_flight = 0
        self.bytes_in_flight = 0
        if self.mode is ProgressMode.SNAPSHOT:
            self.snapshot_sent = self.snapshot_offset
            return
        self.mode = ProgressMode.PROBE
        if self.match_index:
            self.next_index = self.match_index + 1

    def begin_transfer(self, snapshot: Snapshot) -> None:
        """Starts to transfer a snapshot, since the log no longer has the entries that the follower needs next."""
        self.mode = ProgressMode.SNAPSHOT
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self.snapshot_sent = 0
        self.in_flight = 0
        self.bytes_in_flight = 0

    def resend_after(self, resend_s: float) -> float:
        """Seconds without a response after which messages in flight count as lost; doubled by each resend in a row."""
        transmission_s = self.bytes_in_flight / MIN_LINK_BYTES_PER_S
        return min(MAX_RESEND_S, resend_s * 2.0 ** min(self.resends, MAX_RESEND_DOUBLINGS)) + transmission_s


class LeaderReplication:
    """Sends the log to voters and learners and moves the commit index."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self.progress: dict[int, Progress] = {}
        self.learners: dict[int, Member] = {}
        self.term_start_index = 0
        self.last_broadcast_stamp = float("-inf")
        self._heartbeat_due = 0.0

    def start(self) -> None:
        """Begins a term of leadership by an entry that repeats the configuration; its commit covers earlier ones."""
        state = self._state
        self.progress = {}
        self.learners = {}
        self.term_start_index = state.log.last_index + 1
        self.append(EntryKind.CONFIGURATION, state.configuration.to_bytes())
        self.broadcast_heartbeat()

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Adds an entry of the current term to the log and returns its index."""
        index = self._state.log.append(Entry(self._state.term, kind, data))
        if kind == EntryKind.CONFIGURATION:
            self.sync_progress()
        return index

    def sync_progress(self) -> None:
        """Creates missing `Progress` records of voters and learners, and removes those of other replicas."""
        state = self._state
        members = {**self.learners, **state.configuration.members()}
        for member_id, member in members.items():
            if member_id != state.id and member_id not in self.progress:
                self.progress[member_id] = Progress(member, state.log.last_index, state.now, state.now)
        for member_id in [known for known in self.progress if known not in members]:
            del self.progress[member_id]

    def tick(self) -> None:
        """Sends heartbeats that are due, and resends messages that have had no response for too long."""
        state = self._state
        if state.now >= self._heartbeat_due:
            self.broadcast_heartbeat()
        for progress in self.progress.values():
            waited_s = state.now - progress.sent_at
            if progress.in_flight and waited_s > progress.resend_after(state.timing.resend_s):
                progress.resends += 1
                progress.resend()

    def resume(self, progress: Progress) -> None:
        """Resends after a gap in the contact with a follower: all messages in flight to it count as lost."""
        progress.resends = 0
        progress.resend()

    def discard_acknowledgements(self, address: Address) -> None:
        """Called when the connections with a process have ended: it counts towards a quorum again once it responds."""
        for progress in self.progress.values():
            if progress.member.address == address:
                progress.stamp = float("-inf")

    def transfer_index(self) -> int | None:
        """Index of the oldest snapshot in transfer, whose receivers need the entries after it; None without one."""
        indexes = [progress.snapshot.index for progress in self.progress.values() if progress.snapshot is not None]
        return min(indexes, default=None)

    def broadcast_heartbeat(self) -> None:
        """Sends heartbeats, on multiples of their interval, so that those of several groups share an envelope."""
        state = self._state
        self._heartbeat_due = (state.now // state.timing.heartbeat_s + 1) * state.timing.heartbeat_s
        stamp = state.stamp()
        seconds_since_quorum = state.now - state.last_quorum_at
        self.last_broadcast_stamp = stamp
        for member_id, progress in self.progress.items():
            self._send_heartbeat(member_id, progress, stamp, seconds_since_quorum)

    def send_commit_index(self) -> None:
        """Sends a higher commit index to followers, so that a command need not wait for the next periodic heartbeat."""
        state = self._state
        for member_id, progress in self.progress.items():
            has_advanced = min(state.commit_index, progress.match_index) > progress.commit_index_sent
            if has_advanced and state.now - progress.commit_index_sent_at >= COMMIT_NOTICE_INTERVAL_S:
                self._send_heartbeat(member_id, progress, state.stamp(), state.now - state.last_quorum_at)

    def _send_heartbeat(self, member_id: int, progress: Progress, stamp: float, seconds_since_quorum: float) -> None:
        """Bounds the commit index by the match index: later entries in the follower's log may be different ones."""
        state = self._state
        progress.commit_index_sent = min(state.commit_index, progress.match_index)
        progress.commit_index_sent_at = state.now
        state.send(member_id, Heartbeat(state.term, progress.commit_index_sent, stamp, seconds_since_quorum))

    def send_entries(self, snapshot_receivers: set[Address]) -> None:
        """Sends to each replica what it lacks, as far as its mode allows.

        Args:
            snapshot_receivers: Processes to which other groups transfer a snapshot: one group at a time does, so that a
                link isn't filled by several. Those to which this group transfers one are added.
        """
        for member_id, progress in self.progress.items():
            while self._may_send(progress):
                if self._needs_snapshot(progress):
                    if progress.member.address in snapshot_receivers:
                        break
                    self._send_chunk(member_id, progress)
                else:
                    self._send_append(member_id, progress)
            if progress.mode is ProgressMode.SNAPSHOT and self._is_alive(progress):
                snapshot_receivers.add(progress.member.address)

    def handle_append_response(self, member_id: int, response: AppendEntriesResponse) -> None:
        """Moves a follower's match index, or probes further back where its log differs.

        A rejection during a snapshot transfer belongs to an append from before it and is ignored.
        """
        progress = self.progress[member_id]
        if progress.in_flight:
            progress.bytes_in_flight -= progress.bytes_in_flight // progress.in_flight
            progress.in_flight -= 1
        if response.accepted:
            progress.resends = 0
            progress.match_index = max(progress.match_index, response.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.mode = ProgressMode.PIPELINE
            progress.snapshot = None
            self.advance_commit()
        elif progress.mode is not ProgressMode.SNAPSHOT:
            progress.next_index = max(progress.match_index + 1, min(response.index, progress.next_index - 1))
            progress.mode = ProgressMode.PROBE
            progress.in_flight = 0
            progress.bytes_in_flight = 0

    def handle_snapshot_response(self, member_id: int, response: InstallSnapshotResponse) -> None:
        """Records how much of a snapshot has arrived.

        A response without progress means a gap where it repeats the newest stamp: a chunk before that one was lost.
        With an older stamp it may have been overtaken by what was sent since, so it is ignored.
        """
        progress = self.progress[member_id]
        snapshot = progress.snapshot
        if progress.mode is not ProgressMode.SNAPSHOT or snapshot is None or response.index != snapshot.index:
            return
        arrived = response.offset - progress.snapshot_offset
        if arrived > 0:
            progress.bytes_in_flight = max(0, progress.bytes_in_flight - arrived)
            progress.in_flight = max(0, progress.in_flight - 1)
            progress.snapshot_offset = response.offset
            progress.resends = 0
            progress.snapshot_sent = max(progress.snapshot_sent, response.offset)
        elif response.stamp == progress.sent_stamp:
            progress.snapshot_offset = response.offset
            progress.resend()

    def advance_commit(self) -> None:
        """Commits what a majority has persisted, from this term's first entry on (section 3.6.2 of the thesis)."""
        state = self._state
        index = int(state.configuration.majority_value(self._match_index))
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index

    def quorum_stamp(self) -> float:
        """The newest stamp that a majority has repeated."""
        return self._state.configuration.majority_value(self._stamp)

    def voters_by_match_index(self) -> Iterator[tuple[int, Progress]]:
        """Other voters in contact within the voter time-out, the highest match index first."""
        state = self._state
        ids = [member.id for member in state.configuration.voters if member.id in self.progress]
        for member_id in sorted(ids, key=lambda voter: -self.progress[voter].match_index):
            progress = self.progress[member_id]
            if state.now - progress.last_contact_at < state.timing.voter_timeout_s:
                yield member_id, progress

    def _match_index(self, member_id: int) -> int:
        """What a voter has persisted; this replica's own entries count as any other's, once they are on its disk."""
        return self._state.log.persisted_index if member_id == self._state.id else self.progress[member_id].match_index

    def _stamp(self, member_id: int) -> float:
        return self._state.stamp() if member_id == self._state.id else self.progress[member_id].stamp

    def _may_send(self, progress: Progress) -> bool:
        last_index = self._state.log.last_index
        match progress.mode:
            case ProgressMode.SNAPSHOT:
                assert progress.snapshot is not None
                all_sent = progress.snapshot_sent >= len(progress.snapshot.data)
                return progress.in_flight < MAX_CHUNKS_IN_FLIGHT and not (all_sent and progress.in_flight)
            case ProgressMode.PROBE:
                return not progress.in_flight and (progress.next_index <= last_index or not progress.match_index)
            case _:
                has_headroom = progress.bytes_in_flight < MAX_BYTES_IN_FLIGHT
                return progress.next_index <= last_index and has_headroom and progress.in_flight < MAX_APPENDS_IN_FLIGHT

    def _is_alive(self, progress: Progress) -> bool:
        """Whether the receiver is in contact: a voter whose disk is gone must not block the next id at its address."""
        return self._state.now - progress.last_contact_at < self._state.timing.election_min_s

    def _needs_snapshot(self, progress: Progress) -> bool:
        """Whether a snapshot has to be sent first, since the log doesn't reach back far enough."""
        return progress.mode is ProgressMode.SNAPSHOT or self._state.log.term_at(progress.next_index - 1) is None

    def _send_append(self, member_id: int, progress: Progress) -> None:
        state = self._state
        previous = progress.next_index - 1
        previous_term = state.log.term_at(previous)
        assert previous_term is not None  # else a snapshot would be sent
        entries = state.log.slice(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
        stamp = self._record_sent(progress, sum(len(entry.data) for entry in entries))
        state.send(member_id, AppendEntries(state.term, previous, previous_term, entries, state.commit_index, stamp))
        if progress.mode is ProgressMode.PIPELINE:
            progress.next_index += len(entries)

    def _send_chunk(self, member_id: int, progress: Progress) -> None:
        """Sends the next chunk, or the last one again if all were sent and none is in flight."""
        state = self._state
        if progress.mode is not ProgressMode.SNAPSHOT:
            progress.begin_transfer(state.log.snapshot)
        snapshot = progress.snapshot
        assert snapshot is not None
        size = len(snapshot.data)
        offset = progress.snapshot_sent if progress.snapshot_sent < size else max(0, size - SNAPSHOT_CHUNK_BYTES)
        chunk = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        progress.snapshot_sent = offset + len(chunk)
        stamp = self._record_sent(progress, len(chunk))
        state.send(
            member_id,
            InstallSnapshot(
                term=state.term,
                index=snapshot.index,
                index_term=snapshot.term,
                configuration=snapshot.configuration.to_bytes(),
                offset=offset,
                size=size,
                data=chunk,
                stamp=stamp,
            ),
        )

    def _record_sent(self, progress: Progress, size: int) -> float:
        """Counts a message of `size` bytes as in flight; returns a new stamp to send with it."""
        progress.in_flight += 1
        progress.bytes_in_flight += size
        progress.sent_at = self._state.now
        progress.sent_stamp = self._state.stamp()
        return progress.sent_stamp
