"""The msgpack encoding of what a process stores: its identity, and the updates of its groups' persistent state.

A record is a list of the number of its kind and its fields. A checkpoint is a list of records.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import ormsgpack

from ochrespan.raft.bootstrap import Identity
from ochrespan.raft.log import ReplicaLog, Snapshot
from ochrespan.raft.membership_config import MembershipConfig
from ochrespan.raft.messages import Entry
from ochrespan.raft.state import PersistentState, PersistentUpdate

from .raft_wire import pack_entries, pack_snapshot, unpack_entries, unpack_snapshot

# Kinds of records
_IDENTITY = 0
_UPDATE = 1


def pack_record(value: Identity | PersistentUpdate) -> bytes:
    """Encodes an identity, or an update of a group, as a record."""
    if isinstance(value, Identity):
        return ormsgpack.packb([_IDENTITY, value.replica_id, value.cluster_id, value.initial_members])
    return ormsgpack.packb(
        [
            _UPDATE,
            value.group,
            value.term,
            value.vote,
            pack_snapshot(value.snapshot),
            value.first_index,
            pack_entries(value.entries),
        ]
    )


def pack_checkpoint(identity: Identity, updates: list[PersistentUpdate]) -> bytes:
    """Encodes the complete state as a list of records: the identity, and one full update of each group."""
    return ormsgpack.packb([pack_record(identity), *map(pack_record, updates)])


def unpack_checkpoint(checkpoint: bytes) -> list[bytes]:
    """Returns the encoded records of a checkpoint."""
    records: list[bytes] = ormsgpack.unpackb(checkpoint)
    return records


@dataclass(slots=True)
class _GroupState:
    """The persistent state of a group while its updates are replayed."""

    term: int = 0
    vote: int = 0
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, 0, MembershipConfig(), b""))
    entries: list[Entry] = field(default_factory=list)

    def apply(self, update: PersistentUpdate) -> None:
        """Applies an update: entries replace those from `first_index` on, a newer snapshot replaces all entries."""
        self.term = update.term
        self.vote = update.vote
        snapshot = update.snapshot
        if snapshot is not None and (snapshot.index > self.snapshot.index or not self.snapshot.configuration.voters):
            self.snapshot = snapshot
            self.entries = []
        start = self.snapshot.index + 1
        del self.entries[max(0, update.first_index - start) :]
        self.entries += update.entries[max(0, start - update.first_index) :]


def _unpack_identity(replica_id: int, cluster: int, initial_members: Iterable[tuple[str, int]] = ()) -> Identity:
    """Records of earlier versions lack the initial members."""
    return Identity(replica_id, cluster, tuple((host, port) for host, port in initial_members))


def replay(packed_records: list[bytes]) -> tuple[Identity | None, dict[int, PersistentState]]:
    """Replays records in order; returns the identity (None if there is no such record) and the groups' states."""
    identity: Identity | None = None
    groups: dict[int, _GroupState] = {}
    for packed in packed_records:
        kind, *fields = ormsgpack.unpackb(packed)
        if kind == _IDENTITY:
            next_identity = _unpack_identity(*fields)
            if identity is not None and identity.cluster_id not in (0, next_identity.cluster_id):
                # The process left one bootstrap to join another cluster: records of the abandoned groups are discarded
                groups = {}
            identity = next_identity
            continue
        group, term, vote, snapshot, first_index, entries = fields
        update = PersistentUpdate(group, term, vote, unpack_snapshot(snapshot), first_index, unpack_entries(entries))
        groups.setdefault(group, _GroupState()).apply(update)
    return identity, {
        group: PersistentState(state.term, state.vote, ReplicaLog(state.snapshot, state.entries))
        for group, state in groups.items()
    }
