"""Individual behaviours of the replicas in virtual time: joining, reconfiguration, leadership, snapshots, bounds."""

import random
import statistics

import pytest

from ochrespan.raft import leader as replication
from ochrespan.raft import replica as replica_module
from ochrespan.raft.leadership_transfer import LeadershipTransfer
from ochrespan.raft.log import ReplicaLog
from ochrespan.raft.membership_config import Member, MembershipConfig
from ochrespan.raft.messages import Entry, EntryKind
from ochrespan.raft.reconfiguration import GroupHealth, next_voters
from ochrespan.raft.state import PersistentState, ReplicaSettings, Timing
from tests.support.raft_simulation.checks import Checks, Violation
from tests.support.raft_simulation.faults import play
from tests.support.raft_simulation.world import World, address

MEMBERS = tuple(Member(number, address(number)) for number in range(1, 9))


def voters(world: World, shard: int = 0) -> set[int]:
    """The last number of the address of each voter in the leader's configuration."""
    configuration = world.leader(shard).multi_raft.replicas[shard].state.configuration
    return {int(member.address[0].rsplit(".", 1)[1]) for member in configuration.voters}


# Joining


def test_an_empty_replica_whose_seeds_are_a_running_group_joins_it_as_a_learner():
    world = World(1)
    world.run(3.0)
    new = world.add(4)
    new.start(world.seeds, bootstrap=False)
    world.run(1.0)
    assert voters(world) == {1, 2, 3}
    assert world.leader(0).multi_raft.replicas[0].replication.learners.keys() == {new.multi_raft.id}
    assert new.multi_raft.replicas[0].state.commit_index > 0


def test_five_machines_whose_seeds_name_three_become_a_group_of_five():
    world = World(1, size=5, fault_tolerance=2)
    world.run(4.0)
    assert all(voters(world, shard) == {1, 2, 3, 4, 5} for shard in world.shards)


# Reconfiguration


@pytest.mark.parametrize(
    ("count", "standbys", "lost", "min_voters", "expected"),
    [
        (3, (), (), 3, None),
        (3, (), (3,), 3, None),
        (3, (4,), (), 3, None),
        (3, (4,), (3,), 3, {1, 2, 4}),
        (3, (4, 5), (3,), 3, {1, 2, 4}),
        (3, (4, 5), (), 3, {1, 2, 3, 4, 5}),
        (4, (), (2,), 3, {1, 3, 4}),
        (4, (5,), (), 3, {1, 2, 3, 4, 5}),
        (2, (), (2,), 3, None),
        (2, (3,), (), 3, {1, 2, 3}),
        (1, (2,), (), 1, None),
        (1, (2, 3), (), 1, {1, 2, 3}),
        (5, (), (4, 5), 5, None),
        (7, (8,), (), 3, None),
    ],
)
def test_the_next_voters_of_a_group(count, standbys, lost, min_voters, expected):
    configuration = MembershipConfig.of(MEMBERS[:count])
    health = GroupHealth(tuple(MEMBERS[standby - 1] for standby in standbys), lost)
    found = next_voters(configuration, health, min_voters)
    assert (found and {member.id for member in found}) == expected


@pytest.mark.parametrize("seed", range(5))
def test_a_replacement_is_a_voter_within_four_seconds_so_that_another_may_fail(seed):
    world = World(seed)
    world.run(5.0)
    world.propose(0)
    world.run(0.5)
    lost_leader = world.leader(0)
    lost_leader.lose_power()
    del world.nodes[lost_leader.address]
    world.run(1.0)
    world.add(4).start(world.seeds, bootstrap=False)
    world.run(4.0)
    second = next(node for node in world.nodes.values() if node.address != address(4))
    second.lose_power()
    world.run(3.0)
    before = len(world.checks.acked[0])
    world.propose(0)
    world.run(0.5)
    assert len(world.checks.acked[0]) == before + 1


@pytest.mark.parametrize("leader_leaves", [True, False])
def test_a_standby_replaces_a_voter_that_announces_its_shutdown(leader_leaves):
    world = World(3, size=4)
    world.run(6.0)
    standby = ({1, 2, 3, 4} - voters(world)).pop()
    leader = world.leader(0)
    leaving = (
        leader
        if leader_leaves
        else next(node for node in world.nodes.values() if node is not leader and node.address != address(standby))
    )
    leaving.multi_raft.leave(world.now)
    leaving.pump()
    world.run(0.35)
    assert world.leader(0) is not leaving
    assert standby in voters(world)
    assert leaving.address not in {address(number) for number in voters(world)}


