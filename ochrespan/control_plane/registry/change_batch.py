"""Merges changes of one instance shard, so that they are sent to the routers as one. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from .changes import InstancesChange
from .records import InstanceRecord


@dataclass(slots=True)
class ChangeBatch:
    """The latest record of each changed instance; None for a removed one."""

    offset: int = 0  # log index of the latest change
    _latest: dict[str, InstanceRecord | None] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self._latest)

    def add(self, offset: int, change: InstancesChange) -> None:
        """Merges another change; `offset` is its index in the shard's log, above that of all earlier ones."""
        self.offset = offset
        for instance_id in change.removed:
            self._latest[instance_id] = None
        for record in change.upserted:
            self._latest[record.id] = record

    def take(self) -> InstancesChange:
        """Returns the merged change and empties the batch."""
        upserted = tuple(record for record in self._latest.values() if record is not None)
        removed = tuple(instance_id for instance_id, record in self._latest.items() if record is None)
        self._latest.clear()
        return InstancesChange(upserted, removed)
