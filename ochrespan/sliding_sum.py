"""A sum over a sliding time window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class SlidingSum:
    """Sum of the amounts added within a sliding time window."""

    entries: deque[tuple[float, float]] = field(default_factory=deque)  # time and amount, oldest first

    def add(self, now: float, amount: float) -> None:
        self.entries.append((now, amount))

    def total(self, now: float, window_s: float) -> float:
        """Returns the sum over the window that ends at `now`, and drops older entries."""
        while self.entries and self.entries[0][0] <= now - window_s:
            self.entries.popleft()
        return sum(amount for _, amount in self.entries)
