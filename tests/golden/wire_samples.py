"""The samples whose bytes are on record in `data/wire_bytes.json`.

Each sample has a stable name made of tags and numbers of the wire, never of the names of classes. All constructors of
the program's types stand here, so a renaming changes this module and leaves the bytes on record as they are.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ochrespan.control_plane.config.commands import (
    ConfigCommand,
    ConfigCommandKind,
    RestoreCommand,
    make_command,
    make_restore_command,
)
from ochrespan.control_plane.config.configuration import ConfigurationChange, SectionChange
from ochrespan.control_plane.config.owner import ReadBackup, ReadConfiguration, ReadHistory
from ochrespan.control_plane.config.state_machine import ConfigurationStateMachine
from ochrespan.control_plane.feed import messages as feed_messages
from ochrespan.control_plane.owner_calls import NotOwnerResponse
from ochrespan.control_plane.prefix_placement.messages import PrefixPlacement, PrefixPlacementRequest
from ochrespan.control_plane.quota import messages as quota_messages
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.commands import ExpireInstances, RegisterInstance, RemoveInstance
from ochrespan.control_plane.registry.owner import InstanceEnded, InstanceReport
from ochrespan.control_plane.registry.prefix_placements import AssignPrefixes, PrefixPlacements
from ochrespan.control_plane.registry.records import InstanceRecord, record_fields
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication import persistent_records, raft_wire
from ochrespan.control_plane.responses import NotLeaderResponse, Response
from ochrespan.membership import messages as swim_messages
from ochrespan.membership import wire as swim_wire
from ochrespan.membership.member_table import MemberUpdate
from ochrespan.raft import cluster_messages, messages
from ochrespan.raft.bootstrap import Identity
from ochrespan.raft.envelope import Envelope
from ochrespan.raft.log import Snapshot
from ochrespan.raft.membership_config import Member, MembershipConfig
from ochrespan.raft.messages import Entry, EntryKind
from ochrespan.raft.state import PersistentUpdate
from ochrespan.storage import records
from ochrespan.transport import codec, compact
from ochrespan.transport.rpc import RpcRequest, RpcResponse

LARGE_ID = 2**62 + 11
LARGE_CLUSTER = 2**63 - 25
LARGE_INDEX = 2**40 + 3
STAMP = 86_400.015625
SMALL_FLOAT = 0.001

# The fields of every registered message type in order, by tag; `name=default` where a field may be missing at the end.
REGISTERED_FIELDS = {
    "call": ["number", "body"],
    "cp.answer": ["status", "packed_body"],
    "cp.backup": [],
    "cp.elsewhere": [],
    "cp.ended": ["shard", "id"],
    "cp.expire": ["sequences"],
    "cp.history": [],
    "cp.homes": ["service", "entries"],
    "cp.order": ["kind", "builds_on", "digest", "body", "received_ms=0"],
    "cp.read": [],
    "cp.register": ["record"],
    "cp.remove": ["id"],
    "cp.report": ["shard", "record"],
    "cp.restore": ["digest", "body", "received_ms=0"],
    "feed.delta": ["shard", "previous", "offset", "body"],
    "feed.freshness": [
        "quorum_ages",
        "lags",
        "offsets",
        "controllers",
        "router_count",
        "router_rank",
        "leaders={}",
        "cluster=0",
    ],
    "feed.presence": ["ip", "port", "zone", "routers", "offsets={}", "cluster=0"],
    "feed.snapshot": ["shard", "offset", "body"],
    "feed.subscribe": ["node", "zone", "offsets={}", "cluster=0"],
    "home.ask": ["service", "prefix", "tokens", "unusable=''"],
    "home.is": ["instance", "is_new=False"],
    "quota.ask": ["tenant", "router", "needed", "ahead", "left_over=0.0", "epoch=0"],
    "quota.elsewhere": ["ip=''", "port=0"],
    "quota.grant": ["tokens", "retry_after_s", "epoch", "owner_age_s=0.0"],
    "raft": ["cluster", "sender", "host", "port", "to", "frames"],
    "reply": ["number", "body", "error=''"],
    "swim": ["kind", "fields", "updates"],
}


@dataclass(frozen=True)
class WireCase:
    """A value, how it becomes bytes and comes back, and what its last fields are where an earlier version lacks them.

    `defaults` are the values of the last fields, in order, when they are cut off.
    """

    name: str
    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
    defaults: tuple[Any, ...] = ()

    def with_defaults(self, count: int) -> Any:
        """The value as it is read when its last `count` fields are missing."""
        names = [field.name for field in dataclasses.fields(self.value)][-count:]
        return dataclasses.replace(self.value, **dict(zip(names, self.defaults[-count:], strict=True)))


def message_case(name: str, value: Any, defaults: tuple[Any, ...] = ()) -> WireCase:
    """A registered message as it stands in a frame or a datagram."""
    return WireCase(name, value, codec.encode, codec.decode, defaults)


# Instances

FULL_INSTANCE = InstanceRecord(
    id="chat-1",
    backend="chat",
    address="10.1.0.7:9000",
    state="draining",
    sequence=LARGE_INDEX,
    zone="zone-b",
    generation="2024-05",
    capacity=48,
    cold_remaining_ms=1250.5,
    phase="prefill",
    models=({"name": "ochre-7b", "weight": 0.25, "tags": ["a", "ü"]}, {"name": "ochre-70b", "loaded": True}),
)
SMALL_INSTANCE = InstanceRecord(id="code-1", backend="code", address="10.1.0.8:9000", state="ready")
SMALL_INSTANCE_REQUIRED = {"id": "code-1", "backend": "code", "address": "10.1.0.8:9000", "state": "ready"}
OTHER_INSTANCE = InstanceRecord(id="chat-2", backend="chat", address="10.1.0.9:9000", state="ready", sequence=4)


def _plain(record: InstanceRecord) -> dict[str, Any]:
    """The fields of a record with lists in place of tuples, as they are read."""
    return {**record_fields(record), "models": list(record.models)}


# Configurations

ROUTE = {"name": "front", "hostname": "Chat.Example", "path_prefix": "/v1", "backend": "chat", "note": "naïve"}
SPLIT_ROUTE = {
    "name": "split",
    "hostname": "split.example",
    "path_prefix": "/",
    "traffic_split": [{"backend": "chat", "weight": 0.75}, {"backend": "code", "weight": 0.25}],
}
CHAT_SERVICE = {"name": "chat", "timeout_ms": 30_000, "unknown": {"deep": [1, 2.5, None, True]}}
CODE_SERVICE = {"name": "code", "timeout_ms": 1}
TENANT = {"name": "acme", "api_keys": ["key-1", "key-2"], "rate": 1.5}
FIRST_DOCUMENT = {
    "generation": 7,
    "routes": [ROUTE],
    "services": [CHAT_SERVICE, CODE_SERVICE],
    "tenants": [TENANT],
    "limits": {"body_bytes": 2**33, "ratio": 0.125},
}
PATCH_DOCUMENT = {
    "generation": 8,
    "upsert": {"routes": [SPLIT_ROUTE], "limits": {"streams": 16}},
    "delete": {"routes": ["front"], "tenants": ["acme"], "limits": ["ratio"]},
}
RECEIVED_MS = 1_717_000_000_123


def whole_order() -> ConfigCommand:
    """An order that replaces the whole configuration."""
    return make_command(ConfigCommandKind.REPLACE, 0, FIRST_DOCUMENT, RECEIVED_MS)


def patch_order() -> ConfigCommand:
    """An order that patches the configuration of `whole_order`."""
    return make_command(ConfigCommandKind.PATCH, 7, PATCH_DOCUMENT, RECEIVED_MS + 1)


def restore_order() -> RestoreCommand:
    """An order that restores a backup of the configuration of `whole_order`."""
    accepted = [{"digest": whole_order().digest.hex(), "version": 7}]
    backup = {"configuration": FIRST_DOCUMENT, "accepted_commands": accepted, "last_evicted_version": 3}
    return make_restore_command(backup, RECEIVED_MS + 2)


MESSAGE_CASES = [
    message_case("call", RpcRequest(number=LARGE_INDEX, body=b"\x91\xa7cp.read")),
    message_case("reply", RpcResponse(number=3, body=b"", error="no leader"), ("",)),
    message_case("reply/body", RpcResponse(number=4, body=b"\x00\xff")),
    message_case("cp.answer", Response(status=503, packed_body=b'\x00{"findings": []}')),
    message_case("cp.elsewhere", NotLeaderResponse()),
    message_case("cp.read", ReadConfiguration()),
    message_case("cp.history", ReadHistory()),
    message_case("cp.report", InstanceReport(shard=3, record=_plain(FULL_INSTANCE))),
    message_case("cp.ended", InstanceEnded(shard=4, id="chat-1")),
    message_case("cp.register", RegisterInstance(record=_plain(FULL_INSTANCE))),
    message_case("cp.register/small", RegisterInstance(record=_plain(SMALL_INSTANCE))),
    message_case("cp.remove", RemoveInstance(id="chat-1")),
    message_case("cp.expire", ExpireInstances(sequences={"chat-2": 4, "code-1": LARGE_INDEX})),
    message_case("cp.expire/empty", ExpireInstances(sequences={})),
    message_case("cp.homes", AssignPrefixes(service="chat", entries=[["p1", "chat-1", 512.5], ["p2", "", 0.0]])),
    message_case("cp.homes/empty", AssignPrefixes(service="chat", entries=[])),
    message_case("cp.order/whole", whole_order(), (0,)),
    message_case("cp.order/patch", patch_order(), (0,)),
    message_case("cp.backup", ReadBackup()),
    message_case("cp.restore", restore_order(), (0,)),
    message_case(
        "feed.subscribe",
        feed_messages.Subscribe(node="router-1", zone="zone-a", offsets={0: LARGE_INDEX, 4: 2}, cluster=LARGE_CLUSTER),
        ({}, 0),
    ),
    message_case("feed.snapshot", feed_messages.FeedSnapshot(shard=1, offset=LARGE_INDEX, body=b"\x00\x92\x90\x90")),
    message_case("feed.delta", feed_messages.FeedDelta(shard=2, previous=254, offset=65_536, body=b"")),
    message_case(
        "feed.freshness",
        feed_messages.Freshness(
            quorum_ages={0: 0.125, 1: SMALL_FLOAT},
            lags={0: 0.0, 3: 2.5},
            offsets={0: 17, 2: LARGE_INDEX},
            controllers=[["10.0.0.1", 8000, "zone-a"], ["10.0.0.2", 8010, ""]],
            router_count=130,
            router_rank=129,
            leaders={0: ["10.0.0.2", 8010]},
            cluster=LARGE_CLUSTER,
        ),
        ({}, 0),
    ),
    message_case(
        "feed.freshness/empty",
        feed_messages.Freshness(
            quorum_ages={}, lags={}, offsets={}, controllers=[], router_count=0, router_rank=0, leaders={}, cluster=0
        ),
    ),
    message_case(
        "feed.presence",
        feed_messages.ControllerReport(
            ip="10.0.0.1",
            port=8000,
            zone="zone-a",
            routers=["router-1", "router-2"],
            offsets={0: 9, 4: LARGE_INDEX},
            cluster=LARGE_CLUSTER,
        ),
        ({}, 0),
    ),
    message_case(
        "home.ask", PrefixPlacementRequest(service="chat", prefix="p1", tokens=512.5, unusable="chat-1"), ("",)
    ),
    message_case("home.is", PrefixPlacement(instance="chat-2", is_new=True), (False,)),
    message_case(
        "quota.ask",
        quota_messages.GrantRequest(
            tenant="acme", router="router-1", needed=12.5, ahead=100.0, left_over=SMALL_FLOAT, epoch=LARGE_INDEX
        ),
        (0.0, 0),
    ),
    message_case(
        "quota.grant",
        quota_messages.Grant(tokens=112.5, retry_after_s=0.25, epoch=LARGE_INDEX, owner_age_s=3.5),
        (0.0,),
    ),
    message_case("quota.elsewhere", NotOwnerResponse(ip="10.0.0.3", port=8000), ("", 0)),
]


# Raft messages, each in an envelope

ENTRIES = [
    Entry(term=6, kind=EntryKind.COMMAND, data=b"\x91\xa7cp.read"),
    Entry(term=7, kind=EntryKind.CONFIGURATION, data=b'[[[1,"10.0.0.1",8000]],[]]'),
    Entry(term=7, kind=EntryKind.COMMAND, data=b""),
]
INITIAL_MEMBERS = (("10.0.0.1", 8000), ("10.0.0.2", 8010))

# A sample of each Raft message, the place in this list being its number on the wire, with the defaults of its last
# fields.
RAFT_SAMPLES: list[tuple[Any, tuple[Any, ...]]] = [
    (messages.RequestVote(term=7, last_index=LARGE_INDEX, last_term=6, pre_vote=True, leadership_transfer=False), ()),
    (messages.RequestVoteResponse(term=7, granted=True, pre_vote=False), ()),
    (
        messages.AppendEntries(
            term=7, previous_index=LARGE_INDEX, previous_term=5, entries=ENTRIES, commit=LARGE_INDEX - 1, stamp=STAMP
        ),
        (),
    ),
    (messages.AppendEntriesResponse(term=7, accepted=False, index=LARGE_INDEX, stamp=STAMP), ()),
    (messages.Heartbeat(term=7, commit=300, stamp=STAMP, seconds_since_quorum=SMALL_FLOAT), ()),
    (messages.HeartbeatResponse(term=7, stamp=STAMP, eligible=True), ()),
    (
        messages.InstallSnapshot(
            term=7,
            index=300,
            index_term=6,
            configuration=b"[[],[]]",
            offset=65_536,
            size=LARGE_INDEX,
            data=b"\x01\x02",
            stamp=STAMP,
        ),
        (),
    ),
    (messages.InstallSnapshotResponse(term=7, index=300, offset=65_538, stamp=STAMP), ()),
    (messages.TimeoutNow(term=7), ()),
    (
        cluster_messages.JoinRequest(
            groups=[0, 1, 4],
            is_unbootstrapped=False,
            has_no_entries=True,
            initial_members=INITIAL_MEMBERS,
            age_s=0.375,
        ),
        (False, (), -1.0),
    ),
    (
        cluster_messages.JoinResponse(
            is_unbootstrapped=False,
            contacts=(("10.0.0.4", 8000),),
            has_no_entries=True,
            initial_members=INITIAL_MEMBERS,
            age_s=0.375,
            has_commits=True,
        ),
        (False, (), -1.0, False),
    ),
    (
        cluster_messages.BootstrapProposal(
            members=(Member(LARGE_ID, ("10.0.0.1", 8000)), Member(2, ("10.0.0.2", 8010))), has_voted=True
        ),
        (False,),
    ),
    (cluster_messages.LeaveNotice(), ()),
    (cluster_messages.ClusterInUse(), ()),
]
TYPES_OF_FIRST_RECORD = 13  # a type that is added later has a sample of its own
RAFT_GROUP = 4


def envelope_of(*values: Any) -> Envelope:
    """An envelope with the values as messages of one group."""
    frames = [(RAFT_GROUP, value) for value in values]
    return Envelope(cluster_id=LARGE_CLUSTER, sender=LARGE_ID, address=("10.0.0.1", 8000), to=2, frames=frames)


def encode_envelope(envelope: Envelope) -> bytes:
    """The bytes of an envelope in a frame of a connection."""
    return codec.encode(raft_wire.pack_envelope(envelope))


def decode_envelope(data: bytes) -> Envelope:
    """The envelope in the bytes of a frame."""
    return raft_wire.unpack_envelope(codec.decode(data))


def raft_name(number: int) -> str:
    """The stable name of the sample with this number on the wire."""
    return f"raft/{number:02}"


EMPTY_APPEND = messages.AppendEntries(term=1, previous_index=0, previous_term=0, entries=[], commit=0, stamp=0.0)
ENVELOPE_CASES = [
    *(
        WireCase(raft_name(number), envelope_of(value), encode_envelope, decode_envelope)
        for number, (value, _) in enumerate(RAFT_SAMPLES)
    ),
    WireCase("raft/02/empty", envelope_of(EMPTY_APPEND), encode_envelope, decode_envelope),
    WireCase("raft/no-frames", envelope_of(), encode_envelope, decode_envelope),
    WireCase(
        "raft/all",
        envelope_of(*(value for value, _ in RAFT_SAMPLES[:TYPES_OF_FIRST_RECORD])),
        encode_envelope,
        decode_envelope,
    ),
]


# Membership

NEWS = [
    MemberUpdate(
        host="10.0.0.1",
        port=8000,
        role="controller",
        zone="zone-a",
        node="controller-1",
        state=1,
        incarnation=LARGE_INDEX,
        suspected_by=2**32 - 7,
    ),
    MemberUpdate(host="10.0.0.9", port=8300, role="router", zone="", node="router-1", state=3, incarnation=0),
]

# A sample of each membership message; the place in this list is its number on the wire.
SWIM_SAMPLES = [
    swim_messages.Ping(sequence_number=LARGE_INDEX, updates=NEWS),
    swim_messages.Ack(sequence_number=70_000, updates=NEWS[1:]),
    swim_messages.Nack(sequence_number=12),
    swim_messages.PingRequest(sequence_number=13, host="10.0.0.5", port=8020, updates=NEWS[:1]),
    swim_messages.Sync(wants_reply=True, updates=NEWS),
]


def encode_membership(value: Any) -> bytes:
    """The bytes of a membership message in a datagram."""
    return codec.encode(swim_wire.pack(value))


def decode_membership(data: bytes) -> Any:
    """The membership message in a datagram."""
    return swim_wire.unpack(codec.decode(data))


def swim_name(number: int) -> str:
    """The stable name of the membership sample with this number on the wire."""
    return f"swim/{number:02}"


MEMBERSHIP_CASES = [
    *(
        WireCase(swim_name(number), value, encode_membership, decode_membership)
        for number, value in enumerate(SWIM_SAMPLES)
    ),
    WireCase("swim/00/empty", swim_messages.Ping(sequence_number=0, updates=[]), encode_membership, decode_membership),
]


# Members of a group

SETTLED = MembershipConfig.of([Member(LARGE_ID, ("10.0.0.1", 8000)), Member(2, ("10.0.0.2", 8010))])
JOINT = SETTLED.enter_joint([Member(3, ("10.0.0.3", 8020)), Member(2, ("10.0.0.2", 8010))])
MEMBERS_CASES = [
    WireCase(f"members/{name}", value, MembershipConfig.to_bytes, MembershipConfig.from_bytes)
    for name, value in (("empty", MembershipConfig()), ("settled", SETTLED), ("joint", JOINT))
]


# Records of the store

IDENTITY = Identity(
    replica_id=LARGE_ID, cluster_id=LARGE_CLUSTER, initial_members=(("10.0.0.1", 8000), ("10.0.0.2", 8010))
)
UNMARKED_IDENTITY = Identity(replica_id=5)
STORED_SNAPSHOT = Snapshot(index=300, term=6, configuration=JOINT, data=b"\x00\x92\x90\x90")
CHANGE_WITH_SNAPSHOT = PersistentUpdate(
    group=4, term=7, vote=LARGE_ID, snapshot=STORED_SNAPSHOT, first_index=301, entries=ENTRIES
)
CHANGE_WITHOUT_SNAPSHOT = PersistentUpdate(group=0, term=1, vote=0, snapshot=None, first_index=1, entries=ENTRIES[:1])
CHANGE_WITHOUT_ENTRIES = PersistentUpdate(group=1, term=2, vote=5, snapshot=None, first_index=1, entries=[])


def decode_identity(data: bytes) -> Identity | None:
    """The identity that a record of the store leads to."""
    return persistent_records.replay([data])[0]


def decode_change(data: bytes) -> PersistentUpdate:
    """The change that leads from an empty group to the state that a record of the store leads to."""
    ((group, state),) = persistent_records.replay([data])[1].items()
    log = state.log
    snapshot = log.snapshot if log.snapshot.index else None
    entries = [log.entry(index) for index in range(log.first_index, log.last_index + 1)]
    return PersistentUpdate(group, state.term, state.vote, snapshot, log.first_index, entries)


def encode_image(image: tuple[Identity, list[PersistentUpdate]]) -> bytes:
    """The bytes of an image of the store."""
    return persistent_records.pack_checkpoint(*image)


def decode_image(data: bytes) -> tuple[Identity, list[PersistentUpdate]]:
    """The identity and the changes in an image of the store."""
    identity, *changes = persistent_records.unpack_checkpoint(data)
    return decode_identity(identity), [decode_change(change) for change in changes]


STORE_CASES = [
    WireCase("store/identity", IDENTITY, persistent_records.pack_record, decode_identity, ((),)),
    WireCase("store/identity/unmarked", UNMARKED_IDENTITY, persistent_records.pack_record, decode_identity),
    WireCase("store/change/snapshot", CHANGE_WITH_SNAPSHOT, persistent_records.pack_record, decode_change),
    WireCase("store/change/entries", CHANGE_WITHOUT_SNAPSHOT, persistent_records.pack_record, decode_change),
    WireCase("store/change/vote", CHANGE_WITHOUT_ENTRIES, persistent_records.pack_record, decode_change),
    WireCase(
        "store/image",
        (IDENTITY, [CHANGE_WITH_SNAPSHOT, CHANGE_WITHOUT_SNAPSHOT, CHANGE_WITHOUT_ENTRIES]),
        encode_image,
        decode_image,
    ),
]


# Bodies of the feed, and packed values

FULL_CHANGE = ConfigurationChange(
    version=LARGE_INDEX,
    routes=SectionChange(upserted=(ROUTE, SPLIT_ROUTE), deleted=("old-route",)),
    services=SectionChange(upserted=(CHAT_SERVICE,)),
    tenants=SectionChange(deleted=("acme", "globex")),
    others={"limits": {"streams": 16}, "unknown": 0.5},
)
LARGE_CHANGE = ConfigurationChange(
    version=9, services=SectionChange(upserted=tuple({"name": f"service-{number:03}"} for number in range(80)))
)
FULL_INSTANCES_CHANGE = InstancesChange(upserted=(FULL_INSTANCE, SMALL_INSTANCE), removed=("chat-2", "chat-3"))
LARGE_INSTANCES_CHANGE = InstancesChange(
    upserted=tuple(InstanceRecord(f"chat-{n}", "chat", f"10.1.0.{n}:9000", "ready", n) for n in range(40))
)
PLAIN_VALUE = {"b": [1, -1, 2**63, 0.1, None, True], "a": {"z": b"\x00", "y": "ü"}, "c": []}
LARGE_VALUE = {"words": [f"word {number}" for number in range(400)], "sum": 2.5}


def _change_case(name: str, change: ConfigurationChange) -> WireCase:
    pack, unpack = feed_messages.pack_configuration_change, feed_messages.unpack_configuration_change
    return WireCase(f"feed-body/configuration/{name}", change, pack, unpack)


def _instances_case(name: str, change: InstancesChange) -> WireCase:
    pack, unpack = feed_messages.pack_instances_change, feed_messages.unpack_instances_change
    return WireCase(f"feed-body/instances/{name}", change, pack, unpack)


PLAIN_PACKED_CASES = [
    _change_case("full", FULL_CHANGE),
    _change_case("empty", ConfigurationChange(version=0)),
    _instances_case("full", FULL_INSTANCES_CHANGE),
    _instances_case("empty", InstancesChange()),
    WireCase("compact/plain", PLAIN_VALUE, compact.pack, compact.unpack),
]

# Their bytes went through zlib, whose output may differ from one build of the library to another.
COMPRESSED_CASES = [
    _change_case("large", LARGE_CHANGE),
    _instances_case("large", LARGE_INSTANCES_CHANGE),
    WireCase("compact/large", LARGE_VALUE, compact.pack, compact.unpack),
]


# Snapshots of the state machines


def configuration_machine() -> ConfigurationStateMachine:
    """The state after a whole order and a patch on top of it."""
    machine = ConfigurationStateMachine()
    machine.apply(1, codec.encode(whole_order()))
    machine.apply(2, codec.encode(patch_order()))
    return machine


def instance_machine() -> InstanceStateMachine:
    """A state with instances that are registered, expired and gone, and with homes of prefixes."""
    machine = InstanceStateMachine()
    commands = [
        RegisterInstance(record_fields(FULL_INSTANCE)),
        RegisterInstance(record_fields(SMALL_INSTANCE)),
        RegisterInstance(record_fields(OTHER_INSTANCE)),
        RegisterInstance(record_fields(dataclasses.replace(OTHER_INSTANCE, id="chat-3", address="10.1.0.10:9000"))),
        ExpireInstances({"chat-2": 4}),
        RemoveInstance("chat-3"),
        AssignPrefixes("chat", [("p1", "chat-1", 512.5), ("p2", "chat-1", 64.0)]),
        AssignPrefixes("code", [("p1", "code-1", 1.0)]),
    ]
    for index, command in enumerate(commands, 1):
        machine.apply(index, codec.encode(command))
    return machine


def prefix_homes() -> PrefixPlacements:
    """The homes of the prefixes of two services, one of them without any."""
    placements = PrefixPlacements()
    placements.assign(AssignPrefixes("chat", [("p1", "chat-1", 512.5), ("p2", "chat-2", 64.0), ("p1", "chat-2", 1.5)]))
    placements.assign(AssignPrefixes("code", []))
    return placements


def pack_homes(placements: PrefixPlacements) -> bytes:
    """The homes as they stand in a snapshot."""
    return compact.pack(placements.fields())


# Files of the store

STORE_GENERATION = LARGE_INDEX
STORE_IMAGE = b"an image"
STORE_PAYLOADS = [b"first record", b"", b"\x00\xff"]


def store_slot() -> bytes:
    """A slot with an image."""
    return records.encode_slot(STORE_GENERATION, STORE_IMAGE)


def store_log() -> bytes:
    """A log with records whose checksums are chained."""
    data, checksum = records.log_header(STORE_GENERATION)
    for payload in STORE_PAYLOADS:
        record, checksum = records.encode_record(payload, checksum)
        data += record
    return data


PLAIN_CASES = [
    *MESSAGE_CASES,
    *ENVELOPE_CASES,
    *MEMBERSHIP_CASES,
    *MEMBERS_CASES,
    *STORE_CASES,
    *PLAIN_PACKED_CASES,
]


def bytes_of_samples() -> dict[str, bytes]:
    """The bytes that this version of the program makes of every sample, by name."""
    cases = {case.name: case.encode(case.value) for case in (*PLAIN_CASES, *COMPRESSED_CASES)}
    return {
        **cases,
        "snapshot/configuration": configuration_machine().snapshot(),
        "snapshot/instances": instance_machine().snapshot(),
        "snapshot/homes": pack_homes(prefix_homes()),
        "file/slot": store_slot(),
        "file/log": store_log(),
    }
