"""Until when instances that have just started are slow, for snapshots that are sent later. Pure."""

from __future__ import annotations

from dataclasses import replace

from .changes import InstancesChange
from .records import InstanceRecord

MILLISECONDS = 1000.0


class SlowStartTimes:
    """The end of each instance's cold time, counted from when its record was applied here."""

    def __init__(self) -> None:
        self._cold_until: dict[str, float] = {}

    def note(self, change: InstancesChange, now: float) -> None:
        """Takes over what a command changed. An instance is cold from its start only, so the first word holds."""
        for instance_id in change.removed:
            self._cold_until.pop(instance_id, None)
        for record in change.upserted:
            if record.cold_remaining_ms > 0:
                self._cold_until.setdefault(record.id, now + record.cold_remaining_ms / MILLISECONDS)

    def aged(self, record: InstanceRecord, now: float) -> InstanceRecord:
        """The record with what is left of its cold time."""
        left = max(0.0, self._cold_until.get(record.id, now) - now) * MILLISECONDS
        return record if left == record.cold_remaining_ms else replace(record, cold_remaining_ms=left)
