"""Catching up over slow links: large snapshots, compaction during a transfer, and messages behind the chunks."""

import random

import pytest

from ochrespan.raft.leader import (
    MAX_BYTES_IN_FLIGHT,
    MAX_CHUNKS_IN_FLIGHT,
    SNAPSHOT_CHUNK_BYTES,
    LeaderReplication,
    ProgressMode,
)
from ochrespan.raft.log import ReplicaLog, Snapshot
from ochrespan.raft.membership_config import Member, MembershipConfig
from ochrespan.raft.messages import Entry, EntryKind, Heartbeat, InstallSnapshot
from ochrespan.raft.replica import Replica
from ochrespan.raft.state import PersistentState, ReplicaSettings, Role, Timing

MEGABYTE = 1024 * 1024
LEADER, LEARNER = 1, 2
DELAY_S = 0.001
STEP_S = 0.01
OVERHEAD = 1.3  # factor on the time that the link itself needs
SLACK_S = 0.5


class Link:
    """A leader and a learner with one link between them, whose messages keep their order."""

    def __init__(self, snapshot_bytes: int, mbit_per_s: float) -> None:
        configuration = MembershipConfig.of([Member(LEADER, ("10.0.0.1", 1))])
        snapshot = Snapshot(1000, 1, configuration, random.Random(1).randbytes(snapshot_bytes))
        self.now, self.rate = 100.0, mbit_per_s * 1e6 / 8
        self.replicas = {
            LEADER: Replica(
                ReplicaSettings(0, LEADER, 1), PersistentState(1, 0, ReplicaLog(snapshot)), random.Random(1), self.now
            ),
            LEARNER: Replica(ReplicaSettings(0, LEARNER, 1), PersistentState(), random.Random(2), self.now),
        }
        self._in_transit: list = []  # in transit: arrival time, receiver, message
        self._link_free_at = dict.fromkeys(self.replicas, self.now)
        self.bytes_sent = 0
        self.max_heartbeat_delay_s = 0.0  # in the link's queue
        self.lose_next = 0
        while self.leader.state.role is not Role.LEADER:
            self.step()
        self.leader.join(self.now, Member(LEARNER, ("10.0.0.2", 1)))

    @property
    def leader(self) -> Replica:
        """The only voter."""
        return self.replicas[LEADER]

    @property
    def learner(self) -> Replica:
        """The replica that catches up."""
        return self.replicas[LEARNER]

    @property
    def progress(self):
        """The leader's progress record of the learner."""
        return self.leader.replication.progress[LEARNER]

    def step(self) -> None:
        """Lets `STEP_S` pass."""
        self.now += STEP_S
        self._deliver()
        for replica in self.replicas.values():
            replica.tick(self.now)
        self._exchange()

    def _deliver(self) -> None:
        while self._in_transit and self._in_transit[0][0] <= self.now:
            arrival, receiver, message = self._in_transit.pop(0)
            sender = LEADER if receiver == LEARNER else LEARNER
            self.replicas[receiver].receive(max(arrival, self.replicas[receiver].state.now), sender, message)
            self._exchange()

    def _exchange(self) -> None:
        for number, replica in self.replicas.items():
            if replica.take_update() is not None:
                replica.persisted(replica.state.now)
            replica.take_committed()
            replica.take_restored()
            for receiver, message in replica.take_messages():
                self._post(number, receiver, message)

    def _post(self, sender: int, receiver: int, message) -> None:
        if receiver not in self.replicas:
            return
        size = 60 + len(getattr(message, "data", b"")) + sum(len(each.data) for each in getattr(message, "entries", ()))
        now = self.replicas[sender].state.now
        if isinstance(message, Heartbeat):
            self.max_heartbeat_delay_s = max(self.max_heartbeat_delay_s, self._link_free_at[sender] - now)
        self._link_free_at[sender] = max(self._link_free_at[sender], now) + size / self.rate
        self.bytes_sent += size
        if self.lose_next and isinstance(message, InstallSnapshot):
            self.lose_next -= 1
            return
        self._in_transit.append((self._link_free_at[sender] + DELAY_S, receiver, message))
        self._in_transit.sort(key=lambda item: item[0])

    def propose(self, size: int = 500) -> None:
        """Proposes a command of `size` bytes."""
        assert self.leader.propose(self.now, random.Random(3).randbytes(size))

    def compact(self, snapshot_bytes: int) -> None:
        """Replaces the leader's snapshot by a newer one."""
        self.leader.compact(random.Random(self.leader.state.applied_index).randbytes(snapshot_bytes))

    def until_caught_up(self, limit_s: float, compact_every_s: float | None = None, snapshot_bytes: int = 0) -> float:
        """Seconds until the learner has caught up, with a command in each step; `limit_s` if it takes longer."""
        began, compact_at = self.now, self.now + (compact_every_s or 0.0)
        while not self.leader.reconfiguration.standbys() and self.now - began < limit_s:
            self.propose()
            if compact_every_s and self.now >= compact_at:
                self.compact(snapshot_bytes)
                compact_at = self.now + compact_every_s
            self.step()
        return self.now - began


def bound_s(snapshot_bytes: int, mbit_per_s: float) -> float:
    return SLACK_S + OVERHEAD * snapshot_bytes * 8 / (mbit_per_s * 1e6)


CASES = [(4 * MEGABYTE, 5), (4 * MEGABYTE, 10), (4 * MEGABYTE, 50), (4 * MEGABYTE, 1000), (MEGABYTE, 5), (10_000, 5)]


