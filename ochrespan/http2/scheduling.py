"""Schedules response frames among streams by RFC 9218 priorities, without starvation.

The scheduler selects one stream per frame. Levels with a lower urgency value go first. Within a level, non-incremental
streams are sent one after another by stream id, alternating with the incremental streams, which are served round-robin.
Every `LOWER_LEVEL_INTERVAL`-th frame goes to a less urgent level, in rotation, so that a long urgent response does not
starve the others.
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass, field

URGENCY_LEVELS = 8  # 0 is the most urgent
DEFAULT_URGENCY = 3
LOWER_LEVEL_INTERVAL = 8  # frames
URGENT_LATENCY_TARGET_S, ORDINARY_LATENCY_TARGET_S = 0.2, 0.6  # upper bounds
HIGH_URGENCY, LOW_URGENCY = 2, 5  # urgencies for latency targets up to the first bound, and above the second

URGENCY = re.compile(r"(?:^|,)\s*u=(-?[0-9]+)\s*(?:;[^,]*)?(?=,|$)")
INCREMENTAL = re.compile(r"(?:^|,)\s*i(?:=\?([01]))?\s*(?:;[^,]*)?(?=,|$)")


@dataclass(frozen=True, slots=True)
class Priority:
    """Priority parameters of a stream (RFC 9218, section 4); a lower urgency value is served first."""

    urgency: int = DEFAULT_URGENCY
    incremental: bool = False


def parse_priority(value: str, default: Priority) -> Priority:
    """Parses a `priority` field value (RFC 9218, section 4); invalid or out-of-range parameters take the default."""
    urgency, incremental = default.urgency, default.incremental
    if (matches := URGENCY.findall(value)) and 0 <= int(matches[-1][:4]) < URGENCY_LEVELS:
        urgency = int(matches[-1])
    if matches := INCREMENTAL.findall(value):
        incremental = matches[-1] != "0"
    return Priority(urgency, incremental)


def urgency_of(latency_target_s: float) -> int:
    """Default urgency of a request without a priority field, by the latency target of its class."""
    if latency_target_s <= URGENT_LATENCY_TARGET_S:
        return HIGH_URGENCY
    return DEFAULT_URGENCY if latency_target_s <= ORDINARY_LATENCY_TARGET_S else LOW_URGENCY


@dataclass(slots=True)
class _Level:
    """The streams of one urgency that have data to send."""

    sequential: list[int] = field(default_factory=list)  # non-incremental streams, by id
    incremental: deque[int] = field(default_factory=deque)  # served round-robin
    sequential_next: bool = True  # whether a sequential stream precedes the next incremental one

    def __bool__(self) -> bool:
        return bool(self.sequential or self.incremental)

    def next(self) -> int:
        """Selects the stream of the next frame."""
        if not self.incremental or (self.sequential and self.sequential_next):
            self.sequential_next = False
            return self.sequential[0]
        self.sequential_next = True
        stream = self.incremental[0]
        self.incremental.rotate(-1)
        return stream


class FrameScheduler:
    """The streams that have data to send and an open window."""

    def __init__(self) -> None:
        self._levels = [_Level() for _ in range(URGENCY_LEVELS)]
        self._priorities: dict[int, Priority] = {}
        self._frame_count = 0  # selected so far
        self._lower_frame_count = 0  # of these, given to less urgent levels

    def __len__(self) -> int:
        return len(self._priorities)

    def add(self, stream: int, priority: Priority) -> None:
        """Adds a stream with data to send; if it is scheduled with the same priority, it keeps its position."""
        if self._priorities.get(stream) == priority:
            return
        self.remove(stream)
        self._priorities[stream] = priority
        level = self._levels[priority.urgency]
        if priority.incremental:
            level.incremental.append(stream)
        else:
            level.sequential.append(stream)
            level.sequential.sort()

    def remove(self, stream: int) -> None:
        """Removes a stream that has no data or no open window."""
        if (priority := self._priorities.pop(stream, None)) is not None:
            level = self._levels[priority.urgency]
            (level.incremental if priority.incremental else level.sequential).remove(stream)

    def next(self) -> int | None:
        """Selects the stream of the next frame; it stays scheduled until it is removed."""
        active_levels = [level for level in self._levels if level]
        if not active_levels:
            return None
        self._frame_count += 1
        if len(active_levels) > 1 and self._frame_count % LOWER_LEVEL_INTERVAL == 0:
            self._lower_frame_count += 1
            return active_levels[1 + self._lower_frame_count % (len(active_levels) - 1)].next()
        return active_levels[0].next()
