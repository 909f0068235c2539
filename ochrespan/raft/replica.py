"""One replica of one group: Raft with pre-vote, check-quorum, learners and confirmed reads, without any I/O.

The caller passes the time (seconds of a steady clock) and received messages in, and takes messages to send, updates to
write and committed entries to apply out. One write is in flight at a time; `persisted` ends it.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
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
from .reads import ConfirmedReads
from .reconfiguration import Reconfiguration
from .state import PersistentState, PersistentUpdate, ReplicaSettings, ReplicaState, Role

MEMBERS_WAIT_S = 0.6  # how long a new leader of a new group waits for enough members before its first command
RETAINED_ENTRIES = 500  # before the index of a snapshot, so that followers that lag a little need no snapshot
RETAINED_BYTES = 1024 * 1024
MAX_TRANSFER_RETAINED_BYTES = 16 * 1024 * 1024  # limit in place of RETAINED_BYTES during a snapshot transfer


class Replica:
    """Routes events to the parts of a replica (election, leader, follower, reads) and collects their output."""

    def __init__(
        self, settings: ReplicaSettings, persistent: PersistentState, random_source: random.Random, now: float
    ) -> None:
        self.state = ReplicaState(settings, persistent, random_source)
        self.state.now = now
        self.state.on_step_down = self._stepped_down
        self.replication = LeaderReplication(self.state)
        self.reconfiguration = Reconfiguration(self.state, self.replication, settings.min_voters)
        self.failed_reads: list[Any] = []  # tokens of reads pending when leadership ended; emptied by the caller
        self._election = Election(self.state, self._elected)
        self._follower = Follower(self.state)
        self._reads = ConfirmedReads(self.state, self.replication)
        self._leadership_transfer = LeadershipTransfer(self.state, self.replication)
        self._lease_start = float("-inf")
        self.may_accept_commands: Callable[[], bool] | None = None  # a further condition for proposals
        self.state.set_startup_deadline()

    # Queries

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and its term's first entry is committed, so that it has every acknowledged entry.

        False for the rest of the term once TimeoutNow was sent: the successor may be elected however recently a
        majority has responded to this leader.
        """
        state = self.state
        has_started = state.role is Role.LEADER and state.commit_index >= self.replication.term_start_index
        return has_started and not self._leadership_transfer.is_successor_notified

    @property
    def leader(self) -> Member | None:
        """The group's leader as far as known here."""
        return self.state.configuration.members().get(self.state.leader_id)

    @property
    def accepts_proposals(self) -> bool:
        """Whether `propose` accepts a command now."""
        is_available = self.state.role is Role.LEADER and not self.is_transferring_leadership
        is_opened = self.may_accept_commands is None or self.may_accept_commands()
        return is_available and is_opened and not self._awaits_members

    @property
    def _awaits_members(self) -> bool:
        """Before its first command a group waits a while until it tolerates as many failures as it has to.

        In a group that is too small, or amid a change of members, the loss of the tolerated number of disks could lose
        an acknowledged entry.
        """
        state = self.state
        if state.log.has_commands or state.now - (state.leader_since or state.now) >= MEMBERS_WAIT_S:
            return False
        return not self.reconfiguration.meets_fault_tolerance()

    @property
    def failures_tolerated(self) -> int | None:
        """How many more voters may fail now while the others can decide; None where this replica doesn't lead."""
        return self.reconfiguration.failures_tolerated() if self.is_leader else None

    @property
    def is_transferring_leadership(self) -> bool:
        """Whether a transfer of leadership is in progress."""
        return self._leadership_transfer.in_progress

    def seconds_since_quorum(self, now: float) -> float:
        """Seconds since the leader is last known here to have had a majority."""
        return now - self.state.last_quorum_at

    def lease_age_s(self, now: float) -> float:
        """Seconds since a majority responded to this leader over connections that have not ended; infinite for others.

        While it is shorter than the shortest election time-out, no other leader can have been elected.
        """
        return now - self._lease_start if self.is_leader else float("inf")

    # Events

    def bootstrap(self, now: float, configuration: MembershipConfig) -> None:
        """Begins the group with these members; an earlier bootstrap, if any, has left no entry here."""
        state = self.state
        state.now = now
        state.install(Snapshot(0, 0, configuration, b""))
        state.take_restored()  # the state machine is empty already
        state.set_bootstrap_deadline()
        self.tick(now)

    def tick(self, now: float) -> None:
        """Handles the heartbeats, time-outs, elections and changes of members that are due."""
        self.state.now = now
        if self.state.role is Role.LEADER:
            self._lead()
        self._election.tick()
        self._deliver_own_votes()

    def receive(self, now: float, sender: int, message: Message) -> None:
        """Handles a message from another replica of this group."""
        self.state.now = now
        match message:
            case RequestVote():
                self._election.handle_vote_request(sender, message)
            case RequestVoteResponse():
                self._election.handle_vote_response(sender, message)
            case TimeoutNow():
                self._election.handle_timeout_now(message)
            case AppendEntries() | Heartbeat() | InstallSnapshot():
                self._from_leader(sender, message)
            case AppendEntriesResponse() | HeartbeatResponse() | InstallSnapshotResponse():
                self._from_follower(sender, message)
        self._deliver_own_votes()

    def propose(self, now: float, command: bytes) -> tuple[int, int] | None:
        """Index and term of the new entry; None where this replica doesn't accept proposals."""
        self.state.now = now
        if not self.accepts_proposals:
            return None
        return self.replication.append(EntryKind.COMMAND, command), self.state.term

    def read(self, now: float, token: Any) -> bool:
        """Begins a confirmed read; its token is returned by `take_reads` or added to `failed_reads`.

        Returns:
            False where this replica doesn't lead: nothing was begun.
        """
        self.state.now = now
        if not self.is_leader:
            return False
        self._reads.add(token)
        return True

    def join(self, now: float, member: Member) -> None:
        """Adds a replica that is no voter as a learner, at its request, if this one leads."""
        self.state.now = now
        if self.state.role is Role.LEADER:
            self.reconfiguration.join(member)

    def peer_disconnected(self, now: float, address: Address) -> None:
        """Called when the connections with a process have ended: if it led, an election may start before the time-out.

        Its earlier responses no longer count towards a leader's majority.
        """
        state = self.state
        state.now = now
        leader = self.leader
        if leader is not None and leader.id != state.id and leader.address == address:
            state.suspect_leader()
        if state.role is Role.LEADER:
            self.replication.discard_acknowledgements(address)
            self._lease_start = self.replication.quorum_stamp()

    def leave(self, now: float, member_id: int) -> None:
        """Records a voter's planned shutdown, so that a standby replaces it."""
        self.state.now = now
        self.reconfiguration.leave(member_id)

    def transfer_leadership(self, now: float, target: int = 0) -> None:
        """Begins to transfer leadership to `target`, or to the voter that has most of the log."""
        self.state.now = now
        if self.state.role is Role.LEADER:
            self._leadership_transfer.start(target)

    def withhold_votes(self, now: float, withholding_votes: bool) -> None:
        """Called when the disk cannot keep up, or can again; until then this replica neither leads nor campaigns."""
        self.state.withholding_votes = withholding_votes
        if withholding_votes:
            self.transfer_leadership(now)
        else:
            self._leadership_transfer.clear_attempt()

    def compact(self, data: bytes) -> None:
        """Replaces the entries that are applied by the state machine's state after them."""
        state = self.state
        index = state.applied_index
        term = state.log.term_at(index)
        if index > state.log.snapshot.index and term is not None:
            state.log.compact(
                Snapshot(index, term, state.log.configuration_at(index), data),
                RETAINED_ENTRIES,
                RETAINED_BYTES,
                transfer_index=self.replication.transfer_index(),
                transfer_retained_bytes=MAX_TRANSFER_RETAINED_BYTES,
            )

    def full_update(self) -> PersistentUpdate:
        """The complete durable state of this replica, for a checkpoint."""
        state = self.state
        log = state.log
        first = log.snapshot.index + 1
        entries = log.slice(first, log.last_index, sys.maxsize)
        return PersistentUpdate(state.group, state.term, state.vote, log.snapshot, first, entries)

    # Output

    def take_messages(self, snapshot_receivers: set[Address] | None = None) -> list[tuple[int, Message]]:
        """Messages to send, each with its receiver's replica id.

        Args:
            snapshot_receivers: Processes to which other groups of this process transfer a snapshot; this group's are
                added.
        """
        if self.state.role is Role.LEADER:
            self._reads.request_confirmation()
            self.replication.send_entries(set() if snapshot_receivers is None else snapshot_receivers)
            self.replication.send_commit_index()
        messages = self.state.outbox
        self.state.outbox = []
        return messages

    def take_update(self) -> PersistentUpdate | None:
        """The update to write now, if any; the caller calls `persisted` when it is on the disk."""
        return self.state.take_update()

    def persisted(self, now: float) -> None:
        """Called when the write that `take_update` started is on the disk."""
        self.state.now = now
        self.state.persisted()
        if self.state.role is Role.LEADER:
            self.replication.advance_commit()
        self._deliver_own_votes()

    def take_restored(self) -> Snapshot | None:
        """A snapshot that the state machine has to load before it applies further entries."""
        return self.state.take_restored()

    def take_committed(self) -> list[tuple[int, Entry]]:
        """Committed entries that the state machine has not received yet, in order, each with its index.

        None while there is a snapshot to load first, see `take_restored`.
        """
        state = self.state
        if state.restored is not None:
            return []
        first = state.applied_index + 1
        committed = [(index, state.log.entry(index)) for index in range(first, state.commit_index + 1)]
        state.applied_index = max(state.applied_index, state.commit_index)
        return committed

    def take_reads(self) -> list[Any]:
        """Tokens of reads that a majority has confirmed and whose state is applied."""
        return self._reads.take_confirmed()

    # Leader

    def _lead(self) -> None:
        """One tick of a leader, which steps down without a majority, or if it may not lead and no transfer succeeds."""
        state = self.state
        self._record_quorum()
        if state.now - max(state.last_quorum_at, state.leader_since or 0.0) > state.timing.election_max_s:
            state.become_follower(state.term, leader_id=0)
            return
        if self._leadership_transfer.has_successor_failed:
            state.become_follower(state.term, leader_id=0)
            self._election.campaign_after_transfer()
            return
        is_removed = not state.is_voter and state.commit_index >= state.log.configuration_index
        if (is_removed or state.withholding_votes) and not self.is_transferring_leadership:
            if self._leadership_transfer.was_attempted:
                state.become_follower(state.term, leader_id=0)
                return
            self._leadership_transfer.start()
        if self.is_transferring_leadership:
            self._leadership_transfer.advance()
        else:
            self.reconfiguration.tick()
        self.replication.tick()

    def _record_quorum(self) -> None:
        """Records when a majority last responded."""
        stamp = self.replication.quorum_stamp()
        self._lease_start = max(self._lease_start, stamp)
        self.state.last_quorum_at = max(self.state.last_quorum_at, stamp)

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
            self.replication.resume(progress)
        progress.last_contact_at = state.now
        progress.stamp = max(progress.stamp, message.stamp)
        self._record_quorum()
        match message:
            case AppendEntriesResponse():
                self.replication.handle_append_response(sender, message)
                self._leadership_transfer.advance()
            case InstallSnapshotResponse():
                self.replication.handle_snapshot_response(sender, message)
            case HeartbeatResponse():
                progress.eligible = message.eligible

    def _elected(self) -> None:
        state = self.state
        state.role = Role.LEADER
        state.leader_id = state.id
        state.leader_since = state.now
        self._lease_start = float("-inf")
        self._leadership_transfer.reset()
        self.replication.start()

    def _stepped_down(self) -> None:
        self.failed_reads += self._reads.take_all()
        self._leadership_transfer.reset()

    # Follower

    def _from_leader(self, sender: int, message: AppendEntries | Heartbeat | InstallSnapshot) -> None:
        state = self.state
        if message.term < state.term:
            state.send(sender, HeartbeatResponse(state.term, message.stamp, not state.withholding_votes))
            return
        if message.term > state.term or state.role is not Role.FOLLOWER:
            state.become_follower(message.term, sender)
        state.leader_id = sender
        state.last_leader_contact_at = state.now
        state.reset_election_deadline()
        match message:
            case AppendEntries():
                self._follower.receive_entries(sender, message)
            case Heartbeat():
                self._follower.receive_heartbeat(sender, message)
            case InstallSnapshot():
                self._follower.receive_snapshot_chunk(sender, message)

    # Candidate

    def _deliver_own_votes(self) -> None:
        """A candidate's vote for itself counts when it has been persisted."""
        state = self.state
        own = [message for to, message in state.outbox if to == state.id]
        if own:
            state.outbox = [pair for pair in state.outbox if pair[0] != state.id]
            for message in own:
                assert isinstance(message, RequestVoteResponse)
                self._election.handle_vote_response(state.id, message)
