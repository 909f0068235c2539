"""Metric samples that subsystems provide, independent of the exporter that sends them."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

FRONT_GROUP = "front"  # group of the metrics that concern the front as a whole


@dataclass(frozen=True, slots=True)
class MetricSample:
    group: str
    name: str
    value: float
    counter: bool  # monotonic since the start; else a gauge


class RequestCounters(Protocol):
    """Provides counts of requests and attempts."""

    def class_totals(self) -> dict[str, ClassTotals]: ...

    @property
    def dispatches(self) -> int: ...

    @property
    def concurrent(self) -> int: ...


class ServerCounters(Protocol):
    """Provides counts of chunk servers."""

    def target_counts(self) -> TargetCounts: ...


@dataclass(slots=True)
class ClassTotals:
    """Ended requests of a class, by result."""

    success: int = 0
    overload: int = 0
    error: int = 0


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """The number of chunk servers in the list, and of those that the front avoids."""

    listed: int
    avoided: int


def front_samples(requests: RequestCounters, targets: ServerCounters) -> Iterator[MetricSample]:
    """The operational metrics of the front, for the control address and for the exporters."""
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
    """Replaces characters that the exporters' protocols do not allow in a name, such as dots and slashes."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", name) or "_"
