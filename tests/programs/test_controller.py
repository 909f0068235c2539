"""Crashes three controller processes on loopback amid commands and reports of instances; checks what survives."""

from __future__ import annotations

import itertools
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import gevent
import pytest
import yaml
from returns.result import Result, Success

from ochrespan.control_plane.shards import shard_of
from ochrespan.programs.fleetctl_commands.control_client import CallFailure, ControlClient
from tests.support.control_plane_world import configuration, instance, route

CONTROL_PORT = 18367
PEER_PORT = 17500
TIMEOUT_S = 30.0
ROOT = Path(__file__).parents[2]
_networks = itertools.count(os.getpid() % 200)


class Controllers:
    """The controllers of a cluster; each process has its own address and data directory."""

    def __init__(self, folder: Path) -> None:
        network = f"127.77.{next(_networks) % 250}"
        self.hosts = [f"{network}.{number}" for number in (1, 2, 3)]
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        for host in self.hosts:
            (folder / host).mkdir()
            self.start(host, bootstrap=True)

    def start(self, host: str, bootstrap: bool = False) -> None:
        """Starts the controller of a host, with the data directory of its predecessor."""
        settings = {
            "node": host,
            "ip": host,
            "zone": f"zone-{host}",
            "port_range": [PEER_PORT, PEER_PORT + 15],
            "listen": {"control": f"{host}:{CONTROL_PORT}"},
            "seeds": [f"{each}:{CONTROL_PORT}" for each in self.hosts],
            "bootstrap": bootstrap,
            "data_dir": str(self._folder / host),
            "limits": {"disk_mb": 16},
            "fault_tolerance": {"machines": 1},
            "heartbeat_ms": 1200,
        }
        path = self._folder / f"{host}.yaml"
        path.write_text(yaml.safe_dump(settings))
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                [sys.executable, "-m", "ochrespan.programs.controller"],
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "OCHRESPAN_SETTINGS": str(path)},
            )

    def end(self, host: str, number: signal.Signals) -> int:
        """Sends a signal to a controller, and returns its exit status."""
        self._processes[host].send_signal(number)
        return self._processes[host].wait(TIMEOUT_S)

    def close(self) -> None:
        """Kills every controller."""
        for process in self._processes.values():
            process.kill()
            process.wait(TIMEOUT_S)

    def client(self, *hosts: str) -> ControlClient:
        """A client of these controllers, or of all."""
        return ControlClient([(host, CONTROL_PORT) for host in hosts or self.hosts], gevent.sleep)

    def get(self, path: str) -> Any:
        """The document of the first controller that responds; a status is that controller's own view."""
        return _call_until_outcome(lambda: self.client().get(path)).unwrap()

    def leader(self, shard: int) -> str:
        """The host of the leader of a shard, once there is one."""
        with gevent.Timeout(TIMEOUT_S):
            while (leader := self.get("/api/status")["shards"][shard]["leader"]) is None:
                gevent.sleep(0)
        return leader.split(":")[0]


def _call_until_outcome(call: Any) -> Result[Any, CallFailure]:
    """Repeats a call while its outcome is unknown."""
    with gevent.Timeout(TIMEOUT_S):
        while True:
            result = call()
            if isinstance(result, Success) or (result.failure().status or 503) < 500:
                return result


def put(client: ControlClient, document: dict[str, Any], version: int) -> int:
    """Sends a configuration that builds on `version`; returns the status of the response."""
    result = _call_until_outcome(lambda: client.put("/api/config", document, {"If-Match": str(version)}))
    return 200 if isinstance(result, Success) else result.failure().status


@pytest.fixture
def core(tmp_path):
    """Three controllers."""
    core = Controllers(tmp_path)
    yield core
    core.close()


def test_commands_through_crashes_of_leaders_and_of_all_controllers_form_one_sequence_of_versions(core):
    assert put(core.client(), configuration(1), 0) == 200
    acknowledged: dict[int, tuple[int, str]] = {1: (1, "r1")}
    builds_on: dict[int, int] = {}

    def operate(operator: int) -> None:
        for turn in range(4):
            version = core.get("/api/config")["generation"]
            name = f"o{operator}t{turn}"
            document = configuration(version + 1 + operator, route(name))
            first = core.hosts[(operator + turn) % 3]
            status = put(core.client(first, *core.hosts), document, version)
            assert status in (200, 412)
            if status == 200:
                assert version not in builds_on
                assert document["generation"] not in acknowledged
                builds_on[version], acknowledged[document["generation"]] = document["generation"], (version, name)
                assert put(core.client(), document, version) == 200

    operators = [gevent.spawn(operate, number) for number in range(8)]
    killed = core.leader(0)
    core.end(killed, signal.SIGKILL)
    core.start(killed)
    gevent.joinall(operators, raise_error=True)
    for host in core.hosts:
        core.end(host, signal.SIGKILL)
    for host in core.hosts:
        core.start(host)
    newest = max(acknowledged)
    document = core.get("/api/config")
    assert (document["generation"], document["routes"][0]["name"]) == (newest, acknowledged[newest][1])
    versions = [1]
    version = 1
    while version in builds_on:
        version = builds_on[version]
        versions.append(version)
    assert sorted(acknowledged) == versions
    for generation, (version, name) in list(acknowledged.items())[1:]:
        assert put(core.client(), configuration(generation, route(name)), version) == 200


def test_an_acknowledged_drain_survives_its_leader_and_sigterm_exits_with_0(core):
    report = core.client(core.hosts[0])
    assert isinstance(_call_until_outcome(lambda: report.put("/api/instances/i-1", instance(1))), Success)
    assert isinstance(_call_until_outcome(lambda: report.put("/api/instances/i-1", instance(2, "draining"))), Success)
    shard = shard_of("judges")
    former = core.leader(shard)
    assert core.end(former, signal.SIGTERM) == 0
    survivors = core.client(*(host for host in core.hosts if host != former))
    assert isinstance(_call_until_outcome(lambda: survivors.put("/api/instances/i-1", instance(3))), Success)
    status = core.client(core.leader(shard)).get("/api/status").unwrap()
    assert [each["state"] for each in status["instances"]] == ["draining"]


def test_a_controller_exits_on_invalid_settings_with_every_finding(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text("node: core-1\nzone: 7\n")
    ended = subprocess.run(
        [sys.executable, "-m", "ochrespan.programs.controller"],
        capture_output=True,
        cwd=ROOT,
        timeout=TIMEOUT_S,
        env={**os.environ, "OCHRESPAN_SETTINGS": str(path)},
        check=False,
    )
    assert ended.returncode == 78
    assert ended.stderr.decode().count("settings refused where=") == 5
