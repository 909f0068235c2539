"""A token bucket with escrow. Amounts and times: see `fixed_point.py`.

What flows in is granted; it is left until it is held for a request, and held until the request ends, when what it
cost is spent and the rest is left again. So granted = spent + held + left at any moment.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class TokenBucket:
    """One token bucket."""

    rate: int
    burst: int  # the most that is left at a time
    updated_at: int
    left: int = 0
    held: int = 0
    spent: int = 0
    granted: int = 0

    def refill(self, now: int) -> None:
        """Lets in what has come since; a clock that steps back lets nothing in."""
        if now > self.updated_at:
            added = min(self.rate * (now - self.updated_at), self.burst - self.left)
            self.updated_at = now
            if added > 0:
                self.left += added
                self.granted += added

    def hold(self, amount: int) -> None:
        """Moves an amount from what is left to what is held; more than is left makes that negative."""
        self.left -= amount
        self.held += amount

    def charge(self, held: int, cost: int) -> int:
        """Ends a hold with what it did cost. Returns what no longer fits in: that was never granted."""
        self.held -= held
        self.spent += cost
        self.left += held - cost
        excess = max(0, self.left - self.burst)
        self.left -= excess
        self.granted -= excess
        return excess

    def resize(self, rate: int, burst: int, now: int) -> None:
        """From now on; what is held stays held, what is left keeps to the new burst."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        excess = max(0, self.left - burst)
        self.left -= excess
        self.granted -= excess

    def wait_us(self, amount: int) -> int | None:
        """Microseconds until so much is left if nobody else asks; None: it never will be."""
        if self.left >= amount:
            return 0
        if not self.rate or amount > self.burst:
            return None
        return -((self.left - amount) // self.rate)

    def full_at(self) -> int | None:
        """When the bucket will be full if nobody asks; None: never."""
        if self.left >= self.burst:
            return self.updated_at
        return self.updated_at - (self.left - self.burst) // self.rate if self.rate else None
