"""All replicas under seeded faults: three machines, a fourth as a standby, and five of which three are seeds."""

import pytest

from tests.support.raft_simulation.faults import FaultInjector, HarshFaultInjector, play
from tests.support.raft_simulation.world import World

SIZES = [(3, 1, range(40)), (4, 1, range(20)), (5, 2, range(20)), (5, 1, range(10))]


@pytest.mark.parametrize(
    ("size", "fault_tolerance", "seed"),
    [(size, fault_tolerance, seed) for size, fault_tolerance, seeds in SIZES for seed in seeds],
)
def test_no_rule_is_broken_under_every_kind_of_fault(size, fault_tolerance, seed):
    world = World(seed, size, fault_tolerance)
    play(world, 20.0)
    assert sum(map(len, world.checks.acked.values())) > 20
    assert world.checks.reads > 5


HARSH_SIZES = [(3, 1, range(12)), (4, 1, range(8)), (5, 2, [*range(24), 5146])]


@pytest.mark.parametrize(
    ("size", "fault_tolerance", "seed"),
    [(size, fault_tolerance, seed) for size, fault_tolerance, seeds in HARSH_SIZES for seed in seeds],
)
def test_no_rule_is_broken_when_disks_are_lost_amid_cuts_and_kills(size, fault_tolerance, seed):
    """Seed 5146: two ids of lost disks stayed among seven voters, so that two more losses left no majority."""
    world = World(seed, size, fault_tolerance)
    gap_s = world.random.choice([0.4, 1.0, 2.5])
    play(world, 40.0, gap_s, injector=HarshFaultInjector)
    assert sum(map(len, world.checks.acked.values())) > 20


@pytest.mark.parametrize("seed", range(20))
def test_no_rule_is_broken_when_cuts_reset_connections(seed):
    world = World(seed)
    play(world, 20.0, 0.7, HarshFaultInjector.RESET_KINDS)
    assert sum(map(len, world.checks.acked.values())) > 20


@pytest.mark.parametrize("seed", range(20))
def test_no_rule_is_broken_when_messages_and_transfers_of_leadership_are_late(seed):
    world = World(seed)
    play(world, 20.0, 0.5, FaultInjector.LATE_KINDS)
    assert sum(map(len, world.checks.acked.values())) > 20


@pytest.mark.parametrize(("size", "fault_tolerance"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", range(10))
def test_no_rule_is_broken_when_links_reorder_and_are_narrow_amid_other_faults(seed, size, fault_tolerance):
    world = World(seed, size, fault_tolerance)
    play(world, 20.0, 0.5, FaultInjector.WIRE_KINDS)
    assert sum(map(len, world.checks.acked.values())) > 20


def test_a_seed_gives_the_same_run_each_time():
    runs = []
    for _ in range(2):
        world = World(7, size=4)
        faults = play(world, 10.0)
        runs.append((faults.history, world.checks.acked, world.checks.reads))
    assert runs[0] == runs[1]
