"""A complete router fleet on loopback: three controllers, two routers and two simulated engines, each a process.

    python -m examples.fleet

Engines register, an operator puts a configuration, and a client reads a stream through one router, which is killed in
the middle. The client resumes at the other router with `Last-Event-Id`, as a resumable route allows; then an engine is
killed as well, and the router resumes the stream at the other engine within the same response.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, closing
from http import HTTPStatus
from pathlib import Path
from typing import Any

import yaml
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

CONTROLLERS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ROUTERS = ("127.0.0.21", "127.0.0.22")
ENGINES = ("127.0.0.31", "127.0.0.32")
HOST, KEY, SERVICE = "models.example", "example-key", "engines"
EVENTS = 12  # number of events in the stream
EVENT_INTERVAL_S = 0.15
HEARTBEAT_S = 1.0
START_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.1
MAX_ATTEMPTS = 50


class Ports:
    """Free ports, the same at every address, as on the machines of a deployment."""

    def __init__(self) -> None:
        with ExitStack() as stack:
            sockets = [stack.enter_context(closing(socket.socket())) for _ in range(5)]
            for each in sockets:
                each.bind(("127.0.0.1", 0))
            numbers = [each.getsockname()[1] for each in sockets]
        self.peer: int = numbers[0]
        self.control: int = numbers[1]
        self.front: int = numbers[2]
        self.ready: int = numbers[3]
        self.engine: int = numbers[4]


def settings_for(name: str, ip: str, ports: Ports, directory: Path) -> dict[str, Any]:
    """The settings file of a process, as the platform would write it."""
    listen = {"control": f"{ip}:{ports.control}"}
    if ip in ROUTERS:
        listen = {"front": f"{ip}:{ports.front}", "ready": f"{ip}:{ports.ready}"}
    data = directory / name
    data.mkdir()
    return {
        "node": name,
        "ip": ip,
        "zone": "hall-a",
        "listen": listen,
        "port_range": [ports.peer, ports.peer],
        "seeds": [f"{seed}:{ports.control}" for seed in CONTROLLERS],
        "bootstrap": True,
        "data_dir": str(data) if ip in CONTROLLERS else None,
        "heartbeat_ms": HEARTBEAT_S * 1000,
        "fault_tolerance": {"machines": 1},
        "bounds": {"grace_s": 3, "retry_budget_ratio": 0.2, "budget_slack": 50, "budget_window_s": 10},
    }


def configuration() -> dict[str, Any]:
    """The operator's configuration: one resumable route and one tenant."""
    return {
        "generation": 1,
        "routes": [
            {"name": "chat", "hostname": HOST, "path_prefix": "/chat/", "route_type": "streaming", "resumable": True,
             "timeout_ms": 20000, "target_latency_ms": 500, "backend": SERVICE, "max_retries": 2, "priority": 1}
        ],
        "services": [{"name": SERVICE, "max_connections": 64, "health_check": "/healthz"}],
        "tenants": [{"name": "example", "api_keys": [KEY]}],
    }  # fmt: skip


