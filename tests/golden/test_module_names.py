"""The `python -m` names in the deploy files, the README and the documents can be run, and end as they always have."""

import re
from pathlib import Path

import pytest

from tests.golden.programs import ROOT, run_program

TEXTS = ("README.md", "docs", "deploy", "examples")
TEXT_SUFFIXES = {".md", ".toml", ".py", ".txt", ".json", ".sh"}
NAME_IN_A_TEXT = re.compile(r"python3? -m (ochrespan(?:\.\w+)*)")

FRONT = "ochrespan"
SIMULATOR = "ochrespan.simhost"
CONTROLLER = "ochrespan.programs.controller"
ROUTER = "ochrespan.programs.router"
FLEETCTL = "ochrespan.programs.fleetctl"

EXAMPLE_CONFIGURATION = {"BALANCER_CONFIG": "examples/config.json"}
MISSING_CONFIGURATION = {"BALANCER_CONFIG": "nowhere.json"}
MISSING_SETTINGS = {"OCHRESPAN_SETTINGS": "nowhere.yaml"}
INCOMPLETE_SETTINGS = "node: n\nip: 127.0.0.1\nzone: z\nport_range: [3, 9]\nseeds: []\nlisten: {}\n"

BATCHES = """\
MARK frame=3 NowNs=soon
EOB
MARK frame=4 NowNs=5
CONTEXT I=1
NOT_A_WORD
EOB
"""

RUNS = {
    "front help": (FRONT, ["--help"], {}),
    "front version": (FRONT, ["--version"], {}),
    "front without configuration": (FRONT, [], {}),
    "front with a missing configuration": (FRONT, [], MISSING_CONFIGURATION),
    "front with a missing operator file": (FRONT, ["--operator", "nowhere.toml"], EXAMPLE_CONFIGURATION),
    "front with an unknown command": (FRONT, ["dance"], {}),
    "front serve help": (FRONT, ["serve", "--help"], {}),
    "front serve with a missing operator file": (FRONT, ["serve", "--operator", "nowhere.toml"], EXAMPLE_CONFIGURATION),
    "front check help": (FRONT, ["check", "--help"], {}),
    "front check": (FRONT, ["check", "--operator", "examples/contracts.toml"], EXAMPLE_CONFIGURATION),
    "front check without configuration": (FRONT, ["check", "--operator", "examples/contracts.toml"], {}),
    "front contracts help": (FRONT, ["contracts", "--help"], {}),
    "front contracts show help": (FRONT, ["contracts", "show", "--help"], {}),
    "front contracts show": (FRONT, ["contracts", "show", "--operator", "examples/contracts.toml"],
                             EXAMPLE_CONFIGURATION),
    "controller without settings": (CONTROLLER, [], {}),
    "controller with missing settings": (CONTROLLER, [], MISSING_SETTINGS),
    "router without settings": (ROUTER, [], {}),
    "router with missing settings": (ROUTER, [], MISSING_SETTINGS),
    "fleetctl help": (FLEETCTL, ["--help"], {}),
    "fleetctl without settings": (FLEETCTL, ["status"], {}),
}  # fmt: skip


def names_in(path: Path) -> set[str]:
    """The names of the project's modules that a file, or a folder's files, tell the reader to run."""
    files = [path] if path.is_file() else [each for each in path.rglob("*") if each.suffix in TEXT_SUFFIXES]
    return {name for each in files for name in NAME_IN_A_TEXT.findall(each.read_text())}


def test_the_names_in_the_texts_are_those_that_are_run_here():
    named = set().union(*(names_in(ROOT / text) for text in TEXTS))
    assert named == {FRONT, SIMULATOR, CONTROLLER, ROUTER, FLEETCTL}


@pytest.mark.parametrize("name", RUNS)
def test_a_named_module_runs(name, snapshot):
    module, arguments, environment = RUNS[name]
    assert run_program(module, *arguments, environment=environment) == snapshot


@pytest.mark.parametrize("module", [CONTROLLER, ROUTER])
def test_a_program_of_the_fleet_refuses_incomplete_settings(module, tmp_path, snapshot):
    settings = tmp_path / "node.yaml"
    masks = {str(settings): "SETTINGS"}
    for text in (INCOMPLETE_SETTINGS, "node: [cut", "node: n\nseeds: nowhere\n"):
        settings.write_text(text)
        assert run_program(module, environment={"OCHRESPAN_SETTINGS": str(settings)}, masks=masks) == snapshot


def test_the_simulator_s_wire_answers_batches(snapshot):
    assert run_program(SIMULATOR, standard_input=BATCHES) == snapshot
