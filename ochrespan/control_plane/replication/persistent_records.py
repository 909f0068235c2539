"""The msgpack form of what a process stores: its identity and the updates of its groups."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass

import ormsgpack

from ochrespan.raft.bootstrap import Identity
from ochrespan.raft.log import ReplicaLog, Snapshot
from ochrespan.raft.membership_config import Configuration
from ochrespan.raft.messages import Entry
from ochrespan.raft.state import DurableChange, DurableState

from .raft_wire import _pack_entries, _pack_snapshot, _unpack_entries, _unpack_snapshot

# Records of the store

_IDENTITY = 0
_CHANGE = 1


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
