"""The state machine of a shard of instances: which incarnations of servers are registered, draining or gone.

An incarnation that is draining does not become ready again, and one that is gone does not come back. An incarnation
that was expired, since it was not heard of, may come back by a report with a higher sequence number.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ochrespan.transport import compact
from ochrespan.transport.codec import MessageError, decode

from .changes import NO_CHANGE, InstancesChange
from .commands import ExpireInstances, RegisterInstance, RemoveInstance
from .prefix_placements import AssignPrefixes, PrefixPlacements
from .records import InstanceRecord, InstanceState, record_fields, record_from_fields

MAX_REMEMBERED_REMOVALS = 8192


@dataclass(slots=True)
class _Departed:
    """Incarnations that are no longer registered, oldest first, bounded."""

    entries: dict[str, list[Any]] = field(default_factory=dict)

    def add(self, instance_id: str, sequence: int, final: bool, draining: bool = False) -> None:
        self.entries.pop(instance_id, None)
        self.entries[instance_id] = [sequence, final, draining]
        if len(self.entries) > MAX_REMEMBERED_REMOVALS:
            del self.entries[next(iter(self.entries))]


class InstanceStateMachine:
    """The instances of the services of one shard."""

    def __init__(self) -> None:
        self.records: dict[str, InstanceRecord] = {}
        self._ids_by_address: dict[str, str] = {}
        self._departed = _Departed()
        self.placements = PrefixPlacements()

    def apply(self, index: int, command: bytes) -> InstancesChange:
        """What the command changed; nothing for one that comes too late."""
        try:
            decoded = decode(command)
        except MessageError:
            return NO_CHANGE
        if isinstance(decoded, RegisterInstance):
            return self._register(record_from_fields(decoded.record))
        if isinstance(decoded, RemoveInstance):
            return self._remove(decoded.id)
        if isinstance(decoded, ExpireInstances):
            return self._expire(decoded.sequences)
        if isinstance(decoded, AssignPrefixes):
            self.placements.assign(decoded)
        return NO_CHANGE

    def accepts(self, record: InstanceRecord) -> bool:
        """Whether a report is newer than what is known and does not lead back."""
        known = self.records.get(record.id)
        if known is not None:
            return record.sequence > known.sequence and not _leads_back(known.state, record.state)
        if (departed := self._departed.entries.get(record.id)) is None:
            return True
        sequence, final, draining = departed
        return not final and record.sequence > sequence and not (draining and record.state == InstanceState.READY)

    def is_gone(self, instance_id: str) -> bool:
        """Whether an incarnation has ended for good, so that no report brings it back."""
        departed = self._departed.entries.get(instance_id)
        return departed is not None and departed[1]

    def snapshot(self) -> bytes:
        """The whole state, compressed."""
        records = [record_fields(record) for record in self.records.values()]
        return compact.pack([records, self._departed.entries, self.placements.fields()])

    def restore(self, data: bytes) -> None:
        """Takes over the state of a snapshot."""
        records, departed, *placements = compact.unpack(data)  # snapshots of earlier versions lack the homes
        self.records = {fields["id"]: record_from_fields(fields) for fields in records}
        self._ids_by_address = {record.address: record.id for record in self.records.values()}
        self._departed = _Departed(departed)
        self.placements = PrefixPlacements(placements[0] if placements else None)

    def _register(self, record: InstanceRecord) -> InstancesChange:
        if not self.accepts(record):
            return NO_CHANGE
        removed: tuple[str, ...] = ()
        holder = self._ids_by_address.get(record.address)
        if holder is not None and holder != record.id:
            self._depart(self.records[holder], final=True)
            removed = (holder,)
        known = self.records.get(record.id)
        if known is not None and known.address != record.address:
            self._ids_by_address.pop(known.address, None)
        self._departed.entries.pop(record.id, None)
        self.records[record.id] = record
        self._ids_by_address[record.address] = record.id
        return InstancesChange((record,), removed)

    def _remove(self, instance_id: str) -> InstancesChange:
        record = self.records.get(instance_id)
        if record is None:
            self._mark_as_gone(instance_id)
            return NO_CHANGE
        self._depart(record, final=True)
        return InstancesChange(removed=(instance_id,))

    def _mark_as_gone(self, instance_id: str) -> None:
        """The end of one that was expired, or whose reports are late or were never heard: none may follow."""
        sequence = self._departed.entries.get(instance_id, [0])[0]
        self._departed.add(instance_id, sequence, final=True)

    def _expire(self, sequences: Mapping[str, int]) -> InstancesChange:
        expired = [
            record
            for instance_id, sequence in sequences.items()
            if (record := self.records.get(instance_id)) is not None and record.sequence == sequence
        ]
        for record in expired:
            self._depart(record, final=False)
        return InstancesChange(removed=tuple(record.id for record in expired))

    def _depart(self, record: InstanceRecord, final: bool) -> None:
        del self.records[record.id]
        if self._ids_by_address.get(record.address) == record.id:
            del self._ids_by_address[record.address]
        self._departed.add(record.id, record.sequence, final, record.state == InstanceState.DRAINING)


def _leads_back(before: str, after: str) -> bool:
    return before == InstanceState.DRAINING and after == InstanceState.READY
