"""The change feed over loopback: controllers that share an in-memory log, and the routers that follow them."""

from collections.abc import Callable
from typing import Any

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from ochrespan.control_plane.feed.client import FeedClient
from ochrespan.control_plane.feed.controller_choice import ControllerChoice
from ochrespan.control_plane.feed.draft_table import DraftTable
from ochrespan.control_plane.feed.errors import OtherClusterError
from ochrespan.control_plane.feed.messages import ControllerReport, FeedSnapshot, Freshness, Subscribe
from ochrespan.control_plane.feed.progress import ProgressRecorder
from ochrespan.control_plane.feed.server import FeedServer
from ochrespan.control_plane.feed.table import FleetChange, FleetTable
from ochrespan.control_plane.quota.router_setup import configure_quotas, owner_client_for, quota_client_for
from ochrespan.control_plane.shards import shard_of
from ochrespan.transport.peer_clients import PeerClients
from ochrespan.transport.tcp import ConnectionClosedError, dial
from tests.support.control_plane_world import World, configuration, instance, route, tenant

WAIT_TIMEOUT_S = 5.0


class Router:
    """A feed client that records the published tables, and lets the test wait for one of them."""

    def __init__(self, world: World, node: str = "edge-1", controllers: int = 1, first: int = 0) -> None:
        addresses = world.addresses()[first : first + controllers]
        self.client = FeedClient(node, "z", addresses, self._changed)
        self.history: list[FleetTable] = []
        self.changes: list[FleetChange] = []
        self._waiting: list[tuple[Callable[[FleetTable], bool], Event]] = []
        self.client.start()

    def _changed(self, table: FleetTable, change: FleetChange) -> None:
        self.history.append(table)
        self.changes.append(change)
        for waiting in list(self._waiting):
            condition, event = waiting
            if condition(table):
                event.set()
                self._waiting.remove(waiting)  # its condition may be false for later tables, or fail on them

    def wait_for_draft(self, version: int) -> None:
        """Waits until the draft has this version of the configuration, whether or not a table was published."""
        with gevent.Timeout(WAIT_TIMEOUT_S):
            while self.client._draft.table.version != version:
                gevent.idle()

    def wait(self, condition: Callable[[FleetTable], bool]) -> FleetTable:
        if self.client.table is not None and condition(self.client.table):
            return self.client.table
        event = Event()
        self._waiting.append((condition, event))
        assert event.wait(WAIT_TIMEOUT_S), self.client.table
        return self.client.table


@pytest.fixture
def world():
    world = World(members=3)
    yield world
    world.close()


@pytest.fixture
def routers():
    started: list[Router] = []
    yield started
    for router in started:
        router.client.stop()


def test_a_router_has_no_table_before_the_first_configuration_then_gets_all_changes(world, routers):
    router = Router(world)
    routers.append(router)
    controller = world.controllers[0]
    controller.put_instance("i-1", instance(1))
    assert router.client.table is None
    controller.put_config(configuration(5, route("r1"), route("r2")), 0)
    table = router.wait(lambda table: table.version == 5)
    assert set(table.configuration.routes) == {"r1", "r2"}
    router.wait(lambda table: "i-1" in table.instances_of("judges"))
    controller.put_instance("i-1", instance(2, "draining"))
    router.wait(lambda table: table.instances_of("judges")["i-1"].state == "draining")
    controller.patch_config({"generation": 6, "delete": {"routes": ["r2"]}}, 5)
    table = router.wait(lambda table: table.version == 6)
    assert set(table.configuration.routes) == {"r1"}
    controller.call("DELETE", "/api/instances/i-1")
    router.wait(lambda table: not table.instances_of("judges"))
    assert FleetChange() not in router.changes
    versions = [table.version for table in router.history]
    assert versions == sorted(versions)


