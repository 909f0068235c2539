"""How many attempts of a request fit under every bound on its path, and what pays for them.

A request that its own reserve pays for is not held up by what others spent: bounds above its own level count it but
ask only of what is borrowed. Amounts and times are whole numbers (`fixed_point.py`).
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

MIN_WAIT_US = 1000  # microseconds: a time to come back that is not at once
UNLIMITED = 1 << 30  # attempts, where no budget bounds them


@dataclass(frozen=True, slots=True)
class ExceededLimit:
    """A bound that one more attempt does not fit under."""

    rule: str
    wait_us: int | None  # microseconds until it would fit; None: it never will


@dataclass(slots=True)
class AllocationRequest:
    """Attempts that are to be paid for: of whom, of how many units each, and up to how many."""

    contract: Contract
    leaf: Level
    ancestors: list[Level]  # the levels over the leaf, from below
    attempt_cost: int
    max_attempts: int
    now: int

    def refusal(self, level: Level, exceeded: ExceededLimit) -> NotCovered | OverBudget:
        """The answer where a level's bound does not let one attempt pass."""
        path = self.contract.path
        if exceeded.wait_us is None:
            where = level.path or "the installation"
            return NotCovered("units", path, f"{exceeded.rule} of {where} never bears it")
        return OverBudget(exceeded.rule, path, level.path, max(exceeded.wait_us, MIN_WAIT_US) / MICROS_PER_S)


def attempts_to_hold(bucket: TokenBucket, cost: int) -> int:
    """Attempts to hold in advance: repeats only out of the upper half, so that they keep no first attempt out."""
    if bucket.left < cost:
        return 0
    return max(1, (bucket.left - bucket.burst // 2) // cost)


def allocate(
    request: AllocationRequest, timers: TimerQueue, extra_attempts: TokenBucket | None = None
) -> Allocation | NotCovered | OverBudget:
    """The attempts that fit, with the funds drawn for them. `extra`: what pays for repeats alone."""
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
    if leaf.borrower is None:  # no lending here: what is above bounds all alike
        allowed = _limit_by_ancestors(request, attempts, borrowing=False)
        return Allocation(allowed, Draw()) if isinstance(allowed, int) else allowed
    if from_reserve := _attempts_from_reserve(leaf, attempt_cost, now):  # the limits of its ancestors do not apply
        attempts = min(attempts, from_reserve)
    else:
        allowed = _limit_by_ancestors(request, attempts, borrowing=True)
        if not isinstance(allowed, int):
            return allowed
        attempts = allowed
    return _draw(request, attempts, timers)


def _attempts_from_reserve(leaf: Level, attempt_cost: int, now: int) -> int:
    """Attempts that the leaf's own reserve pays for."""
    if leaf.reserve is None:
        return 0
    leaf.reserve.refill(now)
    return attempts_to_hold(leaf.reserve, attempt_cost)


def _limit_by_ancestors(request: AllocationRequest, attempts: int, borrowing: bool) -> int | NotCovered | OverBudget:
    """How many of these attempts fit under the bounds of the levels above."""
    for level in request.ancestors:
        reserved_rate = level.reserved_below if borrowing else 0
        if (exceeded := _exceeded_limit(level, request.attempt_cost, request.now, reserved_rate)) is not None:
            return request.refusal(level, exceeded)
        attempts = min(attempts, _attempts_within_limits(level, request.attempt_cost, request.now, reserved_rate))
    return attempts


def _draw(request: AllocationRequest, attempts: int, timers: TimerQueue) -> Allocation | NotCovered | OverBudget:
    """Funds for as many of these attempts as there are, whole attempts only."""
    leaf, attempt_cost = request.leaf, request.attempt_cost
    draw = leaf.draw(timers, attempts * attempt_cost, request.now)
    funded = (draw.own + draw.borrowed) // attempt_cost
    if not funded:
        leaf.charge(draw, 0)
        # nothing may flow in now, but its lenders can fall idle at any time
        return request.refusal(leaf, ExceededLimit("funds", leaf.funds_wait_us(attempt_cost) or MICROS_PER_S))
    return Allocation(funded, leaf.return_remainder(draw, draw.own + draw.borrowed - funded * attempt_cost))


def _exceeded_limit(level: Level, attempt_cost: int, now: int, reserved_rate: int) -> ExceededLimit | None:
    """The bound of a level that one attempt does not fit under; `kept`: the rate that windows keep back."""
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
    """Attempts to hold under a level's bounds, once one does fit."""
    attempts = UNLIMITED
    if level.units is not None:
        attempts = min(attempts, attempts_to_hold(level.units, attempt_cost))
    if level.attempts is not None:
        attempts = min(attempts, attempts_to_hold(level.attempts, PICO))
    if level.extra_attempts is not None:
        attempts = min(attempts, 1 + level.extra_attempts.left // PICO)
    for window in level.windows:
        attempts = min(attempts, (window.left - window.reserved_until_end(reserved_rate, now)) // attempt_cost)
    return max(1, attempts)
