"""Incremental updates of a router's tables: each does only the work it needs and equals a complete rebuild."""

from dataclasses import replace

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.config.views import ConfigurationView
from ochrespan.control_plane.feed import client as feed_client
from ochrespan.control_plane.feed import subscription, table_publisher
from ochrespan.control_plane.feed.client import FeedClient
from ochrespan.control_plane.feed.messages import (
    FeedDelta,
    FeedSnapshot,
    Freshness,
    pack_configuration_change,
    pack_instances_change,
)
from ochrespan.control_plane.feed.table import FleetChange, FleetTable, with_instances_change, with_router_count
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.records import record_from_document
from ochrespan.control_plane.shards import ALL_SHARDS, CONFIG_SHARD, shard_of
from ochrespan.data_plane import routing_table
from ochrespan.data_plane.deadlines import DeadlineHeap
from ochrespan.data_plane.decisions import Server
from ochrespan.data_plane.router_node import MachineLimits, RouterNode
from ochrespan.data_plane.routing_table import RoutingTable
from ochrespan.data_plane.scheduler import Scheduler
from ochrespan.data_plane.server_pools import ServerPools
from ochrespan.transport.tcp import ConnectionClosedError
from tests.fleet_standins import configuration, route, tenant
from tests.support.control_plane_world import configuration as document
from tests.support.control_plane_world import instance

NOW = 100.0
SERVICES = ("a", "b", "c")
ADDRESS = ("127.0.0.1", 7500)


def record(number: int, service: str, state: str = "ready"):
    fields = instance(1, state, backend=service, address=f"10.0.0.{number}:80")
    return record_from_document(f"i-{service}-{number}", fields)


class RecordingScheduler(Scheduler):
    """Records the server ids of each `set_servers` call."""

    def __init__(self) -> None:
        super().__init__("z0", 7, retry_ratio=0.2, retry_slack=10.0, retry_window=10.0)
        self.server_updates: list[list[str]] = []

    def set_servers(self, now, servers, routers, rank, services=None):
        self.server_updates.append(sorted(server.id for server in servers))
        return super().set_servers(now, servers, routers, rank, services)

    def server_caps(self) -> dict[str, float]:
        """The capacity limit of each usable server."""
        return {state.server.id: state.window_cap for pool in self._pools.values() for state in pool.usable_servers}


class Tables:
    """A router node whose table has three servers for each of three services."""

    def __init__(self) -> None:
        self.scheduler = RecordingScheduler()
        self.node = RouterNode(("127.0.0.1", 0), ("127.0.0.1", 0), MachineLimits(), self.scheduler)
        self.table = FleetTable()
        self.change(*(record(number, service) for service in SERVICES for number in range(3)))

    def change(self, *upserted, removed=()) -> None:
        self.table, change = with_instances_change(self.table, InstancesChange(upserted, tuple(removed)), NOW)
        self.node.table_changed(self.table, change)

    def set_router_count(self, routers: int) -> None:
        self.table, change = with_router_count(self.table, routers, 0)
        self.node.table_changed(self.table, change)


def test_a_server_change_updates_only_the_servers_of_its_service():
    tables = Tables()
    tables.change(record(1, "b", "draining"))
    assert tables.scheduler.server_updates[-1] == ["i-b-0", "i-b-1", "i-b-2"]
    assert set(tables.scheduler.server_caps()) == {
        f"i-{service}-{number}" for service in SERVICES for number in range(3)
    } - {"i-b-1"}
    tables.change(removed=["i-c-0", "i-c-1", "i-c-2"])
    assert tables.scheduler.server_updates[-1] == []
    assert not any(name.startswith("i-c") for name in tables.scheduler.server_caps())


def test_a_changed_router_count_updates_all_caps_without_server_updates():
    tables = Tables()
    before = tables.scheduler.server_caps()
    tables.set_router_count(8)
    assert tables.scheduler.server_updates[-1] == []
    after = tables.scheduler.server_caps()
    assert before.keys() == after.keys() and all(after[name] < before[name] for name in before)
    tables.change(record(1, "a", "draining"))
    assert {tables.scheduler.server_caps()[name] for name in ("i-a-0", "i-b-0")} == {after["i-b-0"]}


