"""Data folders of an earlier version: read by the program's own path, and served by a controller that starts there."""

from __future__ import annotations

import itertools
import os
import shutil
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import pytest
import yaml
from returns.result import Success

from ochrespan.programs.fleetctl_commands.control_client import ControlClient
from tests.golden.make_disks import MAKERS
from tests.golden.stored_state import DISKS, read_expected, read_state
from tests.support.control_plane_world import configuration, instance

ROOT = Path(__file__).parent.parent.parent
STORE_FILES = ("slot-0", "slot-1", "log-0", "log-1")
NAMES = sorted(path.name for path in DISKS.iterdir())
ALONE = [name for name in NAMES if name != "three-voters"]  # disks of a group's only voter, which starts by itself
WITH_FIRST_ORDERS = [name for name in ALONE if name != "earlier-snapshots"]
CONTROL_PORT, PEER_PORT = 18367, 17500
HEARTBEAT_MS = 3_600_000  # so long that no instance is expired for its silence
PATIENCE_S = 30.0
_numbers = itertools.count(1)


@pytest.fixture
def copied(tmp_path) -> Callable[[str], Path]:
    """Copies the files of a disk, since whoever reads them may write."""

    def copy(name: str) -> Path:
        folder = tmp_path / name
        folder.mkdir()
        for file in STORE_FILES:
            shutil.copyfile(DISKS / name / file, folder / file)
        return folder

    return copy


@contextmanager
def controller(folder: Path) -> Iterator[ControlClient]:
    """A controller process on a data folder; its address is none that the disk knows."""
    host = f"127.78.{os.getpid() % 250 + 1}.{next(_numbers)}"
    settings = {
        "node": "controller-1",
        "ip": host,
        "zone": "hall-a",
        "port_range": [PEER_PORT, PEER_PORT + 15],
        "listen": {"control": f"{host}:{CONTROL_PORT}"},
        "seeds": [f"{host}:{CONTROL_PORT}"],
        "bootstrap": False,
        "data_dir": str(folder),
        "limits": {"disk_mb": 16},
        "fault_tolerance": {"machines": 0},
        "heartbeat_ms": HEARTBEAT_MS,
    }
    path = folder.parent / f"{folder.name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "ochrespan.programs.controller"],
        cwd=ROOT,
        env={**os.environ, "OCHRESPAN_SETTINGS": str(path)},
    )
    try:
        yield ControlClient([(host, CONTROL_PORT)], gevent.sleep)
    finally:
        process.kill()
        process.wait(PATIENCE_S)


def ask(call: Callable[[], Any]) -> Any:
    """The document of a call's answer, which is awaited while the controller starts."""
    with gevent.Timeout(PATIENCE_S):
        while not isinstance(result := call(), Success):
            gevent.sleep(0.05)
    return result.unwrap()


def served_state(client: ControlClient) -> dict[str, Any]:
    """What a controller tells over HTTP of the configuration, its history and the instances."""
    return {
        "document": ask(lambda: client.get("/api/config")),
        "history": ask(lambda: client.get("/api/config/history"))["changes"],
        "instances": ask(lambda: client.get("/api/status"))["instances"],
    }


def expected_answers(name: str) -> dict[str, Any]:
    """The same as `served_state`, of the state that is committed with a disk."""
    state = read_expected(DISKS / name)
    shards = sorted(state["instances"], key=int)
    return {
        "document": state["configuration"]["document"],
        "history": state["configuration"]["history"],
        "instances": [record for shard in shards for record in state["instances"][shard]["records"]],
    }


def wait_for_all_shards(client: ControlClient) -> None:
    """Every shard is led, so everything that its log holds is applied."""
    with gevent.Timeout(PATIENCE_S):
        while not all(shard["leads"] for shard in ask(lambda: client.get("/api/status"))["shards"]):
            gevent.sleep(0.05)


def test_every_disk_that_is_described_is_there():
    assert sorted(MAKERS) == NAMES


@pytest.mark.parametrize("name", NAMES)
def test_a_disk_tells_the_state_that_was_written(name, copied):
    assert read_state(copied(name)) == read_expected(DISKS / name)


@pytest.mark.parametrize("name", NAMES)
def test_a_disk_tells_the_same_when_it_is_read_again(name, copied):
    folder = copied(name)
    read_state(folder)
    assert read_state(folder) == read_expected(DISKS / name)


@pytest.mark.parametrize("name", NAMES)
def test_the_program_writes_the_same_bytes_as_before(name, tmp_path):
    """An earlier version has to read them when an upgrade is taken back.

    What is large is compressed, so another build of zlib might write other bytes that mean the
    same; compare what they decompress to before calling that a fault.
    """
    MAKERS[name](tmp_path / name)
    for file in STORE_FILES:
        assert (tmp_path / name / file).read_bytes() == (DISKS / name / file).read_bytes(), file


@pytest.mark.parametrize("name", ALONE)
def test_a_controller_starts_from_a_disk_and_serves_its_state(name, copied):
    with controller(copied(name)) as client:
        wait_for_all_shards(client)
        assert served_state(client) == expected_answers(name)


@pytest.mark.parametrize("name", WITH_FIRST_ORDERS)
def test_a_controller_remembers_taken_orders_and_instances_that_are_gone(name, copied):
    expected = expected_answers(name)
    with controller(copied(name)) as client:
        wait_for_all_shards(client)
        repeated = ask(lambda: client.put("/api/config", configuration(1), {"If-Match": "0"}))
        assert repeated == {"generation": 1}
        late = {"judge-2": instance(99, address="10.0.0.2:80"), "judge-3": instance(99, address="10.0.0.3:80")}
        for instance_id, report in late.items():
            ask(lambda path=f"/api/instances/{instance_id}", report=report: client.put(path, report))
        assert served_state(client) == expected


def test_a_controller_that_was_killed_after_a_change_keeps_it_with_all_before(copied):
    folder = copied("slot-and-log")
    expected = expected_answers("slot-and-log")
    following = {**expected["document"], "generation": 8}
    with controller(folder) as client:
        assert ask(lambda: client.put("/api/config", following, {"If-Match": "7"})) == {"generation": 8}
    with controller(folder) as client:
        wait_for_all_shards(client)
        served = served_state(client)
    assert served["document"] == following
    assert served["history"][:-1] == expected["history"]
    assert served["instances"] == expected["instances"]
