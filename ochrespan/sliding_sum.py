"""A sum over a sliding span of time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Recent:
    """What was added within a sliding span of time."""

    items: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now: float, amount: float) -> None:
        self.items.append((now, amount))

    def total(self, now: float, span: float) -> float:
        while self.items and self.items[0][0] <= now - span:
            self.items.popleft()
        return sum(amount for _, amount in self.items)
