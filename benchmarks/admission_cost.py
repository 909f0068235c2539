"""Processor time of an admission for 10 to 100,000 teams, and its fraction of a request's processor time.

    python -m benchmarks.admission_cost [--teams 10 1000 100000] [--rounds 15]

Each round times the same number of admissions, completed at once, at every size in turn, so that the ratios hold while
the machine's speed drifts. Teams belong to 10 organisations, and have a reserve, a weight, three budgets and borrowing.
`active` draws the requests from a hundred of the teams (at most), `all` from all of them at random: a thousand times
more state than a processor's caches hold. The request's time is that of a front which serves the platform's protocol
over loopback, with contracts, as the operating system accounts for it.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import random
import statistics
import time
from pathlib import Path

from examples.teams import TEAMS, Testbed, run_load
from ochrespan.contracts.admission import Admission, Demand, Grant
from ochrespan.contracts.terms import Budget, Contract, ContractRegistry, Reserve, Terms

from .machine import machine

ADMISSIONS_PER_ROUND = 4000


def make_admission(teams: int) -> Admission:
    """Creates an admission control with a number of teams."""
    registry = ContractRegistry(Reserve(100_000.0 + 5.0 * teams), 3, 8.0, 3)
    for i in range(10):
        registry.levels[f"o{i}"] = Terms(f"o{i}", "organisation", budget=Budget(units_per_s=1e7))
    for i in range(teams):
        terms = Terms(
            f"t{i}",
            "team",
            f"o{i % 10}",
            1.0 + i % 3,
            Reserve(5.0),
            Budget(units_per_s=50_000.0, attempts_per_s=50_000.0, units_per_hour=1e9),
        )
        contract = Contract(terms, "gold", frozenset({"read"}), volumes=frozenset({f"{i:016x}"}))
        registry.add(contract)
        registry.set_owner(contract.path, contract.volumes, ())
    return Admission(registry, 1_000_000.0)


class AdmissionTimer:
    """Times rounds of admissions; the admission control runs on a virtual clock."""

    def __init__(self, admission: Admission, teams: int, active: bool) -> None:
        self.admission, self.now = admission, 1_000_100.0
        random_source = random.Random(teams)
        names = [random_source.randrange(teams) for _ in range(100)] if active else range(teams)
        self.demands = [
            Demand("read", 2.0, "gold", volume=f"{random_source.choice(names):016x}")
            for _ in range(ADMISSIONS_PER_ROUND)
        ]

    def time_round(self) -> float:
        """Runs a round; returns the seconds of processor time per admission and its completion."""
        started_at = time.process_time()
        admitted = 0
        for demand in self.demands:
            self.now += 0.001
            grant = self.admission.admit(self.now, demand)
            if isinstance(grant, Grant):
                admitted += 1
                self.admission.complete(self.now + 0.0005, grant, 1, 1)
        assert admitted > 0.9 * ADMISSIONS_PER_ROUND, admitted
        return (time.process_time() - started_at) / ADMISSIONS_PER_ROUND


def cpu_seconds_of(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def request_cost() -> float:
    """Seconds of a front's processor time for one request of teams within their contracts."""
    async with Testbed(1, slots=100) as testbed:
        await asyncio.sleep(1.5)
        before = cpu_seconds_of(testbed.processes[0].pid)
        results = await run_load(testbed, TEAMS, 10.0)
        used_s = cpu_seconds_of(testbed.processes[0].pid) - before
    return used_s / sum(result.sent for result in results.values())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--teams", type=int, nargs="+", default=[10, 1000, 100_000])
    parser.add_argument("--rounds", type=int, default=15)
    options = parser.parse_args()
    request_cost_s = asyncio.run(request_cost())
    timers = {}
    for teams in options.teams:
        for active in (True, False):
            timers[teams, active] = AdmissionTimer(make_admission(teams), teams, active)
    gc.collect()
    gc.freeze()  # as a front with contracts does
    times_by_size: dict[tuple[int, bool], list[float]] = {key: [] for key in timers}
    for round_number in range(options.rounds + 1):
        for key, timer in timers.items():
            result = timer.time_round()
            if round_number:
                times_by_size[key].append(result)
    print(
        f"{machine()}; {options.rounds} rounds of {ADMISSIONS_PER_ROUND} admissions; "
        f"a request costs {request_cost_s * 1e6:.0f} us in a front"
    )
    min_teams = min(options.teams)
    for (teams, active), result in times_by_size.items():
        ratios = [a / b for a, b in zip(result, times_by_size[min_teams, active], strict=True)]
        cost = statistics.median(result)
        print(
            f"{teams:7} teams, {'active' if active else 'all   '}: {cost * 1e6:6.1f} us, {cost / request_cost_s:5.1%} "
            f"of a request; ratio to {min_teams} teams: median {statistics.median(ratios):.2f} "
            f"({min(ratios):.2f} to {max(ratios):.2f})"
        )


if __name__ == "__main__":
    main()
