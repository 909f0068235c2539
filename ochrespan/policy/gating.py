"""LexAS: which flows may enter the scheduler queue.

Flows are compared by normalized usage: the units allocated to a flow over its weight.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil

from ..flow_state import FlowState

DEFICIT_LIMIT = 50.0  # summed deficit of the flows below the upper threshold, in normalized usage
GAP_LIMIT = 100.0  # summed gap to the highest usage of the flows above the lower threshold, likewise


def lift_lagging(flows: Sequence[FlowState], max_usage: float) -> None:
    """Raises the usage of lagging flows to the lower threshold, so that an idle flow cannot save up credit.

    The lower threshold is the lowest value whose summed gap to the highest usage stays below GAP_LIMIT.
    """
    remaining = GAP_LIMIT
    for position, flow in enumerate(sorted(flows, key=lambda flow: -flow.normalized_usage)):
        if max_usage - flow.normalized_usage > remaining / (len(flows) - position):
            lower_threshold = max_usage - remaining / (len(flows) - position)
            for lagging in flows:
                lagging.normalized_usage = max(lagging.normalized_usage, lower_threshold)
            break
        remaining -= max_usage - flow.normalized_usage


def upper_threshold(flows: Iterable[FlowState]) -> float:
    """Returns the largest value whose summed deficit over the flows below it stays below DEFICIT_LIMIT."""
    remaining, flows_below, threshold = DEFICIT_LIMIT, 0, 0.0
    for normalized_usage in sorted(flow.normalized_usage for flow in flows):
        if (normalized_usage - threshold) * flows_below > remaining:
            break
        remaining, flows_below, threshold = (
            remaining - (normalized_usage - threshold) * flows_below,
            flows_below + 1,
            normalized_usage,
        )
    return threshold + remaining / max(1, flows_below)


def is_gated(normalized_usage: float, threshold: float, queued: int, queue_length: int) -> bool:
    """Returns whether a flow must wait.

    It waits while the scheduler queue is full, and a flow above the upper threshold while it is half full,
    which leaves ARR enough requests to choose from.
    """
    return queued >= queue_length or (normalized_usage > threshold and queued >= ceil(queue_length / 2))
