"""The records of one admission: the request, and the grant or refusal."""

from __future__ import annotations

from dataclasses import dataclass, field

from .fixed_point import PICO
from .levels import Draw, Level
from .terms import Contract
from .token_bucket import TokenBucket
from .window import Window


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What a request that asks for admission states about itself; an empty string means not stated."""

    cls: str
    units: float
    plan: str = ""
    token: str = ""
    volume: str = ""
    bucket: str = ""


@dataclass(frozen=True, slots=True)
class NotCovered:
    """A permanent refusal: no contract allows the request."""

    rule: str
    team: str = ""  # the contract's path, if known
    reason: str = ""


@dataclass(frozen=True, slots=True)
class OverBudget:
    """A temporary refusal: the contract covers the request, but a budget is used up."""

    rule: str
    team: str
    level: str  # path of the level whose limit is exceeded; empty: the installation
    wait_s: float  # until the budget suffices if there are no other requests


@dataclass(slots=True)
class BucketHold:
    """An amount held in a token bucket, in pico attempts if `counts_attempts`, else in pico units."""

    bucket: TokenBucket
    amount: int
    counts_attempts: bool


@dataclass(slots=True)
class WindowHold:
    """An amount held in a budget window; `number` is the window that was current at that time."""

    window: Window
    number: int
    amount: int


@dataclass(slots=True)
class Allocation:
    """How many attempts fit within every limit, and the funds drawn for them."""

    attempts: int
    draw: Draw


@dataclass(slots=True, eq=False)
class Grant:
    """What one admitted request holds until it is completed."""

    contract: Contract
    leaf: Level
    levels_from_leaf: list[Level]  # the leaf and its ancestors; the request counts as open at each
    attempt_cost: int  # pico units
    attempts: int = 0  # paid for
    bucket_holds: list[BucketHold] = field(default_factory=list)
    window_holds: list[WindowHold] = field(default_factory=list)
    draws: list[Draw] = field(default_factory=list)
    extra_bucket: TokenBucket | None = None  # pays for attempts beyond the first
    extra_attempts_held: int = 0
    completed: bool = False

    @property
    def plan(self) -> str:
        """The contract's plan, under which the request is served."""
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
        """Adds attempts and holds their cost at every level, from the leaf up."""
        attempts, first = allocation.attempts, not self.attempts
        self.attempts += attempts
        if allocation.draw.own or allocation.draw.borrowed:
            self.draws.append(allocation.draw)
        for level in self.levels_from_leaf:
            self._hold_at(level, attempts)
        if first:
            self.extra_bucket = self.leaf.extra_attempts  # a reload may replace the level's bucket
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
        """Ends every hold and charges the actual cost: `sent` attempts, of which `ran` may have run."""
        for level in self.levels_from_leaf:
            level.open -= 1
        cost = ran * self.attempt_cost
        self._charge_buckets(sent * PICO, cost, at)
        self._charge_windows(cost, at)
        if self.extra_bucket is not None:
            self.extra_bucket.charge(self.extra_attempts_held * PICO, max(0, sent - 1) * PICO)
        self._charge_draws(cost, at)

    def _charge_buckets(self, attempts_cost: int, units_cost: int, at: int) -> None:
        """Charges each bucket once: an extension holds further amounts in the same buckets."""
        totals: dict[TokenBucket, int] = {}
        costs: dict[TokenBucket, int] = {}
        for hold in self.bucket_holds:
            totals[hold.bucket] = totals.get(hold.bucket, 0) + hold.amount
            costs[hold.bucket] = attempts_cost if hold.counts_attempts else units_cost
        for bucket, total in totals.items():
            bucket.refill(at)
            bucket.charge(total, costs[bucket])

    def _charge_windows(self, cost: int, at: int) -> None:
        """Charges the holds of each window in order, each up to its amount."""
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
