"""As many disks as may be lost are lost while all other machines lose power, at every step of a change of members."""

import itertools

import pytest

from tests.support.raft_simulation.faults import CATCH_UP_S
from tests.support.raft_simulation.node import Node
from tests.support.raft_simulation.world import World, address

DOWN_S = 0.5
RECOVERY_S = 6.0
SIZES = [(3, 1), (4, 1), (5, 2)]


def order(world: World) -> None:
    """A new order is acknowledged within five seconds, sent again and again as an operator would."""
    before = len(world.checks.acked[0])
    for _ in range(100):
        world.propose(0)
        world.run(0.05)
        if len(world.checks.acked[0]) > before:
            return
    raise AssertionError("no order is acknowledged")


def close(world: World, wiped: list[Node]) -> None:
    """Disks are lost, everybody else loses power, all come back: nothing acknowledged is missing, and orders go on."""
    for node in world.nodes.values():
        node.wipe() if node in wiped else node.lose_power()
    world.run(DOWN_S)
    for node in world.nodes.values():
        node.start(world.seeds, bootstrap=False)
    world.run(RECOVERY_S)
    order(world)
    world.run(0.5)
    world.checks.at_the_end(list(world.nodes.values()))


def every_loss(size: int, tolerated: int):
    return list(itertools.combinations(range(1, size + 1), tolerated))


CASES = [(size, tolerated, lost) for size, tolerated in SIZES for lost in every_loss(size, tolerated)]


@pytest.mark.parametrize(("size", "tolerated", "lost"), CASES)
def test_right_after_the_first_order_of_a_first_start(size, tolerated, lost):
    world = World(sum(lost), size, tolerated)
    while not world.checks.acked[0]:
        world.propose(0)
        world.run(0.01)
    close(world, [world.nodes[address(number)] for number in lost])


@pytest.mark.parametrize("delay", [0.02, 0.1, 0.2, 0.4, 0.8, 1.5])
@pytest.mark.parametrize(("size", "tolerated"), SIZES)
def test_while_a_group_grows(size, tolerated, delay):
    """Orders come from the beginning; before the first of them is acknowledged nothing is owed."""
    for seed, lost in enumerate(every_loss(size, tolerated)):
        world = World(seed, size, tolerated)
        while not world.checks.acked[0]:
            world.propose(0)
            world.run(0.01)
        until = world.now + delay
        while world.now < until:
            world.propose(0)
            world.run(0.02)
        close(world, [world.nodes[address(number)] for number in lost])


@pytest.mark.parametrize("extra", [0.0, 0.1, 1.0])
@pytest.mark.parametrize("kind", ["replaced", "wiped"])
@pytest.mark.parametrize(("size", "tolerated"), SIZES)
def test_at_the_instant_at_which_the_time_to_catch_up_ends(size, tolerated, kind, extra):
    """A loss has been repaired: as many disks may go again, the new ones among them or not."""
    for seed in range(6):
        world = World(seed, size, tolerated)
        world.run(5.0)
        order(world)
        first = world.random.sample(list(world.nodes.values()), tolerated)
        for position, node in enumerate(first):
            if kind == "wiped":
                node.wipe()
            else:
                node.lose_power()
                del world.nodes[node.address]
                first[position] = world.add(size + 1 + position)
        world.run(1.0)
        for node in first:
            node.start(world.seeds, bootstrap=False)
        world.run(CATCH_UP_S + extra)
        order(world)
        second = world.random.sample(list(world.nodes.values()), tolerated)
        close(world, second)


@pytest.mark.parametrize("delay", [0.0, 0.01, 0.05, 0.1, 0.2, 0.4])
def test_a_leaving_member_takes_nothing_with_it(delay):
    """It begins its planned end with an entry that nobody else has, and its disk is lost on the way."""
    for seed in range(8):
        world = World(seed, size=4)
        world.run(6.0)
        leaving = world.leader(0)
        world.propose(0)
        leaving.multi_raft.leave(world.now)
        leaving.pump()
        world.run(delay)
        close(world, [leaving])


@pytest.mark.parametrize("seed", range(6))
def test_two_replacements_in_a_row_and_the_old_pair_back_with_an_old_configuration(seed):
    """The two that were replaced know a group in which they are a majority: they must not decide by themselves."""
    world = World(seed)
    world.run(5.0)
    order(world)
    gone = []
    for number in (4, 5):
        old = world.random.choice([node for node in world.nodes.values() if node.address < address(4)])
        old.lose_power()
        gone.append(world.nodes.pop(old.address))
        world.run(0.5)
        world.add(number).start(world.seeds, bootstrap=False)
        world.run(CATCH_UP_S + 1.0)
        order(world)
    living = list(world.nodes.values())
    for node in gone:
        world.nodes[node.address] = node
        node.start(world.seeds, bootstrap=False)
    world.cuts |= {(old.address, new.address) for old in gone for new in living}
    world.cuts |= {(new.address, old.address) for old in gone for new in living}
    world.run(10.0)
    order(world)
    assert not any(node.multi_raft.replicas[0].is_leader for node in gone)
    world.cuts.clear()
    world.run(3.0)
    close(world, [living[seed % 3]])
