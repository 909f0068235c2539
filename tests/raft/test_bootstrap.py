"""Forming the groups: first starts in any order, concurrent bootstraps, and cases that must not form a second fleet."""

import random

import pytest

from ochrespan.common.addresses import Address
from ochrespan.raft.bootstrap import ABANDON_AFTER_S, MAX_START_SPREAD_S, Bootstrap, BootstrapSettings
from ochrespan.raft.cluster_messages import (
    NOT_FIRST_START,
    BootstrapProposal,
    JoinRequest,
    cluster_id_of,
)
from ochrespan.raft.envelope import Envelope
from ochrespan.raft.membership_config import Member
from ochrespan.raft.messages import Heartbeat
from ochrespan.raft.multi_raft import MultiRaft, RecoveredGroups
from ochrespan.raft.opening import Opening
from tests.support.raft_simulation.checks import Violation
from tests.support.raft_simulation.first_start import (
    isolate,
    play_faulty_first_start,
    play_two_first_starts,
    world_of,
)
from tests.support.raft_simulation.world import World, address

FIRST_LEADER_S = 1.0


def clusters(world: World) -> set[int]:
    return {node.multi_raft.bootstrap.identity.cluster_id for node in world.running()}


def machines_of(world: World, shard: int = 0) -> list[Address]:
    configuration = world.leader(shard).multi_raft.replicas[shard].state.configuration
    return sorted(member.address for member in configuration.voters)


def is_command_acknowledged(world: World, shard: int = 0, within_s: float = 2.0) -> bool:
    """Whether a new command, sent repeatedly as an operator would, is acknowledged within `within_s`."""
    before, until = len(world.checks.acked[shard]), world.now + within_s
    while world.now < until and len(world.checks.acked[shard]) == before:
        world.propose(shard)
        world.run(0.05)
    return len(world.checks.acked[shard]) > before


def proceed_without_missing(world: World) -> None:
    """Confirms at every controller, as an operator, that the missing initial members will not join."""
    for node in world.running():
        node.multi_raft.opening.proceed_without_missing()


# The first start


@pytest.mark.parametrize("seed", range(20))
def test_a_first_start_in_any_order_forms_one_group_of_all_seeds(seed):
    world = World(seed)
    world.run(0.3 + FIRST_LEADER_S)
    assert len(clusters(world)) == 1
    assert is_command_acknowledged(world)
    assert machines_of(world) == list(world.seeds)


@pytest.mark.parametrize("absent", [1, 2, 3])
@pytest.mark.parametrize("seed", range(4))
def test_a_first_start_without_a_late_seed_has_leaders_and_accepts_commands_once_it_is_there(seed, absent):
    there = [number for number in (1, 2, 3) if number != absent]
    world = world_of(seed, {there[0]: 0.0, there[1]: 0.25})
    world.run(1.5)
    assert all(world.leader(shard) for shard in world.shards)
    assert not is_command_acknowledged(world)
    assert world.leader(0).multi_raft.opening.missing_members() == [address(absent)]
    world.nodes[address(absent)].start(world.seeds, bootstrap=True)
    assert is_command_acknowledged(world, within_s=1.0)
    assert world.leader(0).multi_raft.opening.missing_members() == []
    world.run(4.0)
    assert machines_of(world) == list(world.seeds)
    assert len(clusters(world)) == 1


@pytest.mark.parametrize("absent", [1, 2, 3])
@pytest.mark.parametrize("seed", range(4))
def test_a_first_start_proceeds_without_a_seed_that_an_operator_says_will_not_come(seed, absent):
    there = [number for number in (1, 2, 3) if number != absent]
    world = world_of(seed, {there[0]: 0.0, there[1]: 0.25})
    world.run(1.5)
    proceed_without_missing(world)
    assert is_command_acknowledged(world, within_s=0.5)
    world.nodes[address(absent)].start(world.seeds, bootstrap=True)
    world.run(4.0)
    assert machines_of(world) == list(world.seeds)
    assert len(clusters(world)) == 1


