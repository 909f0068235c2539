"""The settings file of the fleet's programs: parsing, validation and reloading."""

import logging
import os

import gevent
import pytest
import yaml

from ochrespan.common.validation import ValidationError
from ochrespan.membership.peer_addresses import peer_address, seed_peer_addresses
from ochrespan.programs.controller_process import control_address, host_settings
from ochrespan.programs.settings import SettingsFile, bound_value, parse_settings, read_settings, settings_path

GOOD = {
    "node": "core-a-1",
    "ip": "10.1.0.6",
    "zone": "a",
    "port_range": [7500, 7515],
    "listen": {"control": "10.1.0.6:8367"},
    "seeds": ["10.1.0.6:8367", "10.2.0.20:8367"],
    "bootstrap": True,
    "data_dir": "/data/core",
    "limits": {"disk_mb": 128},
    "fault_tolerance": {"machines": 1},
    "heartbeat_ms": 1200,
    "bounds": {"drain_ms": 2000, "strict_revoke": False, "odd": "text"},
    "unknown": {"field": [1]},
}


def parsed(**changes):
    """GOOD with changed fields, parsed as a program parses its settings."""
    return parse_settings(yaml.safe_dump({**GOOD, **changes}), "node.yaml")


def test_the_fields_that_programs_need_are_read_and_others_ignored():
    settings = parsed()
    assert peer_address(settings) == ("10.1.0.6", 7500)
    assert seed_peer_addresses(settings) == [("10.1.0.6", 7500), ("10.2.0.20", 7500)]
    host = host_settings(settings)
    assert (host.bootstrap, host.fault_tolerance, host.disk_mb, host.data_dir) == (True, 1, 128, "/data/core")
    assert control_address(settings) == ("10.1.0.6", 8367)
    assert bound_value(settings, "drain_ms", 1) == 2000
    assert [bound_value(settings, name, 7) for name in ("odd", "strict_revoke", "missing")] == [7, 7, 7]


@pytest.mark.parametrize(
    ("changes", "where"),
    [
        ({"port_range": [7515, 7500]}, "port_range"),
        ({"port_range": [7500]}, "port_range"),
        ({"port_range": "7500"}, "port_range"),
        ({"seeds": ["10.1.0.6"]}, "seeds[0]"),
        ({"seeds": "10.1.0.6:1"}, "seeds"),
        ({"listen": {"control": 8367}}, "listen.control"),
        ({"node": 7}, "node"),
        ({"bootstrap": "yes"}, "bootstrap"),
        ({"heartbeat_ms": 0}, "heartbeat_ms"),
        ({"limits": {"max_fds": -1}}, "limits.max_fds"),
        ({"fault_tolerance": {"machines": 1.5}}, "fault_tolerance.machines"),
        ({"decision_records": 1.5}, "decision_records"),
        ({"decision_records": True}, "decision_records"),
    ],
)
def test_an_invalid_field_is_reported_with_its_path(changes, where):
    with pytest.raises(ValidationError) as caught:
        parsed(**changes)
    assert [finding.where for finding in caught.value.findings] == [f"node.yaml: {where}"]


def test_all_findings_are_reported_at_once():
    with pytest.raises(ValidationError) as caught:
        parse_settings("zone: 3\nip: 10.1.0.6", "node.yaml")
    assert len(caught.value.findings) == 5


@pytest.mark.parametrize("source", ["", "[1", "just text", "\x00"])
def test_a_malformed_settings_document_is_rejected(source):
    with pytest.raises(ValidationError):
        parse_settings(source, "node.yaml")


def test_a_missing_variable_or_file_is_rejected(tmp_path):
    with pytest.raises(ValidationError):
        settings_path({})
    with pytest.raises(ValidationError):
        read_settings(tmp_path / "nothing.yaml")


@pytest.mark.parametrize(("changes", "read"), [({"data_dir": None}, host_settings), ({"listen": {}}, control_address)])
def test_a_controller_requires_a_data_directory_and_a_control_address(changes, read):
    settings = parsed(**changes)
    with pytest.raises(ValidationError):
        read(settings)


def test_a_changed_file_is_reloaded_and_an_invalid_one_ignored(tmp_path):
    path = tmp_path / "node.yaml"
    reloaded = []
    path.write_text(yaml.safe_dump(GOOD))
    file = SettingsFile(path, reloaded.append)

    def write(text):
        path.write_text(text)
        os.utime(path, ns=(0, len(reloaded) + len(text)))

    write(yaml.safe_dump({**GOOD, "seeds": ["10.9.0.1:8367"]}))
    file.poll()
    assert reloaded[-1]["seeds"] == ["10.9.0.1:8367"] == file.current["seeds"]
    write("[broken")
    file.poll()
    assert len(reloaded) == 1
    assert file.current["seeds"] == ["10.9.0.1:8367"]
    path.unlink()
    file.poll()
    write(yaml.safe_dump(GOOD))
    file.reload()
    assert reloaded[-1] == GOOD
    assert len(reloaded) == 2
    file.poll()
    assert len(reloaded) == 2


def test_a_change_that_fails_to_apply_does_not_end_the_watch(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr("ochrespan.programs.settings.RELOAD_INTERVAL_S", 0.01)
    path = tmp_path / "node.yaml"
    path.write_text(yaml.safe_dump(GOOD))
    applied = []

    def apply(settings):
        applied.append(settings["zone"])
        if settings["zone"] == "first":
            raise KeyError("a fault of the program")

    watch = gevent.spawn(SettingsFile(path, apply).watch)
    try:
        for zone in ("first", "second, later"):
            path.write_text(yaml.safe_dump({**GOOD, "zone": zone}))
            with gevent.Timeout(5):
                while zone not in applied:
                    gevent.sleep(0.01)
    finally:
        watch.kill()
    assert "settings change failed, continuing" in caplog.text and "a fault of the program" in caplog.text


def test_the_log_level_changes_on_reload_and_an_unknown_one_is_reported(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(yaml.safe_dump(GOOD))
    root = logging.getLogger()
    before = root.level
    try:
        settings_file = SettingsFile(path)
        assert root.level == logging.INFO
        path.write_text(yaml.safe_dump(GOOD | {"log_level": "WARNING"}))
        settings_file.reload()
        assert root.level == logging.WARNING
        path.write_text(yaml.safe_dump(GOOD | {"log_level": "LOUD"}))
        settings_file.reload()
        assert root.level == logging.WARNING
    finally:
        root.setLevel(before)
    with pytest.raises(ValidationError) as caught:
        read_settings(path)
    (finding,) = caught.value.findings
    assert finding.where.endswith("log_level")
    assert "LOUD" in finding.found
    assert "DEBUG, INFO" in finding.allowed
