"""How long a controller's other greenlets wait while a configuration is checked, by its size.

    python -m benchmarks.config_checks

A leader's heartbeats are such greenlets: they are due every 120 ms, and a follower campaigns after 600 ms without one.
"""

from __future__ import annotations

import io
import json
import sys
import time

import defopt
import gevent

from tests.support.control_plane_world import World, configuration, route

TICK_S = 0.001
COLUMNS = "{:>10} {:>8} {:>8} {:>10} {:>12}"


def measure(routes: int, timeout_ms: float) -> tuple[int, int, float, float]:
    """Bytes of the body, status, seconds until the answer, and the longest wait of another greenlet in seconds."""
    world = World(members=3)
    listed = [route(f"r{number}", timeout_ms=timeout_ms) for number in range(routes)]
    body = json.dumps(configuration(5, *listed)).encode()
    longest_s = 0.0

    def tick() -> None:
        nonlocal longest_s
        while True:
            began = time.perf_counter()
            gevent.sleep(TICK_S)
            longest_s = max(longest_s, time.perf_counter() - began - TICK_S)

    ticking = gevent.spawn(tick)
    gevent.sleep(0.01)
    statuses: list[str] = []
    environment = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": "/api/config",
        "HTTP_IF_MATCH": "0",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    began = time.perf_counter()
    world.controllers[0].node.api(environment, lambda status, _headers: statuses.append(status))
    took_s = time.perf_counter() - began
    ticking.kill()
    world.close()
    return len(body), int(statuses[0].split()[0]), took_s, longest_s


def run(*, routes: list[int] | None = None) -> int:
    """Prints a row for each number of routes, valid and wrong.

    :param routes: numbers of routes
    """
    print(COLUMNS.format("bytes", "routes", "status", "answer ms", "longest ms"))
    for count in routes or [100, 1000, 3000, 10_000, 30_000]:
        for timeout_ms in (8000, 0):
            size, status, took_s, longest_s = measure(count, timeout_ms)
            print(COLUMNS.format(size, count, status, f"{took_s * 1e3:.1f}", f"{longest_s * 1e3:.1f}"))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
