"""Loss of the tolerated number of disks at each step of a change of voters, while all other machines lose power."""

import itertools

import pytest

from tests.support.raft_simulation.faults import CATCH_UP_S
from tests.support.raft_simulation.node import Node
from tests.support.raft_simulation.world import World, address

DOWN_S = 0.5
RECOVERY_S = 6.0
SIZES = [(3, 1), (4, 1), (5, 2)]


def send_command(world: World) -> None:
    """Sends a new command repeatedly, as an operator would; fails if none is acknowledged within five seconds."""
    before = len(world.checks.acked[0])
    for _ in range(100):
        world.propose(0)
        world.run(0.05)
        if len(world.checks.acked[0]) > before:
            return
    raise AssertionError("no command is acknowledged")


def lose_disks_and_power(world: World, wiped: list[Node]) -> None:
    """Some machines lose their disks, the others power. After all restart, no acknowledged command is missing."""
    for node in world.nodes.values():
        node.wipe() if node in wiped else node.lose_power()
    world.run(DOWN_S)
    for node in world.nodes.values():
        node.start(world.seeds, bootstrap=False)
    world.run(RECOVERY_S)
    send_command(world)
    world.run(0.5)
    world.checks.check_final_state(list(world.nodes.values()))


def possible_losses(size: int, tolerated: int):
    return list(itertools.combinations(range(1, size + 1), tolerated))


CASES = [(size, tolerated, lost) for size, tolerated in SIZES for lost in possible_losses(size, tolerated)]


@pytest.mark.parametrize(("size", "tolerated", "lost"), CASES)
def test_disks_lost_right_after_the_first_command(size, tolerated, lost):
    world = World(sum(lost), size, tolerated)
    while not world.checks.acked[0]:
        world.propose(0)
        world.run(0.01)
    lose_disks_and_power(world, [world.nodes[address(number)] for number in lost])


@pytest.mark.parametrize("delay", [0.02, 0.1, 0.2, 0.4, 0.8, 1.5])
@pytest.mark.parametrize(("size", "tolerated"), SIZES)
def test_disks_lost_while_a_group_grows(size, tolerated, delay):
    """Commands are sent from the beginning; before the first is acknowledged, nothing can be lost."""
    for seed, lost in enumerate(possible_losses(size, tolerated)):
        world = World(seed, size, tolerated)
        while not world.checks.acked[0]:
            world.propose(0)
            world.run(0.01)
        until = world.now + delay
        while world.now < until:
            world.propose(0)
            world.run(0.02)
        lose_disks_and_power(world, [world.nodes[address(number)] for number in lost])


@pytest.mark.parametrize("extra", [0.0, 0.1, 1.0])
@pytest.mark.parametrize("kind", ["replaced", "wiped"])
@pytest.mark.parametrize(("size", "tolerated"), SIZES)
def test_disks_lost_as_soon_as_a_replacement_has_caught_up(size, tolerated, kind, extra):
    """The first loss has been repaired: the tolerated number may be lost again, of old or new replicas."""
    for seed in range(6):
        world = World(seed, size, tolerated)
        world.run(5.0)
        send_command(world)
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
        send_command(world)
        second = world.random.sample(list(world.nodes.values()), tolerated)
        lose_disks_and_power(world, second)


@pytest.mark.parametrize("delay", [0.0, 0.01, 0.05, 0.1, 0.2, 0.4])
def test_a_member_that_leaves_and_loses_its_disk_loses_no_command(delay):
    """The leader begins its planned shutdown with an entry that no other replica has, and loses its disk meanwhile."""
    for seed in range(8):
        world = World(seed, size=4)
        world.run(6.0)
        leaving = world.leader(0)
        world.propose(0)
        leaving.multi_raft.leave(world.now)
        leaving.pump()
        world.run(delay)
        lose_disks_and_power(world, [leaving])


@pytest.mark.parametrize("seed", range(6))
def test_two_replaced_voters_that_come_back_with_an_old_configuration_elect_no_leader(seed):
    """In the configuration that the two replaced voters know, they are a majority: they must not commit anything."""
    world = World(seed)
    world.run(5.0)
    send_command(world)
    replaced = []
    for number in (4, 5):
        old = world.random.choice([node for node in world.nodes.values() if node.address < address(4)])
        old.lose_power()
        replaced.append(world.nodes.pop(old.address))
        world.run(0.5)
        world.add(number).start(world.seeds, bootstrap=False)
        world.run(CATCH_UP_S + 1.0)
        send_command(world)
    alive = list(world.nodes.values())
    for node in replaced:
        world.nodes[node.address] = node
        node.start(world.seeds, bootstrap=False)
    world.cuts |= {(old.address, new.address) for old in replaced for new in alive}
    world.cuts |= {(new.address, old.address) for old in replaced for new in alive}
    world.run(10.0)
    send_command(world)
    assert not any(node.multi_raft.replicas[0].is_leader for node in replaced)
    world.cuts.clear()
    world.run(3.0)
    lose_disks_and_power(world, [alive[seed % 3]])
