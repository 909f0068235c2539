"""The operator's command line against controllers on loopback."""

import json

import pytest
from geventhttpclient import HTTPClient

from ochrespan.common.validation import ValidationError
from ochrespan.control_plane.api import handlers as api
from ochrespan.control_plane.feed.progress import ProgressRecorder
from ochrespan.control_plane.shards import ALL_SHARDS, CONFIG_SHARD
from ochrespan.data_plane.router_node import DrainTimes, MachineLimits, RouterNode
from ochrespan.data_plane.scheduler import Scheduler
from ochrespan.programs import fleetctl
from ochrespan.programs.fleetctl_commands import control_client
from ochrespan.programs.fleetctl_commands.backup_file import AcceptedCommands, Backup, read_backup, write_backup
from tests.fleet_standins import unused_address
from tests.support.control_plane_world import World, configuration, instance, route, service, tenant


@pytest.fixture
def world():
    """Two controllers."""
    world = World(members=2)
    yield world
    world.close()


@pytest.fixture
def run(world, capsys):
    """Runs a command against both controllers; returns its exit status and its output."""
    addresses = [f"127.0.0.1:{each.http.server_port}" for each in world.controllers]

    def run_command(*arguments):
        code = fleetctl.main([*map(str, arguments), "--controllers", *addresses])
        printed = capsys.readouterr()
        return code, (printed.out + printed.err).strip().replace(addresses[0], "CONTROLLER")

    return run_command


@pytest.fixture
def write(tmp_path):
    """Writes a document to a file."""

    def write_file(document, name="config.json"):
        path = tmp_path / name
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return path

    return write_file


def test_a_configuration_is_applied_shown_and_compared(run, write, snapshot):
    first = configuration(5, route("r1"), route("r2"), tenants=[tenant("t", "k")])
    assert run("config", "apply", write(first)) == (0, "taken: version 5 on top of 0")
    assert json.loads(run("config", "show")[1]) == first
    second = configuration(
        8,
        route("r1", timeout_ms=5),
        route("r3"),
        services=[service(), service("ledger")],
        limits={"max_body_bytes": 7},
        tenants=[],
    )
    assert run("config", "diff", write(second)) == (0, snapshot)
    assert run("config", "diff", write(first)) == (0, "no difference")
    assert run("config", "apply", write(second), "--builds-on", 4) == (1, snapshot)
    assert run("config", "apply", write(second), "--builds-on", 5) == (0, "taken: version 8 on top of 5")
    assert run("config", "apply", write(second), "--builds-on", 5)[0] == 0


def test_a_configuration_is_validated_with_all_findings_at_once(write, capsys, snapshot):
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
    """The state of each instance at the second controller."""
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
    assert code == 0
    assert text.splitlines()[0] == snapshot
    assert len(text.splitlines()) == 7
    assert run("members")[0] == 0


def test_without_a_response_the_outcome_is_unknown(write, capsys, monkeypatch):
    monkeypatch.setattr(control_client, "MAX_ROUNDS", 1)
    monkeypatch.setattr(control_client, "FIRST_BACKOFF_S", 0)
    arguments = ["config", "apply", str(write(configuration(1))), "--builds-on", "0", "--controllers", "127.0.0.1:1"]
    assert fleetctl.main(arguments) == 3
    assert "no verdict" in capsys.readouterr().err


def test_a_malformed_address_is_rejected(capsys):
    assert fleetctl.main(["status", "--controllers", "nowhere"]) == 1
    assert "IP:PORT" in capsys.readouterr().err


def test_the_history_names_each_change(run, world, write, monkeypatch, snapshot):
    monkeypatch.setattr(api.time, "time_ns", lambda: 1_770_000_000_000_000_000)
    assert run("config", "apply", write(configuration(5, route("r1"), route("r2"))))[0] == 0
    assert world.controllers[1].patch_config({"generation": 7, "delete": {"routes": ["r2"]}}, 5)[0] == 200
    limits = {"generation": 9, "upsert": {"limits": {"max_body_bytes": 7}}}
    assert world.controllers[0].patch_config(limits, 7)[0] == 200
    assert (
        world.controllers[0].put_config(configuration(6), 5)[0] == 412
    )  # rejected: it builds on a version that is not the newest
    assert run("config", "history") == (0, snapshot)
    assert run("config", "history", "--last", 1)[1].count("\n") == 1
    assert run("config", "history", "--last", 0)[1].count("\n") == 0


