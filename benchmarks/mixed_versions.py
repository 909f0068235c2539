"""A fleet whose processes are replaced one after the other by another checkout's program, and then back again.

    python -m benchmarks.mixed_versions OTHER_CHECKOUT

Three controllers and two routers run on loopback from this checkout's program. An operator changes the configuration
all along. Each process in turn is ended and started again from the other checkout, controllers with their data
folders: on the way there by SIGTERM, on the way back by SIGKILL. After each way, every acknowledged change has to be in
the configuration's history, in one line of versions, and both routers have to serve the newest version. No log may tell
of an exception or of a message that could not be read. The exit status is 0 where all of this holds.
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

HERE = Path(__file__).parent.parent
CONTROLLER_MODULE, ROUTER_MODULE = "ochrespan.programs.controller", "ochrespan.programs.router"
CHANGE_PAUSE_S = 0.1
PATIENCE_S = 30.0
POLL_S = 0.05
REQUEST_DEADLINE_MS = 300
NO_ROUTE, NO_SERVER = 404, 503  # no servers run here, so a request never gets further
MIXED_S = 1.0  # how long the fleet runs on after each replacement
VERSION_FIGURE = re.compile(r"^ochrespan_configuration_version (\S+)$", re.MULTILINE)
LOGGED_FAULTS = ("Traceback", "bad raft message", "callback failed", "command failed")


@dataclass(frozen=True)
class Program:
    """The program of one checkout, and the names of its two main modules."""

    checkout: Path
    controller_module: str = CONTROLLER_MODULE
    router_module: str = ROUTER_MODULE

    def module_for(self, ip: str) -> str:
        """The module that runs at an address."""
        return self.controller_module if ip in CONTROLLERS else self.router_module


class Fleet:
    """The processes, each with a settings file, a log and maybe a data folder that outlive it."""

    def __init__(self, folder: Path) -> None:
        self.ports = Ports()
        self._folder = folder
        self._processes: dict[str, Popen] = {}
        for ip in (*CONTROLLERS, *ROUTERS):
            settings = settings_for(ip, ip, self.ports, folder)
            self._settings_path(ip).write_text(yaml.safe_dump(settings))

    def start(self, ip: str, program: Program) -> None:
        """Starts the process of an address from a checkout's program."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(program.checkout),
            "OCHRESPAN_SETTINGS": str(self._settings_path(ip)),
        }
        command = [sys.executable, "-m", program.module_for(ip)]
        with self._log_path(ip).open("ab") as log:
            self._processes[ip] = Popen(command, cwd=program.checkout, env=environment, stderr=log)

    def end(self, ip: str, number: signal.Signals) -> None:
        """Ends the process of an address, and waits for its end."""
        process = self._processes.pop(ip)
        process.send_signal(number)
        process.wait(PATIENCE_S)

    def close(self) -> None:
        """Ends everything at once."""
        for ip in list(self._processes):
            self.end(ip, signal.SIGKILL)

    def logged_faults(self) -> list[str]:
        """The lines of all logs that tell of a fault."""
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
        """The version that a process holds itself; -1 while it gives no answer."""
        if ip in CONTROLLERS:
            result = self.client(ip).get("/api/status")
            return result.unwrap()["version"] if isinstance(result, Success) else -1
        _, text = get(ip, self.ports.ready, "/api/metrics")
        found = VERSION_FIGURE.search(text)
        return int(float(found[1])) if found else -1

    def is_ready(self, ip: str) -> bool:
        """Whether a process answers the platform that it is ready."""
        port = self.ports.control if ip in CONTROLLERS else self.ports.ready
        return get(ip, port, "/api/readyz")[0] == 200

    def route_status(self, ip: str, path: str) -> int:
        """What a router answers to a request: NO_ROUTE, or NO_SERVER where it has a route for the path."""
        headers = {"Host": HOST, "X-Credential": KEY, "X-Request-Id": path, "X-Deadline-Ms": str(REQUEST_DEADLINE_MS)}
        return get(ip, self.ports.front, path, headers)[0]

    def _settings_path(self, ip: str) -> Path:
        return self._folder / f"{ip}.yaml"

    def _log_path(self, ip: str) -> Path:
        return self._folder / f"{ip}.log"


class Operator:
    """Submits one change after the other, each on top of the last, and keeps what was acknowledged."""

    def __init__(self, client: ControlClient) -> None:
        self.acknowledged: list[int] = []
        self.faults: list[str] = []
        self.longest_s = 0.0  # that a change took until its acknowledgement
        self._client = client

    @property
    def version(self) -> int:
        """The newest acknowledged version; 0 at first."""
        return self.acknowledged[-1] if self.acknowledged else 0

    def run(self) -> None:
        """Submits changes until the greenlet is killed."""
        while True:
            self.submit()
            gevent.sleep(CHANGE_PAUSE_S)

    def submit(self) -> None:
        """Submits the next change until there is a verdict; the same change may be sent again."""
        document, began = document_of(self.version + 1), time.monotonic()
        headers = {"If-Match": str(self.version)}
        while not isinstance(result := self._client.put("/api/config", document, headers), Success):
            error = result.failure()
            if error.status is not None and error.status < 500:
                self.faults.append(f"version {document['generation']} refused: {error}")
                return
        self.longest_s = max(self.longest_s, time.monotonic() - began)
        self.acknowledged.append(document["generation"])


