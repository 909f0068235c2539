"""What one event costs the decision module, at 12 to 1,200 chunk servers, as ratios within one run.

    python -m benchmarks.module_cost [--servers 12 60 200 1200] [--rounds 15] [--events 2000]

Every size is timed in turn in each round, so that the ratios hold while the machine's speed drifts; the figure is the
median over the rounds of a size's time over that of the first size in the same round. A front works with the same
24 shards and 40 volumes whatever the size: the rest of the fleet is only known to it.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
from collections.abc import Callable

from ochrespan import interface as api
from ochrespan.policy.front import Scheduler

from .machine import machine

USED, VOLUMES = 24, 40
READ = api.RequestClass("read", latency_target=0.5, deadline=4.0, effect=api.Effect.SAFE)


class Front:
    """One module with a fleet of servers; each kind of event can be given to it again and again."""

    def __init__(self, servers: int) -> None:
        self.settings = api.Settings(
            seed=1,
            fronts=200,
            shards=servers,
            classes={"read": READ},
            plans={"gold": api.Plan("gold", reserve=50.0)},
            list_on_request=True,
            max_poll_interval=10.0,
            max_attempts=3,
            mean_units=2.0,
            max_units=8.0,
            slow_start_units=8.0,
            start_capacity=0.2,
            warm_up=16.0,
            overload_window=1.0,
        )
        self.now, self.count, self.lot = 1000.0, 0, random.Random(servers)
        self.head = Scheduler(self.settings, self.now)
        self.nodes = [api.NodeEntry(f"n{i}", shard=i) for i in range(servers)]
        self.head.handle(self.now, [api.NodeList(api.ListKind.FULL, self.nodes)])

    def served(self) -> None:
        """A request and its answer."""
        self.count += 1
        self.now += 0.003
        name, shard = f"r{self.count}", self.lot.randrange(min(USED, len(self.nodes)))
        volume = f"v{self.lot.randrange(VOLUMES)}"
        self.head.handle(self.now, [api.Request(name, volume, "read", "gold", 4.0, 2, shard, fronts=2)])
        report = {"queue": 0.0, "util": 0.5}
        self.head.handle(self.now, [api.Outcome(name, 0, f"n{shard}", api.Status.OK, 0.05, True, report)])

    def timer(self) -> None:
        """A look at what waits; every second the end of a round."""
        self.now += 0.02
        self.head.handle(self.now, [api.Timer(1)])

    def news(self) -> None:
        """One server drains and is listed again."""
        self.now += 0.003
        entry = self.nodes[self.count % len(self.nodes)]
        self.count += 1
        for state in (api.NodeState.DRAINING, api.NodeState.READY):
            changed = api.NodeEntry(entry.id, entry.shard, state)
            self.head.handle(self.now, [api.NodeList(api.ListKind.DELTA, [changed])])


EVENTS: dict[str, Callable[[Front], None]] = {
    "request and answer": Front.served,
    "timer": Front.timer,
    "list change": Front.news,
}


def main() -> None:
    parse = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parse.add_argument("--servers", type=int, nargs="+", default=[12, 60, 200, 1200])
    parse.add_argument("--rounds", type=int, default=15)
    parse.add_argument("--events", type=int, default=2000)
    told = parse.parse_args()
    print(machine())
    fronts = [Front(size) for size in told.servers]
    print("event".ljust(20), *(f"{size:>16}" for size in told.servers))
    for name, give in EVENTS.items():
        times: list[list[float]] = []
        for _ in range(told.rounds):
            row = []
            for front in fronts:
                began = time.process_time()
                for _ in range(told.events):
                    give(front)
                row.append((time.process_time() - began) / told.events)
            times.append(row)
        cells = []
        for i in range(len(fronts)):
            cost = statistics.median(row[i] for row in times) * 1e6
            cells.append(f"{cost:7.1f} us {statistics.median(row[i] / row[0] for row in times):5.2f}")
        print(name.ljust(20), *(f"{cell:>16}" for cell in cells))


if __name__ == "__main__":
    main()
