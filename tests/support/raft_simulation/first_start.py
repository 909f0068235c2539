"""First starts of a core: machines that are late, lose their disks or cannot reach each other during the bootstrap."""

from __future__ import annotations

import random

from .node import Node
from .world import World, address

WIPED, LATE = 2, 3  # machines of `play_two_first_starts`


def world_of(seed: int, starts: dict[int, float], **options) -> World:
    """A world in which the machines in `starts` start after these delays in seconds, and the others do not start."""
    world = World(seed, starting=False, **options)
    for number, delay in starts.items():
        world.start_later(world.nodes[address(number)], delay)
    return world


def isolate(world: World, node: Node) -> None:
    others = [at for at in world.nodes if at != node.address]
    world.cuts |= {(node.address, at) for at in others} | {(at, node.address) for at in others}


def schedule_faults(world: World, wipes: bool) -> None:
    """Kills, power losses, partitions, freezes and slow disks in the first two seconds; a lost disk if `wipes`."""
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

    def stop(node: Node, how: str) -> None:
        getattr(node, how)()
        world.later(draw.uniform(0.05, 0.8), None, lambda: restart(node))

    actions = [
        cut,
        lambda node: stop(node, "kill"),
        lambda node: stop(node, "lose_power"),
        lambda node: setattr(node, "frozen_until", world.now + 0.5),
        lambda node: setattr(node, "latency_factor", draw.choice([1.0, 30.0, 150.0])),
    ]
    for _ in range(draw.randint(1, 6)):
        action, node = draw.choice(actions), draw.choice(nodes)
        world.later(draw.uniform(0.0, 2.0), None, lambda action=action, node=node: action(node))
    if wipes:
        world.later(draw.uniform(0.1, 2.0), None, lambda: stop(draw.choice(nodes), "wipe"))


def play_faulty_first_start(world: World, wipes: bool) -> None:
    """Runs four seconds with the faults of `schedule_faults`, then ten seconds without faults."""
    world.traffic(0.05, world.now + 12.0)
    schedule_faults(world, wipes)
    world.run(4.0)
    world.cuts.clear()
    for node in world.nodes.values():
        node.latency_factor = 1.0
        if not node.running:
            node.start(world.seeds, bootstrap=False)
    world.run(10.0)


def play_two_first_starts(
    seed: int, size: int, fault_tolerance: int, age_difference_s: float, apart_s: float = 2.0
) -> World:
    """Machine 3 is late; machine 2 loses its disk just before it starts, while both are cut off from the others.

    To machines 2 and 3 this looks like a first start without machine 1, if at most MAX_START_SPREAD_S are between
    their starts. In the end all machines reach each other again.

    Args:
        seed: Of the world.
        size: Number of machines; the seeds name the first three.
        fault_tolerance: How many machines may be lost at once.
        age_difference_s: Seconds between the starts of machine 2 and of machine 3.
        apart_s: How long machines 2 and 3 stay cut off from the others after that, in seconds.
    """
    starts = {number: 0.0 for number in range(1, size + 1) if number != LATE}
    world = world_of(seed, starts, size=size, fault_tolerance=fault_tolerance)
    world.traffic(0.05, world.now + 12.0)
    world.run(2.0)
    wiped, late = world.nodes[address(WIPED)], world.nodes[address(LATE)]
    for node in world.nodes.values():
        if node not in (wiped, late):
            isolate(world, node)
    wiped.wipe()
    wiped.start(world.seeds, bootstrap=True)
    world.run(age_difference_s)
    late.start(world.seeds, bootstrap=True)
    world.run(apart_s)
    world.cuts.clear()
    world.run(8.0)
    return world


def play_drawn_first_start(seed: int, size: int = 3, fault_tolerance: int = 1) -> World:
    """A first start drawn from a seed: half with a late and a wiped machine, half with faults of every kind.

    Raises:
        AssertionError: A rule is broken (Violation), several clusters are left, or no command is acknowledged in the
            end although no disk was lost.
    """
    if seed % 2:
        draw = random.Random(seed)
        world = play_two_first_starts(seed, size, fault_tolerance, draw.uniform(0.0, 0.6), draw.uniform(0.1, 4.0))
        may_lack_majority = False
    else:
        world = World(seed, size, fault_tolerance)
        may_lack_majority = seed % 4 == 0
        play_faulty_first_start(world, wipes=may_lack_majority)
    if not may_lack_majority:
        ids = {node.multi_raft.bootstrap.identity.cluster_id for node in world.running()}
        assert len(ids) == 1, f"clusters {ids}"
        before = len(world.checks.acked[0])
        for _ in range(40):
            world.propose(0)
            world.run(0.05)
        assert len(world.checks.acked[0]) > before, "no command is acknowledged in the end"
        world.run(1.0)
        world.checks.check_final_state(list(world.nodes.values()))
    return world
