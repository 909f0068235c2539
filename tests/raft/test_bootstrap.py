"""How groups come to be: first starts in any order, foundings that cross, and what must never found a second fleet."""

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
from ochrespan.raft.multi_raft import MultiRaft
from tests.support.raft_simulation.checks import Violation
from tests.support.raft_simulation.node import Node
from tests.support.raft_simulation.world import World, address

FIRST_LEADER_S = 1.0


def world_of(seed: int, starts: dict[int, float], **options) -> World:
    """A world in which the machines start at these times, in seconds, and the others not at all."""
    world = World(seed, starting=False, **options)
    for number, delay in starts.items():
        world.start_later(world.nodes[address(number)], delay)
    return world


def isolate(world: World, node: Node) -> None:
    others = [at for at in world.nodes if at != node.address]
    world.cuts |= {(node.address, at) for at in others} | {(at, node.address) for at in others}


def clusters(world: World) -> set[int]:
    return {node.table.bootstrap.identity.cluster_id for node in world.running()}


def machines_of(world: World, shard: int = 0) -> list[Address]:
    configuration = world.leader(shard).table.replicas[shard].core.configuration
    return sorted(member.address for member in configuration.voters)


def ordered(world: World, shard: int = 0, within_s: float = 2.0) -> bool:
    """Whether a new order is acknowledged in this time, sent again and again as an operator would."""
    before, until = len(world.checks.acked[shard]), world.now + within_s
    while world.now < until and len(world.checks.acked[shard]) == before:
        world.order(shard)
        world.run(0.05)
    return len(world.checks.acked[shard]) > before


# The first start


@pytest.mark.parametrize("seed", range(20))
def test_a_first_start_in_any_order_forms_one_group_of_all_seeds(seed):
    world = World(seed)
    world.run(0.3 + FIRST_LEADER_S)
    assert len(clusters(world)) == 1
    assert ordered(world)
    assert machines_of(world) == list(world.seeds)


@pytest.mark.parametrize("absent", [1, 2, 3])
@pytest.mark.parametrize("seed", range(4))
def test_a_first_start_goes_on_without_a_seed_that_is_late_and_takes_it_in_later(seed, absent):
    there = [number for number in (1, 2, 3) if number != absent]
    world = world_of(seed, {there[0]: 0.0, there[1]: 0.25})
    assert ordered(world, within_s=1.5)
    world.nodes[address(absent)].start(world.seeds, bootstrap=True)
    world.run(4.0)
    assert machines_of(world) == list(world.seeds)
    assert len(clusters(world)) == 1


@pytest.mark.parametrize("seed", range(6))
def test_a_seed_that_is_killed_before_its_first_sync_holds_up_nobody(seed):
    world = world_of(seed, {1: 0.0, 2: 0.1, 3: 0.1})
    killed = world.nodes[address(1 + seed % 3)]
    killed.hung_until = world.now + 60.0
    world.run(0.2 + 0.02 * seed)
    killed.wipe()
    killed.hung_until = 0.0
    world.later(0.6, None, lambda: killed.start(world.seeds, bootstrap=False))
    world.run(FIRST_LEADER_S)
    assert ordered(world)
    world.run(4.0)
    assert machines_of(world) == list(world.seeds)


def test_one_seed_alone_is_a_group():
    world = world_of(1, {1: 0.0}, size=1, fault_tolerance=0, seeds=(1,))
    world.run(1.0)
    assert ordered(world)


def test_the_members_follow_from_the_word_of_all_whatever_the_order_of_the_seeds():
    foundings = []
    for seeds in [tuple(map(address, (1, 2, 3))), tuple(map(address, (3, 1, 2)))]:
        bootstrap = Bootstrap.begin(BootstrapSettings(address(1), seeds, True, 1), None, random.Random(1), 0.0)
        for number in (2, 3):
            recorded = tuple(sorted(seeds))
            bootstrap.record_report(0.1, number, address(number), JoinRequest([0], True, True, recorded, 0.1))
        foundings.append(bootstrap.proposal(0.1))
    assert foundings[0] == foundings[1]
    assert [member.address for member in foundings[0].members] == list(map(address, (1, 2, 3)))


# Foundings that cross, and foundings that lead to nothing


