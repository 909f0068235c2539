"""Processor time and memory of parts of a run."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from statistics import median
from typing import Any

MICROSECONDS = 1e6


class Meter:
    """Adds up the processor time that this process spends in the calls that are made through it."""

    __slots__ = ("calls", "seconds")

    def __init__(self) -> None:
        self.calls = 0
        self.seconds = 0.0

    def run(self, work: Callable[..., Any], *arguments: Any) -> Any:
        """What `work` returns; its processor time is added."""
        began = time.process_time()
        try:
            return work(*arguments)
        finally:
            self.seconds += time.process_time() - began
            self.calls += 1


def microseconds(work: Callable[[], Any], calls: int, rounds: int = 3) -> float:
    """Processor time of one call: the median over the rounds of the mean over the calls."""
    means = []
    for _ in range(rounds):
        began = time.process_time()
        for _ in range(calls):
            work()
        means.append((time.process_time() - began) / calls)
    return median(means) * MICROSECONDS


def bytes_held(build: Callable[[], Any]) -> int:
    """The memory that what `build` returns holds, as the allocator counts it."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    del kept
    return held
