"""The command line, and its reports of errors in files."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from ochrespan import __version__
from ochrespan.cli import cli
from ochrespan.config import BadConfig
from ochrespan.operator_config import load

from .test_operator import SETTINGS

ROOT = Path(__file__).parent.parent
CONFIG = ROOT / "examples" / "config.json"

BASE = """
[contracts]
capacity_units_per_s = 100
fronts = 2
[[organisation]]
name = "house"
budget = { units_per_s = 80, units_per_hour = 200000 }
[[team]]
name = "a"
organisation = "house"
plan = "basic"
classes = ["photo-read"]
volumes = ["00000000000000aa"]
reserve = { units_per_s = 20 }
[[team]]
name = "b"
organisation = "house"
plan = "basic"
classes = ["photo-read", "photo-write"]
volumes = ["00000000000000bb"]
[[service]]
name = "reader"
team = "b"
classes = ["photo-read"]
tokens_sha256 = ["0000000000000000000000000000000000000000000000000000000000000001"]
reserve = { units_per_s = 10, burst_units = 30 }
"""


def faults(tmp_path, text: str) -> list[str]:
    path = tmp_path / "o.toml"
    path.write_text(text)
    with pytest.raises(BadConfig) as caught:
        load(path, SETTINGS)
    assert all(fault.startswith(str(path)) for fault in caught.value.args)
    return [fault.removeprefix(f"{path}: ") for fault in caught.value.args]


def test_base_file_is_valid(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text(BASE)
    book = load(path, SETTINGS).sections["contracts"].registry
    assert list(book.levels) == ["house", "house/a", "house/b", "house/b/reader"]
    assert set(book.contracts) == {"house/a", "house/b/reader"} and book.fronts == 2
    assert book.by_volume == {"00000000000000aa": "house/a", "00000000000000bb": "house/b"}
    assert book.reserved_rates()[0] == {"house": 30, "house/a": 20, "house/b": 10, "house/b/reader": 10}


@pytest.mark.parametrize(
    ("old", "new", "location", "found", "allowed"),
    [
        ('plan = "basic"', 'plan = "golden"', "[[team]] a plan", "'golden'", "'basic' or 'priority' or 'standard'"),
        ('"photo-read"]\nvolumes', '"photo"]\nvolumes', "[[team]] a classes", "'photo'", "photo-read"),
        ("00000000000000aa", "aa", "[[team]] a volumes", "['aa']", "regex"),
        ("00000000000000aa", "00000000000000bb", "[[team]] b volumes", "00000000000000bb", "house/a does not have"),
        ('organisation = "house"', 'organisation = "home"', "[[team]] a organisation", "'home'", "'house'"),
        ('name = "b"', 'name = "a"', "[[team]] a name", "a", "no other team"),
        ('team = "b"', 'team = "z"', "[[service]] reader team", "'z'", "'a'"),
        ("units_per_s = 20", "units_per_s = -1", "[[team]] a reserve units_per_s", "-1", "> 0"),
        ("units_per_s = 20", "units_per_s = 75", "[[organisation]] house budget units_per_s", "80", "at least 85"),
        ("units_per_s = 20", "units_per_s = 95", "[contracts] capacity_units_per_s", "100", "at least 105"),
        (
            "units_per_hour = 200000",
            "units_per_hour = 20000",
            "[[organisation]] house budget units_per_hour",
            "20000",
            "at least 108000",
        ),
        ("burst_units = 30", "burst_units = 10", "[[service]] reader reserve burst_units", "10", "at least 16"),
        ("capacity_units_per_s = 100\n", "", "[[team]] a reserve", "a reserve", "capacity_units_per_s"),
        (
            "units_per_s = 20 }",
            "units_per_s = 20 }\nbudget = { units_per_s = 15 }",
            "[[team]] a reserve units_per_s",
            "20",
            "at most its budget of 15",
        ),
        (
            "units_per_s = 20 }",
            "units_per_s = 20 }\nbudget = { burst_units = 99 }",
            "[[team]] a budget units_per_s",
            "nothing",
            "a rate beside burst_units",
        ),
        ('volumes = ["00000000000000aa"]', "", "[[team]] a", "nothing that it is known by", "tokens_sha256"),
        (
            'volumes = ["00000000000000aa"]',
            'volumes = ["00000000000000aa"]\nfrom = 2026-01-01T00:00:00',
            "[[team]] a from",
            "2026",
            "timezone",
        ),
        (
            'volumes = ["00000000000000aa"]',
            'volumes = ["00000000000000aa"]\nfrom = 2026-01-02T00:00:00Z\nuntil = 2026-01-01T00:00:00Z',
            "[[team]] a until",
            "2026-01-01",
            "a time after",
        ),
        (
            'volumes = ["00000000000000aa"]',
            'volumes = ["00000000000000aa"]\nwithdrawn_classes = ["photo-write"]',
            "[[team]] a withdrawn_classes",
            "'photo-write'",
            "'photo-read'",
        ),
        (
            'volumes = ["00000000000000aa"]',
            'volumes = ["00000000000000aa"]\nattempts_per_request = 0.5',
            "[[team]] a attempts_per_request",
            "0.5",
            ">= 1",
        ),
        (
            'volumes = ["00000000000000bb"]',
            'tokens_sha256 = ["0000000000000000000000000000000000000000000000000000000000000002"]',
            "[[team]] b tokens_sha256",
            "tokens",
            "its services",
        ),
        (
            'classes = ["photo-read"]\ntokens',
            'classes = ["batch-export"]\ntokens',
            "[[service]] reader classes",
            "'batch-export'",
            "'photo-read' or 'photo-write'",
        ),
        ("fronts = 2", 'fronts = 2\nplatform = "closed"', "[contracts] platform", "'closed'", "closed"),
    ],
)
def test_each_error_names_location_value_found_and_values_allowed(tmp_path, old, new, location, found, allowed):
    assert old in BASE
    reported = faults(tmp_path, BASE.replace(old, new, 1))
    assert any(fault.startswith(f"{location}: found ") and found in fault and allowed in fault for fault in reported), (
        reported
    )


def test_all_errors_are_reported_at_once(tmp_path):
    text = BASE.replace('plan = "basic"', 'plan = "golden"\ncolour = 1').replace("units_per_s = 80", "units_per_s = 0")
    reported = faults(tmp_path, text + '[graphite]\naddress = "nowhere"\n[objects]\n[chalk]\n')
    for location in (
        "[chalk]",
        "[[organisation]] house budget units_per_s",
        "[[team]] a colour",
        "[graphite] address",
        "[objects] listen",
        "[[team]] buckets",
    ):
        assert any(fault.startswith(location + ":") for fault in reported), (location, reported)


def test_ten_thousand_teams_are_read(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text(
        "[contracts]\n"
        + "".join(
            f'[[team]]\nname = "t{i}"\nplan = "basic"\nclasses = ["photo-read"]\nvolumes = ["{i:016x}"]\n'
            f"budget = {{ units_per_s = 100 }}\n"
            for i in range(10_000)
        )
    )
    book = load(path, SETTINGS).sections["contracts"].registry
    assert len(book.contracts) == 10_000 and book.by_volume[f"{9_999:016x}"] == "t9999"


# ---- the commands ----


def run(*arguments: str, config: Path | None = CONFIG):
    env = {"BALANCER_CONFIG": str(config) if config else None, "BALANCER_LISTEN": None, "BALANCER_DISCOVERY": None}
    return CliRunner().invoke(cli, list(arguments), env=env)


def test_help_and_version():
    assert run("--version").output.strip() == f"ochrespan, version {__version__}"
    reported = run("--help").output
    assert all(word in reported for word in ("serve", "check", "contracts", "examples/contracts.toml"))
    assert "--log-format" in run("serve", "--help").output


@pytest.mark.parametrize("name", ["operator.toml", "contracts.toml", "http2.toml"])
def test_check_passes_the_examples(name):
    got = run("check", "--operator", str(ROOT / "examples" / name))
    assert got.exit_code == 0, got.output
    assert "contracts" in got.output and "3 classes" in got.output


def test_check_reports_all_errors_of_both_files_and_exits_2(tmp_path):
    path = tmp_path / "o.toml"
    path.write_text(BASE.replace("house", "", 1))
    got = run("check", "--operator", str(path))
    assert got.exit_code == 2 and got.output.count(str(path)) >= 2
    broken = tmp_path / "c.json"
    broken.write_text("{")
    got = run("check", "--config", str(broken), "--operator", str(path))
    assert got.exit_code == 2 and str(broken) in got.output and "not checked" in got.output
    assert run("check", config=None).exit_code == 2
    broken.write_text(
        '{"listen": 7, "discovery": "nowhere", "seed": "xyz", "limits": {"sockets": "many"}, '
        '"settings": {"Balancers": "three"}}'
    )
    reported = run("check", "--config", str(broken)).output
    for message in (
        "listen: found 7; allowed: host:port",
        "discovery: found 'nowhere'; allowed: host:port",
        "seed: found 'xyz'; allowed: hex digits",
        "limits.sockets: found 'many'",
        "settings: Balancers=three",
    ):
        assert f"{broken}: {message}" in reported


def test_contracts_show_prints_a_table_of_contracts_in_effect(tmp_path):
    got = run("contracts", "show", "--operator", str(ROOT / "examples" / "contracts.toml"))
    assert got.exit_code == 0
    lines = got.output.splitlines()
    assert lines[0].split()[:3] == ["level", "kind", "plan"] and len(lines) == 5
    row = next(line for line in lines if line.startswith("plant/inspection"))
    assert all(word in row for word in ("standard", "1 volume", "120", "240", "in force"))
    path = tmp_path / "o.toml"
    path.write_text(
        BASE.replace(
            'volumes = ["00000000000000aa"]',
            'volumes = ["00000000000000aa"]\nuntil = 2030-01-01T00:00:00Z\nwithdrawn = false',
        )
    )
    config = tmp_path / "c.json"
    reported = json.loads(CONFIG.read_text())
    config.write_text(json.dumps(reported))
    got = run("contracts", "show", "--front", "--operator", str(path), config=config)
    row = next(line for line in got.output.splitlines() if line.startswith("house/a"))
    assert "until 2030-01-01" in row and " 10 " in row  # half of 20: there are two fronts
    assert run("contracts", "show").exit_code == 2


def test_start_without_options_does_not_load_disabled_subsystems():
    code = (
        "import sys, ochrespan.front; print([m for m in ('click', 'msgspec', 'tomllib', 'ochrespan.contracts',"
        " 'ochrespan.objects', 'ochrespan.metrics', 'ochrespan.operator_config', 'ochrespan.cli',"
        " 'ochrespan.http2', 'h2') if m in sys.modules])"
    )
    got = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert got.stdout.strip() == "[]"
