"""What the scheduling decisions keep of a flow, in the present front and in the router alike."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False, kw_only=True)
class Share:
    """What LexAS and ARR keep of one flow."""

    eta: float = 0.0  # units allocated over weight
    gain: float = 0.0
    a: int = 0  # sends since the last reset
    over: float = 0.0  # s, this round's latencies less their aims, summed: above 0 their mean missed the aim
    used_at: float = 0.0
