"""The control interface over HTTP, with controllers that share an in-memory log."""

from time import monotonic

import gevent
import pytest
from geventhttpclient import HTTPClient

from ochrespan.control_plane.api.forwarding import NO_QUORUM_S
from ochrespan.control_plane.replication.groups import CALL_TIMEOUT_S, cluster_name
from ochrespan.control_plane.shards import ALL_SHARDS
from ochrespan.raft.state import Timing
from tests.support.control_plane_world import World, configuration, instance, route, service, tenant


@pytest.fixture
def world():
    world = World(members=3)
    yield world
    world.close()


def test_a_configuration_is_committed_and_read_back_at_any_controller(world):
    first, second, third = world.controllers
    document = configuration(7, tenants=[tenant("t", "k1", rate_per_s=3)], extra={"kept": True})
    assert second.put_config(document, 0) == (200, {"generation": 7})
    for controller in (first, second, third):
        assert controller.call("GET", "/api/config") == (200, document)


def test_a_patch_changes_items_by_name_and_keeps_the_rest(world):
    controller = world.controllers[1]
    controller.put_config(configuration(5, route("r1"), route("r2")), 0)
    patch = {
        "generation": 9,
        "upsert": {
            "routes": [route("r3"), route("r1", timeout_ms=1)],
            "services": [service("ledger")],
            "limits": {"idle_timeout_ms": 5},
        },
        "delete": {"routes": ["r2", "never"]},
    }
    assert controller.patch_config(patch, 5)[0] == 200
    status, document = controller.call("GET", "/api/config")
    assert status == 200
    assert document["generation"] == 9
    assert [(each["name"], each["timeout_ms"]) for each in document["routes"]] == [("r1", 1), ("r3", 8000)]
    assert [each["name"] for each in document["services"]] == ["judges", "ledger"]
    assert document["limits"] == {"max_body_bytes": 4194304, "idle_timeout_ms": 5}


def test_a_command_on_a_version_that_does_not_exist_yet_gets_no_outcome_until_it_does(world):
    controller = world.controllers[1]
    early = configuration(6)
    assert controller.put_config(early, 5)[0] == 503
    assert controller.put_config(configuration(5), 0)[0] == 200
    assert controller.put_config(early, 5)[0] == 200


def test_a_controller_without_a_cluster_responds_503_to_a_command_for_a_named_cluster(world):
    """It may join that cluster or another one, so it can neither accept nor reject the command for good."""
    call = world.controllers[1].call
    for path, body in [
        ("/api/config", configuration(5)),
        ("/api/config/backup", {"configuration": configuration(5), "accepted_commands": [], "last_evicted_version": 5}),
    ]:
        assert call("PUT", path, body, If_Match="0", X_Fleet_Cluster=cluster_name(0x2F))[0] == 503
    assert call("GET", "/api/config")[1]["generation"] == 0
    assert call("PUT", "/api/config", configuration(5), If_Match="0")[0] == 200


def test_a_backup_for_another_cluster_is_rejected(world):
    for controller in world.controllers:
        controller.groups.cluster_number = 0x1F
    backup = {"configuration": configuration(5), "accepted_commands": [], "last_evicted_version": 5}
    call = world.controllers[0].call
    assert call("PUT", "/api/config/backup", backup, X_Fleet_Cluster=cluster_name(0x2F))[0] == 412
    assert call("PUT", "/api/config/backup", backup, X_Fleet_Cluster=cluster_name(0x1F))[0] == 200
    assert call("GET", "/api/config/backup")[1]["configuration"] == configuration(5)
    assert call("PUT", "/api/config/backup", {"configuration": configuration(5)})[0] == 400


def test_a_command_on_another_version_gets_412_and_an_older_generation_400(world):
    controller = world.controllers[2]
    controller.put_config(configuration(5), 0)
    assert controller.put_config(configuration(6), 4)[0] == 412
    assert controller.put_config(configuration(5, route("other")), 5)[0] == 400
    assert controller.put_config(configuration(4), 5)[0] == 400
    assert controller.call("GET", "/api/config")[1]["generation"] == 5


def test_without_a_leader_the_outcome_is_unknown(world, monkeypatch):
    for module in ("api.forwarding", "config.owner", "registry.owner"):
        monkeypatch.setattr(f"ochrespan.control_plane.{module}.CALL_TIMEOUT_S", 0.01)
    world.log.leaders = dict.fromkeys(world.log.leaders)
    controller = world.controllers[0]
    assert controller.put_config(configuration(5), 0)[0] == 503
    assert controller.put_instance("i-1", instance(1))[0] == 503
    assert controller.call("GET", "/api/config")[0] == 503


def test_instances_are_registered_drained_and_removed_through_any_controller(world):
    first, second, third = world.controllers
    assert first.put_instance("i-1", instance(1)) == (200, {})
    assert second.put_instance("i-1", instance(2, "draining")) == (200, {})
    assert [each["state"] for each in third.node.status()["instances"]] == ["draining"]
    assert third.call("DELETE", "/api/instances/i-1") == (200, {})
    assert first.node.status()["instances"] == []
    assert second.put_instance("i-1", instance(3)) == (200, {})
    assert first.node.status()["instances"] == []