def test_a_router_that_loses_its_controller_goes_on_at_another_from_its_offset(world, routers):
    world.controllers[0].put_config(configuration(5), 0)
    router = Router(world, controllers=3)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    followed = next(each for each in world.controllers if each.groups.address == router.client.controller)
    remaining = [each for each in world.controllers if each is not followed]
    remaining[0].groups.lead()
    followed.groups.quorum_ages = dict.fromkeys(followed.groups.quorum_ages, 5.0)
    del world.log.members[followed.groups.address]  # disconnected: it applies no further commands
    assert remaining[0].put_config(configuration(9), 5)[0] == 200
    router.wait(lambda table: table.version == 9)
    assert router.client.controller != followed.groups.address


def test_routers_know_their_count_and_their_own_rank(world, routers):
    world.controllers[0].put_config(configuration(5), 0)
    for name in ("edge-a", "edge-b", "edge-c"):
        routers.append(Router(world, node=name))
    for rank, router in enumerate(routers):
        router.wait(lambda table, rank=rank: (table.router_count, table.router_rank) == (3, rank))


def test_a_late_router_gets_a_snapshot_and_one_behind_only_the_missed_changes(world, routers):
    controller = world.controllers[0]
    controller.put_config(configuration(5), 0)
    controller.put_instance("i-1", instance(1))
    first = Router(world)
    routers.append(first)
    first.wait(lambda table: "i-1" in table.instances_of("judges"))
    first.client.stop()
    before = dict(first.client._draft.offsets)
    controller.put_config(configuration(6, route("new")), 5)
    controller.put_instance("i-2", instance(1, address="10.0.0.8:1"))
    first.client.start()
    table = first.wait(lambda table: table.version == 6 and len(table.instances_of("judges")) == 2)
    assert set(table.configuration.routes) == {"new"}
    shard = shard_of("judges")
    assert first.client._draft.offsets[0] == before[0] + 1 and first.client._draft.offsets[shard] == before[shard] + 1


def test_a_callback_that_fails_does_not_end_the_feed(world, routers, caplog):
    controller = world.controllers[0]
    controller.put_config(configuration(5), 0)
    router = Router(world)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    seen = router.client._publisher.on_change

    def fail_after(table: FleetTable, change: FleetChange) -> None:
        seen(table, change)
        raise ValueError("the callback's own fault")

    router.client._publisher.on_change = fail_after
    controller.put_config(configuration(6), 5)
    router.wait(lambda table: table.version == 6)
    controller.put_config(configuration(7), 6)
    router.wait(lambda table: table.version == 7)
    assert "the callback's own fault" in caplog.text


def test_a_router_follows_a_controller_that_restored_a_snapshot(world, routers):
    leader, behind = world.controllers[0], world.controllers[1]
    leader.put_config(configuration(5), 0)
    router = Router(world, first=1)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    del world.log.members[behind.groups.address]  # it does not get the following commands
    leader.put_config(configuration(6), 5)
    leader.put_config(configuration(8, route("late")), 6)
    behind.state.configuration.restore(leader.state.configuration.snapshot())
    behind.groups.applied[0] = leader.groups.applied[0]
    behind.node.restored(0)
    table = router.wait(lambda table: table.version == 8)
    assert set(table.configuration.routes) == {"late"}
    world.log.members[behind.groups.address] = behind.groups
    leader.put_config(configuration(9), 8)
    router.wait(lambda table: table.version == 9)


def test_a_router_leaves_a_controller_that_has_a_quorum_but_lags(world, routers):
    leader, behind = world.controllers[0], world.controllers[1]
    leader.put_config(configuration(5), 0)
    router = Router(world, controllers=1, first=1)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    router.client.seeds_changed(world.addresses())
    del world.log.members[behind.groups.address]  # simulates a hanging disk: it applies no further commands
    leader.put_config(configuration(6), 5)
    router.wait(lambda table: table.version == 6)
    assert behind.state.configuration.current.version == 5


