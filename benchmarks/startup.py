"""How soon a front is ready and what it holds then, against another checkout of this repository, in turns.

    python -m benchmarks.startup OTHER_CHECKOUT [--runs 10]

Both run on this checkout's interpreter. For each: the time from the process's start to 200 on /up, and the resident
memory then, as medians; and the ratio, pair by pair.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from examples.ports import free_port

from .machine import machine

HERE = Path(__file__).parent.parent


def once(checkout: Path, folder: str) -> tuple[float, float]:
    """Seconds until ready, and megabytes then."""
    port = free_port()
    told = json.loads((HERE / "examples" / "config.json").read_text()) | {
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
    }
    path = Path(folder, "config.json")
    path.write_text(json.dumps(told))
    env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")} | {"BALANCER_CONFIG": str(path)}
    began = time.perf_counter()
    front = subprocess.Popen([sys.executable, "-m", "ochrespan"], cwd=checkout, env=env, stderr=subprocess.DEVNULL)
    try:
        while True:
            try:
                with urllib.request.urlopen(f"http://127.0.0.1:{port}/up", timeout=5):
                    break
            except OSError:
                if time.perf_counter() - began > 30:
                    raise
                time.sleep(0.005)
        ready = time.perf_counter() - began
        status = Path(f"/proc/{front.pid}/status").read_text()
        return ready, int(status.split("VmRSS:")[1].split()[0]) / 1024
    finally:
        front.kill()
        front.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("other", type=Path)
    parser.add_argument("--runs", type=int, default=10)
    chosen = parser.parse_args()
    figures: dict[str, list[tuple[float, float]]] = {"this": [], "other": []}
    with tempfile.TemporaryDirectory() as folder:
        for run in range(chosen.runs + 1):
            for name, checkout in (("this", HERE), ("other", chosen.other)):
                got = once(checkout, folder)
                if run:  # the first warms the file cache
                    figures[name].append(got)
    print(f"{machine()}; {chosen.runs} pairs")
    for name, got in figures.items():
        print(
            f"{name:6} ready {statistics.median(r for r, _ in got) * 1000:6.0f} ms   "
            f"memory {statistics.median(m for _, m in got):6.2f} MB"
        )
    ratios = [a[0] / b[0] for a, b in zip(figures["this"], figures["other"], strict=True)]
    print(f"ratio of times, this to other: median {statistics.median(ratios):.3f}")


if __name__ == "__main__":
    main()
