"""Plays the same days with the same seeds on two checkouts, and tells the differences with their 95% intervals.

    python -m benchmarks.paired_rounds BENCH SITE --base DIR --changed DIR --days scale-2 trouble-1 --seeds 1 2 3 4 5

BENCH is the path of the bench's program. Each play's report is kept under `--reports`, named by the checkout's sources,
the day and the seed; a play whose report is there is not repeated, so one base serves many rounds. Both checkouts have
to be left alone while this runs. The interval is Student's, over the pairs.
"""

from __future__ import annotations

import hashlib
import json
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from math import sqrt
from pathlib import Path
from statistics import mean, stdev

import defopt

SOURCES = ("ochrespan", "deploy")  # what a play depends on
STUDENT_975 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)  # by degrees of freedom, from 1
STUDENT_MANY = 2.0
LEAST_SHOWN = 0.0005  # of a price, in either checkout
PLAY_TIMEOUT_S = 1800.0


class PlayFailed(Exception):
    """The bench gave no report."""


@dataclass(frozen=True)
class Play:
    """One day with one seed on one checkout."""

    checkout: Path
    day: str
    seed: int


@dataclass(frozen=True)
class Difference:
    """One figure over all pairs."""

    name: str
    base: float
    changed: float
    difference: float
    interval: float  # half of it; not a number for a single pair


def differences(pairs: list[tuple[dict, dict]]) -> list[Difference]:
    """All figures of the reports, the worth first."""
    figures = [(dict(_figures(base)), dict(_figures(changed))) for base, changed in pairs]
    names = dict.fromkeys(name for pair in figures for side in pair for name in side)
    return [
        _difference(name, [(base.get(name, 0.0), changed.get(name, 0.0)) for base, changed in figures])
        for name in names
    ]


def interval(values: list[float]) -> float:
    """Half of the 95% interval of the mean."""
    if len(values) < 2:
        return float("nan")
    quantile = STUDENT_975[len(values) - 2] if len(values) - 1 <= len(STUDENT_975) else STUDENT_MANY
    return quantile * stdev(values) / sqrt(len(values))


def _difference(name: str, pairs: list[tuple[float, float]]) -> Difference:
    changes = [changed - base for base, changed in pairs]
    return Difference(name, mean(p[0] for p in pairs), mean(p[1] for p in pairs), mean(changes), interval(changes))


def _figures(report: dict) -> Iterator[tuple[str, float]]:
    yield "worth", report["G"]
    yield "rules broken", float(sum(report["breaks"].values()) if report["breaks"] else 0)
    for name, _, value in report["parts"]:
        yield f"part: {name}", value
    for kind in report["classes"]:
        owed = max(1, kind["n"] - kind["not_owed"])
        yield f"kind: {kind['name']}: worth", kind["worth"]
        yield f"kind: {kind['name']}: in aim", kind["in_aim"] / owed
        yield f"kind: {kind['name']}: late", kind["late"] / owed
        yield f"kind: {kind['name']}: refused", kind["refused"] / owed
    for name, _, value in report["prices"]:
        yield f"price: {name}", value
    for window in report["windows"]:
        yield f"window: {window['name']} s", window["worth"]


def _digest(checkout: Path) -> str:
    """Names the sources of a checkout."""
    digest = hashlib.sha256()
    for folder in SOURCES:
        for path in sorted((checkout / folder).rglob("*")):
            if path.is_file() and "__pycache__" not in path.parts:
                digest.update(str(path.relative_to(checkout)).encode() + path.read_bytes())
    return digest.hexdigest()[:12]


def _play(bench: Path, site: Path, play: Play, digest: str, reports: Path, why: str) -> dict:
    """The report of a play, from the last time or from a new one."""
    file = reports / f"{digest}-{site.stem}-{Path(play.day).stem}-{play.seed}.json"
    if not file.exists():
        command = [bench, "run", site, play.day, "--seed", play.seed, "--jobs", 1, "--report", file, "--why", why]
        done = subprocess.run(
            [str(word) for word in command], cwd=play.checkout, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S
        )
        file.with_suffix(".log").write_text(done.stdout + done.stderr)
        if not file.exists():
            raise PlayFailed(f"{play}: no report; see {file.with_suffix('.log')}")
        print(f"played {play.checkout.name} {play.day} seed {play.seed}", file=sys.stderr, flush=True)
    return json.loads(file.read_text())


def _print(title: str, pairs: list[tuple[dict, dict]], everything: bool) -> None:
    print(f"\n{title}: {len(pairs)} pairs\n{'':56}{'base':>9}{'changed':>9}{'change':>9}{'95%':>9}")
    for each in differences(pairs):
        is_small = max(abs(each.base), abs(each.changed)) < LEAST_SHOWN
        if each.name.startswith("window") and not everything or is_small:
            continue
        mark = " *" if abs(each.difference) > each.interval else ""
        print(f"{each.name:56}{each.base:9.4f}{each.changed:9.4f}{each.difference:+9.4f}{each.interval:9.4f}{mark}")


def run(
    bench: Path,
    site: Path,
    *,
    base: Path,
    changed: Path,
    days: list[str],
    seeds: list[int],
    jobs: int = 4,
    reports: Path = Path("found/reports"),
    why: str = "Paired round",
    windows: bool = False,
) -> int:
    """Plays days on two checkouts and tells the differences.

    :param bench: the bench's program
    :param site: the deployment's file
    :param base: the checkout that is compared with
    :param changed: the checkout with the change
    :param days: names of days, or files
    :param seeds: each day is played with each of them
    :param jobs: plays at the same time
    :param reports: where the reports are kept
    :param why: the line for the bench's journal
    :param windows: tell the windows too
    """
    reports = reports.absolute()
    reports.mkdir(parents=True, exist_ok=True)
    checkouts = (base.absolute(), changed.absolute())
    digests = {checkout: _digest(checkout) for checkout in checkouts}
    plays = [Play(checkout, day, seed) for seed in seeds for day in days for checkout in checkouts]
    with ThreadPoolExecutor(jobs) as pool:
        found = pool.map(lambda play: _play(bench, site, play, digests[play.checkout], reports, why), plays)
        played = dict(zip(plays, found, strict=True))
    every = []
    for day in days:
        pairs = [tuple(played[Play(checkout, day, seed)] for checkout in checkouts) for seed in seeds]
        every += pairs
        _print(Path(day).stem, pairs, windows)
    if len(days) > 1:
        _print("all days", every, False)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
