"""Accounting snapshots of each level: granted, spent, held, lent and borrowed amounts, and counts of refusals.

The amounts are exact at any moment: granted = spent + held + left.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .admission import Admission
from .fixed_point import PICO, from_pico, to_micros
from .levels import Level
from .token_bucket import TokenBucket
from .window import SPAN_NAMES


@dataclass(frozen=True, slots=True)
class Account:
    """One budget of one level, in units or attempts: granted = spent + held + left. The amounts are named as
    their metrics."""

    path: str
    budget: str
    granted: float
    spent: float
    held: float
    left: float


@dataclass(frozen=True, slots=True)
class LevelStatistics:
    """Counts of one level's requests, and the units that it has lent and borrowed."""

    path: str
    kind: str
    open: int
    lent: float
    borrowed: float
    counts: dict[str, int]


def _account(level: Level, name: str, bucket: TokenBucket) -> Account:
    return Account(
        level.path, name, *(amount / PICO for amount in (bucket.granted, bucket.spent, bucket.held, bucket.left))
    )


def accounts(admission: Admission, now: float) -> Iterator[Account]:
    """Yields every budget of every level that has received a request, and those of the installation."""
    admission.advance(now)
    for level in list(admission.levels.values()):
        if not level.counts and level.path:
            continue  # no request yet
        for name, bucket in (
            ("units", level.units),
            ("attempts", level.attempts),
            ("extra-attempts", level.extra_attempts),
            ("reserve", level.reserve),
        ):
            if bucket is not None:
                bucket.refill(to_micros(now))
                yield _account(level, name, bucket)
        for window in level.windows:
            window.advance(to_micros(now))
            yield Account(
                level.path,
                f"units-per-{SPAN_NAMES[window.span]}",
                from_pico(window.quota),
                from_pico(window.spent),
                from_pico(window.held),
                from_pico(window.left),
            )


def level_statistics(admission: Admission, now: float) -> Iterator[LevelStatistics]:
    """Yields counts, open requests and lending of every level that has received a request."""
    admission.advance(now)
    for level in list(admission.levels.values()):
        if level.counts:
            lent = level.lent
            if level.lent_since is not None and level.reserve is not None:
                lent += level.reserve.rate * max(0, to_micros(now) - level.lent_since)
            yield LevelStatistics(
                level.path, level.terms.kind, level.open, from_pico(lent), from_pico(level.borrowed), dict(level.counts)
            )
