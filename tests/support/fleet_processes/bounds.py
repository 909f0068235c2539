"""Which version a router has to serve at a time: the bound on a change of the configuration, and when it holds.

A router is in touch while it, its links and the controllers have had no trouble for CONTACT_S. While only a minority of
the controllers has trouble, a router without trouble of its own gets OUTER_S more.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .observer import Sample
from .operator import Acknowledgement

APPLY_S = 2.0  # from an acknowledgement until every router in touch serves the version
CONTACT_S = 3.0
OUTER_S = 5.0
NOT_FOUND = 404


@dataclass(slots=True)
class Trouble:
    """A trouble of a router, of the controllers or of most of the controllers; `end` is infinite while it lasts."""

    what: str
    start: float
    end: float = math.inf


@dataclass(slots=True)
class Troubles:
    """All troubles of a run.

    Attributes:
        routers: Those of each router and its links.
        minority: Those of a minority of the controllers.
        majority: Times in which most of the controllers were not usable.
    """

    routers: dict[str, list[Trouble]] = field(default_factory=dict)
    minority: list[Trouble] = field(default_factory=list)
    majority: list[Trouble] = field(default_factory=list)

    def bound_s(self, router: str, at: float) -> float | None:
        """The seconds that a change may take at a router, for a request at this time; None if there is no bound."""
        if _is_within(self.routers.get(router, ()), at, CONTACT_S) or _is_within(self.majority, at, 2 * CONTACT_S):
            return None
        return APPLY_S + OUTER_S if _is_within(self.minority, at, CONTACT_S) else APPLY_S


@dataclass(frozen=True, slots=True)
class Violation:
    """A router that handled a request as only an older version allows, or told of an older version."""

    kind: str
    sample: Sample
    required: int

    def __str__(self) -> str:
        feed = self.sample.feed
        return (
            f"{self.kind}: {self.sample.router} at {self.sample.sent_at:.3f} required={self.required} "
            f"asked={self.sample.asked} status={self.sample.status} feed={feed}"
        )


def find_violations(
    samples: Iterable[Sample], acknowledgements: Sequence[Acknowledgement], troubles: Troubles
) -> list[Violation]:
    """The samples that show an older version than the bound allows, or one older than the same process told before."""
    acknowledged_at = [each.at for each in acknowledgements]
    newest: dict[tuple[str, int], int] = {}  # version by router and life
    violations = []
    for sample in samples:
        version = 0 if sample.feed is None else sample.feed["version"]
        life = (sample.router, sample.life)
        if sample.feed is not None and version < newest.get(life, 0):
            violations.append(Violation("regressed", sample, newest[life]))
        newest[life] = max(newest.get(life, 0), version)
        bound_s = troubles.bound_s(sample.router, sample.sent_at)
        if bound_s is None:
            continue
        due = bisect_right(acknowledged_at, sample.sent_at - bound_s)
        required = acknowledgements[due - 1].version if due else 0
        if sample.status == NOT_FOUND and sample.asked <= required:
            violations.append(Violation("older version served", sample, required))
        elif sample.feed is not None and version < required:
            violations.append(Violation("older version told", sample, required))
    return violations


def _is_within(troubles: Iterable[Trouble], at: float, seconds: float) -> bool:
    return any(each.start <= at and at - each.end <= seconds for each in troubles)
