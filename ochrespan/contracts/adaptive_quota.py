"""Which part of a budget a front may use, when fronts share nothing and use it unevenly.

`even`: each has one part of as many as there are fronts. Never more than the budget in all, and as much less as the
fronts that are idle leave.

`heard`: a front's part follows what it spends and what it hears, with each answer, that others spent for the same
volumes (`X-Served-Elsewhere`). Once a second a front that had to refuse moves its part by the root of budget over
what all spend (twice as much while that is less than half), so that all fronts scale alike and the sum converges in a
few steps at any number of fronts; a little is added as well, so that a front that comes late grows against those that
have much; what a front does not use it gives up. Only right where every front that serves the team hears of all its
volumes. Figures are units a second.
"""

from __future__ import annotations

from dataclasses import dataclass

UPDATE_INTERVAL_S = 1.0  # s between moves
SMOOTHING = 0.5  # part of the newest second in what is heard and spent
GROWTH = 0.02  # of the even part, added in each step with refusals
MIN_FRACTION = 0.1  # of the even part, that every front keeps: what is heard may be late
MAX_CHANGE = 2.0  # times, that a part changes by in one step
DECAY = 0.3  # of what is not used, given up in each step
HEADROOM = 1.25  # times what is spent, that a front without refusals keeps


@dataclass(slots=True)
class AdaptiveQuota:
    """One front's part of one contract's rate, as a multiple of the even part."""

    rate: float  # the whole budget
    fronts: int
    scale: float = 1.0
    spent: float = 0.0  # smoothed
    spent_elsewhere: float = 0.0
    _spent_now: float = 0.0
    _spent_elsewhere_now: float = 0.0
    _refused: bool = False
    _updated_at: float | None = None

    def record_spent(self, units: float) -> None:
        """This front has served so many units."""
        self._spent_now += units

    def record_spent_elsewhere(self, units: float) -> None:
        """Other fronts have served so many units of the same volumes."""
        self._spent_elsewhere_now += units

    def record_refusal(self) -> None:
        """This front had to refuse for want of budget."""
        self._refused = True

    def update(self, now: float) -> float | None:
        """Once a second the new scale; else None."""
        if self._updated_at is None:
            self._updated_at = now
        elapsed = now - self._updated_at
        if elapsed < UPDATE_INTERVAL_S:
            return None
        self._updated_at = now
        self.spent += SMOOTHING * (self._spent_now / elapsed - self.spent)
        self.spent_elsewhere += SMOOTHING * (self._spent_elsewhere_now / elapsed - self.spent_elsewhere)
        even, total = self.rate / self.fronts, self.spent + self.spent_elsewhere
        share = self.scale * even
        if total > self.rate or (self._refused and total > 0):
            # while all use less than half, all may double at once; near the budget the root lets no front chase
            # what the others change in the same step. GROW is added below: what is aimed at is as much less
            ratio = self.rate * (1 - 2 * GROWTH) / total
            share = (
                share * (min(MAX_CHANGE, ratio) if ratio > MAX_CHANGE else max(1 / MAX_CHANGE, ratio**0.5))
                + GROWTH * even * self._refused
            )
        elif not self._refused:
            target = max(min(share, even), min(share, HEADROOM * self.spent))
            share += DECAY * (target - share)
        self.scale = min(self.rate, max(MIN_FRACTION * even, share)) / even
        self._spent_now = self._spent_elsewhere_now = 0.0
        self._refused = False
        return self.scale
