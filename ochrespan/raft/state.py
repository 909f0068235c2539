"""State shared by the parts of a replica: term, vote, role, log, and what is to be sent, written and applied."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .log import ReplicaLog, Snapshot
from .membership_config import MembershipConfig
from .messages import AppendEntriesResponse, Entry, Message


class Role(Enum):
    """Raft's roles, and PRE_CANDIDATE for a replica that requests pre-votes."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and time-outs of the protocol, in seconds."""

    heartbeat_s: float = 0.12
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    resend_s: float = 0.3
    voter_timeout_s: float = 1.0
    replaced_voter_timeout_s: float = 0.3  # the same for a voter whose address another id has taken
    disconnect_timeout_s: float = 0.2  # a leader whose connection has ended has to be in contact again within this time
    learner_timeout_s: float = 3.0
    leadership_transfer_s: float = 0.6


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """The settings of one replica, fixed at its start."""

    group: int
    replica_id: int
    min_voters: int
    timing: Timing = field(default_factory=Timing)


@dataclass(slots=True)
class PersistentState:
    """The state that a replica reads from its disk when it starts."""

    term: int = 0
    vote: int = 0
    log: ReplicaLog = field(default_factory=ReplicaLog)


@dataclass(slots=True)
class PersistentUpdate:
    """An update to write: term and vote, then a snapshot that replaces the log, then entries from `first_index` on.

    Entries on the disk from `first_index` on are dropped before `entries` are added.
    """

    group: int
    term: int
    vote: int
    snapshot: Snapshot | None
    first_index: int
    entries: list[Entry]


# A message that may be sent once a write is persisted: number of that write (from 1), receiver id, message. It
# is a plain tuple since one is created for each acknowledgement.
PendingMessage = tuple[int, int, Message]


