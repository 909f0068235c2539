"""Runs the same scenarios with the same seeds on two checkouts; prints the differences with their 95% intervals.

    python -m benchmarks.paired_rounds BENCH SITE --base DIR --changed DIR --days scale-2 trouble-1 --seeds 1 2 3 4 5

BENCH is the path of the benchmark program; a day is one of its scenarios. The report of each run is stored in
`--reports`, named by a digest of the checkout's sources, the day and the seed. A run with a stored report is not
repeated, so the runs of one base can be reused. Neither checkout may change while this runs. The interval is Student's,
over the pairs.
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

SOURCES = ("ochrespan", "deploy")  # directories that a run depends on
T_QUANTILES = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)  # by degrees of freedom, from 1
T_QUANTILE_LIMIT = 2.0
MIN_SHOWN = 0.0005  # smaller metrics, in both checkouts, are not shown
RUN_TIMEOUT_S = 1800.0


class RunFailed(Exception):
    """The benchmark program wrote no report."""


@dataclass(frozen=True)
class Job:
    """One day with one seed on one checkout."""

    checkout: Path
    day: str
    seed: int


@dataclass(frozen=True)
class Difference:
    """Means of one metric over all pairs, and of its differences."""

    name: str
    base: float
    changed: float
    difference: float
    half_width: float  # of the 95% confidence interval; NaN for a single pair


def differences(pairs: list[tuple[dict, dict]]) -> list[Difference]:
    """The differences of all metrics in the reports, `worth` first."""
    metrics = [(dict(_metrics(base)), dict(_metrics(changed))) for base, changed in pairs]
    names = dict.fromkeys(name for pair in metrics for metrics_of_checkout in pair for name in metrics_of_checkout)
    return [
        _difference(name, [(base.get(name, 0.0), changed.get(name, 0.0)) for base, changed in metrics])
        for name in names
    ]


def confidence_half_width(values: list[float]) -> float:
    """Half of the width of the 95% confidence interval of the mean; NaN for a single value."""
    if len(values) < 2:
        return float("nan")
    quantile = T_QUANTILES[len(values) - 2] if len(values) - 1 <= len(T_QUANTILES) else T_QUANTILE_LIMIT
    return quantile * stdev(values) / sqrt(len(values))


def _difference(name: str, pairs: list[tuple[float, float]]) -> Difference:
    changes = [changed - base for base, changed in pairs]
    return Difference(
        name, mean(p[0] for p in pairs), mean(p[1] for p in pairs), mean(changes), confidence_half_width(changes)
    )


def _metrics(report: dict) -> Iterator[tuple[str, float]]:
    yield "worth", report["G"]
    yield "rules broken", float(sum(report["breaks"].values()) if report["breaks"] else 0)
    for name, _, value in report["parts"]:
        yield f"part: {name}", value
    for kind in report["classes"]:
        counted = max(1, kind["n"] - kind["not_owed"])
        yield f"kind: {kind['name']}: worth", kind["worth"]
        yield f"kind: {kind['name']}: in aim", kind["in_aim"] / counted
        yield f"kind: {kind['name']}: late", kind["late"] / counted
        yield f"kind: {kind['name']}: refused", kind["refused"] / counted
    for name, _, value in report["prices"]:
        yield f"price: {name}", value
    for window in report["windows"]:
        yield f"window: {window['name']} s", window["worth"]


def _digest(checkout: Path) -> str:
    """A digest of the sources of a checkout."""
    digest = hashlib.sha256()
    for directory in SOURCES:
        for path in sorted((checkout / directory).rglob("*")):
            if path.is_file() and "__pycache__" not in path.parts:
                digest.update(str(path.relative_to(checkout)).encode() + path.read_bytes())
    return digest.hexdigest()[:12]


def _load_or_run(bench: Path, site: Path, job: Job, digest: str, reports: Path, why: str) -> dict:
    """The stored report of a run, or that of a new run."""
    file = reports / f"{digest}-{site.stem}-{Path(job.day).stem}-{job.seed}.json"
    if not file.exists():
        command = [bench, "run", site, job.day, "--seed", job.seed, "--jobs", 1, "--report", file, "--why", why]
        completed = subprocess.run(
            [str(argument) for argument in command],
            cwd=job.checkout,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
        )
        file.with_suffix(".log").write_text(completed.stdout + completed.stderr)
        if not file.exists():
            raise RunFailed(f"{job}: no report; see {file.with_suffix('.log')}")
        print(
            f"played {job.checkout.name} {job.day} seed {job.seed}",
            file=sys.stderr,
            flush=True,
        )
    return json.loads(file.read_text())


def _print(title: str, pairs: list[tuple[dict, dict]], with_windows: bool) -> None:
    print(f"\n{title}: {len(pairs)} pairs\n{'':56}{'base':>9}{'changed':>9}{'change':>9}{'95%':>9}")
    for each in differences(pairs):
        is_negligible = max(abs(each.base), abs(each.changed)) < MIN_SHOWN
        if each.name.startswith("window") and not with_windows or is_negligible:
            continue
        marker = " *" if abs(each.difference) > each.half_width else ""
        print(f"{each.name:56}{each.base:9.4f}{each.changed:9.4f}{each.difference:+9.4f}{each.half_width:9.4f}{marker}")


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
    """Runs days on two checkouts and prints the differences.

    :param bench: the benchmark program
    :param site: the site file
    :param base: the checkout to compare with
    :param changed: the checkout with the change
    :param days: names of days, or files
    :param seeds: each day runs with each seed
    :param jobs: concurrent runs
    :param reports: directory of the stored reports
    :param why: reason of the runs, for the benchmark's journal
    :param windows: print the metrics of time windows as well
    """
    reports = reports.absolute()
    reports.mkdir(parents=True, exist_ok=True)
    checkouts = (base.absolute(), changed.absolute())
    digests = {checkout: _digest(checkout) for checkout in checkouts}
    all_jobs = [Job(checkout, day, seed) for seed in seeds for day in days for checkout in checkouts]
    with ThreadPoolExecutor(jobs) as pool:
        loaded = pool.map(
            lambda job: _load_or_run(bench, site, job, digests[job.checkout], reports, why),
            all_jobs,
        )
        reports_by_run = dict(zip(all_jobs, loaded, strict=True))
    all_pairs = []
    for day in days:
        pairs = [tuple(reports_by_run[Job(checkout, day, seed)] for checkout in checkouts) for seed in seeds]
        all_pairs += pairs
        _print(Path(day).stem, pairs, windows)
    if len(days) > 1:
        _print("all days", all_pairs, False)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
