"""A backup of the control state, from which a cluster can be set up again: the configuration and the instances.

It lists the accepted commands, so that the new cluster recognises a command that is sent again. Files written by
earlier versions of the program lack this list, and those versions ignore it. Instances register by themselves; their
records are in the backup for operators to read, and for restoring the state `draining`.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ochrespan.common.validation import Finding, Findings, ValidationError
from ochrespan.control_plane.config.documents import CHECK_BACKUP, CHECK_CONFIGURATION
from ochrespan.control_plane.registry.records import InstanceState

from .files import read_file, replace_file

FORMAT = "ochrespan control state"
FORMAT_VERSION = 1
CHECKSUM_BYTES = 16
COMMANDS_FIELD = "commands"  # has its own checksum: earlier versions check only that of the other fields


@dataclass(frozen=True, slots=True)
class AcceptedCommands:
    """The commands that the control state remembers as accepted.

    Attributes:
        accepted: as `GET /api/config/backup` lists them.
        last_evicted_version: the newest version whose command is not among them.
    """

    accepted: list[dict[str, Any]]
    last_evicted_version: int

    def fields(self) -> dict[str, Any]:
        """The fields of a `BackupDocument`."""
        return {"accepted_commands": self.accepted, "last_evicted_version": self.last_evicted_version}


@dataclass(frozen=True, slots=True)
class Backup:
    """The contents of a backup file.

    Attributes:
        taken_at: ISO 8601, by the clock of the machine that ran `fleetctl`.
        configuration: as `GET /api/config` gives it.
        instances: as `GET /api/status` lists them.
        commands: None in a file of an earlier version, or if the controllers run an earlier version.
    """

    taken_at: str
    configuration: dict[str, Any]
    instances: list[dict[str, Any]]
    commands: AcceptedCommands | None = None

    def restore_document(self) -> dict[str, Any]:
        """The body of `PUT /api/config/backup`.

        If the accepted commands are unknown, any command that builds on an older version may have been accepted.
        """
        commands = self.commands or AcceptedCommands([], self.configuration["generation"])
        return {"configuration": self.configuration, **commands.fields()}

    def instances_to_drain(self, registered: Iterable[dict[str, Any]]) -> list[str]:
        """Ids of instances that were draining in this backup and are ready among those registered now."""
        draining = {each["id"] for each in self.instances if each["state"] == InstanceState.DRAINING}
        return [each["id"] for each in registered if each["id"] in draining and each["state"] == InstanceState.READY]


def write_backup(path: Path, backup: Backup) -> None:
    """Writes a backup file atomically; raises OSError."""
    body = {"taken_at": backup.taken_at, "configuration": backup.configuration, "instances": backup.instances}
    document = {"format": FORMAT, "format_version": FORMAT_VERSION, "checksum": _checksum(body), **body}
    if backup.commands is not None:
        commands = backup.commands.fields()
        document[COMMANDS_FIELD] = {"checksum": _checksum(commands), **commands}
    replace_file(path, json.dumps(document, indent=2))


def read_backup(path: Path) -> Backup:
    """Reads and validates a backup file; raises ValidationError."""
    document = _read_document(path)
    body: dict[str, Any] = {name: document.get(name) for name in ("taken_at", "configuration", "instances")}
    _check_checksum(f"{path}: checksum", document, body)
    findings = Findings()
    CHECK_CONFIGURATION(body["configuration"], "configuration", findings)
    _raise_findings(path, findings)
    commands = None
    if COMMANDS_FIELD in document:
        commands = _read_commands(path, document[COMMANDS_FIELD])
    backup = Backup(**body, commands=commands)
    CHECK_BACKUP(backup.restore_document(), "", findings)
    _raise_findings(path, findings)
    return backup


def _read_commands(path: Path, section: Any) -> AcceptedCommands:
    """The section of the accepted commands; `read_backup` validates its fields with the rest of the backup."""
    if not isinstance(section, dict):
        raise ValidationError([Finding(f"{path}: {COMMANDS_FIELD}", type(section).__name__, "a map")])
    commands = AcceptedCommands(section.get("accepted_commands", []), section.get("last_evicted_version", 0))
    _check_checksum(f"{path}: {COMMANDS_FIELD}.checksum", section, commands.fields())
    return commands


def _check_checksum(where: str, document: dict[str, Any], body: dict[str, Any]) -> None:
    checksum = _checksum(body)
    if document.get("checksum") != checksum:
        raise ValidationError([Finding(where, repr(document.get("checksum")), checksum)])


def _raise_findings(path: Path, findings: Findings) -> None:
    if findings:
        raise ValidationError([Finding(f"{path}: {each.where}", each.found, each.allowed) for each in findings])


def _read_document(path: Path) -> dict[str, Any]:
    """The JSON document in a file of this format and format version."""
    content = read_file(path)
    try:
        document: dict[str, Any] = json.loads(content)
    except ValueError as error:
        raise ValidationError([Finding(str(path), str(error), "a whole JSON document")]) from error
    found = document.get("format") if isinstance(document, dict) else None
    if found != FORMAT:
        raise ValidationError([Finding(f"{path}: format", repr(found), repr(FORMAT))])
    version = document.get("format_version")
    if version != FORMAT_VERSION:
        raise ValidationError([Finding(f"{path}: format_version", repr(version), str(FORMAT_VERSION))])
    return document


def _checksum(body: dict[str, Any]) -> str:
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).hexdigest()
