"""Writes the data folders that `test_stored_state` reads, with the program's own store, replicas and state machines.

    python -m tests.golden.make_disks [FOLDER]

The committed folders were written by the version before the renaming of the code and stay as they are: this module
tells how they came to be, and the test compares what it writes today with them. Its clock and its ids are fixed, so the
same program writes the same bytes.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import ormsgpack

from ochrespan.control_plane.config.commands import ConfigCommandKind, encode_command, make_command
from ochrespan.control_plane.control_state import ControlState
from ochrespan.control_plane.registry.commands import ExpireInstances, RegisterInstance, RemoveInstance
from ochrespan.control_plane.registry.prefix_placements import AssignPrefixes
from ochrespan.control_plane.registry.records import record_fields, record_from_document
from ochrespan.control_plane.replication.persistent_records import pack_checkpoint, pack_record
from ochrespan.control_plane.shards import CONFIG_SHARD, shard_of
from ochrespan.raft.bootstrap import BootstrapSettings, Identity
from ochrespan.raft.log import Snapshot
from ochrespan.raft.membership_config import Member, MembershipConfig
from ochrespan.raft.messages import Entry, EntryKind
from ochrespan.raft.multi_raft import MultiRaft, RecoveredGroups
from ochrespan.raft.state import PersistentUpdate
from ochrespan.storage.files import PosixDirectory
from ochrespan.storage.snapshot_store import LOG_NAMES, SnapshotStore
from ochrespan.transport import compact
from ochrespan.transport.codec import encode
from tests.golden.stored_state import DISKS, read_state, write_expected
from tests.support.control_plane_world import configuration, instance, route, service, tenant

OWN_ADDRESS = ("127.0.0.1", 17500)
STEP_S = 0.05
PATIENCE_STEPS = 200
SEED = 20
RECEIVED_MS = 1_750_000_000_000
SERVICES = ("judges", "drafts")  # of two shards
TORN_BYTES = 9  # cut from the end of the torn log: its last record is longer
LARGE_TEXT = "x" * 1500  # makes what holds it large enough to be compressed


class RecordedProcess:
    """A controller that is the only voter of its groups: everything of the real one apart from clock and sockets."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._directory = PosixDirectory(str(folder))
        self._store = SnapshotStore(self._directory)
        self._store.open()
        self._machines = ControlState().machines
        self._now = 0.0
        settings = BootstrapSettings(OWN_ADDRESS, (OWN_ADDRESS,), True, 0)
        source = random.Random(SEED)
        self._table = MultiRaft(settings, RecoveredGroups.of_groups(self._machines, None, {}), source, self._now)
        for _ in range(PATIENCE_STEPS):
            self._step()
        if not all(replica.is_leader for replica in self._table.replicas.values()):
            raise RuntimeError("a group without other voters has no leader")

    def propose(self, shard: int, command: bytes) -> None:
        """Has a command committed and applied."""
        if self._table.replicas[shard].propose(self._now, command) is None:
            raise RuntimeError(f"shard {shard} took no command")
        self._step()

    def begin_checkpoint(self) -> bytes:
        """Begins the next log, and returns the image that its slot is to hold."""
        self._store.begin_checkpoint()
        for shard, replica in self._table.replicas.items():
            if replica.state.applied_index > replica.state.log.snapshot.index:
                replica.compact(self._machines[shard].snapshot())
        images = [replica.full_update() for replica in self._table.replicas.values()]
        return pack_checkpoint(self._table.bootstrap.identity, images)

    def checkpoint(self) -> None:
        """Writes the whole state to the next slot."""
        self._store.write_checkpoint(self.begin_checkpoint())

    def close(self) -> None:
        """Ends without another write, as a kill would."""
        self._directory.close()

    def _step(self) -> None:
        self._now += STEP_S
        self._table.tick(self._now)
        self._table.take_envelopes()
        changes = self._table.take_updates()
        if changes:
            self._store.append([pack_record(change) for change in changes])
            self._store.flush()
            self._table.persisted(self._now)
        for shard, replica in self._table.replicas.items():
            for index, entry in replica.take_committed():
                if entry.kind == EntryKind.COMMAND:
                    self._machines[shard].apply(index, entry.data)


