"""Whose bytes go out next: urgency and increments as RFC 9218 has them, and nothing starves. No I/O.

Streams are given out frame by frame. Lower urgencies go first; within one, streams that are not incremental go one
after the other in the order of their ids, and the incremental ones take turns with them and each other. One frame of
`LOWER_LEVEL_EVERY` goes to a less urgent level, the next one each time, so that a long urgent answer holds up no other
for good.
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass, field

URGENCY_LEVELS = 8  # 0 is the most urgent
DEFAULT_URGENCY = 3
LOWER_LEVEL_INTERVAL = 8  # frames: one of so many goes to a less urgent level
URGENT_LATENCY_TARGET_S, ORDINARY_LATENCY_TARGET_S = 0.2, 0.6  # s: aims up to which a class is urgent, or ordinary
HIGH_URGENCY, LOW_URGENCY = 2, 5  # urgencies of classes below the one aim and above the other

URGENCY = re.compile(r"(?:^|,)\s*u=(-?[0-9]+)\s*(?:;[^,]*)?(?=,|$)")
INCREMENTAL = re.compile(r"(?:^|,)\s*i(?:=\?([01]))?\s*(?:;[^,]*)?(?=,|$)")


@dataclass(frozen=True, slots=True)
class Priority:
    """How one stream is served beside others."""

    urgency: int = DEFAULT_URGENCY
    incremental: bool = False


def parse_priority(value: str, default: Priority) -> Priority:
    """The `priority` field (RFC 9218, section 4): what is out of range or cannot be read is left out."""
    urgency, incremental = default.urgency, default.incremental
    if (found := URGENCY.findall(value)) and 0 <= int(found[-1][:4]) < URGENCY_LEVELS:
        urgency = int(found[-1])
    if found := INCREMENTAL.findall(value):
        incremental = found[-1] != "0"
    return Priority(urgency, incremental)


def urgency_of(latency_target_s: float) -> int:
    """Where a client says nothing: what is wanted soon goes first. `aim`: seconds."""
    if latency_target_s <= URGENT_LATENCY_TARGET_S:
        return HIGH_URGENCY
    return DEFAULT_URGENCY if latency_target_s <= ORDINARY_LATENCY_TARGET_S else LOW_URGENCY


@dataclass(slots=True)
class _Level:
    """The streams of one urgency that have something to send."""

    sequential: list[int] = field(default_factory=list)  # not incremental, by id
    incremental: deque[int] = field(default_factory=deque)  # served in rotation
    sequential_next: bool = True  # whether a sequential stream goes before the next incremental one

    def __bool__(self) -> bool:
        return bool(self.sequential or self.incremental)

    def next(self) -> int:
        """The stream whose frame goes out next."""
        if not self.incremental or (self.sequential and self.sequential_next):
            self.sequential_next = False
            return self.sequential[0]
        self.sequential_next = True
        stream = self.incremental[0]
        self.incremental.rotate(-1)
        return stream


class FrameScheduler:
    """Streams that have bytes to send and may send them."""

    def __init__(self) -> None:
        self._levels = [_Level() for _ in range(URGENCY_LEVELS)]
        self._priorities: dict[int, Priority] = {}
        self._frames = 0  # given out so far
        self._lower_frames = 0  # of them to less urgent levels

    def __len__(self) -> int:
        return len(self._priorities)

    def add(self, stream: int, priority: Priority) -> None:
        """The stream has something to send; one that is there already with this priority keeps its turn."""
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
        """The stream has nothing to send, or no window for it."""
        if (priority := self._priorities.pop(stream, None)) is not None:
            level = self._levels[priority.urgency]
            (level.incremental if priority.incremental else level.sequential).remove(stream)

    def next(self) -> int | None:
        """The stream whose frame goes out now; it keeps its place until it is removed."""
        active_levels = [level for level in self._levels if level]
        if not active_levels:
            return None
        self._frames += 1
        if len(active_levels) > 1 and self._frames % LOWER_LEVEL_INTERVAL == 0:
            self._lower_frames += 1
            return active_levels[1 + self._lower_frames % (len(active_levels) - 1)].next()
        return active_levels[0].next()
