"""The exact bytes of all that goes to other processes and into logs, snapshots and the files of the store.

Processes of two versions run side by side while a fleet is upgraded, and a disk outlives the version that wrote it.
So bytes that any version has written keep their meaning, and the bytes on record are never written anew.
"""

from __future__ import annotations

import dataclasses
import json
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import ormsgpack
import pytest
from gevent import socket

from ochrespan.control_plane.config.commands import ConfigCommandKind
from ochrespan.control_plane.config.configuration import Configuration
from ochrespan.control_plane.config.state_machine import ConfigurationStateMachine
from ochrespan.control_plane.feed import messages as feed_messages
from ochrespan.control_plane.prefix_placement.messages import PrefixPlacement, PrefixPlacementRequest
from ochrespan.control_plane.registry.prefix_placements import PrefixPlacements
from ochrespan.control_plane.registry.records import InstanceState
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.shards import CONFIG_SHARD, shard_of
from ochrespan.membership.member_table import MemberState, member_number
from ochrespan.raft.cluster_messages import cluster_id_of
from ochrespan.raft.messages import EntryKind
from ochrespan.storage import records
from ochrespan.transport import codec, compact
from ochrespan.transport.rpc import RpcClient, RpcServer
from ochrespan.transport.tcp import Connection
from ochrespan.transport.udp import DatagramEndpoint

from . import wire_samples
from .wire_bytes import recorded_bytes
from .wire_samples import WireCase

RECORDED = recorded_bytes()
ROOT = Path(__file__).parents[2]
SOCKET_TIMEOUT_S = 5.0
LOOPBACK = ("127.0.0.1", 0)
FIELDS_BEFORE_FRAMES = 6  # the tag and the fields of an envelope
PLACE_OF_NEWS = 3  # in a membership datagram, after the tag
NUMBERS_OF_RAFT_MESSAGES = 14
SHARDS_OF_SERVICES = [3, 1, 2, 1]  # of chat, code, ü and no name
NUMBER_OF_ADDRESS = 3775622630
NUMBER_OF_CLUSTER = 5376962351222550468


def by_name(case: WireCase) -> str:
    """The name of a case, for reports."""
    return case.name


def each_cut(cases: list[WireCase]) -> list[Any]:
    """Every case with every number of last fields that an earlier version may lack."""
    return [
        pytest.param(case, count, id=f"{case.name}-{count}")
        for case in cases
        for count in range(1, len(case.defaults) + 1)
    ]


def unpack_raw(data: bytes) -> Any:
    """The plain msgpack value in some bytes."""
    return ormsgpack.unpackb(data, option=ormsgpack.OPT_NON_STR_KEYS)


def pack_raw(value: Any) -> bytes:
    """The msgpack bytes of a plain value."""
    return ormsgpack.packb(value, option=ormsgpack.OPT_NON_STR_KEYS)


# Registered messages


def test_the_registered_tags_and_the_fields_of_each_stay_as_they_are():
    command = [sys.executable, "-m", "tests.golden.registered_messages"]
    output = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True).stdout
    assert json.loads(output) == wire_samples.REGISTERED_FIELDS


def test_every_registered_tag_has_bytes_on_record():
    names = [case.name for case in wire_samples.MESSAGE_CASES]
    tags = {unpack_raw(RECORDED[name])[0] for name in names} | {"raft", "swim"}
    assert tags == set(wire_samples.REGISTERED_FIELDS)


def test_every_registered_default_is_tried_by_cutting_its_field_off():
    with_defaults = {
        tag: sum("=" in field for field in fields) for tag, fields in wire_samples.REGISTERED_FIELDS.items()
    }
    longest = dict.fromkeys(with_defaults, 0)
    for case in wire_samples.MESSAGE_CASES:
        tag = unpack_raw(RECORDED[case.name])[0]
        longest[tag] = max(longest[tag], len(case.defaults))
    assert longest == with_defaults


