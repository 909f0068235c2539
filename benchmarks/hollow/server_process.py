"""A process with many hollow servers, which send their heartbeats to the controllers over HTTP at a steady rate.

python -m benchmarks.hollow.server_process --count 600 --per-s 100 --controllers 127.0.1.1:8367
"""

from __future__ import annotations

import json
import signal
import time

import defopt
import gevent
from gevent.event import Event
from geventhttpclient import HTTPClient

from ochrespan.transport.tcp import parse_address

from . import documents
from .processes import tell

CONNECTIONS = 8  # for each controller
REPORT_INTERVAL_S = 1.0
TIMEOUT_S = 2.0


class ServerProcess:
    """All servers of this process; each of them calls one controller, and the calls are spread evenly over time."""

    def __init__(self, count: int, per_s: float, controllers: list[str]) -> None:
        self._count = count
        self._interval_s = 1 / per_s
        self._clients = []
        for host, port in map(parse_address, controllers):
            self._clients.append(
                HTTPClient(host, port, concurrency=CONNECTIONS, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S)
            )
        self._taken = 0
        self._failed = 0
        self._latencies: list[float] = []

    def run(self) -> None:
        """Sends reports until the process ends."""
        gevent.spawn(self._tell)
        due, number = time.monotonic(), 0
        while True:
            gevent.spawn(self._report, number % self._count, number // self._count + 1)
            number += 1
            due = max(due + self._interval_s, time.monotonic() - REPORT_INTERVAL_S)
            gevent.sleep(max(0.0, due - time.monotonic()))

    def _report(self, server: int, sequence: int) -> None:
        client = self._clients[server % len(self._clients)]
        body = json.dumps(documents.report(server, sequence)).encode()
        began = time.monotonic()
        try:
            response = client.request("PUT", f"/api/instances/{documents.instance_id(server)}", body=body)
            response.read()
        except OSError:
            self._failed += 1
            return
        if response.status_code == 200:
            self._taken += 1
            self._latencies.append(time.monotonic() - began)
        else:
            self._failed += 1

    def _tell(self) -> None:
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            latencies, self._latencies = sorted(self._latencies), []
            median = latencies[len(latencies) // 2] if latencies else None
            tell(taken=self._taken, failed=self._failed, median=median, largest=latencies[-1] if latencies else None)


def main(*, count: int, per_s: float, controllers: list[str]) -> None:
    """Run hollow servers until SIGTERM.

    :param count: servers of this process
    :param per_s: heartbeats of all of them each second
    :param controllers: their control addresses
    """
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.spawn(ServerProcess(count, per_s, controllers).run)
    ended.wait()


if __name__ == "__main__":
    defopt.run(main)
