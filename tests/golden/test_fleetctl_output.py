"""What each command of `fleetctl` prints, the status it ends with, and what it asks the controllers."""

import hashlib
import json
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from tests.golden.fleet_documents import (
    BACKUP,
    CHANGED_CONFIGURATION,
    CONFIGURATION,
    CONFLICTING_CONFIGURATION,
    DRAINING_INSTANCE,
    EMPTY_STATUS,
    HISTORY,
    INVALID_CONFIGURATION,
    READY_INSTANCE,
    REFUSAL,
    SETTINGS,
    SETTINGS_WITH_FINDINGS,
    STATE,
    STATUS,
)
from tests.golden.programs import run_program
from tests.golden.scripted_controller import scripted_controller

FLEETCTL = "ochrespan.programs.fleetctl"
NOBODY_LISTENS = "127.0.0.1:1"
SIDE_BY_SIDE = 6  # commands that wait for controllers without an answer, most of the time asleep
CHECKSUM_BYTES = 16

COMMANDS = (
    "", "status", "members", "instances", "config", "config show", "config history", "config check", "config diff",
    "config apply", "drain", "router", "router drain", "router activate", "hand-over", "bootstrap", "bootstrap proceed",
    "backup", "restore", "settings", "settings check",
)  # fmt: skip

WRONG_ARGUMENTS = (
    "", "dance", "config", "config dance", "router", "settings", "status now", "status --loudly",
    "status --controllers nowhere", "status --controllers 10.0.0.1:99999", "members --controllers nowhere",
    "instances --service", "config show more", "config history --last many", "config check", "config check a b",
    "config diff", "config apply", "config apply a --builds-on newest", "drain", "drain a b", "hand-over",
    "hand-over nowhere", "hand-over 10.0.0.1:1 --for-s long", "router drain", "router drain nowhere",
    "router activate", "router activate nowhere", "backup", "backup a --controllers nowhere", "restore",
    "restore a --dry-run often", "settings check", "settings check a b",
)  # fmt: skip

ASKING_COMMANDS = (
    "status", "members", "instances", "config show", "config history", "config diff FILE", "config apply FILE",
    "config apply FILE --builds-on 5", "bootstrap proceed", "drain i-1", "backup OUT", "restore BACKUP",
    "restore BACKUP --dry-run",
)  # fmt: skip
CHANGING_COMMANDS = ("config apply FILE", "drain i-1", "restore BACKUP", "restore OLDER")
COMMANDS_FOR_ONE_PROCESS = ("hand-over ADDRESS", "router drain ADDRESS", "router activate ADDRESS")

FLEET = {
    "GET /api/status": (200, STATUS),
    "GET /api/config": (200, CONFIGURATION),
    "GET /api/config/backup": (200, STATE),
    "GET /api/config/history": (200, HISTORY),
    "PUT /api/config": (200, {"generation": 8}),
    "PUT /api/config/backup": (200, {"generation": 5}),
    "PUT /api/bootstrap": (200, {"missing_initial_members": ["10.0.0.3:5000"]}),
    "PUT /api/leadership": (200, {}),
    "PUT /api/readiness": (200, {}),
    "PUT /api/instances/i-1": (200, {}),
    "PUT /api/instances/i-2": (200, {}),
}
EARLIER_FLEET = {place: answer for place, answer in FLEET.items() if not place.endswith("/backup")}
EMPTY_FLEET = {
    "GET /api/status": (200, EMPTY_STATUS),
    "GET /api/config": (200, {"generation": 0, "routes": [], "services": []}),
    "GET /api/config/history": (200, {"changes": []}),
}
SUCCESSES = {
    "status": "status",
    "members": "members",
    "instances": "instances",
    "instances of a service": "instances --service ledger",
    "instances of an unknown service": "instances --service nobody",
    "show": "config show",
    "history": "config history",
    "last change": "config history --last 1",
    "no change": "config history --last 0",
    "difference": "config diff FILE",
    "no difference": "config diff SAME",
    "apply": "config apply FILE",
    "apply on a version": "config apply FILE --builds-on 4",
    "apply to a named fleet": "config apply FILE --cluster c0ffee",
    "apply what is in force": "config apply SAME",
    "drain": "drain i-1",
    "hand over": "hand-over ADDRESS",
    "proceed without missing members": "bootstrap proceed",
    "hand over for a time": "hand-over ADDRESS --for-s 1.5",
    "end a hand-over": "hand-over ADDRESS --for-s 0",
    "drain a router": "router drain ADDRESS",
    "activate a router": "router activate ADDRESS",
    "backup": "backup OUT",
    "restore": "restore BACKUP",
    "restore an older one": "restore OLDER",
    "dry run of a restore": "restore BACKUP --dry-run",
}
LOCAL_REFUSALS = {
    "drain an unknown server": "drain nobody",
    "apply an invalid configuration": "config apply INVALID",
    "compare an invalid configuration": "config diff INVALID",
    "apply a missing file": "config apply MISSING",
    "backup to a missing folder": "backup MISSING/fleet.backup",
    "restore a missing file": "restore MISSING",
    "restore a cut file": "restore CUT",
    "restore another document": "restore SAME",
    "restore another format version": "restore OTHER_VERSION",
    "restore a changed file": "restore TAMPERED",
    "restore an invalid configuration": "restore INVALID_BACKUP",
}
FILE_CHECKS = {
    "valid configuration": "config check FILE",
    "invalid configuration": "config check INVALID",
    "configuration with conflicts": "config check CONFLICTING",
    "cut configuration": "config check CUT",
    "missing configuration": "config check MISSING",
    "valid settings": "settings check SETTINGS",
    "settings with findings": "settings check WRONG_SETTINGS",
    "settings that are no map": "settings check LIST_SETTINGS",
    "settings that are no YAML": "settings check CUT",
    "missing settings": "settings check MISSING",
}


