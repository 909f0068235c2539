"""The accounts of one front: a tree of levels (installation, organisation, team, service), each held to its terms.

A request is paid at every level from its service up: budgets bound it, and where the installation states its
capacity the request also needs funds, from its own reserve first and then from what others lend. Amounts and times:
see `fixed_point.py`.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from . import window
from .borrowing import Borrower, BorrowingPool, TimerQueue
from .fixed_point import PICO, pico_per_us, to_pico
from .terms import Budget, Terms
from .token_bucket import TokenBucket
from .window import Window

MAX_EXTRA_ATTEMPTS = 10  # attempts beyond the first that a contract can save up


@dataclass(frozen=True, slots=True)
class Draw:
    """Funds that one request holds, and the bucket that its own part came from: a reload may put another there."""

    reserve: TokenBucket | None = None
    own: int = 0
    borrowed: int = 0


@dataclass(slots=True, eq=False)
class Level:
    """One level's budgets, funds and figures."""

    terms: Terms
    parent: Level | None = None
    fraction: float = 1.0  # this front's part of all figures
    units: TokenBucket | None = None
    attempts: TokenBucket | None = None
    windows: list[Window] = field(default_factory=list)
    max_open: int | None = None
    open: int = 0
    reserve: TokenBucket | None = None
    pool_rate: int = 0  # rate at which its pool fills by itself
    pool: BorrowingPool | None = None  # of a level with children, where there is lending
    borrower: Borrower | None = None  # in its parent's pool
    reserved_below: int = 0  # rate of the reserves below this level
    lending_since: int | None = None
    lent: int = 0
    borrowed: int = 0  # held and spent beyond its reserve
    extra_attempts: TokenBucket | None = None  # attempts beyond the first, earned by admissions
    extra_per_request: int = 0
    counts: dict[str, int] = field(default_factory=dict)  # admissions, ends and refusals by their rule
    _full_timer_id: int = 0  # timers for a full reserve that were set; only the last one counts

    @property
    def path(self) -> str:
        """The names from the organisation down, with slashes; empty: the installation."""
        return self.terms.path

    def count(self, what: str) -> None:
        """Counts an admission, an end or a refusal."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def self_and_ancestors(self) -> Iterator[Level]:
        """This level and those above it, from below."""
        level: Level | None = self
        while level is not None:
            yield level
            level = level.parent

    def advance(self, now: int) -> None:
        """Brings budgets and windows up to that time."""
        if self.units is not None:
            self.units.refill(now)
        if self.attempts is not None:
            self.attempts.refill(now)
        for each in self.windows:
            each.advance(now)

    # ---- terms ----

    def apply_terms(self, terms: Terms, fraction: float, min_burst: int, now: int) -> None:
        """New terms, or a new part of them; what is held and spent stays. `least`: the largest request."""
        self.terms, self.fraction = terms, fraction
        budget = terms.budget
        self.units = _bucket(self.units, budget.units_per_s, budget.burst_units, fraction, min_burst, now)
        self.attempts = _bucket(self.attempts, budget.attempts_per_s, budget.burst_attempts, fraction, PICO, now)
        self.max_open = None if budget.open is None else max(1, int(budget.open * fraction))
        self.windows = list(self._windows(budget, fraction, now))

    def limit_extra_attempts(self, per_request: float | None, now: int) -> None:
        """So many attempts a request on average: each request earns a part of one, saved up to a few."""
        if per_request is None:
            self.extra_attempts = None
            return
        self.extra_per_request = to_pico(per_request - 1)
        if self.extra_attempts is None:
            self.extra_attempts = TokenBucket(0, MAX_EXTRA_ATTEMPTS * PICO, now)

    def earn_extra_attempt(self) -> None:
        """One more request was admitted."""
        if self.extra_attempts is not None:
            added = min(self.extra_per_request, self.extra_attempts.burst - self.extra_attempts.left)
            self.extra_attempts.left += added
            self.extra_attempts.granted += added

    def _windows(self, budget: Budget, fraction: float, now: int) -> Iterator[Window]:
        previous = {each.span: each for each in self.windows}
        for span, quota in ((window.HOUR, budget.units_per_hour), (window.DAY, budget.units_per_day)):
            if quota is not None:
                each = previous.get(span) or Window(span, 0, now // span)
                each.quota = to_pico(quota * fraction)
                yield each

    def configure_funds(self, timers: TimerQueue, fraction: float, min_burst: int, now: int, has_reserve: bool) -> None:
        """Its share of its parent's pool, and where it `owns` one, its reserve: what has children holds a pool."""
        reserve_terms = self.terms.reserve
        per_s = (reserve_terms.units_per_s or None) if has_reserve else None
        self.reserve = _bucket(self.reserve, per_s, reserve_terms.burst_units, fraction, min_burst, now)
        if self.parent is not None:
            self.borrower = Borrower(max(1, round(self.terms.weight * 1000)), 2 * min_burst)
        self._schedule_full_timer(timers)

    def _schedule_full_timer(self, timers: TimerQueue) -> None:
        if self.reserve is not None and (at := self.reserve.full_at()) is not None:
            self._full_timer_id += 1
            timer_id = self._full_timer_id
            timers.call_at(at, lambda now: self._on_full_timer(timers, timer_id, now))

    # ---- lending ----

    def _on_full_timer(self, timers: TimerQueue, timer_id: int, now: int) -> None:
        """The bucket may be full; if it was drawn from since, the timer moves on: one a level is enough."""
        if timer_id != self._full_timer_id or self.reserve is None:
            return
        self.reserve.refill(now)
        if self.reserve.left < self.reserve.burst:
            self._schedule_full_timer(timers)
        elif self.parent is not None and self.parent.pool is not None:
            self.lending_since = now
            self.parent.pool.change_rate(self.reserve.rate, now)

    def end_lending(self, now: int) -> None:
        """The reserve is needed by its owner, or changes."""
        if self.lending_since is not None and self.reserve is not None:
            self.lent += self.reserve.rate * max(0, now - self.lending_since)
            self.lending_since = None
            if self.parent is not None and self.parent.pool is not None:
                self.parent.pool.change_rate(-self.reserve.rate, now)

    def draw(self, timers: TimerQueue, wanted: int, now: int) -> Draw:
        """Funds: as much as there is of `wanted`, from the reserve and borrowed."""
        own = 0
        if self.reserve is not None:
            self.reserve.refill(now)
            if own := min(wanted, self.reserve.left):
                was_lending = self.lending_since is not None
                self.end_lending(now)
                self.reserve.hold(own)
                if was_lending:
                    self._schedule_full_timer(timers)
        borrowed = 0
        if own < wanted and self.parent is not None and self.parent.pool is not None and self.borrower is not None:
            borrowed = self.parent.pool.borrow(self.borrower, wanted - own, now)
            self.borrowed += borrowed
        return Draw(self.reserve, own, borrowed)

    def return_remainder(self, draw: Draw, remainder: int) -> Draw:
        """Gives back what is less than one attempt's worth; only a loan can leave such a rest."""
        if not remainder:
            return draw
        self.charge(Draw(None, 0, remainder), 0)
        return Draw(draw.reserve, draw.own, draw.borrowed - remainder)

    def charge(self, draw: Draw, cost: int) -> None:
        """Ends what was drawn: the reserve pays first, and what is left of the loan goes back first."""
        from_reserve = min(draw.own, cost)
        excess = 0
        if draw.reserve is not None and draw.own:
            excess = draw.reserve.charge(draw.own, from_reserve)
        returned = draw.borrowed - min(draw.borrowed, cost - from_reserve)
        self.borrowed -= returned
        pool = self.parent.pool if self.parent is not None else None
        if pool is not None and self.borrower is not None:
            if returned:
                pool.return_unused(self.borrower, returned)
            if excess and draw.reserve is self.reserve:
                self.lent += excess
                pool.deposit(excess)

    def funds_wait_us(self, amount: int) -> int | None:
        """Microseconds until there are funds of that amount, about; None: nothing flows in."""
        waits = [self.reserve.wait_us(amount)] if self.reserve is not None else []
        if self.parent is not None and self.parent.pool is not None and self.borrower is not None:
            waits.append(self.parent.pool.wait_us(self.borrower, amount))
        return min((wait for wait in waits if wait is not None), default=None)


def _bucket(
    previous: TokenBucket | None, per_s: float | None, burst: float | None, fraction: float, min_burst: int, now: int
) -> TokenBucket | None:
    """With the new figures. A new one begins empty: a front that has just started may have spent it before."""
    if per_s is None:
        return None
    burst_limit = max(to_pico((per_s if burst is None else burst) * fraction), min_burst)
    if previous is None:
        return TokenBucket(pico_per_us(per_s * fraction), burst_limit, now)
    previous.resize(pico_per_us(per_s * fraction), burst_limit, now)
    return previous
