"""How urgent a request is: its rank among the priorities in use, and the `Priority` that its server is given.

Servers read the prompts of the more urgent first. A long prompt that is read before short ones makes all of them late,
while short ones hardly delay a long one; so a server's order goes by what a prompt costs to read, and the rank of
tenant and route moves it by a few steps.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from math import log2

RANK_STEPS = 2  # between the highest and the lowest rank, in steps of `Priority`
SHORT_PROMPT_TOKENS = 500.0  # tokens: up to twice that a prompt is of the first size, up to four times of the second
MAX_SIZE_STEP = 6  # of a prompt: longer ones are read in turn, or the longest would wait without end


class PriorityRanks:
    """The priorities that were seen: a tenant's counts before its route's, 0 is the highest."""

    def __init__(self) -> None:
        self._seen: list[int] = []

    def add(self, priority: int) -> bool:
        """Whether it is a new one, which may move the others' steps."""
        index = bisect_left(self._seen, priority)
        is_new = index == len(self._seen) or self._seen[index] != priority
        if is_new:
            insort(self._seen, priority)
        return is_new

    def step(self, priority: int) -> int:
        """0 for the highest rank, up to STEPS for the lowest."""
        lowest = len(self._seen) - 1
        return round(RANK_STEPS * bisect_left(self._seen, priority) / lowest) if lowest > 0 else 0


def server_priority(step: int, prefill_cost: float) -> int:
    """The `Priority` header of an attempt whose prompt costs that many tokens to read."""
    size_step = min(MAX_SIZE_STEP, int(log2(max(prefill_cost, SHORT_PROMPT_TOKENS) / SHORT_PROMPT_TOKENS)))
    return size_step + step
