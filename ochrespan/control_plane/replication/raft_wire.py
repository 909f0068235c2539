"""The msgpack form of Raft messages, log entries and snapshots."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

from ochrespan.common.addresses import Address
from ochrespan.raft.cluster_messages import BootstrapProposal, JoinRequest, JoinResponse, LeaveNotice
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

# The place of a type in this list is its number on the wire: types are added at the end only.
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
)
_numbers = {message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)}
_fields = {
    message_type: tuple(field.name for field in dataclasses.fields(message_type)) for message_type in _MESSAGE_TYPES
}
_APPEND = _numbers[AppendEntries]
_ENTRIES_FIELD = _fields[AppendEntries].index("entries")
_PROPOSAL = _numbers[BootstrapProposal]
_MEMBERS_FIELD = _fields[BootstrapProposal].index("members")
# Fields that hold addresses, by number of the message's type: an address is host and port on the wire.
_ADDRESS_FIELDS = {
    _numbers[JoinRequest]: (_fields[JoinRequest].index("initial_members"),),
    _numbers[JoinResponse]: (_fields[JoinResponse].index("contacts"), _fields[JoinResponse].index("initial_members")),
}


@message("raft")
@dataclass(slots=True)
class RaftBatch:
    """An envelope; each frame is group, number of the message's type, and its fields."""

    cluster: int
    sender: int
    host: str
    port: int
    to: int
    frames: list[list]


def pack_envelope(envelope: Envelope) -> RaftBatch:
    frames = [[group, *_pack_message(value)] for group, value in envelope.frames]
    return RaftBatch(envelope.cluster_id, envelope.sender, *envelope.address, envelope.to, frames)


def unpack_envelope(batch: RaftBatch) -> Envelope:
    """Raises ValueError, TypeError or IndexError where a frame is malformed."""
    frames = [(group, _unpack_message(number, fields)) for group, number, *fields in batch.frames]
    return Envelope(batch.cluster, batch.sender, (batch.host, batch.port), batch.to, frames)


def _pack_message(value: Any) -> list:
    message_type = type(value)
    fields = [getattr(value, name) for name in _fields[message_type]]
    if message_type is AppendEntries:
        fields[_ENTRIES_FIELD] = pack_entries(value.entries)
    elif message_type is BootstrapProposal:
        fields[_MEMBERS_FIELD] = [[member.id, *member.address] for member in value.members]
    return [_numbers[message_type], *fields]


def _unpack_message(number: int, fields: list) -> Any:
    message_type = _MESSAGE_TYPES[number]
    fields = fields[: len(_fields[message_type])]
    if number == _APPEND:
        fields[_ENTRIES_FIELD] = unpack_entries(fields[_ENTRIES_FIELD])
    elif number == _PROPOSAL:
        fields[_MEMBERS_FIELD] = tuple(
            Member(replica_id, (host, port)) for replica_id, host, port in fields[_MEMBERS_FIELD]
        )
    elif number in _ADDRESS_FIELDS:
        for position in _ADDRESS_FIELDS[number]:
            if position < len(fields):  # an earlier version may lack it
                fields[position] = _unpack_addresses(fields[position])
    return message_type(*fields)


def _unpack_addresses(packed: list[list[Any]]) -> tuple[Address, ...]:
    return tuple((host, port) for host, port in packed)


def pack_entries(entries: list[Entry]) -> list[list]:
    return [[entry.term, int(entry.kind), entry.data] for entry in entries]


def unpack_entries(packed: list[list]) -> list[Entry]:
    return [Entry(*fields) for fields in packed]


def pack_snapshot(snapshot: Snapshot | None) -> list | None:
    if snapshot is None:
        return None
    return [snapshot.index, snapshot.term, snapshot.configuration.to_bytes(), snapshot.data]


def unpack_snapshot(packed: list | None) -> Snapshot | None:
    if packed is None:
        return None
    index, term, configuration, data = packed
    return Snapshot(index, term, MembershipConfig.from_bytes(configuration), data)
