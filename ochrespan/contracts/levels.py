"""The accounts of one front: a tree of levels (installation, organisation, team, service), each held to its terms.

A request is paid at every level from its service up: budgets bound it, and where the installation states its
capacity the request also needs funds, from its own reserve first and then from what others lend. Amounts and times:
see `fixed_point.py`.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from . import window
from .borrowing import LendingPool, Share, TimerQueue
from .fixed_point import PARTS, parts, rate
from .terms import Budget, Terms
from .token_bucket import Bucket
from .window import Window

EXTRAS = 10  # attempts beyond the first that a contract can save up


@dataclass(frozen=True, slots=True)
class Draw:
    """Funds that one request holds, and the bucket that its own part came from: a reload may put another there."""

    reserve: Bucket | None = None
    own: int = 0
    lent: int = 0


@dataclass(slots=True, eq=False)
class Level:
    """One level's budgets, funds and figures."""

    terms: Terms
    parent: Level | None = None
    part: float = 1.0  # this front's part of all figures
    units: Bucket | None = None
    attempts: Bucket | None = None
    windows: list[Window] = field(default_factory=list)
    most_open: int | None = None
    open: int = 0
    reserve: Bucket | None = None
    flow: int = 0  # rate at which its pool fills by itself
    pool: LendingPool | None = None  # of a level with children, where there is lending
    share: Share | None = None  # in its parent's pool
    reserved: int = 0  # rate of the reserves below this level
    lending_since: int | None = None
    lent: int = 0
    borrowed: int = 0  # held and spent beyond its reserve
    extras: Bucket | None = None  # attempts beyond the first, earned by admissions
    extra_a_request: int = 0
    counts: dict[str, int] = field(default_factory=dict)  # admissions, ends and refusals by their rule
    _watched: int = 0  # timers for a full reserve that were set; only the last one counts

    @property
    def path(self) -> str:
        """The names from the organisation down, with slashes; empty: the installation."""
        return self.terms.path

    def count(self, what: str) -> None:
        """Counts an admission, an end or a refusal."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def up(self) -> Iterator[Level]:
        """This level and those above it, from below."""
        level: Level | None = self
        while level is not None:
            yield level
            level = level.parent

    def sync(self, now: int) -> None:
        """Brings budgets and windows up to that time."""
        if self.units is not None:
            self.units.sync(now)
        if self.attempts is not None:
            self.attempts.sync(now)
        for one in self.windows:
            one.sync(now)

    # ---- terms ----

    def take_terms(self, terms: Terms, part: float, least: int, now: int) -> None:
        """New terms, or a new part of them; what is held and spent stays. `least`: the largest request."""
        self.terms, self.part = terms, part
        budget = terms.budget
        self.units = _bucket(self.units, budget.units_per_s, budget.burst_units, part, least, now)
        self.attempts = _bucket(self.attempts, budget.attempts_per_s, budget.burst_attempts, part, PARTS, now)
        self.most_open = None if budget.open is None else max(1, int(budget.open * part))
        self.windows = list(self._windows(budget, part, now))

    def limit_attempts(self, a_request: float | None, now: int) -> None:
        """So many attempts a request on average: each request earns a part of one, saved up to a few."""
        if a_request is None:
            self.extras = None
            return
        self.extra_a_request = parts(a_request - 1)
        if self.extras is None:
            self.extras = Bucket(0, EXTRAS * PARTS, now)

    def earn_attempt(self) -> None:
        """One more request was admitted."""
        if self.extras is not None:
            more = min(self.extra_a_request, self.extras.burst - self.extras.left)
            self.extras.left += more
            self.extras.granted += more

    def _windows(self, budget: Budget, part: float, now: int) -> Iterator[Window]:
        was = {one.span: one for one in self.windows}
        for span, quota in ((window.HOUR, budget.units_per_hour), (window.DAY, budget.units_per_day)):
            if quota is not None:
                one = was.get(span) or Window(span, 0, now // span)
                one.quota = parts(quota * part)
                yield one

    def fund(self, timers: TimerQueue, part: float, least: int, now: int, owns: bool) -> None:
        """Its share of its parent's pool, and where it `owns` one, its reserve: what has children holds a pool."""
        told = self.terms.reserve
        per_s = (told.units_per_s or None) if owns else None
        self.reserve = _bucket(self.reserve, per_s, told.burst_units, part, least, now)
        if self.parent is not None:
            self.share = Share(max(1, round(self.terms.weight * 1000)), 2 * least)
        self._watch(timers)

    def _watch(self, timers: TimerQueue) -> None:
        if self.reserve is not None and (at := self.reserve.full_at()) is not None:
            self._watched += 1
            number = self._watched
            timers.at(at, lambda now: self._full(timers, number, now))

    # ---- lending ----

    def _full(self, timers: TimerQueue, number: int, now: int) -> None:
        """The bucket may be full; if it was drawn from since, the timer moves on: one a level is enough."""
        if number != self._watched or self.reserve is None:
            return
        self.reserve.sync(now)
        if self.reserve.left < self.reserve.burst:
            self._watch(timers)
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
            self.reserve.sync(now)
            if own := min(wanted, self.reserve.left):
                was_lending = self.lending_since is not None
                self.end_lending(now)
                self.reserve.hold(own)
                if was_lending:
                    self._watch(timers)
        lent = 0
        if own < wanted and self.parent is not None and self.parent.pool is not None and self.share is not None:
            lent = self.parent.pool.take(self.share, wanted - own, now)
            self.borrowed += lent
        return Draw(self.reserve, own, lent)

    def trim(self, draw: Draw, spare: int) -> Draw:
        """Gives back what is less than one attempt's worth; only a loan can leave such a rest."""
        if not spare:
            return draw
        self.pay(Draw(None, 0, spare), 0)
        return Draw(draw.reserve, draw.own, draw.lent - spare)

    def pay(self, draw: Draw, cost: int) -> None:
        """Ends what was drawn: the reserve pays first, and what is left of the loan goes back first."""
        from_reserve = min(draw.own, cost)
        over = 0
        if draw.reserve is not None and draw.own:
            over = draw.reserve.settle(draw.own, from_reserve)
        back = draw.lent - min(draw.lent, cost - from_reserve)
        self.borrowed -= back
        pool = self.parent.pool if self.parent is not None else None
        if pool is not None and self.share is not None:
            if back:
                pool.put_back(self.share, back)
            if over and draw.reserve is self.reserve:
                self.lent += over
                pool.deposit(over)

    def funds_wait(self, amount: int) -> int | None:
        """Microseconds until there are funds of that amount, about; None: nothing flows in."""
        waits = [self.reserve.wait(amount)] if self.reserve is not None else []
        if self.parent is not None and self.parent.pool is not None and self.share is not None:
            waits.append(self.parent.pool.wait(self.share, amount))
        return min((wait for wait in waits if wait is not None), default=None)


def _bucket(
    was: Bucket | None, per_s: float | None, burst: float | None, part: float, least: int, now: int
) -> Bucket | None:
    """With the new figures. A new one begins empty: a front that has just started may have spent it before."""
    if per_s is None:
        return None
    most = max(parts((per_s if burst is None else burst) * part), least)
    if was is None:
        return Bucket(rate(per_s * part), most, now)
    was.resize(rate(per_s * part), most, now)
    return was
