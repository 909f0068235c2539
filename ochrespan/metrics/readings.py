"""What is exported, whichever way it goes out."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from datetime import timedelta

from ..broker import Broker
from ..metric_samples import Reading, plain


def readings(broker: Broker) -> Iterator[Reading]:
    """The core's figures: requests held, attempts, outcomes, and the use of each plan and class."""
    counts = broker.counts
    yield Reading("front", "held", broker.held, False)
    yield Reading("front", "attempts", counts.attempts, True)
    yield Reading("front", "not_covered", counts.not_covered, True)
    yield Reading("front", "over_budget", counts.over_budget, True)
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
