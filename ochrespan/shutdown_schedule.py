"""The schedule of a front's shutdown, computed from the settings alone; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

# After SIGTERM new connections arrive for up to 0.4 s. Clients keep using their open connections until SIGKILL, since
# no other front serves their volumes. SIGKILL comes no earlier than 0.7 s after the longest deadline, at most 3 s.
MAX_DEADLINE, KILL_DELAY = timedelta(seconds=3), timedelta(seconds=0.7)
ACCEPT_FOR = timedelta(seconds=0.8)
CLOSE_BEFORE_KILL = timedelta(seconds=0.75)  # from then on each response closes its connection
RESPOND_BEFORE_KILL = timedelta(seconds=0.4)  # by then every request has its final response
EXIT_BEFORE_KILL = timedelta(seconds=0.3)  # the process exits
# After an operator's drain clients connect for up to 0.3 s more; 4 s after the call no connection may be idle.
CLIENTS_LEAVE_AFTER = timedelta(seconds=0.4)
IDLE_WITHOUT_REQUEST_AFTER = timedelta(seconds=1)  # a connection without any request for this long counts as idle
# Where all deadlines are so short that SIGKILL comes earlier than this, all spans shrink in proportion.
MIN_FULL_SCHEDULE = ACCEPT_FOR + CLOSE_BEFORE_KILL


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Points in time, counted from SIGTERM."""

    accept_until: timedelta  # the end of accepting connections
    close_connections_from: timedelta  # each response closes its connection
    response_deadline: timedelta  # every request has its final response
    exit_at: timedelta
    kill_at: timedelta  # the earliest SIGKILL


def shutdown_schedule(deadlines: Iterable[timedelta]) -> ShutdownSchedule:
    kill_at = min(max(deadlines, default=MAX_DEADLINE), MAX_DEADLINE) + KILL_DELAY
    fraction = min(1.0, kill_at / MIN_FULL_SCHEDULE)
    exit_at = kill_at - fraction * EXIT_BEFORE_KILL
    return ShutdownSchedule(
        min(ACCEPT_FOR, exit_at),
        kill_at - fraction * CLOSE_BEFORE_KILL,
        kill_at - fraction * RESPOND_BEFORE_KILL,
        exit_at,
        kill_at,
    )