def first_orders() -> list[bytes]:
    """Whole configurations and a patch, of versions 1, 3 and 4."""
    tenants = [tenant("alpha", "key-a", rate_per_s=5.0, burst=10), tenant("beta", "key-b1", "key-b2")]
    services = [service(), service("drafts", protocol="h2")]
    split = [{"backend": "judges", "weight": 1}, {"backend": "drafts", "weight": 3.5}]
    split_route = route("r2", target_latency_ms=250.5, traffic_split=split)
    third = configuration(3, route("r1"), split_route, services=services, tenants=tenants)
    patch = {
        "generation": 4,
        "upsert": {"routes": [route("r3", "drafts", resumable=True)], "limits": {"idle_timeout_ms": 900}},
        "delete": {"routes": ["r1"], "tenants": ["beta"]},
    }
    return [
        _order(ConfigCommandKind.REPLACE, 0, configuration(1)),
        _order(ConfigCommandKind.REPLACE, 1, third),
        _order(ConfigCommandKind.PATCH, 3, patch),
    ]


def refused_orders() -> list[bytes]:
    """Orders in the log that change nothing: a repeated one, one on an old version and an invalid one."""
    return [
        _order(ConfigCommandKind.REPLACE, 0, configuration(1)),
        _order(ConfigCommandKind.REPLACE, 1, configuration(9)),
        _order(ConfigCommandKind.REPLACE, 4, configuration(9, route("r9", "unknown"))),
    ]


def later_orders() -> list[bytes]:
    """Changes behind a checkpoint: a large one, and one of the limits alone."""
    large = route("r4", "drafts", route_type=LARGE_TEXT)
    return [
        _order(ConfigCommandKind.PATCH, 4, {"generation": 6, "upsert": {"routes": [large]}}),
        _order(ConfigCommandKind.PATCH, 6, {"generation": 7, "delete": {"limits": ["idle_timeout_ms"]}}),
    ]


def first_reports() -> list[tuple[int, bytes]]:
    """Instances that are ready, draining, removed, expired and replaced at their address; and prefixes."""
    models = [{"name": "small", "generation": 2}, {"name": "large"}]
    return [
        _report("judge-1", instance(1, address="10.0.0.1:80", models=models, phase="warm", cold_remaining_ms=1500.5)),
        _report("judge-2", instance(1, address="10.0.0.2:80")),
        _report("judge-2", instance(2, "draining", address="10.0.0.2:80")),
        _report("judge-3", instance(5, address="10.0.0.3:80")),
        _remove("judges", "judge-3"),
        _report("judge-4", instance(6, "draining", address="10.0.0.4:80")),
        _expire("judges", {"judge-4": 6}),
        _report("judge-5", instance(1, address="10.0.0.5:80")),
        _report("judge-6", instance(1, address="10.0.0.5:80")),
        _remove("judges", "judge-never-heard"),
        _report("draft-1", instance(3, address="10.0.1.1:80", backend="drafts", zone=None, capacity=None)),
        _place("judges", [("prefix-1", "judge-1", 700.0), ("prefix-2", "judge-6", 12.5)]),
    ]


def later_reports() -> list[tuple[int, bytes]]:
    """Reports behind a checkpoint, among them such as must change nothing."""
    return [
        _report("judge-2", instance(9, address="10.0.0.2:80")),
        _report("judge-3", instance(9, address="10.0.0.3:80")),
        _report("judge-7", instance(1, address="10.0.0.7:80")),
        _expire("judges", {"judge-6": 1, "judge-7": 0}),
        _place("judges", [("prefix-1", "judge-7", 650.0)]),
        _place("drafts", [("prefix-3", "draft-1", 64.0)]),
    ]


