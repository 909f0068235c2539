"""More of what the tests of the core play a little of: seeds of the simulation, and larger searches.

    python -m benchmarks.soak_core run --size 5 --tolerated 2 --first 0 --count 1000
    python -m benchmarks.soak_core first_starts --count 1000
    python -m benchmarks.soak_core explore --timeouts 2 --crashes 1 --max-states 300000

Both end with status 1 at a violation and tell the seed or the budget that repeats it.
"""

from __future__ import annotations

import sys
import time

import defopt

from tests.support.raft_simulation.faults import FaultInjector, HarshFaultInjector, play
from tests.support.raft_simulation.first_start import play_drawn_first_start
from tests.support.raft_simulation.search import Budget, search
from tests.support.raft_simulation.world import World

KINDS = {"": FaultInjector.KINDS, "late": FaultInjector.LATE_KINDS, "wire": FaultInjector.WIRE_KINDS}
HARSH_GAPS_S = (0.4, 1.0, 2.5)  # between faults, in the mean


def run(  # noqa: PLR0913 - each is an option of the command
    *,
    size: int = 3,
    tolerated: int = 1,
    first: int = 0,
    count: int = 200,
    seconds: float = 20.0,
    harsh: bool = False,
    kinds: str = "",
) -> int:
    """Plays seeds of the whole core.

    :param size: machines; the seeds name the first three
    :param tolerated: machines that may be lost at once
    :param first: first seed
    :param count: number of seeds
    :param seconds: virtual seconds of faults a seed
    :param kinds: `late` or `wire` for the faults of that name in place of the usual ones
    :param harsh: lose disks amid other faults too, once the loss before is repaired, with cuts of up to 20 s
    """
    began, orders, reads, broken = time.monotonic(), 0, 0, 0
    for seed in range(first, first + count):
        world = World(seed, size, tolerated)
        gap_s = world.random.choice(HARSH_GAPS_S) if harsh else 1.0
        try:
            play(world, seconds, gap_s, KINDS[kinds], injector=HarshFaultInjector if harsh else None)
        except Exception as error:  # noqa: BLE001 - any failure is a finding: the seed repeats it, and the others go on
            broken += 1
            print(f"seed={seed} {type(error).__name__} {error}", flush=True)
        orders += sum(map(len, world.checks.acked.values()))
        reads += world.checks.reads
    took = time.monotonic() - began
    print(f"seeds={count} broken={broken} orders={orders} reads={reads} seconds={took:.1f}")
    return 1 if broken else 0


def first_starts(*, size: int = 3, tolerated: int = 1, first: int = 0, count: int = 200) -> int:
    """Plays first starts, half of them with a late initial member beside one that has just lost its disk.

    :param size: machines; the seeds name the first three
    :param tolerated: machines that may be lost at once
    :param first: first seed
    :param count: number of seeds
    """
    began, broken, commands = time.monotonic(), 0, 0
    for seed in range(first, first + count):
        try:
            world = play_drawn_first_start(seed, size, tolerated)
        except Exception as error:  # noqa: BLE001 - any failure is a finding: the seed repeats it, and the others go on
            broken += 1
            print(f"seed={seed} {type(error).__name__} {error}", flush=True)
            continue
        commands += sum(map(len, world.checks.acked.values()))
    print(f"first_starts={count} broken={broken} commands={commands} seconds={time.monotonic() - began:.1f}")
    return 1 if broken else 0


def explore(  # noqa: PLR0913 - each is an option of the command
    *,
    timeouts: int = 2,
    orders: int = 1,
    crashes: int = 0,
    wipes: int = 0,
    cuts: int = 0,
    changes: int = 0,
    power: int = 0,
    max_states: int = 100_000,
) -> int:
    """Searches every schedule of a budget.

    :param timeouts: campaigns
    :param orders: commands
    :param crashes: processes that start again from their disks
    :param wipes: machines that come back with an empty disk
    :param cuts: links that are cut for good
    :param changes: times that a leader may change the members
    :param power: times that all machines lose power at once
    :param max_states: end after this many states
    """
    budget = Budget(timeouts, orders, crashes, wipes, cuts, changes, power)
    began = time.monotonic()
    try:
        found = search(budget, max_states)
    except AssertionError as violation:
        print(f"{budget} {violation}")
        return 1
    print(f"{budget} {found} seconds={time.monotonic() - began:.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run([run, first_starts, explore]))
