"""Detects that this controller's applied state lags behind that of another one. Pure: the time is an argument.

A replica whose disk hangs may still be in contact with its group's majority while it applies nothing new, so the age of
the quorum alone does not show that its state is stale.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _MissingOffset:
    """An offset that another controller has applied and this one has not."""

    offset: int
    since: float  # when it was reported


class LagDetector:
    """Compares the applied offsets of other controllers with this one's. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._missing_offsets: dict[int, _MissingOffset] = {}  # by shard: the first offset that was found missing here

    def record_offsets(self, offsets: Mapping[int, int], applied: Mapping[int, int], now: float) -> None:
        """Records the offsets that another controller has reported.

        Args:
            offsets: By shard, the index up to which the other controller has applied the log.
            applied: By shard, the index up to which this controller has applied the log.
            now: Seconds of the monotonic clock.
        """
        for shard, offset in offsets.items():
            if offset > applied.get(shard, 0) and shard not in self._missing_offsets:
                self._missing_offsets[shard] = _MissingOffset(offset, now)

    def lags(self, applied: Mapping[int, int], now: float) -> dict[int, float]:
        """Seconds for which this controller has lagged, by shard; 0 for a shard that is up to date."""
        for shard, missing in list(self._missing_offsets.items()):
            if applied.get(shard, 0) >= missing.offset:
                del self._missing_offsets[shard]
        return {
            shard: now - self._missing_offsets[shard].since if shard in self._missing_offsets else 0.0
            for shard in applied
        }