def make_log_only(folder: Path) -> None:
    """Everything is in the first log; no slot was ever written."""
    process = RecordedProcess(folder)
    _propose_first(process)
    process.close()


def make_slot_and_log(folder: Path) -> None:
    """A slot's image, the log behind it, and the files of the generation before."""
    process = RecordedProcess(folder)
    _propose_first(process)
    process.checkpoint()
    _propose_later(process)
    process.close()


def make_second_checkpoint(folder: Path) -> None:
    """Both slots were written, and the newer one holds compressed snapshots."""
    process = RecordedProcess(folder)
    _propose_first(process)
    process.checkpoint()
    _propose_later(process)
    process.checkpoint()
    process.close()


def make_checkpoint_under_way(folder: Path) -> None:
    """The next log has begun and its slot was not written: the first log and the next one tell the state."""
    process = RecordedProcess(folder)
    _propose_first(process)
    process.begin_checkpoint()
    _propose_later(process)
    process.close()


def make_torn_record(folder: Path) -> None:
    """The end of the last record is missing."""
    make_log_only(folder)
    path = folder / LOG_NAMES[0]
    path.write_bytes(path.read_bytes()[:-TORN_BYTES])


def make_without_founders(folder: Path) -> None:
    """The record of the identity is of an earlier version, which knew no founders."""
    own = Member(77, OWN_ADDRESS)
    members = MembershipConfig.of([own])
    records = [ormsgpack.packb([0, own.id, 4242])]
    for shard in ControlState().machines:
        commands = first_orders() if shard == CONFIG_SHARD else _reports_of(shard, first_reports())
        entries = [Entry(3, EntryKind.COMMAND, command) for command in commands]
        records.append(pack_record(PersistentUpdate(shard, 3, own.id, Snapshot(0, 0, members, b""), 1, entries)))
    _write_log(folder, records)


def make_earlier_snapshots(folder: Path) -> None:
    """Snapshots without history and placements, an order without its time, a report with an unknown field."""
    own = Member(78, OWN_ADDRESS)
    members = MembershipConfig.of([own])
    configuration_state = [configuration(5), [[bytes(range(16)), 4], [bytes(range(16, 32)), 5]]]
    records_state = [
        record_fields(record_from_document("judge-1", instance(2))),
        {**_plain_record(), "left_out_later": 1},
    ]
    instances_state = [records_state, {"judge-0": [4, True, False]}]
    order = make_command(ConfigCommandKind.REPLACE, 5, configuration(8, route("r8")))
    earlier_order = ormsgpack.packb(["cp.order", order.kind, order.builds_on, order.digest, order.body])
    judges = shard_of(SERVICES[0])
    identity = Identity(own.id, 4243, (OWN_ADDRESS,))
    records = [pack_record(identity)]
    for shard in ControlState().machines:
        state = configuration_state if shard == CONFIG_SHARD else instances_state if shard == judges else [[], {}]
        snapshot = Snapshot(40 + shard, 6, members, compact.pack(state))
        entries = [Entry(7, EntryKind.COMMAND, earlier_order)] if shard == CONFIG_SHARD else []
        records.append(pack_record(PersistentUpdate(shard, 7, own.id, snapshot, 41 + shard, entries)))
    _write_log(folder, records)