class History:
    """What the configuration's history has told so far; a controller keeps the latest changes only."""

    def __init__(self, client: ControlClient) -> None:
        self.builds_on: dict[int, int] = {}
        self._client = client

    def read(self) -> None:
        """Reads the latest changes, and adds them to those known."""
        changes = until(lambda: self._client.get("/api/config/history").value_or(None), "history")["changes"]
        self.builds_on.update({change["version"]: change["builds_on"] for change in changes})


def document_of(version: int) -> dict[str, Any]:
    """A whole configuration whose only route lies at a path of this version."""
    document = configuration()
    route = {**document["routes"][0], "path_prefix": path_of(version), "backend": SERVICE}
    return {**document, "generation": version, "routes": [route]}


def path_of(version: int) -> str:
    """The path of the route of a version."""
    return f"/version-{version}/"


def get(ip: str, port: int, path: str, headers: dict[str, str] | None = None) -> tuple[int, str]:
    """Status and text of an answer; status 0 where there was none."""
    client = HTTPClient(ip, port, connection_timeout=1.0, network_timeout=3.0)
    try:
        response = client.request("GET", path, headers=headers or {})
        return response.status_code, response.read().decode()
    except OSError:
        return 0, ""
    finally:
        client.close()


def until(condition: Callable[[], Any], what: str) -> Any:
    """Asks until the answer is truthy; ends the run where it does not come in time."""
    deadline = time.monotonic() + PATIENCE_S
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise SystemExit(f"not in {PATIENCE_S:g} s: {what}")
        gevent.sleep(POLL_S)
    return value


def replace_all(fleet: Fleet, program: Program, number: signal.Signals, operator: Operator, history: History) -> None:
    """Replaces one process after the other, and lets each catch up before the next one."""
    for ip in (*CONTROLLERS, *ROUTERS):
        before = operator.version
        fleet.end(ip, number)
        fleet.start(ip, program)
        until(lambda ip=ip: fleet.is_ready(ip), f"{ip} ready")
        until(lambda ip=ip, before=before: fleet.version_at(ip) > before, f"{ip} at a version above {before}")
        gevent.sleep(MIXED_S)
        history.read()
        print(f"{ip} replaced by {number.name}, version {operator.version} acknowledged", flush=True)


def check(fleet: Fleet, operator: Operator, history: History) -> list[str]:
    """What is wrong once the operator is at rest."""
    history.read()
    newest = operator.version
    faults = list(operator.faults)
    lost = [version for version in operator.acknowledged if version not in history.builds_on]
    if lost:
        faults.append(f"acknowledged and not in the history: {lost}")
    faults += [f"{version} builds on {base}" for version, base in history.builds_on.items() if base != version - 1]
    for ip in (*CONTROLLERS, *ROUTERS):
        until(lambda ip=ip: fleet.version_at(ip) == newest, f"{ip} at version {newest}")
    for ip in ROUTERS:
        found = fleet.route_status(ip, path_of(newest)), fleet.route_status(ip, path_of(newest - 1))
        if found != (NO_SERVER, NO_ROUTE):
            faults.append(f"{ip} answers {found} at the paths of versions {newest} and {newest - 1}")
    return faults + fleet.logged_faults()


def play(fleet: Fleet, own: Program, other: Program) -> list[str]:
    """Goes over to the other program and back; returns what was wrong."""
    for ip in (*CONTROLLERS, *ROUTERS):
        fleet.start(ip, own)
    operator, history = Operator(fleet.client()), History(fleet.client())
    operator.submit()
    for ip in ROUTERS:
        until(lambda ip=ip: fleet.is_ready(ip), f"{ip} ready")
    faults: list[str] = []
    for program, number in ((other, signal.SIGTERM), (own, signal.SIGKILL)):
        operating = gevent.spawn(operator.run)
        replace_all(fleet, program, number, operator, history)
        operating.kill()
        operator.submit()  # may repeat the change that was under way
        faults += check(fleet, operator, history)
    print(f"{len(operator.acknowledged)} changes acknowledged, the slowest in {operator.longest_s:.2f} s", flush=True)
    return faults


def main(other: Path, *, other_controller: str = CONTROLLER_MODULE, other_router: str = ROUTER_MODULE) -> int:
    """Replace a fleet's processes by another checkout's, and back.

    :param other: the other checkout
    :param other_controller: the module of its controller
    :param other_router: the module of its router
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="ochrespan-mixed-")))
        fleet = Fleet(folder)
        stack.callback(fleet.close)
        faults = play(fleet, Program(HERE), Program(other.resolve(), other_controller, other_router))
    print(
        "\n".join(faults) if faults else "every acknowledged change is in the history, and the routers serve the newest"
    )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
