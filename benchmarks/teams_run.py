"""How closely several fronts enforce contracts, and how well they isolate a team from the load of others.

    python -m benchmarks.teams_run [--fronts 3] [--seconds 60] [--pairs 3]

First all teams run together, two of them with a demand far above their contracts: what each got is compared with its
contract. Then the isolation: the fraction of the quiet team's requests served in time, alternately alone and beside the
surge of the other teams, and beside the same surge at fronts without contracts. Rates are in units/s.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from pathlib import Path

from examples.teams import Team, Testbed, run_load

from .machine import machine

OPERATOR = """
[contracts]
capacity_units_per_s = 400
[[team]]
name = "quiet"
plan = "standard"
classes = ["photo-read"]
volumes = ["00000000000000a1"]
reserve = { units_per_s = 60, burst_units = 60 }
budget = { units_per_s = 120 }
[[team]]
name = "eager"
plan = "standard"
classes = ["photo-read"]
volumes = ["00000000000000a2"]
budget = { units_per_s = 100 }
[[team]]
name = "flood"
plan = "basic"
classes = ["batch-export"]
volumes = ["00000000000000a3"]
budget = { units_per_s = 40, burst_units = 60 }
"""
QUIET = Team("quiet", "photo-read", "standard", 0.15, 0.75, "00000000000000a1", 28, 1, 60, 120)
EAGER = Team("eager", "photo-read", "standard", 0.15, 0.75, "00000000000000a2", 150, 1, 0, 100)
FLOOD = Team("flood", "batch-export", "basic", 1.2, 4.0, "00000000000000a3", 400, 1, 0, 40)
BURST_UNITS = {"quiet": 120.0, "eager": 100.0, "flood": 60.0}


async def run(fronts: int, seconds: float, pairs: int) -> bool:
    """Runs both measurements; returns whether every contract was met and the quiet team isolated."""
    all_fulfilled = True
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "operator.toml")
        path.write_text(OPERATOR)
        in_time_fractions: dict[str, list[float]] = {"alone": [], "beside the surge": [], "without contracts": []}
        async with Testbed(fronts, response_delay_s=0.02, slots=1, operator=path) as testbed:
            await asyncio.sleep(2)
            results = await run_load(testbed, (QUIET, EAGER, FLOOD), seconds)
            for team in (QUIET, EAGER, FLOOD):
                result = results[team.name]
                demand_units_per_s = result.sent * 2 / seconds
                expected_units_per_s = min(demand_units_per_s, team.budget)
                error = result.served_units_per_s / expected_units_per_s - 1
                in_burst = abs(result.served_units_per_s - expected_units_per_s) * seconds <= BURST_UNITS[team.name]
                is_fulfilled = abs(error) <= 0.02 or in_burst
                all_fulfilled = all_fulfilled and is_fulfilled
                print(
                    f"{team.name:6} asked {demand_units_per_s:6.1f}, contract {expected_units_per_s:6.1f}, "
                    f"got {result.served_units_per_s:6.1f} "
                    f"({error:+.1%}{', within one burst' if in_burst else ''}), over budget {result.statuses[429]}, "
                    f"refused {result.statuses[503]}, in time {result.in_time / max(1, result.sent):.1%}",
                    flush=True,
                )
            for pair in range(pairs):
                for scenario, teams in (("alone", (QUIET,)), ("beside the surge", (QUIET, FLOOD, EAGER))):
                    result = (await run_load(testbed, teams, seconds / 4, seed=pair + 2))["quiet"]
                    in_time_fractions[scenario].append(result.in_time / result.sent)
        async with Testbed(fronts, response_delay_s=0.02, slots=1, operator=None) as testbed:
            for pair in range(pairs):
                result = (await run_load(testbed, (QUIET, FLOOD, EAGER), seconds / 4, seed=pair + 2))["quiet"]
                in_time_fractions["without contracts"].append(result.in_time / result.sent)
    for scenario, result in in_time_fractions.items():
        print(
            f"the quiet team's share in time, {scenario}: median {statistics.median(result):.1%} "
            f"({min(result):.1%} to {max(result):.1%})"
        )
    difference = abs(
        statistics.median(in_time_fractions["alone"]) - statistics.median(in_time_fractions["beside the surge"])
    )
    print(f"apart by {difference * 100:.2f} points; {'held' if all_fulfilled and difference <= 0.02 else 'NOT held'}")
    return all_fulfilled and difference <= 0.02


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--fronts", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--pairs", type=int, default=3)
    options = parser.parse_args()
    print(f"{machine()}; {options.fronts} fronts, {options.seconds:g} s; 3 chunk servers of one slot and 20 ms")
    raise SystemExit(not asyncio.run(run(options.fronts, options.seconds, options.pairs)))


if __name__ == "__main__":
    main()
