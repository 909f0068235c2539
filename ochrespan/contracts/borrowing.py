"""Borrowing of unused reserves, shared by weight.

A level's pool receives the rate that its level has beyond its children's reserves, and the reserve rate of each child
whose own bucket is full. It distributes this by weight among the children that recently asked for more than their
reserve. A pool without active borrowers passes its rate on to the parent's pool. A reserve is lent only while its
owner's bucket is full, so an owner that sends a request finds the full bucket, and lending stops with that request:
lent amounts are never reclaimed.

Distribution costs the same for any number of active borrowers: the pool keeps a running sum of the amount per unit of
weight, and a borrower collects its weight times the increase since it last collected (as in the fluid model of
generalized processor sharing; Parekh and Gallager, 1993). Amounts and times: see `fixed_point.py`.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from .fixed_point import MICROS_PER_S

WEIGHT_SCALE = 1 << 32  # fixed-point scale of the running sum
ACTIVE_PERIOD_US = 1 * MICROS_PER_S  # a borrower is active for this long after its last request


class TimerQueue:
    """Timers that run in order of time, at the next admission or completion after they are due."""

    def __init__(self) -> None:
        self._due: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = count()

    def call_at(self, due_at: int, callback: Callable[[int], None]) -> None:
        """Schedules a callback for the time `due_at`, in microseconds."""
        heapq.heappush(self._due, (due_at, next(self._sequence), callback))

    def run_due(self, now: int) -> None:
        """Runs all callbacks that are due."""
        while self._due and self._due[0][0] <= now:
            due_at, _, callback = heapq.heappop(self._due)
            callback(due_at)


@dataclass(slots=True, eq=False)
class Borrower:
    """One child's account with its parent's pool."""

    weight: int
    burst: int  # maximum of `credit`
    credit: int = 0  # collected and not yet borrowed
    distributed_seen: int = 0  # the pool's running sum when the child last collected


class BorrowingPool:
    """The amount that one level's children may borrow."""

    def __init__(
        self,
        timers: TimerQueue,
        burst: int,
        updated_at: int,
        parent: BorrowingPool | None = None,
        borrower: Borrower | None = None,
    ) -> None:
        """`burst`: maximum of `unassigned`. `borrower`: this pool's own account with the parent's pool."""
        self._timers, self.burst, self._updated_at = timers, burst, updated_at
        self._parent, self._borrower = parent, borrower
        self.rate = 0
        self.unassigned = 0  # available to the first borrower that asks
        # sum distributed per unit of weight; remainder of its last division; amount distributed but not collected
        self._distributed, self._remainder, self._unclaimed = 0, 0, 0
        self._active: OrderedDict[Borrower, int] = OrderedDict()  # time of the last request, oldest first
        self._active_weight = 0
        self.received = self.lent_out = self.passed_to_parent = self.discarded = 0  # totals since the start

    @property
    def balance(self) -> int:
        """All that the pool holds, collected by borrowers or not."""
        return self.unassigned + self._unclaimed + sum(borrower.credit for borrower in self._active)

    def _forwards_rate(self) -> bool:
        return not self._active and self._parent is not None

    def change_rate(self, delta: int, now: int) -> None:
        """Changes the inflow: a child starts or stops lending, or the level's own rate changes."""
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
        """Adds a single amount, available to the first borrower that asks."""
        self.received += amount
        self._add_unassigned(amount)

    def _collect(self, borrower: Borrower) -> None:
        """Credits the child with its share of what was distributed since it last collected."""
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
                if self._parent is not None:  # the inflow is no longer passed on
                    self._parent.change_rate(-self.rate, now)
                self._timers.call_at(now + ACTIVE_PERIOD_US, self._expire_inactive)
            self._active_weight += borrower.weight
            borrower.distributed_seen = self._distributed
        self._active[borrower] = now

    def _expire_inactive(self, now: int) -> None:
        """Removes borrowers without recent requests; after the last one, the inflow is passed on to the parent."""
        self._advance(now)
        while self._active and (first := next(iter(self._active.items())))[1] + ACTIVE_PERIOD_US <= now:
            borrower = first[0]
            self._collect(borrower)
            del self._active[borrower]
            self._active_weight -= borrower.weight
            leftover, borrower.credit = borrower.credit, 0
            self._add_unassigned(leftover)
        if self._active:
            self._timers.call_at(next(iter(self._active.values())) + ACTIVE_PERIOD_US, self._expire_inactive)
        else:
            leftover, self._unclaimed, self._remainder = self._unclaimed, 0, 0
            self._add_unassigned(leftover)
            if self._parent is not None:
                self._parent.change_rate(self.rate, now)

    def borrow(self, borrower: Borrower, wanted: int, now: int) -> int:
        """Lends as much of `wanted` as is available to the child; `return_unused` takes back what is not spent."""
        self._activate(borrower, now)
        self._collect(borrower)
        if borrower.credit + self.unassigned < wanted and self._parent is not None and self._borrower is not None:
            # via this pool, so that the level's share of the parent's pool is distributed by weight here, too
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
        """Takes back what a child borrowed and did not spend."""
        self.lent_out -= amount
        if borrower in self._active:
            self._credit(borrower, amount)
        else:
            self._add_unassigned(amount)

    def wait_us(self, borrower: Borrower, amount: int) -> int | None:
        """Approximate microseconds until the child's share has grown by `amount`; None: there is no inflow."""
        rate, active_weight, pool, member = self.rate, self._active_weight, self, borrower
        while not rate and pool._parent is not None and pool._borrower is not None:
            member, pool = pool._borrower, pool._parent
            rate, active_weight = pool.rate, pool._active_weight
        if not rate:
            return None
        return -(-amount * max(active_weight, member.weight) // (rate * member.weight))
