"""Readings as lines of the statsd text protocol: `balancer.NAME:VALUE|c` or `|g`."""

from __future__ import annotations

import re
from collections.abc import Iterable

from ..metric_samples import FRONT_GROUP, MetricSample

PREFIX = "balancer"
RESERVED = re.compile(r"[:|@\s]")  # what would end a name early


def statsd_line(sample: MetricSample) -> str:
    """One reading."""
    group = [] if sample.group == FRONT_GROUP else [sample.group]
    path = ".".join([PREFIX, *group, sample.name])
    kind = "c" if sample.counter else "g"
    return f"{RESERVED.sub('_', path)}:{sample.value:.10g}|{kind}\n"


def statsd_text(samples: Iterable[MetricSample]) -> str:
    """All readings, a line each."""
    return "".join(map(statsd_line, samples))
