"""What a request costs a router's scheduler by the servers of its service, and what the scheduler remembers."""

from __future__ import annotations

import random

from ochrespan.data_plane.decisions import Outcome, Request, Send, Server
from ochrespan.data_plane.scheduler import Scheduler

from .meter import bytes_held, microseconds
from .series import Series

SERVICE = "model-0"
CAPACITY = 128
REQUESTS_PER_S = 16.0  # of one router, with 7,700 a second at 490 routers
RUNNING = 32  # requests that are out at any time
HOT_PREFIXES = 200


def servers(count: int) -> list[Server]:
    """The servers of one service."""
    return [
        Server(
            id=f"i-{number:08x}",
            service=SERVICE,
            address=("10.128.0.1", number + 1),
            zone=f"zone-{number % 13}",
            capacity=CAPACITY,
            kv_tokens=598_962,
            max_connections=610,
        )
        for number in range(count)
    ]


class HollowScheduler:
    """One router's scheduler, with requests that are served in the order in which they came."""

    def __init__(self, server_count: int, routers: int, prefixes: int, seed: int = 1) -> None:
        self.scheduler = Scheduler("zone-0", seed, 0.2, 50, 10)
        self.servers = servers(server_count)
        self.now = 1000.0
        self.sent = 0
        self._random = random.Random(seed)
        self._prefixes = prefixes
        self._out: list[str] = []
        self._number = 0
        self.scheduler.set_servers(self.now, self.servers, routers, 0)

    def request(self) -> None:
        """One request comes, and the oldest one that is out ends."""
        self.now += 1 / REQUESTS_PER_S
        self._number += 1
        prefix = f"{self._random.randrange(self._prefixes):08x}"
        request = Request(
            id=str(self._number),
            service=SERVICE,
            tenant=f"tenant-{self._number % 50}",
            route="route-0",
            priority=0,
            safe=False,
            resumable=False,
            streaming=True,
            aim=0.8,
            deadline=self.now + 15,
            max_servers=2,
            tokens_in=1460,
            tokens_out=80,
            prefix=((prefix, 1000), (str(self._number), 460)),
            arrived=self.now,
        )
        for action in self.scheduler.submit(self.now, request):
            if isinstance(action, Send):
                self.sent += 1
                self._out.append(action.request_id)
                self.scheduler.first_event(self.now, action.request_id, 0.1)
        if len(self._out) > RUNNING:
            self.scheduler.ended(self.now, self._out.pop(0), Outcome.DONE)
        if self.scheduler.next_tick(self.now) <= self.now:
            self.scheduler.tick(self.now)


def request_series(sizes: list[int], routers: int) -> list[Series]:
    """By the servers of the service: a request from its arrival to its end, with hot and with rare prefixes."""
    hot, rare = [], []
    for size in sizes:
        few, many = HollowScheduler(size, routers, HOT_PREFIXES), HollowScheduler(size, routers, 2_000_000)
        for _ in range(2 * HOT_PREFIXES):
            few.request()
        hot.append((size, microseconds(few.request, 100)))
        rare.append((size, microseconds(many.request, 100)))
    return [
        Series.of(f"scheduler: a request, {HOT_PREFIXES} prefixes in turn", "us", "servers of the service", hot),
        Series.of("scheduler: a request, 2 million prefixes in turn", "us", "servers of the service", rare),
    ]


def memory_series(requests: list[int], server_count: int, routers: int) -> list[Series]:
    """By the requests that a router has served, each with a prefix of its own: what the scheduler holds."""

    def served(count: int) -> HollowScheduler:
        hollow = HollowScheduler(server_count, routers, 2_000_000_000)
        for _ in range(count):
            hollow.request()
        return hollow

    pairs = [(count, bytes_held(lambda: served(count))) for count in requests]  # noqa: B023
    return [Series.of("scheduler: memory, a prefix of its own for each request", "B", "requests served", pairs)]
