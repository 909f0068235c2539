"""The msgpack form of what a process stores: its identity, and the updates of its groups' persistent state.

A record is a list: the number of its kind, and the fields. A checkpoint is a list of records.
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
    """The record of an identity or of an update of a group."""
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
    """The complete state, as the records that lead to it."""
    return ormsgpack.packb([pack_record(identity), *map(pack_record, updates)])


def unpack_checkpoint(checkpoint: bytes) -> list[bytes]:
    """The records of a checkpoint."""
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
        """Entries replace those from `first_index` on; a newer snapshot replaces the log that it covers."""
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
    """The identity, None where there is no record, and the groups' states that a sequence of records leads to."""
    identity: Identity | None = None
    groups: dict[int, _GroupState] = {}
    for packed in packed_records:
        kind, *fields = ormsgpack.unpackb(packed)
        if kind == _IDENTITY:
            next_identity = _unpack_identity(*fields)
            if identity is not None and identity.cluster_id not in (0, next_identity.cluster_id):
                # A bootstrap was abandoned for that of another cluster: what its groups wrote is void
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
