"""Processor time per event of the scheduler, for 12 to 1,200 chunk servers, as ratios within one run.

    python -m benchmarks.module_cost [--servers 12 60 200 1200] [--rounds 15] [--events 2000]

Every size is timed in turn in each round, so that the ratios hold while the machine's speed drifts; printed is the
median over the rounds of the ratio to the first size in the same round. Requests use the same 24 shards and 40 volumes
at each size; the other servers are only in the scheduler's list.
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

USED_SHARDS, VOLUME_COUNT = 24, 40
READ = api.RequestClass("read", latency_target=0.5, deadline=4.0, effect=api.Effect.SAFE)


class Front:
    """One scheduler with a fleet of servers, and a method for each kind of event."""

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
        self.now, self.event_count, self.random_source = 1000.0, 0, random.Random(servers)
        self.scheduler = Scheduler(self.settings, self.now)
        self.nodes = [api.NodeEntry(f"n{i}", shard=i) for i in range(servers)]
        self.scheduler.handle(self.now, [api.NodeList(api.ListKind.FULL, self.nodes)])

    def request_and_response(self) -> None:
        """A request and its outcome."""
        self.event_count += 1
        self.now += 0.003
        name, shard = f"r{self.event_count}", self.random_source.randrange(min(USED_SHARDS, len(self.nodes)))
        volume = f"v{self.random_source.randrange(VOLUME_COUNT)}"
        self.scheduler.handle(self.now, [api.Request(name, volume, "read", "gold", 4.0, 2, shard, fronts=2)])
        report = {"queue": 0.0, "util": 0.5}
        self.scheduler.handle(self.now, [api.Outcome(name, 0, f"n{shard}", api.Status.OK, 0.05, True, report)])

    def timer(self) -> None:
        """A timer event every 20 ms: checks waiting requests, and ends a round every second."""
        self.now += 0.02
        self.scheduler.handle(self.now, [api.Timer(1)])

    def list_change(self) -> None:
        """One server is listed as draining, then as ready again."""
        self.now += 0.003
        entry = self.nodes[self.event_count % len(self.nodes)]
        self.event_count += 1
        for state in (api.NodeState.DRAINING, api.NodeState.READY):
            changed = api.NodeEntry(entry.id, entry.shard, state)
            self.scheduler.handle(self.now, [api.NodeList(api.ListKind.DELTA, [changed])])


EVENTS: dict[str, Callable[[Front], None]] = {
    "request and answer": Front.request_and_response,
    "timer": Front.timer,
    "list change": Front.list_change,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--servers", type=int, nargs="+", default=[12, 60, 200, 1200])
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--events", type=int, default=2000)
    options = parser.parse_args()
    print(machine())
    fronts = [Front(size) for size in options.servers]
    print("event".ljust(20), *(f"{size:>16}" for size in options.servers))
    for name, handle_event in EVENTS.items():
        times: list[list[float]] = []
        for _ in range(options.rounds):
            row = []
            for front in fronts:
                started_at = time.process_time()
                for _ in range(options.events):
                    handle_event(front)
                row.append((time.process_time() - started_at) / options.events)
            times.append(row)
        cells = []
        for i in range(len(fronts)):
            cost = statistics.median(row[i] for row in times) * 1e6
            cells.append(f"{cost:7.1f} us {statistics.median(row[i] / row[0] for row in times):5.2f}")
        print(name.ljust(20), *(f"{cell:>16}" for cell in cells))


if __name__ == "__main__":
    main()
