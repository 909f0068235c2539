"""When a front that was told to end does what: from the settings alone; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

# After SIGTERM new connections come for up to 0.4 s. Clients go on using those they have, since no other front
# serves their volumes, until SIGKILL: it comes the longest deadline, at most 3 s, and 0.7 s later or after that.
MAX_DEADLINE, KILL_DELAY = timedelta(seconds=3), timedelta(seconds=0.7)
ACCEPT_FOR = timedelta(seconds=0.8)
CLOSE_BEFORE_KILL = timedelta(seconds=0.75)  # so long before SIGKILL each answer ends its connection ...
ANSWER_BEFORE_KILL = timedelta(seconds=0.4)  # ... every request has its final answer ...
EXIT_BEFORE_KILL = timedelta(seconds=0.3)  # ... and the program ends
# Clients that an operator sends away come for up to 0.3 s more; 4 s after the call no connection may be idle.
CLIENTS_LEAVE_AFTER = timedelta(seconds=0.4)
SILENT_IDLE_AFTER = timedelta(seconds=1)  # from when on a connection without a request is idle too
MIN_FULL_SCHEDULE = (
    ACCEPT_FOR + CLOSE_BEFORE_KILL
)  # where all deadlines are so short that there is less, all spans shrink alike


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Points of time, counted from SIGTERM."""

    accept_until: timedelta  # new connections are taken until then
    close_connections_from: timedelta
    answer_deadline: timedelta
    exit_at: timedelta
    kill_at: timedelta


def shutdown_schedule(deadlines: Iterable[timedelta]) -> ShutdownSchedule:
    kill_at = min(max(deadlines, default=MAX_DEADLINE), MAX_DEADLINE) + KILL_DELAY
    fraction = min(1.0, kill_at / MIN_FULL_SCHEDULE)
    exit_at = kill_at - fraction * EXIT_BEFORE_KILL
    return ShutdownSchedule(
        min(ACCEPT_FOR, exit_at),
        kill_at - fraction * CLOSE_BEFORE_KILL,
        kill_at - fraction * ANSWER_BEFORE_KILL,
        exit_at,
        kill_at,
    )