def test_a_controller_declines_leadership_and_may_lead_again(run, world, capsys):
    first, second = world.controllers
    address = f"127.0.0.1:{first.http.server_port}"
    assert fleetctl.main(["hand-over", address, "--for-s", "60"]) == 0
    assert "leads nothing for 60 s" in capsys.readouterr().out
    assert not any(first.groups.is_leader(shard) for shard in ALL_SHARDS)
    assert "leads nothing for 60 s more" in run("status")[1]
    assert fleetctl.main(["hand-over", address, "--for-s", "0"]) == 0
    assert "may lead again" in capsys.readouterr().out
    assert first.call("PUT", "/api/leadership", {"decline_for_s": -1})[0] == 400
    assert first.call("PUT", "/api/leadership", b"{cut")[0] == 400


def test_a_backup_is_restored_with_its_drains(run, world, write, tmp_path, snapshot):
    file = tmp_path / "fleet.backup"
    first = configuration(5, route("r1"), route("r2"), tenants=[tenant("t", "k")])
    run("config", "apply", write(first))
    world.controllers[0].put_instance("i-1", instance(1))
    world.controllers[0].put_instance("i-2", instance(1, backend="ledger", address="10.0.0.8:1"))
    run("drain", "i-2")
    assert run("backup", file) == (0, f"{file}: version 5, 2 servers")
    run("config", "apply", write(configuration(8, route("r1", timeout_ms=5))))
    code, text = run("restore", file, "--dry-run")
    assert code == 0
    assert text.splitlines()[:-1] == snapshot
    assert "nothing was changed" in text
    assert world.controllers[0].call("GET", "/api/config")[1]["generation"] == 8
    code, text = run("restore", file)
    assert code == 0
    assert text.endswith("taken: version 9 on top of 8")
    assert world.controllers[0].call("GET", "/api/config")[1] == first | {"generation": 9}
    assert "no difference of the configuration" in run("restore", file)[1]


def test_a_new_fleet_restores_version_and_drains_of_a_backup(run, world, tmp_path):
    file = tmp_path / "fleet.backup"
    drained = {"id": "i-1", **instance(4, state="draining")}
    write_backup(file, Backup("2026-12-02T07:00:00+00:00", configuration(40), [drained]))
    world.controllers[0].put_instance("i-1", instance(5))
    code, text = run("restore", file)
    assert code == 0
    assert "taken: version 40 on top of 0" in text
    assert "drain i-1" in text
    assert states(world) == {"i-1": "draining"}


def test_a_new_fleet_recognises_the_commands_that_the_backup_names(run, world, write, tmp_path):
    file = tmp_path / "fleet.backup"
    first = configuration(5)
    assert run("config", "apply", write(first))[0] == 0
    assert run("backup", file)[0] == 0
    new = World(members=2)
    try:
        addresses = [f"127.0.0.1:{each.http.server_port}" for each in new.controllers]
        assert fleetctl.main(["restore", str(file), "--controllers", *addresses]) == 0
        assert new.controllers[1].put_config(first, 0) == (200, {"generation": 5})
        assert new.controllers[0].put_config(configuration(6), 0)[0] == 412
        state = new.controllers[1].call("GET", "/api/config/backup")[1]
        assert [each["version"] for each in state["accepted_commands"]] == [5, 5]
        assert new.controllers[0].call("PUT", "/api/config/backup", state)[0] == 412
    finally:
        new.close()


def test_a_new_fleet_rejects_no_old_command_after_a_backup_without_commands(run, world, tmp_path):
    file = tmp_path / "fleet.backup"
    write_backup(file, Backup("2026-12-02T07:00:00+00:00", configuration(40), []))
    assert run("restore", file)[0] == 0
    assert world.controllers[0].put_config(configuration(40), 0)[0] == 503
    assert world.controllers[0].put_config(configuration(41), 40)[0] == 200


@pytest.mark.parametrize("text", ["{cut", "[]", "{}", '{"format": "another"}'])
def test_a_file_that_is_no_backup_is_rejected_with_its_path(run, write, text):
    path = write(text, "damaged.backup")
    code, printed = run("restore", path)
    assert code == 1
    assert str(path) in printed
    assert "allowed" in printed


def test_a_backup_that_was_changed_or_truncated_is_rejected(tmp_path):
    file = tmp_path / "fleet.backup"
    write_backup(file, Backup("2026-12-02T07:00:00+00:00", configuration(40), []))
    assert read_backup(file).configuration == configuration(40)
    complete = file.read_text()
    other_format = complete.replace('"format_version": 1', '"format_version": 2')
    for damaged in (complete.replace("40", "41", 1), other_format, complete[:-9]):
        file.write_text(damaged)
        with pytest.raises(ValidationError):
            read_backup(file)
    invalid = configuration(40, route("r1", timeout_ms=0))
    write_backup(file, Backup("2026-12-02T07:00:00+00:00", invalid, []))
    with pytest.raises(ValidationError, match="timeout_ms"):
        read_backup(file)
    assert [path.name for path in tmp_path.iterdir()] == ["fleet.backup"]


