"""The latest changes of the configuration: which version, when, on top of which, and how much it changed."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

from .configuration import SECTIONS, ConfigurationChange

MAX_REMEMBERED_CHANGES = 256


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One change that was taken."""

    version: int
    builds_on: int
    kind: str  # of the order: a whole configuration or a patch
    received_ms: int  # Unix time at the controller that received it, 0 where that is not known; for display alone
    changed: Mapping[str, tuple[int, int]]  # by section: items added or replaced, items deleted


def record_of_change(change: ConfigurationChange, builds_on: int, kind: str, received_ms: int) -> ChangeRecord:
    """The record of a change that was taken."""
    sections = {name: getattr(change, name) for name in SECTIONS}
    changed = {name: (len(part.upserted), len(part.deleted)) for name, part in sections.items() if part}
    return ChangeRecord(change.version, builds_on, kind, received_ms, changed)


class ChangeHistory:
    """The records of the latest changes, oldest first; the same at every replica."""

    def __init__(self, fields: Iterable[Mapping[str, Any]] = ()) -> None:
        self._records = deque((ChangeRecord(**each) for each in fields), maxlen=MAX_REMEMBERED_CHANGES)

    def add(self, record: ChangeRecord) -> None:
        """Appends a change and forgets the oldest beyond the bound."""
        self._records.append(record)

    def fields(self) -> list[dict[str, Any]]:
        """The records as maps, for snapshots and answers."""
        return [asdict(record) for record in self._records]
