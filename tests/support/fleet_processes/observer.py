"""Clients and on-call: what each router serves, and what it tells of its feed, several times a second."""

from __future__ import annotations

import http.client
import json
import threading
from dataclasses import dataclass
from time import monotonic
from typing import Any

from .fleet import Fleet, FleetProcess
from .operator import HOST, Operator, probe_path

INTERVAL_S = 0.1
CALL_TIMEOUT_S = 0.8


@dataclass(frozen=True, slots=True)
class Sample:
    """What one router answered.

    Attributes:
        router: Its name.
        life: How often its process had been started.
        sent_at: When the client's request was sent, in seconds of the monotonic clock.
        asked: The version whose route was requested.
        status: The status of the answer; 0 for none.
        feed: The document of `GET /api/feed`, None if there was none.
    """

    router: str
    life: int
    sent_at: float
    asked: int
    status: int
    feed: dict[str, Any] | None


class Observer:
    """Asks each router in a thread of its own, over connections that stay open until the process is gone.

    Attributes:
        samples: Those of all routers, in the order of their arrival.
    """

    def __init__(self, fleet: Fleet, operator: Operator) -> None:
        self.samples: list[Sample] = []
        self._fleet = fleet
        self._operator = operator
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(router,), daemon=True) for router in fleet.routers.values()
        ]

    def start(self) -> None:
        """Begins to ask."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the clients."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, router: FleetProcess) -> None:
        client = _Client(router.ip, self._fleet.ports.front)
        on_call = _Client(router.ip, self._fleet.ports.ready)
        while not self._stopping.wait(INTERVAL_S):
            life, asked, sent_at = router.starts, self._operator.version, monotonic()
            status, _ = client.get(probe_path(asked) + "x", {"Host": HOST, "X-Request-Id": f"{sent_at:.6f}"})
            feed_status, body = on_call.get("/api/feed", {})
            if life == router.starts:  # otherwise the answers may be those of different processes
                feed = json.loads(body) if feed_status == http.client.OK else None
                self.samples.append(Sample(router.name, life, sent_at, asked, status, feed))
        client.close()
        on_call.close()


class _Client:
    """A client that keeps its connection open."""

    def __init__(self, ip: str, port: int) -> None:
        self._connection = http.client.HTTPConnection(ip, port, timeout=CALL_TIMEOUT_S)

    def get(self, path: str, headers: dict[str, str]) -> tuple[int, bytes]:
        """Status and body of the answer; status 0 for none."""
        try:
            self._connection.request("GET", path, headers=headers)
            response = self._connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            return 0, b""

    def close(self) -> None:
        self._connection.close()