def backup_text(**changes):
    """A backup as `fleetctl backup` writes it, with the checksum of its contents."""
    document = {**BACKUP, **changes}
    body = {name: document[name] for name in ("taken_at", "configuration", "instances")}
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    document["checksum"] = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).hexdigest()
    return json.dumps(document, indent=2)


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """The files that the commands read and write: the name in the tests, and the path."""
    older = {**CONFIGURATION, "generation": 2, "routes": CONFIGURATION["routes"][:1], "tenants": []}
    drained = {**READY_INSTANCE, "state": "draining"}
    texts = {
        "FILE": json.dumps(CHANGED_CONFIGURATION),
        "SAME": json.dumps(CONFIGURATION),
        "INVALID": json.dumps(INVALID_CONFIGURATION),
        "CONFLICTING": json.dumps(CONFLICTING_CONFIGURATION),
        "CUT": "{cut",
        "BACKUP": backup_text(configuration={**CHANGED_CONFIGURATION, "generation": 40}),
        "OLDER": backup_text(configuration=older, instances=[drained, DRAINING_INSTANCE]),
        "OTHER_VERSION": backup_text(format_version=2),
        "TAMPERED": backup_text().replace("key-of-acme", "key-of-bolt"),
        "INVALID_BACKUP": backup_text(configuration=INVALID_CONFIGURATION),
        "SETTINGS": SETTINGS,
        "WRONG_SETTINGS": SETTINGS_WITH_FINDINGS,
        "LIST_SETTINGS": "[1, 2]\n",
    }
    folder = tmp_path_factory.mktemp("fleetctl")
    for name, text in texts.items():
        (folder / name).write_text(text)
    return {name: folder / name for name in (*texts, "OUT", "MISSING")}


def run_command(command, files, *controllers, environment=None):
    """Runs a command, given as one text in which the names of files stand for their paths.

    Args:
        command: the command and its arguments.
        files: paths by the names that stand for them.
        *controllers: control addresses; ADDRESS in the command stands for the first one. Where the command does not
            name it, all of them are given as `--controllers`.
        environment: variables to set.

    Returns:
        The exit code and the two outputs, with names in place of paths and addresses.
    """
    words = [str(files["OUT"].parent / word) if word.split("/")[0] in files else word for word in command.split()]
    words = [controllers[0] if word == "ADDRESS" else word for word in words]
    if controllers and "ADDRESS" not in command:
        words += ["--controllers", *controllers]
    masks = {f"{files['OUT'].parent}/": "", **{each: f"ADDRESS_{n}" for n, each in enumerate(controllers, 1)}}
    return run_program(FLEETCTL, *words, environment=environment, masks=masks)


def run_against(script, command, files):
    """Runs a command against one scripted controller, and returns what it gave and what the controller was asked."""
    with scripted_controller(script) as controller:
        printed = run_command(command, files, controller.address)
        return "\n".join([f"{printed}--- calls", *controller.calls])


@pytest.mark.parametrize("command", COMMANDS)
def test_the_help_of_each_command(command, snapshot):
    assert run_program(FLEETCTL, *command.split(), "--help") == snapshot


def test_the_version(snapshot):
    assert run_program(FLEETCTL, "--version") == snapshot


@pytest.mark.parametrize("command", WRONG_ARGUMENTS)
def test_wrong_arguments_are_refused(command, snapshot):
    assert run_program(FLEETCTL, *command.split()) == snapshot


@pytest.mark.parametrize("name", SUCCESSES)
def test_a_command_that_succeeds(name, files, snapshot):
    assert run_against(FLEET, SUCCESSES[name], files) == snapshot


@pytest.mark.parametrize(
    "command", ["status", "members", "instances", "config show", "config history", "config diff FILE"]
)
def test_a_command_on_an_empty_fleet(command, files, snapshot):
    assert run_against(EMPTY_FLEET, command, files) == snapshot


def test_the_file_that_a_backup_writes(files, snapshot):
    """Controllers of an earlier version name no accepted commands."""
    run_against(EARLIER_FLEET, "backup OUT", files)
    persisted = json.loads(files["OUT"].read_text())
    assert json.dumps({**persisted, "taken_at": "TIME", "checksum": "CHECKSUM"}, indent=2) == snapshot
    body = {name: persisted[name] for name in ("taken_at", "configuration", "instances")}
    assert files["OUT"].read_text() == backup_text(**body)