def test_the_accepted_commands_in_a_backup_are_checked_too(tmp_path):
    file = tmp_path / "fleet.backup"
    commands = AcceptedCommands([{"digest": "0a" * 16, "version": 40}], 3)
    saved = Backup("2026-12-02T07:00:00+00:00", configuration(40), [], commands)
    write_backup(file, saved)
    assert read_backup(file) == saved
    complete = file.read_text()
    document = json.loads(complete)
    for damaged in (complete.replace("0a0a", "0b0b", 1), json.dumps({**document, "commands": []})):
        file.write_text(damaged)
        with pytest.raises(ValidationError, match="commands"):
            read_backup(file)
    for accepted in ([{"digest": "short", "version": 40}], [{"version": 40}], "none"):
        write_backup(file, Backup(saved.taken_at, saved.configuration, [], AcceptedCommands(accepted, 3)))
        with pytest.raises(ValidationError, match="accepted_commands"):
            read_backup(file)


def test_a_new_fleet_proceeds_without_missing_initial_members_on_an_operators_command(run, world):
    for controller in world.controllers:
        controller.groups.missing = [("10.0.0.3", 7500)]
    assert "no commands before these initial members are there: 10.0.0.3:7500" in run("status")[1]
    assert run("bootstrap", "proceed") == (0, "proceeds without: 10.0.0.3:7500")
    assert not any(controller.groups.missing for controller in world.controllers)
    assert "no commands before" not in run("status")[1]
    assert run("bootstrap", "proceed") == (0, "proceeds without: nobody is missing")
    for body in ({}, {"proceed_without_missing": False}, {"proceed_without_missing": "yes"}, b"{cut"):
        assert world.controllers[0].call("PUT", "/api/bootstrap", body)[0] == 400


def test_settings_are_validated_with_all_findings_at_once(tmp_path, capsys):
    file = tmp_path / "node.yaml"
    file.write_text("node: core-1\nip: 10.0.0.1\nzone: a\nport_range: [9, 3]\nseeds: [nowhere]\nlisten: {}\n")
    assert fleetctl.main(["settings", "check", str(file)]) == 1
    found = capsys.readouterr().err
    assert "port_range" in found
    assert "seeds[0]" in found
    file.write_text("node: core-1\nip: 10.0.0.1\nzone: a\nport_range: [3, 9]\nseeds: ['10.0.0.1:5']\nlisten: {}\n")
    assert fleetctl.main(["settings", "check", str(file)]) == 0
    assert "valid, core-1 in a" in capsys.readouterr().out


def test_the_status_of_routers_tells_version_offset_and_controller_with_their_ages(capsys):
    recorder = ProgressRecorder("edge-1", 0.0)
    recorder.record_offsets({CONFIG_SHARD: 7}, 1.0)
    recorder.record_version(5, 2.0)
    recorder.record_current(("10.0.0.1", 7660), 3.0)
    ready = unused_address()
    scheduler = Scheduler("hall-a", 7, retry_ratio=0.2, retry_slack=10.0, retry_window=10.0)
    node = RouterNode(
        ("127.0.0.1", 0), ready, MachineLimits(), scheduler, feed_progress=lambda: recorder.progress(10.0)
    )
    node.start()
    try:
        addresses = [f"{host}:{port}" for host, port in (ready, unused_address())]
        assert fleetctl.main(["router", "status", *addresses]) == 0
        header, responding, silent = capsys.readouterr().out.strip().splitlines()
        assert header.split() == ["router", "node", "version", "age", "offset", "age", "controller", "age", "confirmed"]
        assert responding.split()[1:] == [
            "edge-1",
            "5",
            "8.0",
            "s",
            "7",
            "9.0",
            "s",
            "10.0.0.1:7660",
            "7.0",
            "s",
            "7.0",
            "s",
        ]
        assert silent.split() == [addresses[1], "no", "answer"]
        metrics = node_metrics(ready)
        assert metrics['ochrespan_feed_controller_age_seconds{controller="10.0.0.1:7660"}'] == "7"
        assert metrics['ochrespan_feed_offset{shard="0"}'] == "7"
        assert metrics["ochrespan_feed_current_age_seconds"] == "7"
        assert metrics["ochrespan_configuration_version_age_seconds"] == "8"
    finally:
        node.drain(DrainTimes.within(0.1))


def node_metrics(ready):
    """The values of a router's metrics by name and labels."""
    client = HTTPClient(*ready)
    try:
        text = client.get("/api/metrics").read().decode()
    finally:
        client.close()
    return dict(line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
