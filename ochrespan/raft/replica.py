"""One replica of one group: Raft with pre-vote, check-quorum, learners and confirmed reads, without any I/O.

The caller passes the time and received messages in, and takes messages to send, changes to write and committed entries
to apply out. One write is under way at a time; `persisted` ends it.
"""

from __future__ import annotations

import random
import sys
from typing import Any

from ochrespan.common.addresses import Address

from .election import Election
from .follower import Follower
from .leader import LeaderReplication
from .leadership_transfer import LeadershipTransfer
from .log import Snapshot
from .membership_config import Member, MembershipConfig
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    Heartbeat,
    HeartbeatResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from .reconfiguration import Reconfiguration
from .state import PersistentState, PersistentUpdate, ReplicaState, Role, Timing

# a read doesn't begin another round of heartbeats sooner than this after one without an answer
READ_HEARTBEAT_INTERVAL_S = 0.02
MEMBERS_WAIT_S = 0.6
RETAINED_ENTRIES = 500  # entries kept behind a snapshot, so that followers who lag a little need no snapshot
RETAINED_BYTES = 1024 * 1024
MAX_TRANSFER_RETAINED_BYTES = 16 * 1024 * 1024  # the same behind an image that is being sent to a follower


class Replica:
    def __init__(
        self,
        group: int,
        replica_id: int,
        durable: PersistentState,
        source: random.Random,
        timing: Timing,
        min_voters: int,
        now: float,
    ) -> None:
        self.state = ReplicaState(group, replica_id, timing, durable, source)
        self.state.now = now
        self.state.on_step_down = self._stepped_down
        self.replication = LeaderReplication(self.state)
        self.reconfiguration = Reconfiguration(self.state, self.replication, min_voters)
        self._election = Election(self.state, self._elected)
        self._follower = Follower(self.state)
        self._reads: list[tuple[float, int, Any]] = []  # stamp, index that has to be applied, token
        self.failed_reads: list[Any] = []
        self._lease_from = float("-inf")
        self._leadership_transfer = LeadershipTransfer(self.state, self.replication)
        self.state.set_first_deadline()

    # What the caller asks

    @property
    def is_leader(self) -> bool:
        """Leader whose own term's first entry is committed: its state holds all that was ever acknowledged.

        Not once another was told to campaign: that one is elected however lately a majority was heard here.
        """
        state = self.state
        has_begun = state.role is Role.LEADER and state.commit_index >= self.replication.term_start_index
        return has_begun and not self._leadership_transfer.is_given_away

    @property
    def leader(self) -> Member | None:
        return self.state.configuration.members().get(self.state.leader_id)

    @property
    def accepts_proposals(self) -> bool:
        return self.state.role is Role.LEADER and not self.is_transferring_leadership and not self._awaits_members

    @property
    def _awaits_members(self) -> bool:
        """Before its first command a group waits a while until it bears as many losses as it has to.

        What a majority of a group that is too small, or on its way to another, has acknowledged could go with them.
        """
        state = self.state
        if state.log.has_commands or state.now - (state.leader_since or state.now) >= MEMBERS_WAIT_S:
            return False
        return not self.reconfiguration.is_whole()

    @property
    def failures_tolerated(self) -> int | None:
        """How many more voters may be lost now while the others can decide; None where this replica doesn't lead."""
        return self.reconfiguration.failures_tolerated() if self.is_leader else None

    @property
    def is_transferring_leadership(self) -> bool:
        return self._leadership_transfer.under_way

    def seconds_since_quorum(self, now: float) -> float:
        """Seconds since this replica knew that the group has a majority."""
        return now - self.state.last_quorum_at

    def lease_age_s(self, now: float) -> float:
        """Seconds since a majority answered this leader over connections that have not ended; infinite for others.

        While it is shorter than the shortest election time-out, no other leader can have been elected.
        """
        return now - self._lease_from if self.is_leader else float("inf")

    # Events

    def bootstrap(self, now: float, configuration: MembershipConfig) -> None:
        """The group begins with these members, in place of a founding that has no entry here."""
        state = self.state
        state.now = now
        state.install(Snapshot(0, 0, configuration, b""))
        state.restored = None
        state.set_bootstrap_deadline()
        self.tick(now)

    def tick(self, now: float) -> None:
        self.state.now = now
        if self.state.role is Role.LEADER:
            self._lead()
        self._election.tick()
        self._deliver_own()

    def receive(self, now: float, sender: int, message: Message) -> None:
        self.state.now = now
        match message:
            case RequestVote():
                self._election.answer(sender, message)
            case RequestVoteResponse():
                self._election.count(sender, message)
            case TimeoutNow():
                self._election.campaign_now(message)
            case AppendEntries() | Heartbeat() | InstallSnapshot():
                self._from_leader(sender, message)
            case AppendEntriesResponse() | HeartbeatResponse() | InstallSnapshotResponse():
                self._from_follower(sender, message)
        self._deliver_own()

    def propose(self, now: float, command: bytes) -> tuple[int, int] | None:
        """Index and term of the new entry; None where this replica doesn't lead."""
        self.state.now = now
        if not self.accepts_proposals:
            return None
        return self.replication.append(EntryKind.COMMAND, command), self.state.term

    def read(self, now: float, token: Any) -> bool:
        """Asks for a confirmed read; the token comes out of `take_reads` or of `failed_reads`."""
        self.state.now = now
        if not self.is_leader:
            return False
        self._reads.append((self.state.stamp(), self.state.commit_index, token))
        return True

    def join(self, now: float, member: Member) -> None:
        self.state.now = now
        if self.state.role is Role.LEADER:
            self.reconfiguration.join(member)

    def peer_disconnected(self, now: float, address: Address) -> None:
        """The connections with a process have ended: its replica may elect another leader sooner than by silence.

        What it answered before is no sign of a majority any more.
        """
        state = self.state
        state.now = now
        leader = self.leader
        if leader is not None and leader.id != state.id and leader.address == address:
            state.suspect_leader()
        if state.role is Role.LEADER:
            self.replication.discard_acknowledgements(address)
            self._lease_from = self.replication.quorum_stamp()

    def leave(self, now: float, member_id: int) -> None:
        """A voter announces its planned end: a spare should take its place."""
        self.state.now = now
        self.reconfiguration.leave(member_id)

    def transfer_leadership(self, now: float, target: int = 0) -> None:
        """Begins to hand leadership to `target`, or to the voter that has most of the log."""
        self.state.now = now
        if self.state.role is Role.LEADER:
            self._leadership_transfer.begin(target)

    def withhold_votes(self, now: float, withholding_votes: bool) -> None:
        """The disk doesn't keep up, or does again: while it doesn't, this replica neither leads nor wants to."""
        self.state.withholding_votes = withholding_votes
        if withholding_votes:
            self.transfer_leadership(now)
        else:
            self._leadership_transfer.forget()

    def compact(self, data: bytes) -> None:
        """The state machine's state as applied now takes the place of the entries before it."""
        state = self.state
        index, term = state.applied_index, state.log.term_at(state.applied_index)
        if index > state.log.snapshot.index and term is not None:
            snapshot = Snapshot(index, term, state.log.configuration_at(index), data)
            state.log.compact(
                snapshot,
                RETAINED_ENTRIES,
                RETAINED_BYTES,
                self.replication.retained_from(),
                MAX_TRANSFER_RETAINED_BYTES,
            )

    def full_update(self) -> PersistentUpdate:
        """All that a disk needs to know of this replica."""
        state, log = self.state, self.state.log
        first = log.snapshot.index + 1
        entries = log.slice(first, log.last_index, sys.maxsize)
        return PersistentUpdate(state.group, state.term, state.vote, log.snapshot, first, entries)

    # Output

    def take_messages(self, receiving: set[Address] | None = None) -> list[tuple[int, Message]]:
        """`receiving`: processes that other groups of this one send an image to; this group's are added."""
        if self.state.role is Role.LEADER:
            self._flush(set() if receiving is None else receiving)
        messages, self.state.outbox = self.state.outbox, []
        return messages

    def take_update(self) -> PersistentUpdate | None:
        return self.state.take_update()

    def persisted(self, now: float) -> None:
        self.state.now = now
        self.state.persisted()
        if self.state.role is Role.LEADER:
            self.replication.advance_commit()
        self._deliver_own()

    def take_restored(self) -> Snapshot | None:
        restored, self.state.restored = self.state.restored, None
        return restored

    def take_committed(self) -> list[tuple[int, Entry]]:
        """Committed entries that the state machine hasn't got, in order."""
        state = self.state
        first = state.applied_index + 1
        committed = [(index, state.log.entry(index)) for index in range(first, state.commit_index + 1)]
        state.applied_index = max(state.applied_index, state.commit_index)
        return committed

    def take_reads(self) -> list[Any]:
        """Tokens of reads that a majority has confirmed and whose state is applied."""
        if not self._reads:
            return []
        confirmed = self.replication.quorum_stamp()
        ready, waiting = [], []
        for read in self._reads:
            stamp, index, token = read
            if stamp <= confirmed and index <= self.state.applied_index:
                ready.append(token)
            else:
                waiting.append(read)
        self._reads = waiting
        return ready

    # Inside

    def _lead(self) -> None:
        state, timing = self.state, self.state.timing
        self._note_quorum()
        if state.now - max(state.last_quorum_at, state.leader_since or 0.0) > timing.election_max_s:
            state.become_follower(state.term, leader_id=0)
            return
        removed = not state.is_voter and state.commit_index >= state.log.configuration_index
        if (removed or state.withholding_votes) and not self.is_transferring_leadership:
            if self._leadership_transfer.tried:
                state.become_follower(state.term, leader_id=0)
                return
            self._leadership_transfer.begin()
        if self.is_transferring_leadership:
            self._leadership_transfer.drive()
        else:
            self.reconfiguration.tick()
        self.replication.tick()

    def _note_quorum(self) -> None:
        """When a majority last answered."""
        stamp = self.replication.quorum_stamp()
        self._lease_from = max(self._lease_from, stamp)
        self.state.last_quorum_at = max(self.state.last_quorum_at, stamp)

    def _flush(self, receiving: set[Address]) -> None:
        replication = self.replication
        if self._reads and self._reads[-1][0] > replication.last_broadcast:
            answered = replication.quorum_stamp() >= replication.last_broadcast
            if answered or self.state.now - replication.last_broadcast > READ_HEARTBEAT_INTERVAL_S:
                replication.broadcast_heartbeat()
        replication.send_entries(receiving)
        replication.send_commits()

    def _from_leader(self, sender: int, message: AppendEntries | Heartbeat | InstallSnapshot) -> None:
        state = self.state
        if message.term < state.term:
            state.send(sender, HeartbeatResponse(state.term, message.stamp, not state.withholding_votes))
            return
        if message.term > state.term or state.role is not Role.FOLLOWER:
            state.become_follower(message.term, sender)
        state.leader_id, state.last_leader_contact_at = sender, state.now
        state.reset_election_deadline()
        match message:
            case AppendEntries():
                self._follower.append(sender, message)
            case Heartbeat():
                self._follower.heartbeat(sender, message)
            case InstallSnapshot():
                self._follower.chunk(sender, message)

    def _from_follower(
        self, sender: int, message: AppendEntriesResponse | HeartbeatResponse | InstallSnapshotResponse
    ) -> None:
        state = self.state
        if message.term > state.term:
            state.become_follower(message.term, leader_id=0)
            return
        progress = self.replication.progress.get(sender)
        if state.role is not Role.LEADER or message.term < state.term or progress is None:
            return
        if state.now - progress.last_contact_at > state.timing.election_min_s:
            progress.stable_since = state.now
            self.replication.returned(progress)
        progress.last_contact_at = state.now
        progress.stamp = max(progress.stamp, message.stamp)
        self._note_quorum()
        match message:
            case AppendEntriesResponse():
                self.replication.accepted(sender, message)
                self._leadership_transfer.drive()
            case InstallSnapshotResponse():
                self.replication.chunk_arrived(sender, message)
            case HeartbeatResponse():
                progress.eligible = message.eligible

    def _elected(self) -> None:
        state = self.state
        state.role, state.leader_id, state.leader_since = Role.LEADER, state.id, state.now
        self._lease_from = float("-inf")
        self._leadership_transfer.reset()
        self.replication.start()

    def _stepped_down(self) -> None:
        self.failed_reads += [token for _, _, token in self._reads]
        self._reads = []
        self._leadership_transfer.reset()

    def _deliver_own(self) -> None:
        """A candidate's vote for itself counts when it has become durable."""
        own = [message for to, message in self.state.outbox if to == self.state.id]
        if own:
            self.state.outbox = [pair for pair in self.state.outbox if pair[0] != self.state.id]
            for message in own:
                self._election.count(self.state.id, message)
