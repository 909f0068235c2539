"""Hollow routers and servers against real controllers, all on the loopback of one machine."""

from __future__ import annotations

import itertools
import json
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import gevent
import yaml
from gevent import socket
from geventhttpclient import HTTPClient

from ochrespan.programs.settings import SETTINGS_VARIABLE

from . import documents
from .processes import Child, ChildFailed
from .series import Series

ROUTERS_A_PROCESS = 250
START_LIMIT_S = 120.0
CHANGE_LIMIT_S = 30.0
CALL_TIMEOUT_S = 10.0
SETTLING_S = 8.0
STEADY_S = 10.0
CHANGES = 12
HEARTBEAT_MS = 1200.0
OK = 200


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@dataclass(frozen=True, slots=True)
class LiveRun:
    """One fleet's figures; processor times are of the measuring machine."""

    routers: int
    controllers: int
    start_s: float  # from the start of the routers until the last one had the configuration
    start_controllers_s: float  # processor time of all controllers for that
    start_router_ms: float  # and of one router
    steady_controllers_us: float  # a second, all controllers together
    steady_router_us: float  # a second, one router
    acknowledged_s: float  # a change of one route: median until its acknowledgement
    in_force_s: float  # median until the last router had it
    slowest_s: float  # the slowest change
    change_controllers_us: float  # processor time for a change, all controllers together
    change_router_us: float  # and one router
    controller_bytes: float  # memory of one controller
    router_bytes: float  # memory of one router, its share of the process apart from what an empty one holds


class Controllers:
    """Real controller processes with their disks in a temporary folder."""

    def __init__(self, count: int, heartbeat_ms: float = HEARTBEAT_MS) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._peer_port, self._control_port = _free_port(), _free_port()
        self.hosts = [f"127.0.1.{number + 1}" for number in range(count)]
        self._heartbeat_ms = heartbeat_ms
        self.children = [self._start(number) for number in range(count)]
        self._version = 0

    @property
    def control_addresses(self) -> list[str]:
        """Where servers and the operator call."""
        return [f"{host}:{self._control_port}" for host in self.hosts]

    @property
    def peer_addresses(self) -> list[str]:
        """Where routers call."""
        return [f"{host}:{self._peer_port}" for host in self.hosts]

    def processor_s(self) -> float:
        """Processor time of all controllers."""
        return sum(child.processor_s() for child in self.children)

    def order(self, method: str, document: dict) -> int:
        """Sends an order until it is acknowledged; returns the new version."""
        body = json.dumps(document).encode()
        deadline = time.monotonic() + START_LIMIT_S
        for host in itertools.cycle(self.hosts):
            if self._call(host, method, body) == OK:
                self._version = document["generation"]
                return self._version
            if time.monotonic() > deadline:
                raise ChildFailed("no controller has taken an order")
            gevent.sleep(0.05)
        raise AssertionError

    def stop(self) -> None:
        """Ends the controllers and removes their disks."""
        for child in self.children:
            child.stop()
        self._folder.cleanup()

    def _call(self, host: str, method: str, body: bytes) -> int:
        client = HTTPClient(host, self._control_port, connection_timeout=1.0, network_timeout=CALL_TIMEOUT_S)
        try:
            response = client.request(method, "/api/config", body=body, headers={"If-Match": str(self._version)})
            response.read()
            return response.status_code
        except OSError:
            return 0
        finally:
            client.close()

    def _start(self, number: int) -> Child:
        folder = Path(self._folder.name) / str(number)
        folder.mkdir()
        settings = {
            "node": f"core-{number}",
            "ip": self.hosts[number],
            "zone": f"zone-{number % documents.ZONES}",
            "port_range": [self._peer_port, self._peer_port],
            "seeds": [f"{host}:{self._control_port}" for host in self.hosts[:3]],
            "listen": {"control": f"{self.hosts[number]}:{self._control_port}"},
            "bootstrap": True,
            "data_dir": str(folder),
            "heartbeat_ms": self._heartbeat_ms,
            "fault_tolerance": {"machines": 1},
        }
        path = folder / "node.yaml"
        path.write_text(yaml.safe_dump(settings))
        return Child("ochrespan.programs.controller", environment={SETTINGS_VARIABLE: str(path)})


