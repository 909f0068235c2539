"""This router's part of the budget of attempts beyond the first, over a sliding window.

Each router may spend a share of its own first attempts, and an even part of the slack. Both add up over all routers
without their talking: the sum of the shares is the share of the sum, and the parts make one slack.
"""

from __future__ import annotations

from ..sliding_sum import SlidingSum

SAFETY_FACTOR = 0.85  # part of the budget that is used: routers that were killed have spent theirs, counts may lag


class RetryBudget:
    """Counts the attempts at one service."""

    def __init__(self, ratio: float, slack: float, window: float, now: float) -> None:
        self._ratio, self._slack, self._window = ratio, slack, window
        self._started_at = now
        self._first_attempts, self._retries = SlidingSum(), SlidingSum()

    def record_first_attempt(self, now: float) -> None:
        self._first_attempts.add(now, 1.0)
        if len(self._first_attempts.entries) % 256 == 0:
            self._first_attempts.total(now, self._window)  # forgets what is past

    def allows_retry(self, now: float, routers: int) -> bool:
        """Whether one more attempt beyond the first may be made now."""
        # a router that has just started may be a restarted one, whose earlier life has spent its part of the slack
        slack = self._slack / max(1, routers) * min(1.0, (now - self._started_at) / self._window)
        allowed = SAFETY_FACTOR * (slack + self._ratio * self._first_attempts.total(now, self._window))
        return self._retries.total(now, self._window) + 1 <= allowed

    def record_retry(self, now: float) -> None:
        self._retries.add(now, 1.0)