@pytest.mark.parametrize("seed", range(6))
def test_a_seed_killed_before_its_first_sync_does_not_delay_the_others(seed):
    world = world_of(seed, {1: 0.0, 2: 0.1, 3: 0.1})
    killed = world.nodes[address(1 + seed % 3)]
    killed.hung_until = world.now + 60.0
    world.run(0.2 + 0.02 * seed)
    killed.wipe()
    killed.hung_until = 0.0
    world.later(0.6, None, lambda: killed.start(world.seeds, bootstrap=False))
    world.run(FIRST_LEADER_S)
    assert is_command_acknowledged(world)
    world.run(4.0)
    assert machines_of(world) == list(world.seeds)


def test_a_single_seed_forms_a_group():
    world = world_of(1, {1: 0.0}, size=1, fault_tolerance=0, seeds=(1,))
    world.run(1.0)
    assert is_command_acknowledged(world)


def test_the_members_do_not_depend_on_the_order_of_the_seeds():
    proposals = []
    for seeds in [tuple(map(address, (1, 2, 3))), tuple(map(address, (3, 1, 2)))]:
        bootstrap = Bootstrap.begin(BootstrapSettings(address(1), seeds, True, 1), None, random.Random(1), 0.0)
        for number in (2, 3):
            recorded = tuple(sorted(seeds))
            bootstrap.record_report(0.1, number, address(number), JoinRequest([0], True, True, recorded, 0.1))
        proposals.append(bootstrap.proposal(0.1))
    assert proposals[0] == proposals[1]
    assert [member.address for member in proposals[0].members] == list(map(address, (1, 2, 3)))


# Concurrent bootstraps, and bootstraps without progress


def test_crossed_bootstraps_end_in_one_cluster():
    """Machines 1 and 2 reach machine 3, but not each other: each pair may propose without the other."""
    for seed in range(30):
        world = world_of(seed, {1: 0.0, 2: 0.05, 3: 0.1})
        world.cuts |= {(address(1), address(2)), (address(2), address(1))}
        world.run(0.3 + 0.05 * (seed % 6))
        world.cuts.clear()
        world.run(6.0)
        assert len(clusters(world)) == 1, seed
        assert is_command_acknowledged(world), seed
        assert machines_of(world) == list(world.seeds), seed


def test_a_bootstrap_whose_other_members_lost_their_disks_is_abandoned():
    """None of the three has an entry: nothing can have been acknowledged."""
    world = world_of(2, {1: 0.0, 2: 0.0, 3: 0.0})
    initial_member, *others = world.nodes.values()
    while not initial_member.running or initial_member.multi_raft.bootstrap.is_unbootstrapped:
        world.run(0.001)
    isolate(world, initial_member)
    for node in others:
        node.wipe()
        node.start(world.seeds, bootstrap=True)
    world.run(MAX_START_SPREAD_S)  # from here on the reports of a majority are not enough for these two
    assert initial_member.multi_raft.replicas[0].state.log.last_index == 0
    world.cuts.clear()
    world.run(ABANDON_AFTER_S + 4.0)
    assert is_command_acknowledged(world)
    assert len(clusters(world)) == 1


# Disks that were lost


@pytest.mark.parametrize("seed", range(10))
def test_a_wiped_initial_member_with_the_settings_of_its_first_start_neither_votes_nor_bootstraps(seed):
    """The lagging and the wiped member would elect a leader without the command that the other two acknowledged."""
    world = World(seed)
    world.run(3.0)
    leader = world.leader(0)
    third, lagging = (node for node in world.nodes.values() if node is not leader)
    isolate(world, lagging)
    assert is_command_acknowledged(world)
    third.wipe()
    third.start(world.seeds, bootstrap=True)
    isolate(world, leader)
    world.cuts -= {(third.address, lagging.address), (lagging.address, third.address)}
    world.run(20.0)
    assert world.leader(0) is None
    world.cuts.clear()
    world.run(5.0)
    assert is_command_acknowledged(world)
    world.run(0.5)
    world.checks.check_final_state(list(world.nodes.values()))


