"""The program's phases, from start to exit, as the states of one object."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

log = logging.getLogger(__name__)


class Phase(Enum):
    STARTING = "starting"  # not yet to be put to use
    READY = "ready"
    INACTIVE = "inactive"  # an operator sends the clients away; the process goes on and can be activated
    DRAINING = "draining"  # told to end: still answers all that arrives, on the connections that clients keep
    CLOSING = "closing"  # the platform's patience is about to end: every answer closes its connection
    STOPPED = "stopped"


ORDER = {Phase.STARTING: 0, Phase.READY: 1, Phase.INACTIVE: 1, Phase.DRAINING: 2, Phase.CLOSING: 3, Phase.STOPPED: 4}


class Lifecycle:
    """Moves forward only, but for READY and INACTIVE, between which operators choose; whoever needs a phase can
    wait for it."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.has_successor = False  # another process of this front takes the new connections
        self._active = True  # what operators want
        self.in_flight = 0  # requests between their first look and their answer, on all fronts
        self._reached = {phase: asyncio.Event() for phase in Phase}
        self._reached[Phase.STARTING].set()

    def advance(self, phase: Phase) -> None:
        if ORDER[phase] <= ORDER[self.phase]:
            return  # a second SIGTERM, or one that comes while we end anyway
        self._enter(Phase.INACTIVE if phase is Phase.READY and not self._active else phase)
        for earlier in Phase:
            if ORDER[earlier] <= ORDER[phase]:
                self._reached[earlier].set()

    def deactivate(self) -> None:
        """An operator sends the clients away; during the start, as soon as it is over. The end goes on as it does."""
        self._active = False
        if self.phase is Phase.READY:
            self._enter(Phase.INACTIVE)

    def activate(self) -> bool:
        """An operator takes the clients back; False where the program ends already."""
        if ORDER[self.phase] >= ORDER[Phase.DRAINING]:
            return False
        self._active = True
        if self.phase is Phase.INACTIVE:
            self._enter(Phase.READY)
        return True

    def _enter(self, phase: Phase) -> None:
        log.info("phase", extra={"was": self.phase.value, "now": phase.value})
        self.phase = phase

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """One request's time in a front: the program does not stop under it."""
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
        """Whether this process can serve, used or not."""
        return self.phase in (Phase.READY, Phase.INACTIVE)

    @property
    def closing(self) -> bool:
        """Whether each answer ends its connection."""
        return self.has_successor or self.phase in (Phase.INACTIVE, Phase.CLOSING, Phase.STOPPED)
