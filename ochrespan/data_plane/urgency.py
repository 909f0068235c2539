"""How urgent a request is: its rank among the priorities in use, and the `Priority` header for its server.

Servers prefill the prompts of more urgent requests first. A long prompt ahead of short ones delays all of them, while
short ones hardly delay a long one. The header therefore follows the prefill cost of the prompt, and the priority of
tenant and route moves it by up to RANK_STEPS.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from math import log2

RANK_STEPS = 2  # steps of `Priority` between the highest and the lowest rank
SHORT_PROMPT_TOKENS = 500.0  # prompts below twice this have size step 0, below four times step 1
MAX_SIZE_STEP = 6  # longer prompts share this step, so that the longest do not starve


class PriorityRanks:
    """The priorities in use, ordered by the tenant's, then the route's; 0 is the highest."""

    def __init__(self) -> None:
        self._seen: list[int] = []

    def add(self, priority: int) -> bool:
        """Adds a priority; returns whether it is new, which may shift the steps of the others."""
        index = bisect_left(self._seen, priority)
        is_new = index == len(self._seen) or self._seen[index] != priority
        if is_new:
            insort(self._seen, priority)
        return is_new

    def step(self, priority: int) -> int:
        """Returns 0 for the highest rank, up to RANK_STEPS for the lowest."""
        lowest = len(self._seen) - 1
        return round(RANK_STEPS * bisect_left(self._seen, priority) / lowest) if lowest > 0 else 0


def server_priority(step: int, prefill_cost: float) -> int:
    """Returns the `Priority` header of an attempt; `prefill_cost` is that of `prefill_times.compute_prefill_cost`."""
    size_step = min(MAX_SIZE_STEP, int(log2(max(prefill_cost, SHORT_PROMPT_TOKENS) / SHORT_PROMPT_TOKENS)))
    return size_step + step