def test_foundings_that_cross_end_in_one():
    """Machine 1 hears machine 3 alone, and machine 2 too: each pair may found without the other."""
    for seed in range(30):
        world = world_of(seed, {1: 0.0, 2: 0.05, 3: 0.1})
        world.cuts |= {(address(1), address(2)), (address(2), address(1))}
        world.run(0.3 + 0.05 * (seed % 6))
        world.cuts.clear()
        world.run(6.0)
        assert len(clusters(world)) == 1, seed
        assert ordered(world), seed
        assert machines_of(world) == list(world.seeds), seed


def test_a_founding_whose_other_members_lost_their_disks_at_once_is_given_up():
    """None of the three has an entry: nothing can have been acknowledged."""
    world = world_of(2, {1: 0.0, 2: 0.0, 3: 0.0})
    founder, *others = world.nodes.values()
    while not founder.running or founder.table.bootstrap.is_unbootstrapped:
        world.run(0.001)
    isolate(world, founder)
    for node in others:
        node.wipe()
        node.start(world.seeds, bootstrap=True)
    world.run(MAX_START_SPREAD_S)  # from here on the word of most is not enough for the two
    assert founder.table.replicas[0].core.log.last_index == 0
    world.cuts.clear()
    world.run(ABANDON_AFTER_S + 4.0)
    assert ordered(world)
    assert len(clusters(world)) == 1


# Disks that were lost


@pytest.mark.parametrize("seed", range(10))
def test_a_wiped_founder_with_the_settings_of_its_first_start_neither_votes_nor_founds(seed):
    """The one that lags, and the wiped one, would lead without the order that the other two acknowledged."""
    world = World(seed)
    world.run(3.0)
    leader = world.leader(0)
    third, lagging = (node for node in world.nodes.values() if node is not leader)
    isolate(world, lagging)
    assert ordered(world)
    third.wipe()
    third.start(world.seeds, bootstrap=True)
    isolate(world, leader)
    world.cuts -= {(third.address, lagging.address), (lagging.address, third.address)}
    world.run(20.0)
    assert world.leader(0) is None
    world.cuts.clear()
    world.run(5.0)
    assert ordered(world)
    world.run(0.5)
    world.checks.at_the_end(list(world.nodes.values()))


@pytest.mark.parametrize("bootstrap", [True, False])
def test_a_wiped_founder_and_one_that_was_cut_off_from_the_beginning_do_not_found_beside_the_living(bootstrap):
    world = World(4)
    lagging = world.nodes[address(3)]
    isolate(world, lagging)
    world.run(2.0)
    assert ordered(world)
    wiped = next(node for node in world.nodes.values() if node not in (lagging, world.leader(0)))
    leader = world.leader(0)
    wiped.wipe()
    wiped.start(world.seeds, bootstrap)
    isolate(world, leader)
    world.cuts -= {(wiped.address, lagging.address), (lagging.address, wiped.address)}
    world.run(20.0)
    assert wiped.table.bootstrap.is_unbootstrapped
    assert world.leader(0) is None
    world.cuts.clear()
    world.run(5.0)
    # The founding left a place for the machine that was cut off, and the second disk went before that was filled:
    # what was acknowledged stays on the one disk that has it, and nobody answers in its stead.
    assert not ordered(world)
    assert leader.machines[0].commands[:1] == world.checks.acked[0]
    assert {node.table.bootstrap.is_unbootstrapped for node in (wiped, lagging)} == {True}


def test_two_new_machines_whose_seeds_name_just_these_two_found_nothing():
    world = World(1)
    world.run(3.0)
    assert ordered(world)
    world.seeds = (address(4), address(5))
    for number in (4, 5):
        world.add(number).start(world.seeds, bootstrap=False)
    world.run(30.0)
    assert all(world.nodes[address(number)].table.bootstrap.is_unbootstrapped for number in (4, 5))
    assert not world.nodes[address(4)].propose(0, "0:beside")


def test_empty_replicas_wait_while_a_founder_is_silent():
    """The silent one may hold all that was acknowledged."""
    world = World(1)
    world.run(3.0)
    assert ordered(world)
    keeper, *others = world.nodes.values()
    keeper.lose_power()
    for node in others:
        node.wipe()
        node.start(world.seeds, bootstrap=False)
    world.run(30.0)
    assert all(node.table.bootstrap.is_unbootstrapped for node in others)


def test_processes_killed_before_their_first_entry_form_the_groups_again():
    """Their disks have the mark of the first start and nothing else."""
    world = World(1)
    world.cuts |= {(first, second) for first in world.nodes for second in world.nodes}
    world.run(0.5)
    for node in world.nodes.values():
        node.lose_power()
    world.cuts.clear()
    for node in world.nodes.values():
        node.start(world.seeds, bootstrap=False)
    world.run(2.0)
    assert ordered(world)
    assert machines_of(world) == list(world.seeds)


