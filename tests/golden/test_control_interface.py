"""The controllers' control interface and the router's readiness interface, as they stand on the wire."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest

from ochrespan.control_plane.config import state_machine as orders
from ochrespan.control_plane.replication.groups import cluster_name
from ochrespan.control_plane.shards import ALL_SHARDS
from ochrespan.data_plane.router_node import DrainTimes, MachineLimits, RouterNode
from ochrespan.data_plane.scheduler import Scheduler
from tests.fleet_standins import unused_address
from tests.golden.exchanges import Transcript, WorldTranscript
from tests.support.control_plane_world import World, configuration, instance, route, service, tenant

CONFIG, HISTORY = "/api/config", "/api/config/history"
INSTANCE, OTHER_INSTANCE = "/api/instances/i-1", "/api/instances/i-2"
STATUS, READY, LEADERSHIP = "/api/status", "/api/readyz", "/api/leadership"
METRICS = "/api/metrics"
READINESS = "/api/readiness"
TOO_LONG = 8 * 1024 * 1024 + 1
LONG_WITHOUT_MAJORITY_S = 5.0
SHORT_WITHOUT_MAJORITY_S = 0.6  # too long for a heartbeat to be acknowledged, too short to give up a call
OWN_CLUSTER, OTHER_CLUSTER = 0x1F, 0x2F


@pytest.fixture
def world() -> Iterator[World]:
    world = World(members=3)
    yield world
    world.close()


@pytest.fixture
def transcript(world: World) -> WorldTranscript:
    return WorldTranscript(world)


def wait_until(is_true: Callable[[], bool]) -> None:
    with gevent.Timeout(10):
        while not is_true():
            gevent.sleep(0.02)


def lose_leaders(world: World, quorum_age_s: float) -> None:
    """No shard has a leader, and no controller has heard of a majority for so long."""
    for shard in ALL_SHARDS:
        world.log.leaders[shard] = None
        for controller in world.controllers:
            controller.groups.quorum_ages[shard] = quorum_age_s


# Configuration


def full_configuration(generation: int) -> dict:
    """A configuration with every known field, and with some that are not known."""
    everything = route(
        "r2", target_latency_ms=250, public=True, session_affinity=True, resumable=True, gap_aim_ms=40, note="näh"
    )
    split = route("r3", traffic_split=[{"backend": "judges", "weight": 3}, {"backend": "ledger", "weight": 1}])
    split["backend"] = None
    return configuration(
        generation,
        route("r1"),
        everything,
        split,
        services=[service(), service("ledger", protocol="h2", tls=False, runtime={"kv_tokens": 4096})],
        tenants=[tenant("t", "k1", "k2", priority=2, unit="token_metering", plain_tokens=5, rate_per_s=3.5, burst=9)],
        limits={"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4.5},
        unknown={"kept": [True, None]},
    )


def test_the_configuration_before_the_first(transcript, snapshot):
    transcript.ask(1, "GET", CONFIG)
    transcript.ask(1, "GET", HISTORY)
    assert str(transcript) == snapshot


def test_a_whole_configuration_is_taken_and_read_back(transcript, snapshot):
    transcript.ask(1, "PUT", CONFIG, full_configuration(7), If_Match="0")
    transcript.ask(2, "GET", CONFIG)
    assert str(transcript) == snapshot


def test_a_patch_is_taken_and_the_history_tells_of_it(transcript, snapshot):
    patch = {
        "generation": 9,
        "upsert": {"routes": [route("r1", timeout_ms=1)], "tenants": [tenant("u", "k3")], "limits": {"note": 5}},
        "delete": {"routes": ["r3", "never"], "tenants": ["t"], "limits": ["max_body_bytes"]},
    }
    transcript.ask(0, "PUT", CONFIG, full_configuration(7), If_Match='"0"')
    transcript.ask(0, "PATCH", CONFIG, patch, If_Match='W/"7"')
    transcript.ask(1, "PATCH", CONFIG, patch, If_Match="7")
    transcript.ask(2, "GET", CONFIG)
    transcript.ask(2, "GET", HISTORY)
    assert str(transcript) == snapshot


def test_orders_that_conflict_with_the_version_in_force(transcript, snapshot):
    transcript.ask(1, "PUT", CONFIG, configuration(5), If_Match="0")
    transcript.ask(1, "PUT", CONFIG, configuration(6), If_Match="4")
    transcript.ask(1, "PATCH", CONFIG, {"generation": 6}, If_Match="4")
    transcript.ask(1, "PUT", CONFIG, configuration(5, route("other")), If_Match="5")
    assert str(transcript) == snapshot


def test_an_order_that_is_sent_again(transcript, snapshot):
    for number in range(3):
        transcript.ask(number, "PUT", CONFIG, configuration(5), If_Match="0")
    assert str(transcript) == snapshot


def test_an_order_too_old_to_be_remembered(transcript, snapshot, monkeypatch):
    monkeypatch.setattr(orders, "MAX_REMEMBERED_COMMANDS", 1)
    for version in range(3):
        transcript.ask(0, "PUT", CONFIG, configuration(version + 1), If_Match=str(version))
    transcript.ask(0, "PUT", CONFIG, configuration(1), If_Match="0")
    assert str(transcript) == snapshot


def test_an_order_for_another_fleet(world, transcript, snapshot):
    for controller in world.controllers:
        controller.groups.cluster_number = OWN_CLUSTER
    for cluster in (OTHER_CLUSTER, OWN_CLUSTER):
        transcript.ask(0, "PUT", CONFIG, configuration(5), If_Match="0", X_Fleet_Cluster=cluster_name(cluster))
    transcript.ask(0, "PATCH", CONFIG, {"generation": 9}, If_Match="5", X_Fleet_Cluster=cluster_name(OTHER_CLUSTER))
    assert str(transcript) == snapshot


BAD_CONFIGURATION = {
    "generation": -1,
    "routes": [{"name": "", "hostname": 7, "path_prefix": "a", "priority": True}, "no map"],
    "limits": {"max_header_bytes": 0},
    "tenants": [{"name": "t", "api_keys": ["with space"]}],
}


def test_every_finding_of_a_wrong_configuration_is_told(transcript, snapshot):
    transcript.ask(1, "PUT", CONFIG, BAD_CONFIGURATION, If_Match="0")
    transcript.ask(1, "PATCH", CONFIG, {"upsert": {"routes": "no list"}, "delete": {"routes": [7]}}, If_Match="0")
    assert str(transcript) == snapshot


def test_findings_that_need_the_configuration_in_force(transcript, snapshot):
    transcript.ask(1, "PUT", CONFIG, configuration(5, tenants=[tenant("t", "k1")]), If_Match="0")
    patch = {
        "generation": 4,
        "upsert": {
            "routes": [route("r2", "nobody"), route("r3", path_prefix="/r1/", hostname="A.Example")],
            "tenants": [tenant("u", "k2", "k1")],
        },
    }
    transcript.ask(1, "PATCH", CONFIG, patch, If_Match="5")
    transcript.ask(1, "PATCH", CONFIG, {"generation": 6, "delete": {"services": ["judges"]}}, If_Match="5")
    assert str(transcript) == snapshot


@pytest.mark.parametrize(
    ("body", "headers"),
    [
        pytest.param(b"{}", {}, id="no_version"),
        pytest.param(b"{}", {"If_Match": "x"}, id="version_is_no_number"),
        pytest.param(b"", {"If_Match": "0"}, id="empty"),
        pytest.param(b"{}", {"If_Match": "0"}, id="empty_map"),
        pytest.param(b"[]", {"If_Match": "0"}, id="no_map"),
        pytest.param(b'{"generation": 1, "routes": [', {"If_Match": "0"}, id="half_a_document"),
        pytest.param(b"[" * 100_000, {"If_Match": "0"}, id="too_deep"),
        pytest.param(b'{"generation":NaN,"routes":[],"services":[]}', {"If_Match": "0"}, id="not_a_number"),
        pytest.param(b'{"generation":1,"routes":[],"services":[],"x":"\\ud800"}', {"If_Match": "0"}, id="no_unicode"),
        pytest.param(b'{"generation":1,"routes":[],"services":[],"x":%d}' % 2**80, {"If_Match": "0"}, id="80_bits"),
        pytest.param(b"\xff\xfe", {"If_Match": "0"}, id="no_text"),
        pytest.param(b"", {"If_Match": "0", "Content_Length": str(TOO_LONG)}, id="too_long_as_announced"),
        pytest.param(b" " * TOO_LONG, {"If_Match": "0", "Content_Length": str(TOO_LONG)}, id="too_long"),
        pytest.param(b"{}", {"If_Match": "0", "Content_Length": "9"}, id="shorter_than_announced"),
    ],
)
def test_a_body_or_version_that_cannot_be_read(transcript, snapshot, body, headers):
    transcript.ask(1, "PUT", CONFIG, body, **headers)
    assert str(transcript) == snapshot


# Instances


def test_an_instance_from_its_first_report_to_its_end(transcript, snapshot):
    everything = instance(
        1, phase="prefill", cold_remaining_ms=12.5, models=[{"name": "m", "generation": 2}], unknown="dropped"
    )
    transcript.ask(0, "PUT", INSTANCE, everything)
    transcript.ask(1, "PUT", INSTANCE, everything)
    transcript.ask(1, "PUT", INSTANCE, instance(3, capacity=16))
    transcript.ask(2, "PUT", INSTANCE, instance(2, capacity=32))
    transcript.ask(2, "PUT", INSTANCE, instance(4, "draining"))
    transcript.ask(0, "PUT", INSTANCE, instance(5, "ready"))
    transcript.ask(0, "DELETE", INSTANCE)
    transcript.ask(1, "DELETE", INSTANCE)
    transcript.ask(2, "PUT", INSTANCE, instance(6))
    assert str(transcript) == snapshot


def test_reports_change_the_instances_that_the_status_shows(world, transcript, snapshot):
    steps = {
        "first report": ("PUT", INSTANCE, instance(2, models=[{"name": "m"}])),
        "late report": ("PUT", INSTANCE, instance(1, capacity=32)),
        "repeated report": ("PUT", INSTANCE, instance(2, models=[{"name": "m"}])),
        "changed report": ("PUT", INSTANCE, instance(3, capacity=16)),
        "draining": ("PUT", INSTANCE, instance(4, "draining")),
        "ready again": ("PUT", INSTANCE, instance(5)),
        "new incarnation at the address": ("PUT", OTHER_INSTANCE, instance(1)),
        "report of the one that it replaced": ("PUT", INSTANCE, instance(6)),
        "another service": ("PUT", OTHER_INSTANCE, instance(2, backend="ledger", address="10.0.0.8:1")),
        "end": ("DELETE", OTHER_INSTANCE, None),
        "report after the end": ("PUT", OTHER_INSTANCE, instance(7)),
        "end of an unknown one": ("DELETE", "/api/instances/never", None),
        "least report": ("PUT", "/api/instances/least", {"backend": "x", "address": "10.0.0.7:1", "state": "ready"}),
    }
    seen = {}
    for step, (method, path, document) in steps.items():
        status, _ = transcript.ask(1, method, path, document)
        seen[step] = {"status": status, "instances": world.controllers[2].call("GET", STATUS)[1]["instances"]}
    assert seen == snapshot


@pytest.mark.parametrize(
    ("path", "document"),
    [
        pytest.param(INSTANCE, {}, id="nothing"),
        pytest.param(
            INSTANCE, instance(-1, "ended", address="here", capacity="8", models=[{}], phase=1), id="wrong_fields"
        ),
        pytest.param("/api/instances/", instance(1), id="no_id"),
        pytest.param("/api/instances/a/b", instance(1), id="slash_in_id"),
        pytest.param("/api/instances/" + "x" * 201, instance(1), id="long_id"),
        pytest.param("/api/instances/%07", instance(1), id="bell_in_id"),
    ],
)
def test_a_wrong_report_of_an_instance(transcript, snapshot, path, document):
    transcript.ask(1, "PUT", path, document)
    assert str(transcript) == snapshot


def test_the_end_of_an_instance_without_an_id(transcript, snapshot):
    transcript.ask(1, "DELETE", "/api/instances/")
    assert str(transcript) == snapshot


# Status, hand-over, readiness, metrics, and what does not exist


def test_the_status(world, transcript, snapshot):
    for controller in world.controllers:
        controller.groups.cluster_number = OWN_CLUSTER
    first = world.controllers[0]
    first.put_config(configuration(5), 0)
    first.put_instance("i-1", instance(1))
    first.node.members_changed(["edge-1"], [])

    def is_settled() -> bool:
        status = first.call("GET", STATUS)[1]
        return len(status["controllers"]) == 3 and status["routers"] == ["edge-1"]

    wait_until(is_settled)
    first.groups.quorum_ages[2] = float("inf")
    first.groups.quorum_ages[3] = 0.12345
    status = first.call("GET", STATUS)[1]
    names = {f"{host}:{port}": f"<address of core-{at}>" for at, (host, port) in enumerate(world.addresses())}
    own, *others = status["controllers"]
    status["controllers"] = [own, *sorted(others, key=lambda controller: controller["zone"])]
    for controller in status["controllers"]:
        controller["address"] = names[controller["address"]]
    for shard in status["shards"]:
        shard["leader"] = names[shard["leader"]]
    assert status == snapshot
    assert [*status, *status["shards"][0]] == snapshot(name="fields in their order")


def test_the_status_of_a_single_controller_without_leaders(snapshot):
    world = World(members=1)
    try:
        world.log.leaders = dict.fromkeys(world.log.leaders)
        transcript = WorldTranscript(world)
        transcript.ask(0, "GET", STATUS)
        assert str(transcript) == snapshot
    finally:
        world.close()


def test_a_hand_over_of_leadership(world, transcript, snapshot):
    for document in ({"decline_for_s": 30}, {"decline_for_s": 0}, {"decline_for_s": -1}, {}):
        transcript.ask(0, "PUT", LEADERSHIP, document)
    transcript.ask(0, "PUT", LEADERSHIP, {"decline_for_s": 30.25})
    assert str(transcript) == snapshot
    assert world.controllers[0].call("GET", STATUS)[1]["declines_leadership_for_s"] == snapshot(name="declines for")


def test_readiness_with_and_without_a_majority(world, transcript, snapshot):
    transcript.ask(0, "GET", READY)
    world.controllers[0].groups.quorum_ages[3] = LONG_WITHOUT_MAJORITY_S
    transcript.ask(0, "GET", READY)
    assert str(transcript) == snapshot


def test_the_head_of_the_metrics(world, snapshot):
    transcript = Transcript()
    status, body = transcript.call(("127.0.0.1", world.controllers[0].http.server_port), "GET", METRICS)
    head = [line for line in str(transcript).split("\n\n")[0].splitlines() if not line.startswith("Content-Length")]
    assert status == 200 and body
    assert head == snapshot


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "/"),
        ("GET", "/nowhere"),
        ("GET", "/api/config/"),
        ("GET", "/api/instances"),
        ("POST", CONFIG),
        ("DELETE", CONFIG),
        ("HEAD", CONFIG),
        ("OPTIONS", CONFIG),
        ("PUT", HISTORY),
        ("GET", INSTANCE),
        ("POST", INSTANCE),
        ("GET", "/api/instances/"),
        ("GET", LEADERSHIP),
        ("PUT", READY),
        ("POST", STATUS),
        ("PUT", METRICS),
    ],
)
def test_a_path_or_method_that_does_not_exist(transcript, snapshot, method, path):
    transcript.ask(0, method, path)
    assert str(transcript) == snapshot


def test_a_query_changes_nothing(transcript, snapshot):
    transcript.ask(0, "GET", CONFIG + "?pretty=1")
    assert str(transcript) == snapshot


# Without a leader or a majority

CALLS_OF_THE_LEADER = {
    "configuration": ("GET", CONFIG, None, {}),
    "history": ("GET", HISTORY, None, {}),
    "order": ("PUT", CONFIG, configuration(9), {"If_Match": "5"}),
    "patch": ("PATCH", CONFIG, {"generation": 9}, {"If_Match": "5"}),
    "report": ("PUT", INSTANCE, instance(2, "draining"), {}),
    "end": ("DELETE", INSTANCE, None, {}),
}


@pytest.mark.parametrize("quorum_age_s", [0.0, LONG_WITHOUT_MAJORITY_S], ids=["no_leader", "no_majority"])
def test_calls_of_the_leader_where_there_is_none(world, snapshot, quorum_age_s):
    lose_leaders(world, quorum_age_s)
    transcripts = {name: WorldTranscript(world) for name in CALLS_OF_THE_LEADER}
    calls = [
        gevent.spawn(transcripts[name].ask, 1, method, path, document, **headers)
        for name, (method, path, document, headers) in CALLS_OF_THE_LEADER.items()
    ]
    gevent.joinall(calls, raise_error=True)
    for name, transcript in transcripts.items():
        assert str(transcript) == snapshot(name=name)


def test_a_leader_whose_commands_are_lost(world, transcript, snapshot):
    for method, path, document, headers in CALLS_OF_THE_LEADER.values():
        world.controllers[0].groups.lose_commands = 1
        transcript.ask(0, method, path, document, **headers)
    assert str(transcript) == snapshot


def test_a_leader_that_may_have_a_successor_acknowledges_no_heartbeat(world, transcript, snapshot):
    transcript.ask(0, "PUT", INSTANCE, instance(1))
    for shard in ALL_SHARDS:
        world.controllers[0].groups.quorum_ages[shard] = SHORT_WITHOUT_MAJORITY_S
    transcript.ask(0, "PUT", INSTANCE, instance(2))
    assert str(transcript) == snapshot


# The router's address for the platform


def test_the_readiness_interface_of_a_router(snapshot):
    ready = unused_address()
    scheduler = Scheduler("hall-a", 7, retry_ratio=0.2, retry_slack=10.0, retry_window=10.0)
    node = RouterNode(("127.0.0.1", 0), ready, MachineLimits(), scheduler)
    node.start()
    try:
        transcript = Transcript()
        transcript.call(ready, "GET", READY)
        for document in ({"drained": True}, {"drained": False}, {"drained": 1}, {}, [], b"{", b" " * 1025):
            transcript.call(ready, "PUT", READINESS, document)
        for method, path in (("GET", READINESS), ("POST", READY), ("GET", "/nowhere"), ("PUT", METRICS)):
            transcript.call(ready, method, path)
        assert str(transcript) == snapshot
    finally:
        node.drain(DrainTimes.within(0.1))