def test_the_samples_and_the_bytes_on_record_have_the_same_names():
    assert set(wire_samples.bytes_of_samples()) == set(RECORDED)


@pytest.mark.parametrize("case", wire_samples.PLAIN_CASES, ids=by_name)
def test_a_sample_becomes_the_bytes_on_record(case: WireCase):
    assert case.encode(case.value).hex() == RECORDED[case.name].hex()


@pytest.mark.parametrize("case", wire_samples.PLAIN_CASES, ids=by_name)
def test_the_bytes_on_record_become_the_sample(case: WireCase):
    assert case.decode(RECORDED[case.name]) == case.value


@pytest.mark.parametrize("case", wire_samples.COMPRESSED_CASES, ids=by_name)
def test_what_is_compressed_is_the_content_on_record(case: WireCase):
    encoded, recorded = case.encode(case.value), RECORDED[case.name]
    assert encoded[:1] == recorded[:1] == b"\x01"
    assert compact.decompress(encoded) == compact.decompress(recorded)
    assert case.decode(recorded) == case.value


@pytest.mark.parametrize(("case", "count"), each_cut(wire_samples.MESSAGE_CASES + wire_samples.STORE_CASES))
def test_fields_that_an_earlier_version_lacks_take_their_defaults(case: WireCase, count: int):
    cut = pack_raw(unpack_raw(RECORDED[case.name])[:-count])
    assert case.decode(cut) == case.with_defaults(count)


@pytest.mark.parametrize("case", wire_samples.MESSAGE_CASES, ids=by_name)
def test_fields_that_a_later_version_adds_are_passed_over(case: WireCase):
    longer = pack_raw([*unpack_raw(RECORDED[case.name]), "of a later version"])
    assert case.decode(longer) == case.value


# Raft messages


def test_the_numbers_of_the_raft_messages_stay_as_they_are():
    assert len(wire_samples.RAFT_SAMPLES) == NUMBERS_OF_RAFT_MESSAGES
    for number in range(NUMBERS_OF_RAFT_MESSAGES):
        (frame,) = unpack_raw(RECORDED[wire_samples.raft_name(number)])[FIELDS_BEFORE_FRAMES]
        assert frame[:2] == [wire_samples.RAFT_GROUP, number]


def recorded_frame(number: int, change: Any) -> bytes:
    """The bytes on record of a Raft message, with `change` applied to its frame."""
    *head, (frame,) = unpack_raw(RECORDED[wire_samples.raft_name(number)])
    return pack_raw([*head, [change(frame)]])


def raft_cuts() -> Iterator[Any]:
    """Every Raft message with every number of last fields that an earlier version may lack."""
    for number, (sample, defaults) in enumerate(wire_samples.RAFT_SAMPLES):
        for count in range(1, len(defaults) + 1):
            names = [field.name for field in dataclasses.fields(sample)][-count:]
            expected = dataclasses.replace(sample, **dict(zip(names, defaults[-count:], strict=True)))
            yield pytest.param(number, count, expected, id=f"{wire_samples.raft_name(number)}-{count}")


@pytest.mark.parametrize(("number", "count", "expected"), raft_cuts())
def test_fields_of_raft_messages_that_an_earlier_version_lacks_take_their_defaults(number, count, expected):
    data = recorded_frame(number, lambda frame: frame[:-count])
    assert wire_samples.decode_envelope(data) == wire_samples.envelope_of(expected)


@pytest.mark.parametrize("number", range(NUMBERS_OF_RAFT_MESSAGES))
def test_fields_of_raft_messages_that_a_later_version_adds_are_passed_over(number):
    data = recorded_frame(number, lambda frame: [*frame, "of a later version"])
    assert wire_samples.decode_envelope(data) == wire_samples.envelope_of(wire_samples.RAFT_SAMPLES[number][0])


# Membership


def test_the_numbers_of_the_membership_messages_stay_as_they_are():
    kinds = [unpack_raw(RECORDED[wire_samples.swim_name(number)])[1] for number in range(5)]
    assert kinds == [0, 1, 2, 3, 4]
    assert len(wire_samples.SWIM_SAMPLES) == len(kinds)