def test_a_founder_that_never_heard_of_the_group_does_not_found_with_two_wiped_ones():
    """A spare took the place of the first that lost its disk; it has what was acknowledged, and is out of reach."""
    world = World(4, size=4)
    unheard = world.nodes[address(3)]
    isolate(world, unheard)
    world.run(3.0)
    assert ordered(world)
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
    assert all(node.table.bootstrap.is_unbootstrapped for node in wiped)


def test_disks_without_a_mark_are_founded_by_the_operators_word_alone():
    """All were lost before their first sync: the settings say once more that the whole system starts."""
    world = World(1)
    for node in world.nodes.values():
        node.latency_x = 1e6
    world.run(0.5)
    for node in world.nodes.values():
        node.wipe()
        node.latency_x = 1.0
        node.start(world.seeds, bootstrap=False)
    world.run(2 * ABANDON_AFTER_S)
    assert world.leader(0) is None
    for node in world.nodes.values():
        node.kill()
        node.start(world.seeds, bootstrap=True)
    world.run(3.0)
    assert ordered(world)
    assert machines_of(world) == list(world.seeds)


def test_an_id_never_comes_back_with_another_disk():
    ids = set()
    for bootstrap in (True, True, False):
        settings = BootstrapSettings(address(1), tuple(map(address, (1, 2, 3))), bootstrap, 1)
        ids.add(Bootstrap.begin(settings, None, random.Random(len(ids)), 0.0).identity.replica_id)
    assert len(ids) == 3


def test_a_member_without_the_mark_stays_in_its_founding():
    """It lost its disk before its first sync and was counted in by the others: its id may be needed."""
    seeds = tuple(map(address, (1, 2, 3)))
    bootstrap = Bootstrap.begin(BootstrapSettings(address(3), seeds, False, 1), None, random.Random(1), 0.0)
    founding = BootstrapProposal(
        (Member(1, address(1)), Member(2, address(2)), Member(bootstrap.identity.replica_id, address(3)))
    )
    bootstrap.accept(0.1, founding)
    assert not bootstrap.has_stalled(10.0, founding.members)


def test_members_of_foundings_that_crossed_hear_that_the_others_have_no_entry():
    seeds = tuple(map(address, (1, 2, 3)))
    tables = []
    for number in (1, 2):
        settings = BootstrapSettings(address(number), seeds, True, 1)
        tables.append(MultiRaft(settings, (0,), None, {}, random.Random(number), 0.0))
    first, second = tables
    for table, other in ((first, 11), (second, 12)):
        members = tuple(
            Member(table.id if at == table.settings.address else other + position, at)
            for position, at in enumerate(seeds)
        )
        table._bootstrap_protocol._start_groups(0.0, BootstrapProposal(members, True))
        table.replicas[0].core.enter_term(1)
    second._query(1.0)
    for to, envelope in second.take_envelopes():
        if to == first.settings.address:
            first.receive(1.0, envelope)
    assert first.bootstrap._reports[second.settings.address].has_no_entries


# The word of most


@pytest.mark.parametrize(
    ("ages", "group_known", "may"),
    [
        ({2: 0.1}, False, True),
        ({2: MAX_START_SPREAD_S + 0.3}, False, False),  # it has waited since long before: a group may live beside it
        ({2: -1.0}, False, False),  # it starts for the second time
        ({2: 0.1}, True, False),
        ({}, False, False),
    ],
)
def test_the_word_of_most_founders_is_enough_in_their_first_start_alone(ages, group_known, may):
    seeds = tuple(map(address, (1, 2, 3)))
    bootstrap = Bootstrap.begin(BootstrapSettings(address(1), seeds, True, 1), None, random.Random(1), 10.0)
    recorded = seeds
    for number, age in ages.items():
        bootstrap.record_report(10.25, number, address(number), JoinRequest([0], True, True, recorded, age))
    if group_known:
        bootstrap.record_report(10.2, 9, address(9), JoinRequest([0], False, False))
    found = bootstrap.proposal(10.25)
    assert (found is not None) is may
    if found:
        assert [member.address for member in found.members] == list(seeds)


