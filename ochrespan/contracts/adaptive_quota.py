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

STEP = 1.0  # s between moves
SMOOTH = 0.5  # part of the newest second in what is heard and spent
GROW = 0.02  # of the even part, added in each step with refusals
FLOOR = 0.1  # of the even part, that every front keeps: what is heard may be late
MOST = 2.0  # times, that a part changes by in one step
FADE = 0.3  # of what is not used, given up in each step
LOOSE = 1.25  # times what is spent, that a front without refusals keeps


@dataclass(slots=True)
class FrontShare:
    """One front's part of one contract's rate, as a multiple of the even part."""

    rate: float  # the whole budget
    fronts: int
    scale: float = 1.0
    spent: float = 0.0  # smoothed
    heard: float = 0.0
    _spent_now: float = 0.0
    _heard_now: float = 0.0
    _refused: bool = False
    _stepped_at: float | None = None

    def note_spent(self, units: float) -> None:
        """This front has served so many units."""
        self._spent_now += units

    def note_heard(self, units: float) -> None:
        """Other fronts have served so many units of the same volumes."""
        self._heard_now += units

    def note_refused(self) -> None:
        """This front had to refuse for want of budget."""
        self._refused = True

    def step(self, now: float) -> float | None:
        """Once a second the new scale; else None."""
        if self._stepped_at is None:
            self._stepped_at = now
        span = now - self._stepped_at
        if span < STEP:
            return None
        self._stepped_at = now
        self.spent += SMOOTH * (self._spent_now / span - self.spent)
        self.heard += SMOOTH * (self._heard_now / span - self.heard)
        even, whole = self.rate / self.fronts, self.spent + self.heard
        part = self.scale * even
        if whole > self.rate or (self._refused and whole > 0):
            # while all use less than half, all may double at once; near the budget the root lets no front chase
            # what the others change in the same step. GROW is added below: what is aimed at is as much less
            aim = self.rate * (1 - 2 * GROW) / whole
            part = part * (min(MOST, aim) if aim > MOST else max(1 / MOST, aim**0.5)) + GROW * even * self._refused
        elif not self._refused:
            wanted = max(min(part, even), min(part, LOOSE * self.spent))
            part += FADE * (wanted - part)
        self.scale = min(self.rate, max(FLOOR * even, part)) / even
        self._spent_now = self._heard_now = 0.0
        self._refused = False
        return self.scale