@pytest.mark.parametrize("bootstrap", [True, False])
def test_a_wiped_initial_member_and_one_that_was_never_reachable_end_in_one_cluster(bootstrap):
    """The only initial member that is left in the first cluster leaves it, as it has acknowledged nothing."""
    world = World(4)
    lagging = world.nodes[address(3)]
    isolate(world, lagging)
    world.run(2.0)
    assert not is_command_acknowledged(world)
    wiped = next(node for node in world.nodes.values() if node not in (lagging, world.leader(0)))
    leader = world.leader(0)
    wiped.wipe()
    wiped.start(world.seeds, bootstrap)
    isolate(world, leader)
    world.cuts -= {(wiped.address, lagging.address), (lagging.address, wiped.address)}
    world.run(20.0)
    assert wiped.multi_raft.bootstrap.is_unbootstrapped
    assert world.leader(0) is None
    world.cuts.clear()
    world.run(5.0)
    assert is_command_acknowledged(world)
    world.run(4.0)
    assert len(clusters(world)) == 1
    assert machines_of(world) == list(world.seeds)


@pytest.mark.parametrize(("size", "fault_tolerance"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", range(10))
def test_of_two_clusters_of_one_first_start_at_most_one_acknowledges_commands(seed, size, fault_tolerance):
    world = play_two_first_starts(seed, size, fault_tolerance, age_difference_s=0.03 * seed)
    assert len(clusters(world)) == 1
    assert is_command_acknowledged(world)
    world.run(2.0)
    world.checks.check_final_state(list(world.nodes.values()))


def test_a_cluster_that_is_opened_without_all_initial_members_is_caught_as_two_clusters(monkeypatch):
    monkeypatch.setattr(Opening, "is_open", lambda *_: True)
    with pytest.raises(Violation, match="two clusters|stale read"):
        play_two_first_starts(1, 3, 1, 0.1)


def test_a_cluster_without_commands_yields_to_one_that_has_some():
    """The operator opened the first cluster rightly; then a wiped machine 2 and machine 3 start with its seeds."""
    world = world_of(1, {1: 0.0, 2: 0.0})
    world.run(1.5)
    proceed_without_missing(world)
    assert is_command_acknowledged(world)
    isolate(world, world.nodes[address(1)])
    second, late = world.nodes[address(2)], world.nodes[address(3)]
    second.wipe()
    for node in (second, late):
        node.start(world.seeds, bootstrap=True)
    world.run(2.0)
    assert len(clusters(world)) == 2
    assert not is_command_acknowledged(world)
    world.cuts.clear()
    world.run(3.0)
    assert all(node.multi_raft.bootstrap.is_unbootstrapped for node in (second, late))
    assert world.nodes[address(1)].machines[0].commands[:1] == world.checks.acked[0]


def test_two_new_machines_whose_seeds_are_just_these_two_form_no_cluster():
    world = World(1)
    world.run(3.0)
    assert is_command_acknowledged(world)
    world.seeds = (address(4), address(5))
    for number in (4, 5):
        world.add(number).start(world.seeds, bootstrap=False)
    world.run(30.0)
    assert all(world.nodes[address(number)].multi_raft.bootstrap.is_unbootstrapped for number in (4, 5))
    assert not world.nodes[address(4)].propose(0, "0:beside")


def test_empty_replicas_wait_while_an_initial_member_is_unreachable():
    """Only the unreachable member may have the acknowledged commands."""
    world = World(1)
    world.run(3.0)
    assert is_command_acknowledged(world)
    unreachable, *others = world.nodes.values()
    unreachable.lose_power()
    for node in others:
        node.wipe()
        node.start(world.seeds, bootstrap=False)
    world.run(30.0)
    assert all(node.multi_raft.bootstrap.is_unbootstrapped for node in others)


def test_processes_killed_before_their_first_entry_form_the_groups_again():
    """Their disks contain the recorded initial members and nothing else."""
    world = World(1)
    world.cuts |= {(first, second) for first in world.nodes for second in world.nodes}
    world.run(0.5)
    for node in world.nodes.values():
        node.lose_power()
    world.cuts.clear()
    for node in world.nodes.values():
        node.start(world.seeds, bootstrap=False)
    world.run(2.0)
    assert is_command_acknowledged(world)
    assert machines_of(world) == list(world.seeds)


def test_an_initial_member_that_never_joined_does_not_bootstrap_with_two_wiped_ones():
    """The standby that replaced the first wiped member has the acknowledged commands and is unreachable."""
    world = World(4, size=4)
    never_joined = world.nodes[address(3)]
    isolate(world, never_joined)
    world.run(3.0)
    proceed_without_missing(world)
    assert is_command_acknowledged(world)
    wiped = []
    for number in (1, 2):
        world.run(5.0)
        world.nodes[address(number)].wipe()
        wiped.append(world.nodes[address(number)])
        world.run(5.0)
    isolate(world, world.nodes[address(4)])
    world.cuts -= {pair for pair in world.cuts if address(4) not in pair}
    for node in wiped:
        node.start(world.seeds, bootstrap=False)
    world.run(20.0)
    assert world.leader(0) is None
    assert all(node.multi_raft.bootstrap.is_unbootstrapped for node in wiped)


def test_disks_without_recorded_initial_members_bootstrap_only_if_the_settings_say_so():
    """All disks were lost before their first sync, so `bootstrap: true` has to be set again."""
    world = World(1)
    for node in world.nodes.values():
        node.latency_factor = 1e6
    world.run(0.5)
    for node in world.nodes.values():
        node.wipe()
        node.latency_factor = 1.0
        node.start(world.seeds, bootstrap=False)
    world.run(2 * ABANDON_AFTER_S)
    assert world.leader(0) is None
    for node in world.nodes.values():
        node.kill()
        node.start(world.seeds, bootstrap=True)
    world.run(3.0)
    assert is_command_acknowledged(world)
    assert machines_of(world) == list(world.seeds)


def test_an_id_never_comes_back_with_another_disk():
    ids = set()
    for bootstrap in (True, True, False):
        settings = BootstrapSettings(address(1), tuple(map(address, (1, 2, 3))), bootstrap, 1)
        ids.add(Bootstrap.begin(settings, None, random.Random(len(ids)), 0.0).identity.replica_id)
    assert len(ids) == 3


def test_a_member_without_recorded_initial_members_stays_in_its_cluster():
    """Its disk was lost before its first sync; the others count it as a voter, so its vote may be needed."""
    seeds = tuple(map(address, (1, 2, 3)))
    bootstrap = Bootstrap.begin(BootstrapSettings(address(3), seeds, False, 1), None, random.Random(1), 0.0)
    proposal = BootstrapProposal(
        (Member(1, address(1)), Member(2, address(2)), Member(bootstrap.identity.replica_id, address(3)))
    )
    bootstrap.accept(0.1, proposal)
    assert not bootstrap.check_stalled(10.0, proposal.members)


def test_members_of_crossed_bootstraps_report_that_they_have_no_entry():
    seeds = tuple(map(address, (1, 2, 3)))
    tables = []
    for number in (1, 2):
        settings = BootstrapSettings(address(number), seeds, True, 1)
        tables.append(MultiRaft(settings, RecoveredGroups.of_groups((0,), None, {}), random.Random(number), 0.0))
    first, second = tables
    for table, other in ((first, 11), (second, 12)):
        members = tuple(
            Member(table.id if at == table.settings.address else other + position, at)
            for position, at in enumerate(seeds)
        )
        table._bootstrap_protocol._start_groups(0.0, BootstrapProposal(members, True))
        table.replicas[0].state.enter_term(1)
    second._query(1.0)
    for to, envelope in second.take_envelopes():
        if to == first.settings.address:
            first.receive(1.0, envelope)
    assert first.bootstrap._reports[second.settings.address].has_no_entries


# Reports of a majority


@pytest.mark.parametrize(
    ("ages", "knows_group", "may_propose"),
    [
        ({2: 0.1}, False, True),
        ({2: MAX_START_SPREAD_S + 0.3}, False, False),  # it started long before: a group that it doesn't know may exist
        ({2: -1.0}, False, False),  # it was started before with its disk
        ({2: 0.1}, True, False),
        ({}, False, False),
    ],
)
def test_reports_of_a_majority_are_enough_in_a_first_start_alone(ages, knows_group, may_propose):
    seeds = tuple(map(address, (1, 2, 3)))
    bootstrap = Bootstrap.begin(BootstrapSettings(address(1), seeds, True, 1), None, random.Random(1), 10.0)
    recorded = seeds
    for number, age in ages.items():
        bootstrap.record_report(10.25, number, address(number), JoinRequest([0], True, True, recorded, age))
    if knows_group:
        bootstrap.record_report(10.2, 9, address(9), JoinRequest([0], False, False))
    proposal = bootstrap.proposal(10.25)
    assert (proposal is not None) is may_propose
    if proposal:
        assert [member.address for member in proposal.members] == list(seeds)


def test_an_initial_member_that_a_leader_knows_under_another_id_is_in_no_first_start():
    """A leader sends to the id of a machine that was late, or that has just lost its disk."""
    seeds = tuple(map(address, (1, 2, 3)))
    settings = BootstrapSettings(address(2), seeds, True, 1)
    table = MultiRaft(settings, RecoveredGroups.of_groups((0,), None, {}), random.Random(1), 10.0)
    assert table.bootstrap.first_start_age(10.2) >= 0
    envelope = Envelope(7, 99, address(3), table.id + 1, [(0, Heartbeat(1, 0, 5.0, 0.0))])
    table.receive(10.1, envelope)
    assert table.bootstrap.first_start_age(10.2) == NOT_FIRST_START
    table.bootstrap.record_report(10.2, 5, address(1), JoinRequest([0], True, True, seeds, 0.1))
    assert table.bootstrap.proposal(10.3) is None


def test_a_proposal_with_another_id_at_this_address_is_not_accepted():
    seeds = tuple(map(address, (1, 2, 3)))
    bootstrap = Bootstrap.begin(BootstrapSettings(address(1), seeds, True, 1), None, random.Random(1), 0.0)
    assert not bootstrap.accepts(BootstrapProposal(tuple(Member(number, address(number)) for number in (1, 2, 3))))


def test_cluster_ids_depend_on_the_members():
    first, second = (tuple(Member(number, address(number)) for number in numbers) for numbers in ((1, 2), (1, 3)))
    assert cluster_id_of(first) != cluster_id_of(second)
    assert cluster_id_of(first) == cluster_id_of(first[::-1])


# The checkers of the simulation catch planted faults


def test_a_bootstrap_on_the_reports_of_empty_disks_alone_is_caught(monkeypatch):
    """The rule that all initial members have to join before commands would make this harmless, so it is off."""
    monkeypatch.setattr(Opening, "is_open", lambda *_: True)
    monkeypatch.setattr(Bootstrap, "_is_majority_in_first_start", lambda self, now, reports: len(reports) > 1)
    world = World(1)
    lagging = world.nodes[address(3)]
    isolate(world, lagging)
    world.run(2.0)
    assert is_command_acknowledged(world)
    leader = world.leader(0)
    wiped = next(node for node in world.nodes.values() if node not in (lagging, leader))
    wiped.wipe()
    wiped.start(world.seeds, bootstrap=True)
    isolate(world, leader)
    world.cuts -= {(wiped.address, lagging.address), (lagging.address, wiped.address)}
    with pytest.raises(Violation, match="two clusters|lost command|two leaders of one term"):
        world.run(3.0)
        is_command_acknowledged(world)


# First starts with faults


@pytest.mark.parametrize("wipes", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_a_first_start_with_faults_forms_one_fleet(seed, wipes):
    """No acknowledged command is lost; without a lost disk commands are acknowledged in the end."""
    world = World(1000 + seed)
    play_faulty_first_start(world, wipes)
    if not wipes:
        assert is_command_acknowledged(world, within_s=5.0)
        assert machines_of(world) == list(world.seeds)
        assert len(clusters(world)) == 1