class LiveFleet:
    """Controllers, and processes of hollow routers."""

    def __init__(self, controllers: int, routes: int, tenants: int) -> None:
        self.controllers = Controllers(controllers)
        self.processes: list[Child] = []
        self.routers = 0
        self._version = self.controllers.order("PUT", documents.configuration(1, routes, tenants))

    def start_routers(self, count: int, tables: bool) -> float:
        """Starts routers; seconds until the last one has the configuration."""
        began = time.monotonic()
        for first in range(0, count, ROUTERS_A_PROCESS):
            size = min(ROUTERS_A_PROCESS, count - first)
            arguments = ["--count", str(size), "--first", str(first), "--seeds", *self.controllers.peer_addresses[:3]]
            self.processes.append(
                Child("benchmarks.hollow.router_process", *arguments, *(["--tables"] if tables else []))
            )
        self.routers = count
        started = max(self._told_version(child, START_LIMIT_S) for child in self.processes)
        return started - began

    def change_route(self, number: int) -> tuple[float, float]:
        """Changes one route; seconds until the acknowledgement, and until the last router has it."""
        began = time.monotonic()
        document = documents.patch(self._version + 1, [number], 9_000 + self._version)
        self._version = self.controllers.order("PATCH", document)
        acknowledged = time.monotonic()
        last = max(self._told_version(child, CHANGE_LIMIT_S) for child in self.processes)
        return acknowledged - began, last - began

    def routers_processor_s(self) -> float:
        """Processor time of all router processes."""
        return sum(child.processor_s() for child in self.processes)

    def routers_bytes(self) -> int:
        """Memory of all router processes."""
        return sum(child.resident_bytes() for child in self.processes)

    def stop(self) -> None:
        """Ends all processes."""
        for child in self.processes:
            child.stop()
        self.controllers.stop()

    def _told_version(self, child: Child, seconds: float) -> float:
        return child.wait_for(lambda line: line.get("version") == self._version, seconds)["at"]


def measure(routers: int, controllers: int, routes: int, tenants: int, tables: bool) -> LiveRun:
    """All figures of a fleet of one size."""
    fleet = LiveFleet(controllers, routes, tenants)
    try:
        before = fleet.controllers.processor_s()
        start_s = fleet.start_routers(routers, tables)
        start_controllers_s = fleet.controllers.processor_s() - before
        start_routers_s = fleet.routers_processor_s()
        gevent.sleep(SETTLING_S)
        steady = fleet.controllers.processor_s(), fleet.routers_processor_s()
        gevent.sleep(STEADY_S)
        steady_controllers = (fleet.controllers.processor_s() - steady[0]) / STEADY_S
        steady_routers = (fleet.routers_processor_s() - steady[1]) / STEADY_S
        before, routers_before, began = fleet.controllers.processor_s(), fleet.routers_processor_s(), time.monotonic()
        changes = [fleet.change_route(number % routes) for number in range(CHANGES)]
        elapsed = time.monotonic() - began
        controllers_s = fleet.controllers.processor_s() - before - steady_controllers * elapsed
        routers_s = fleet.routers_processor_s() - routers_before - steady_routers * elapsed
        return LiveRun(
            routers,
            controllers,
            start_s,
            start_controllers_s,
            start_routers_s * 1e3 / routers,
            steady_controllers * 1e6,
            steady_routers * 1e6 / routers,
            median(acknowledged for acknowledged, _ in changes),
            median(last for _, last in changes),
            max(last for _, last in changes),
            controllers_s * 1e6 / CHANGES,
            routers_s * 1e6 / CHANGES / routers,
            median(child.resident_bytes() for child in fleet.controllers.children),
            fleet.routers_bytes() / routers,
        )
    finally:
        fleet.stop()


