"""The flows of one router and their scheduling state. A flow is the requests of one tenant on one route."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from ..flow_state import FlowState
from ..policy.arr import INITIAL_GAIN, ROUND_S, end_round
from .decisions import Request
from .urgency import PriorityRanks

WEIGHT_RATIO = 2.0  # weight and initial gain of a flow over those of a flow one rank step lower
HALF_CONFIDENCE_FIRST_CHUNKS = (
    4.0  # first chunks in a round at which its mean latency counts half: the mean of a few is noise
)
IDLE_TIMEOUT_S = 30.0  # idle flows are removed after this time


@dataclass(slots=True, eq=False)
class Flow(FlowState):
    """Requests of one tenant on one route."""

    weight: float
    priority: int = 0
    first_chunks_in_round: int = 0  # in the current round of adaptive round robin (`policy/arr.py`)

    def record_first_response(self, latency_s: float, latency_target_s: float) -> None:
        """Records the first chunk of a response, `latency_s` seconds after the request arrived."""
        self.latency_excess_s += latency_s - latency_target_s
        self.first_chunks_in_round += 1


class FlowTable:
    """All flows with recent requests."""

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], Flow] = {}
        self._ranks = PriorityRanks()
        self._round_ends_at = -inf

    def flow_for(self, now: float, request: Request) -> Flow:
        """Returns the flow of a request; a new one gets the weight and gain of its rank step."""
        flow = self._flows.get((request.tenant, request.route))
        if flow is None:
            if self._ranks.add(request.priority):
                self._update_weights()
            weight = self._weight(request.priority)
            flow = Flow(weight=weight, gain=INITIAL_GAIN * weight, priority=request.priority)
            self._flows[request.tenant, request.route] = flow
        flow.last_used_at = now
        return flow

    def rank_step(self, request: Request) -> int:
        """Returns how many rank steps a request is below the most urgent one."""
        return self._ranks.step(request.priority)

    def end_round(self, now: float) -> None:
        """Ends the round of adaptive round robin if due: adjusts gains, resets the counters and removes idle flows."""
        if now < self._round_ends_at:
            return
        self._round_ends_at = now + ROUND_S
        for key, flow in list(self._flows.items()):
            end_round(flow, flow.first_chunks_in_round / (flow.first_chunks_in_round + HALF_CONFIDENCE_FIRST_CHUNKS))
            flow.first_chunks_in_round = 0
            if now - flow.last_used_at > IDLE_TIMEOUT_S:
                del self._flows[key]

    def _weight(self, priority: int) -> float:
        return WEIGHT_RATIO ** -self._ranks.step(priority)

    def _update_weights(self) -> None:
        """Recomputes weights and gains after a new priority has shifted the rank steps."""
        for flow in self._flows.values():
            weight = self._weight(flow.priority)
            flow.gain *= weight / flow.weight
            flow.weight = weight
