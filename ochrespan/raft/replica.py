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
        self.core = ReplicaState(group, replica_id, timing, durable, source)
        self.core.now = now
        self.core.on_step_down = self._stepped_down
        self.replication = LeaderReplication(self.core)
        self.reconfiguration = Reconfiguration(self.core, self.replication, min_voters)
        self._election = Election(self.core, self._elected)
        self._follower = Follower(self.core)
        self._reads: list[tuple[float, int, Any]] = []  # stamp, index that has to be applied, token
        self.failed_reads: list[Any] = []
        self._lease_from = float("-inf")
        self._leadership_transfer = LeadershipTransfer(self.core, self.replication)
        self.core.set_first_deadline()

    # What the caller asks

    @property
    def is_leader(self) -> bool:
        """Leader whose own term's first entry is committed: its state holds all that was ever acknowledged.

        Not once another was told to campaign: that one is elected however lately a majority was heard here.
        """
        core = self.core
        has_begun = core.role is Role.LEADER and core.commit_index >= self.replication.term_start_index
        return has_begun and not self._leadership_transfer.is_given_away

    @property
    def leader(self) -> Member | None:
        return self.core.configuration.members().get(self.core.leader_id)

    @property
    def accepts_proposals(self) -> bool:
        return self.core.role is Role.LEADER and not self.is_transferring_leadership and not self._awaits_members

    @property
    def _awaits_members(self) -> bool:
        """Before its first command a group waits a while until it bears as many losses as it has to.

        What a majority of a group that is too small, or on its way to another, has acknowledged could go with them.
        """
        core = self.core
        if core.log.has_commands or core.now - (core.leader_since or core.now) >= MEMBERS_WAIT_S:
            return False
        return not self.reconfiguration.meets_fault_tolerance()

    @property
    def failures_tolerated(self) -> int | None:
        """How many more voters may be lost now while the others can decide; None where this replica doesn't lead."""
        return self.reconfiguration.failures_tolerated() if self.is_leader else None

    @property
    def is_transferring_leadership(self) -> bool:
        return self._leadership_transfer.under_way

    def seconds_since_quorum(self, now: float) -> float:
        """Seconds since this replica knew that the group has a majority."""
        return now - self.core.last_quorum_at

    def lease_age_s(self, now: float) -> float:
        """Seconds since a majority answered this leader over connections that have not ended; infinite for others.

        While it is shorter than the shortest election time-out, no other leader can have been elected.
        """
        return now - self._lease_from if self.is_leader else float("inf")

    # Events

    def found(self, now: float, configuration: MembershipConfig) -> None:
        """The group begins with these members, in place of a founding that has no entry here."""
        core = self.core
        core.now = now
        core.install(Snapshot(0, 0, configuration, b""))
        core.restored = None
        core.set_bootstrap_deadline()
        self.tick(now)

    def tick(self, now: float) -> None:
        self.core.now = now
        if self.core.role is Role.LEADER:
            self._lead()
        self._election.tick()
        self._deliver_own()

    def receive(self, now: float, sender: int, message: Message) -> None:
        self.core.now = now
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
        self.core.now = now
        if not self.accepts_proposals:
            return None
        return self.replication.append(EntryKind.COMMAND, command), self.core.term

    def read(self, now: float, token: Any) -> bool:
        """Asks for a confirmed read; the token comes out of `take_reads` or of `failed_reads`."""
        self.core.now = now
        if not self.is_leader:
            return False
        self._reads.append((self.core.stamp(), self.core.commit_index, token))
        return True

    def join(self, now: float, member: Member) -> None:
        self.core.now = now
        if self.core.role is Role.LEADER:
            self.reconfiguration.join(member)

    def peer_disconnected(self, now: float, address: Address) -> None:
        """The connections with a process have ended: its replica may elect another leader sooner than by silence.

        What it answered before is no sign of a majority any more.
        """
        core = self.core
        core.now = now
        leader = self.leader
        if leader is not None and leader.id != core.id and leader.address == address:
            core.suspect_leader()
        if core.role is Role.LEADER:
            self.replication.forget_answers(address)
            self._lease_from = self.replication.quorum_stamp()

    def leave(self, now: float, member_id: int) -> None:
        """A voter announces its planned end: a spare should take its place."""
        self.core.now = now
        self.reconfiguration.leave(member_id)

    def transfer_leadership(self, now: float, target: int = 0) -> None:
        """Begins to hand leadership to `target`, or to the voter that has most of the log."""
        self.core.now = now
        if self.core.role is Role.LEADER:
            self._leadership_transfer.begin(target)

    def withhold_votes(self, now: float, withholding_votes: bool) -> None:
        """The disk doesn't keep up, or does again: while it doesn't, this replica neither leads nor wants to."""
        self.core.withholding_votes = withholding_votes
        if withholding_votes:
            self.transfer_leadership(now)
        else:
            self._leadership_transfer.forget()

    def compact(self, data: bytes) -> None:
        """The state machine's state as applied now takes the place of the entries before it."""
        core = self.core
        index, term = core.applied_index, core.log.term_at(core.applied_index)
        if index > core.log.snapshot.index and term is not None:
            snapshot = Snapshot(index, term, core.log.configuration_at(index), data)
            core.log.compact(
                snapshot,
                RETAINED_ENTRIES,
                RETAINED_BYTES,
                self.replication.retained_from(),
                MAX_TRANSFER_RETAINED_BYTES,
            )

    def image(self) -> PersistentUpdate:
        """All that a disk needs to know of this replica."""
        core, log = self.core, self.core.log
        first = log.snapshot.index + 1
        entries = log.slice(first, log.last_index, sys.maxsize)
        return PersistentUpdate(core.group, core.term, core.vote, log.snapshot, first, entries)

    # Output

    def take_messages(self, receiving: set[Address] | None = None) -> list[tuple[int, Message]]:
        """`receiving`: processes that other groups of this one send an image to; this group's are added."""
        if self.core.role is Role.LEADER:
            self._flush(set() if receiving is None else receiving)
        messages, self.core.outbox = self.core.outbox, []
        return messages

    def take_update(self) -> PersistentUpdate | None:
        return self.core.take_update()

    def persisted(self, now: float) -> None:
        self.core.now = now
        self.core.persisted()
        if self.core.role is Role.LEADER:
            self.replication.advance_commit()
        self._deliver_own()

    def take_restored(self) -> Snapshot | None:
        restored, self.core.restored = self.core.restored, None
        return restored

    def take_committed(self) -> list[tuple[int, Entry]]:
        """Committed entries that the state machine hasn't got, in order."""
        core = self.core
        first = core.applied_index + 1
        committed = [(index, core.log.entry(index)) for index in range(first, core.commit_index + 1)]
        core.applied_index = max(core.applied_index, core.commit_index)
        return committed

    def take_reads(self) -> list[Any]:
        """Tokens of reads that a majority has confirmed and whose state is applied."""
        if not self._reads:
            return []
        confirmed = self.replication.quorum_stamp()
        ready, waiting = [], []
        for read in self._reads:
            stamp, index, token = read
            if stamp <= confirmed and index <= self.core.applied_index:
                ready.append(token)
            else:
                waiting.append(read)
        self._reads = waiting
        return ready

    # Inside

    def _lead(self) -> None:
        core, timing = self.core, self.core.timing
        self._note_quorum()
        if core.now - max(core.last_quorum_at, core.leader_since or 0.0) > timing.election_max_s:
            core.become_follower(core.term, leader_id=0)
            return
        removed = not core.is_voter and core.commit_index >= core.log.configuration_index
        if (removed or core.withholding_votes) and not self.is_transferring_leadership:
            if self._leadership_transfer.tried:
                core.become_follower(core.term, leader_id=0)
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
        self.core.last_quorum_at = max(self.core.last_quorum_at, stamp)

    def _flush(self, receiving: set[Address]) -> None:
        replication = self.replication
        if self._reads and self._reads[-1][0] > replication.last_broadcast:
            answered = replication.quorum_stamp() >= replication.last_broadcast
            if answered or self.core.now - replication.last_broadcast > READ_HEARTBEAT_INTERVAL_S:
                replication.broadcast_heartbeat()
        replication.send_entries(receiving)
        replication.send_commits()

    def _from_leader(self, sender: int, message: AppendEntries | Heartbeat | InstallSnapshot) -> None:
        core = self.core
        if message.term < core.term:
            core.send(sender, HeartbeatResponse(core.term, message.stamp, not core.withholding_votes))
            return
        if message.term > core.term or core.role is not Role.FOLLOWER:
            core.become_follower(message.term, sender)
        core.leader_id, core.last_leader_contact_at = sender, core.now
        core.reset_election_deadline()
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
        core = self.core
        if message.term > core.term:
            core.become_follower(message.term, leader_id=0)
            return
        progress = self.replication.progress.get(sender)
        if core.role is not Role.LEADER or message.term < core.term or progress is None:
            return
        if core.now - progress.last_contact_at > core.timing.election_min_s:
            progress.stable_since = core.now
            self.replication.returned(progress)
        progress.last_contact_at = core.now
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
        core = self.core
        core.role, core.leader_id, core.leader_since = Role.LEADER, core.id, core.now
        self._lease_from = float("-inf")
        self._leadership_transfer.reset()
        self.replication.start()

    def _stepped_down(self) -> None:
        self.failed_reads += [token for _, _, token in self._reads]
        self._reads = []
        self._leadership_transfer.reset()

    def _deliver_own(self) -> None:
        """A candidate's vote for itself counts when it has become durable."""
        own = [message for to, message in self.core.outbox if to == self.core.id]
        if own:
            self.core.outbox = [pair for pair in self.core.outbox if pair[0] != self.core.id]
            for message in own:
                self._election.count(self.core.id, message)
