"""ARR: adaptive round robin among the flows with requests in the scheduler queue.

A server with free capacity takes the flow with the smallest
(sends in this round + 1) / (its fraction of all gains).
"""

from __future__ import annotations

from ..flow_state import FlowState

INITIAL_GAIN = 1.0  # gain of a new flow
GAIN_STEP = 0.5  # gain added after a round in which the flow's mean latency exceeded its target
ROUND_S = 1.0


def rank(flow: FlowState) -> float:
    """Returns the sort key of a flow, smallest first.

    The sum of all gains is left out, since it is the same for every flow.
    """
    return (flow.sends_in_round + 1) / flow.gain


def end_round(flow: FlowState, confidence: float = 1.0) -> None:
    """Adds GAIN_STEP times `confidence` to a flow that missed its latency target, and resets its counters."""
    if flow.latency_excess_s > 0:
        flow.gain += GAIN_STEP * confidence
    flow.sends_in_round, flow.latency_excess_s = 0, 0.0
