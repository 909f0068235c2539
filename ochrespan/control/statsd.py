"""Formats metric samples as lines of the statsd text protocol: `balancer.NAME:VALUE|c` or `|g`."""

from __future__ import annotations

import re
from collections.abc import Iterable

from ..metric_samples import FRONT_GROUP, MetricSample

PREFIX = "balancer"
RESERVED = re.compile(r"[:|@\s]")  # delimiters of the protocol, replaced in names


def statsd_line(sample: MetricSample) -> str:
    """The line of one sample."""
    group = [] if sample.group == FRONT_GROUP else [sample.group]
    path = ".".join([PREFIX, *group, sample.name])
    kind = "c" if sample.counter else "g"
    return f"{RESERVED.sub('_', path)}:{sample.value:.10g}|{kind}\n"


def statsd_text(samples: Iterable[MetricSample]) -> str:
    """The lines of all samples."""
    return "".join(map(statsd_line, samples))
