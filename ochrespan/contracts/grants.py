"""The records of one admission: what a request asks for, and how it was answered."""

from __future__ import annotations

from dataclasses import dataclass, field

from .fixed_point import PARTS
from .levels import Draw, Level
from .terms import Contract
from .token_bucket import Bucket
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
    words: str = ""


@dataclass(frozen=True, slots=True)
class OverBudget:
    """Its contract allows it, but not now."""

    rule: str
    team: str
    level: str  # the path of the level whose bound it is; empty: the installation
    wait: float  # seconds until there will be enough, if nobody else asks for it


@dataclass(slots=True)
class BucketHold:
    """An amount held in a token bucket; `of_attempts` tells whether the bucket counts attempts or units."""

    bucket: Bucket
    amount: int
    of_attempts: bool


@dataclass(slots=True)
class WindowHold:
    """An amount held in a budget window, and the number of the window that was current then."""

    window: Window
    number: int
    amount: int


@dataclass(slots=True)
class Funding:
    """How many attempts fit under every bound, and the funds drawn for them."""

    attempts: int
    draw: Draw


@dataclass(slots=True, eq=False)
class Grant:
    """What one admitted request holds until it is settled."""

    contract: Contract
    leaf: Level
    path: list[Level]  # from the leaf up: where it counts as open
    units: int  # of each attempt
    attempts: int = 0  # that are paid for
    held: list[BucketHold] = field(default_factory=list)
    windows: list[WindowHold] = field(default_factory=list)
    draws: list[Draw] = field(default_factory=list)
    extra: Bucket | None = None  # pays for attempts beyond the first
    extra_held: int = 0  # attempts beyond the first
    settled: bool = False

    @property
    def plan(self) -> str:
        """The plan under which the request is served."""
        return self.contract.plan

    @property
    def team(self) -> str:
        """The path of its contract."""
        return self.contract.path

    @property
    def unit_figure(self) -> float:
        """Units of one attempt."""
        return self.units / PARTS

    def add(self, funding: Funding) -> None:
        """Holds further attempts at every level, from the leaf up."""
        attempts, first = funding.attempts, not self.attempts
        self.attempts += attempts
        if funding.draw.own or funding.draw.lent:
            self.draws.append(funding.draw)
        for level in self.path:
            self._hold_at(level, attempts)
        if first:
            self.extra = self.leaf.extras  # a reload may put another there: repeats are paid where they began
        if self.extra is not None and (repeats := attempts - first):
            self.extra.hold(repeats * PARTS)
            self.extra_held += repeats

    def _hold_at(self, level: Level, attempts: int) -> None:
        amount = attempts * self.units
        if level.units is not None:
            level.units.hold(amount)
            self.held.append(BucketHold(level.units, amount, of_attempts=False))
        if level.attempts is not None:
            level.attempts.hold(attempts * PARTS)
            self.held.append(BucketHold(level.attempts, attempts * PARTS, of_attempts=True))
        for window in level.windows:
            self.windows.append(WindowHold(window, window.hold(amount), amount))

    def release(self, sent: int, ran: int, at: int) -> None:
        """Ends every hold with what the request did cost: so many attempts sent, of which so many may have run."""
        for level in self.path:
            level.open -= 1
        cost = ran * self.units
        self._settle_buckets(sent * PARTS, cost, at)
        self._settle_windows(cost, at)
        if self.extra is not None:
            self.extra.settle(self.extra_held * PARTS, max(0, sent - 1) * PARTS)
        self._pay_draws(cost, at)

    def _settle_buckets(self, attempts_cost: int, units_cost: int, at: int) -> None:
        """Each bucket once: an extension holds in the same buckets again."""
        totals: dict[Bucket, int] = {}
        costs: dict[Bucket, int] = {}
        for hold in self.held:
            totals[hold.bucket] = totals.get(hold.bucket, 0) + hold.amount
            costs[hold.bucket] = attempts_cost if hold.of_attempts else units_cost
        for bucket, total in totals.items():
            bucket.sync(at)
            bucket.settle(total, costs[bucket])

    def _settle_windows(self, cost: int, at: int) -> None:
        """The first hold of a window pays as far as it goes, and a later one what is left over."""
        owed: dict[Window, int] = {}
        for hold in self.windows:
            if hold.window not in owed:
                hold.window.sync(at)
                owed[hold.window] = cost
            paid = min(owed[hold.window], hold.amount)
            hold.window.settle(hold.number, hold.amount, paid)
            owed[hold.window] -= paid

    def _pay_draws(self, cost: int, at: int) -> None:
        for draw in self.draws:
            if draw.reserve is not None:
                draw.reserve.sync(at)
            paid = min(cost, draw.own + draw.lent)
            self.leaf.pay(draw, paid)
            cost -= paid
