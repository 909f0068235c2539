"""The retry budget of this router over a sliding window.

Per window and service, each router may retry `ratio` times the number of its own first attempts, plus an equal
fraction of `slack`, the number of retries that all routers together may make whatever the traffic. The routers need not
communicate: the sum of their budgets is the budget of the fleet.
"""

from __future__ import annotations

from ..sliding_sum import SlidingSum

SAFETY_FACTOR = (
    0.85  # fraction of the budget that is used: killed routers have spent theirs, the router count may be outdated
)


class RetryBudget:
    """Counts first attempts and retries at one service."""

    def __init__(self, ratio: float, slack: float, window: float, now: float) -> None:
        self._ratio, self._slack, self._window = ratio, slack, window
        self._started_at = now
        self._first_attempts, self._retries = SlidingSum(), SlidingSum()

    def record_first_attempt(self, now: float) -> None:
        self._first_attempts.add(now, 1.0)
        if len(self._first_attempts.entries) % 256 == 0:
            self._first_attempts.total(now, self._window)  # removes expired entries

    def allows_retry(self, now: float, routers: int) -> bool:
        """Returns whether one more retry is within the budget."""
        # the slack grows over the first window: the process may be a restart of a router that has spent its fraction
        slack = self._slack / max(1, routers) * min(1.0, (now - self._started_at) / self._window)
        allowed = SAFETY_FACTOR * (slack + self._ratio * self._first_attempts.total(now, self._window))
        return self._retries.total(now, self._window) + 1 <= allowed

    def record_retry(self, now: float) -> None:
        self._retries.add(now, 1.0)
