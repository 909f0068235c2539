"""The flows of one router: a tenant's requests on one route, with what LexAS and ARR keep of them."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from ..flow_state import FlowState
from ..policy.arr import INITIAL_GAIN, ROUND_S, end_round
from .decisions import Request
from .urgency import PriorityRanks

WEIGHT_RATIO = 2.0  # multiple of a flow's weight, and of its first gain, for each step of urgency
HALF_CONFIDENCE_RESPONSES = 4.0  # answers in a round whose mean counts half: a mean over few is noise
IDLE_TIMEOUT_S = 30.0  # s, after which an idle flow leaves the table


@dataclass(slots=True, eq=False)
class Flow(FlowState):
    """A tenant's requests on one route."""

    weight: float
    priority: int = 0
    responses: int = 0  # in this round

    def record_first_response(self, latency: float, latency_target_s: float) -> None:
        """A first piece has come `wait` seconds after its request."""
        self.latency_excess += latency - latency_target_s
        self.responses += 1


class FlowTable:
    """All flows that had requests lately."""

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], Flow] = {}
        self._ranks = PriorityRanks()
        self._round_at = -inf

    def flow_for(self, now: float, request: Request) -> Flow:
        """The flow of a request; a new one starts with the gain of its urgency."""
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
        """How many steps of urgency a request is below the most urgent."""
        return self._ranks.step(request.priority)

    def end_round(self, now: float) -> None:
        """ARR: flows whose mean latency missed their aim gain gamma, and every a resets."""
        if now < self._round_at:
            return
        self._round_at = now + ROUND_S
        for key, flow in list(self._flows.items()):
            end_round(flow, flow.responses / (flow.responses + HALF_CONFIDENCE_RESPONSES))
            flow.responses = 0
            if now - flow.last_used_at > IDLE_TIMEOUT_S:
                del self._flows[key]

    def _weight(self, priority: int) -> float:
        return WEIGHT_RATIO ** -self._ranks.step(priority)

    def _update_weights(self) -> None:
        """The steps of urgency have moved: weights and gains follow."""
        for flow in self._flows.values():
            weight = self._weight(flow.priority)
            flow.gain *= weight / flow.weight
            flow.weight = weight
