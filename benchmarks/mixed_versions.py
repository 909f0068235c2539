"""A rolling upgrade of a fleet to another checkout's programs and back, under configuration changes.

    python -m benchmarks.mixed_versions OTHER_CHECKOUT

Three controllers and two routers run on loopback from this checkout's programs, while an operator keeps changing the
configuration. Each process in turn is stopped and started again from the other checkout, controllers with their data
directories: the upgrade stops them by SIGTERM, the downgrade by SIGKILL. After each, every acknowledged change has to
be in the configuration's history, as one sequence of versions, and both routers have to serve the newest version. No
log may contain an exception or a malformed message. The exit status is 0 if all of this holds.
"""

from __future__ import annotations

import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

import defopt
import gevent
import yaml
from gevent.subprocess import Popen
from geventhttpclient import HTTPClient
from returns.result import Success

from examples.fleet import CONTROLLERS, HOST, KEY, ROUTERS, SERVICE, Ports, configuration, settings_for
from ochrespan.programs.fleetctl_commands.control_client import ControlClient

REPOSITORY = Path(__file__).parent.parent
CONTROLLER_MODULE, ROUTER_MODULE = "ochrespan.programs.controller", "ochrespan.programs.router"
CHANGE_INTERVAL_S = 0.1
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
REQUEST_DEADLINE_MS = 300
NO_ROUTE_STATUS = HTTPStatus.NOT_FOUND
NO_INSTANCE_STATUS = HTTPStatus.SERVICE_UNAVAILABLE  # no instances run here, so every request with a route gets this
MIXED_VERSIONS_S = 1.0  # time that the fleet runs with mixed versions after each replacement
VERSION_METRIC = re.compile(r"^ochrespan_configuration_version (\S+)$", re.MULTILINE)
LOGGED_FAULTS = ("Traceback", "bad raft message", "malformed raft message", "callback failed", "command failed")


@dataclass(frozen=True)
class Release:
    """The checkout of one release, and the names of its two main modules."""

    checkout: Path
    controller_module: str = CONTROLLER_MODULE
    router_module: str = ROUTER_MODULE

    def module_for(self, ip: str) -> str:
        """The module that runs at an address."""
        return self.controller_module if ip in CONTROLLERS else self.router_module


class Fleet:
    """The processes. Settings files, logs and data directories outlive a process, and its successor uses them again."""

    def __init__(self, directory: Path) -> None:
        self.ports = Ports()
        self._directory = directory
        self._processes: dict[str, Popen] = {}
        for ip in (*CONTROLLERS, *ROUTERS):
            settings = settings_for(ip, ip, self.ports, directory)
            self._settings_path(ip).write_text(yaml.safe_dump(settings))

    def start(self, ip: str, release: Release) -> None:
        """Starts the process of an address from a release."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(release.checkout),
            "OCHRESPAN_SETTINGS": str(self._settings_path(ip)),
        }
        command = [sys.executable, "-m", release.module_for(ip)]
        with self._log_path(ip).open("ab") as log:
            self._processes[ip] = Popen(command, cwd=release.checkout, env=environment, stderr=log)

    def stop(self, ip: str, stop_signal: signal.Signals) -> None:
        """Sends a signal to the process of an address, and waits until it exits."""
        process = self._processes.pop(ip)
        process.send_signal(stop_signal)
        process.wait(TIMEOUT_S)

    def close(self) -> None:
        """Kills the processes that still run."""
        for ip in list(self._processes):
            self.stop(ip, signal.SIGKILL)

    def logged_faults(self) -> list[str]:
        """The lines of all logs that contain one of LOGGED_FAULTS."""
        return [
            f"{ip}: {line}"
            for ip in (*CONTROLLERS, *ROUTERS)
            for line in self._log_path(ip).read_text().splitlines()
            if any(fault in line for fault in LOGGED_FAULTS)
        ]

    def client(self, *ips: str) -> ControlClient:
        """A client of the control interface of some controllers, or of all."""
        return ControlClient([(ip, self.ports.control) for ip in ips or CONTROLLERS], gevent.sleep)

    def version_at(self, ip: str) -> int:
        """The configuration version that a process has; -1 while it does not respond."""
        if ip in CONTROLLERS:
            result = self.client(ip).get("/api/status")
            return result.unwrap()["version"] if isinstance(result, Success) else -1
        _, metrics = get(ip, self.ports.ready, "/api/metrics")
        match = VERSION_METRIC.search(metrics)
        return int(float(match[1])) if match else -1

    def is_ready(self, ip: str) -> bool:
        """Whether the readiness check of a process succeeds."""
        port = self.ports.control if ip in CONTROLLERS else self.ports.ready
        return get(ip, port, "/api/readyz")[0] == HTTPStatus.OK

    def route_status(self, ip: str, path: str) -> int:
        """A router's response status: NO_INSTANCE_STATUS if it has a route for the path, else NO_ROUTE_STATUS."""
        headers = {"Host": HOST, "X-Credential": KEY, "X-Request-Id": path, "X-Deadline-Ms": str(REQUEST_DEADLINE_MS)}
        return get(ip, self.ports.front, path, headers)[0]

    def _settings_path(self, ip: str) -> Path:
        return self._directory / f"{ip}.yaml"

    def _log_path(self, ip: str) -> Path:
        return self._directory / f"{ip}.log"


