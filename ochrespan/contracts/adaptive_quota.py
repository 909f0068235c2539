"""The fraction of a contract's rate that one front may use, when fronts share no state and receive uneven load.

Mode `even`: each front gets 1/n of the rate. The total never exceeds the budget; the fractions of idle fronts are
unused.

Mode `heard`: a front adapts its quota to what it spends and to what other fronts spend on the same volumes, as
reported in each response (`X-Served-Elsewhere`). Once a second, a front that refused requests, or that sees spending
above the budget, multiplies its quota by the square root of budget / total spending (by 2 while spending is below
half the budget), so that all fronts scale alike and the sum converges in a few steps for any number of fronts. After
refusals it also adds a small constant, so that a front that starts late gains on those with large quotas. A front
gives up what it does not use. This is only correct if every front that serves the team receives reports for all of the
team's volumes. Rates are units per second.
"""

from __future__ import annotations

from dataclasses import dataclass

UPDATE_INTERVAL_S = 1.0
SMOOTHING = 0.5  # weight of the newest sample in the moving averages
GROWTH = 0.02  # of the even quota, added in each update after refusals
MIN_FRACTION = 0.1  # of the even quota; lower bound, as reports of other fronts may be late
MAX_CHANGE = 2.0  # largest factor of change in one update
DECAY = 0.3  # fraction of the unused quota given up in each update
HEADROOM = 1.25  # quota over spending that a front without refusals keeps


@dataclass(slots=True)
class AdaptiveQuota:
    """One front's quota of one contract's rate; `scale` is its multiple of the even quota."""

    rate: float  # of the contract, over all fronts
    fronts: int
    scale: float = 1.0
    spent: float = 0.0  # by this front; moving average
    spent_elsewhere: float = 0.0  # by other fronts; moving average
    _spent_now: float = 0.0  # since the last update
    _spent_elsewhere_now: float = 0.0
    _refused: bool = False
    _updated_at: float | None = None

    def record_spent(self, units: float) -> None:
        """Records units that this front has served."""
        self._spent_now += units

    def record_spent_elsewhere(self, units: float) -> None:
        """Records units of the same volumes that other fronts have served."""
        self._spent_elsewhere_now += units

    def record_refusal(self) -> None:
        """Records that this front refused a request for lack of budget."""
        self._refused = True

    def update(self, now: float) -> float | None:
        """Returns the new scale if the update interval has passed, else None."""
        if self._updated_at is None:
            self._updated_at = now
        elapsed = now - self._updated_at
        if elapsed < UPDATE_INTERVAL_S:
            return None
        self._updated_at = now
        self.spent += SMOOTHING * (self._spent_now / elapsed - self.spent)
        self.spent_elsewhere += SMOOTHING * (self._spent_elsewhere_now / elapsed - self.spent_elsewhere)
        even, total = self.rate / self.fronts, self.spent + self.spent_elsewhere
        quota = self.scale * even
        if total > self.rate or (self._refused and total > 0):
            # Below half of the budget all fronts may double at once. Near the budget, the square root keeps fronts
            # from overshooting when all react in the same update. The target leaves room for GROWTH, added below.
            ratio = self.rate * (1 - 2 * GROWTH) / total
            quota = (
                quota * (min(MAX_CHANGE, ratio) if ratio > MAX_CHANGE else max(1 / MAX_CHANGE, ratio**0.5))
                + GROWTH * even * self._refused
            )
        elif not self._refused:
            target = max(min(quota, even), min(quota, HEADROOM * self.spent))
            quota += DECAY * (target - quota)
        self.scale = min(self.rate, max(MIN_FRACTION * even, quota)) / even
        self._spent_now = self._spent_elsewhere_now = 0.0
        self._refused = False
        return self.scale
