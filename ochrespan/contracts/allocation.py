"""Determines how many attempts of a request fit within every limit on its path, and draws the funds for them.

A request that its own reserve pays for is never refused because of other teams' spending: the limits of ancestor
levels count it, but only refuse requests that need borrowed funds. Amounts and times are integers (`fixed_point.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

from .borrowing import TimerQueue
from .fixed_point import MICROS_PER_S, PICO
from .grants import Allocation, NotCovered, OverBudget
from .levels import Draw, Level
from .terms import Contract
from .token_bucket import TokenBucket
from .window import SPAN_NAMES

MIN_WAIT_US = 1000  # lower bound of a retry time: not an immediate retry
UNLIMITED = 1 << 30  # attempts, where no budget limits them


@dataclass(frozen=True, slots=True)
class ExceededLimit:
    """A limit that does not allow one more attempt."""

    rule: str
    wait_us: int | None  # microseconds until an attempt fits; None: never


@dataclass(slots=True)
class AllocationRequest:
    """A request for funds: up to `max_attempts` attempts of one contract."""

    contract: Contract
    leaf: Level
    ancestors: list[Level]  # of the leaf, lowest first
    attempt_cost: int  # pico units
    max_attempts: int
    now: int  # microseconds

    def refusal(self, level: Level, exceeded: ExceededLimit) -> NotCovered | OverBudget:
        """The refusal of a request because of a limit that does not allow one attempt."""
        path = self.contract.path
        if exceeded.wait_us is None:
            where = level.path or "the installation"
            return NotCovered("units", path, f"{exceeded.rule} of {where} never bears it")
        return OverBudget(exceeded.rule, path, level.path, max(exceeded.wait_us, MIN_WAIT_US) / MICROS_PER_S)


def attempts_to_reserve(bucket: TokenBucket, cost: int) -> int:
    """Attempts to reserve in advance. Retries are reserved from the upper half of the bucket only, so that they
    displace no first attempts."""
    if bucket.left < cost:
        return 0
    return max(1, (bucket.left - bucket.burst // 2) // cost)


def allocate(
    request: AllocationRequest, timers: TimerQueue, extra_attempts: TokenBucket | None = None
) -> Allocation | NotCovered | OverBudget:
    """Allocates the attempts that fit and draws their funds. `extra_attempts` pays for retries only."""
    leaf, attempt_cost, now = request.leaf, request.attempt_cost, request.now
    timers.run_due(now)
    leaf.advance(now)
    for level in request.ancestors:
        level.advance(now)
    if extra_attempts is not None and extra_attempts.left < PICO:
        return request.refusal(leaf, ExceededLimit("attempts_per_request", MIN_WAIT_US))
    if (exceeded := _exceeded_limit(leaf, attempt_cost, now, 0)) is not None:
        return request.refusal(leaf, exceeded)
    attempts = min(_attempts_within_limits(leaf, attempt_cost), request.max_attempts)
    if leaf.borrower is None:  # no borrowing: the ancestors' limits apply to all alike
        allowed = _limit_by_ancestors(request, attempts, borrowing=False)
        return Allocation(allowed, Draw()) if isinstance(allowed, int) else allowed
    if from_reserve := _attempts_from_reserve(leaf, attempt_cost, now):  # its own reserve pays: no ancestor refuses it
        attempts = min(attempts, from_reserve)
    else:
        allowed = _limit_by_ancestors(request, attempts, borrowing=True)
        if not isinstance(allowed, int):
            return allowed
        attempts = allowed
    return _draw(request, attempts, timers)


def _attempts_from_reserve(leaf: Level, attempt_cost: int, now: int) -> int:
    """Attempts that the leaf's own reserve can pay for."""
    if leaf.reserve is None:
        return 0
    leaf.reserve.refill(now)
    return attempts_to_reserve(leaf.reserve, attempt_cost)


def _limit_by_ancestors(request: AllocationRequest, attempts: int, borrowing: bool) -> int | NotCovered | OverBudget:
    """How many of these attempts fit within the limits of the ancestors."""
    for level in request.ancestors:
        reserved_rate = level.reserved_below if borrowing else 0
        if (exceeded := _exceeded_limit(level, request.attempt_cost, request.now, reserved_rate)) is not None:
            return request.refusal(level, exceeded)
        attempts = min(attempts, _attempts_within_limits(level, request.attempt_cost, request.now, reserved_rate))
    return attempts


def _draw(request: AllocationRequest, attempts: int, timers: TimerQueue) -> Allocation | NotCovered | OverBudget:
    """Draws funds for as many of these attempts as can be paid in full."""
    leaf, attempt_cost = request.leaf, request.attempt_cost
    draw = leaf.draw(timers, attempts * attempt_cost, request.now)
    funded = (draw.own + draw.borrowed) // attempt_cost
    if not funded:
        leaf.charge(draw, 0)
        # the inflow may be 0 now, but lenders can become idle at any time
        return request.refusal(leaf, ExceededLimit("funds", leaf.funds_wait_us(attempt_cost) or MICROS_PER_S))
    return Allocation(funded, leaf.return_remainder(draw, draw.own + draw.borrowed - funded * attempt_cost))


def _exceeded_limit(level: Level, attempt_cost: int, now: int, reserved_rate: int) -> ExceededLimit | None:
    """The limit of a level that does not allow one attempt. Windows withhold `reserved_rate` until their end."""
    if level.units is not None and level.units.left < attempt_cost:
        return ExceededLimit("units_per_s", level.units.wait_us(attempt_cost))
    if level.attempts is not None and level.attempts.left < PICO:
        return ExceededLimit("attempts_per_s", level.attempts.wait_us(PICO))
    for window in level.windows:
        if window.left - window.reserved_until_end(reserved_rate, now) < attempt_cost:
            return ExceededLimit(
                f"units_per_{SPAN_NAMES[window.span]}", window.wait_us(attempt_cost, reserved_rate, now)
            )
    return None


def _attempts_within_limits(level: Level, attempt_cost: int, now: int = 0, reserved_rate: int = 0) -> int:
    """Attempts to reserve within a level's limits, given that one fits."""
    attempts = UNLIMITED
    if level.units is not None:
        attempts = min(attempts, attempts_to_reserve(level.units, attempt_cost))
    if level.attempts is not None:
        attempts = min(attempts, attempts_to_reserve(level.attempts, PICO))
    if level.extra_attempts is not None:
        attempts = min(attempts, 1 + level.extra_attempts.left // PICO)
    for window in level.windows:
        attempts = min(attempts, (window.left - window.reserved_until_end(reserved_rate, now)) // attempt_cost)
    return max(1, attempts)
