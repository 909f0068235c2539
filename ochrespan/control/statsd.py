"""Readings as lines of the statsd text protocol: `balancer.NAME:VALUE|c` or `|g`."""

from __future__ import annotations

import re
from collections.abc import Iterable

from ..metric_samples import FRONT, Reading

PREFIX = "balancer"
RESERVED = re.compile(r"[:|@\s]")  # what would end a name early


def line(reading: Reading) -> str:
    """One reading."""
    group = [] if reading.group == FRONT else [reading.group]
    path = ".".join([PREFIX, *group, reading.name])
    kind = "c" if reading.counter else "g"
    return f"{RESERVED.sub('_', path)}:{reading.value:.10g}|{kind}\n"


def text(readings: Iterable[Reading]) -> str:
    """All readings, a line each."""
    return "".join(map(line, readings))
