"""Notices that this controller's state stays behind that of another. Pure: time is an argument.

A replica whose disk hangs may still hear of its group's majority, while it applies nothing that is new.
"""

from __future__ import annotations

from collections.abc import Mapping


class LagDetector:
    """What other controllers have applied that this one has not, and since when that is known."""

    def __init__(self) -> None:
        self._behind: dict[int, tuple[int, float]] = {}  # by shard: an offset, and since when it is missing here

    def told(self, offsets: Mapping[int, int], applied: Mapping[int, int], now: float) -> None:
        """Another controller has applied up to `offsets`, this one up to `applied`."""
        for shard, offset in offsets.items():
            if offset > applied.get(shard, 0) and shard not in self._behind:
                self._behind[shard] = (offset, now)

    def lags(self, applied: Mapping[int, int], now: float) -> dict[int, float]:
        """By shard, for how long this controller has been behind; 0 where it is not."""
        for shard, (offset, _) in list(self._behind.items()):
            if applied.get(shard, 0) >= offset:
                del self._behind[shard]
        return {shard: now - self._behind[shard][1] if shard in self._behind else 0.0 for shard in applied}
