"""Commands that keep the control state in a file, and set a fleet up from it again."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.registry.records import InstanceState

from .backup_file import Backup, read_backup, write_backup
from .common import client_for, current_configuration, value_of
from .control_client import ControlClient
from .reports import difference_report


def backup(file: Path, *, controllers: list[str] | None = None) -> str:
    """Write the configuration and the list of servers to a file.

    :param file: where to write; an existing file is replaced whole
    :param controllers: control addresses to ask, in turn
    """
    client = client_for(controllers)
    configuration = current_configuration(client)
    instances = value_of(client.get("/api/status"))["instances"]
    taken_at = datetime.now(UTC).isoformat(timespec="seconds")
    try:
        write_backup(file, Backup(taken_at, configuration, instances))
    except OSError as error:
        raise ValidationError([Finding(str(file), str(error.strerror), "a file that can be written")]) from error
    return f"{file}: version {configuration['generation']}, {len(instances)} servers"


def restore(file: Path, *, dry_run: bool = False, controllers: list[str] | None = None) -> str:
    """Make the configuration of a backup the newest one again, and drain the servers that drained in it.

    :param file: what `backup` has written
    :param dry_run: only show what would change
    :param controllers: control addresses to ask, in turn
    """
    client = client_for(controllers)
    saved, current = read_backup(file), current_configuration(client)
    wanted = {**saved.configuration, "generation": _next_version(saved.configuration, current)}
    present = value_of(client.get("/api/status"))["instances"]
    drains = saved.drains(present)
    difference = difference_report(current, wanted)
    report = [difference or "no difference of the configuration", *(f"drain {each}" for each in drains)]
    if dry_run:
        return "\n".join([*report, f"dry run: nothing was changed; the backup is of {saved.taken_at}"])
    if difference:
        version = current["generation"]
        taken = value_of(client.put("/api/config", wanted, {"If-Match": str(version)}))
        report.append(f"taken: version {taken['generation']} on top of {version}")
    for each in drains:
        drain_instance(client, next(record for record in present if record["id"] == each))
    return "\n".join(report)


def drain_instance(client: ControlClient, record: dict[str, Any]) -> None:
    """Reports a server as draining in its place; raises CommandFailedError."""
    fields = {name: value for name, value in record.items() if name != "id"}
    report = {**fields, "state": InstanceState.DRAINING.value, "sequence": record["sequence"] + 1}
    value_of(client.put(f"/api/instances/{record['id']}", report))


def _next_version(saved: dict[str, Any], current: dict[str, Any]) -> int:
    """A version goes up with each change: that of the backup where it is still ahead."""
    return max(saved["generation"], current["generation"] + 1)
