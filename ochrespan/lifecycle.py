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
    DRAINING = "draining"  # told to end: still answers all that arrives, on the connections that clients keep
    CLOSING = "closing"  # the platform's patience is about to end: every answer closes its connection
    STOPPED = "stopped"


class Lifecycle:
    """Moves forward only; whoever needs a phase can wait for it."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.working = 0  # requests between their first look and their answer, on all fronts
        self._reached = {phase: asyncio.Event() for phase in Phase}
        self._reached[Phase.STARTING].set()

    def advance(self, phase: Phase) -> None:
        order = list(Phase)
        if order.index(phase) <= order.index(self.phase):
            return  # a second SIGTERM, or one that comes while we end anyway
        log.info("phase", extra={"was": self.phase.value, "now": phase.value})
        self.phase = phase
        for earlier in order[: order.index(phase) + 1]:
            self._reached[earlier].set()

    @contextmanager
    def work(self) -> Iterator[None]:
        """One request's time in a front: the program does not stop under it."""
        self.working += 1
        try:
            yield
        finally:
            self.working -= 1

    async def reached(self, phase: Phase) -> None:
        await self._reached[phase].wait()

    @property
    def ready(self) -> bool:
        return self.phase is Phase.READY

    @property
    def closing(self) -> bool:
        return self.phase in (Phase.CLOSING, Phase.STOPPED)
