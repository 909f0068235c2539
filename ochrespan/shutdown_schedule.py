"""When a front that was told to end does what: from the settings alone; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

# After SIGTERM new connections come for up to 0.4 s. Clients go on using those they have, since no other front
# serves their volumes, until SIGKILL: it comes the longest deadline, at most 3 s, and 0.7 s later or after that.
LONGEST, PATIENCE = timedelta(seconds=3), timedelta(seconds=0.7)
ACCEPTS = timedelta(seconds=0.8)
CLOSING = timedelta(seconds=0.75)  # so long before SIGKILL each answer ends its connection ...
ANSWERED = timedelta(seconds=0.4)  # ... every request has its final answer ...
GONE = timedelta(seconds=0.3)  # ... and the program ends
# Clients that an operator sends away come for up to 0.3 s more; 4 s after the call no connection may be idle.
LEAVES_FROM = timedelta(seconds=0.4)
SILENT = timedelta(seconds=1)  # from when on a connection without a request is idle too
ROOM = ACCEPTS + CLOSING  # where all deadlines are so short that there is less, all spans shrink alike


@dataclass(frozen=True, slots=True)
class Ending:
    """Points of time, counted from SIGTERM."""

    accepts: timedelta  # new connections are taken until then
    closing: timedelta
    answered: timedelta
    gone: timedelta
    killed: timedelta


def plan(deadlines: Iterable[timedelta]) -> Ending:
    killed = min(max(deadlines, default=LONGEST), LONGEST) + PATIENCE
    part = min(1.0, killed / ROOM)
    gone = killed - part * GONE
    return Ending(min(ACCEPTS, gone), killed - part * CLOSING, killed - part * ANSWERED, gone, killed)
