"""The operator's command line: `python3 -m ochrespan.programs.fleetctl COMMAND`.

Every command takes `--controllers IP:PORT ...`, the control addresses of one or more controllers; without it they are
the seeds of the settings file that OCHRESPAN_SETTINGS names.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import defopt
from returns.result import Result, Success

from ..control_plane.checking import CheckFailed, Finding
from ..control_plane.configuration import Configuration, change_to
from ..control_plane.documents import CHECK_CONFIGURATION, read_json
from ..transport.tcp import Address, parse_address
from . import fleet_reports
from .control_client import CallError, ControlClient, is_undecided
from .settings import read_settings, settings_path

EXIT_FAILED = 1
EXIT_UNDECIDED = 3


class CommandFailed(Exception):
    """A command has no result; `code` is the exit status."""

    def __init__(self, text: str, code: int = EXIT_FAILED) -> None:
        super().__init__(text)
        self.code = code


def status(*, controllers: list[str] | None = None) -> str:
    """Show the configuration's version, the shards and their leaders.

    :param controllers: control addresses to ask, in turn
    """
    return fleet_reports.status_report(_status(controllers))


def members(*, controllers: list[str] | None = None) -> str:
    """Show the live controllers and routers.

    :param controllers: control addresses to ask, in turn
    """
    return fleet_reports.members_report(_status(controllers))


def instances(*, service: str = "", controllers: list[str] | None = None) -> str:
    """Show the registered servers.

    :param service: only those of this service
    :param controllers: control addresses to ask, in turn
    """
    return fleet_reports.instances_report(_status(controllers), service)


def show(*, controllers: list[str] | None = None) -> str:
    """Print the newest configuration as JSON.

    :param controllers: control addresses to ask, in turn
    """
    return json.dumps(_current(_client(controllers)), indent=2)


def check(file: Path) -> str:
    """Check a configuration without sending it; all findings are reported together.

    :param file: the configuration as JSON
    """
    document = _read(file)
    return f"{file}: valid, version {document['generation']}, {len(document['routes'])} routes"


def diff(file: Path, *, controllers: list[str] | None = None) -> str:
    """Show what applying a configuration would change.

    :param file: the configuration as JSON
    :param controllers: control addresses to ask, in turn
    """
    return fleet_reports.difference_report(_current(_client(controllers)), _read(file)) or "no difference"


def apply(file: Path, *, builds_on: int | None = None, controllers: list[str] | None = None) -> str:
    """Send a configuration, again and unchanged until there is a verdict.

    :param file: the configuration as JSON
    :param builds_on: the version that the change was made on; without it the present one
    :param controllers: control addresses to ask, in turn
    """
    client, document = _client(controllers), _read(file)
    version = _current(client)["generation"] if builds_on is None else builds_on
    taken = _value(client.put("/api/config", document, {"If-Match": str(version)}))
    return f"taken: version {taken['generation']} on top of {version}"


def drain(instance: str, *, controllers: list[str] | None = None) -> str:
    """Tell the routers to send nothing more to a server. This holds until the server's end.

    :param instance: the id of the server's incarnation
    :param controllers: control addresses to ask, in turn
    """
    client = _client(controllers)
    listed = _value(client.get("/api/status"))["instances"]
    record = next((each for each in listed if each["id"] == instance), None)
    if record is None:
        raise CommandFailed(f"instance: found {instance!r}, allowed one of those that `instances` shows")
    fields = {name: value for name, value in record.items() if name != "id"}
    report = {**fields, "state": "draining", "sequence": record["sequence"] + 1}
    _value(client.put(f"/api/instances/{instance}", report))
    return f"draining: {instance} of {record['backend']} at {record['address']}"


COMMANDS = {
    "status": status,
    "members": members,
    "instances": instances,
    "config": {"show": show, "check": check, "diff": diff, "apply": apply},
    "drain": drain,
}


def main(arguments: list[str] | None = None) -> int:
    """Runs a command, prints its result, and returns the exit status."""
    try:
        print(defopt.run(COMMANDS, argv=arguments, show_types=False))
    except CheckFailed as error:
        return _fail("\n".join(map(str, error.findings)), EXIT_FAILED)
    except CommandFailed as error:
        return _fail(str(error), error.code)
    return 0


def _fail(text: str, code: int) -> int:
    print(text, file=sys.stderr)
    return code


def _client(controllers: list[str] | None) -> ControlClient:
    return ControlClient(_addresses(controllers or read_settings(settings_path())["seeds"]))


def _addresses(texts: list[str]) -> list[Address]:
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        raise CheckFailed([Finding("--controllers", str(error), "IP:PORT ...")]) from error


def _status(controllers: list[str] | None) -> dict[str, Any]:
    return _value(_client(controllers).get("/api/status"))


def _current(client: ControlClient) -> dict[str, Any]:
    return _value(client.get("/api/config"))


def _read(file: Path) -> dict[str, Any]:
    try:
        document = read_json(file.read_bytes(), CHECK_CONFIGURATION)
    except OSError as error:
        raise CheckFailed([Finding(str(file), str(error.strerror), "a readable file")]) from error
    Configuration().changed_by(change_to(Configuration(), document))
    return document


def _value(result: Result[Any, CallError]) -> Any:
    if isinstance(result, Success):
        return result.unwrap()
    error = result.failure()
    undecided = is_undecided(error)
    text = f"{error}\n  no verdict: the call may or may not have been carried out" if undecided else str(error)
    raise CommandFailed(text, EXIT_UNDECIDED if undecided else EXIT_FAILED)


if __name__ == "__main__":
    sys.exit(main())
