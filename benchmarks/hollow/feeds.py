"""What a controller's feed costs by its routers, and what controllers tell each other of theirs."""

from __future__ import annotations

from time import monotonic

from ochrespan.control_plane.controller_node import ControlState
from ochrespan.control_plane.feed_messages import FRESHNESS_INTERVAL_S, Presence, Subscribe
from ochrespan.control_plane.feed_server import FeedServer
from ochrespan.control_plane.instances import RegisterInstance, record_fields
from ochrespan.control_plane.lag_watch import LagWatch
from ochrespan.control_plane.orders import OrderKind, encode_order, make_order
from ochrespan.control_plane.presence import REPORT_INTERVAL_S, RouterCensus
from ochrespan.coordination.shards import ALL_SHARDS, CONFIG_SHARD, shard_of
from ochrespan.transport.codec import encode

from . import documents
from .meter import Meter, microseconds
from .owned_groups import OwnedGroups
from .series import Series

CONTROLLERS = 24
LOG_BEFORE_S = 10.0  # the census has settled


class ModelConnection:
    """The controller's end of a connection, which counts what is sent."""

    def __init__(self) -> None:
        self.closed = False
        self.messages = 0
        self.bytes = 0

    def send_encoded(self, data: bytes) -> None:
        """Takes an encoded message."""
        self.messages += 1
        self.bytes += len(data)


class HollowFeed:
    """One controller's feed with its state, and routers that are mere connections."""

    def __init__(self, routes: int = 100, tenants: int = 0, servers: int = 0, controllers: int = CONTROLLERS) -> None:
        self.state = ControlState()
        self.groups = OwnedGroups(self.state.machines)
        self.census = RouterCensus(monotonic() - LOG_BEFORE_S)
        others = [((f"10.1.0.{number + 1}", 7500), f"zone-{number % 13}") for number in range(controllers)]
        self.server = FeedServer(
            self.groups, self.state.configuration, self.state.instances, self.census, LagWatch(), lambda: others
        )
        self.groups.on_applied = self.server.applied
        self.connections: list[ModelConnection] = []
        self._version = 0
        self.order(documents.configuration(1, routes, tenants), OrderKind.WHOLE)
        for number in range(servers):
            self.register(number, 1)

    def order(self, document: dict, kind: OrderKind = OrderKind.PATCH) -> None:
        """An order of the operator is committed."""
        order = make_order(kind, self._version, document)
        self.groups.propose(CONFIG_SHARD, encode_order(order), 1.0)
        self._version = self.state.configuration.current.version

    def register(self, number: int, sequence: int, state: str = "ready") -> None:
        """A server's report is committed."""
        record = documents.record(number, sequence, state)
        self.groups.propose(shard_of(record.backend), encode(RegisterInstance(record_fields(record))), 1.0)

    def subscribe(self, router: int) -> None:
        """A router without any state subscribes."""
        connection = ModelConnection()
        self.connections.append(connection)
        self.server.subscribe(connection, Subscribe(f"router-zone-{router % 13}-{router}", f"zone-{router % 13}"))

    def change_route(self) -> None:
        """The operator changes one route."""
        self.order(documents.patch(self._version + 1, [0], 10_000 + self._version))

    def bytes_of_first(self) -> int:
        """What the first router has been sent."""
        return self.connections[0].bytes


def router_series(sizes: list[int], routes: int = 100) -> list[Series]:
    """By the routers of one controller: subscriptions at once, a change, a round of freshness."""
    starts, changes, rounds, change_bytes, round_bytes = [], [], [], [], []
    for size in sizes:
        feed = HollowFeed(routes)
        meter = Meter()
        for router in range(size):
            meter.run(feed.subscribe, router)
        starts.append((size, meter.seconds * 1e6))
        before = feed.bytes_of_first()
        changes.append((size, microseconds(feed.change_route, 20)))
        change_bytes.append((size, (feed.bytes_of_first() - before) / 60))
        before = feed.bytes_of_first()
        rounds.append((size, microseconds(feed.server.send_freshness, 10) / FRESHNESS_INTERVAL_S))
        round_bytes.append((size, (feed.bytes_of_first() - before) / 30 / FRESHNESS_INTERVAL_S))
    return [
        Series.of("feed: all routers subscribe at once", "us", "routers", starts),
        Series.of("feed: change of one route, judged, encoded and queued", "us", "routers", changes),
        Series.of("feed: change of one route", "B a router", "routers", change_bytes),
        Series.of("feed: freshness", "us a s", "routers", rounds),
        Series.of("feed: freshness", "B a router and s", "routers", round_bytes),
    ]


def controller_series(sizes: list[int], routers: int) -> list[Series]:
    """By the controllers: what freshness weighs, and what they tell each other of `routers` routers in all."""
    freshness, presence, bytes_out = [], [], []
    for size in sizes:
        feed = HollowFeed(controllers=size)
        own = routers // size
        for router in range(own):
            feed.subscribe(router)
        before = feed.bytes_of_first()
        feed.server.send_freshness()
        freshness.append((size, (feed.bytes_of_first() - before) / FRESHNESS_INTERVAL_S))
        told = [_presence(peer, own) for peer in range(1, size)]
        now = monotonic()

        def take(feed: HollowFeed = feed, told: list[Presence] = told, now: float = now) -> None:
            for each in told:
                encode(Presence("10.1.0.1", 7500, "zone-0", feed.census.readers(), dict.fromkeys(ALL_SHARDS, 100)))
                feed.census.told(each, now)
            feed.census.own(feed.census.readers(), now)

        presence.append((size, microseconds(take, 10) / REPORT_INTERVAL_S))
        bytes_out.append((size, 2 * sum(len(encode(each)) for each in told) / REPORT_INTERVAL_S))
    return [
        Series.of("feed: freshness", "B a router and s", "controllers", freshness),
        Series.of(f"presence of {routers} routers: processor without sockets", "us a s", "controllers", presence),
        Series.of(f"presence of {routers} routers: bytes sent", "B a s", "controllers", bytes_out),
    ]


def start_series(sizes: list[int], routes: int, tenants: int, servers: int) -> list[Series]:
    """By the routers of one controller that start at once with the whole state of a fleet."""
    processor, bytes_each = [], []
    for size in sizes:
        feed = HollowFeed(routes, tenants, servers)
        meter = Meter()
        for router in range(size):
            meter.run(feed.subscribe, router)
        processor.append((size, meter.seconds * 1e6))
        bytes_each.append((size, feed.bytes_of_first()))
    whole = f"{routes} routes, {tenants} tenants, {servers} servers"
    return [
        Series.of(f"feed: all routers start at once ({whole})", "us", "routers", processor),
        Series.of(f"feed: first state ({whole})", "B a router", "routers", bytes_each),
    ]


def _presence(peer: int, routers: int) -> Presence:
    names = [f"router-zone-{number % 13}-{peer}-{number}" for number in range(routers)]
    return Presence(f"10.1.0.{peer + 1}", 7500, f"zone-{peer % 13}", names, dict.fromkeys(ALL_SHARDS, 100))
