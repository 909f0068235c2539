"""What the scheduling decisions keep of a flow, in the present front and in the router alike."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False, kw_only=True)
class FlowState:
    """What LexAS and ARR keep of one flow."""

    normalized_usage: float = 0.0  # units allocated over weight
    gain: float = 0.0
    sends_in_round: int = 0  # sends since the last reset
    latency_excess: float = 0.0  # s, this round's latencies less their aims, summed: above 0 their mean missed the aim
    last_used_at: float = 0.0
