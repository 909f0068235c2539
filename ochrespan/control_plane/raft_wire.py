"""How the messages and durable changes of `coordination` look in msgpack."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import ormsgpack

from ..coordination import formation, messages
from ..coordination.configuration import Configuration
from ..coordination.core import DurableChange, DurableState
from ..coordination.formation import Identity
from ..coordination.group_table import Envelope
from ..coordination.log import ReplicaLog, Snapshot
from ..coordination.messages import Entry
from ..transport.codec import message

# The place of a type in this list is its number on the wire: types are added at the end only.
_MESSAGE_TYPES: tuple[type, ...] = (
    messages.VoteRequest,
    messages.VoteReply,
    messages.Append,
    messages.AppendReply,
    messages.Heartbeat,
    messages.HeartbeatReply,
    messages.SnapshotChunk,
    messages.SnapshotReply,
    messages.CampaignNow,
    formation.Join,
    formation.JoinReply,
    formation.Found,
    formation.Leave,
)
_numbers = {message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)}
_fields = {
    message_type: tuple(field.name for field in dataclasses.fields(message_type)) for message_type in _MESSAGE_TYPES
}
_APPEND = _numbers[messages.Append]
_ENTRIES_FIELD = _fields[messages.Append].index("entries")


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
    return RaftBatch(envelope.cluster, envelope.sender, *envelope.address, envelope.to, frames)


def unpack_envelope(batch: RaftBatch) -> Envelope:
    """Raises ValueError, TypeError or IndexError where a frame is malformed."""
    frames = [(group, _unpack_message(number, fields)) for group, number, *fields in batch.frames]
    return Envelope(batch.cluster, batch.sender, (batch.host, batch.port), batch.to, frames)


def _pack_message(value: Any) -> list:
    message_type = type(value)
    fields = [getattr(value, name) for name in _fields[message_type]]
    if message_type is messages.Append:
        fields[_ENTRIES_FIELD] = _pack_entries(value.entries)
    return [_numbers[message_type], *fields]


def _unpack_message(number: int, fields: list) -> Any:
    message_type = _MESSAGE_TYPES[number]
    fields = fields[: len(_fields[message_type])]
    if number == _APPEND:
        fields[_ENTRIES_FIELD] = _unpack_entries(fields[_ENTRIES_FIELD])
    return message_type(*fields)


def _pack_entries(entries: list[Entry]) -> list[list]:
    return [[entry.term, int(entry.kind), entry.data] for entry in entries]


def _unpack_entries(packed: list[list]) -> list[Entry]:
    return [Entry(*fields) for fields in packed]


def _pack_snapshot(snapshot: Snapshot | None) -> list | None:
    if snapshot is None:
        return None
    return [snapshot.index, snapshot.term, snapshot.configuration.to_bytes(), snapshot.data]


def _unpack_snapshot(packed: list | None) -> Snapshot | None:
    if packed is None:
        return None
    index, term, configuration, data = packed
    return Snapshot(index, term, Configuration.from_bytes(configuration), data)


# Records of the store

_IDENTITY, _CHANGE = 0, 1


def pack_record(change: Identity | DurableChange) -> bytes:
    if isinstance(change, Identity):
        return ormsgpack.packb([_IDENTITY, change.replica_id, change.cluster, change.founders])
    return ormsgpack.packb(
        [
            _CHANGE,
            change.group,
            change.term,
            change.vote,
            _pack_snapshot(change.snapshot),
            change.first_index,
            _pack_entries(change.entries),
        ]
    )


def pack_image(identity: Identity, changes: list[DurableChange]) -> bytes:
    """The whole state as the records that lead to it."""
    return ormsgpack.packb([pack_record(identity), *map(pack_record, changes)])


def unpack_image(image: bytes) -> list[bytes]:
    return ormsgpack.unpackb(image)


@dataclass(slots=True)
class _GroupState:
    term: int = 0
    vote: int = 0
    snapshot: Snapshot = dataclasses.field(default_factory=lambda: Snapshot(0, 0, Configuration(), b""))
    entries: list[Entry] = dataclasses.field(default_factory=list)

    def apply(self, change: DurableChange) -> None:
        self.term, self.vote = change.term, change.vote
        replaced = change.snapshot
        if replaced is not None and (replaced.index > self.snapshot.index or not self.snapshot.configuration.voters):
            self.snapshot, self.entries = replaced, []
        start = self.snapshot.index + 1
        del self.entries[max(0, change.first_index - start) :]
        self.entries += change.entries[max(0, start - change.first_index) :]


def _unpack_identity(replica_id: int, cluster: int, founders: Iterable[Iterable] = ()) -> Identity:
    """Records of earlier versions lack the founders."""
    return Identity(replica_id, cluster, tuple((host, port) for host, port in founders))


def replay(packed_records: list[bytes]) -> tuple[Identity | None, dict[int, DurableState]]:
    """The identity and the groups' states that a sequence of records leads to."""
    identity, groups = None, {}
    for packed in packed_records:
        kind, *fields = ormsgpack.unpackb(packed)
        if kind == _IDENTITY:
            following = _unpack_identity(*fields)
            if identity is not None and identity.cluster not in (0, following.cluster):
                groups = {}  # a founding was given up: what its groups wrote holds no more
            identity = following
            continue
        group, term, vote, snapshot, first_index, entries = fields
        change = DurableChange(group, term, vote, _unpack_snapshot(snapshot), first_index, _unpack_entries(entries))
        groups.setdefault(group, _GroupState()).apply(change)
    return identity, {
        group: DurableState(state.term, state.vote, ReplicaLog(state.snapshot, state.entries))
        for group, state in groups.items()
    }