class ReplicaState:
    """State of one replica of one group. `now` is set by the caller before each step.

    A replica must not promise what a loss of power can undo: votes and acknowledgements of entries are sent through
    `send_when_persisted`. Writes are numbered in the order of `take_update`, and one is in flight at a time.
    """

    def __init__(self, settings: ReplicaSettings, persistent: PersistentState, random_source: random.Random) -> None:
        self.group = settings.group
        self.id = settings.replica_id
        self.timing = settings.timing
        self.random = random_source
        self.now = 0.0
        self.term = persistent.term
        self.vote = persistent.vote
        self.log = persistent.log
        self.role = Role.FOLLOWER
        self.leader_id = 0
        self.leader_since: float | None = None
        self.last_leader_contact_at = float("-inf")
        self.last_quorum_at = float("-inf")
        self.election_deadline = 0.0
        self.withholding_votes = False
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.restored: Snapshot | None = None  # a snapshot that the state machine has to load
        self.outbox: list[tuple[int, Message]] = []
        self.on_step_down: Callable[[], None] = lambda: None
        self._pending_messages: list[PendingMessage] = []
        self._last_stamp = 0.0
        self._writes_started = 0
        self._writes_completed = 0
        self._state_dirty = False
        self._snapshot_dirty = False

    @property
    def configuration(self) -> MembershipConfig:
        """The newest configuration in the log."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes in the newest configuration, or in the one that it replaces."""
        return self.configuration.is_voter(self.id)

    def stamp(self) -> float:
        """A strictly increasing time of the steady clock."""
        self._last_stamp = max(self.now, self._last_stamp + 1e-6)
        return self._last_stamp

    @property
    def is_preferred_leader(self) -> bool:
        """Whether this replica should lead, so that the leaders of many groups spread over the voters."""
        voters = self.configuration.voters
        return bool(voters) and voters[self.group % len(voters)].id == self.id

    # Election deadlines. Each is drawn at random; the preferred leader's range comes first, so that it usually wins.

    def reset_election_deadline(self) -> None:
        """Restarts the time-out after contact with a leader; shortest for the preferred leader, so that it succeeds."""
        min_s = self.timing.election_min_s
        max_s = self.timing.election_max_s
        middle_s = min_s + (max_s - min_s) / 4
        span = (min_s, middle_s) if self.is_preferred_leader else (middle_s, max_s)
        self.election_deadline = self.now + self.random.uniform(*span)

    def suspect_leader(self) -> None:
        """The leader's connection has ended: its process may have ended, or may reconnect within a few heartbeats.

        Until the leader is in contact again this replica also grants votes, which its lease would otherwise exclude.
        """
        self.last_leader_contact_at = float("-inf")
        min_s = self.timing.disconnect_timeout_s * (1.0 if self.is_preferred_leader else 1.25)
        deadline = self.now + self.random.uniform(min_s, self.timing.disconnect_timeout_s * 1.75)
        self.election_deadline = min(self.election_deadline, deadline)

    def set_startup_deadline(self) -> None:
        """Used when the process starts: it need not wait for a leader, as pre-votes are rejected if one is alive."""
        min_s = self.timing.election_min_s
        span = (min_s / 12, min_s / 6) if self.is_preferred_leader else (min_s / 5, min_s / 2)
        self.election_deadline = self.now + self.random.uniform(*span)

    def set_bootstrap_deadline(self) -> None:
        """Used right after a bootstrap: there is no leader yet, and the other members receive the proposal now."""
        min_s = self.timing.election_min_s
        span = (0.0, 0.0) if self.is_preferred_leader else (min_s / 10, min_s / 3)
        self.election_deadline = self.now + self.random.uniform(*span)

    def reset_pre_vote_deadline(self) -> None:
        """Used after a pre-vote request: it changes nothing at the other replicas, so the next one may follow soon."""
        min_s = self.timing.election_min_s
        self.election_deadline = self.now + self.random.uniform(min_s / 8, min_s / 3)

    def reset_campaign_deadline(self) -> None:
        """Used when a campaign begins: the next attempt comes sooner than a leader would time out."""
        min_s = self.timing.election_min_s
        self.election_deadline = self.now + self.random.uniform(min_s / 4, min_s)

    # Messages

    def send(self, to: int, message: Message) -> None:
        """Queues a message that promises nothing that has to be persisted."""
        self.outbox.append((to, message))

    def send_when_persisted(self, to: int, message: Message) -> None:
        """Queues a message that is sent once everything in memory now has been persisted."""
        write = self._writes_started + self.needs_write()
        if write > self._writes_completed:
            self._pending_messages.append((write, to, message))
        else:
            self.outbox.append((to, message))

    # Term, vote and role

    def enter_term(self, term: int, vote: int = 0) -> None:
        """Enters a newer term, with `vote` as the vote in it; 0 for none."""
        self.term = term
        self.vote = vote
        self._state_dirty = True

    def cast_vote(self, candidate: int) -> None:
        """Votes for a candidate in the current term."""
        self.vote = candidate
        self._state_dirty = True

    def become_follower(self, term: int, leader_id: int) -> None:
        """Follows `leader_id` (0: not known) in `term`, which is the current one or a newer one.

        Acknowledgements of another term that still wait for a write are dropped: their leader is no longer one.
        """
        was_leader = self.role is Role.LEADER
        if term > self.term:
            self.enter_term(term)
        self._pending_messages = [
            (write, to, message)
            for write, to, message in self._pending_messages
            if not isinstance(message, AppendEntriesResponse) or message.term == term
        ]
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.leader_since = None
        self.reset_election_deadline()
        if was_leader:
            self.on_step_down()

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the log by a snapshot, which the state machine has to load.

        `applied_index` follows when the state machine takes it: until then the machine has the state before.
        """
        self.log.reset(snapshot)
        self._snapshot_dirty = True
        self.commit_index = max(self.commit_index, snapshot.index)
        self.restored = snapshot

    def take_restored(self) -> Snapshot | None:
        """A snapshot that the state machine has to load before it applies further entries."""
        restored = self.restored
        self.restored = None
        if restored is not None:
            self.applied_index = restored.index
        return restored

    # Writes

    def needs_write(self) -> bool:
        """Whether anything is in memory that no write has covered."""
        return self._state_dirty or self._snapshot_dirty or self.log.has_unpersisted()

    def take_update(self) -> PersistentUpdate | None:
        """The update to write now; `persisted` is called when it is on the disk. One write is in flight at a time."""
        if not self.needs_write():
            return None
        self._writes_started += 1
        snapshot = self.log.snapshot if self._snapshot_dirty else None
        first_index, entries = self.log.take_unpersisted()
        self._state_dirty = False
        self._snapshot_dirty = False
        return PersistentUpdate(self.group, self.term, self.vote, snapshot, first_index, entries)

    def persisted(self) -> None:
        """Called when the write that `take_update` started is on the disk: messages that wait for it may be sent."""
        completed = self._writes_completed = self._writes_started
        self.log.persisted()
        self.outbox += [(to, message) for write, to, message in self._pending_messages if write <= completed]
        self._pending_messages = [pending for pending in self._pending_messages if pending[0] > completed]
