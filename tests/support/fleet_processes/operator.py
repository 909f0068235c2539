"""The operator: changes the configuration all along, and records when each version was acknowledged."""

from __future__ import annotations

import http.client
import json
import random
import threading
from dataclasses import dataclass
from time import monotonic, sleep
from typing import Any

from .fleet import Fleet

HOST = "models.example"
CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
STORM_PROBABILITY = 0.15  # of a series of changes without pauses
STORM_CHANGES = 6
STORM_INTERVAL_S = 0.08
MAX_INTERVAL_S = 1.2


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A version that was acknowledged at a time of the monotonic clock, by a controller."""

    version: int
    at: float
    controller: str


def probe_path(version: int) -> str:
    """The path of the route that a version adds."""
    return f"/v{version}/"


class Operator:
    """Adds a route with each version; sends a change unchanged until it is acknowledged.

    Attributes:
        acknowledgements: In the order of the versions.
        refusals: Answers that a proper change must not get.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.acknowledgements: list[Acknowledgement] = []
        self.refusals: list[str] = []
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def version(self) -> int:
        """The newest acknowledged version; 0 before the first."""
        return self.acknowledgements[-1].version if self.acknowledgements else 0

    def start(self) -> None:
        """Sends the first configuration, waits for its acknowledgement, and changes it from then on."""
        first = {
            "generation": 1,
            "routes": [_route(1)],
            "services": [{"name": "service", "health_check": "/healthz", "max_connections": 8}],
            "limits": {"idle_timeout_ms": 60_000},
        }
        self._send("PUT", first, 0)
        self._thread.start()

    def stop(self) -> None:
        """Sends no further change; the last one is acknowledged when this returns, or never."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            changes = STORM_CHANGES if self._random.random() < STORM_PROBABILITY else 1
            for _ in range(changes):
                version = self.version + self._random.randint(1, 3)
                self._send("PATCH", {"generation": version, "upsert": {"routes": [_route(version)]}}, self.version)
                self._stopping.wait(STORM_INTERVAL_S)
            self._stopping.wait(self._random.uniform(0.0, MAX_INTERVAL_S))

    def _send(self, method: str, document: dict[str, Any], builds_on: int) -> None:
        while not self._stopping.is_set():
            controller = self._random.choice(list(self._fleet.controllers.values()))
            try:
                status, body = _call(controller.ip, self._fleet.ports.control, method, document, builds_on)
            except (OSError, http.client.HTTPException):
                status, body = 0, b""
            if status == http.client.OK:
                self.acknowledgements.append(Acknowledgement(document["generation"], monotonic(), controller.name))
                return
            if http.client.BAD_REQUEST <= status < http.client.INTERNAL_SERVER_ERROR:
                self.refusals.append(f"{controller.name}: {status} {body[:200]!r} for {document['generation']}")
                return
            sleep(RETRY_DELAY_S)


def _call(ip: str, port: int, method: str, document: dict[str, Any], builds_on: int) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(ip, port, timeout=CALL_TIMEOUT_S)
    try:
        headers = {"Content-Type": "application/json", "If-Match": str(builds_on)}
        connection.request(method, "/api/config", json.dumps(document), headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _route(version: int) -> dict[str, Any]:
    return {
        "name": f"r{version}",
        "hostname": HOST,
        "path_prefix": probe_path(version),
        "route_type": "safe",
        "timeout_ms": 200,
        "backend": "service",
        "max_retries": 1,
        "public": True,
    }
