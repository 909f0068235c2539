"""The record of one incarnation of a server."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any


class InstanceState(enum.StrEnum):
    """The states that a server reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """One incarnation of a server, as it last reported a change of itself."""

    id: str
    backend: str
    address: str
    state: str
    sequence: int = 0
    zone: str = ""
    generation: str = ""
    capacity: int = 0
    cold_remaining_ms: float = 0.0  # at the time of the report
    phase: str = ""
    models: tuple[Mapping[str, Any], ...] = ()

    def same_apart_from_time(self, other: InstanceRecord) -> bool:
        """Whether a report tells nothing new, so that it is a mere heartbeat."""
        return (
            self.state == other.state
            and self.address == other.address
            and self.backend == other.backend
            and self.zone == other.zone
            and self.generation == other.generation
            and self.capacity == other.capacity
            and self.phase == other.phase
            and self.models == other.models
        )


def record_of(instance_id: str, document: Mapping[str, Any]) -> InstanceRecord:
    """The record for a checked report of a server."""
    return InstanceRecord(
        id=instance_id,
        backend=document["backend"],
        address=document["address"],
        state=document["state"],
        sequence=document.get("sequence", 0),
        zone=document.get("zone") or "",
        generation=document.get("generation") or "",
        capacity=document.get("capacity") or 0,
        cold_remaining_ms=document.get("cold_remaining_ms") or 0.0,
        phase=document.get("phase") or "",
        models=tuple(document.get("models") or ()),
    )


def record_fields(record: InstanceRecord) -> dict[str, Any]:
    """The record as a map, for messages and answers."""
    return asdict(record)


def record_from_fields(fields: Mapping[str, Any]) -> InstanceRecord:
    """The record that `record_fields` has written, by this version of the program or another."""
    known = {name: value for name, value in fields.items() if name in InstanceRecord.__dataclass_fields__}
    return InstanceRecord(**{**known, "models": tuple(known.get("models") or ())})
