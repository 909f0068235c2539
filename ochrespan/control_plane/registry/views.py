"""The form of an instance in a router's table."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .records import InstanceRecord, InstanceState


@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of a server; `slow_start_ends_at` is in seconds of this process's monotonic clock."""

    id: str
    service: str
    address: str
    zone: str
    generation: str
    capacity: int
    state: InstanceState
    slow_start_ends_at: float
    phase: str
    models: tuple[Mapping[str, Any], ...]


def instance_view(record: InstanceRecord, now: float) -> Instance:
    """Returns the view of a record that arrived at `now`, in seconds of the monotonic clock."""
    return Instance(
        id=record.id,
        service=record.backend,
        address=record.address,
        zone=record.zone,
        generation=record.generation,
        capacity=record.capacity,
        state=InstanceState(record.state),
        slow_start_ends_at=now + record.cold_remaining_ms / 1000,
        phase=record.phase,
        models=record.models,
    )
