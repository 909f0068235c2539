"""Records of the latest configuration changes: version, previous version, time and number of changed items."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

from .configuration import SECTIONS, ConfigurationChange

MAX_REMEMBERED_CHANGES = 256


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change. The field names are part of snapshots and of JSON responses.

    Attributes:
        version: The version that the change created.
        builds_on: The previous version.
        kind: A value of `ConfigCommandKind`, or RESTORE_KIND.
        received_ms: Unix time in milliseconds at the controller that received it, 0 if unknown; for display alone.
        changed: By section, the number of items added or replaced and of items deleted.
    """

    version: int
    builds_on: int
    kind: str
    received_ms: int
    changed: Mapping[str, tuple[int, int]]


def make_change_record(change: ConfigurationChange, builds_on: int, kind: str, received_ms: int) -> ChangeRecord:
    """Builds the record of an accepted change; `received_ms` is Unix time in milliseconds."""
    sections = {name: getattr(change, name) for name in SECTIONS}
    changed = {name: (len(section.upserted), len(section.deleted)) for name, section in sections.items() if section}
    return ChangeRecord(change.version, builds_on, kind, received_ms, changed)


class ChangeHistory:
    """The records of the latest `MAX_REMEMBERED_CHANGES` changes, oldest first; the same at every replica."""

    def __init__(self, fields: Iterable[Mapping[str, Any]] = ()) -> None:
        self._records = deque((ChangeRecord(**each) for each in fields), maxlen=MAX_REMEMBERED_CHANGES)

    def add(self, record: ChangeRecord) -> None:
        """Appends a record; drops the oldest one beyond `MAX_REMEMBERED_CHANGES`."""
        self._records.append(record)

    def fields(self) -> list[dict[str, Any]]:
        """Returns the records as dictionaries, for snapshots and responses."""
        return [asdict(record) for record in self._records]