def test_a_heartbeat_that_changes_nothing_is_not_committed(world):
    world.controllers[0].put_instance("i-1", instance(1))
    before = sum(map(len, world.log.commands.values()))
    for sequence in range(2, 6):
        assert world.controllers[sequence % 3].put_instance("i-1", instance(sequence))[0] == 200
    assert sum(map(len, world.log.commands.values())) == before


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status"),
    [
        ("GET", "/nowhere", b"", {}, 404),
        ("POST", "/api/config", b"", {}, 405),
        ("PUT", "/api/config", b"{}", {}, 400),
        ("PUT", "/api/config", b"{}", {"If_Match": "x"}, 400),
        ("PUT", "/api/config", b'{"generation": 1, "routes": [', {"If_Match": "0"}, 400),
        ("PUT", "/api/config", b"[" * 100_000, {"If_Match": "0"}, 400),
        ("PUT", "/api/config", b'{"generation":1,"routes":[],"services":[],"x":"\\ud800"}', {"If_Match": "0"}, 400),
        ("PUT", "/api/config", b'{"generation":1,"routes":[],"services":[],"x":%d}' % 2**80, {"If_Match": "0"}, 400),
        ("PUT", "/api/config", b'{"generation":NaN,"routes":[],"services":[]}', {"If_Match": "0"}, 400),
        ("PUT", "/api/config", b"\xff\xfe", {"If_Match": "0"}, 400),
        ("PUT", "/api/instances/i-1", b"{}", {}, 400),
        ("PUT", "/api/instances/", b"{}", {}, 400),
        ("PUT", "/api/instances/" + "x" * 300, b"{}", {}, 400),
    ],
)
def test_invalid_input_is_reported_with_where_found_and_allowed(  # noqa: PLR0913, PLR0917 - one for each column
    world, method, path, body, headers, status
):
    found_status, document = world.controllers[1].call(method, path, body, **headers)
    assert found_status == status
    for finding in document["findings"]:
        assert finding["where"]
        assert finding["found"]
        assert finding["allowed"]
    assert document["findings"]
    assert not any(world.log.commands.values())


def test_metrics_of_a_controller_name_its_shards(world):
    connection = HTTPClient("127.0.0.1", world.controllers[0].http.server_port, connection_timeout=5, network_timeout=5)
    try:
        response = connection.request("GET", "/api/metrics")
        metrics = response.read().decode()
    finally:
        connection.close()
    assert response.status_code == 200
    assert response["content-type"].startswith("text/plain; version=0.0.4")
    assert 'ochrespan_shard_leads{shard="0"} ' in metrics
    assert "ochrespan_instances 0" in metrics


# Without a quorum


@pytest.mark.parametrize(
    ("method", "path", "body", "headers"),
    [
        ("GET", "/api/config", None, {}),
        ("GET", "/api/config/history", None, {}),
        ("PUT", "/api/config", configuration(9), {"If_Match": "5"}),
        ("PUT", "/api/config", configuration(9), {"If_Match": "3"}),
        ("PATCH", "/api/config", {"generation": 9}, {"If_Match": "5"}),
        ("PUT", "/api/instances/i-1", instance(2, "draining"), {}),
        ("DELETE", "/api/instances/i-1", None, {}),
    ],
)
def test_a_controller_that_has_lost_its_quorum_responds_at_once(world, method, path, body, headers):
    """The 503 lets the caller try another controller; a state that may be out of date rejects no command."""
    world.controllers[0].put_config(configuration(5), 0)
    for shard in ALL_SHARDS:
        world.log.leaders[shard] = None
        world.controllers[1].groups.quorum_ages[shard] = NO_QUORUM_S + 0.1
    started_at = monotonic()
    status, _ = world.controllers[1].call(method, path, body, **headers)
    assert status == 503
    assert monotonic() - started_at < CALL_TIMEOUT_S / 2


def test_a_controller_that_has_just_started_waits_for_the_election(world):
    """It has not known a quorum yet, and the first election may end within the time-out."""
    for shard in ALL_SHARDS:
        world.log.leaders[shard] = None
        world.controllers[1].groups.quorum_ages[shard] = float("inf")
    gevent.spawn_later(0.1, world.controllers[0].groups.lead)
    assert world.controllers[1].put_config(configuration(5), 0)[0] == 200


def test_an_owner_without_a_lease_acknowledges_no_heartbeat(world):
    world.controllers[0].put_instance("i-1", instance(1))
    assert world.controllers[0].put_instance("i-1", instance(2))[0] == 200
    for shard in ALL_SHARDS:
        world.controllers[0].groups.quorum_ages[shard] = Timing().election_min_s
    assert world.controllers[0].put_instance("i-1", instance(3))[0] == 503


def test_the_removal_of_an_unknown_instance_outlasts_its_late_report(world):
    """The first report may still be in flight, or its response was lost: it must not register the removed instance."""
    assert world.controllers[0].call("DELETE", "/api/instances/i-1")[0] == 200
    assert world.controllers[1].put_instance("i-1", instance(1))[0] == 200
    assert not world.controllers[0].state.records()


def test_the_removal_of_an_instance_is_ordered_after_its_uncommitted_report(world):
    """The owner has not applied the report yet: the log has the acknowledged removal after it."""
    owner = world.controllers[0]
    report = gevent.spawn(owner.put_instance, "i-1", instance(1))
    end = gevent.spawn(owner.call, "DELETE", "/api/instances/i-1")
    gevent.joinall([report, end])
    assert end.value[0] == 200
    assert not owner.state.records()


# Another cluster


def test_a_command_for_another_cluster_is_rejected(world):
    for controller in world.controllers:
        controller.groups.cluster_number = 0x1F
    own, other = cluster_name(0x1F), cluster_name(0x2F)
    assert world.controllers[0].call("GET", "/api/status")[1]["cluster"] == own
    status, document = world.controllers[0].call(
        "PUT", "/api/config", configuration(5), If_Match="0", X_Fleet_Cluster=other
    )
    assert (status, document["findings"][0]["where"]) == (412, "X-Fleet-Cluster")
    assert (
        world.controllers[0].call("PUT", "/api/config", configuration(5), If_Match="0", X_Fleet_Cluster=own)[0] == 200
    )
