"""What a change costs a router: its tables of routes, keys and servers, as the router process keeps them."""

from __future__ import annotations

import itertools

from ochrespan.control_plane.configuration import Configuration, change_of_patch, change_to
from ochrespan.control_plane.feed_messages import (
    pack_configuration_change,
    pack_instances_change,
    unpack_configuration_change,
    unpack_instances_change,
)
from ochrespan.control_plane.fleet_table import (
    FleetTable,
    with_configuration_change,
    with_instances_change,
    with_routers,
)
from ochrespan.control_plane.instances import InstancesChange
from ochrespan.data_plane.router_node import MachineLimits, RouterNode
from ochrespan.data_plane.scheduler import Scheduler

from . import documents
from .meter import bytes_held, microseconds
from .series import Series

NOW = 1000.0


def router_node(zone: str) -> RouterNode:
    """A router's node that doesn't listen."""
    return RouterNode(("127.0.0.1", 0), ("127.0.0.1", 0), MachineLimits(), Scheduler(zone, 1, 0.2, 50, 10))


class HollowRouter:
    """A router's table and everything that follows from it, fed with the bodies of feed messages."""

    def __init__(self) -> None:
        self.node = router_node("zone-0")
        self.table = FleetTable()

    def take_configuration(self, body: bytes) -> None:
        """A change of the configuration has arrived."""
        table, change = with_configuration_change(self.table, unpack_configuration_change(body))
        self.table = table
        self.node.table_changed(table, change)

    def take_instances(self, body: bytes) -> None:
        """A change of instances has arrived."""
        table, change = with_instances_change(self.table, unpack_instances_change(body), NOW)
        self.table = table
        self.node.table_changed(table, change)

    def take_count(self, count: int) -> None:
        """Another count of live routers has arrived."""
        table, change = with_routers(self.table, count, 0)
        self.table = table
        self.node.table_changed(table, change)


def whole_configuration(routes: int, tenants: int) -> Configuration:
    """A configuration at version 1."""
    return Configuration().changed_by(change_to(Configuration(), documents.configuration(1, routes, tenants)))


def snapshot_body(configuration: Configuration) -> bytes:
    """The body of the configuration's snapshot in the feed."""
    return pack_configuration_change(change_to(Configuration(), configuration.document()))


def instances_body(servers: int) -> bytes:
    """The body of a snapshot of all servers."""
    return pack_instances_change(InstancesChange(tuple(documents.record(number) for number in range(servers))))


def configuration_series(sizes: list[int], tenants: int) -> list[Series]:
    """By the number of routes: a change of one route, the whole configuration, bytes and memory."""
    one, first, whole, delta_bytes, memory = [], [], [], [], []
    for size in sizes:
        configuration = whole_configuration(size, tenants)
        body = snapshot_body(configuration)
        router = HollowRouter()
        router.take_configuration(body)
        versions = itertools.count(2)

        def patch(configuration: Configuration = configuration, versions: itertools.count = versions) -> bytes:
            version = next(versions)
            change = change_of_patch(configuration, documents.patch(version, [0], 10_000 + version))
            return pack_configuration_change(change)

        bodies = iter([patch() for _ in range(60)])
        one.append((size, microseconds(lambda: router.take_configuration(next(bodies)), 20)))  # noqa: B023
        first.append((size, microseconds(lambda: HollowRouter().take_configuration(body), 3)))  # noqa: B023
        whole.append((size, len(body)))
        delta_bytes.append((size, len(patch())))
        memory.append((size, bytes_held(lambda: _router_with(body))))  # noqa: B023
    return [
        Series.of("router: change of one route", "us", "routes", one),
        Series.of("router: first whole configuration", "us", "routes", first),
        Series.of("feed: whole configuration", "B", "routes", whole),
        Series.of("feed: change of one route", "B", "routes", delta_bytes),
        Series.of("router: memory of configuration", "B", "routes", memory),
    ]


def tenant_series(sizes: list[int], routes: int) -> list[Series]:
    """By the number of tenants: a change of one route, and the memory."""
    first, whole, memory = [], [], []
    for size in sizes:
        body = snapshot_body(whole_configuration(routes, size))
        first.append((size, microseconds(lambda: HollowRouter().take_configuration(body), 3)))  # noqa: B023
        whole.append((size, len(body)))
        memory.append((size, bytes_held(lambda: _router_with(body))))  # noqa: B023
    return [
        Series.of("router: first whole configuration", "us", "tenants", first),
        Series.of("feed: whole configuration", "B", "tenants", whole),
        Series.of("router: memory of configuration", "B", "tenants", memory),
    ]


def instance_series(sizes: list[int]) -> list[Series]:
    """By the number of servers: a change of one, another count of routers, all at once, bytes and memory."""
    one, count, first, whole, delta_bytes, memory = [], [], [], [], [], []
    for size in sizes:
        body = instances_body(size)
        router = HollowRouter()
        router.take_configuration(snapshot_body(whole_configuration(documents.MODELS, 0)))
        router.take_instances(body)
        states = itertools.cycle(("draining", "ready"))
        counts = itertools.count(2)
        changes = [
            pack_instances_change(InstancesChange((documents.record(0, sequence, next(states)),)))
            for sequence in range(2, 32)
        ]
        bodies = iter(changes)
        one.append((size, microseconds(lambda: router.take_instances(next(bodies)), 10)))  # noqa: B023
        count.append((size, microseconds(lambda: router.take_count(next(counts)), 10)))  # noqa: B023
        first.append((size, microseconds(lambda: HollowRouter().take_instances(body), 3)))  # noqa: B023
        whole.append((size, len(body)))
        delta_bytes.append((size, len(changes[0])))
        memory.append((size, bytes_held(lambda: _router_with_instances(body))))  # noqa: B023
    return [
        Series.of("router: change of one server", "us", "servers", one),
        Series.of("router: another count of routers", "us", "servers", count),
        Series.of("router: first whole list of servers", "us", "servers", first),
        Series.of("feed: whole list of servers", "B", "servers", whole),
        Series.of("feed: change of one server", "B", "servers", delta_bytes),
        Series.of("router: memory of servers", "B", "servers", memory),
    ]


def _router_with(body: bytes) -> HollowRouter:
    router = HollowRouter()
    router.take_configuration(body)
    return router


def _router_with_instances(body: bytes) -> HollowRouter:
    router = HollowRouter()
    router.take_instances(body)
    return router
