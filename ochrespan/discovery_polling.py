"""When a head asks for the list: a plan of calls without I/O, which hears what came of them and is given the time.

Discovery is one service for all heads and takes calls in turn. Where more come than it can take, each waits until
it has waited too long and fails, and its repeat is one more in the queue: a fleet whose heads each repeat soon
keeps such a queue full for good, and none of them hears of anything. So the plan reckons with all heads: they
start in one moment, or lose their watches in one moment, and what they ask in a second together has to stay
under what discovery takes. Nothing waits for it: the list that is known is used meanwhile.
"""

from __future__ import annotations

from math import inf
from random import Random

CALL_COST_S = 0.1  # s of discovery's time that a head reckons with for each other head's call
MIN_WAIT_S, MAX_WAIT_S = 0.1, 2.0  # s, the shortest wait, and the bound of the longest one where few heads ask
MAX_WAIT_AT_ONCE_S = 0.5  # s, the bound of the longest wait where news counts as told at once: the time of a drain runs
OLD_ADDRESS_GRACE_S = 1.5  # s that an old address serves the watches it has, and news of it is heard, after a move
FIRST_WAIT_FRACTION = 0.4  # of the time that the rules allow without asking: bounds the first waits; twice that, all


class PollSchedule:
    """Phases: waiting to ask (`at` says when), asked, and watching; `at` is infinite while nothing is planned.

    A move to another address is planned while the watch at the old one goes on, or breaks.
    """

    def __init__(self, fronts: int, max_interval: float | None, random: Random, now: float) -> None:
        self._max_interval, self._random = max_interval, random
        # 0: all news counts as told at once, whether or not it was asked for, so the plan waits for nobody
        self._spread = min(
            CALL_COST_S * max(0, fronts - 1), FIRST_WAIT_FRACTION * (inf if max_interval is None else max_interval)
        )
        self._max_wait = max(MAX_WAIT_S, 2 * self._spread) if max_interval != 0 else MAX_WAIT_AT_ONCE_S
        self._wait_bound = max(2 * MIN_WAIT_S, self._spread)
        self._moving = False  # to ask at a new address, by a lot that nothing changes
        self.next_call_at = now + self._spread * random.random()  # heads may all have started now

    def due(self, now: float) -> bool:
        """Whether to ask now. Counts as asked; asks again if nothing is heard for half of what the rules allow."""
        if now < self.next_call_at:
            return False
        self._moving = False
        self.next_call_at = now + (self._max_interval or inf) / 2
        return True

    def failed(self, now: float) -> None:
        """A call failed or a watch broke: waits by lot, under a bound that doubles with each failure in a row."""
        if self._moving:  # the old watch; what it breaks for is known
            return
        self.next_call_at = now + max(MIN_WAIT_S, self._wait_bound * self._random.random())
        self._wait_bound = min(self._max_wait, 2 * self._wait_bound)

    def moved(self, now: float) -> None:
        """All heads are told of a new address at once: each goes there by lot, within what the old one stands for."""
        self._moving, self.next_call_at = True, now + min(OLD_ADDRESS_GRACE_S, self._spread) * self._random.random()

    def answered(self) -> None:
        """An answer came: the watch stands, and nothing is asked until it breaks."""
        self._wait_bound = max(2 * MIN_WAIT_S, self._spread)
        if not self._moving:
            self.next_call_at = inf
