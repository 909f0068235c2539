"""What nobody uses of their reserves, lent by weight.

A level's pool gets what its level has beyond its children's reserves, and the reserve of each child whose own bucket
is full. It deals this out by weight among the children that lately asked for more than they have. A pool that nobody
asks passes all on to its parent's. A reserve is lent only while its owner's bucket is full, so an owner that asks
finds the whole bucket, and lending stops with its first request: what is lent is never called back from anybody.

Dealing costs the same however many children ask: the pool keeps a running sum of what one weight has got since the
start, and a child that asks is given its weight times what came since it last did (as in the fluid model of
generalized processor sharing; Parekh and Gallager, 1993). Amounts and times: see `fixed_point.py`.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from .fixed_point import MICROS_PER_S

WEIGHT_SCALE = 1 << 32  # parts of the running sum
ACTIVE_US = 1 * MICROS_PER_S  # so long after its last ask a child is dealt a share


class TimerQueue:
    """What has to happen at a point of time, done in order when the next admission or settlement comes."""

    def __init__(self) -> None:
        self._due: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = count()

    def call_at(self, due_at: int, callback: Callable[[int], None]) -> None:
        """Calls back once `when` has come, in microseconds."""
        heapq.heappush(self._due, (due_at, next(self._sequence), callback))

    def run_due(self, now: int) -> None:
        """Makes all calls that are due."""
        while self._due and self._due[0][0] <= now:
            due_at, _, callback = heapq.heappop(self._due)
            callback(due_at)


@dataclass(slots=True, eq=False)
class Borrower:
    """What one child has of its parent's pool."""

    weight: int
    burst: int
    credit: int = 0
    distributed_seen: int = 0  # the pool's running sum when the child was last given its part


class BorrowingPool:
    """What one level's children may borrow."""

    def __init__(
        self,
        timers: TimerQueue,
        burst: int,
        updated_at: int,
        parent: BorrowingPool | None = None,
        borrower: Borrower | None = None,
    ) -> None:
        """`burst`: the most that is unassigned at a time. `share`: this pool's own in its parent."""
        self._timers, self.burst, self._updated_at = timers, burst, updated_at
        self._parent, self._borrower = parent, borrower
        self.rate = 0
        self.unassigned = 0  # for whoever comes first
        self._distributed, self._remainder, self._unclaimed = 0, 0, 0
        self._active: OrderedDict[Borrower, int] = OrderedDict()  # and when last, the longest ago first
        self._active_weight = 0
        self.received = self.lent_out = self.passed_to_parent = self.discarded = 0  # totals since the start

    @property
    def balance(self) -> int:
        """All that the pool holds."""
        return self.unassigned + self._unclaimed + sum(borrower.credit for borrower in self._active)

    def _forwards_rate(self) -> bool:
        return not self._active and self._parent is not None

    def change_rate(self, delta: int, now: int) -> None:
        """A child begins or ends to lend, or the level's own part changes."""
        self._advance(now)
        self.rate += delta
        if self._forwards_rate():
            self._parent.change_rate(delta, now)  # type: ignore[union-attr]

    def _advance(self, now: int) -> None:
        received, self._updated_at = self.rate * max(0, now - self._updated_at), max(now, self._updated_at)
        if received and not self._forwards_rate():
            self._distribute(received)

    def _distribute(self, amount: int) -> None:
        self.received += amount
        if not self._active:
            self._add_unassigned(amount)
            return
        self._unclaimed += amount
        per_weight, self._remainder = divmod(amount * WEIGHT_SCALE + self._remainder, self._active_weight)
        self._distributed += per_weight

    def _add_unassigned(self, amount: int) -> None:
        self.unassigned += amount
        excess = max(0, self.unassigned - self.burst)
        self.unassigned -= excess
        if excess and self._parent is not None:
            self.passed_to_parent += excess
            self._parent.deposit(excess)
        else:
            self.discarded += excess

    def deposit(self, amount: int) -> None:
        """Something beyond the steady flow, for whoever comes first."""
        self.received += amount
        self._add_unassigned(amount)

    def _collect(self, borrower: Borrower) -> None:
        """The child's part of all that was dealt since it last asked."""
        due = borrower.weight * (self._distributed - borrower.distributed_seen) // WEIGHT_SCALE
        borrower.distributed_seen = self._distributed
        self._unclaimed -= due
        self._credit(borrower, due)

    def _credit(self, borrower: Borrower, amount: int) -> None:
        borrower.credit += amount
        excess = max(0, borrower.credit - borrower.burst)
        borrower.credit -= excess
        if excess:
            self._add_unassigned(excess)

    def _activate(self, borrower: Borrower, now: int) -> None:
        self._advance(now)
        if borrower in self._active:
            self._active.move_to_end(borrower)
        else:
            if not self._active:
                if self._parent is not None:  # from here on the flow stays here
                    self._parent.change_rate(-self.rate, now)
                self._timers.call_at(now + ACTIVE_US, self._expire_inactive)
            self._active_weight += borrower.weight
            borrower.distributed_seen = self._distributed
        self._active[borrower] = now

    def _expire_inactive(self, now: int) -> None:
        """Children that have not asked for a while; the last one to go lets the flow pass on."""
        self._advance(now)
        while self._active and (first := next(iter(self._active.items())))[1] + ACTIVE_US <= now:
            borrower = first[0]
            self._collect(borrower)
            del self._active[borrower]
            self._active_weight -= borrower.weight
            leftover, borrower.credit = borrower.credit, 0
            self._add_unassigned(leftover)
        if self._active:
            self._timers.call_at(next(iter(self._active.values())) + ACTIVE_US, self._expire_inactive)
        else:
            leftover, self._unclaimed, self._remainder = self._unclaimed, 0, 0
            self._add_unassigned(leftover)
            if self._parent is not None:
                self._parent.change_rate(self.rate, now)

    def borrow(self, borrower: Borrower, wanted: int, now: int) -> int:
        """As much of `wanted` as the child's part allows; what is not used goes back by `put_back`."""
        self._activate(borrower, now)
        self._collect(borrower)
        if borrower.credit + self.unassigned < wanted and self._parent is not None and self._borrower is not None:
            # through the pool, so that the level's part of its parent's pool is dealt out by weight here too
            borrowed = self._parent.borrow(self._borrower, wanted - borrower.credit - self.unassigned, now)
            if borrowed:
                self._distribute(borrowed)
                self._collect(borrower)
        from_credit = min(wanted, borrower.credit)
        borrower.credit -= from_credit
        from_unassigned = min(wanted - from_credit, self.unassigned)
        self.unassigned -= from_unassigned
        self.lent_out += from_credit + from_unassigned
        return from_credit + from_unassigned

    def return_unused(self, borrower: Borrower, amount: int) -> None:
        """Returns what a child took and has not used."""
        self.lent_out -= amount
        if borrower in self._active:
            self._credit(borrower, amount)
        else:
            self._add_unassigned(amount)

    def wait_us(self, borrower: Borrower, amount: int) -> int | None:
        """About how long until the child's part has grown by so much; None: nothing flows in."""
        rate, active_weight, pool, member = self.rate, self._active_weight, self, borrower
        while not rate and pool._parent is not None and pool._borrower is not None:
            member, pool = pool._borrower, pool._parent
            rate, active_weight = pool.rate, pool._active_weight
        if not rate:
            return None
        return -(-amount * max(active_weight, member.weight) // (rate * member.weight))
