"""This router's part of the budget of attempts beyond the first, over a sliding window.

Each router may spend a share of its own first attempts, and an even part of the slack. Both add up over all routers
without their talking: the sum of the shares is the share of the sum, and the parts make one slack.
"""

from __future__ import annotations

from ..sliding_sum import Recent

SAFETY = 0.85  # part of the budget that is used: routers that were killed have spent theirs, counts may lag


class RetryBudget:
    """Counts the attempts at one service."""

    def __init__(self, ratio: float, slack: float, window: float, now: float) -> None:
        self._ratio, self._slack, self._window = ratio, slack, window
        self._started = now
        self._first, self._further = Recent(), Recent()

    def record_first(self, now: float) -> None:
        self._first.add(now, 1.0)
        if len(self._first.items) % 256 == 0:
            self._first.total(now, self._window)  # forgets what is past

    def has_room(self, now: float, routers: int) -> bool:
        """Whether one more attempt beyond the first may be made now."""
        # a router that has just started may be a restarted one, whose earlier life has spent its part of the slack
        slack = self._slack / max(1, routers) * min(1.0, (now - self._started) / self._window)
        allowed = SAFETY * (slack + self._ratio * self._first.total(now, self._window))
        return self._further.total(now, self._window) + 1 <= allowed

    def spend(self, now: float) -> None:
        self._further.add(now, 1.0)
