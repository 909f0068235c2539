"""Exhaustive search of one group's schedules: every order of messages, writes, time-outs and faults within a budget.

A state holds three replicas, their disks and the messages between them. Heartbeats are left out: appends have
the same effects. Only steps that need time to pass advance it. Schedules with the same outcome are searched once:

- A follower's or candidate's write follows at once. It sends nothing that depends on the write before that is complete,
  so a crash before the write is the same as one before the message that caused it. A leader sends appends before its
  own write is complete, so its write is a step of its own.
- A message that the receiver would ignore (a vote for a former candidate, a response to a former leader) is dropped.
- The machines are interchangeable, so machine 1 campaigns first.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from ochrespan.control_plane.replication.persistent_records import pack_record, replay
from ochrespan.raft.log import ReplicaLog, Snapshot
from ochrespan.raft.membership_config import Member, MembershipConfig
from ochrespan.raft.messages import AppendEntriesResponse, Heartbeat, HeartbeatResponse, RequestVoteResponse
from ochrespan.raft.replica import Replica
from ochrespan.raft.state import PersistentState, ReplicaSettings, Role

from .checks import Violation

MACHINES = 3
REPLACEMENT_ID_OFFSET = 10  # a wiped machine comes back under its id plus this
LONG_S = 10.0  # without a leader's messages; more than `election_max_s`
SHORT_S = 0.4  # without contact; more than `replaced_voter_timeout_s`


class MiddleOfRange:
    """In place of a random source: the middle of each range."""

    @staticmethod
    def uniform(low: float, high: float) -> float:
        """The middle."""
        return (low + high) / 2


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each event may happen in a schedule."""

    timeouts: int = 2
    commands: int = 2
    crashes: int = 1
    wipes: int = 0
    cuts: int = 0
    changes: int = 0
    power: int = 0  # losses of power by all machines that have not lost their disks


