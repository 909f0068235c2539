"""The wire format of Raft messages, log entries and snapshots, as lists that msgpack encodes."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

from ochrespan.common.addresses import Address
from ochrespan.raft.cluster_messages import (
    BootstrapProposal,
    ClusterInUse,
    JoinRequest,
    JoinResponse,
    LeaveNotice,
)
from ochrespan.raft.envelope import Envelope
from ochrespan.raft.log import Snapshot
from ochrespan.raft.membership_config import Member, MembershipConfig
from ochrespan.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    Heartbeat,
    HeartbeatResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from ochrespan.transport.codec import message

# The index of a type in this tuple is its number on the wire: new types go to the end.
_MESSAGE_TYPES: tuple[type, ...] = (
    RequestVote,
    RequestVoteResponse,
    AppendEntries,
    AppendEntriesResponse,
    Heartbeat,
    HeartbeatResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    TimeoutNow,
    JoinRequest,
    JoinResponse,
    BootstrapProposal,
    LeaveNotice,
    ClusterInUse,
)
_TYPE_NUMBERS = {message_type: type_number for type_number, message_type in enumerate(_MESSAGE_TYPES)}
_FIELD_NAMES = {
    message_type: tuple(field.name for field in dataclasses.fields(message_type)) for message_type in _MESSAGE_TYPES
}
_APPEND_ENTRIES = _TYPE_NUMBERS[AppendEntries]
_ENTRIES_INDEX = _FIELD_NAMES[AppendEntries].index("entries")
_PROPOSAL = _TYPE_NUMBERS[BootstrapProposal]
_MEMBERS_INDEX = _FIELD_NAMES[BootstrapProposal].index("members")
# Indices of the fields that hold addresses, by type number: an address is host and port on the wire.
_ADDRESS_INDICES = {
    _TYPE_NUMBERS[JoinRequest]: (_FIELD_NAMES[JoinRequest].index("initial_members"),),
    _TYPE_NUMBERS[JoinResponse]: (
        _FIELD_NAMES[JoinResponse].index("contacts"),
        _FIELD_NAMES[JoinResponse].index("initial_members"),
    ),
}


@message("raft")
@dataclass(slots=True)
class RaftBatch:
    """The wire form of an envelope; each frame is a list of group, message type number and the message's fields."""

    cluster: int
    sender: int
    host: str
    port: int
    to: int
    frames: list[list[Any]]


def pack_envelope(envelope: Envelope) -> RaftBatch:
    """Converts an envelope to its wire form."""
    frames = [[group, *_pack_message(value)] for group, value in envelope.frames]
    return RaftBatch(envelope.cluster_id, envelope.sender, *envelope.address, envelope.to, frames)


def unpack_envelope(batch: RaftBatch) -> Envelope:
    """Converts the wire form back to an envelope.

    Raises:
        ValueError: A frame lacks its group or its message type number.
        TypeError: A frame is not a list, or its message or one of its entries lacks a field.
        IndexError: No message type has that number, or the entries are missing.
    """
    frames = [(group, _unpack_message(type_number, fields)) for group, type_number, *fields in batch.frames]
    return Envelope(batch.cluster, batch.sender, (batch.host, batch.port), batch.to, frames)


def _pack_message(value: Any) -> list[Any]:
    message_type = type(value)
    fields = [getattr(value, name) for name in _FIELD_NAMES[message_type]]
    if message_type is AppendEntries:
        fields[_ENTRIES_INDEX] = pack_entries(value.entries)
    elif message_type is BootstrapProposal:
        fields[_MEMBERS_INDEX] = [[member.id, *member.address] for member in value.members]
    return [_TYPE_NUMBERS[message_type], *fields]


def _unpack_message(type_number: int, fields: list[Any]) -> Any:
    """Decodes a message; ignores fields that a later version of the program added."""
    message_type = _MESSAGE_TYPES[type_number]
    fields = fields[: len(_FIELD_NAMES[message_type])]
    if type_number == _APPEND_ENTRIES:
        fields[_ENTRIES_INDEX] = unpack_entries(fields[_ENTRIES_INDEX])
    elif type_number == _PROPOSAL:
        fields[_MEMBERS_INDEX] = tuple(
            Member(replica_id, (host, port)) for replica_id, host, port in fields[_MEMBERS_INDEX]
        )
    elif type_number in _ADDRESS_INDICES:
        for index in _ADDRESS_INDICES[type_number]:
            if index < len(fields):  # an earlier version of the program does not send it
                fields[index] = _unpack_addresses(fields[index])
    return message_type(*fields)


def _unpack_addresses(packed: list[list[Any]]) -> tuple[Address, ...]:
    return tuple((host, port) for host, port in packed)


def pack_entries(entries: list[Entry]) -> list[list[Any]]:
    """Converts log entries to their wire form: a list of term, kind and data for each."""
    return [[entry.term, int(entry.kind), entry.data] for entry in entries]


def unpack_entries(packed: list[list[Any]]) -> list[Entry]:
    """Converts the wire form back to log entries."""
    return [Entry(*fields) for fields in packed]


def pack_snapshot(snapshot: Snapshot | None) -> list[Any] | None:
    """Converts a snapshot to its wire form: index, term, membership configuration and data. None stays None."""
    if snapshot is None:
        return None
    return [snapshot.index, snapshot.term, snapshot.configuration.to_bytes(), snapshot.data]


def unpack_snapshot(packed: list[Any] | None) -> Snapshot | None:
    """Converts the wire form back to a snapshot; None stays None."""
    if packed is None:
        return None
    index, term, configuration, data = packed
    return Snapshot(index, term, MembershipConfig.from_bytes(configuration), data)
