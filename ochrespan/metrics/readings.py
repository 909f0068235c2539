"""What is exported, whichever way it goes out."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from ..broker import Broker


@dataclass(frozen=True, slots=True)
class Reading:
    group: str
    name: str
    value: float
    counter: bool  # only grows, from the start on


def plain(name: str) -> str:
    """A name as both protocols' readers take it: dots and slashes would split it."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", name) or "_"


def readings(broker: Broker) -> Iterator[Reading]:
    counts = broker.counts
    yield Reading("front", "held", broker.held, False)
    yield Reading("front", "attempts", counts.attempts, True)
    for status, number in counts.outcomes.items():
        yield Reading("outcomes", plain(status.value), number, True)
    for (plan, cls), usage in list(counts.usage.items()):
        for field in dataclasses.fields(usage):
            value = getattr(usage, field.name)
            if field.name == "waited":  # collectd's counters are whole numbers
                value = value // timedelta(milliseconds=1)
                yield Reading(f"{plain(plan)}-{plain(cls)}", "waited_ms", value, True)
            else:
                yield Reading(f"{plain(plan)}-{plain(cls)}", field.name, value, True)
