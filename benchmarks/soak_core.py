"""Longer runs of the Raft simulation tests: more seeds, and searches with larger budgets.

    python -m benchmarks.soak_core run --size 5 --tolerated 2 --first 0 --count 1000
    python -m benchmarks.soak_core first-starts --count 1000
    python -m benchmarks.soak_core explore --timeouts 2 --crashes 1 --max-states 300000

All exit with status 1 at a violation, and print the seed or the budget that reproduces it.
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
HARSH_FAULT_INTERVALS_S = (0.4, 1.0, 2.5)  # mean time between faults


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
    """Runs seeds of the simulated replica group with random faults.

    :param size: machines; the seeds name the first three
    :param tolerated: machines that may be lost at the same time
    :param first: first seed
    :param count: number of seeds
    :param seconds: virtual seconds of faults per seed
    :param kinds: `late` or `wire` selects those kinds of faults instead of the default
    :param harsh: also lose disks during other faults, once the previous loss is repaired; partitions last up to 20 s
    """
    started_at, commands, reads, failed_seeds = time.monotonic(), 0, 0, 0
    for seed in range(first, first + count):
        world = World(seed, size, tolerated)
        fault_interval_s = world.random.choice(HARSH_FAULT_INTERVALS_S) if harsh else 1.0
        try:
            play(world, seconds, fault_interval_s, KINDS[kinds], injector=HarshFaultInjector if harsh else None)
        except Exception as error:  # noqa: BLE001 - any failure is a finding: its seed reproduces it, and the others run
            failed_seeds += 1
            print(f"seed={seed} {type(error).__name__} {error}", flush=True)
        commands += sum(map(len, world.checks.acked.values()))
        reads += world.checks.reads
    duration_s = time.monotonic() - started_at
    print(f"seeds={count} broken={failed_seeds} orders={commands} reads={reads} seconds={duration_s:.1f}")
    return 1 if failed_seeds else 0


def first_starts(*, size: int = 3, tolerated: int = 1, first: int = 0, count: int = 200) -> int:
    """Runs first starts, half of them with a late initial member while another has just lost its disk.

    :param size: machines; the seeds name the first three
    :param tolerated: machines that may be lost at the same time
    :param first: first seed
    :param count: number of seeds
    """
    started_at, failed_seeds, commands = time.monotonic(), 0, 0
    for seed in range(first, first + count):
        try:
            world = play_drawn_first_start(seed, size, tolerated)
        except Exception as error:  # noqa: BLE001 - any failure is a finding: its seed reproduces it, and the others run
            failed_seeds += 1
            print(f"seed={seed} {type(error).__name__} {error}", flush=True)
            continue
        commands += sum(map(len, world.checks.acked.values()))
    print(f"first_starts={count} broken={failed_seeds} commands={commands} seconds={time.monotonic() - started_at:.1f}")
    return 1 if failed_seeds else 0


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
    """Searches all schedules within a budget.

    :param timeouts: election timeouts
    :param orders: commands
    :param crashes: processes that restart from their disks
    :param wipes: machines that restart with an empty disk
    :param cuts: links that are cut permanently
    :param changes: times that a leader may change the members
    :param power: times that all machines lose power at once
    :param max_states: end after this many states
    """
    budget = Budget(timeouts, orders, crashes, wipes, cuts, changes, power)
    started_at = time.monotonic()
    try:
        result = search(budget, max_states)
    except AssertionError as violation:
        print(f"{budget} {violation}")
        return 1
    print(f"{budget} {result} seconds={time.monotonic() - started_at:.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run([run, first_starts, explore]))
