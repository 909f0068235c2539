"""The state machine of an instance shard: which incarnations of servers are registered, draining or removed.

A draining incarnation does not become ready again, and a removed one is not registered again. An incarnation that
expired because its heartbeats timed out is registered again by a report with a higher sequence number, unless another
one has been registered at its address.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ochrespan.transport import compact
from ochrespan.transport.codec import MessageError, decode

from .changes import NO_CHANGE, InstancesChange
from .commands import ExpireInstances, RegisterInstance, RemoveInstance
from .prefix_placements import AssignPrefixes, PrefixPlacements
from .records import InstanceRecord, InstanceState, record_fields, record_from_fields

MAX_REMEMBERED_REMOVALS = 8192


@dataclass(frozen=True, slots=True)
class _Removal:
    """How an incarnation left the registry. Snapshots contain the fields as a list in this order.

    Attributes:
        sequence: The sequence number of its last record, 0 if it had none.
        is_final: Whether no report registers it again: true if it ended or was replaced, false if it expired.
        was_draining: Whether it was draining; it can then be registered again as draining only.
    """

    sequence: int
    is_final: bool
    was_draining: bool = False


class _RemovalMemory:
    """The latest removal of each instance, at most `MAX_REMEMBERED_REMOVALS`; the oldest is evicted first."""

    def __init__(self, entries: Mapping[str, list[Any]] | None = None) -> None:
        self._removals = {instance_id: _Removal(*fields) for instance_id, fields in (entries or {}).items()}

    def add(self, instance_id: str, removal: _Removal) -> None:
        """Stores the removal of an instance in place of an earlier one."""
        self._removals.pop(instance_id, None)
        self._removals[instance_id] = removal
        if len(self._removals) > MAX_REMEMBERED_REMOVALS:
            del self._removals[next(iter(self._removals))]

    def get(self, instance_id: str) -> _Removal | None:
        """Returns the removal of an instance; None if there is none or it was evicted."""
        return self._removals.get(instance_id)

    def discard(self, instance_id: str) -> None:
        """Forgets the removal of an instance that is registered again."""
        self._removals.pop(instance_id, None)

    def fields(self) -> dict[str, list[Any]]:
        """Returns the removals as plain values, for snapshots."""
        return {
            instance_id: [removal.sequence, removal.is_final, removal.was_draining]
            for instance_id, removal in self._removals.items()
        }


class InstanceStateMachine:
    """The instances and prefix placements of the services of one shard.

    Attributes:
        records: The registered instances by id.
        placements: The replicated placements of prompt prefixes.
    """

    def __init__(self) -> None:
        self.records: dict[str, InstanceRecord] = {}
        self.placements = PrefixPlacements()
        self._ids_by_address: dict[str, str] = {}
        self._removals = _RemovalMemory()

    def apply(self, index: int, command: bytes) -> InstancesChange:  # noqa: ARG002 - the StateMachine protocol has it
        """Applies a committed command and returns what it changed; a late or malformed command changes nothing."""
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
        """Returns whether a report would change the state.

        It must be newer than the known record, must not turn a draining incarnation ready again, and must not
        register an incarnation whose removal is final. An incarnation that expired is not registered again at an
        address where another one has been registered since: that one is newer.
        """
        known = self.records.get(record.id)
        if known is not None:
            returns_to_ready = known.state == InstanceState.DRAINING and record.state == InstanceState.READY
            return record.sequence > known.sequence and not returns_to_ready
        removal = self._removals.get(record.id)
        if removal is None:
            return True
        if record.address in self._ids_by_address:
            return False
        returns_to_ready = removal.was_draining and record.state == InstanceState.READY
        return not removal.is_final and record.sequence > removal.sequence and not returns_to_ready

    def is_removed(self, instance_id: str) -> bool:
        """Returns whether an incarnation's removal is final, so that no report registers it again."""
        removal = self._removals.get(instance_id)
        return removal is not None and removal.is_final

    def snapshot(self) -> bytes:
        """Encodes the complete state."""
        records = [record_fields(record) for record in self.records.values()]
        return compact.pack([records, self._removals.fields(), self.placements.fields()])

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot, which may be of an earlier version of the program."""
        records, removals, *placements = compact.unpack(data)  # earlier versions lack the placements
        self.records = {fields["id"]: record_from_fields(fields) for fields in records}
        self._ids_by_address = {record.address: record.id for record in self.records.values()}
        self._removals = _RemovalMemory(removals)
        self.placements = PrefixPlacements(placements[0] if placements else None)

    def _register(self, record: InstanceRecord) -> InstancesChange:
        """Registers or updates an incarnation; a new one at an address replaces the old one there."""
        if not self.accepts(record):
            return NO_CHANGE
        removed: tuple[str, ...] = ()
        replaced_id = self._ids_by_address.get(record.address)
        if replaced_id is not None and replaced_id != record.id:
            self._unregister(self.records[replaced_id], is_final=True)
            removed = (replaced_id,)
        known = self.records.get(record.id)
        if known is not None and known.address != record.address:
            self._ids_by_address.pop(known.address, None)
        self._removals.discard(record.id)
        self.records[record.id] = record
        self._ids_by_address[record.address] = record.id
        return InstancesChange((record,), removed)

    def _remove(self, instance_id: str) -> InstancesChange:
        record = self.records.get(instance_id)
        if record is None:
            # It expired, or its first report is still in flight: that report must not register it after this command
            earlier = self._removals.get(instance_id)
            self._removals.add(instance_id, _Removal(earlier.sequence if earlier else 0, is_final=True))
            return NO_CHANGE
        self._unregister(record, is_final=True)
        return InstancesChange(removed=(instance_id,))

    def _expire(self, sequences: Mapping[str, int]) -> InstancesChange:
        """Expires instances, except those whose sequence number has changed since the leader's check."""
        expired = [
            record
            for instance_id, sequence in sequences.items()
            if (record := self.records.get(instance_id)) is not None and record.sequence == sequence
        ]
        for record in expired:
            self._unregister(record, is_final=False)
        return InstancesChange(removed=tuple(record.id for record in expired))

    def _unregister(self, record: InstanceRecord, is_final: bool) -> None:
        del self.records[record.id]
        if self._ids_by_address.get(record.address) == record.id:
            del self._ids_by_address[record.address]
        was_draining = record.state == InstanceState.DRAINING
        self._removals.add(record.id, _Removal(record.sequence, is_final, was_draining))