def series(runs: list[LiveRun]) -> list[Series]:
    """The runs' figures over the count of routers."""

    def of(name: str, unit: str, figure) -> Series:
        return Series.of(name, unit, "routers", ((run.routers, figure(run)) for run in runs))

    return [
        of("live start: until the last router has its table", "s", lambda run: run.start_s),
        of("live start: processor of the controllers", "s", lambda run: run.start_controllers_s),
        of("live start: processor of a router's share", "ms", lambda run: run.start_router_ms),
        of("live steady: processor of the controllers", "us a s", lambda run: run.steady_controllers_us),
        of("live steady: processor of a router", "us a s", lambda run: run.steady_router_us),
        of("live change: until acknowledged", "s", lambda run: run.acknowledged_s),
        of("live change: until in force at the last router", "s", lambda run: run.in_force_s),
        of("live change: the slowest until in force", "s", lambda run: run.slowest_s),
        of("live change: processor of the controllers", "us", lambda run: run.change_controllers_us),
        of("live change: processor of a router", "us", lambda run: run.change_router_us),
        of("live: memory of a controller", "B", lambda run: run.controller_bytes),
        of("live: memory of a router's share of its process", "B", lambda run: run.router_bytes),
    ]


@dataclass(frozen=True, slots=True)
class HeartbeatRun:
    """Heartbeats at one rate; processor times are of the measuring machine."""

    per_s: float
    servers: int
    taken_per_s: float
    failed: int
    controllers_us: float  # processor time a second, all controllers together
    median_s: float  # until the acknowledgement
    largest_s: float


def measure_heartbeats(per_s: float, controllers: int, seconds: float = 10.0) -> HeartbeatRun:
    """Registers as many servers as send so many heartbeats a second, by their first ones, then measures."""
    servers = round(per_s * HEARTBEAT_MS / 1000)
    fleet = LiveFleet(controllers, documents.MODELS, 0)
    child = Child(
        "benchmarks.hollow.server_process",
        "--count",
        str(servers),
        "--per-s",
        str(per_s),
        "--controllers",
        *fleet.controllers.control_addresses,
    )
    try:
        child.wait_for(lambda line: line.get("taken", 0) > servers, servers / per_s * 4 + START_LIMIT_S)
        gevent.sleep(2.0)
        first, before, began = child.told[-1], fleet.controllers.processor_s(), time.monotonic()
        gevent.sleep(seconds)
        last, after, elapsed = child.told[-1], fleet.controllers.processor_s(), time.monotonic() - began
        taken = last["taken"] - first["taken"]
        medians = [line["median"] for line in child.told if line["median"] is not None]
        return HeartbeatRun(
            per_s,
            servers,
            taken / elapsed,
            last["failed"] - first["failed"],
            (after - before) * 1e6 / elapsed,
            median(medians),
            max(line["largest"] or 0.0 for line in child.told[-int(seconds) :]),
        )
    finally:
        child.stop()
        fleet.stop()


def heartbeat_series(runs: list[HeartbeatRun]) -> list[Series]:
    """The runs' figures over the rate."""

    def of(name: str, unit: str, figure) -> Series:
        return Series.of(name, unit, "heartbeats a s", ((run.per_s, figure(run)) for run in runs))

    return [
        of("live heartbeats: acknowledged", "a s", lambda run: run.taken_per_s),
        of("live heartbeats: failed", "heartbeats", lambda run: run.failed),
        of("live heartbeats: processor of the controllers", "us a s", lambda run: run.controllers_us),
        of("live heartbeat: median until acknowledged", "s", lambda run: run.median_s),
        of("live heartbeat: longest until acknowledged", "s", lambda run: run.largest_s),
    ]
