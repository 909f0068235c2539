"""A process with many hollow routers: each runs the real feed client, and the real tables where that is asked for.

python -m benchmarks.hollow.router_process --count 100 --first 0 --seeds 127.0.1.1:7500 --tables
"""

from __future__ import annotations

import signal
import time
from collections import Counter

import defopt
import gevent
from gevent.event import Event

from ochrespan.control_plane.feed_client import FeedClient
from ochrespan.control_plane.fleet_table import FleetChange, FleetTable
from ochrespan.transport.tcp import parse_address

from .processes import tell
from .tables import router_node

START_SPREAD_S = 0.3


class RouterProcess:
    """The routers of this process, and how many of them have taken each version."""

    def __init__(self, count: int, first: int, seeds: list[str], tables: bool) -> None:
        self._count = count
        self._versions: Counter[int] = Counter()
        addresses = [parse_address(seed) for seed in seeds]
        self._clients = []
        for number in range(first, first + count):
            zone = f"zone-{number % 13}"
            take = router_node(zone).table_changed if tables else _ignore
            self._clients.append(FeedClient(f"router-{zone}-{number}", zone, addresses, self._watched(take)))

    def start(self) -> None:
        """Starts all routers within START_SPREAD_S."""
        for number, client in enumerate(self._clients):
            gevent.spawn_later(START_SPREAD_S * number / self._count, client.start)

    def _watched(self, take):
        def on_change(table: FleetTable, change: FleetChange) -> None:
            take(table, change)
            if change.version:
                self._versions[table.version] += 1
                if self._versions[table.version] == self._count:
                    tell(version=table.version, at=time.monotonic())

        return on_change


def _ignore(table: FleetTable, change: FleetChange) -> None:
    """A router without tables."""


def main(*, count: int, first: int, seeds: list[str], tables: bool = False) -> None:
    """Run hollow routers until SIGTERM.

    :param count: routers of this process
    :param first: the number of the first one
    :param seeds: where controllers listen for other processes
    :param tables: keep the tables of routes and servers too
    """
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    RouterProcess(count, first, seeds, tables).start()
    tell(started=count)
    ended.wait()


if __name__ == "__main__":
    defopt.run(main)