def test_news_without_an_accuser_and_with_further_fields_is_read():
    datagram = unpack_raw(RECORDED[wire_samples.swim_name(0)])
    first, second = datagram[PLACE_OF_NEWS]
    datagram[PLACE_OF_NEWS] = [first[:-1], [*second, "of a later version"]]
    sample = wire_samples.SWIM_SAMPLES[0]
    expected = dataclasses.replace(
        sample, updates=[dataclasses.replace(sample.updates[0], suspected_by=0), sample.updates[1]]
    )
    assert wire_samples.decode_membership(pack_raw(datagram)) == expected


# Records of instances within messages


def test_a_record_of_an_instance_is_read_without_its_optional_fields_and_with_unknown_ones():
    fields = wire_samples.SMALL_INSTANCE_REQUIRED | {"of a later version": 1}
    body = compact.pack([[fields], []])
    (record,) = feed_messages.unpack_instances_change(body).upserted
    assert record == wire_samples.SMALL_INSTANCE
    assert dataclasses.astuple(record)[4:] == (0, "", "", 0, 0.0, "", ())


# Snapshots


def assert_same_content(encoded: bytes, name: str) -> None:
    """Compares what is packed, since compressed bytes may differ from one zlib to another."""
    assert compact.decompress(encoded).hex() == compact.decompress(RECORDED[name]).hex()


def restored_configuration(kept: int) -> ConfigurationStateMachine:
    """The state that a snapshot on record leads to when only its first parts are there."""
    machine = ConfigurationStateMachine()
    machine.restore(compact.pack(compact.unpack(RECORDED["snapshot/configuration"])[:kept]))
    return machine


def test_the_snapshot_of_the_configuration_has_the_content_on_record():
    assert_same_content(wire_samples.configuration_machine().snapshot(), "snapshot/configuration")


def test_the_snapshot_of_the_configuration_on_record_leads_to_the_same_state():
    expected, machine = wire_samples.configuration_machine(), ConfigurationStateMachine()
    machine.restore(RECORDED["snapshot/configuration"])
    assert machine.current == expected.current
    assert machine.current != Configuration()
    assert_same_content(machine.snapshot(), "snapshot/configuration")


def test_orders_of_a_snapshot_on_record_are_known_again():
    machine = restored_configuration(kept=4)
    verdicts = [
        machine.apply(index, codec.encode(order))
        for index, order in enumerate((wire_samples.whole_order(), wire_samples.patch_order()))
    ]
    assert [(verdict.outcome.value, verdict.version) for verdict in verdicts] == [
        ("taken before", 7),
        ("taken before", 8),
    ]


@pytest.mark.parametrize(("kept", "count_of_changes"), [(2, 0), (3, 2)])
def test_snapshots_of_the_configuration_by_earlier_versions_are_read(kept, count_of_changes):
    document, taken, _, _ = compact.unpack(RECORDED["snapshot/configuration"])
    machine = restored_configuration(kept)
    history = machine.history.fields()
    assert len(history) == count_of_changes
    assert machine.current == wire_samples.configuration_machine().current
    assert compact.unpack(machine.snapshot()) == [document, taken, compact.unpack(compact.pack(history)), 0]


def test_the_empty_snapshot_of_the_configuration_leads_to_the_empty_state():
    machine = ConfigurationStateMachine()
    machine.restore(ConfigurationStateMachine().snapshot())
    assert machine.current == Configuration()
    assert compact.unpack(machine.snapshot()) == [{"generation": 0, "routes": [], "services": []}, [], [], 0]


def test_the_snapshot_of_instances_has_the_content_on_record():
    assert_same_content(wire_samples.instance_machine().snapshot(), "snapshot/instances")


