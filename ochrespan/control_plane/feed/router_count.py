"""The count of live routers as a router uses it: a rise counts at once, a fall after a while. Pure."""

from __future__ import annotations

from collections import deque

DECREASE_DELAY_S = 4.0


class RouterCountFilter:
    """Controllers that have just started, or that routers are leaving, tell too low a count for a while."""

    def __init__(self) -> None:
        self._told: deque[tuple[float, int]] = deque()  # falling counts, the latest last

    def told(self, count: int, now: float) -> int:
        """A controller tells a count; the highest one of the last seconds holds."""
        while self._told and self._told[-1][1] <= count:
            self._told.pop()
        self._told.append((now, count))
        while now - self._told[0][0] > DECREASE_DELAY_S:
            self._told.popleft()
        return self._told[0][1]
