"""The commands `backup` and `restore`, and the draining of an instance that `restore` shares with `drain`."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from returns.result import Failure, Success

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.registry.records import InstanceState
from ochrespan.control_plane.responses import NOT_FOUND

from .backup_file import AcceptedCommands, Backup, read_backup, write_backup
from .common import client_for_fleet, current_configuration, unwrap_document
from .control_client import ControlClient
from .reports import difference_report

BACKUP_PATH = "/api/config/backup"


def backup(file: Path, *, controllers: list[str] | None = None) -> str:
    """Write the configuration and the list of servers to a file.

    :param file: where to write; an existing file is replaced whole
    :param controllers: control addresses to ask, in turn
    """
    client = client_for_fleet(controllers)
    configuration, commands = _read_state(client)
    instances = unwrap_document(client.get("/api/status"))["instances"]
    taken_at = datetime.now(UTC).isoformat(timespec="seconds")
    saved = Backup(taken_at, configuration, instances, commands)
    try:
        write_backup(file, saved)
    except OSError as error:
        raise ValidationError([Finding(str(file), str(error.strerror), "a file that can be written")]) from error
    return f"{file}: version {configuration['generation']}, {len(instances)} servers"


def restore(file: Path, *, dry_run: bool = False, controllers: list[str] | None = None) -> str:
    """Make the configuration of a backup the newest one again, and drain the servers that drained in it.

    :param file: what `backup` has written
    :param dry_run: only show what would change
    :param controllers: control addresses to ask, in turn
    """
    client = client_for_fleet(controllers)
    saved = read_backup(file)
    current = current_configuration(client)
    restored = {**saved.configuration, "generation": _next_version(saved.configuration, current)}
    registered = unwrap_document(client.get("/api/status"))["instances"]
    to_drain = saved.instances_to_drain(registered)
    difference = difference_report(current, restored)
    report = [difference or "no difference of the configuration", *(f"drain {each}" for each in to_drain)]
    if dry_run:
        return "\n".join([*report, f"dry run: nothing was changed; the backup is of {saved.taken_at}"])
    if difference:
        version = current["generation"]
        response = _put_configuration(client, saved, restored, version)
        report.append(f"taken: version {response['generation']} on top of {version}")
    for each in to_drain:
        drain_instance(client, next(record for record in registered if record["id"] == each))
    return "\n".join(report)


def drain_instance(client: ControlClient, record: dict[str, Any]) -> None:
    """Reports an instance as draining, on its behalf; raises CommandFailedError.

    The sequence number is one above that of the last committed change; heartbeats without a change are not committed.
    If the instance itself reports a change in the meantime, its report takes that number, and this one is out of date.
    """
    fields = {name: value for name, value in record.items() if name != "id"}
    report = {**fields, "state": InstanceState.DRAINING.value, "sequence": record["sequence"] + 1}
    unwrap_document(client.put(f"/api/instances/{record['id']}", report))


def _read_state(client: ControlClient) -> tuple[dict[str, Any], AcceptedCommands | None]:
    """The configuration and the accepted commands; controllers of an earlier version do not list the commands: None."""
    result = client.get(BACKUP_PATH)
    if isinstance(result, Failure) and result.failure().status == NOT_FOUND:
        return current_configuration(client), None
    state = unwrap_document(result)
    return state["configuration"], AcceptedCommands(state["accepted_commands"], state["last_evicted_version"])


def _put_configuration(client: ControlClient, saved: Backup, restored: dict[str, Any], version: int) -> Any:
    """Restores the complete state into a cluster without a configuration; else replaces that of `version`.

    Raises:
        CommandFailedError: it was refused, or its outcome is unknown.
    """
    if version == 0:
        result = client.put(BACKUP_PATH, saved.restore_document())
        if isinstance(result, Success) or result.failure().status != NOT_FOUND:
            return unwrap_document(result)
    return unwrap_document(client.put("/api/config", restored, {"If-Match": str(version)}))


def _next_version(saved: dict[str, Any], current: dict[str, Any]) -> int:
    """The backup's version, or the fleet's next version if that is higher: versions only increase."""
    version: int = max(saved["generation"], current["generation"] + 1)
    return version
