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
    """One incarnation of a server, as of its last report with a change. The field names are part of the wire format.

    Attributes:
        id: Id of the incarnation: a server has a new one after each restart.
        backend: The service that the server belongs to.
        address: The server's IP:PORT.
        state: A value of `InstanceState`.
        sequence: Increases with each change; a report changes nothing unless its sequence number is above the last one.
        zone: The zone that the server runs in, empty if unknown.
        generation: The generation that the server reports, empty if unknown.
        capacity: Maximum number of concurrent requests, 0 if unknown.
        cold_remaining_ms: Milliseconds of slow start that remain at the time of the report.
        phase: The phase that the server reports, empty if none.
        models: The models that the server has loaded.
    """

    id: str
    backend: str
    address: str
    state: str
    sequence: int = 0
    zone: str = ""
    generation: str = ""
    capacity: int = 0
    cold_remaining_ms: float = 0.0
    phase: str = ""
    models: tuple[Mapping[str, Any], ...] = ()

    def equals_ignoring_time(self, other: InstanceRecord) -> bool:
        """Returns whether only `sequence` and `cold_remaining_ms` may differ: then the report is just a heartbeat."""
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


def record_from_document(instance_id: str, document: Mapping[str, Any]) -> InstanceRecord:
    """Returns the record of a checked `InstanceDocument`."""
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
    """Returns the record as a dictionary, for messages and responses."""
    return asdict(record)


def record_from_fields(fields: Mapping[str, Any]) -> InstanceRecord:
    """The inverse of `record_fields`; drops fields that a later version of the program added."""
    known = {name: value for name, value in fields.items() if name in InstanceRecord.__dataclass_fields__}
    return InstanceRecord(**{**known, "models": tuple(known.get("models") or ())})