def test_pools_of_other_services_persist_and_follow_the_router_count():
    def servers(service: str, *numbers: int) -> list[Server]:
        return [
            Server(f"{service}{number}", service, ("127.0.0.1", 8000 + number), "z", 8, max_connections=40)
            for number in numbers
        ]

    pools = ServerPools(DeadlineHeap(gevent.get_hub().loop))
    pools.set_servers([*servers("a", 1, 2), *servers("b", 1)], 2)
    retained, removed = pools.get("b1"), pools.get("a2")
    pools.set_servers(servers("a", 1, 3), 2, {"a"})
    assert pools.get("b1") is retained and pools.get("a2") is None and removed.closed and not retained.closed
    pools.set_servers([], 4, ())
    assert [pools.get(each).max_connections for each in ("a1", "a3", "b1")] == [10, 10, 10]
    pools.set_servers(servers("a", 1), 4)
    assert pools.get("b1") is None and pools.get("a1") is not None


def test_a_route_change_rebuilds_only_its_own_entry(monkeypatch):
    rebuilt_names = []
    original = routing_table._entry
    monkeypatch.setattr(routing_table, "_entry", lambda each: rebuilt_names.append(each.name) or original(each))
    routes = [route(f"r{n}", f"/p{n}/", hostname=f"h{n % 50}.example") for n in range(1000)]
    before = configuration(*routes, tenants=(tenant("t", "k"),))
    table = RoutingTable(before)
    rebuilt_names.clear()
    changed = replace(routes[7], timeout_ms=1.0)
    after = replace(before, version=2, routes={**before.routes, "r7": changed})
    table = table.updated(after, {"r7"}, ())
    assert rebuilt_names == ["r7"] and table.version == 2
    assert table.find("h7.example", "/p7/x").route is changed
    assert table.find("h8.example", "/p8/x").route is routes[8]


NAMES, HOSTS, PREFIXES, KEYS = "abcd", ("h1", "H2"), ("/", "/x/", "/x/y/"), ("k1", "k2", "k3")


@st.composite
def views(draw, version: int) -> ConfigurationView:
    """Configurations whose routes have distinct hosts and prefixes and whose tenants have distinct keys."""
    names = draw(st.lists(st.sampled_from(NAMES), unique=True))
    all_locations = [(host, prefix) for host in HOSTS for prefix in PREFIXES]
    locations = draw(st.permutations(all_locations))
    routes = [
        route(name, prefix, hostname=host, timeout_ms=float(draw(st.integers(1, 2))))
        for name, (host, prefix) in zip(names, locations, strict=False)
    ]
    key_tenants = [draw(st.sampled_from(("t1", "t2", None))) for _ in KEYS]
    keys = {name: [key for key, owner in zip(KEYS, key_tenants, strict=True) if owner == name] for name in ("t1", "t2")}
    tenants = tuple(tenant(name, *tenant_keys) for name, tenant_keys in keys.items() if tenant_keys)
    return configuration(*routes, tenants=tenants, version=version)


def changed_names(before, after) -> set[str]:
    return {name for name in {**before, **after} if before.get(name) != after.get(name)}


@settings(max_examples=150, deadline=None)
@given(st.tuples(*(views(version) for version in range(1, 5))))
def test_an_updated_table_equals_a_rebuilt_one(steps):
    table, before = RoutingTable(steps[0]), steps[0]
    for view in steps[1:]:
        routes, tenants = changed_names(before.routes, view.routes), changed_names(before.tenants, view.tenants)
        table, before = table.updated(view, routes, tenants), view
        rebuilt = RoutingTable(view)
        assert table.version == rebuilt.version and table.has_tenants == rebuilt.has_tenants
        assert [table.tenant_of(key) for key in KEYS] == [rebuilt.tenant_of(key) for key in KEYS]
        for host in ("h1", "h2", "h3"):
            for path in ("/", "/x/1", "/x/y/2", "/z/"):
                assert table.find(host, path) == rebuilt.find(host, path)


class MessageBatch:
    """A connection on which all given messages are available at once; then it is closed."""

    def __init__(self, *messages) -> None:
        self._messages = list(messages)

    @property
    def has_message(self) -> bool:
        return bool(self._messages)

    def receive(self):
        if not self._messages:
            raise ConnectionClosedError("ended")
        return self._messages.pop(0)

    def send(self, message) -> None:
        pass

    def set_idle_timeout(self, seconds: float) -> None:
        pass

    def close(self) -> None:
        pass


