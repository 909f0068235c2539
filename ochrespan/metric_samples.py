"""Figures that subsystems tell, whichever exporter sends them."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

FRONT_GROUP = "front"  # the group of what is of the whole front


@dataclass(frozen=True, slots=True)
class MetricSample:
    group: str
    name: str
    value: float
    counter: bool  # only grows, from the start on


class RequestCounters(Protocol):
    """Who counts requests and attempts."""

    def class_totals(self) -> dict[str, ClassTotals]: ...

    @property
    def dispatches(self) -> int: ...

    @property
    def concurrent(self) -> int: ...


class ServerCounters(Protocol):
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


def front_samples(requests: RequestCounters, targets: ServerCounters) -> Iterator[MetricSample]:
    """What tells from outside how the front does, for the control address and the exporters alike."""
    for name, totals in requests.class_totals().items():
        yield MetricSample("success", name, totals.success, True)
        yield MetricSample("overload", name, totals.overload, True)
        yield MetricSample("error", name, totals.error, True)
    yield MetricSample(FRONT_GROUP, "dispatches", requests.dispatches, True)
    yield MetricSample(FRONT_GROUP, "concurrent", requests.concurrent, False)
    counts = targets.target_counts()
    yield MetricSample(FRONT_GROUP, "targets", counts.listed, False)
    yield MetricSample(FRONT_GROUP, "targets_disabled", counts.avoided, False)


def metric_safe_name(name: str) -> str:
    """A name as the exporters' protocols take it: dots and slashes would split it."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", name) or "_"
