"""Starts the contracts: the gate before the core, its parts' steps, and its reload."""

from __future__ import annotations

import asyncio
import gc

from ..subsystem import CoreComponents, Subsystem
from .front_share import STEP
from .gate import ContractGate
from .section import Contracts


def keep_out_of_the_collector() -> None:
    """What stays is not looked through at each full collection: with thousands of contracts these take a request's
    time. Old books are only let go where the last references to them go, as nothing in them forms a cycle."""
    gc.freeze()


def start(section: Contracts, core: CoreComponents) -> Subsystem:
    """Puts the gate before the core."""
    gate = ContractGate(section.book, core.broker.now)
    core.broker.set_admission_gate(gate)
    core.gate, core.govern_platform = gate, section.platform
    core.metric_sources.append(gate.readings)

    async def steps() -> None:
        while True:
            await asyncio.sleep(STEP)
            gate.step()

    def reload(new: Contracts) -> None:
        core.govern_platform = new.platform
        gate.replace(new.book)
        keep_out_of_the_collector()

    keep_out_of_the_collector()
    return Subsystem(jobs=[steps()], reload=reload)
