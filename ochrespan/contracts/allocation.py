"""How many attempts of a request fit under every bound on its path, and what pays for them.

A request that its own reserve pays for is not held up by what others spent: bounds above its own level count it but
ask only of what is borrowed. Amounts and times are whole numbers (`fixed_point.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

from .borrowing import TimerQueue
from .fixed_point import MICROS, PARTS
from .grants import Funding, NotCovered, OverBudget
from .levels import Draw, Level
from .terms import Contract
from .token_bucket import Bucket
from .window import NAMES

LEAST_WAIT = 1000  # microseconds: a time to come back that is not at once
UNBOUNDED = 1 << 30  # attempts, where no budget bounds them


@dataclass(frozen=True, slots=True)
class Bound:
    """A bound that one more attempt does not fit under."""

    rule: str
    wait: int | None  # microseconds until it would fit; None: it never will


@dataclass(slots=True)
class Query:
    """Attempts that are to be paid for: of whom, of how many units each, and up to how many."""

    contract: Contract
    leaf: Level
    above: list[Level]  # the levels over the leaf, from below
    unit: int
    most: int
    now: int

    def refusal(self, level: Level, bound: Bound) -> NotCovered | OverBudget:
        """The answer where a level's bound does not let one attempt pass."""
        path = self.contract.path
        if bound.wait is None:
            where = level.path or "the installation"
            return NotCovered("units", path, f"{bound.rule} of {where} never bears it")
        return OverBudget(bound.rule, path, level.path, max(bound.wait, LEAST_WAIT) / MICROS)


def fit(bucket: Bucket, one: int) -> int:
    """Attempts to hold in advance: repeats only out of the upper half, so that they keep no first attempt out."""
    if bucket.left < one:
        return 0
    return max(1, (bucket.left - bucket.burst // 2) // one)


def secure(query: Query, timers: TimerQueue, extra: Bucket | None = None) -> Funding | NotCovered | OverBudget:
    """The attempts that fit, with the funds drawn for them. `extra`: what pays for repeats alone."""
    leaf, unit, now = query.leaf, query.unit, query.now
    timers.run(now)
    leaf.sync(now)
    for level in query.above:
        level.sync(now)
    if extra is not None and extra.left < PARTS:
        return query.refusal(leaf, Bound("attempts_per_request", LEAST_WAIT))
    if (bound := _bound(leaf, unit, now, 0)) is not None:
        return query.refusal(leaf, bound)
    attempts = min(_fit(leaf, unit), query.most)
    if leaf.share is None:  # no lending here: what is above bounds all alike
        allowed = _under(query, attempts, lending=False)
        return Funding(allowed, Draw()) if isinstance(allowed, int) else allowed
    if own := _own_attempts(leaf, unit, now):  # its own reserve pays: nothing that others did stands in its way
        attempts = min(attempts, own)
    else:
        allowed = _under(query, attempts, lending=True)
        if not isinstance(allowed, int):
            return allowed
        attempts = allowed
    return _draw(query, attempts, timers)


def _own_attempts(leaf: Level, unit: int, now: int) -> int:
    """Attempts that the leaf's own reserve pays for."""
    if leaf.reserve is None:
        return 0
    leaf.reserve.sync(now)
    return fit(leaf.reserve, unit)


def _under(query: Query, attempts: int, lending: bool) -> int | NotCovered | OverBudget:
    """How many of these attempts fit under the bounds of the levels above."""
    for level in query.above:
        kept = level.reserved if lending else 0
        if (bound := _bound(level, query.unit, query.now, kept)) is not None:
            return query.refusal(level, bound)
        attempts = min(attempts, _fit(level, query.unit, query.now, kept))
    return attempts


def _draw(query: Query, attempts: int, timers: TimerQueue) -> Funding | NotCovered | OverBudget:
    """Funds for as many of these attempts as there are, whole attempts only."""
    leaf, unit = query.leaf, query.unit
    draw = leaf.draw(timers, attempts * unit, query.now)
    paid = (draw.own + draw.lent) // unit
    if not paid:
        leaf.pay(draw, 0)
        # nothing may flow in now, but its lenders can fall idle at any time
        return query.refusal(leaf, Bound("funds", leaf.funds_wait(unit) or MICROS))
    return Funding(paid, leaf.trim(draw, draw.own + draw.lent - paid * unit))


def _bound(level: Level, unit: int, now: int, kept: int) -> Bound | None:
    """The bound of a level that one attempt does not fit under; `kept`: the rate that windows keep back."""
    if level.units is not None and level.units.left < unit:
        return Bound("units_per_s", level.units.wait(unit))
    if level.attempts is not None and level.attempts.left < PARTS:
        return Bound("attempts_per_s", level.attempts.wait(PARTS))
    for window in level.windows:
        if window.left - window.kept_back(kept, now) < unit:
            return Bound(f"units_per_{NAMES[window.span]}", window.wait(unit, kept, now))
    return None


def _fit(level: Level, unit: int, now: int = 0, kept: int = 0) -> int:
    """Attempts to hold under a level's bounds, once one does fit."""
    fits = UNBOUNDED
    if level.units is not None:
        fits = min(fits, fit(level.units, unit))
    if level.attempts is not None:
        fits = min(fits, fit(level.attempts, PARTS))
    if level.extras is not None:
        fits = min(fits, 1 + level.extras.left // PARTS)
    for window in level.windows:
        fits = min(fits, (window.left - window.kept_back(kept, now)) // unit)
    return max(1, fits)