def test_a_router_resets_a_shard_that_has_a_new_log_but_keeps_its_configuration(world, routers, monkeypatch):
    monkeypatch.setattr("ochrespan.control_plane.feed.draft_table.LOG_RESET_CONFIRM_S", 0.0)
    leader = world.controllers[0]
    leader.put_config(configuration(5), 0)
    for sequence in (1, 2, 3):
        leader.put_instance("lost", instance(sequence, capacity=sequence))
    router = Router(world)
    routers.append(router)
    router.wait(lambda table: "lost" in table.instances_of("judges"))
    router.client.stop()
    world.close()
    anew = World()
    anew.controllers[0].put_instance("fresh", instance(1))
    router.client.seeds_changed(anew.addresses())
    router.client.start()
    table = router.wait(lambda table: set(table.instances_of("judges")) == {"fresh"})
    assert table.version == 5
    anew.close()


def test_a_router_takes_nothing_from_another_cluster_until_it_is_restarted(world, routers):
    for controller in world.controllers:
        controller.groups.cluster_number = 1
    world.controllers[0].put_config(configuration(5), 0)
    router = Router(world)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    beside = World()
    beside.controllers[0].groups.cluster_number = 2
    for version in (5, 6, 7, 8):
        beside.controllers[0].put_config(configuration(version, route("beside")), version - 1 if version > 5 else 0)
    world.close()
    router.client.seeds_changed(beside.addresses())
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while not router.client._choice._candidates[beside.addresses()[0]].failures:
            gevent.sleep(0.01)
    assert set(router.client.table.configuration.routes) == {"r1"}
    restarted = Router(beside, node="edge-1")
    routers.append(restarted)
    assert set(restarted.wait(lambda table: table.version == 8).configuration.routes) == {"beside"}
    beside.close()


def test_a_controller_rejects_a_router_of_another_cluster(world):
    controller = world.controllers[0]
    controller.groups.cluster_number = 1
    controller.put_config(configuration(5), 0)
    for cluster, served in [(2, False), (1, True), (0, True)]:
        connection = dial(controller.groups.address, 1.0)
        connection.send(Subscribe("edge-1", "z", {}, cluster))
        if served:
            assert connection.receive(timeout=WAIT_TIMEOUT_S)
        else:
            with pytest.raises(ConnectionClosedError):
                connection.receive(timeout=WAIT_TIMEOUT_S)
        connection.close()


def test_a_router_leaves_a_controller_of_another_cluster(world):
    client = FeedClient("edge-1", "z", world.addresses())
    client._cluster = 1
    with pytest.raises(OtherClusterError, match="controller belongs to cluster 2, the router's table to 1"):
        client._take_freshness(Freshness({}, {}, {}, [], 0, 0, cluster=2), world.addresses()[0])


def test_reports_of_controllers_of_another_cluster_are_ignored(world):
    first, stranger = world.controllers[0], world.controllers[1]
    first.groups.cluster_number, stranger.groups.cluster_number = 1, 2
    presence = ControllerReport("127.0.0.1", 1, "z", ["edge-9"], {0: 10_000}, 2)
    first.node._presence._receive(presence)
    assert "edge-9" not in first.node._live_routers.routers()
    assert not any(first.node._lag_detector.lags({0: 5}, 1e9).values())


def test_a_router_without_a_table_publishes_one_as_soon_as_there_is_a_quorum(world, routers):
    world.controllers[0].put_config(configuration(5), 0)
    for controller in world.controllers:
        controller.groups.quorum_ages = dict.fromkeys(controller.groups.quorum_ages, float("inf"))
    router = Router(world, controllers=3)
    routers.append(router)
    router.wait_for_draft(5)
    assert router.client.table is None
    for controller in world.controllers:
        controller.groups.quorum_ages = dict.fromkeys(controller.groups.quorum_ages, 0.0)
    assert router.wait(lambda table: table.version == 5).configuration.routes