def full_snapshot():
    configuration_body = pack_configuration_change(change_to(Configuration(), document(1)))
    yield FeedSnapshot(CONFIG_SHARD, 1, configuration_body)
    for shard in ALL_SHARDS:
        if shard != CONFIG_SHARD:
            yield FeedSnapshot(shard, 1, pack_instances_change(InstancesChange()))
    yield Freshness(dict.fromkeys(ALL_SHARDS, 0.0), {}, dict.fromkeys(ALL_SHARDS, 1), [], 0, 0)


def deltas(service: str, count: int):
    for number in range(count):
        body = pack_instances_change(InstancesChange((record(number, service),)))
        yield FeedDelta(shard_of(service), number + 1, number + 2, body)


@pytest.fixture
def follow(monkeypatch):
    """Returns a function that lets a feed client process the messages of several connections in turn."""
    monkeypatch.setattr(table_publisher, "PUBLISH_INTERVAL_FACTOR", 0.0)

    def take(client: FeedClient, *connections: MessageBatch) -> None:
        for connection in connections:
            monkeypatch.setattr(subscription, "dial", lambda address, timeout, given=connection: given)
            with pytest.raises(ConnectionClosedError):
                client._follow(ADDRESS, None)
            client._publisher.publish_changes()

    return take


def test_changes_that_arrive_together_are_published_together(follow):
    published: list[tuple[FleetTable, FleetChange]] = []
    client = FeedClient("edge-1", "z", [ADDRESS], lambda table, change: published.append((table, change)))
    follow(client, MessageBatch(*full_snapshot()), MessageBatch(*deltas("a", 200), *deltas("b", 100)))
    assert len(published) == 2
    table, change = published[1]
    assert change.instances == {"a", "b"}
    assert (len(table.instances_of("a")), len(table.instances_of("b"))) == (200, 100)


def test_a_change_whose_callback_failed_is_published_again_with_the_next(follow):
    published: list[FleetChange] = []

    def take(table: FleetTable, change: FleetChange) -> None:
        published.append(change)
        if len(published) == 2:
            raise RuntimeError("planted")

    client = FeedClient("edge-1", "z", [ADDRESS], take)
    follow(
        client,
        MessageBatch(*full_snapshot()),
        MessageBatch(*deltas("a", 1)),
        MessageBatch(*deltas("b", 1)),
    )
    assert [change.instances for change in published[1:]] == [{"a"}, {"a", "b"}]


def test_a_burst_of_changes_is_batched_when_callbacks_are_slow(follow, monkeypatch):
    clock = [100.0]
    for module in (feed_client, table_publisher):
        monkeypatch.setattr(module, "monotonic", lambda: clock[0])
    monkeypatch.setattr(table_publisher, "PUBLISH_INTERVAL_FACTOR", 20.0)
    published: list[tuple[float, FleetTable]] = []

    def take(table: FleetTable, change: FleetChange) -> None:
        published.append((clock[0], table))
        clock[0] += 0.005  # s

    client = FeedClient("edge-1", "z", [ADDRESS], take)
    follow(client, MessageBatch(*full_snapshot()))
    for number in range(100):
        clock[0] += 0.001
        client._draft.apply_delta(list(deltas("a", number + 1))[-1], clock[0])
        client._publisher.publish_changes()
    assert len(published) <= 3  # within 0.1 s: callbacks take 5 ms, so publications are 20 * 5 ms apart
    clock[0] += 0.2
    client._publisher.publish_delayed()
    assert len(published[-1][1].instances_of("a")) == 100
    client.stop()


def test_the_publish_interval_is_bounded(follow, monkeypatch):
    clock = [100.0]
    for module in (feed_client, table_publisher):
        monkeypatch.setattr(module, "monotonic", lambda: clock[0])
    monkeypatch.setattr(table_publisher, "PUBLISH_INTERVAL_FACTOR", 20.0)

    def take(table: FleetTable, change: FleetChange) -> None:
        clock[0] += 3.0

    client = FeedClient("edge-1", "z", [ADDRESS], take)
    follow(client, MessageBatch(*full_snapshot()))
    assert client._publisher.paused_until == clock[0] + table_publisher.MAX_PUBLISH_INTERVAL_S
