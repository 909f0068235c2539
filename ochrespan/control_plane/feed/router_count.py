"""The number of live routers as a router uses it: an increase applies at once, a decrease after a delay. Pure."""

from __future__ import annotations

from collections import deque

DECREASE_DELAY_S = 4.0


class RouterCountFilter:
    """Delays decreases of the router count.

    A controller that has just started, or whose routers move to another one, temporarily reports too low a count.
    """

    def __init__(self) -> None:
        self._counts: deque[tuple[float, int]] = deque()  # time and count, oldest first; the counts decrease

    def update(self, count: int, now: float) -> int:
        """Records a reported count; returns the maximum of the last DECREASE_DELAY_S seconds."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while now - self._counts[0][0] > DECREASE_DELAY_S:
            self._counts.popleft()
        return self._counts[0][1]
