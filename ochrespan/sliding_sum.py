"""A sum over a sliding span of time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class SlidingSum:
    """What was added within a sliding span of time."""

    entries: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now: float, amount: float) -> None:
        self.entries.append((now, amount))

    def total(self, now: float, window_s: float) -> float:
        while self.entries and self.entries[0][0] <= now - window_s:
            self.entries.popleft()
        return sum(amount for _, amount in self.entries)