def test_without_a_quorum_a_router_publishes_an_unconfirmed_table_after_a_wait(world, routers, monkeypatch):
    monkeypatch.setattr("ochrespan.control_plane.feed.table_publisher.UNCONFIRMED_TABLE_WAIT_S", 0.0)
    world.controllers[0].put_config(configuration(5), 0)
    for controller in world.controllers:
        controller.groups.quorum_ages = dict.fromkeys(controller.groups.quorum_ages, float("inf"))
    router = Router(world, controllers=3)
    routers.append(router)
    assert router.wait(lambda table: table.version == 5)
    assert router.client.controller is None


def test_routers_take_tokens_from_the_owner_also_after_leadership_moved(world, routers):
    world.controllers[0].put_config(configuration(5, tenants=[tenant("t", "k", rate_per_s=1000, burst=1000)]), 0)
    router = Router(world, controllers=3)
    routers.append(router)
    table = router.wait(lambda table: table.version == 5)
    owners = owner_client_for(router.client, PeerClients())
    quotas = quota_client_for("edge-1", {"quota_window_s": 8, "quota_overshoot": 0.1}, owners)
    configure_quotas(quotas, table)
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while (taken := quotas.take("t", 1.0)).epoch is None:
            gevent.idle()
    world.controllers[1].groups.lead()
    former = taken.epoch
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while quotas.take("t", 1.0).epoch in (None, former):
            gevent.idle()
    assert not quotas.take("t", 1e9).allowed and quotas.take("somebody without a limit", 1e9).allowed


def test_membership_counts_routers_and_names_controllers_also_while_no_controller_is_reached(world):
    client = FeedClient("edge-1", "z", [])
    client.members_changed(["edge-1", "edge-2", "edge-3"], {("10.0.0.9", 7500): "z"})
    assert client._draft.table.router_count == 3
    assert client._choice.best(0.0) == ("10.0.0.9", 7500)
    client.members_changed(["edge-1"], {})
    assert client._draft.table.router_count == 3  # a decrease applies after DECREASE_DELAY_S


def test_many_changes_at_once_reach_a_router_in_few_messages(world, routers, monkeypatch):
    sent: list[tuple[int, int]] = []
    send_change = FeedServer._send_change

    def record_change(server: FeedServer, shard: int, offset: int, body: bytes) -> None:
        sent.append((shard, offset))
        send_change(server, shard, offset, body)

    monkeypatch.setattr(FeedServer, "_send_change", record_change)
    router = Router(world)
    routers.append(router)
    controller = world.controllers[0]
    controller.put_config(configuration(5), 0)
    router.wait(lambda table: table.version == 5)
    sent.clear()
    calls = [
        gevent.spawn(controller.put_instance, f"i-{number}", instance(1, address=f"10.0.0.9:{number}"))
        for number in range(1, 101)
    ]
    gevent.joinall(calls)
    router.wait(lambda table: len(table.instances_of("judges")) == 100)
    assert len(sent) < 100 * len(world.controllers)
    controller.put_instance("i-1", instance(2, "draining", address="10.0.0.9:1"))
    router.wait(lambda table: table.instances_of("judges")["i-1"].state == "draining")
    late = Router(world, "edge-2")
    routers.append(late)
    late.wait(lambda table: len(table.instances_of("judges")) == 100)


def test_a_router_tells_what_it_follows_and_warns_while_it_has_no_current_feed(world, routers, monkeypatch, caplog):
    monkeypatch.setattr("ochrespan.control_plane.feed.client.MISSING_FEED_WARNING_S", 0.0)
    caplog.set_level("INFO")
    world.controllers[0].put_config(configuration(5), 0)
    router = Router(world)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    gevent.sleep(0)
    progress = router.client.progress()
    assert (progress.version, progress.controller) == (5, world.addresses()[0])
    assert {each.shard: each.offset for each in progress.shards} == router.client._draft.offsets
    assert "feed followed controller=" in caplog.text
    world.close()
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while "no current feed without_feed_s=" not in caplog.text:
            gevent.sleep(0.01)
    assert router.client.progress().controller is None


