"""Start-up time and memory of a front, compared with another checkout of this repository in alternating runs.

    python -m benchmarks.startup OTHER_CHECKOUT [--runs 10]

Both run with this checkout's interpreter. Prints for each the median time from the process's start to status 200 at
/up and the median resident memory then, and the median ratio of the times in a pair.
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

REPOSITORY = Path(__file__).parent.parent


def measure_start(checkout: Path, directory: str) -> tuple[float, float]:
    """Starts a front; returns the seconds until it is ready, and its resident memory in MiB then."""
    port = free_port()
    configuration = json.loads((REPOSITORY / "examples" / "config.json").read_text()) | {
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
    }
    path = Path(directory, "config.json")
    path.write_text(json.dumps(configuration))
    env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")} | {"BALANCER_CONFIG": str(path)}
    started_at = time.perf_counter()
    front = subprocess.Popen([sys.executable, "-m", "ochrespan"], cwd=checkout, env=env, stderr=subprocess.DEVNULL)
    try:
        while True:
            try:
                with urllib.request.urlopen(f"http://127.0.0.1:{port}/up", timeout=5):
                    break
            except OSError:
                if time.perf_counter() - started_at > 30:
                    raise
                time.sleep(0.005)
        ready_s = time.perf_counter() - started_at
        status = Path(f"/proc/{front.pid}/status").read_text()
        return ready_s, int(status.split("VmRSS:")[1].split()[0]) / 1024
    finally:
        front.kill()
        front.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("other", type=Path)
    parser.add_argument("--runs", type=int, default=10)
    options = parser.parse_args()
    results: dict[str, list[tuple[float, float]]] = {"this": [], "other": []}
    with tempfile.TemporaryDirectory() as directory:
        for run in range(options.runs + 1):
            for name, checkout in (("this", REPOSITORY), ("other", options.other)):
                measurements = measure_start(checkout, directory)
                if run:  # the first run only warms the file cache
                    results[name].append(measurements)
    print(f"{machine()}; {options.runs} pairs")
    for name, measurements in results.items():
        print(
            f"{name:6} ready {statistics.median(r for r, _ in measurements) * 1000:6.0f} ms   "
            f"memory {statistics.median(m for _, m in measurements):6.2f} MB"
        )
    ratios = [a[0] / b[0] for a, b in zip(results["this"], results["other"], strict=True)]
    print(f"ratio of times, this to other: median {statistics.median(ratios):.3f}")


if __name__ == "__main__":
    main()