class Operator:
    """Submits one change after the other, each on top of the last acknowledged one, and records those acknowledged."""

    def __init__(self, client: ControlClient) -> None:
        self.acknowledged: list[int] = []
        self.faults: list[str] = []
        self.max_latency_s = 0.0  # from the first submission of a change until its acknowledgement
        self._client = client

    @property
    def version(self) -> int:
        """The newest acknowledged version; 0 at first."""
        return self.acknowledged[-1] if self.acknowledged else 0

    def run(self) -> None:
        """Submits changes until the greenlet is killed."""
        while True:
            self.submit()
            gevent.sleep(CHANGE_INTERVAL_S)

    def submit(self) -> None:
        """Submits the next change, repeatedly while its outcome is unknown."""
        document = document_of(self.version + 1)
        started_at = time.monotonic()
        headers = {"If-Match": str(self.version)}
        while not isinstance(result := self._client.put("/api/config", document, headers), Success):
            failure = result.failure()
            if failure.status is not None and failure.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                self.faults.append(f"version {document['generation']} rejected: {failure}")
                return
        self.max_latency_s = max(self.max_latency_s, time.monotonic() - started_at)
        self.acknowledged.append(document["generation"])


class History:
    """The configuration's history, collected by repeated reads: a controller retains only the latest changes."""

    def __init__(self, client: ControlClient) -> None:
        self.builds_on: dict[int, int] = {}
        self._client = client

    def read(self) -> None:
        """Reads the latest changes, and adds them to those known."""
        changes = wait_until(lambda: self._client.get("/api/config/history").value_or(None), "history")["changes"]
        self.builds_on.update({change["version"]: change["builds_on"] for change in changes})


def document_of(version: int) -> dict[str, Any]:
    """A complete configuration whose only route has a path of this version."""
    document = configuration()
    route = {**document["routes"][0], "path_prefix": path_of(version), "backend": SERVICE}
    return {**document, "generation": version, "routes": [route]}


def path_of(version: int) -> str:
    """The path of the route of a version."""
    return f"/version-{version}/"


def get(ip: str, port: int, path: str, headers: dict[str, str] | None = None) -> tuple[int, str]:
    """Status and text of a response; status 0 where there was none."""
    client = HTTPClient(ip, port, connection_timeout=1.0, network_timeout=3.0)
    try:
        response = client.request("GET", path, headers=headers or {})
        return response.status_code, response.read().decode()
    except OSError:
        return 0, ""
    finally:
        client.close()