@dataclass(slots=True)
class State:
    """Three replicas, their disks and the messages between them, and the history as far as the rules need it."""

    replicas: dict[int, Replica]
    machines: dict[int, int]  # number of the machine by replica id
    disks: dict[int, list[bytes]]
    channels: dict[tuple[int, int], list]
    budget: Budget
    now: float = 100.0
    cut: tuple[int, int] | None = None
    campaigned: bool = False
    committed: dict[int, tuple] = field(default_factory=dict)
    leaders: dict[int, int] = field(default_factory=dict)

    @classmethod
    def first(cls, budget: Budget) -> State:
        """Three members of a new group before any message."""
        members = [Member(number, ("10.0.0.1", number)) for number in (1, 2, 3)]
        state = cls({}, {}, {}, {}, budget)
        for member in members:
            log = ReplicaLog(Snapshot(0, 0, MembershipConfig.of(members), b""))
            state.machines[member.id], state.disks[member.id] = member.id, []
            state.replicas[member.id] = state._replica(member.id, PersistentState(0, 0, log))
        return state

    def _replica(self, replica_id: int, durable: PersistentState) -> Replica:
        return Replica(ReplicaSettings(0, replica_id, 3), durable, MiddleOfRange, self.now)

    # Steps

    def steps(self) -> Iterator[tuple]:
        """Every step that is possible here."""
        budget = self.budget
        for pair, messages in self.channels.items():
            if messages:
                yield ("deliver", pair)
        for replica_id, replica in self.replicas.items():
            yield from self._steps_of(replica_id, replica)
        if budget.power:
            yield ("power", 0)
        if budget.cuts and self.cut is None:
            yield from (("cut", pair) for pair in ((1, 2), (1, 3), (2, 3)))

    def _steps_of(self, replica_id: int, replica: Replica) -> Iterator[tuple]:
        budget = self.budget
        raft_state = replica.state
        if raft_state.needs_write():
            yield ("write", replica_id)
        may_campaign = (
            raft_state.role is not Role.LEADER and raft_state.is_voter and (self.campaigned or replica_id == 1)
        )
        if budget.timeouts and may_campaign:
            yield ("timeout", replica_id)
        if raft_state.role is Role.LEADER and budget.commands:
            yield ("propose", replica_id)
        if raft_state.role is Role.LEADER and budget.changes:
            yield ("change", replica_id)
        if budget.crashes:
            yield ("crash", replica_id)
        if budget.wipes and replica_id <= MACHINES:
            yield ("wipe", replica_id)

    def take(self, step: tuple) -> None:
        """Takes one of `steps`, then the writes that follow at once, as the module's docstring says."""
        kind, subject = step
        getattr(self, f"_{kind}")(subject)
        for replica_id, replica in self.replicas.items():
            may_end = self.budget.crashes or self.budget.wipes or self.budget.power
            if replica.state.needs_write() and not (may_end and replica.state.role is Role.LEADER):
                self._write(replica_id)
            self._collect(replica_id, replica)
        self._check()
        self._drop_ignored_messages()

    def _spend(self, **spent: int) -> None:
        left = {name: getattr(self.budget, name) - count for name, count in spent.items()}
        self.budget = replace(self.budget, **left)

    def _deliver(self, pair: tuple[int, int]) -> None:
        sender, receiver = pair
        message = self.channels[pair].pop(0)
        if receiver in self.replicas:
            self.replicas[receiver].receive(self.now, sender, message)

    def _write(self, replica_id: int) -> None:
        replica = self.replicas[replica_id]
        self.disks[replica_id].append(pack_record(replica.take_update()))
        replica.persisted(self.now)

    def _timeout(self, replica_id: int) -> None:
        self._spend(timeouts=1)
        self.campaigned = True
        self.now += LONG_S
        replica = self.replicas[replica_id]
        replica.state.election_deadline = self.now
        replica.tick(self.now)

    def _propose(self, replica_id: int) -> None:
        replica = self.replicas[replica_id]
        replica.state.leader_since = self.now - LONG_S  # longer than a new group waits for its members
        replica.propose(self.now, b"command %d" % self.budget.commands)
        self._spend(commands=1)

    def _crash(self, replica_id: int) -> None:
        """The process starts again from its disk; messages to it are lost, those from it may still arrive."""
        self._spend(crashes=1)
        self._restart(replica_id)

    def _power(self, _: int) -> None:
        """All machines start again from their disks, and no message in flight arrives."""
        self._spend(power=1)
        self.channels.clear()
        for replica_id in list(self.replicas):
            self._restart(replica_id)

    def _restart(self, replica_id: int) -> None:
        self._lose_messages_to(replica_id)
        first = State.first(self.budget).replicas[replica_id].state if replica_id <= MACHINES else None
        durable = replay(self.disks[replica_id])[1].get(0, PersistentState())
        if first is not None and not durable.log.configuration.voters:
            durable.log = ReplicaLog(first.log.snapshot, durable.log.slice(1, 99, 9999))
        self.replicas[replica_id] = self._replica(replica_id, durable)

    def _wipe(self, replica_id: int) -> None:
        """The machine comes back with an empty disk and a new id, and asks the leader to add it to the group."""
        self._spend(wipes=1)
        self._lose_messages_to(replica_id)
        del self.replicas[replica_id], self.disks[replica_id]
        new_id = replica_id + REPLACEMENT_ID_OFFSET
        self.machines[new_id] = self.machines.pop(replica_id)
        self.disks[new_id] = []
        self.replicas[new_id] = self._replica(new_id, PersistentState())

    def _change(self, replica_id: int) -> None:
        """The leader receives the join requests of wiped machines, and makes the next membership change that is due."""
        self._spend(changes=1)
        replica = self.replicas[replica_id]
        for other, machine in self.machines.items():
            if other > REPLACEMENT_ID_OFFSET:
                replica.join(self.now, Member(other, ("10.0.0.1", machine)))
        self.now += SHORT_S
        replica.state.now = self.now
        replica.reconfiguration.tick()

    def _cut(self, pair: tuple[int, int]) -> None:
        self._spend(cuts=1)
        self.cut = pair
        self.channels.pop(pair, None)
        self.channels.pop(pair[::-1], None)

    def _lose_messages_to(self, replica_id: int) -> None:
        for pair in [pair for pair in self.channels if pair[1] == replica_id]:
            del self.channels[pair]

    def _collect(self, sender: int, replica: Replica) -> None:
        for receiver, message in replica.take_messages():
            if isinstance(message, Heartbeat | HeartbeatResponse) or self.cut in (
                (sender, receiver),
                (receiver, sender),
            ):
                continue
            self.channels.setdefault((sender, receiver), []).append(message)

    def _drop_ignored_messages(self) -> None:
        for (_, receiver), messages in self.channels.items():
            replica = self.replicas.get(receiver)
            messages[:] = [message for message in messages if replica is not None and _matters(replica, message)]

    # Checks

    def _check(self) -> None:
        for replica_id, replica in self.replicas.items():
            raft_state = replica.state
            replica.take_restored()
            for index, entry in replica.take_committed():
                known = self.committed.setdefault(index, (entry.term, entry.data))
                if known != (entry.term, entry.data):
                    raise Violation("two histories", f"index {index} at {replica_id}")
            if raft_state.role is Role.LEADER:
                self._check_leader(replica_id, replica)

    def _check_leader(self, replica_id: int, replica: Replica) -> None:
        raft_state = replica.state
        if self.leaders.setdefault(raft_state.term, replica_id) != replica_id:
            raise Violation("two leaders of one term", f"term {raft_state.term}")
        if raft_state.term < max(self.leaders):
            return
        for index, (term, data) in self.committed.items():
            if raft_state.log.term_at(index) != term or raft_state.log.entry(index).data != data:
                raise Violation("lost command", f"index {index} isn't at leader {replica_id} of term {raft_state.term}")

    # Identity

    def key(self) -> tuple:
        """Identifies a state; times are included only as far as a decision depends on them."""
        return (
            self.budget,
            self.cut,
            tuple(sorted(self.committed.items())),
            tuple(sorted(self.leaders.items())),
            tuple((pair, tuple(map(_plain, messages))) for pair, messages in sorted(self.channels.items()) if messages),
            tuple((number, self._replica_key(replica)) for number, replica in sorted(self.replicas.items())),
        )

    def _replica_key(self, replica: Replica) -> tuple:
        """Everything that a replica's further behaviour depends on, internal state included."""
        raft_state, log = replica.state, replica.state.log
        entries = tuple((entry.term, entry.data) for entry in log.slice(1, 99, 9999))
        progress = (
            tuple(
                (
                    other,
                    known.match_index,
                    known.next_index,
                    known.mode,
                    known.in_flight,
                    self.now - known.last_contact_at < SHORT_S,
                )
                for other, known in sorted(replica.replication.progress.items())
            )
            if raft_state.role is Role.LEADER
            else ()
        )
        granted = frozenset(replica._election._granted)  # noqa: SLF001 - internal state is part of the key
        if raft_state.role is Role.FOLLOWER:
            granted = frozenset()
        pending = tuple(
            (needed - raft_state._writes_started, to, _plain(message))  # noqa: SLF001 - as above
            for needed, to, message in raft_state._pending_messages  # noqa: SLF001 - as above
        )
        return (
            raft_state.term,
            raft_state.vote,
            raft_state.role,
            raft_state.leader_id,
            entries,
            log.persisted_index,
            raft_state.commit_index,
            raft_state.needs_write(),
            self.now - raft_state.last_leader_contact_at < SHORT_S,
            granted,
            pending,
            progress,
            tuple(replica.replication.learners),
            replica.replication.term_start_index,
        )


