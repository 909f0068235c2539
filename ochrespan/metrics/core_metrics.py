"""What is exported, whichever way it goes out."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from datetime import timedelta

from ..broker import Broker
from ..metric_samples import MetricSample, metric_safe_name


def core_metrics(broker: Broker) -> Iterator[MetricSample]:
    """The core's figures: requests held, attempts, outcomes, and the use of each plan and class."""
    counts = broker.counts
    yield MetricSample("front", "held", broker.pending, False)
    yield MetricSample("front", "attempts", counts.attempts, True)
    yield MetricSample("front", "not_covered", counts.not_covered, True)
    yield MetricSample("front", "over_budget", counts.over_budget, True)
    for status, number in counts.outcomes.items():
        yield MetricSample("outcomes", metric_safe_name(status.value), number, True)
    for (plan, cls), usage in list(counts.usage.items()):
        for field in dataclasses.fields(usage):
            value = getattr(usage, field.name)
            if field.name == "waited":  # collectd's counters are whole numbers
                value = value // timedelta(milliseconds=1)
                yield MetricSample(f"{metric_safe_name(plan)}-{metric_safe_name(cls)}", "waited_ms", value, True)
            else:
                yield MetricSample(f"{metric_safe_name(plan)}-{metric_safe_name(cls)}", field.name, value, True)