def test_a_wiped_voter_is_replaced_by_its_new_id_before_the_voter_timeout():
    world = World(2)
    world.run(5.0)
    wiped = next(node for node in world.nodes.values() if node is not world.leader(0))
    old_id = wiped.multi_raft.id
    wiped.wipe()
    wiped.start(world.seeds, bootstrap=False)
    world.run(0.8)
    configuration = world.leader(0).multi_raft.replicas[0].state.configuration
    assert wiped.multi_raft.id != old_id
    assert {member.id for member in configuration.voters} >= {wiped.multi_raft.id}
    assert not configuration.is_voter(old_id)


# Leadership


def test_leaders_spread_over_the_machines():
    world = World(1, shards=(0, 1, 2))
    world.run(15.0)
    assert len({world.leader(shard).address for shard in world.shards}) == 3


def test_a_killed_leader_is_succeeded_sooner_than_one_without_power():
    timing = Timing()
    timeout_s = timing.election_min_s - timing.heartbeat_s
    for end, min_s, median_s, max_s in [("kill", 0.0, 0.4, 1.5), ("lose_power", timeout_s, 1.0, 1.7)]:
        took_s = []
        for seed in range(15):
            world = World(seed)
            world.run(5.0)
            getattr(world.leader(0), end)()
            began = world.now
            while world.leader(0) is None:
                world.run(0.005)
            took_s.append(world.now - began)
        assert min_s < min(took_s)
        assert statistics.median(took_s) < median_s
        assert max(took_s) < max_s  # votes may be split once


def test_a_leader_whose_disk_hangs_transfers_leadership_and_loses_no_command():
    world = World(5)
    world.run(5.0)
    leader = world.leader(0)
    leader.hung_until = world.now + 5.0
    for _ in range(3):
        world.propose(0)
    world.run(2.2)
    assert world.leader(0) not in (None, leader)
    assert len(world.checks.acked[0]) == 3
    world.run(5.0)
    assert not leader.multi_raft.replicas[0].state.withholding_votes


@pytest.mark.parametrize("aware", [True, False])
def test_a_leader_that_sent_timeout_now_no_longer_responds_by_its_lease(aware, monkeypatch):
    """Even if a majority responded just now: the successor is elected at once, perhaps without any message to it."""
    if not aware:
        monkeypatch.setattr(LeadershipTransfer, "is_successor_notified", False)
    world = World(6)
    world.run(5.0)
    leader = world.leader(0)
    successor = next(node for node in world.nodes.values() if node is not leader)
    world.cuts |= {(at, leader.address) for at in world.nodes if at != leader.address}
    leader.multi_raft.replicas[0].transfer_leadership(world.now, successor.multi_raft.id)
    leader.pump()
    assert leader.multi_raft.replicas[0].is_leader is not aware
    try:
        world.run(0.1)
        assert successor.multi_raft.replicas[0].is_leader
        leader.pump()
    except Violation as violation:
        assert not aware
        assert violation.rule == "two owners"
    else:
        assert aware


MESSAGE_DELAY_S = 0.75  # longer than a leader waits for its successor


def continue_term_after_failed_transfer(monkeypatch):
    """Plants the fault that a leader whose successor does not take over in time continues in the same term."""
    in_progress = property(lambda self: self._state.now < self._deadline)
    monkeypatch.setattr(LeadershipTransfer, "in_progress", in_progress)
    notified = property(lambda self: self.in_progress and self._timeout_now_sent)
    monkeypatch.setattr(LeadershipTransfer, "is_successor_notified", notified)
    monkeypatch.setattr(LeadershipTransfer, "has_successor_failed", False)


def play_late_transfer(late_message: str) -> World:
    """One message of a transfer arrives after MESSAGE_DELAY_S; from then on the old leader receives no messages."""
    world = World(6)
    world.run(5.0)
    shard = 1
    leader = world.leader(shard)
    successor, third = (node for node in world.nodes.values() if node is not leader)
    if late_message == "TimeoutNow":
        world.stall(leader.address, successor.address, MESSAGE_DELAY_S)
    else:
        world.stall(successor.address, third.address, MESSAGE_DELAY_S)
        world.stall(successor.address, leader.address, MESSAGE_DELAY_S)
    world.quota_traffic.begin(world.now + 4.0)
    leader.multi_raft.replicas[shard].transfer_leadership(world.now, successor.multi_raft.id)
    leader.pump()
    world.run(0.01)
    successor.multi_raft.replicas[shard].state.election_deadline = float("inf")  # it remains a candidate if it is one
    world.run(MESSAGE_DELAY_S - 0.012)
    world.cuts |= {(node.address, leader.address) for node in (successor, third)}
    world.run(3.0)
    assert world.leader(shard) is not None
    return world