def make_three_voters(folder: Path) -> None:
    """One of three voters: entries that a later leader replaced, a snapshot that it sent, members under change."""
    own, second, third, fourth = (Member(100 + number, (f"10.0.9.{number}", 17500)) for number in range(1, 5))
    members = MembershipConfig.of([own, second, third])
    joint = members.enter_joint([own, second, fourth])
    orders, judges = first_orders(), shard_of(SERVICES[0])
    initial_members = tuple(member.address for member in (own, second, third))
    reports = _reports_of(judges, first_reports())
    sent = Snapshot(30, 8, members, compact.pack([[_plain_record()], {}, {"judges": [["prefix-9", "judge-9", 3.0]]}]))
    changes = [
        Identity(own.id, 0, initial_members),
        Identity(own.id, 4244, initial_members),
        PersistentUpdate(CONFIG_SHARD, 0, 0, Snapshot(0, 0, members, b""), 1, []),
        PersistentUpdate(judges, 0, 0, Snapshot(0, 0, members, b""), 1, []),
        PersistentUpdate(CONFIG_SHARD, 1, second.id, None, 1, _commands(1, [orders[0], refused_orders()[2]])),
        PersistentUpdate(CONFIG_SHARD, 4, 0, None, 2, _commands(4, orders[1:2])),
        PersistentUpdate(CONFIG_SHARD, 5, third.id, None, 3, [Entry(5, EntryKind.CONFIGURATION, joint.to_bytes())]),
        PersistentUpdate(CONFIG_SHARD, 5, third.id, None, 4, _commands(5, orders[2:])),
        PersistentUpdate(judges, 2, own.id, None, 1, _commands(2, reports[:2])),
        PersistentUpdate(judges, 9, 0, sent, 31, _commands(9, reports[:1])),
    ]
    _write_log(folder, [pack_record(change) for change in changes])


MAKERS: dict[str, Callable[[Path], None]] = {
    "log-only": make_log_only,
    "slot-and-log": make_slot_and_log,
    "second-checkpoint": make_second_checkpoint,
    "checkpoint-under-way": make_checkpoint_under_way,
    "torn-record": make_torn_record,
    "without-founders": make_without_founders,
    "earlier-snapshots": make_earlier_snapshots,
    "three-voters": make_three_voters,
}


def _propose_first(process: RecordedProcess) -> None:
    for order in first_orders() + refused_orders():
        process.propose(CONFIG_SHARD, order)
    for shard, command in first_reports():
        process.propose(shard, command)


def _propose_later(process: RecordedProcess) -> None:
    for order in later_orders():
        process.propose(CONFIG_SHARD, order)
    for shard, command in later_reports():
        process.propose(shard, command)


def _write_log(folder: Path, records: list[bytes]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    directory = PosixDirectory(str(folder))
    store = SnapshotStore(directory)
    store.open()
    store.append(records)
    store.flush()
    directory.close()


def _order(kind: ConfigCommandKind, builds_on: int, document: dict[str, Any]) -> bytes:
    return encode_command(make_command(kind, builds_on, document, RECEIVED_MS + builds_on))


def _report(instance_id: str, document: dict[str, Any]) -> tuple[int, bytes]:
    record = record_from_document(instance_id, document)
    return shard_of(record.backend), encode(RegisterInstance(record_fields(record)))


def _remove(service_name: str, instance_id: str) -> tuple[int, bytes]:
    return shard_of(service_name), encode(RemoveInstance(instance_id))


def _expire(service_name: str, sequences: dict[str, int]) -> tuple[int, bytes]:
    return shard_of(service_name), encode(ExpireInstances(sequences))


def _place(service_name: str, entries: list[tuple[str, str, float]]) -> tuple[int, bytes]:
    return shard_of(service_name), encode(AssignPrefixes(service_name, entries))


def _reports_of(shard: int, reports: list[tuple[int, bytes]]) -> list[bytes]:
    return [command for each, command in reports if each == shard]


def _commands(term: int, commands: list[bytes]) -> list[Entry]:
    return [Entry(term, EntryKind.COMMAND, command) for command in commands]


def _plain_record() -> dict[str, Any]:
    return record_fields(record_from_document("judge-9", instance(4, "draining", address="10.0.0.99:80")))


def main() -> None:
    """Writes every folder, each with the state that is read from it."""
    target = Path(sys.argv[1]) if len(sys.argv) > 1 else DISKS
    for name, make in MAKERS.items():
        make(target / name)
        write_expected(target / name, read_state(target / name))


if __name__ == "__main__":
    main()
