"""The phases of a front process, from its start to its exit."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

log = logging.getLogger(__name__)


class Phase(Enum):
    STARTING = "starting"  # not ready for clients yet
    READY = "ready"
    INACTIVE = "inactive"  # drained by an operator; the process keeps running and can be activated again
    DRAINING = "draining"  # after SIGTERM: still serves everything, also on the open connections
    CLOSING = "closing"  # shortly before SIGKILL: every response closes its connection
    STOPPED = "stopped"


PHASE_ORDER = {
    Phase.STARTING: 0,
    Phase.READY: 1,
    Phase.INACTIVE: 1,
    Phase.DRAINING: 2,
    Phase.CLOSING: 3,
    Phase.STOPPED: 4,
}


class Lifecycle:
    """The current phase. It only moves forward, except that operators switch between READY and INACTIVE."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.has_successor = False  # the new process of an upgrade accepts the new connections
        self._operator_wants_active = True  # False from an operator's drain to the next activation, in any phase
        self.in_flight = 0  # requests being handled, on all listeners
        self._reached = {phase: asyncio.Event() for phase in Phase}
        self._reached[Phase.STARTING].set()

    def advance(self, phase: Phase) -> None:
        if PHASE_ORDER[phase] <= PHASE_ORDER[self.phase]:
            return  # a repeated SIGTERM, or one during the shutdown
        self._enter(Phase.INACTIVE if phase is Phase.READY and not self._operator_wants_active else phase)
        for earlier in Phase:
            if PHASE_ORDER[earlier] <= PHASE_ORDER[phase]:
                self._reached[earlier].set()

    def deactivate(self) -> None:
        """Drains the process for an operator, after the start if it is not over; no effect during the shutdown."""
        self._operator_wants_active = False
        if self.phase is Phase.READY:
            self._enter(Phase.INACTIVE)

    def activate(self) -> bool:
        """Ends a drain; returns False during the shutdown."""
        if PHASE_ORDER[self.phase] >= PHASE_ORDER[Phase.DRAINING]:
            return False
        self._operator_wants_active = True
        if self.phase is Phase.INACTIVE:
            self._enter(Phase.READY)
        return True

    def _enter(self, phase: Phase) -> None:
        log.info("phase changed", extra={"was": self.phase.value, "now": phase.value})
        self.phase = phase

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Counts one request as in flight, so that the process does not exit before its end."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def reached(self, phase: Phase) -> None:
        await self._reached[phase].wait()

    @property
    def ready(self) -> bool:
        return self.phase is Phase.READY

    @property
    def serving(self) -> bool:
        """Whether this process can serve, also while it is drained."""
        return self.phase in (Phase.READY, Phase.INACTIVE)

    @property
    def closing(self) -> bool:
        """Whether each response closes its connection."""
        return self.has_successor or self.phase in (Phase.INACTIVE, Phase.CLOSING, Phase.STOPPED)
