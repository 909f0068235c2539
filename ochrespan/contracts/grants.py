"""The records of one admission: the request's demand, and the grant or refusal."""

from __future__ import annotations

from dataclasses import dataclass, field

from .fixed_point import PICO
from .levels import Draw, Level
from .terms import Contract
from .token_bucket import TokenBucket
from .window import Window


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What a request states about itself; an empty string means not stated."""

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
class BucketReservation:
    """An amount reserved in a token bucket, in pico attempts if `counts_attempts`, else in pico units."""

    bucket: TokenBucket
    amount: int
    counts_attempts: bool


@dataclass(slots=True)
class WindowReservation:
    """An amount reserved in a budget window; `number` is the window that was current at that time."""

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
    """The amounts reserved for one admitted request until it is completed."""

    contract: Contract
    leaf: Level
    levels_from_leaf: list[Level]  # from the leaf up; the request counts as open at each level
    attempt_cost: int  # pico units
    attempts: int = 0  # paid for
    bucket_reservations: list[BucketReservation] = field(default_factory=list)
    window_reservations: list[WindowReservation] = field(default_factory=list)
    draws: list[Draw] = field(default_factory=list)
    extra_bucket: TokenBucket | None = None  # pays for attempts beyond the first
    extra_attempts_reserved: int = 0
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
        """Adds attempts and reserves their cost at every level, from the leaf up."""
        attempts, first = allocation.attempts, not self.attempts
        self.attempts += attempts
        if allocation.draw.own or allocation.draw.borrowed:
            self.draws.append(allocation.draw)
        for level in self.levels_from_leaf:
            self._reserve_at(level, attempts)
        if first:
            self.extra_bucket = self.leaf.extra_attempts  # a reload may replace the level's bucket
        if self.extra_bucket is not None and (repeats := attempts - first):
            self.extra_bucket.reserve(repeats * PICO)
            self.extra_attempts_reserved += repeats

    def _reserve_at(self, level: Level, attempts: int) -> None:
        amount = attempts * self.attempt_cost
        if level.units is not None:
            level.units.reserve(amount)
            self.bucket_reservations.append(BucketReservation(level.units, amount, counts_attempts=False))
        if level.attempts is not None:
            level.attempts.reserve(attempts * PICO)
            self.bucket_reservations.append(BucketReservation(level.attempts, attempts * PICO, counts_attempts=True))
        for window in level.windows:
            self.window_reservations.append(WindowReservation(window, window.reserve(amount), amount))

    def release(self, sent: int, ran: int, at: int) -> None:
        """Ends every reservation and charges the actual cost: `sent` attempts, of which `ran` may have run."""
        for level in self.levels_from_leaf:
            level.open -= 1
        cost = ran * self.attempt_cost
        self._charge_buckets(sent * PICO, cost, at)
        self._charge_windows(cost, at)
        if self.extra_bucket is not None:
            self.extra_bucket.charge(self.extra_attempts_reserved * PICO, max(0, sent - 1) * PICO)
        self._charge_draws(cost, at)

    def _charge_buckets(self, attempts_cost: int, units_cost: int, at: int) -> None:
        """Charges each bucket once: an extension reserves further amounts in the same buckets."""
        totals: dict[TokenBucket, int] = {}
        costs: dict[TokenBucket, int] = {}
        for reservation in self.bucket_reservations:
            totals[reservation.bucket] = totals.get(reservation.bucket, 0) + reservation.amount
            costs[reservation.bucket] = attempts_cost if reservation.counts_attempts else units_cost
        for bucket, total in totals.items():
            bucket.refill(at)
            bucket.charge(total, costs[bucket])

    def _charge_windows(self, cost: int, at: int) -> None:
        """Charges the reservations of each window in order, each up to its amount."""
        owed: dict[Window, int] = {}
        for reservation in self.window_reservations:
            if reservation.window not in owed:
                reservation.window.advance(at)
                owed[reservation.window] = cost
            paid = min(owed[reservation.window], reservation.amount)
            reservation.window.charge(reservation.number, reservation.amount, paid)
            owed[reservation.window] -= paid

    def _charge_draws(self, cost: int, at: int) -> None:
        for draw in self.draws:
            if draw.reserve is not None:
                draw.reserve.refill(at)
            paid = min(cost, draw.own + draw.borrowed)
            self.leaf.charge(draw, paid)
            cost -= paid