class Fleet:
    """The processes of the example; `stop` ends those that still run."""

    def __init__(self, directory: Path) -> None:
        self.ports = Ports()
        self._directory = directory
        self._processes: dict[str, subprocess.Popen] = {}

    def start(self) -> None:
        """Starts every process, without waiting for any."""
        for number, ip in enumerate(CONTROLLERS, 1):
            self._run_program("controller", f"controller-{number}", ip)
        for number, ip in enumerate(ROUTERS, 1):
            self._run_program("router", f"router-{number}", ip)
        controls = ",".join(f"{ip}:{self.ports.control}" for ip in CONTROLLERS)
        for number, ip in enumerate(ENGINES, 1):
            name = f"engine-{number}"
            arguments = ["-m", "examples.fleet", "engine", name, f"{ip}:{self.ports.engine}", controls]
            self._processes[name] = subprocess.Popen([sys.executable, *arguments])

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL, and waits for its end."""
        process = self._processes[name]
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Stops the processes that still run with SIGTERM, and waits for their end."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self._processes.values():
            process.wait()

    def _run_program(self, program: str, name: str, ip: str) -> None:
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings_for(name, ip, self.ports, self._directory)))
        with (self._directory / f"{name}.log").open("w") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", f"ochrespan.programs.{program}"],
                env={**os.environ, "OCHRESPAN_SETTINGS": str(path)},
                stderr=log,
            )


def wait_for_status(expected: int, ip: str, port: int, method: str, path: str, **options: Any) -> None:
    """Repeats a request until its response has the expected status; ends the example after START_TIMEOUT_S."""
    deadline = time.monotonic() + START_TIMEOUT_S
    status: object = None
    while time.monotonic() < deadline:
        client = HTTPClient(ip, port, connection_timeout=1.0, network_timeout=2.0)
        try:
            response = client.request(method, path, **options)
            response.read()
            status = response.status_code
        except OSError as error:
            status = error
        finally:
            client.close()
        if status == expected:
            return
        time.sleep(RETRY_INTERVAL_S)
    raise SystemExit(f"{method} {path} at {ip}: found {status}, expected {expected}")


def read_events(ip: str, port: int, last_id: int | None) -> Iterator[tuple[int, str]]:
    """Reads a stream through a router; a response other than 200 is retried after its `Retry-After`.

    Args:
        ip: the router's address.
        port: its port for clients.
        last_id: id of the last event that was read before, to resume after it.

    Yields:
        The id of each event, and the engine that the response names in `X-Server-Stamp`.
    """
    headers = {"Host": HOST, "X-Credential": KEY, "X-Deadline-Ms": "15000"}
    if last_id is not None:
        headers["Last-Event-Id"] = str(last_id)
    client = HTTPClient(ip, port, connection_timeout=2.0, network_timeout=10.0)
    try:
        for attempt in range(MAX_ATTEMPTS):
            headers["X-Request-Id"] = f"{os.getpid()}-{last_id}-{attempt}"
            response = client.request("POST", "/chat/completions", body=b"hello", headers=headers)
            if response.status_code == HTTPStatus.OK:
                break
            response.read()
            print(f"status {response.status_code}, retry after {response.get('Retry-After')} s", flush=True)
            time.sleep(float(response.get("Retry-After") or RETRY_INTERVAL_S))
        while event := response.readline(b"\n\n"):
            yield int(event.split(b"\n")[0].removeprefix(b"id: ")), response["X-Server-Stamp"]
    finally:
        client.close()


def run_scenario(fleet: Fleet) -> list[int]:
    """Runs the scenario on a started fleet; returns the ids of the events that the client has read."""
    ports = fleet.ports
    body = json.dumps(configuration()).encode()
    wait_for_status(
        HTTPStatus.OK, CONTROLLERS[0], ports.control, "PUT", "/api/config", body=body, headers={"If-Match": "0"}
    )
    for ip in ROUTERS:
        wait_for_status(HTTPStatus.OK, ip, ports.ready, "GET", "/api/readyz")
    print("the fleet is ready", flush=True)
    seen: list[int] = []
    try:
        for event_id, stamp in read_events(ROUTERS[0], ports.front, None):
            seen.append(event_id)
            print(f"event {event_id:2} from {stamp} through router-1", flush=True)
            if event_id == EVENTS // 3:
                fleet.kill("router-1")
                print("router-1 is killed", flush=True)
    except (OSError, HTTPParseError) as error:
        print(f"the stream broke: {type(error).__name__}", flush=True)
    killed = False
    for event_id, stamp in read_events(ROUTERS[1], ports.front, seen[-1]):
        seen.append(event_id)
        print(f"event {event_id:2} from {stamp} through router-2", flush=True)
        if not killed and event_id >= 2 * EVENTS // 3:
            killed = True
            fleet.kill(stamp)
            print(f"{stamp} is killed; the answer goes on", flush=True)
    return seen


def run_engine(name: str, address: str, controls: list[str]) -> None:
    """Runs a simulated engine until it is killed: registers it, and streams numbered events."""
    import gevent
    from gevent import monkey
    from gevent.pywsgi import WSGIServer

    monkey.patch_all()
    host, port = address.rsplit(":", 1)

    def respond(environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        environ["wsgi.input"].read()
        headers = [("X-Request-Id", environ["HTTP_X_REQUEST_ID"]), ("X-Server-Stamp", name)]
        start_response("200 OK", [*headers, ("Content-Type", "text/event-stream")])
        for number in range(int(environ.get("HTTP_LAST_EVENT_ID", 0)) + 1, EVENTS + 1):
            gevent.sleep(EVENT_INTERVAL_S)
            yield f"id: {number}\ndata: word {number}\n\n".encode()

    WSGIServer((host, int(port)), respond, log=None, environ={"SERVER_NAME": name}).start()
    sequence = 0
    while True:
        sequence += 1
        register(name, address, sequence, controls)
        gevent.sleep(HEARTBEAT_S)


def register(name: str, address: str, sequence: int, controls: list[str]) -> None:
    """Sends an instance report to one controller after the other until one acknowledges it."""
    report = {"backend": SERVICE, "address": address, "zone": "hall-a", "generation": "v1", "capacity": 8,
              "state": "ready", "cold_remaining_ms": 0, "sequence": sequence}  # fmt: skip
    for control in controls:
        host, port = control.rsplit(":", 1)
        client = HTTPClient(host, int(port), connection_timeout=1.0, network_timeout=1.0)
        try:
            response = client.request("PUT", f"/api/instances/{name}", body=json.dumps(report).encode())
            response.read()
            if response.status_code == HTTPStatus.OK:
                return
        except OSError:
            continue
        finally:
            client.close()


def main() -> int:
    """Runs the example, or with the argument `engine` one of its engines; returns the exit status."""
    if sys.argv[1:2] == ["engine"]:
        run_engine(sys.argv[2], sys.argv[3], sys.argv[4].split(","))
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="ochrespan-fleet-")))
        fleet = Fleet(directory)
        stack.callback(fleet.stop)
        fleet.start()
        seen = run_scenario(fleet)
    is_complete = seen == list(range(1, EVENTS + 1))
    print("every event came once and in order" if is_complete else f"events went wrong: {seen}")
    return 0 if is_complete else 1


if __name__ == "__main__":
    sys.exit(main())