@pytest.mark.parametrize("late_message", ["TimeoutNow", "RequestVote"])
def test_a_late_message_of_a_transfer_elects_nobody_beside_a_lease(late_message):
    world = play_late_transfer(late_message)
    assert all(world.quota_traffic.granted.values())


@pytest.mark.parametrize("late_message", ["TimeoutNow", "RequestVote"])
def test_a_leader_that_continues_in_the_term_of_its_transfer_is_caught_as_two_owners(late_message, monkeypatch):
    continue_term_after_failed_transfer(monkeypatch)
    with pytest.raises(Violation, match="two owners"):
        play_late_transfer(late_message)


@pytest.mark.parametrize("late_message", ["TimeoutNow", "RequestVote"])
def test_grants_beside_a_late_transfer_are_caught_as_a_quota_granted_twice(late_message, monkeypatch):
    continue_term_after_failed_transfer(monkeypatch)
    monkeypatch.setattr(Checks, "_check_one_owner", lambda *_: None)
    with pytest.raises(Violation, match="quota granted twice"):
        play_late_transfer(late_message)


def test_a_leader_whose_successor_is_gone_leads_again_in_the_next_term_soon():
    world = World(6)
    world.run(5.0)
    leader = world.leader(0)
    replica = leader.multi_raft.replicas[0]
    successor = next(node for node in world.nodes.values() if node is not leader)
    term = replica.state.term
    world.propose(0)
    world.run(0.1)
    world.cuts |= {(leader.address, successor.address), (successor.address, leader.address)}
    replica.transfer_leadership(world.now, successor.multi_raft.id)
    leader.pump()
    assert not replica.accepts_proposals
    world.run(Timing().leadership_transfer_s + 0.1)
    assert replica.is_leader
    assert replica.state.term == term + 1
    assert leader.propose(0, "after the transfer")


def test_a_leader_cut_off_from_both_others_steps_down_and_confirms_no_reads():
    world = World(6)
    world.run(5.0)
    leader = world.leader(0)
    others = [at for at in world.nodes if at != leader.address]
    world.cuts |= {(leader.address, at) for at in others} | {(at, leader.address) for at in others}
    assert leader.read(0, object())  # would raise if confirmed, as the token is not a read of the simulation
    world.run(1.5)
    assert not leader.multi_raft.replicas[0].is_leader
    assert world.leader(0) is not None


# Snapshots and bounds


@pytest.mark.parametrize("seed", range(8))
def test_snapshots_in_many_chunks_survive_the_faults_too(seed, monkeypatch):
    monkeypatch.setattr(replication, "SNAPSHOT_CHUNK_BYTES", 40)
    monkeypatch.setattr(replica_module, "RETAINED_ENTRIES", 5)
    play(World(seed, size=4), 15.0)


@pytest.mark.parametrize("checks_alive", [True, False])
def test_a_transfer_to_a_lost_disk_does_not_delay_its_replacement(checks_alive, monkeypatch):
    """One group at a time sends a snapshot to a process; a transfer to an earlier id of its address must not count."""
    monkeypatch.setattr(replication, "SNAPSHOT_CHUNK_BYTES", 40)
    monkeypatch.setattr(replica_module, "RETAINED_ENTRIES", 5)
    if not checks_alive:
        monkeypatch.setattr(replication.LeaderReplication, "_is_alive", lambda _self, _progress: True)
    world = World(3)
    world.run(6.0)
    member = next(node for node in world.nodes.values() if node is not world.leader(0))
    for other in world.nodes:
        world.cuts |= {(member.address, other), (other, member.address)}
    for _ in range(1000):
        world.propose(0)
        world.run(0.005)
    old_id = member.multi_raft.id
    assert world.leader(0).multi_raft.replicas[0].replication.progress[old_id].mode is replication.ProgressMode.SNAPSHOT
    member.wipe()
    world.cuts.clear()
    member.start(world.seeds, bootstrap=False)
    world.run(4.0)
    assert member.multi_raft.replicas[0].state.is_voter is checks_alive


def test_entries_behind_a_snapshot_are_bounded_by_count_and_bytes(monkeypatch):
    monkeypatch.setattr(replica_module, "RETAINED_ENTRIES", 10)
    monkeypatch.setattr(replica_module, "RETAINED_BYTES", 1000)
    for size, retained in [(10, 10), (300, 3)]:
        log = ReplicaLog(entries=[Entry(1, EntryKind.COMMAND, bytes(size)) for _ in range(50)])
        replica = replica_module.Replica(ReplicaSettings(0, 1, 3), PersistentState(1, 0, log), random.Random(1), 0.0)
        replica.state.commit_index = replica.state.applied_index = 40
        replica.compact(b"state")
        assert (log.first_index, log.last_index) == (41 - retained, 50)


