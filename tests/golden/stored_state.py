"""What a controller's data folder tells: the state that the program starts from, as plain values for JSON.

The folder is read as the replica host reads it: recovery of the store, replay of its records, and then the state
machines' `restore` and `apply`. Entries behind the snapshot count as committed. Nothing here names a class or a module
of the program, so the values outlive every renaming.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ochrespan.control_plane.control_state import ControlState
from ochrespan.control_plane.replication.persistent_records import replay, unpack_checkpoint
from ochrespan.control_plane.shards import CONFIG_SHARD
from ochrespan.raft.bootstrap import Identity
from ochrespan.raft.log import ReplicaLog
from ochrespan.raft.membership_config import MembershipConfig
from ochrespan.raft.messages import EntryKind
from ochrespan.raft.state import PersistentState
from ochrespan.storage.files import PosixDirectory
from ochrespan.storage.snapshot_store import SnapshotStore
from ochrespan.transport import compact

EXPECTED_NAME = "expected.json"
DISKS = Path(__file__).parent / "data" / "disks"


def read_state(folder: Path) -> dict[str, Any]:
    """The state in a data folder; the folder's files may be changed by the recovery."""
    identity, shards = _recover(folder)
    control = ControlState()
    for shard, state in sorted(shards.items()):
        _bring_up(control.machines[shard], state.log)
    return {
        "identity": _identity_fields(identity),
        "raft": {str(shard): _raft_fields(state) for shard, state in sorted(shards.items())},
        "configuration": _configuration_fields(control.machines[CONFIG_SHARD]),
        "instances": {str(shard): _instance_fields(machine) for shard, machine in control.instances.items()},
    }


def read_expected(folder: Path) -> dict[str, Any]:
    """The state that is committed beside the files of a disk."""
    return json.loads((folder / EXPECTED_NAME).read_text())


def write_expected(folder: Path, state: dict[str, Any]) -> None:
    """Writes the state beside the files of a disk."""
    (folder / EXPECTED_NAME).write_text(json.dumps(state, indent=1, sort_keys=True) + "\n")


def _recover(folder: Path) -> tuple[Identity | None, dict[int, PersistentState]]:
    directory = PosixDirectory(str(folder))
    try:
        recovered = SnapshotStore(directory).open()
    finally:
        directory.close()
    image = unpack_checkpoint(recovered.checkpoint) if recovered.checkpoint is not None else []
    return replay([*image, *recovered.records])


def _bring_up(machine: Any, log: ReplicaLog) -> None:
    """Gives a state machine the snapshot, where there is one, and every command behind it."""
    if log.snapshot.index:
        machine.restore(log.snapshot.data)
    for index in range(log.first_index, log.last_index + 1):
        entry = log.entry(index)
        if entry.kind == EntryKind.COMMAND:
            machine.apply(index, entry.data)


def _identity_fields(identity: Identity | None) -> dict[str, Any] | None:
    if identity is None:
        return None
    initial_members = [list(address) for address in identity.initial_members]
    return {"replica_id": identity.replica_id, "cluster": identity.cluster_id, "founders": initial_members}


def _raft_fields(state: PersistentState) -> dict[str, Any]:
    log = state.log
    entries = [log.entry(index) for index in range(log.first_index, log.last_index + 1)]
    return {
        "term": state.term,
        "vote": state.vote,
        "snapshot": {
            "index": log.snapshot.index,
            "term": log.snapshot.term,
            "members": _member_fields(log.snapshot.configuration),
            "bytes": len(log.snapshot.data),
        },
        "last_index": log.last_index,
        "last_term": log.last_term,
        "entries": [[entry.term, int(entry.kind), entry.data.hex()] for entry in entries],
        "members_index": log.configuration_index,
        "members": _member_fields(log.configuration),
    }


def _member_fields(configuration: MembershipConfig) -> dict[str, Any]:
    sides = {"voters": configuration.voters, "outgoing": configuration.outgoing}
    return {name: [[member.id, *member.address] for member in side] for name, side in sides.items()}


def _configuration_fields(machine: Any) -> dict[str, Any]:
    document, taken, history, forgotten_version = compact.unpack(machine.snapshot())
    return {
        "document": document,
        "taken_orders": [[digest.hex(), version] for digest, version in taken],
        "history": history,
        "forgotten_version": forgotten_version,
    }


def _instance_fields(machine: Any) -> dict[str, Any]:
    records, departed, placements = compact.unpack(machine.snapshot())
    return {"records": records, "departed": departed, "homes": placements}
