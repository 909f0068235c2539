"""Figures that subsystems tell, whichever exporter sends them."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

FRONT = "front"  # the group of what is of the whole front


@dataclass(frozen=True, slots=True)
class Reading:
    group: str
    name: str
    value: float
    counter: bool  # only grows, from the start on


class Requests(Protocol):
    """Who counts requests and attempts."""

    def class_totals(self) -> dict[str, ClassTotals]: ...

    @property
    def dispatches(self) -> int: ...

    @property
    def concurrent(self) -> int: ...


class Targets(Protocol):
    """Who knows the list of chunk servers."""

    def target_counts(self) -> TargetCounts: ...


@dataclass(slots=True)
class ClassTotals:
    """Requests of a class that have ended, by how."""

    success: int = 0
    overload: int = 0
    error: int = 0


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Chunk servers in the list, and those of them that the front avoids."""

    listed: int
    avoided: int


def operating(requests: Requests, targets: Targets) -> Iterator[Reading]:
    """What tells from outside how the front does, for the control address and the exporters alike."""
    for name, totals in requests.class_totals().items():
        yield Reading("success", name, totals.success, True)
        yield Reading("overload", name, totals.overload, True)
        yield Reading("error", name, totals.error, True)
    yield Reading(FRONT, "dispatches", requests.dispatches, True)
    yield Reading(FRONT, "concurrent", requests.concurrent, False)
    counts = targets.target_counts()
    yield Reading(FRONT, "targets", counts.listed, False)
    yield Reading(FRONT, "targets_disabled", counts.avoided, False)


def plain(name: str) -> str:
    """A name as the exporters' protocols take it: dots and slashes would split it."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", name) or "_"
