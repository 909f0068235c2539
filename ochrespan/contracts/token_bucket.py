"""A token bucket that reserves amounts for requests in flight. Amounts and times: see `fixed_point.py`.

Refilled tokens count as granted and as left. Tokens reserved for a request count as held until it completes; then its
cost counts as spent and the remainder as left again. So granted = spent + held + left at any moment.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class TokenBucket:
    """One token bucket, in pico units or pico attempts."""

    rate: int  # pico per microsecond
    burst: int  # maximum of `left`
    updated_at: int  # microseconds
    left: int = 0
    held: int = 0  # reserved for open requests
    spent: int = 0
    granted: int = 0

    def refill(self, now: int) -> None:
        """Adds the tokens accrued since the last refill; none if the clock has stepped back."""
        if now > self.updated_at:
            added = min(self.rate * (now - self.updated_at), self.burst - self.left)
            self.updated_at = now
            if added > 0:
                self.left += added
                self.granted += added

    def reserve(self, amount: int) -> None:
        """Moves an amount from `left` to `held`; `left` may become negative."""
        self.left -= amount
        self.held += amount

    def charge(self, held: int, cost: int) -> int:
        """Ends a reservation and charges its actual cost. Returns the overflow above `burst`, which is not granted."""
        self.held -= held
        self.spent += cost
        self.left += held - cost
        excess = max(0, self.left - self.burst)
        self.left -= excess
        self.granted -= excess
        return excess

    def resize(self, rate: int, burst: int, now: int) -> None:
        """Changes rate and burst. Held amounts stay; `left` is cut to the new burst."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        excess = max(0, self.left - burst)
        self.left -= excess
        self.granted -= excess

    def wait_us(self, amount: int) -> int | None:
        """Microseconds until `amount` is left if there are no other requests; None: never."""
        if self.left >= amount:
            return 0
        if not self.rate or amount > self.burst:
            return None
        return -((self.left - amount) // self.rate)

    def full_at(self) -> int | None:
        """Time at which the bucket is full if there are no further requests; None: never."""
        if self.left >= self.burst:
            return self.updated_at
        return self.updated_at - (self.left - self.burst) // self.rate if self.rate else None
