"""Reads the stored state when a process starts: its identity, its groups' logs and their last snapshots."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import gevent

from ochrespan.raft.bootstrap import Identity
from ochrespan.raft.state import PersistentState
from ochrespan.storage.files import PosixDirectory
from ochrespan.storage.snapshot_store import SnapshotStore

from .disk_writer import RETRY_S
from .persistent_records import replay, unpack_checkpoint

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RecoveredReplicas:
    """An opened store and the state read from it; `identity` is None if the store was empty."""

    store: SnapshotStore
    identity: Identity | None
    states: dict[int, PersistentState]


def recover(data_dir: str) -> RecoveredReplicas:
    """Opens the store in a folder, in a pool thread; retries every RETRY_S while the disk is not readable."""
    store = SnapshotStore(PosixDirectory(data_dir))
    stored = None
    while stored is None:
        try:
            stored = gevent.get_hub().threadpool.apply(store.open)
        except OSError as error:
            log.error("disk not readable error=%s", error)
            gevent.sleep(RETRY_S)
    checkpoint = unpack_checkpoint(stored.checkpoint) if stored.checkpoint is not None else []
    identity, states = replay([*checkpoint, *stored.records])
    return RecoveredReplicas(store, identity, states)