@pytest.mark.parametrize(("snapshot_bytes", "mbit_per_s"), CASES)
def test_a_learner_catches_up_in_the_time_that_its_link_needs(snapshot_bytes, mbit_per_s):
    link = Link(snapshot_bytes, mbit_per_s)
    assert link.until_caught_up(60.0) < bound_s(snapshot_bytes, mbit_per_s)
    assert link.bytes_sent < snapshot_bytes * OVERHEAD + MEGABYTE


@pytest.mark.parametrize(("snapshot_bytes", "mbit_per_s"), CASES)
def test_compaction_at_the_leader_does_not_delay_a_transfer(snapshot_bytes, mbit_per_s):
    """A transfer completes with the snapshot that it began with, and the entries after that are retained."""
    link = Link(snapshot_bytes, mbit_per_s)
    assert link.until_caught_up(60.0, 0.6, snapshot_bytes) < bound_s(snapshot_bytes, mbit_per_s)


def test_heartbeats_do_not_wait_behind_a_snapshot():
    link = Link(4 * MEGABYTE, 5)
    link.until_caught_up(60.0)
    assert link.max_heartbeat_delay_s < 0.2 < Timing().election_min_s


def test_chunks_in_flight_are_bounded():
    link = Link(4 * MEGABYTE, 5)
    max_bytes = 0
    for _ in range(200):
        link.step()
        max_bytes = max(max_bytes, link.progress.bytes_in_flight)
    assert 0 < max_bytes <= MAX_CHUNKS_IN_FLIGHT * SNAPSHOT_CHUNK_BYTES
    assert link.progress.mode is ProgressMode.SNAPSHOT


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_chunks_that_are_lost_are_sent_again(lost):
    link = Link(MEGABYTE, 100)
    for _ in range(4):
        link.step()
    link.lose_next = lost
    assert link.until_caught_up(10.0) < 3.0


def test_appends_in_flight_are_bounded_too():
    link = Link(10_000, 5)
    link.until_caught_up(10.0)
    max_bytes = 0
    for _ in range(100):
        for _ in range(3):
            link.propose(20_000)
        link.step()
        max_bytes = max(max_bytes, link.progress.bytes_in_flight)
    assert MAX_BYTES_IN_FLIGHT <= max_bytes < 3 * MAX_BYTES_IN_FLIGHT


def test_a_follower_that_restarts_amid_a_transfer_gets_the_snapshot_from_its_beginning():
    link = Link(MEGABYTE, 50)
    while link.progress.snapshot_offset < MEGABYTE // 2:
        link.step()
    link.replicas[LEARNER] = Replica(ReplicaSettings(0, LEARNER, 1), PersistentState(), random.Random(2), link.now)
    assert link.until_caught_up(10.0) < 3.0


# The mechanisms that the bound depends on: each test disables one


def test_a_fixed_resend_timeout_exceeds_the_bound(monkeypatch):
    """Messages count as lost after 0.3 s, while a slow link takes longer to transmit a chunk."""
    monkeypatch.setattr("ochrespan.raft.leader.SNAPSHOT_CHUNK_BYTES", 256 * 1024)
    monkeypatch.setattr("ochrespan.raft.leader.Progress.resend_after", lambda _self, resend_s: resend_s)
    link = Link(MEGABYTE, 5)
    assert link.until_caught_up(10.0) > bound_s(MEGABYTE, 5)


def test_a_transfer_that_restarts_with_each_compaction_exceeds_the_bound(monkeypatch):
    original = LeaderReplication._send_chunk

    def newest(self, member_id, progress):
        if progress.snapshot is not None and progress.snapshot.index != self._state.log.snapshot.index:
            progress.begin_transfer(self._state.log.snapshot)
        original(self, member_id, progress)

    monkeypatch.setattr(LeaderReplication, "_send_chunk", newest)
    link = Link(4 * MEGABYTE, 50)
    assert link.until_caught_up(10.0, 0.6, 4 * MEGABYTE) > bound_s(4 * MEGABYTE, 50)


def test_entries_dropped_during_a_transfer_exceed_the_bound(monkeypatch):
    monkeypatch.setattr(LeaderReplication, "transfer_index", lambda _self: None)
    monkeypatch.setattr("ochrespan.raft.replica.RETAINED_ENTRIES", 20)
    link = Link(4 * MEGABYTE, 50)
    assert link.until_caught_up(10.0, 0.6, 4 * MEGABYTE) > bound_s(4 * MEGABYTE, 50)


def test_a_log_retains_the_entries_that_a_transfer_needs_up_to_a_bound():
    entries = [Entry(1, EntryKind.COMMAND, bytes(100)) for _ in range(50)]
    for transfer_retained_bytes, first in [(10_000, 11), (1_000, 31)]:
        log = ReplicaLog(entries=list(entries))
        log.compact(
            Snapshot(40, 1, MembershipConfig(), b""),
            2,
            10_000,
            transfer_index=10,
            transfer_retained_bytes=transfer_retained_bytes,
        )
        assert log.first_index == first


def test_the_applied_index_moves_only_when_the_state_machine_takes_the_snapshot():
    learner = Replica(ReplicaSettings(0, LEARNER, 1), PersistentState(), random.Random(1), 0.0)
    configuration = MembershipConfig.of([Member(LEADER, ("10.0.0.1", 1))])
    learner.receive(0.0, LEADER, InstallSnapshot(1, 1000, 1, configuration.to_bytes(), 0, 5, b"state", 0.0))
    assert learner.state.commit_index == 1000
    assert learner.state.applied_index == 0 and learner.take_committed() == []
    assert learner.take_restored().data == b"state"
    assert learner.state.applied_index == 1000
