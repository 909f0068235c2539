"""What an admission costs, at 10 to 100,000 teams, and its part of a request's processor time.

    python -m benchmarks.admission_cost [--teams 10 1000 100000] [--rounds 15]

Each round times the same number of admissions, settled at once, at every size in turn, so that the ratios hold while
the machine's speed drifts. Teams stand under 10 organisations, with a reserve, a weight, three budgets and lending.
`active` asks for a hundred of them (all of them, where there are fewer), `all` for any by lot: a thousand times more
state than a processor's caches hold. The request's time is that of a front which serves the platform's protocol over
loopback, with contracts, from the operating system's accounts.
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

EACH = 4000  # admissions a round


def make(teams: int) -> Admission:
    """Admissions with so many teams."""
    book = ContractRegistry(Reserve(100_000.0 + 5.0 * teams), 3, 8.0, 3)
    for i in range(10):
        book.levels[f"o{i}"] = Terms(f"o{i}", "organisation", budget=Budget(units_per_s=1e7))
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
        book.add(contract)
        book.set_owner(contract.path, contract.volumes, ())
    return Admission(book, 1_000_000.0)


class Clock:
    """Times rounds of admissions on a clock of its own."""

    def __init__(self, admission: Admission, teams: int, active: bool) -> None:
        self.admission, self.now = admission, 1_000_100.0
        lot = random.Random(teams)
        names = [lot.randrange(teams) for _ in range(100)] if active else range(teams)
        self.demands = [Demand("read", 2.0, "gold", volume=f"{lot.choice(names):016x}") for _ in range(EACH)]

    def round(self) -> float:
        """Seconds of processor time for one admission and its settlement."""
        began = time.process_time()
        admitted = 0
        for demand in self.demands:
            self.now += 0.001
            grant = self.admission.admit(self.now, demand)
            if isinstance(grant, Grant):
                admitted += 1
                self.admission.complete(self.now + 0.0005, grant, 1, 1)
        assert admitted > 0.9 * EACH, admitted
        return (time.process_time() - began) / EACH


def cpu_of(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def request_cost() -> float:
    """Seconds of a front's processor time for one request of teams within their contracts."""
    async with Testbed(1, slots=100) as testbed:
        await asyncio.sleep(1.5)
        before = cpu_of(testbed.processes[0].pid)
        found = await run_load(testbed, TEAMS, 10.0)
        spent = cpu_of(testbed.processes[0].pid) - before
    return spent / sum(got.sent for got in found.values())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--teams", type=int, nargs="+", default=[10, 1000, 100_000])
    parser.add_argument("--rounds", type=int, default=15)
    chosen = parser.parse_args()
    whole = asyncio.run(request_cost())
    clocks = {}
    for teams in chosen.teams:
        for active in (True, False):
            clocks[teams, active] = Clock(make(teams), teams, active)
    gc.collect()
    gc.freeze()  # as a front with contracts does
    figures: dict[tuple[int, bool], list[float]] = {key: [] for key in clocks}
    for turn in range(chosen.rounds + 1):
        for key, clock in clocks.items():
            got = clock.round()
            if turn:
                figures[key].append(got)
    print(f"{machine()}; {chosen.rounds} rounds of {EACH} admissions; a request costs {whole * 1e6:.0f} us in a front")
    least = min(chosen.teams)
    for (teams, active), got in figures.items():
        ratios = [a / b for a, b in zip(got, figures[least, active], strict=True)]
        cost = statistics.median(got)
        print(
            f"{teams:7} teams, {'active' if active else 'all   '}: {cost * 1e6:6.1f} us, {cost / whole:5.1%} of a "
            f"request; ratio to {least} teams: median {statistics.median(ratios):.2f} "
            f"({min(ratios):.2f} to {max(ratios):.2f})"
        )


if __name__ == "__main__":
    main()