def test_a_founder_that_a_leader_takes_for_another_id_counts_for_no_first_start():
    """A leader speaks to the place of a machine that was late, or that has just lost its disk."""
    seeds = tuple(map(address, (1, 2, 3)))
    table = MultiRaft(BootstrapSettings(address(2), seeds, True, 1), (0,), None, {}, random.Random(1), 10.0)
    assert table.bootstrap.first_start_age(10.2) >= 0
    envelope = Envelope(7, 99, address(3), table.id + 1, [(0, Heartbeat(1, 0, 5.0, 0.0))])
    table.receive(10.1, envelope)
    assert table.bootstrap.first_start_age(10.2) == NOT_FIRST_START
    table.bootstrap.record_report(10.2, 5, address(1), JoinRequest([0], True, True, seeds, 0.1))
    assert table.bootstrap.proposal(10.3) is None


def test_a_founding_that_names_another_id_at_this_address_is_not_taken():
    seeds = tuple(map(address, (1, 2, 3)))
    bootstrap = Bootstrap.begin(BootstrapSettings(address(1), seeds, True, 1), None, random.Random(1), 0.0)
    assert not bootstrap.accepts(BootstrapProposal(tuple(Member(number, address(number)) for number in (1, 2, 3))))


def test_clusters_differ_by_their_members():
    first, second = (tuple(Member(number, address(number)) for number in numbers) for numbers in ((1, 2), (1, 3)))
    assert cluster_id_of(first) != cluster_id_of(second)
    assert cluster_id_of(first) == cluster_id_of(first[::-1])


# The checkers catch the faults that these are for


def test_founding_on_the_word_of_the_empty_alone_is_caught(monkeypatch):
    monkeypatch.setattr(Bootstrap, "_is_majority_in_first_start", lambda self, now, empty: len(empty) > 1)
    world = World(1)
    lagging = world.nodes[address(3)]
    isolate(world, lagging)
    world.run(2.0)
    assert ordered(world)
    leader = world.leader(0)
    wiped = next(node for node in world.nodes.values() if node not in (lagging, leader))
    wiped.wipe()
    wiped.start(world.seeds, bootstrap=True)
    isolate(world, leader)
    world.cuts -= {(wiped.address, lagging.address), (lagging.address, wiped.address)}
    with pytest.raises(Violation, match="two clusters|lost order|two leaders of one term"):
        world.run(3.0)
        ordered(world)


# First starts amid troubles


def trouble_first_start(world: World, wipes: bool) -> None:
    """Kills, losses of power, cuts, freezes and slow disks in the first two seconds, and a lost disk if wanted."""
    draw = world.random
    nodes = list(world.nodes.values())

    def restart(node: Node) -> None:
        if not node.running:
            node.start(world.seeds, draw.random() < 0.5)

    def cut(node: Node) -> None:
        other = draw.choice(nodes)
        links = {(node.address, other.address), (other.address, node.address)}
        if draw.random() < 0.5:
            links.pop()
        world.cuts.update(links)
        world.later(draw.choice([0.1, 0.5, 2.0]), None, lambda: world.cuts.difference_update(links))

    def end(node: Node, how: str) -> None:
        getattr(node, how)()
        world.later(draw.uniform(0.05, 0.8), None, lambda: restart(node))

    actions = [
        cut,
        lambda node: end(node, "kill"),
        lambda node: end(node, "lose_power"),
        lambda node: setattr(node, "frozen_until", world.now + 0.5),
        lambda node: setattr(node, "latency_x", draw.choice([1.0, 30.0, 150.0])),
    ]
    for _ in range(draw.randint(1, 6)):
        action, node = draw.choice(actions), draw.choice(nodes)
        world.later(draw.uniform(0.0, 2.0), None, lambda action=action, node=node: action(node))
    if wipes:
        world.later(draw.uniform(0.1, 2.0), None, lambda: end(draw.choice(nodes), "wipe"))


@pytest.mark.parametrize("wipes", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_one_fleet_comes_of_a_first_start_amid_troubles(seed, wipes):
    """Whatever was acknowledged stays; without a lost disk orders are taken in the end."""
    world = World(1000 + seed)
    world.traffic(0.05, world.now + 12.0)
    trouble_first_start(world, wipes)
    world.run(4.0)
    world.cuts.clear()
    for node in world.nodes.values():
        node.latency_x = 1.0
        if not node.running:
            node.start(world.seeds, bootstrap=False)
    world.run(10.0)
    if not wipes:
        assert ordered(world, within_s=5.0)
        assert machines_of(world) == list(world.seeds)
        assert len(clusters(world)) == 1
