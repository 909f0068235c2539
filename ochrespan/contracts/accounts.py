"""What each level was granted, spent, holds, lent, borrowed and was refused: exact at any moment."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .admission import Admission
from .fixed_point import PARTS, micros, units
from .levels import Level
from .token_bucket import Bucket
from .window import NAMES


@dataclass(frozen=True, slots=True)
class Account:
    """One budget of one level, in units or attempts: granted = spent + held + left."""

    path: str
    budget: str
    granted: float
    spent: float
    held: float
    left: float


@dataclass(frozen=True, slots=True)
class Figures:
    """What one level's requests came to, and what it lent and borrowed in units."""

    path: str
    kind: str
    open: int
    lent: float
    borrowed: float
    counts: dict[str, int]


def _of(level: Level, name: str, bucket: Bucket) -> Account:
    return Account(
        level.path, name, *(amount / PARTS for amount in (bucket.granted, bucket.spent, bucket.held, bucket.left))
    )


def accounts(admission: Admission, now: float) -> Iterator[Account]:
    """Every budget of every level that has asked for something."""
    admission.advance(now)
    for level in list(admission.levels.values()):
        if not level.counts and level.path:
            continue  # it has not asked for anything yet
        for name, bucket in (
            ("units", level.units),
            ("attempts", level.attempts),
            ("extra-attempts", level.extras),
            ("reserve", level.reserve),
        ):
            if bucket is not None:
                bucket.sync(micros(now))
                yield _of(level, name, bucket)
        for window in level.windows:
            window.sync(micros(now))
            yield Account(
                level.path,
                f"units-per-{NAMES[window.span]}",
                units(window.quota),
                units(window.spent),
                units(window.held),
                units(window.left),
            )


def figures(admission: Admission, now: float) -> Iterator[Figures]:
    """Counts, open requests and lending of every level that has asked for something."""
    admission.advance(now)
    for level in list(admission.levels.values()):
        if level.counts:
            lent = level.lent
            if level.lending_since is not None and level.reserve is not None:
                lent += level.reserve.rate * max(0, micros(now) - level.lending_since)
            yield Figures(
                level.path, level.terms.kind, level.open, units(lent), units(level.borrowed), dict(level.counts)
            )
