"""A budget over a long window, an hour or a day, that begins at whole hours or days of UTC.

A request counts in the window in which it was admitted, whenever it ends. A clock that steps back stays in the window
it was in, so that no window is spent twice.
"""

from __future__ import annotations

from dataclasses import dataclass

from .fixed_point import MICROS_PER_S

HOUR, DAY = 3600 * MICROS_PER_S, 86400 * MICROS_PER_S
SPAN_NAMES = {HOUR: "hour", DAY: "day"}


@dataclass(slots=True, eq=False)
class Window:
    """One budget and what has been used of it in the current window."""

    span: int
    quota: int
    number: int  # of this window since 1970
    spent: int = 0
    held: int = 0
    held_earlier: int = 0  # held by requests that were admitted in an earlier window

    @property
    def left(self) -> int:
        """Below 0 once the quota has been cut under what was spent."""
        return self.quota - self.spent - self.held

    def advance(self, now: int) -> None:
        """Begins a new window where the clock has passed the end of the last."""
        number = now // self.span
        if number > self.number:
            self.number = number
            self.held_earlier += self.held
            self.held = self.spent = 0

    def hold(self, amount: int) -> int:
        """Returns the window's number, which its end has to name."""
        self.held += amount
        return self.number

    def charge(self, number: int, held: int, cost: int) -> None:
        """Ends a hold that was made in the window of that number with what it did cost."""
        if number == self.number:
            self.held -= held
            self.spent += cost
        else:
            self.held_earlier -= held

    def reserved_until_end(self, rate: int, now: int) -> int:
        """What reserves of that rate may still need until the window's end."""
        return rate * max(0, (self.number + 1) * self.span - now)

    def wait_us(self, amount: int, reserved_rate: int, now: int) -> int | None:
        """Microseconds until there is so much beside what is kept back at that rate; None: there never will be."""
        if self.left - self.reserved_until_end(reserved_rate, now) >= amount:
            return 0
        if amount > self.quota - reserved_rate * self.span:
            return None
        until_end = max(1, (self.number + 1) * self.span - now)
        if reserved_rate and self.left >= amount:  # what is kept back shrinks towards the end
            return min(until_end, until_end - (self.left - amount) // reserved_rate)
        return until_end
