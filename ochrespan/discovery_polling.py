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

EACH = 0.1  # s of discovery's time that a head reckons with for each other head's call
LEAST, MOST = 0.1, 2.0  # s, the shortest wait, and the bound of the longest one where few heads ask
AT_ONCE = 0.5  # s, the bound of the longest wait where news counts as told at once: the time of a drain runs
STANDS = 1.5  # s that an old address serves the watches it has, and news of it is heard, after a move
PART = 0.4  # of the time that the rules allow without asking: bounds the first waits; twice that, all


class Asking:
    """Phases: waiting to ask (`at` says when), asked, and watching; `at` is infinite while nothing is planned.

    A move to another address is planned while the watch at the old one goes on, or breaks.
    """

    def __init__(self, heads: int, within: float | None, lot: Random, now: float) -> None:
        self._within, self._lot = within, lot
        # 0: all news counts as told at once, whether or not it was asked for, so the plan waits for nobody
        self._crowd = min(EACH * max(0, heads - 1), PART * (inf if within is None else within))
        self._most = max(MOST, 2 * self._crowd) if within != 0 else AT_ONCE
        self._wait = max(2 * LEAST, self._crowd)
        self._moving = False  # to ask at a new address, by a lot that nothing changes
        self.at = now + self._crowd * lot.random()  # heads may all have started now

    def due(self, now: float) -> bool:
        """Whether to ask now. Counts as asked; asks again if nothing is heard for half of what the rules allow."""
        if now < self.at:
            return False
        self._moving = False
        self.at = now + (self._within or inf) / 2
        return True

    def failed(self, now: float) -> None:
        """A call failed or a watch broke: waits by lot, under a bound that doubles with each failure in a row."""
        if self._moving:  # the old watch; what it breaks for is known
            return
        self.at = now + max(LEAST, self._wait * self._lot.random())
        self._wait = min(self._most, 2 * self._wait)

    def moved(self, now: float) -> None:
        """All heads are told of a new address at once: each goes there by lot, within what the old one stands for."""
        self._moving, self.at = True, now + min(STANDS, self._crowd) * self._lot.random()

    def told(self) -> None:
        """An answer came: the watch stands, and nothing is asked until it breaks."""
        self._wait = max(2 * LEAST, self._crowd)
        if not self._moving:
            self.at = inf
