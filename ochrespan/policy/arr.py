"""ARR: which promoted flow a node with room serves, by (a + 1) / delta; delta is its part of all gains."""

from __future__ import annotations

from ..flow_state import FlowState

INITIAL_GAIN = 1.0  # gain a flow starts with
GAIN_STEP = 0.5  # gain added after a round in which the flow's mean latency missed its aim
ROUND_S = 1.0  # s, length of a round


def rank(flow: FlowState) -> float:
    """(a + 1) / delta, but for the sum of all gains, which is the same for every flow."""
    return (flow.sends_in_round + 1) / flow.gain


def end_round(flow: FlowState, confidence: float = 1.0) -> None:
    """A flow whose mean latency missed its aim gains GAMMA, as far as that is certain; every a resets."""
    if flow.latency_excess > 0:
        flow.gain += GAIN_STEP * confidence
    flow.sends_in_round, flow.latency_excess = 0, 0.0