def test_the_snapshot_of_instances_on_record_leads_to_the_same_state():
    expected, machine = wire_samples.instance_machine(), InstanceStateMachine()
    machine.restore(RECORDED["snapshot/instances"])
    assert machine.records == expected.records
    assert sorted(machine.records) == ["chat-1", "code-1"]
    assert (machine.is_removed("chat-3"), machine.is_removed("chat-2")) == (True, False)
    assert machine.placements.fields() == expected.placements.fields()
    assert_same_content(machine.snapshot(), "snapshot/instances")


def test_a_snapshot_of_instances_by_an_earlier_version_has_no_homes():
    machine = InstanceStateMachine()
    instances, departed, _ = compact.unpack(RECORDED["snapshot/instances"])
    machine.restore(compact.pack([instances, departed]))
    assert compact.unpack(machine.snapshot()) == [instances, departed, {}]


def test_the_homes_of_prefixes_have_the_content_on_record():
    assert_same_content(wire_samples.pack_homes(wire_samples.prefix_homes()), "snapshot/homes")


def test_the_homes_of_prefixes_on_record_lead_to_the_same_state():
    placements = PrefixPlacements(compact.unpack(RECORDED["snapshot/homes"]))
    assert placements.fields() == wire_samples.prefix_homes().fields()
    assert (placements.instance_of("chat", "p1"), placements.tokens("chat-2")) == ("chat-2", 65.5)


# Files of the store


def test_a_slot_of_the_store_has_the_bytes_on_record():
    assert wire_samples.store_slot() == RECORDED["file/slot"]
    expected = (wire_samples.STORE_GENERATION, wire_samples.STORE_IMAGE)
    assert records.decode_slot(RECORDED["file/slot"]) == expected


def test_a_log_of_the_store_has_the_bytes_on_record():
    assert wire_samples.store_log() == RECORDED["file/log"]
    content = records.decode_log(RECORDED["file/log"])
    assert content.generation == wire_samples.STORE_GENERATION
    assert content.records == wire_samples.STORE_PAYLOADS
    assert content.end == len(RECORDED["file/log"])


# Words and numbers that messages carry


def test_the_words_and_numbers_of_states_and_kinds_stay_as_they_are():
    assert [kind.value for kind in ConfigCommandKind] == ["whole", "patch"]
    assert [state.value for state in InstanceState] == ["ready", "draining"]
    assert [state.value for state in MemberState] == [0, 1, 2, 3]
    assert [kind.value for kind in EntryKind] == [0, 1]


def test_numbers_that_are_derived_from_names_stay_as_they_are():
    assert CONFIG_SHARD == 0
    assert [shard_of(service) for service in ("chat", "code", "ü", "")] == SHARDS_OF_SERVICES
    assert member_number(("10.0.0.1", 8000)) == NUMBER_OF_ADDRESS
    assert cluster_id_of(wire_samples.SETTLED.voters) == NUMBER_OF_CLUSTER


# Frames and datagrams


FRAME_START = b"\x00\x00\x00"  # in front of the length's last byte, for messages of under 256 bytes
HOME_REQUEST = PrefixPlacementRequest(service="chat", prefix="p1", tokens=512.5, unusable="chat-1")
HOME = PrefixPlacement(instance="chat-2", is_new=True)


def frame(message: bytes) -> bytes:
    """A short message behind its length."""
    return FRAME_START + bytes([len(message)]) + message


def recorded_call(number: int) -> bytes:
    """The frame of a call that asks for a home."""
    return frame(pack_raw(["call", number, RECORDED["home.ask"]]))


def receive_exactly(sock: socket.socket, size: int) -> bytes:
    """The next bytes of a socket; fewer where it ends or its time runs out."""
    received = b""
    while len(received) < size and (data := sock.recv(size - len(received))):
        received += data
    return received


def listen() -> socket.socket:
    """A plain socket that accepts connections and lets other greenlets run meanwhile."""
    listener = socket.socket()
    listener.bind(LOOPBACK)
    listener.listen()
    listener.settimeout(SOCKET_TIMEOUT_S)
    return listener


