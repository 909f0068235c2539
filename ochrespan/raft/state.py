"""What the parts of a replica share: term, vote, role, log, and what is to be sent, written and applied."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .log import ReplicaLog, Snapshot
from .membership_config import MembershipConfig
from .messages import AppendEntriesResponse, Entry, Message


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Spans in seconds of the steady clock."""

    heartbeat_s: float = 0.12
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    resend_s: float = 0.3
    voter_timeout_s: float = 1.0
    replaced_voter_timeout_s: float = 0.3  # the same for a voter whose address another id has taken
    disconnect_timeout_s: float = 0.2  # how long a leader whose connection has ended may take to be heard again
    learner_timeout_s: float = 3.0
    leadership_transfer_s: float = 0.6


@dataclass(slots=True)
class PersistentState:
    """What a replica needs from its disk when it starts."""

    term: int = 0
    vote: int = 0
    log: ReplicaLog = field(default_factory=ReplicaLog)


@dataclass(slots=True)
class PersistentUpdate:
    """What is to be written: term and vote, then a snapshot that replaces the log, then entries from `first_index` on.

    Entries on the disk from `first_index` on are dropped before `entries` are added.
    """

    group: int
    term: int
    vote: int
    snapshot: Snapshot | None
    first_index: int
    entries: list[Entry]


class ReplicaState:
    """State of one replica of one group. `now` is set by the caller before each step."""

    def __init__(
        self, group: int, replica_id: int, timing: Timing, durable: PersistentState, source: random.Random
    ) -> None:
        self.group, self.id, self.timing, self.random = group, replica_id, timing, source
        self.now = 0.0
        self.term, self.vote, self.log = durable.term, durable.vote, durable.log
        self.role = Role.FOLLOWER
        self.leader_id = 0
        self.leader_since: float | None = None
        self.last_leader_contact_at = float("-inf")
        self.last_quorum_at = float("-inf")
        self.election_deadline = 0.0
        self.withholding_votes = False
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.restored: Snapshot | None = None
        self.outbox: list[tuple[int, Message]] = []
        self.on_step_down: Callable[[], None] = lambda: None
        self._pending_messages: list[tuple[int, int, Message]] = []  # number of the write that has to be durable first
        self._last_stamp = 0.0
        self._writes_started = 0
        self._writes_completed = 0
        self._state_dirty = False
        self._snapshot_dirty = False

    @property
    def configuration(self) -> MembershipConfig:
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        return self.configuration.is_voter(self.id)

    def stamp(self) -> float:
        """A strictly increasing reading of the steady clock."""
        self._last_stamp = max(self.now, self._last_stamp + 1e-6)
        return self._last_stamp

    @property
    def is_preferred_leader(self) -> bool:
        """Whether this replica should lead, so that the leaders of many groups spread over the voters."""
        voters = self.configuration.voters
        return bool(voters) and voters[self.group % len(voters)].id == self.id

    def reset_election_deadline(self) -> None:
        """A leader was heard: the preferred successor waits the shortest span, the others longer."""
        shortest, longest = self.timing.election_min_s, self.timing.election_max_s
        middle = shortest + (longest - shortest) / 4
        span = (shortest, middle) if self.is_preferred_leader else (middle, longest)
        self.election_deadline = self.now + self.random.uniform(*span)

    def suspect_leader(self) -> None:
        """The leader's process may have ended: it is given up unless it is heard within a few heartbeats."""
        self.last_leader_contact_at = float("-inf")
        shortest = self.timing.disconnect_timeout_s * (1.0 if self.is_preferred_leader else 1.25)
        deadline = self.now + self.random.uniform(shortest, self.timing.disconnect_timeout_s * 1.75)
        self.election_deadline = min(self.election_deadline, deadline)

    def set_first_deadline(self) -> None:
        """The process has just started: no leader need be awaited, as pre-votes are refused where one lives."""
        shortest = self.timing.election_min_s
        span = (shortest / 12, shortest / 6) if self.is_preferred_leader else (shortest / 5, shortest / 2)
        self.election_deadline = self.now + self.random.uniform(*span)

    def set_bootstrap_deadline(self) -> None:
        """The group has just been formed: there is no leader yet, and the other members hear of it in these moments."""
        shortest = self.timing.election_min_s
        span = (0.0, 0.0) if self.is_preferred_leader else (shortest / 10, shortest / 3)
        self.election_deadline = self.now + self.random.uniform(*span)

    def reset_pre_vote_deadline(self) -> None:
        """A pre-vote has been asked for: it changes nothing at the others, so it is soon asked for again."""
        shortest = self.timing.election_min_s
        self.election_deadline = self.now + self.random.uniform(shortest / 8, shortest / 3)

    def reset_campaign_deadline(self) -> None:
        """A campaign has begun: it is tried again sooner than a leader's silence is believed."""
        shortest = self.timing.election_min_s
        self.election_deadline = self.now + self.random.uniform(shortest / 4, shortest)

    def send(self, to: int, message: Message) -> None:
        self.outbox.append((to, message))

    def send_when_persisted(self, to: int, message: Message) -> None:
        """Holds a message until all that stands in memory now has been written."""
        needed = self._writes_started + self.needs_write()
        if needed > self._writes_completed:
            self._pending_messages.append((needed, to, message))
        else:
            self.outbox.append((to, message))

    def enter_term(self, term: int, vote: int = 0) -> None:
        self.term, self.vote = term, vote
        self._state_dirty = True

    def cast_vote(self, candidate: int) -> None:
        self.vote = candidate
        self._state_dirty = True

    def become_follower(self, term: int, leader_id: int) -> None:
        led = self.role is Role.LEADER
        if term > self.term:
            self.enter_term(term)
        self._pending_messages = [
            held
            for held in self._pending_messages
            if not isinstance(held[2], AppendEntriesResponse) or held[2].term == term
        ]
        self.role, self.leader_id, self.leader_since = Role.FOLLOWER, leader_id, None
        self.reset_election_deadline()
        if led:
            self.on_step_down()

    def install(self, snapshot: Snapshot) -> None:
        """Takes a snapshot in place of the log and of the state machine's state."""
        self.log.reset(snapshot)
        self._snapshot_dirty = True
        self.commit_index = max(self.commit_index, snapshot.index)
        self.applied_index = snapshot.index
        self.restored = snapshot

    def needs_write(self) -> bool:
        return self._state_dirty or self._snapshot_dirty or self.log.has_unpersisted()

    def take_update(self) -> PersistentUpdate | None:
        """What is to be written now; `persisted` tells when it is durable. One write is under way at a time."""
        if not self.needs_write():
            return None
        self._writes_started += 1
        snapshot = self.log.snapshot if self._snapshot_dirty else None
        first_index, entries = self.log.take_unpersisted()
        self._state_dirty = self._snapshot_dirty = False
        return PersistentUpdate(self.group, self.term, self.vote, snapshot, first_index, entries)

    def persisted(self) -> None:
        """The write that `take_update` began is durable: what waited for it may be sent."""
        self._writes_completed = self._writes_started
        self.log.persisted()
        self.outbox += [
            (to, message) for needed, to, message in self._pending_messages if needed <= self._writes_completed
        ]
        self._pending_messages = [held for held in self._pending_messages if held[0] > self._writes_completed]
