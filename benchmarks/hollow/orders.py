"""What orders of the operator and reports of servers cost a controller, by what it already holds."""

from __future__ import annotations

import itertools
import json

from ochrespan.control_plane.configuration import Configuration, change_of_patch, change_to
from ochrespan.control_plane.documents import CHECK_CONFIGURATION, CHECK_INSTANCE, CHECK_PATCH, read_json
from ochrespan.control_plane.feed_messages import pack_configuration_change
from ochrespan.control_plane.heartbeats import HeartbeatWatch, timeout_s
from ochrespan.control_plane.instances import InstanceMachine, RegisterInstance, record_fields, record_of
from ochrespan.control_plane.orders import ConfigurationMachine, OrderKind, encode_order, make_order
from ochrespan.control_plane.owners import EXPIRY_INTERVAL_S, InstanceOwner, InstanceReport
from ochrespan.coordination.shards import ALL_SHARDS, CONFIG_SHARD
from ochrespan.transport.codec import decode, encode

from . import documents
from .meter import bytes_held, microseconds
from .owned_groups import OwnedGroups
from .series import Series

HEARTBEAT_S = 1.2
SHARD = 1


def machine_with(routes: int, tenants: int) -> ConfigurationMachine:
    """The configuration's state machine after its first order."""
    machine = ConfigurationMachine()
    order = make_order(OrderKind.WHOLE, 0, documents.configuration(1, routes, tenants))
    machine.apply(1, encode_order(order))
    return machine


def order_series(sizes: list[int], tenants: int) -> list[Series]:
    """By the routes: a whole configuration, a patch of one route, reading back, the snapshot, memory."""
    read_put, put, read_patch, patch, back, snapshot, snapshot_bytes, memory = ([] for _ in range(8))
    for size in sizes:
        whole = json.dumps(documents.configuration(1, size, tenants)).encode()
        command = encode_order(make_order(OrderKind.WHOLE, 0, read_json(whole, CHECK_CONFIGURATION)))
        machine = machine_with(size, tenants)
        current = machine.current
        text = json.dumps(documents.patch(2, [0], 9_000)).encode()

        def read(body: bytes, check, kind: OrderKind) -> None:
            encode_order(make_order(kind, 1, read_json(body, check)))

        def judge(current: Configuration = current) -> None:
            current.changed_by(change_of_patch(current, documents.patch(2, [0], 9_000)))

        read_put.append((size, microseconds(lambda: read(whole, CHECK_CONFIGURATION, OrderKind.WHOLE), 2)))  # noqa: B023
        put.append((size, microseconds(lambda: ConfigurationMachine().apply(1, command), 2)))  # noqa: B023
        read_patch.append((size, microseconds(lambda: read(text, CHECK_PATCH, OrderKind.PATCH), 50)))  # noqa: B023
        patch.append((size, microseconds(judge, 20)))
        back.append((size, microseconds(lambda: json.dumps(machine.current.document()), 2)))  # noqa: B023
        snapshot.append((size, microseconds(machine.snapshot, 2)))
        snapshot_bytes.append((size, len(machine.snapshot())))
        memory.append((size, bytes_held(lambda: machine_with(size, tenants))))  # noqa: B023
    return [
        Series.of("order PUT: read, checked, packed", "us", "routes", read_put),
        Series.of("order PUT: judged", "us at each replica", "routes", put),
        Series.of("order PATCH of one route: read, checked, packed", "us", "routes", read_patch),
        Series.of("order PATCH of one route: judged", "us at each replica", "routes", patch),
        Series.of("configuration read back as JSON", "us", "routes", back),
        Series.of("configuration's snapshot", "us", "routes", snapshot),
        Series.of("configuration's snapshot", "B", "routes", snapshot_bytes),
        Series.of("controller: memory of the configuration", "B", "routes", memory),
    ]


class HollowOwner:
    """The owner of one shard with its servers."""

    def __init__(self, servers: int) -> None:
        self.machines = {shard: InstanceMachine() for shard in ALL_SHARDS if shard != CONFIG_SHARD}
        self.owner = InstanceOwner(OwnedGroups(self.machines), self.machines, HEARTBEAT_S)
        self.owner.leadership_changed(SHARD, True)
        for number in range(servers):
            self.owner.report(InstanceReport(SHARD, record_fields(documents.record(number))))