def test_the_file_that_a_backup_with_accepted_commands_writes(files, snapshot):
    run_against(FLEET, "backup OUT", files)
    persisted = json.loads(files["OUT"].read_text())
    assert json.dumps({**persisted, "taken_at": "TIME", "checksum": "CHECKSUM"}, indent=2) == snapshot
    body = {name: persisted[name] for name in ("taken_at", "configuration", "instances")}
    earlier = json.loads(backup_text(**body))
    assert {name: persisted[name] for name in earlier} == earlier


@pytest.mark.parametrize("command", ["backup OUT", "restore BACKUP"])
@pytest.mark.parametrize("empty", [True, False])
def test_a_fleet_of_an_earlier_version(command, empty, files, snapshot):
    answers = {**EARLIER_FLEET, **EMPTY_FLEET} if empty else EARLIER_FLEET
    assert run_against(answers, command, files) == snapshot


def test_a_restore_into_an_empty_fleet_sends_the_accepted_commands(files, snapshot):
    assert run_against({**FLEET, **EMPTY_FLEET}, "restore BACKUP", files) == snapshot


@pytest.mark.parametrize("name", LOCAL_REFUSALS)
def test_a_command_that_refuses_by_itself(name, files, snapshot):
    assert run_against(FLEET, LOCAL_REFUSALS[name], files) == snapshot


@pytest.mark.parametrize("command", (*ASKING_COMMANDS, *COMMANDS_FOR_ONE_PROCESS))
def test_a_command_whose_first_call_is_refused(command, files, snapshot):
    assert run_against(dict.fromkeys(FLEET, (400, REFUSAL)), command, files) == snapshot


@pytest.mark.parametrize("command", CHANGING_COMMANDS)
def test_a_command_whose_change_is_refused(command, files, snapshot):
    refusals = {place: (412, REFUSAL) for place in FLEET if place.startswith("PUT")}
    assert run_against({**FLEET, **refusals}, command, files) == snapshot


@pytest.mark.parametrize("name", FILE_CHECKS)
def test_a_file_is_checked(name, files, snapshot):
    assert run_command(FILE_CHECKS[name], files) == snapshot


def test_without_addresses_the_seeds_of_the_settings_are_asked(files, tmp_path, snapshot):
    settings = tmp_path / "node.yaml"
    environment = {"OCHRESPAN_SETTINGS": str(settings)}
    with scripted_controller(FLEET) as controller:
        settings.write_text(SETTINGS.replace("10.0.0.1:5", controller.address))
        assert run_command("status", files, environment=environment) == snapshot
        assert controller.calls == ["GET /api/status"]
    settings.write_text(SETTINGS_WITH_FINDINGS)
    printed = run_command("status", files, environment=environment)
    assert printed.replace(str(settings), "SETTINGS") == snapshot


@pytest.mark.parametrize("first_answer", [None, (503, {}), (200, b"{cut"), (400, REFUSAL)])
def test_the_next_controller_is_asked_unless_the_first_one_refuses(first_answer, files, snapshot):
    with ExitStack() as stack:
        second = stack.enter_context(scripted_controller(FLEET))
        first = NOBODY_LISTENS
        if first_answer is not None:
            first = stack.enter_context(scripted_controller({"GET /api/status": first_answer})).address
        assert run_command("members", files, first, second.address) == snapshot
        assert second.calls == ([] if first_answer == (400, REFUSAL) else ["GET /api/status"])


def run_without_a_verdict(name, files):
    """Runs `KIND: COMMAND` against a controller that gives no answer of use."""
    kind, command = name.split(": ")
    if kind == "nobody listens":
        return run_command(command, files, NOBODY_LISTENS)
    answer = {"unavailable": (503, REFUSAL), "no JSON": (200, b"{cut"), "error": (500, {})}[kind]
    return run_against(dict.fromkeys(FLEET, answer), command, files)


WITHOUT_A_VERDICT = (
    *(f"nobody listens: {command}" for command in (*ASKING_COMMANDS, *COMMANDS_FOR_ONE_PROCESS)),
    *(f"{kind}: config apply FILE --builds-on 5" for kind in ("unavailable", "no JSON", "error")),
    *(f"unavailable: {command}" for command in ("status", *COMMANDS_FOR_ONE_PROCESS)),
)


@pytest.fixture(scope="module")
def printed_without_a_verdict(files):
    """What the commands printed. They are run side by side, since each goes on asking for some seconds."""
    with ThreadPoolExecutor(SIDE_BY_SIDE) as threads:
        printed = threads.map(lambda name: run_without_a_verdict(name, files), WITHOUT_A_VERDICT)
        return dict(zip(WITHOUT_A_VERDICT, printed, strict=True))


@pytest.mark.parametrize("name", WITHOUT_A_VERDICT)
def test_a_command_that_gets_no_verdict(name, printed_without_a_verdict, snapshot):
    assert printed_without_a_verdict[name] == snapshot
