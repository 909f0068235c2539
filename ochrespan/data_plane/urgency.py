"""How urgent a request is: its rank among the priorities in use, and the `Priority` that its server is given.

Servers read the prompts of the more urgent first. A long prompt that is read before short ones makes all of them late,
while short ones hardly delay a long one; so a server's order goes by what a prompt costs to read, and the rank of
tenant and route moves it by a few steps.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from math import log2

STEPS = 2  # between the highest and the lowest rank, in steps of `Priority`
SHORT_PROMPT = 500.0  # tokens: up to twice that a prompt is of the first size, up to four times of the second
MOST_SIZE = 6  # of a prompt: longer ones are read in turn, or the longest would wait without end


class Ranks:
    """The priorities that were seen: a tenant's counts before its route's, 0 is the highest."""

    def __init__(self) -> None:
        self._seen: list[int] = []

    def note(self, priority: int) -> bool:
        """Whether it is a new one, which may move the others' steps."""
        at = bisect_left(self._seen, priority)
        new = at == len(self._seen) or self._seen[at] != priority
        if new:
            insort(self._seen, priority)
        return new

    def step(self, priority: int) -> int:
        """0 for the highest rank, up to STEPS for the lowest."""
        lowest = len(self._seen) - 1
        return round(STEPS * bisect_left(self._seen, priority) / lowest) if lowest > 0 else 0


def server_priority(step: int, reading_cost: float) -> int:
    """The `Priority` header of an attempt whose prompt costs that many tokens to read."""
    size = min(MOST_SIZE, int(log2(max(reading_cost, SHORT_PROMPT) / SHORT_PROMPT)))
    return size + step