@pytest.mark.parametrize("missed", [1, 300, 1000])
@pytest.mark.parametrize("end", ["kill", "lose_power", "isolated"])
def test_a_member_that_missed_many_commands_catches_up_soon_and_never_leads_without_them(missed, end):
    world = World(missed)
    world.run(6.0)
    member = next(node for node in world.nodes.values() if node is not world.leader(0))
    others = [node for node in world.nodes.values() if node is not member]
    links = {(member.address, node.address) for node in others} | {(node.address, member.address) for node in others}
    world.cuts |= links if end == "isolated" else set()
    if end != "isolated":
        getattr(member, end)()
    for _ in range(missed):
        world.propose(0)
        world.run(0.01)
    acknowledged = len(world.checks.acked[0])
    assert acknowledged >= missed
    world.cuts.clear()
    if end != "isolated":
        member.start(world.seeds, bootstrap=False)
    world.run(2.0)
    assert len(member.machines[0].commands) >= acknowledged
    assert member.multi_raft.replicas[0].state.is_voter
    lost_leader = world.leader(0)
    lost_leader.lose_power()
    world.run(2.0)
    assert world.leader(0) is not None
    assert all(command in world.leader(0).machines[0].commands for command in world.checks.acked[0])


def test_a_wiped_voter_behind_a_slow_link_becomes_a_voter_and_delays_no_command():
    """Snapshots of all shards, appends, heartbeats and votes share a link of 5 Mbit/s, while commands continue."""
    world = World(11)
    world.run(8.0)
    for number in range(60):
        assert world.leader(0).propose(0, f"0:large{number}" + "x" * 20_000)
        world.run(0.02)
    snapshot_bytes = len(world.leader(0).machines[0].snapshot())
    member = next(node for node in world.nodes.values() if node not in {world.leader(shard) for shard in world.shards})
    world.bytes_per_s[member.address] = 5e6 / 8
    member.wipe()
    member.start(world.seeds, bootstrap=False)
    bound_s = 1.5 + 1.3 * snapshot_bytes / world.bytes_per_s[member.address]
    began = world.now
    while not all(replica.state.is_voter for replica in member.multi_raft.replicas.values()):
        before = len(world.checks.acked[0])
        world.propose(0)
        world.run(0.1)
        assert len(world.checks.acked[0]) > before  # there was always a leader, but for milliseconds of a transfer
        assert world.now - began < bound_s
    carried = sum(size for (_, receiver), size in world.carried.items() if receiver == member.address)
    assert snapshot_bytes < carried < 1.5 * snapshot_bytes


# Start


def test_leaders_are_back_soon_after_all_machines_lost_power():
    """A starting replica need not wait for a leader: pre-votes are rejected where one is alive."""
    durations_s = []
    for seed in range(12):
        world = World(seed)
        world.run(3.0)
        for node in world.nodes.values():
            node.lose_power()
        world.run(0.5)
        began = world.now
        for node in world.nodes.values():
            node.start(world.seeds, bootstrap=False)
        while any(world.leader(shard) is None for shard in world.shards):
            world.run(0.01)
        durations_s.append(world.now - began)
    assert sorted(durations_s)[len(durations_s) // 2] < 0.2


def test_a_machine_that_starts_while_a_leader_is_alive_does_not_replace_it():
    world = World(3)
    world.run(8.0)  # the preferred replicas lead
    leaders = {shard: world.leader(shard) for shard in world.shards}
    terms = {shard: leader.multi_raft.replicas[shard].state.term for shard, leader in leaders.items()}
    other = next(node for node in world.nodes.values() if node not in leaders.values())
    other.lose_power()
    world.run(0.5)
    other.start(world.seeds, bootstrap=False)
    world.run(3.0)
    assert {shard: world.leader(shard) for shard in world.shards} == leaders
    assert {shard: leader.multi_raft.replicas[shard].state.term for shard, leader in leaders.items()} == terms


# Commit index at followers


def test_followers_apply_a_command_without_waiting_for_a_heartbeat():
    world = World(5)
    world.run(8.0)
    durations_s = []
    for _ in range(20):
        world.run(0.317)
        began = world.now
        world.propose(0)
        replicas = [node.multi_raft.replicas[0] for node in world.nodes.values()]
        while any(
            replica.state.applied_index < world.leader(0).multi_raft.replicas[0].state.log.last_index
            for replica in replicas
        ):
            world.run(0.001)
        durations_s.append(world.now - began)
    assert sorted(durations_s)[len(durations_s) // 2] < Timing().heartbeat_s / 4
