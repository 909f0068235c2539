"""LexAS: which flows may enter the scheduler queue, by eta, the units allocated to a flow over its weight."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil

from ..flow_state import Share

LEXAS_MAX = 50.0  # summed deficit of the flows under T_max, in units over weight
LEXAS_MIN = 100.0  # summed gap of the flows over T_min to the top eta, likewise


def lift_lagging(flows: Sequence[Share], eta_top: float) -> None:
    """Lifts lagging flows to T_min, the lowest value whose summed gap to the top eta is under LEXAS_MIN."""
    left = LEXAS_MIN
    for k, flow in enumerate(sorted(flows, key=lambda flow: -flow.eta)):
        if eta_top - flow.eta > left / (len(flows) - k):
            t_min = eta_top - left / (len(flows) - k)
            for lagging in flows:
                lagging.eta = max(lagging.eta, t_min)
            break
        left -= eta_top - flow.eta


def upper_threshold(flows: Iterable[Share]) -> float:
    """T_max, the largest value whose summed deficit over the flows under it is below LEXAS_MAX."""
    left, below, t_max = LEXAS_MAX, 0, 0.0
    for eta in sorted(flow.eta for flow in flows):
        if (eta - t_max) * below > left:
            break
        left, below, t_max = left - (eta - t_max) * below, below + 1, eta
    return t_max + left / max(1, below)


def is_gated(eta: float, t_max: float, ready: int, length: int) -> bool:
    """Whether a flow is held back: the scheduler queue is full, or it is above T_max and ARR has enough."""
    return ready >= length or (eta > t_max and ready >= ceil(length / 2))
