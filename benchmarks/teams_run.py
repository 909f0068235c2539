"""What teams get against their contracts through several fronts, and how quiet a quiet team's neighbour is.

    python -m benchmarks.teams_run [--fronts 3] [--seconds 60] [--pairs 3]

First all teams at once, two of them asking for far more than their contracts, for so long: what each got against its
contract. Then the isolation: the quiet team's share in time with its neighbours' surge and without, in turns; and the
same surge through fronts without contracts, to show what the chunk servers make of it. Units a second throughout.
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
BURSTS = {"quiet": 120.0, "eager": 100.0, "flood": 60.0}


async def run(fronts: int, seconds: float, pairs: int) -> bool:
    """Both measurements; whether every team was held to its contract."""
    good = True
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "operator.toml")
        path.write_text(OPERATOR)
        shares: dict[str, list[float]] = {"alone": [], "beside the surge": [], "without contracts": []}
        async with Testbed(fronts, response_delay_s=0.02, slots=1, operator=path) as testbed:
            await asyncio.sleep(2)
            found = await run_load(testbed, (QUIET, EAGER, FLOOD), seconds)
            for team in (QUIET, EAGER, FLOOD):
                got = found[team.name]
                asked = got.sent * 2 / seconds
                wanted = min(asked, team.budget)
                error = got.served_units_per_s / wanted - 1
                in_burst = abs(got.served_units_per_s - wanted) * seconds <= BURSTS[team.name]
                held = abs(error) <= 0.02 or in_burst
                good = good and held
                print(
                    f"{team.name:6} asked {asked:6.1f}, contract {wanted:6.1f}, got {got.served_units_per_s:6.1f} "
                    f"({error:+.1%}{', within one burst' if in_burst else ''}), over budget {got.statuses[429]}, "
                    f"refused {got.statuses[503]}, in time {got.in_time / max(1, got.sent):.1%}",
                    flush=True,
                )
            for pair in range(pairs):
                for words, teams in (("alone", (QUIET,)), ("beside the surge", (QUIET, FLOOD, EAGER))):
                    got = (await run_load(testbed, teams, seconds / 4, seed=pair + 2))["quiet"]
                    shares[words].append(got.in_time / got.sent)
        async with Testbed(fronts, response_delay_s=0.02, slots=1, operator=None) as testbed:
            for pair in range(pairs):
                got = (await run_load(testbed, (QUIET, FLOOD, EAGER), seconds / 4, seed=pair + 2))["quiet"]
                shares["without contracts"].append(got.in_time / got.sent)
    for words, got in shares.items():
        print(
            f"the quiet team's share in time, {words}: median {statistics.median(got):.1%} "
            f"({min(got):.1%} to {max(got):.1%})"
        )
    apart = abs(statistics.median(shares["alone"]) - statistics.median(shares["beside the surge"]))
    print(f"apart by {apart * 100:.2f} points; {'held' if good and apart <= 0.02 else 'NOT held'}")
    return good and apart <= 0.02


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--fronts", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--pairs", type=int, default=3)
    chosen = parser.parse_args()
    print(f"{machine()}; {chosen.fronts} fronts, {chosen.seconds:g} s; 3 chunk servers of one slot and 20 ms")
    raise SystemExit(not asyncio.run(run(chosen.fronts, chosen.seconds, chosen.pairs)))


if __name__ == "__main__":
    main()