@contextmanager
def connected_pair() -> Iterator[tuple[Connection, socket.socket]]:
    """A framed connection and the plain socket at its other end."""
    listener = listen()
    plain = socket.create_connection(listener.getsockname(), timeout=SOCKET_TIMEOUT_S)
    accepted, peer = listener.accept()
    connection = Connection(accepted, peer)
    try:
        yield connection, plain
    finally:
        connection.close()
        plain.close()
        listener.close()


@pytest.mark.parametrize("name", ["raft/all", "home.ask"])
def test_a_frame_is_a_length_of_four_bytes_and_the_message(name):
    recorded = RECORDED[name]
    expected = len(recorded).to_bytes(4, "big") + recorded
    with connected_pair() as (connection, plain):
        connection.send_encoded(recorded)
        assert receive_exactly(plain, len(expected)) == expected
        plain.sendall(expected)
        assert codec.encode(connection.receive(SOCKET_TIMEOUT_S)) == recorded


@contextmanager
def server_of_homes(handler: Any) -> Iterator[socket.socket]:
    """A plain socket that is connected to a server of calls for homes."""
    server = RpcServer(LOOPBACK)
    server.on_request(PrefixPlacementRequest, handler)
    server.start()
    plain = socket.create_connection(server.address, timeout=SOCKET_TIMEOUT_S)
    try:
        yield plain
    finally:
        plain.close()
        server.stop()


def test_a_call_is_answered_with_its_number_and_the_encoded_reply():
    expected = frame(pack_raw(["reply", 77, RECORDED["home.is"], ""]))
    asked = []

    def answer(request: PrefixPlacementRequest) -> PrefixPlacement:
        asked.append(request)
        return HOME

    with server_of_homes(answer) as plain:
        plain.sendall(recorded_call(77))
        assert receive_exactly(plain, len(expected)) == expected
    assert asked == [HOME_REQUEST]


def test_a_call_that_fails_is_answered_with_the_error_and_no_body():
    expected = frame(pack_raw(["reply", 78, b"", "ValueError('no home')"]))

    def fail(request: PrefixPlacementRequest) -> PrefixPlacement:
        raise ValueError("no home")

    with server_of_homes(fail) as plain:
        plain.sendall(recorded_call(78))
        assert receive_exactly(plain, len(expected)) == expected


def test_a_caller_numbers_its_calls_from_one():
    listener = listen()
    caller = RpcClient(listener.getsockname())
    calls = [gevent.spawn(caller.call, HOME_REQUEST, SOCKET_TIMEOUT_S)]
    plain, _ = listener.accept()
    plain.settimeout(SOCKET_TIMEOUT_S)
    for number in (1, 2):
        expected = recorded_call(number)
        assert receive_exactly(plain, len(expected)) == expected
        plain.sendall(frame(pack_raw(["reply", number, RECORDED["home.is"]])))
        assert calls[-1].get(timeout=SOCKET_TIMEOUT_S) == HOME
        calls.append(gevent.spawn(caller.call, HOME_REQUEST, SOCKET_TIMEOUT_S))
    gevent.killall(calls)
    caller.close()
    plain.close()
    listener.close()


def test_a_datagram_is_the_message_without_a_frame():
    received = []
    endpoint = DatagramEndpoint(LOOPBACK, lambda message, peer: received.append(message))
    endpoint.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as plain:
        plain.bind(LOOPBACK)
        plain.settimeout(SOCKET_TIMEOUT_S)
        message = codec.decode(RECORDED[wire_samples.swim_name(0)])
        endpoint.send(message, plain.getsockname())
        assert plain.recv(2048) == RECORDED[wire_samples.swim_name(0)]
        plain.sendto(RECORDED[wire_samples.swim_name(0)], endpoint.address)
        with gevent.Timeout(SOCKET_TIMEOUT_S):
            while not received:
                gevent.sleep(0.01)
    endpoint.stop()
    assert received == [message]