@pytest.fixture
def not_current(monkeypatch):
    """The times at which any router had no current feed after it had followed one."""
    times: list[float] = []
    record = ProgressRecorder.record_not_current

    def record_time(recorder: ProgressRecorder, now: float) -> None:
        times.append(now)
        record(recorder, now)

    monkeypatch.setattr(ProgressRecorder, "record_not_current", record_time)
    return times


def test_a_router_keeps_its_feed_while_it_tries_a_nearer_controller_that_does_not_respond(
    world, routers, monkeypatch, not_current, caplog
):
    silent = StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(WAIT_TIMEOUT_S))
    silent.start()
    monkeypatch.setattr("ochrespan.control_plane.feed.client.MIN_STAY_S", 0.0)
    monkeypatch.setattr("ochrespan.control_plane.feed.subscription.FEED_TIMEOUT_S", 0.8)
    monkeypatch.setattr(ControllerChoice, "nearer", lambda choice, current, now: silent.address)
    caplog.set_level("INFO")
    world.controllers[0].put_config(configuration(5), 0)
    router = Router(world)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while "nearer controller not followed" not in caplog.text:
            gevent.sleep(0.01)
    assert not not_current
    silent.stop()


def test_a_router_moves_to_a_nearer_controller_without_a_time_without_a_feed(world, routers, monkeypatch, not_current):
    monkeypatch.setattr("ochrespan.control_plane.feed.client.MIN_STAY_S", 0.0)
    farther, nearer = world.controllers[0], world.controllers[1]
    monkeypatch.setattr(
        ControllerChoice,
        "nearer",
        lambda choice, current, now: nearer.groups.address if current == farther.groups.address else None,
    )
    farther.put_config(configuration(5), 0)
    router = Router(world)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while router.client.controller != nearer.groups.address:
            gevent.sleep(0.01)
    farther.put_config(configuration(6), 5)
    router.wait(lambda table: table.version == 6)
    assert not not_current


def test_a_fault_in_a_message_does_not_end_the_feed(world, routers, monkeypatch, caplog):
    apply_snapshot = DraftTable.apply_snapshot
    failures = [KeyError("a fault of the program")]

    def fail_first(draft: DraftTable, snapshot: FeedSnapshot, now: float) -> None:
        if failures:
            raise failures.pop()
        apply_snapshot(draft, snapshot, now)

    monkeypatch.setattr(DraftTable, "apply_snapshot", fail_first)
    world.controllers[0].put_config(configuration(5), 0)
    router = Router(world)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    assert "feed failed, continuing" in caplog.text and "a fault of the program" in caplog.text


def test_a_router_is_told_no_offset_before_the_state_that_belongs_to_it(world, routers, monkeypatch):
    leader, behind = world.controllers[0], world.controllers[1]
    leader.put_config(configuration(5), 0)
    router = Router(world, first=1)
    routers.append(router)
    router.wait(lambda table: table.version == 5)
    told: list[tuple[int, int]] = []  # offset of the configuration's shard and version, after each freshness message
    advance_offsets = DraftTable.advance_offsets

    def record_offset(draft: DraftTable, *arguments: Any) -> None:
        advance_offsets(draft, *arguments)
        told.append((draft.offsets[0], draft.table.version))

    monkeypatch.setattr(DraftTable, "advance_offsets", record_offset)
    del world.log.members[behind.groups.address]  # it gets the following command by a snapshot only
    leader.put_config(configuration(6), 5)
    behind.state.configuration.restore(leader.state.configuration.snapshot())
    behind.groups.applied[0] = leader.groups.applied[0]
    behind.node.restored(0)
    behind.node._feed.send_freshness()  # before the greenlet that sends the snapshot has run
    router.wait(lambda table: table.version == 6)
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while not told:
            gevent.sleep(0.01)
    assert set(told) == {(leader.groups.applied[0], 6)}