def _matters(replica: Replica, message) -> bool:
    """Whether the receiver may act on a message, in its present state or in a later one."""
    raft_state = replica.state
    if isinstance(message, RequestVoteResponse):
        if message.pre_vote and message.granted:
            return raft_state.role is Role.PRE_CANDIDATE and message.term == raft_state.term + 1
        return (
            message.term > raft_state.term
            or message.granted
            and raft_state.role is Role.CANDIDATE
            and message.term == raft_state.term
        )
    if isinstance(message, AppendEntriesResponse):
        return message.term > raft_state.term or raft_state.role is Role.LEADER and message.term == raft_state.term
    return True


def _plain(message) -> tuple:
    fields = [name for name in message.__dataclass_fields__ if name != "stamp"]
    values = (getattr(message, name) for name in fields)
    return (type(message).__name__, *(tuple(value) if isinstance(value, list) else value for value in values))


@dataclass(slots=True)
class SearchResult:
    """What a search has found."""

    states: int
    complete: bool
    leaders: int  # highest number of terms that had a leader in one state
    committed: int  # highest number of entries committed in one state


def search(budget: Budget, max_states: int) -> SearchResult:
    """Visits each state once, breadth first; raises Violation at the first state that breaks a rule."""
    first = State.first(budget)
    seen = {hash(first.key())}
    waiting = [pickle.dumps(first)]
    found = SearchResult(1, True, 0, 0)
    while waiting:
        next_states: list[bytes] = []
        for packed in waiting:
            for step in list(pickle.loads(packed).steps()):
                state = pickle.loads(packed)
                state.take(step)
                key = hash(state.key())
                if key in seen:
                    continue
                seen.add(key)
                found.states += 1
                found.leaders = max(found.leaders, len(state.leaders))
                found.committed = max(found.committed, len(state.committed))
                next_states.append(pickle.dumps(state))
                if found.states >= max_states:
                    found.complete = False
                    return found
        waiting = next_states
    return found
