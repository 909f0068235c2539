"""The records of one admission: what a request asks for, and how it was answered."""

from __future__ import annotations

from dataclasses import dataclass, field

from .fixed_point import PICO
from .levels import Draw, Level
from .terms import Contract
from .token_bucket import TokenBucket
from .window import Window


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request says of itself. An empty string means that it does not say."""

    cls: str
    units: float
    plan: str = ""
    token: str = ""
    volume: str = ""
    bucket: str = ""


@dataclass(frozen=True, slots=True)
class NotCovered:
    """No contract allows it, now or later."""

    rule: str
    team: str = ""  # the contract's path, where one is known
    reason: str = ""


@dataclass(frozen=True, slots=True)
class OverBudget:
    """Its contract allows it, but not now."""

    rule: str
    team: str
    level: str  # the path of the level whose bound it is; empty: the installation
    wait_s: float  # seconds until there will be enough, if nobody else asks for it


@dataclass(slots=True)
class BucketHold:
    """An amount held in a token bucket; `counts_attempts` tells whether the bucket counts attempts or units."""

    bucket: TokenBucket
    amount: int
    counts_attempts: bool


@dataclass(slots=True)
class WindowHold:
    """An amount held in a budget window, and the number of the window that was current then."""

    window: Window
    number: int
    amount: int


@dataclass(slots=True)
class Allocation:
    """How many attempts fit under every bound, and the funds drawn for them."""

    attempts: int
    draw: Draw


@dataclass(slots=True, eq=False)
class Grant:
    """What one admitted request holds until it is settled."""

    contract: Contract
    leaf: Level
    path: list[Level]  # from the leaf up: where it counts as open
    attempt_cost: int  # of each attempt
    attempts: int = 0  # that are paid for
    bucket_holds: list[BucketHold] = field(default_factory=list)
    window_holds: list[WindowHold] = field(default_factory=list)
    draws: list[Draw] = field(default_factory=list)
    extra_bucket: TokenBucket | None = None  # pays for attempts beyond the first
    extra_attempts_held: int = 0  # attempts beyond the first
    completed: bool = False

    @property
    def plan(self) -> str:
        """The plan under which the request is served."""
        return self.contract.plan

    @property
    def team(self) -> str:
        """The path of its contract."""
        return self.contract.path

    @property
    def units_per_attempt(self) -> float:
        """Units of one attempt."""
        return self.attempt_cost / PICO

    def add(self, allocation: Allocation) -> None:
        """Holds further attempts at every level, from the leaf up."""
        attempts, first = allocation.attempts, not self.attempts
        self.attempts += attempts
        if allocation.draw.own or allocation.draw.borrowed:
            self.draws.append(allocation.draw)
        for level in self.path:
            self._hold_at(level, attempts)
        if first:
            self.extra_bucket = self.leaf.extra_attempts  # kept: a reload may replace the level's bucket
        if self.extra_bucket is not None and (repeats := attempts - first):
            self.extra_bucket.hold(repeats * PICO)
            self.extra_attempts_held += repeats

    def _hold_at(self, level: Level, attempts: int) -> None:
        amount = attempts * self.attempt_cost
        if level.units is not None:
            level.units.hold(amount)
            self.bucket_holds.append(BucketHold(level.units, amount, counts_attempts=False))
        if level.attempts is not None:
            level.attempts.hold(attempts * PICO)
            self.bucket_holds.append(BucketHold(level.attempts, attempts * PICO, counts_attempts=True))
        for window in level.windows:
            self.window_holds.append(WindowHold(window, window.hold(amount), amount))

    def release(self, sent: int, ran: int, at: int) -> None:
        """Ends every hold with what the request did cost: so many attempts sent, of which so many may have run."""
        for level in self.path:
            level.open -= 1
        cost = ran * self.attempt_cost
        self._charge_buckets(sent * PICO, cost, at)
        self._charge_windows(cost, at)
        if self.extra_bucket is not None:
            self.extra_bucket.charge(self.extra_attempts_held * PICO, max(0, sent - 1) * PICO)
        self._charge_draws(cost, at)

    def _charge_buckets(self, attempts_cost: int, units_cost: int, at: int) -> None:
        """Each bucket once: an extension holds in the same buckets again."""
        totals: dict[TokenBucket, int] = {}
        costs: dict[TokenBucket, int] = {}
        for hold in self.bucket_holds:
            totals[hold.bucket] = totals.get(hold.bucket, 0) + hold.amount
            costs[hold.bucket] = attempts_cost if hold.counts_attempts else units_cost
        for bucket, total in totals.items():
            bucket.refill(at)
            bucket.charge(total, costs[bucket])

    def _charge_windows(self, cost: int, at: int) -> None:
        """The first hold of a window pays as far as it goes, and a later one what is left over."""
        owed: dict[Window, int] = {}
        for hold in self.window_holds:
            if hold.window not in owed:
                hold.window.advance(at)
                owed[hold.window] = cost
            paid = min(owed[hold.window], hold.amount)
            hold.window.charge(hold.number, hold.amount, paid)
            owed[hold.window] -= paid

    def _charge_draws(self, cost: int, at: int) -> None:
        for draw in self.draws:
            if draw.reserve is not None:
                draw.reserve.refill(at)
            paid = min(cost, draw.own + draw.borrowed)
            self.leaf.charge(draw, paid)
            cost -= paid
