"""A heap of deadlines that share one timer of the event loop."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any


class Deadline:
    """A callback that runs at a monotonic time unless it is cancelled before."""

    __slots__ = ("at", "callback")

    def __init__(self, at: float, callback: Callable[[], None]) -> None:
        self.at = at
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class DeadlineHeap:
    """Runs callbacks when they are due.

    A cancelled deadline stays in the heap until its time and causes at most one wake-up.
    """

    def __init__(self, loop: Any, clock: Callable[[], float] = time.monotonic) -> None:
        self._loop = loop
        self._clock = clock
        self._heap: list[tuple[float, int, Deadline]] = []
        self._sequence = itertools.count()
        self._timer: Any = None
        self._timer_due_at = float("inf")

    def schedule(self, at: float, callback: Callable[[], None]) -> Deadline:
        """Schedules `callback` to run soon after `at`, in the event loop, where it must not block."""
        deadline = Deadline(at, callback)
        heapq.heappush(self._heap, (at, next(self._sequence), deadline))
        if at < self._timer_due_at:
            self._arm(at)
        return deadline

    def _arm(self, at: float) -> None:
        if self._timer is not None:
            self._timer.close()
        self._timer_due_at = at
        self._timer = self._loop.timer(max(0.0, at - self._clock()))
        self._timer.start(self._run_due)

    def _run_due(self) -> None:
        self._timer_due_at = float("inf")
        now = self._clock()
        heap = self._heap
        while heap and (heap[0][2].callback is None or heap[0][0] <= now):
            deadline = heapq.heappop(heap)[2]
            callback, deadline.callback = deadline.callback, None
            if callback is not None:
                callback()
        if heap and heap[0][0] < self._timer_due_at:
            self._arm(heap[0][0])
