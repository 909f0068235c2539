"""The assembled data plane of one router: ingress, scheduler, connection pools and readiness server."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from ochrespan.common.addresses import Address, parse_address
from ochrespan.observability.metrics import MetricsRegistry

from .deadlines import DeadlineHeap
from .decision_record import DecisionLog
from .decisions import Server
from .dispatcher import Dispatcher, SchedulerLike
from .exchange import ExchangeContext
from .feed_metrics import register_feed_metrics
from .front import Front, PrefixLocator
from .ingress import IngressServer
from .quota_admission import Quotas
from .readiness import ReadinessServer
from .router_metrics import RouterMetrics
from .routing_table import RoutingTable
from .server_pools import ServerPools

if TYPE_CHECKING:
    from ochrespan.control_plane.feed.progress import FeedProgress
    from ochrespan.control_plane.feed.table import FleetChange, FleetTable

log = logging.getLogger(__name__)

RESERVED_DESCRIPTORS = 264  # for files, listening sockets and the feed
CLIENT_CONNECTION_FRACTION = 0.5  # of the remaining descriptors; the others are for connections to servers
BODY_MEMORY_FRACTION = 0.2  # of the memory, for request bodies
DRAINING = "draining"
CLIENT_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Phases of a shutdown, in seconds after SIGTERM."""

    accept_for_s: float  # the platform sends new connections until two readiness probes have failed
    refuse_unsent_after_s: float  # requests that no server has received are then refused
    abort_after_s: float  # requests in flight are then aborted

    @classmethod
    def within(cls, grace_s: float) -> DrainTimes:
        """Phases that end before the platform kills the process after `grace_s`."""
        abort_after_s = grace_s - min(0.7, 0.2 * grace_s)
        return cls(min(2.5, 0.4 * abort_after_s), 0.9 * abort_after_s, abort_after_s)


@dataclass(frozen=True)
class MachineLimits:
    """The resources available to this process."""

    descriptors: int = 1024
    memory_bytes: int = 256 * 1024 * 1024

    @property
    def client_connections(self) -> int:
        """The maximum number of client connections."""
        return max(16, int((self.descriptors - RESERVED_DESCRIPTORS) * CLIENT_CONNECTION_FRACTION))

    @property
    def body_bytes(self) -> int:
        """The memory limit for request bodies."""
        return int(self.memory_bytes * BODY_MEMORY_FRACTION)


class RouterNode:
    """Serves clients by the latest table passed to `table_changed`. `front` may be a socket that already listens."""

    def __init__(
        self,
        front: Address | socket.socket,
        ready: Address,
        limits: MachineLimits,
        scheduler: SchedulerLike,
        quotas: Quotas | None = None,
        prefix_locator: PrefixLocator | None = None,
        table_is_fresh: Callable[[], bool] = lambda: True,
        feed_progress: Callable[[], FeedProgress] | None = None,
    ) -> None:
        deadlines = DeadlineHeap(gevent.get_hub().loop)
        registry = MetricsRegistry()
        self._dispatcher = Dispatcher(scheduler, deadlines, RouterMetrics(registry))
        self._pools = ServerPools(deadlines)
        self.decision_log = DecisionLog()
        context = ExchangeContext(self._dispatcher, self._pools, deadlines, self.decision_log)
        self._front = Front(context, table_is_fresh, quotas, prefix_locator)
        self.ingress = IngressServer(front, self._front, deadlines, limits.client_connections, limits.body_bytes)
        self._readiness = ReadinessServer(
            ready,
            self.is_ready,
            self.set_drained,
            registry,
            lambda: {} if feed_progress is None else feed_progress().document(),
        )
        self._stopping = False
        self._drained = False
        self._version = 0
        self._add_gauges(registry)
        if feed_progress is not None:
            register_feed_metrics(registry, feed_progress)

    def _add_gauges(self, registry: MetricsRegistry) -> None:
        registry.gauge(
            "ochrespan_router_requests", "Requests that are held.", lambda: self._dispatcher.in_flight_requests
        )
        registry.gauge("ochrespan_router_connections", "Connections of clients.", lambda: self.ingress.open_connections)
        registry.gauge("ochrespan_router_ready", "Whether new connections are welcome.", self.is_ready)
        registry.gauge("ochrespan_configuration_version", "The configuration in force.", lambda: self._version)

    def start(self) -> None:
        """Starts listening; requests are refused until there is a table."""
        self._readiness.start()
        self.ingress.start()
        log.info("listening front=%s:%d", *self.ingress.address[:2])

    def is_ready(self) -> bool:
        """Whether to accept new connections: there is a table, and the router is neither drained nor stopping."""
        return self._front.table is not None and not self._drained and not self._stopping

    def set_drained(self, drained: bool) -> None:
        """Drains the router for an operator, or activates it again; open connections are still served."""
        if drained != self._drained:
            self._drained = drained
            log.info("drained by an operator" if drained else "activated by an operator")

    def table_changed(self, table: FleetTable, change: FleetChange) -> None:
        """Applies a new table: updates routes, connection pools and the scheduler's servers as far as they changed."""
        self._version = table.version
        if self._front.table is None:
            self._front.set_first_table(RoutingTable(table.configuration))
        elif change.routes or change.tenants or change.limits:
            self._front.table = self._front.table.updated(table.configuration, change.routes, change.tenants)
        if change.version:
            log.info("configuration in force version=%d routes=%d", table.version, len(table.configuration.routes))
        services = change.instances | change.services
        if services or change.routers:
            servers = [server for name in services for server in servers_of(table, name)]
            self._pools.set_servers(servers, table.router_count, services)
            self._dispatcher.set_servers(servers, table.router_count, table.router_rank, services)

    def drain(self, times: DrainTimes) -> None:
        """Shuts down: becomes unready, serves for `accept_for_s`, waits for requests in flight, closes everything."""
        started = time.monotonic()
        self._stopping = True
        log.info(
            "stopping requests=%d connections=%d", self._dispatcher.in_flight_requests, self.ingress.open_connections
        )
        gevent.sleep(times.accept_for_s)
        self.ingress.drain()
        self.ingress.close()
        self._wait_for_clients(started + times.refuse_unsent_after_s)
        self._dispatcher.refuse_unsent()
        self._wait_for_clients(started + times.abort_after_s)
        log.info(
            "stopped requests=%d connections=%d", self._dispatcher.in_flight_requests, self.ingress.open_connections
        )
        self.ingress.abort_connections()
        self._pools.close()
        gevent.sleep(0)  # lets aborted requests close their connections to servers
        self._readiness.close()

    def _wait_for_clients(self, deadline: float) -> None:
        while self.ingress.open_connections and time.monotonic() < deadline:
            gevent.sleep(CLIENT_CHECK_INTERVAL_S)


def servers_of(table: FleetTable, name: str) -> list[Server]:
    """Converts the instances of a service to the scheduler's servers."""
    service = table.configuration.services.get(name)
    runtime = service.runtime if service is not None else {}
    return [
        Server(
            id=instance.id,
            service=name,
            address=parse_address(instance.address),
            zone=instance.zone,
            capacity=instance.capacity or runtime.get("capacity") or 1,
            kv_tokens=runtime.get("kv_tokens") or 0,
            draining=instance.state == DRAINING,
            slow_start_ends_at=instance.slow_start_ends_at,
            max_connections=(service.max_connections if service is not None else 0) or 0,
        )
        for instance in table.instances_of(name).values()
    ]
