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

from .fixed_point import MICROS

SCALE = 1 << 32  # parts of the running sum
ASKING = 1 * MICROS  # so long after its last ask a child is dealt a share


class TimerQueue:
    """What has to happen at a point of time, done in order when the next admission or settlement comes."""

    def __init__(self) -> None:
        self._due: list[tuple[int, int, Callable[[int], None]]] = []
        self._numbers = count()

    def at(self, when: int, call: Callable[[int], None]) -> None:
        """Calls back once `when` has come, in microseconds."""
        heapq.heappush(self._due, (when, next(self._numbers), call))

    def run(self, now: int) -> None:
        """Makes all calls that are due."""
        while self._due and self._due[0][0] <= now:
            when, _, call = heapq.heappop(self._due)
            call(when)


@dataclass(slots=True, eq=False)
class Share:
    """What one child has of its parent's pool."""

    weight: int
    burst: int
    credit: int = 0
    seen: int = 0  # the pool's running sum when the child was last given its part


class LendingPool:
    """What one level's children may borrow."""

    def __init__(
        self, timers: TimerQueue, burst: int, at: int, parent: LendingPool | None = None, share: Share | None = None
    ) -> None:
        """`burst`: the most that is unassigned at a time. `share`: this pool's own in its parent."""
        self._timers, self.burst, self._at = timers, burst, at
        self._parent, self._share = parent, share
        self.rate = 0
        self.unassigned = 0  # for whoever comes first
        self._dealt, self._rest, self._unclaimed = 0, 0, 0
        self._asking: OrderedDict[Share, int] = OrderedDict()  # and when last, the longest ago first
        self._weights = 0
        self.came = self.taken = self.passed = self.lost = 0  # all that ever did, for the accounts

    @property
    def stock(self) -> int:
        """All that the pool holds."""
        return self.unassigned + self._unclaimed + sum(share.credit for share in self._asking)

    def _passing(self) -> bool:
        return not self._asking and self._parent is not None

    def change_rate(self, by: int, now: int) -> None:
        """A child begins or ends to lend, or the level's own part changes."""
        self._advance(now)
        self.rate += by
        if self._passing():
            self._parent.change_rate(by, now)  # type: ignore[union-attr]

    def _advance(self, now: int) -> None:
        came, self._at = self.rate * max(0, now - self._at), max(now, self._at)
        if came and not self._passing():
            self._deal(came)

    def _deal(self, amount: int) -> None:
        self.came += amount
        if not self._asking:
            self._unassign(amount)
            return
        self._unclaimed += amount
        more, self._rest = divmod(amount * SCALE + self._rest, self._weights)
        self._dealt += more

    def _unassign(self, amount: int) -> None:
        self.unassigned += amount
        over = max(0, self.unassigned - self.burst)
        self.unassigned -= over
        if over and self._parent is not None:
            self.passed += over
            self._parent.deposit(over)
        else:
            self.lost += over

    def deposit(self, amount: int) -> None:
        """Something beyond the steady flow, for whoever comes first."""
        self.came += amount
        self._unassign(amount)

    def _give(self, share: Share) -> None:
        """The child's part of all that was dealt since it last asked."""
        due = share.weight * (self._dealt - share.seen) // SCALE
        share.seen = self._dealt
        self._unclaimed -= due
        self._credit(share, due)

    def _credit(self, share: Share, amount: int) -> None:
        share.credit += amount
        over = max(0, share.credit - share.burst)
        share.credit -= over
        if over:
            self._unassign(over)

    def _ask(self, share: Share, now: int) -> None:
        self._advance(now)
        if share in self._asking:
            self._asking.move_to_end(share)
        else:
            if not self._asking:
                if self._parent is not None:  # from here on the flow stays here
                    self._parent.change_rate(-self.rate, now)
                self._timers.at(now + ASKING, self._forget)
            self._weights += share.weight
            share.seen = self._dealt
        self._asking[share] = now

    def _forget(self, now: int) -> None:
        """Children that have not asked for a while; the last one to go lets the flow pass on."""
        self._advance(now)
        while self._asking and (first := next(iter(self._asking.items())))[1] + ASKING <= now:
            share = first[0]
            self._give(share)
            del self._asking[share]
            self._weights -= share.weight
            left, share.credit = share.credit, 0
            self._unassign(left)
        if self._asking:
            self._timers.at(next(iter(self._asking.values())) + ASKING, self._forget)
        else:
            left, self._unclaimed, self._rest = self._unclaimed, 0, 0
            self._unassign(left)
            if self._parent is not None:
                self._parent.change_rate(self.rate, now)

    def take(self, share: Share, wanted: int, now: int) -> int:
        """As much of `wanted` as the child's part allows; what is not used goes back by `put_back`."""
        self._ask(share, now)
        self._give(share)
        if share.credit + self.unassigned < wanted and self._parent is not None and self._share is not None:
            # through the pool, so that the level's part of its parent's pool is dealt out by weight here too
            got = self._parent.take(self._share, wanted - share.credit - self.unassigned, now)
            if got:
                self._deal(got)
                self._give(share)
        own = min(wanted, share.credit)
        share.credit -= own
        more = min(wanted - own, self.unassigned)
        self.unassigned -= more
        self.taken += own + more
        return own + more

    def put_back(self, share: Share, amount: int) -> None:
        """Returns what a child took and has not used."""
        self.taken -= amount
        if share in self._asking:
            self._credit(share, amount)
        else:
            self._unassign(amount)

    def wait(self, share: Share, amount: int) -> int | None:
        """About how long until the child's part has grown by so much; None: nothing flows in."""
        flow, weights, pool, own = self.rate, self._weights, self, share
        while not flow and pool._parent is not None and pool._share is not None:
            own, pool = pool._share, pool._parent
            flow, weights = pool.rate, pool._weights
        if not flow:
            return None
        return -(-amount * max(weights, own.weight) // (flow * own.weight))