def heartbeat_series(sizes: list[int]) -> list[Series]:
    """By the servers of a shard: a heartbeat, a change, the search for silent ones, the snapshot, memory."""
    beat, change, expiry, snapshot, snapshot_bytes, memory = ([] for _ in range(6))
    for size in sizes:
        owner = HollowOwner(size)
        machine = owner.machines[SHARD]
        sequences = itertools.count(2)
        watch = HeartbeatWatch(timeout_s(HEARTBEAT_S))
        watch.begin(0.0)
        now = itertools.count(1)

        def heartbeat(owner: HollowOwner = owner, sequences: itertools.count = sequences, size: int = size) -> None:
            sequence = next(sequences)
            owner.owner.report(InstanceReport(SHARD, record_fields(documents.record(sequence % size, sequence))))

        def changed(owner: HollowOwner = owner, sequences: itertools.count = sequences, size: int = size) -> None:
            sequence = next(sequences)
            fields = {**record_fields(documents.record(sequence % size, sequence)), "capacity": sequence}
            owner.owner.report(InstanceReport(SHARD, fields))

        def search(watch: HeartbeatWatch = watch, records: dict = machine.records, now: itertools.count = now) -> None:
            watch.expired(records, next(now) / 10)

        beat.append((size, microseconds(heartbeat, 300)))
        change.append((size, microseconds(changed, 300)))
        expiry.append((size, microseconds(search, 5) / EXPIRY_INTERVAL_S))
        snapshot.append((size, microseconds(machine.snapshot, 2)))
        snapshot_bytes.append((size, len(machine.snapshot())))
        memory.append((size, bytes_held(lambda: HollowOwner(size))))  # noqa: B023
    return [
        Series.of("heartbeat that changes nothing, at the owner", "us", "servers of the shard", beat),
        Series.of("report that changes a server, without the groups", "us", "servers of the shard", change),
        Series.of("search for silent servers", "us a s", "servers of the shard", expiry),
        Series.of("shard's snapshot", "us", "servers of the shard", snapshot),
        Series.of("shard's snapshot", "B", "servers of the shard", snapshot_bytes),
        Series.of("owner: memory of a shard's servers", "B", "servers of the shard", memory),
    ]


def heartbeat_parts() -> list[tuple[str, float]]:
    """The parts of a heartbeat's way through the first controller, in microseconds, without HTTP and sockets."""
    body = json.dumps(documents.report(7, 3)).encode()
    instance_id = documents.instance_id(7)
    record = documents.record(7, 3)
    call = encode(InstanceReport(SHARD, record_fields(record)))
    command = encode(RegisterInstance(record_fields(record)))
    return [
        ("read and check the JSON body", microseconds(lambda: read_json(body, CHECK_INSTANCE), 2000)),
        ("make the record", microseconds(lambda: record_of(instance_id, documents.report(7, 3)), 2000)),
        (
            "fields of the record, encoded for the owner",
            microseconds(lambda: encode(InstanceReport(SHARD, record_fields(record))), 2000),
        ),
        ("decoded at the owner", microseconds(lambda: decode(call), 2000)),
        ("bytes to the owner", float(len(call))),
        ("bytes of a registration in the log", float(len(command))),
    ]


def change_series(sizes: list[int]) -> list[Series]:
    """By the routes that one order changes: what it costs to judge, and what each router is sent."""
    judged, sent = [], []
    current = Configuration().changed_by(change_to(Configuration(), documents.configuration(1, max(sizes), 0)))
    for size in sizes:
        change = change_of_patch(current, documents.patch(2, range(size), 9_000))
        judged.append((size, microseconds(lambda: current.changed_by(change), 5)))  # noqa: B023
        sent.append((size, len(pack_configuration_change(change))))
    return [
        Series.of("order that changes many routes: judged", "us", "routes changed", judged),
        Series.of("feed: change of many routes", "B a router", "routes changed", sent),
    ]
