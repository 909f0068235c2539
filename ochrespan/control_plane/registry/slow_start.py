"""Records when the slow start of each instance ends, so that later feed snapshots contain the remaining time.

Pure: the time is an argument, in seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import replace

from .changes import InstancesChange
from .records import InstanceRecord

MILLISECONDS = 1000.0


class SlowStartTimes:
    """The end of each instance's slow start, counted from the time at which its record was applied here."""

    def __init__(self) -> None:
        self._slow_start_ends_at: dict[str, float] = {}

    def record(self, change: InstancesChange, now: float) -> None:
        """Updates the times from an applied change.

        Only the first record of an instance sets the end: later records do not prolong the slow start.
        """
        for instance_id in change.removed:
            self._slow_start_ends_at.pop(instance_id, None)
        for record in change.upserted:
            if record.cold_remaining_ms > 0:
                self._slow_start_ends_at.setdefault(record.id, now + record.cold_remaining_ms / MILLISECONDS)

    def with_remaining_time(self, record: InstanceRecord, now: float) -> InstanceRecord:
        """Returns the record with the remaining time of its slow start."""
        remaining_ms = max(0.0, self._slow_start_ends_at.get(record.id, now) - now) * MILLISECONDS
        return record if remaining_ms == record.cold_remaining_ms else replace(record, cold_remaining_ms=remaining_ms)
