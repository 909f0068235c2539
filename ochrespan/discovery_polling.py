"""When a front calls discovery for the list of chunk servers. No I/O: callers pass in the time and the results.

All fronts share one discovery service, which serves calls one after the other. When more calls arrive than it can
serve, queued calls time out and their retries join the queue: if all fronts retry soon, the queue stays full and no
front ever gets an update. All fronts may start, or lose their watches, at the same moment. The schedule therefore
spreads calls so that the whole fleet's rate of calls stays below discovery's capacity. Nothing waits for a call: the
last known list stays in use.
"""

from __future__ import annotations

from math import inf
from random import Random

CALL_COST_S = 0.1  # assumed time that discovery needs for the call of each other front
MIN_WAIT_S, MAX_WAIT_S = 0.1, 2.0  # the shortest wait, and the upper bound of waits in a small fleet
MAX_WAIT_AT_ONCE_S = 0.5  # upper bound of waits where updates count as received at once: drain deadlines run
OLD_ADDRESS_GRACE_S = 1.5  # for this long after a move, the old address still serves its watches
FIRST_WAIT_FRACTION = 0.4  # of the longest allowed interval: bounds the first waits; twice this bounds all


class PollSchedule:
    """Phases: waiting to call (at `next_call_at`), called, and watching (`next_call_at` is infinite).

    After a move of discovery, the call to the new address stays scheduled whether the old watch goes on or breaks.
    `max_interval`: the longest allowed time without a call, in seconds; None: unlimited.
    """

    def __init__(self, fronts: int, max_interval: float | None, random: Random, now: float) -> None:
        self._max_interval, self._random = max_interval, random
        # max_interval 0: updates count as received at once, called for or not, so the first call is not delayed
        self._spread = min(
            CALL_COST_S * max(0, fronts - 1), FIRST_WAIT_FRACTION * (inf if max_interval is None else max_interval)
        )
        self._max_wait = max(MAX_WAIT_S, 2 * self._spread) if max_interval != 0 else MAX_WAIT_AT_ONCE_S
        self._wait_bound = max(2 * MIN_WAIT_S, self._spread)
        self._moving = False  # a call to a new address is scheduled; nothing reschedules it
        self.next_call_at = now + self._spread * random.random()  # all fronts may have started now

    def due(self, now: float) -> bool:
        """Whether to call now. If so, the call counts as made; it repeats after half of max_interval if unanswered."""
        if now < self.next_call_at:
            return False
        self._moving = False
        self.next_call_at = now + (self._max_interval or inf) / 2
        return True

    def failed(self, now: float) -> None:
        """A call failed or a watch broke: random back-off under a bound that doubles with each consecutive failure."""
        if self._moving:  # the old watch broke because of the move
            return
        self.next_call_at = now + max(MIN_WAIT_S, self._wait_bound * self._random.random())
        self._wait_bound = min(self._max_wait, 2 * self._wait_bound)

    def moved(self, now: float) -> None:
        """Discovery moved, which all fronts learn at once: calls the new address at a random time within the grace."""
        self._moving, self.next_call_at = True, now + min(OLD_ADDRESS_GRACE_S, self._spread) * self._random.random()

    def answered(self) -> None:
        """A response came: no call is needed until the watch breaks."""
        self._wait_bound = max(2 * MIN_WAIT_S, self._spread)
        if not self._moving:
            self.next_call_at = inf
