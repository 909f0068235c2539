"""Starts the contracts: the gate before the core, its parts' steps, and its reload."""

from __future__ import annotations

import asyncio
import gc

from ..running import Core, Running
from .adaptive_quota import UPDATE_INTERVAL_S
from .gate import ContractGate
from .section import Contracts


def exempt_from_garbage_collection() -> None:
    """What stays is not looked through at each full collection: with thousands of contracts these take a request's
    time. Old books are only let go where the last references to them go, as nothing in them forms a cycle."""
    gc.freeze()


def start(section: Contracts, core: Core) -> Running:
    """Puts the gate before the core."""
    gate = ContractGate(section.registry, core.broker.now)
    core.broker.admit_by(gate)
    core.gate, core.govern_platform = gate, section.platform
    core.figures.append(gate.metric_samples)

    async def update_quotas() -> None:
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            gate.update_quotas()

    def reload(new: Contracts) -> None:
        core.govern_platform = new.platform
        gate.replace(new.registry)
        exempt_from_garbage_collection()

    exempt_from_garbage_collection()
    return Running(jobs=[update_quotas()], reload=reload)