def wait_until(condition: Callable[[], Any], description: str) -> Any:
    """Polls until the condition is truthy, and returns its value; ends the run after TIMEOUT_S."""
    deadline = time.monotonic() + TIMEOUT_S
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise SystemExit(f"timed out after {TIMEOUT_S:g} s: {description}")
        gevent.sleep(POLL_INTERVAL_S)
    return value


def replace_all(
    fleet: Fleet, release: Release, stop_signal: signal.Signals, operator: Operator, history: History
) -> None:
    """Replaces one process after the other; each has to catch up before the next one is replaced."""
    for ip in (*CONTROLLERS, *ROUTERS):
        version_before = operator.version
        fleet.stop(ip, stop_signal)
        fleet.start(ip, release)
        wait_until(lambda ip=ip: fleet.is_ready(ip), f"{ip} ready")
        wait_until(
            lambda ip=ip, version_before=version_before: fleet.version_at(ip) > version_before,
            f"{ip} at a version above {version_before}",
        )
        gevent.sleep(MIXED_VERSIONS_S)
        history.read()
        print(f"{ip} replaced by {stop_signal.name}, version {operator.version} acknowledged", flush=True)


def check(fleet: Fleet, operator: Operator, history: History) -> list[str]:
    """The faults found while the operator submits nothing."""
    history.read()
    newest = operator.version
    faults = list(operator.faults)
    lost = [version for version in operator.acknowledged if version not in history.builds_on]
    if lost:
        faults.append(f"acknowledged and not in the history: {lost}")
    faults += [f"{version} builds on {base}" for version, base in history.builds_on.items() if base != version - 1]
    for ip in (*CONTROLLERS, *ROUTERS):
        wait_until(lambda ip=ip: fleet.version_at(ip) == newest, f"{ip} at version {newest}")
    for ip in ROUTERS:
        newest_status = fleet.route_status(ip, path_of(newest))
        previous_status = fleet.route_status(ip, path_of(newest - 1))
        if (newest_status, previous_status) != (NO_INSTANCE_STATUS, NO_ROUTE_STATUS):
            statuses = f"{newest_status} and {previous_status}"
            faults.append(f"{ip} responds with {statuses} at the paths of versions {newest} and {newest - 1}")
    return faults + fleet.logged_faults()


def run_upgrades(fleet: Fleet, own_release: Release, other_release: Release) -> list[str]:
    """Upgrades the fleet to the other release and back; returns the faults found."""
    for ip in (*CONTROLLERS, *ROUTERS):
        fleet.start(ip, own_release)
    operator = Operator(fleet.client())
    history = History(fleet.client())
    operator.submit()
    for ip in ROUTERS:
        wait_until(lambda ip=ip: fleet.is_ready(ip), f"{ip} ready")
    faults: list[str] = []
    for release, stop_signal in ((other_release, signal.SIGTERM), (own_release, signal.SIGKILL)):
        operator_greenlet = gevent.spawn(operator.run)
        replace_all(fleet, release, stop_signal, operator, history)
        operator_greenlet.kill()
        operator.submit()  # may repeat the change that was in progress when the greenlet was killed
        faults += check(fleet, operator, history)
    print(
        f"{len(operator.acknowledged)} changes acknowledged, the slowest in {operator.max_latency_s:.2f} s", flush=True
    )
    return faults


def main(other: Path, *, other_controller: str = CONTROLLER_MODULE, other_router: str = ROUTER_MODULE) -> int:
    """Replace a fleet's processes by another checkout's, and back.

    :param other: the other checkout
    :param other_controller: the module of its controller
    :param other_router: the module of its router
    """
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="ochrespan-mixed-")))
        fleet = Fleet(directory)
        stack.callback(fleet.close)
        faults = run_upgrades(fleet, Release(REPOSITORY), Release(other.resolve(), other_controller, other_router))
    print(
        "\n".join(faults) if faults else "every acknowledged change is in the history, and the routers serve the newest"
    )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
