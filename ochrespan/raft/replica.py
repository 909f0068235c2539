"""One replica of one group: Raft with pre-vote, check-quorum, learners and confirmed reads, without any I/O.

The caller passes the time and received messages in, and takes messages to send, changes to write and committed entries
to apply out. One write is under way at a time; `written` ends it.
"""

from __future__ import annotations

import random
import sys
from typing import Any

from ochrespan.common.addresses import Address

from .election import Election
from .follower import Following
from .leader import Replication
from .leadership_transfer import HandOver
from .log import Snapshot
from .membership_config import Configuration, Member
from .messages import (
    Append,
    AppendReply,
    CampaignNow,
    Entry,
    EntryKind,
    Heartbeat,
    HeartbeatReply,
    Message,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from .reconfiguration import Reconfiguration
from .state import DurableChange, DurableState, ReplicaCore, Role, Timing

READ_ROUND_S = 0.02  # a read doesn't begin another round of heartbeats sooner than this after one without an answer
MEMBERS_PATIENCE_S = 0.6
KEPT_ENTRIES = 500  # entries kept behind a snapshot, so that followers who lag a little need no snapshot
KEPT_BYTES = 1024 * 1024
HELD_BYTES = 16 * 1024 * 1024  # the same behind an image that is being sent to a follower


class Replica:
    def __init__(
        self,
        group: int,
        replica_id: int,
        durable: DurableState,
        source: random.Random,
        timing: Timing,
        smallest: int,
        now: float,
    ) -> None:
        self.core = ReplicaCore(group, replica_id, timing, durable, source)
        self.core.now = now
        self.core.on_step_down = self._stepped_down
        self.replication = Replication(self.core)
        self.reconfiguration = Reconfiguration(self.core, self.replication, smallest)
        self._election = Election(self.core, self._elected)
        self._following = Following(self.core)
        self._reads: list[tuple[float, int, Any]] = []  # stamp, index that has to be applied, token
        self.failed_reads: list[Any] = []
        self._lease_from = float("-inf")
        self._hand_over = HandOver(self.core, self.replication)
        self.core.set_first_deadline()

    # What the caller asks

    @property
    def is_leader(self) -> bool:
        """Leader whose own term's first entry is committed: its state holds all that was ever acknowledged.

        Not once another was told to campaign: that one is elected however lately a majority was heard here.
        """
        core = self.core
        has_begun = core.role is Role.LEADER and core.commit_index >= self.replication.term_start_index
        return has_begun and not self._hand_over.is_given_away

    @property
    def leader(self) -> Member | None:
        return self.core.configuration.members().get(self.core.leader_id)

    @property
    def takes_proposals(self) -> bool:
        return self.core.role is Role.LEADER and not self.handing_over and not self._awaits_members

    @property
    def _awaits_members(self) -> bool:
        """Before its first command a group waits a while until it bears as many losses as it has to.

        What a majority of a group that is too small, or on its way to another, has acknowledged could go with them.
        """
        core = self.core
        if core.log.has_commands or core.now - (core.leader_since or core.now) >= MEMBERS_PATIENCE_S:
            return False
        return not self.reconfiguration.is_whole()

    @property
    def bearable_losses(self) -> int | None:
        """How many more voters may be lost now while the others can decide; None where this replica doesn't lead."""
        return self.reconfiguration.bearable_losses() if self.is_leader else None

    @property
    def handing_over(self) -> bool:
        return self._hand_over.under_way

    def quorum_age(self, now: float) -> float:
        """Seconds since this replica knew that the group has a majority."""
        return now - self.core.quorum_known_at

    def lease_age(self, now: float) -> float:
        """Seconds since a majority answered this leader over connections that have not ended; infinite for others.

        While it is shorter than the shortest election time-out, no other leader can have been elected.
        """
        return now - self._lease_from if self.is_leader else float("inf")

    # Events

    def found(self, now: float, configuration: Configuration) -> None:
        """The group begins with these members, in place of a founding that has no entry here."""
        core = self.core
        core.now = now
        core.install(Snapshot(0, 0, configuration, b""))
        core.restored = None
        core.set_founding_deadline()
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
            case VoteRequest():
                self._election.answer(sender, message)
            case VoteReply():
                self._election.count(sender, message)
            case CampaignNow():
                self._election.campaign_now(message)
            case Append() | Heartbeat() | SnapshotChunk():
                self._from_leader(sender, message)
            case AppendReply() | HeartbeatReply() | SnapshotReply():
                self._from_follower(sender, message)
        self._deliver_own()

    def propose(self, now: float, command: bytes) -> tuple[int, int] | None:
        """Index and term of the new entry; None where this replica doesn't lead."""
        self.core.now = now
        if not self.takes_proposals:
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

    def peer_lost(self, now: float, address: Address) -> None:
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

    def hand_over(self, now: float, target: int = 0) -> None:
        """Begins to hand leadership to `target`, or to the voter that has most of the log."""
        self.core.now = now
        if self.core.role is Role.LEADER:
            self._hand_over.begin(target)

    def abstain(self, now: float, abstaining: bool) -> None:
        """The disk doesn't keep up, or does again: while it doesn't, this replica neither leads nor wants to."""
        self.core.abstaining = abstaining
        if abstaining:
            self.hand_over(now)
        else:
            self._hand_over.forget()

    def compact(self, data: bytes) -> None:
        """The state machine's state as applied now takes the place of the entries before it."""
        core = self.core
        index, term = core.applied_index, core.log.term_at(core.applied_index)
        if index > core.log.snapshot.index and term is not None:
            snapshot = Snapshot(index, term, core.log.configuration_at(index), data)
            core.log.compact(snapshot, KEPT_ENTRIES, KEPT_BYTES, self.replication.held_from(), HELD_BYTES)

    def image(self) -> DurableChange:
        """All that a disk needs to know of this replica."""
        core, log = self.core, self.core.log
        first = log.snapshot.index + 1
        entries = log.slice(first, log.last_index, sys.maxsize)
        return DurableChange(core.group, core.term, core.vote, log.snapshot, first, entries)

    # Output

    def take_messages(self, receiving: set[Address] | None = None) -> list[tuple[int, Message]]:
        """`receiving`: processes that other groups of this one send an image to; this group's are added."""
        if self.core.role is Role.LEADER:
            self._flush(set() if receiving is None else receiving)
        messages, self.core.outbox = self.core.outbox, []
        return messages

    def take_change(self) -> DurableChange | None:
        return self.core.take_change()

    def written(self, now: float) -> None:
        self.core.now = now
        self.core.written()
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
        if core.now - max(core.quorum_known_at, core.leader_since or 0.0) > timing.election_max_s:
            core.become_follower(core.term, leader_id=0)
            return
        removed = not core.is_voter and core.commit_index >= core.log.configuration_index
        if (removed or core.abstaining) and not self.handing_over:
            if self._hand_over.tried:
                core.become_follower(core.term, leader_id=0)
                return
            self._hand_over.begin()
        if self.handing_over:
            self._hand_over.drive()
        else:
            self.reconfiguration.tick()
        self.replication.tick()

    def _note_quorum(self) -> None:
        """When a majority last answered."""
        stamp = self.replication.quorum_stamp()
        self._lease_from = max(self._lease_from, stamp)
        self.core.quorum_known_at = max(self.core.quorum_known_at, stamp)

    def _flush(self, receiving: set[Address]) -> None:
        replication = self.replication
        if self._reads and self._reads[-1][0] > replication.last_broadcast:
            answered = replication.quorum_stamp() >= replication.last_broadcast
            if answered or self.core.now - replication.last_broadcast > READ_ROUND_S:
                replication.broadcast_heartbeat()
        replication.send_entries(receiving)
        replication.send_commits()

    def _from_leader(self, sender: int, message: Append | Heartbeat | SnapshotChunk) -> None:
        core = self.core
        if message.term < core.term:
            core.send(sender, HeartbeatReply(core.term, message.stamp, not core.abstaining))
            return
        if message.term > core.term or core.role is not Role.FOLLOWER:
            core.become_follower(message.term, sender)
        core.leader_id, core.leader_heard_at = sender, core.now
        core.reset_election_deadline()
        match message:
            case Append():
                self._following.append(sender, message)
            case Heartbeat():
                self._following.heartbeat(sender, message)
            case SnapshotChunk():
                self._following.chunk(sender, message)

    def _from_follower(self, sender: int, message: AppendReply | HeartbeatReply | SnapshotReply) -> None:
        core = self.core
        if message.term > core.term:
            core.become_follower(message.term, leader_id=0)
            return
        progress = self.replication.progress.get(sender)
        if core.role is not Role.LEADER or message.term < core.term or progress is None:
            return
        if core.now - progress.heard_at > core.timing.election_min_s:
            progress.steady_since = core.now
            self.replication.returned(progress)
        progress.heard_at = core.now
        progress.stamp = max(progress.stamp, message.stamp)
        self._note_quorum()
        match message:
            case AppendReply():
                self.replication.accepted(sender, message)
                self._hand_over.drive()
            case SnapshotReply():
                self.replication.chunk_arrived(sender, message)
            case HeartbeatReply():
                progress.willing = message.willing

    def _elected(self) -> None:
        core = self.core
        core.role, core.leader_id, core.leader_since = Role.LEADER, core.id, core.now
        self._lease_from = float("-inf")
        self._hand_over.reset()
        self.replication.start()

    def _stepped_down(self) -> None:
        self.failed_reads += [token for _, _, token in self._reads]
        self._reads = []
        self._hand_over.reset()

    def _deliver_own(self) -> None:
        """A candidate's vote for itself counts when it has become durable."""
        own = [message for to, message in self.core.outbox if to == self.core.id]
        if own:
            self.core.outbox = [pair for pair in self.core.outbox if pair[0] != self.core.id]
            for message in own:
                self._election.count(self.core.id, message)
