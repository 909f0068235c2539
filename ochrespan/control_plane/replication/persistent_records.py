"""The msgpack form of what a process stores: its identity and the updates of its groups."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass

import ormsgpack

from ochrespan.raft.bootstrap import Identity
from ochrespan.raft.log import ReplicaLog, Snapshot
from ochrespan.raft.membership_config import MembershipConfig
from ochrespan.raft.messages import Entry
from ochrespan.raft.state import PersistentState, PersistentUpdate

from .raft_wire import pack_entries, pack_snapshot, unpack_entries, unpack_snapshot

# Records of the store

_IDENTITY = 0
_UPDATE = 1


def pack_record(change: Identity | PersistentUpdate) -> bytes:
    if isinstance(change, Identity):
        return ormsgpack.packb([_IDENTITY, change.replica_id, change.cluster_id, change.initial_members])
    return ormsgpack.packb(
        [
            _UPDATE,
            change.group,
            change.term,
            change.vote,
            pack_snapshot(change.snapshot),
            change.first_index,
            pack_entries(change.entries),
        ]
    )


def pack_checkpoint(identity: Identity, changes: list[PersistentUpdate]) -> bytes:
    """The whole state as the records that lead to it."""
    return ormsgpack.packb([pack_record(identity), *map(pack_record, changes)])


def unpack_checkpoint(image: bytes) -> list[bytes]:
    return ormsgpack.unpackb(image)


@dataclass(slots=True)
class _GroupState:
    term: int = 0
    vote: int = 0
    snapshot: Snapshot = dataclasses.field(default_factory=lambda: Snapshot(0, 0, MembershipConfig(), b""))
    entries: list[Entry] = dataclasses.field(default_factory=list)

    def apply(self, change: PersistentUpdate) -> None:
        self.term, self.vote = change.term, change.vote
        replaced = change.snapshot
        if replaced is not None and (replaced.index > self.snapshot.index or not self.snapshot.configuration.voters):
            self.snapshot, self.entries = replaced, []
        start = self.snapshot.index + 1
        del self.entries[max(0, change.first_index - start) :]
        self.entries += change.entries[max(0, start - change.first_index) :]


def _unpack_identity(replica_id: int, cluster: int, initial_members: Iterable[Iterable] = ()) -> Identity:
    """Records of earlier versions lack the founders."""
    return Identity(replica_id, cluster, tuple((host, port) for host, port in initial_members))


def replay(packed_records: list[bytes]) -> tuple[Identity | None, dict[int, PersistentState]]:
    """The identity and the groups' states that a sequence of records leads to."""
    identity, groups = None, {}
    for packed in packed_records:
        kind, *fields = ormsgpack.unpackb(packed)
        if kind == _IDENTITY:
            following = _unpack_identity(*fields)
            if identity is not None and identity.cluster_id not in (0, following.cluster_id):
                groups = {}  # a founding was given up: what its groups wrote holds no more
            identity = following
            continue
        group, term, vote, snapshot, first_index, entries = fields
        change = PersistentUpdate(group, term, vote, unpack_snapshot(snapshot), first_index, unpack_entries(entries))
        groups.setdefault(group, _GroupState()).apply(change)
    return identity, {
        group: PersistentState(state.term, state.vote, ReplicaLog(state.snapshot, state.entries))
        for group, state in groups.items()
    }
