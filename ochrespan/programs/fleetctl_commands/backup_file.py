"""A backup of the control state, from which a cluster can be set up again: the configuration and the instances.

Instances register by themselves. Their records are in the backup for operators to read, and for restoring `draining`.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.config.documents import CHECK_CONFIGURATION
from ochrespan.control_plane.registry.records import InstanceState

from .files import read_file, replace_file

FORMAT = "ochrespan control state"
FORMAT_VERSION = 1
CHECKSUM_BYTES = 16


@dataclass(frozen=True, slots=True)
class Backup:
    """The contents of a backup file.

    Attributes:
        taken_at: ISO 8601, by the clock of the machine that ran `fleetctl`.
        configuration: as `GET /api/config` gives it.
        instances: as `GET /api/status` lists them.
    """

    taken_at: str
    configuration: dict[str, Any]
    instances: list[dict[str, Any]]

    def instances_to_drain(self, registered: Iterable[dict[str, Any]]) -> list[str]:
        """Ids of instances that were draining in this backup and are ready among those registered now."""
        draining = {each["id"] for each in self.instances if each["state"] == InstanceState.DRAINING}
        return [each["id"] for each in registered if each["id"] in draining and each["state"] == InstanceState.READY]


def write_backup(path: Path, backup: Backup) -> None:
    """Writes a backup file atomically; raises OSError."""
    body = {"taken_at": backup.taken_at, "configuration": backup.configuration, "instances": backup.instances}
    document = {"format": FORMAT, "format_version": FORMAT_VERSION, "checksum": _checksum(body), **body}
    replace_file(path, json.dumps(document, indent=2))


def read_backup(path: Path) -> Backup:
    """Reads and validates a backup file; raises ValidationError."""
    document = _read_document(path)
    body: dict[str, Any] = {name: document.get(name) for name in ("taken_at", "configuration", "instances")}
    checksum = _checksum(body)
    if document.get("checksum") != checksum:
        raise ValidationError([Finding(f"{path}: checksum", repr(document.get("checksum")), checksum)])
    findings: list[Finding] = []
    CHECK_CONFIGURATION(body["configuration"], "configuration", findings)
    if findings:
        raise ValidationError([Finding(f"{path}: {each.where}", each.found, each.allowed) for each in findings])
    return Backup(**body)


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
