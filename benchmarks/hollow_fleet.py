"""Slopes of the fleet's control: what members, groups, feeds, tables, orders, heartbeats and quotas cost by size.

    python -m benchmarks.hollow_fleet PART [--sizes 9 50 100 200 490]

Hundreds of routers and thousands of servers share a few processes and run the real control code and messages. The
parts `members` and `groups` run on a virtual clock over a model network, the others call the code of one process, and
`live` and `beats` join hollow routers and servers to real controller processes on loopback. Each line of the output is
one figure: its values by size, the straight line through them, the power of the size with which it grows, and what the
line gives at the target size. Processor times are of the machine that measures.
"""

from __future__ import annotations

import defopt

from .hollow import feeds, groups, live, members, orders, quotas, schedulers, tables
from .hollow.series import Series
from .machine import machine

ROUTERS = [9, 50, 100, 200, 490]
SERVERS = [60, 600, 2000, 5900]
SERVERS_OF_A_SERVICE = [6, 60, 180, 536]
ROUTES = [10, 100, 1000, 5000]
TENANTS = [10, 100, 1000, 4500]
CONTROLLERS = [3, 5, 9, 24]
TARGET_MEMBERS = 514
TARGET_ROUTERS = 490
TARGET_SERVERS_OF_A_SHARD = 1475
REQUESTS_OF_A_DAY = 1_360_000  # of one router
REQUESTS = [2000, 8000, 32000, 64000]
SERVICE_SERVERS = 60


def _print(series: list[Series], target: float | None) -> None:
    for each in series:
        print(each.text(target), flush=True)


def membership(*, sizes: list[int] = ROUTERS, steady_s: float = members.STEADY_S) -> None:
    """SWIM members: 24 controllers and so many routers, on a virtual clock.

    :param sizes: counts of routers
    :param steady_s: virtual seconds of the steady part
    """
    _print(members.series([members.measure(size, steady_s=steady_s) for size in sizes]), TARGET_MEMBERS)


def replicas(*, sizes: list[int] = CONTROLLERS) -> None:
    """Replica groups of so many controllers, on a virtual clock.

    :param sizes: counts of controllers
    """
    _print(groups.series([groups.measure(size) for size in sizes]), max(CONTROLLERS))


def feed(*, sizes: list[int] = ROUTERS) -> None:
    """The feed of one controller by its routers, and what controllers tell each other.

    :param sizes: counts of routers
    """
    _print(feeds.router_series(sizes), TARGET_ROUTERS)
    _print(feeds.start_series(sizes, routes=1000, tenants=4500, servers=5900), TARGET_ROUTERS)
    _print(feeds.controller_series([3, 6, 12, 24], routers=max(sizes)), max(CONTROLLERS))


def table(*, routes: list[int] = ROUTES, tenants: list[int] = TENANTS, servers: list[int] = SERVERS) -> None:
    """A router's tables.

    :param routes: counts of routes
    :param tenants: counts of tenants
    :param servers: counts of servers
    """
    _print(tables.configuration_series(routes, tenants=0), max(ROUTES))
    _print(tables.tenant_series(tenants, routes=100), max(TENANTS))
    _print(tables.instance_series(servers), max(SERVERS))


def order(*, routes: list[int] = ROUTES) -> None:
    """Orders of the operator at a controller.

    :param routes: counts of routes
    """
    _print(orders.order_series(routes, tenants=0), max(ROUTES))
    _print(orders.change_series([1, *routes]), max(ROUTES))


def owner(*, servers: list[int] = SERVERS) -> None:
    """Heartbeats at the owner of a shard, in its process.

    :param servers: counts of servers of the shard
    """
    _print(orders.heartbeat_series(servers), TARGET_SERVERS_OF_A_SHARD)
    for name, value in orders.heartbeat_parts():
        print(f"heartbeat: {name}: {value:.1f}")


def quota(*, tenants: list[int] = TENANTS) -> None:
    """Quotas at both ends.

    :param tenants: counts of tenants
    """
    _print(quotas.series(tenants, TARGET_ROUTERS), max(TENANTS))
    for name, value in quotas.calls(max(tenants)):
        print(f"quota: {name}: {value:.1f}")


def scheduler(*, servers: list[int] = SERVERS_OF_A_SERVICE, requests: list[int] = REQUESTS) -> None:
    """A router's scheduler by the servers of a service, and its memory by the requests it has served.

    :param servers: counts of servers of one service
    :param requests: counts of requests
    """
    _print(schedulers.request_series(servers, TARGET_ROUTERS), max(SERVERS_OF_A_SERVICE))
    _print(schedulers.memory_series(requests, SERVICE_SERVERS, TARGET_ROUTERS), REQUESTS_OF_A_DAY)


def live_feed(
    *, sizes: list[int] = ROUTERS, controllers: int = 3, routes: int = 1000, tenants: int = 500, tables: bool = False
) -> None:
    """Hollow routers at real controllers: their start, their rest, and changes of one route.

    :param sizes: counts of routers
    :param controllers: real controller processes
    :param routes: routes of the configuration
    :param tenants: tenants of the configuration
    :param tables: routers keep their tables of routes and servers too
    """
    _print(live.series([live.measure(size, controllers, routes, tenants, tables) for size in sizes]), TARGET_ROUTERS)


def live_beats(*, rates: list[int] = [25, 50, 100, 200], controllers: int = 3) -> None:  # noqa: B006
    """Heartbeats of hollow servers at real controllers, over HTTP.

    :param rates: heartbeats a second
    :param controllers: real controller processes
    """
    _print(live.heartbeat_series([live.measure_heartbeats(rate, controllers) for rate in rates]), None)


def main() -> None:
    """The command line."""
    print(machine())
    defopt.run([membership, replicas, feed, table, order, owner, quota, scheduler, live_feed, live_beats])


if __name__ == "__main__":
    main()
