"""Longer runs of real fleets with faults: which version does every router serve, and does the bound hold?

    python -m benchmarks.soak_feed --first 0 --count 50 --seconds 40 --parallel 4 --keep found

Exits with status 1 if a run broke the bound or ended otherwise than it should; `--keep` stores the logs of such runs.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from time import monotonic

import defopt

from tests.support.fleet_processes.faults import RunResult, play, report

FIRST_NET = 70  # of the loopback addresses 127.NET.*, one for each fleet that runs at the same time


def run(  # noqa: PLR0913 - each is an option of the command
    *,
    first: int = 0,
    count: int = 50,
    seconds: float = 40.0,
    parallel: int = 4,
    harsh: bool = False,
    routers_per_zone: int = 2,
    keep: Path | None = None,
) -> int:
    """Plays seeds, several at the same time.

    :param first: first seed
    :param count: number of seeds
    :param seconds: time with faults of each seed
    :param parallel: fleets that run at the same time
    :param harsh: two controllers may have faults at the same time
    :param routers_per_zone: routers in each of three zones
    :param keep: folder for the logs of the runs that fail
    """
    started_at = monotonic()
    with ThreadPoolExecutor(parallel) as executor:
        seeds = range(first, first + count)
        play_seed = partial(play, seconds=seconds, is_harsh=harsh, routers_per_zone=routers_per_zone)
        failures = sum(
            executor.map(lambda seed: _play(seed, play_seed, FIRST_NET + seed % (parallel * 4), keep), seeds)
        )
    print(f"seeds={count} failed={failures} seconds={monotonic() - started_at:.1f}")
    return 1 if failures else 0


def _play(seed: int, play_seed: Callable[..., RunResult], net: int, keep: Path | None) -> bool:
    with tempfile.TemporaryDirectory(prefix="soak-feed-") as folder:
        result = play_seed(Path(folder), net, seed)
        text = report(seed, result)
        print(text, flush=True)
        failed = bool(result.violations or result.problems)
        if failed and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
            (keep / f"seed-{seed}" / "report.txt").write_text(text)
        return failed


if __name__ == "__main__":
    sys.exit(defopt.run(run))
