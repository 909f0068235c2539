"""How long other greenlets of a controller are blocked while a configuration is validated, by its size.

    python -m benchmarks.config_checks

A leader sends heartbeats from such a greenlet every 120 ms, and a follower starts an election after 600 ms without one.
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
    """Returns body size, status, response time in s, and the maximum wait of another greenlet in s."""
    world = World(members=3)
    route_documents = [route(f"r{number}", timeout_ms=timeout_ms) for number in range(routes)]
    body = json.dumps(configuration(5, *route_documents)).encode()
    max_wait_s = 0.0

    def tick() -> None:
        nonlocal max_wait_s
        while True:
            started_at = time.perf_counter()
            gevent.sleep(TICK_S)
            max_wait_s = max(max_wait_s, time.perf_counter() - started_at - TICK_S)

    tick_greenlet = gevent.spawn(tick)
    gevent.sleep(0.01)
    statuses: list[str] = []
    environment = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": "/api/config",
        "HTTP_IF_MATCH": "0",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    started_at = time.perf_counter()
    world.controllers[0].node.api(environment, lambda status, _headers: statuses.append(status))
    response_time_s = time.perf_counter() - started_at
    tick_greenlet.kill()
    world.close()
    return len(body), int(statuses[0].split()[0]), response_time_s, max_wait_s


def run(*, routes: list[int] | None = None) -> int:
    """Prints a row for each number of routes, with a valid and with an invalid configuration.

    :param routes: numbers of routes
    """
    print(COLUMNS.format("bytes", "routes", "status", "answer ms", "longest ms"))
    for count in routes or [100, 1000, 3000, 10_000, 30_000]:
        for timeout_ms in (8000, 0):
            size, status, response_time_s, max_wait_s = measure(count, timeout_ms)
            print(COLUMNS.format(size, count, status, f"{response_time_s * 1e3:.1f}", f"{max_wait_s * 1e3:.1f}"))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
