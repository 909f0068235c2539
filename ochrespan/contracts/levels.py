"""The accounts of one front process: a tree of levels (installation, organisation, team, service) and their budgets.

A request is charged at every level from its own up to the root. Budgets limit it; if the installation's capacity is
configured, the request also needs funds, first from its own reserve and then borrowed from others. Amounts and times:
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

MAX_EXTRA_ATTEMPTS = 10  # retries that a contract can accumulate


@dataclass(frozen=True, slots=True)
class Draw:
    """Funds drawn for one request: from its level's own reserve, and borrowed.

    `reserve` is the bucket that `own` was drawn from, as a reload may replace the level's bucket.
    """

    reserve: TokenBucket | None = None
    own: int = 0
    borrowed: int = 0


@dataclass(slots=True, eq=False)
class Level:
    """One level's budgets, funds and counts."""

    terms: Terms
    parent: Level | None = None
    fraction: float = 1.0  # of the level's budgets, for this front
    units: TokenBucket | None = None
    attempts: TokenBucket | None = None
    windows: list[Window] = field(default_factory=list)
    max_open: int | None = None
    open: int = 0  # admitted requests that have not completed
    reserve: TokenBucket | None = None
    pool_rate: int = 0  # inflow of its pool from the level's own rate
    pool: BorrowingPool | None = None  # only for levels with children, if a capacity is configured
    borrower: Borrower | None = None  # account with the parent's pool
    reserved_below: int = 0  # total rate of the descendants' reserves
    lent_since: int | None = None  # start of the lending in progress
    lent: int = 0  # total, without the lending in progress
    borrowed: int = 0  # reserved and spent beyond its own reserve
    extra_attempts: TokenBucket | None = None  # retries, earned by admissions
    extra_per_request: int = 0
    counts: dict[str, int] = field(default_factory=dict)  # admissions, completions, and refusals by rule
    _full_timer_id: int = 0  # number of timers set; only the latest is valid

    @property
    def path(self) -> str:
        """The names from the organisation down, with slashes; empty: the installation."""
        return self.terms.path

    def count(self, what: str) -> None:
        """Counts an admission, a completion or a refusal."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def self_and_ancestors(self) -> Iterator[Level]:
        """This level and its ancestors, lowest first."""
        level: Level | None = self
        while level is not None:
            yield level
            level = level.parent

    def advance(self, now: int) -> None:
        """Updates budgets and windows to the time `now`."""
        if self.units is not None:
            self.units.refill(now)
        if self.attempts is not None:
            self.attempts.refill(now)
        for budget_window in self.windows:
            budget_window.advance(now)

    # ---- terms ----

    def apply_terms(self, terms: Terms, fraction: float, min_burst: int, now: int) -> None:
        """Applies new terms or a new fraction; held and spent amounts stay. `min_burst`: the largest request."""
        self.terms, self.fraction = terms, fraction
        budget = terms.budget
        self.units = _update_bucket(self.units, budget.units_per_s, budget.burst_units, fraction, min_burst, now)
        self.attempts = _update_bucket(self.attempts, budget.attempts_per_s, budget.burst_attempts, fraction, PICO, now)
        self.max_open = None if budget.open is None else max(1, int(budget.open * fraction))
        self.windows = list(self._windows(budget, fraction, now))

    def limit_extra_attempts(self, per_request: float | None, now: int) -> None:
        """Limits the average attempts per request: each request earns a fraction of a retry, up to a maximum."""
        if per_request is None:
            self.extra_attempts = None
            return
        self.extra_per_request = to_pico(per_request - 1)
        if self.extra_attempts is None:
            self.extra_attempts = TokenBucket(0, MAX_EXTRA_ATTEMPTS * PICO, now)

    def earn_extra_attempt(self) -> None:
        """Credits the retries that one admitted request earns."""
        if self.extra_attempts is not None:
            added = min(self.extra_per_request, self.extra_attempts.burst - self.extra_attempts.left)
            self.extra_attempts.left += added
            self.extra_attempts.granted += added

    def _windows(self, budget: Budget, fraction: float, now: int) -> Iterator[Window]:
        previous = {budget_window.span: budget_window for budget_window in self.windows}
        for span, quota in ((window.HOUR, budget.units_per_hour), (window.DAY, budget.units_per_day)):
            if quota is not None:
                budget_window = previous.get(span) or Window(span, 0, now // span)
                budget_window.quota = to_pico(quota * fraction)
                yield budget_window

    def configure_funds(self, timers: TimerQueue, fraction: float, min_burst: int, now: int, has_reserve: bool) -> None:
        """Sets up the account with the parent's pool and, if `has_reserve`, the reserve (leaf levels only)."""
        reserve_terms = self.terms.reserve
        rate_per_s = (reserve_terms.units_per_s or None) if has_reserve else None
        self.reserve = _update_bucket(self.reserve, rate_per_s, reserve_terms.burst_units, fraction, min_burst, now)
        if self.parent is not None:
            self.borrower = Borrower(max(1, round(self.terms.weight * 1000)), 2 * min_burst)
        self._schedule_full_timer(timers)

    def _schedule_full_timer(self, timers: TimerQueue) -> None:
        if self.reserve is not None and (at := self.reserve.full_at()) is not None:
            self._full_timer_id += 1
            timer_id = self._full_timer_id
            timers.call_at(at, lambda now: self._on_full_timer(timers, timer_id, now))

    # ---- lending and borrowing ----

    def _on_full_timer(self, timers: TimerQueue, timer_id: int, now: int) -> None:
        """Starts lending if the reserve is full; if it was drawn from in the meantime, sets the timer again."""
        if timer_id != self._full_timer_id or self.reserve is None:
            return
        self.reserve.refill(now)
        if self.reserve.left < self.reserve.burst:
            self._schedule_full_timer(timers)
        elif self.parent is not None and self.parent.pool is not None:
            self.lent_since = now
            self.parent.pool.change_rate(self.reserve.rate, now)

    def withdraw_from_pool(self, now: int) -> None:
        """Stops lending the reserve's inflow to the parent's pool, as the owner uses the reserve or it changes."""
        if self.lent_since is not None and self.reserve is not None:
            self.lent += self.reserve.rate * max(0, now - self.lent_since)
            self.lent_since = None
            if self.parent is not None and self.parent.pool is not None:
                self.parent.pool.change_rate(-self.reserve.rate, now)

    def draw(self, timers: TimerQueue, wanted: int, now: int) -> Draw:
        """Draws as much of `wanted` as is available, first from the reserve and then borrowed."""
        own = 0
        if self.reserve is not None:
            self.reserve.refill(now)
            if own := min(wanted, self.reserve.left):
                was_pooled = self.lent_since is not None
                self.withdraw_from_pool(now)
                self.reserve.reserve(own)
                if was_pooled:
                    self._schedule_full_timer(timers)
        borrowed = 0
        if own < wanted and self.parent is not None and self.parent.pool is not None and self.borrower is not None:
            borrowed = self.parent.pool.borrow(self.borrower, wanted - own, now)
            self.borrowed += borrowed
        return Draw(self.reserve, own, borrowed)

    def return_remainder(self, draw: Draw, remainder: int) -> Draw:
        """Returns a remainder that pays for no whole attempt; only borrowed funds can leave one."""
        if not remainder:
            return draw
        self.charge(Draw(None, 0, remainder), 0)
        return Draw(draw.reserve, draw.own, draw.borrowed - remainder)

    def charge(self, draw: Draw, cost: int) -> None:
        """Releases a draw and charges its cost, first to the reserve, then to borrowed funds; returns the rest."""
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
        """Approximate microseconds until `amount` is available; None: there is no inflow."""
        waits = [self.reserve.wait_us(amount)] if self.reserve is not None else []
        if self.parent is not None and self.parent.pool is not None and self.borrower is not None:
            waits.append(self.parent.pool.wait_us(self.borrower, amount))
        return min((wait for wait in waits if wait is not None), default=None)


def _update_bucket(
    previous: TokenBucket | None,
    rate_per_s: float | None,
    burst: float | None,
    fraction: float,
    min_burst: int,
    now: int,
) -> TokenBucket | None:
    """Resizes or creates a bucket. A new one is empty, as the front may have spent the burst before a restart."""
    if rate_per_s is None:
        return None
    burst_limit = max(to_pico((rate_per_s if burst is None else burst) * fraction), min_burst)
    if previous is None:
        return TokenBucket(pico_per_us(rate_per_s * fraction), burst_limit, now)
    previous.resize(pico_per_us(rate_per_s * fraction), burst_limit, now)
    return previous
