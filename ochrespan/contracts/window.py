"""A budget per hour or per day; windows begin at whole hours or days of UTC.

A request counts in the window in which it was admitted, no matter when it completes. If the clock steps back, the
current window stays in force, so that no window's quota is spent twice.
"""

from __future__ import annotations

from dataclasses import dataclass

from .fixed_point import MICROS_PER_S

HOUR, DAY = 3600 * MICROS_PER_S, 86400 * MICROS_PER_S
SPAN_NAMES = {HOUR: "hour", DAY: "day"}


@dataclass(slots=True, eq=False)
class Window:
    """One budget and its use in the current window, in pico units."""

    span: int  # microseconds
    quota: int
    number: int  # index of the current window since 1970
    spent: int = 0
    held: int = 0  # reserved for open requests that were admitted in this window
    reserved_earlier: int = 0  # reserved for open requests that were admitted in an earlier window

    @property
    def left(self) -> int:
        """The unused quota; negative if the quota was reduced below the spent amount."""
        return self.quota - self.spent - self.held

    def advance(self, now: int) -> None:
        """Begins a new window if the current one has ended."""
        number = now // self.span
        if number > self.number:
            self.number = number
            self.reserved_earlier += self.held
            self.held = self.spent = 0

    def reserve(self, amount: int) -> int:
        """Reserves an amount. Returns the window's number, to be passed to `charge`."""
        self.held += amount
        return self.number

    def charge(self, number: int, held: int, cost: int) -> None:
        """Ends a reservation made in window `number` and charges its actual cost, if that window is still current."""
        if number == self.number:
            self.held -= held
            self.spent += cost
        else:
            self.reserved_earlier -= held

    def reserved_until_end(self, rate: int, now: int) -> int:
        """The amount that reserves with a total of `rate` may need until the end of the window."""
        return rate * max(0, (self.number + 1) * self.span - now)

    def wait_us(self, amount: int, reserved_rate: int, now: int) -> int | None:
        """Microseconds until `amount` is left beyond what is withheld for `reserved_rate`; None: never."""
        if self.left - self.reserved_until_end(reserved_rate, now) >= amount:
            return 0
        if amount > self.quota - reserved_rate * self.span:
            return None
        until_end = max(1, (self.number + 1) * self.span - now)
        if reserved_rate and self.left >= amount:  # the withheld amount shrinks towards the end
            return min(until_end, until_end - (self.left - amount) // reserved_rate)
        return until_end
