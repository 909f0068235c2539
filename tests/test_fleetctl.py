"""The operator's command line against controllers on loopback."""

import json

import pytest

from ochrespan.programs import control_client, fleetctl
from tests.control_plane_world import World, configuration, instance, route, service, tenant


@pytest.fixture
def world():
    world = World(members=2)
    yield world
    world.close()


@pytest.fixture
def run(world, capsys):
    addresses = [f"127.0.0.1:{each.http.server_port}" for each in world.controllers]

    def run_command(*arguments):
        code = fleetctl.main([*map(str, arguments), "--controllers", *addresses])
        printed = capsys.readouterr()
        return code, (printed.out + printed.err).strip().replace(addresses[0], "CONTROLLER")

    return run_command


@pytest.fixture
def write(tmp_path):
    def write_file(document, name="config.json"):
        path = tmp_path / name
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return path

    return write_file


def test_a_configuration_is_applied_shown_and_compared(run, write, snapshot):
    first = configuration(5, route("r1"), route("r2"), tenants=[tenant("t", "k")])
    assert run("config", "apply", write(first)) == (0, "taken: version 5 on top of 0")
    assert json.loads(run("config", "show")[1]) == first
    second = configuration(8, route("r1", timeout_ms=5), route("r3"), services=[service(), service("ledger")],
                           limits={"max_body_bytes": 7}, tenants=[])
    assert run("config", "diff", write(second)) == (0, snapshot)
    assert run("config", "diff", write(first)) == (0, "no difference")
    assert run("config", "apply", write(second), "--builds-on", 4) == (1, snapshot)
    assert run("config", "apply", write(second), "--builds-on", 5) == (0, "taken: version 8 on top of 5")
    assert run("config", "apply", write(second), "--builds-on", 5)[0] == 0


def test_a_configuration_is_checked_with_all_findings_at_once(write, capsys, snapshot):
    bad = configuration(1, route("r1", timeout_ms=0), route("r2", path_prefix="x"))
    assert fleetctl.main(["config", "check", str(write(bad))]) == 1
    assert capsys.readouterr().err == snapshot
    assert fleetctl.main(["config", "check", str(write(configuration(1, route("r1", service="nobody"))))]) == 1
    assert fleetctl.main(["config", "check", str(write("{cut"))]) == 1
    assert fleetctl.main(["config", "check", "/nowhere/config.json"]) == 1
    assert "found" in capsys.readouterr().err
    assert fleetctl.main(["config", "check", str(write(configuration(3)))]) == 0
    assert "valid, version 3, 1 routes" in capsys.readouterr().out


def states(world):
    return {record.id: record.state for record in world.controllers[1].state.records()}


def test_instances_are_listed_and_drained(run, world, snapshot):
    world.controllers[0].put_instance("i-1", instance(1))
    world.controllers[0].put_instance("i-2", instance(1, backend="ledger", address="10.0.0.8:1"))
    assert run("instances") == (0, snapshot)
    assert run("instances", "--service", "ledger")[1].count("\n") == 1
    assert run("drain", "i-1") == (0, "draining: i-1 of judges at 10.0.0.9:8080")
    assert states(world) == {"i-1": "draining", "i-2": "ready"}
    world.controllers[0].put_instance("i-1", instance(9))
    assert states(world) == {"i-1": "draining", "i-2": "ready"}
    assert run("drain", "nobody")[0] == 1


def test_status_and_members_are_tables(run, snapshot):
    code, text = run("status")
    assert code == 0 and text.splitlines()[0] == snapshot
    assert len(text.splitlines()) == 7
    assert run("members")[0] == 0


def test_a_fleet_without_an_answer_leaves_the_verdict_open(write, capsys, monkeypatch):
    monkeypatch.setattr(control_client, "ROUNDS", 1)
    monkeypatch.setattr(control_client, "FIRST_PAUSE_S", 0)
    arguments = ["config", "apply", str(write(configuration(1))), "--builds-on", "0", "--controllers", "127.0.0.1:1"]
    assert fleetctl.main(arguments) == 3
    assert "no verdict" in capsys.readouterr().err


def test_a_malformed_address_is_refused(capsys):
    assert fleetctl.main(["status", "--controllers", "nowhere"]) == 1
    assert "IP:PORT" in capsys.readouterr().err
