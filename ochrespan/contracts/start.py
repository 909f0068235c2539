"""Starts contract admission: installs the gate, updates its adaptive quotas, and handles reloads."""

from __future__ import annotations

import asyncio
import gc

from ..subsystem import CoreComponents, Subsystem
from .adaptive_quota import UPDATE_INTERVAL_S
from .gate import ContractGate
from .section import Contracts


def exempt_from_garbage_collection() -> None:
    """Exempts existing objects from full garbage collections, which delay requests when there are thousands of
    contracts. Old registries are still freed by reference counting, as they contain no reference cycles."""
    gc.freeze()


def start(section: Contracts, components: CoreComponents) -> Subsystem:
    """Installs the contract gate in the front's components."""
    gate = ContractGate(section.registry, components.broker.now)
    components.broker.set_admission_gate(gate)
    components.gate, components.govern_platform = gate, section.platform
    components.metric_sources.append(gate.metric_samples)

    async def update_periodically() -> None:
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            gate.update_quotas()

    def reload(new: Contracts) -> None:
        components.govern_platform = new.platform
        gate.replace(new.registry)
        exempt_from_garbage_collection()

    exempt_from_garbage_collection()
    return Subsystem(jobs=[update_periodically()], reload=reload)
