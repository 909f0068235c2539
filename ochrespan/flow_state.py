"""Scheduling state of a flow, shared by the HTTP front and the router."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False, kw_only=True)
class FlowState:
    """State of one flow that LexAS (`policy/gating.py`) and ARR (`policy/arr.py`) read and update."""

    normalized_usage: float = 0.0  # allocated units divided by the weight; LexAS calls it eta
    gain: float = 0.0  # ARR serves flows in proportion to their gains
    sends_in_round: int = 0  # attempts sent in the current ARR round
    latency_excess_s: float = 0.0  # sum of (latency - target) in this round; above 0 the mean missed the target
    last_used_at: float = 0.0
