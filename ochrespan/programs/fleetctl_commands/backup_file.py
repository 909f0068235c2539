"""A file with the control state that a fleet can be set up from again: the configuration, and which servers drain.

Servers register by themselves, so their records are kept for the operator to see and for `draining` alone.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.config.documents import CHECK_CONFIGURATION
from ochrespan.control_plane.registry.records import InstanceState

FORMAT = "ochrespan control state"
FORMAT_VERSION = 1
CHECKSUM_BYTES = 16


@dataclass(frozen=True, slots=True)
class Backup:
    """The contents of a file."""

    taken_at: str  # ISO 8601, as told by the clock of the machine that took it
    configuration: dict[str, Any]
    instances: list[dict[str, Any]]

    def drains(self, present: Iterable[dict[str, Any]]) -> list[str]:
        """Ids of servers that drained when this was taken and that are ready among the present ones."""
        draining = {each["id"] for each in self.instances if each["state"] == InstanceState.DRAINING}
        return [each["id"] for each in present if each["id"] in draining and each["state"] == InstanceState.READY]


def write_backup(path: Path, backup: Backup) -> None:
    """Writes the file whole or not at all; raises OSError."""
    body = {"taken_at": backup.taken_at, "configuration": backup.configuration, "instances": backup.instances}
    document = {"format": FORMAT, "format_version": FORMAT_VERSION, "checksum": _checksum(body), **body}
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "w") as file:
        json.dump(document, file, indent=2)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_folder(path.parent)


def read_backup(path: Path) -> Backup:
    """The backup in a file; raises ValidationError with what is wrong with it."""
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        raise ValidationError([Finding(str(path), str(error.strerror), "a readable file")]) from error
    except ValueError as error:
        raise ValidationError([Finding(str(path), str(error), "a whole JSON document")]) from error
    found = document.get("format") if isinstance(document, dict) else None
    if found != FORMAT:
        raise ValidationError([Finding(f"{path}: format", repr(found), repr(FORMAT))])
    if document.get("format_version") != FORMAT_VERSION:
        raise ValidationError(
            [Finding(f"{path}: format_version", repr(document.get("format_version")), str(FORMAT_VERSION))]
        )
    body = {name: document.get(name) for name in ("taken_at", "configuration", "instances")}
    if document.get("checksum") != _checksum(body):
        raise ValidationError([Finding(f"{path}: checksum", repr(document.get("checksum")), _checksum(body))])
    findings: list[Finding] = []
    CHECK_CONFIGURATION(body["configuration"], "configuration", findings)
    if findings:
        raise ValidationError([Finding(f"{path}: {each.where}", each.found, each.allowed) for each in findings])
    return Backup(**body)


def _checksum(body: dict[str, Any]) -> str:
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).hexdigest()


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
