"""Many routers before modelled engines: the scheduler's decisions at sizes that sockets do not reach.

python -m benchmarks.fleet_model --routers 9 --servers 6 --seconds 40 --load 1.0
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import count
from math import exp, inf
from statistics import mean, stdev

from benchmarks.engine_model import Engine, EngineFigures, Work
from ochrespan.data_plane.front import MIN_SHARED_TOKENS
from ochrespan.data_plane.placement import shared_prefix
from ochrespan.data_plane.scheduler import Fail, Outcome, Refuse, Request, Scheduler, Send, Server

LINK_S = 0.001  # between a router and a server
READ_PRICE = 0.089  # worth, of 1,000 tokens of shared parts read
LATE_WORTH = 0.3  # part of its worth that a late answer earns
GIVE_UP_S = 2.0  # a client gives up after so long, or four times the aim if that is longer


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: how often, how large, how urgent."""

    name: str
    per_s: float  # by one server of the reference load
    aim: float
    timeout: float
    priority: int
    subjects: int
    shared: tuple[tuple[float, float, float], ...]  # mean, spread and most of each shared part's tokens
    own: tuple[float, float, float]
    out: tuple[float, float, float]
    worth: float
    safe: bool = False


INSPECTION = (
    Kind("lot-audit", 7.06 / 6, 1.0, 10, 1, 79, ((13300, 0.7, 39900),), (3720, 1.1, 53200), (120, 1.4, 480), 2),
    Kind(
        "shift-review", 5.71 / 6, 0.8, 6, 0, 96,
        ((2520, 0.4, 6290), (3780, 0.7, 11300)), (2890, 1.0, 39600), (52, 1.4, 208), 3, True,
    ),
    Kind(
        "defect-chat", 7.92 / 6, 0.5, 12, 2, 134,
        ((210, 0.4, 524), (140, 0.7, 419)), (1110, 1.0, 3790), (172, 0.9, 600), 1,
    ),
)  # fmt: skip


def log_normal(lot: random.Random, mean: float, spread: float, most: float) -> int:
    drawn = mean * exp(lot.gauss(0.0, spread) - spread * spread / 2)
    return max(1, int(min(most, drawn)))


def worth(request: Request, kind: Kind) -> float:
    """A generation's worth grows with its size, up to four times that of its kind."""
    mean = kind.own[0] + sum(part[0] for part in kind.shared) + 10 * kind.out[0]
    size = (request.tokens_in + 10 * request.tokens_out) / mean
    return kind.worth * min(4.0, 0.3 + 0.7 * size)


@dataclass(slots=True)
class Result:
    """What became of the requests of one kind."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    waits: list[float] = field(default_factory=list)
    owed: float = 0.0
    earned: float = 0.0

    def share(self) -> float:
        return self.in_aim / max(1, self.asked)


class FleetModel:
    """Routers, engines and clients in one queue of events."""

    def __init__(
        self, routers: int, servers: int, load: float, seed: int, kinds: tuple[Kind, ...] = INSPECTION,
        figures: EngineFigures | None = None, tenants: int = 5, hot: dict[str, float] | None = None,
        deals_homes: bool = False,
    ) -> None:  # fmt: skip
        """`hot`: by kind, the part of its requests about one subject; `deals_homes`: as the owner of a service does."""
        self.hot = hot or {}
        self.deals_homes = deals_homes
        self.placements: dict[str, str] = {}  # by shared prefix
        self.dealt: Counter[str] = Counter()  # tokens by server
        self.lot = random.Random(seed)
        self.kinds, self.load, self.tenants = kinds, load, tenants
        self.figures = figures or EngineFigures()
        self.events: list[tuple[float, int, object, tuple]] = []
        self.count = count()
        self.now = 0.0
        self.results: dict[str, Result] = defaultdict(Result)
        self.sent: Counter[str] = Counter()  # by server
        self.out: Counter[str] = Counter()  # by server
        self.most_out: Counter[str] = Counter()
        self.requests: dict[str, tuple[int, Request, Kind]] = {}
        self.sends: dict[str, tuple[str, float]] = {}  # the running attempt's server and its start
        self.stepping: set[str] = set()
        self.begun: set[str] = set()  # requests whose first piece has come
        self.over: set[str] = set()  # requests that ended without one
        self.sizes: dict[str, int] = {}
        self.last_use: dict[str, float] = {}
        self.engines = {f"i{number}": self._engine(f"i{number}") for number in range(servers)}
        self.table = [
            Server(name, "llm", ("10.0.0.1", 8000), f"z{number % 3}", self.figures.batch, self.figures.memory_tokens)
            for number, name in enumerate(self.engines)
        ]
        self.routers = [Scheduler(f"z{rank % 3}", seed + rank, 0.2, 58.0, 10.0) for rank in range(routers)]
        self.ticks = [inf] * routers
        for rank, router in enumerate(self.routers):
            self._act(rank, router.set_servers(0.0, self.table, routers, rank))

    def run(self, seconds: float) -> dict[str, Result]:
        for kind in self.kinds:
            self._after(0.0, self._arrive, kind, seconds)
        while self.events:
            at, _, call, arguments = heapq.heappop(self.events)
            self.now = max(self.now, at)
            call(*arguments)
        return self.results

    def _after(self, seconds: float, call, *arguments) -> None:
        heapq.heappush(self.events, (self.now + seconds, next(self.count), call, arguments))

    def _at(self, at: float, call, *arguments) -> None:
        heapq.heappush(self.events, (at, next(self.count), call, arguments))

    # clients

    def _arrive(self, kind: Kind, until: float) -> None:
        if self.now >= until:
            return
        rate = kind.per_s * self.load * len(self.engines)
        self._after(self.lot.expovariate(rate), self._arrive, kind, until)
        rank = self.lot.randrange(len(self.routers))
        request = self._request(kind)
        self.requests[request.id] = (rank, request, kind)
        self._after(max(GIVE_UP_S, 4 * kind.aim), self._give_up, request.id)
        self.results[kind.name].asked += 1
        self.results[kind.name].owed += worth(request, kind)
        self._act(rank, self.routers[rank].submit(self.now, request))

    def _request(self, kind: Kind) -> Request:
        name = f"r{next(self.count)}"
        scale = max(1, len(self.engines) // 6)
        subject = int(kind.subjects * scale * self.lot.random() ** 1.3)
        if self.lot.random() < self.hot.get(kind.name, 0.0):
            subject = 0
        parts = []
        for depth, size in enumerate(kind.shared):
            last = depth + 1 == len(kind.shared)
            part = f"{kind.name}-{depth}-{subject if last else subject % 4}"
            if part not in self.sizes:
                self.sizes[part] = log_normal(self.lot, *size)
            parts.append((part, self.sizes[part]))
        parts.append((name, log_normal(self.lot, *kind.own)))
        home, is_new = self._home(parts) if self.deals_homes else ("", False)
        return Request(
            id=name, service="llm", tenant=f"t{self.lot.randrange(self.tenants)}", route=kind.name,
            priority=kind.priority, safe=False, resumable=kind.safe, streaming=True, latency_target_s=kind.aim,
            deadline=self.now + kind.timeout, max_servers=1, tokens_in=sum(tokens for _, tokens in parts),
            tokens_out=log_normal(self.lot, *kind.out), prefix=tuple(parts), arrived_at=self.now,
            affinity_server_id=home, is_prefix_uncached=is_new,
        )  # fmt: skip

    def _home(self, parts: list[tuple[str, int]]) -> tuple[str, bool]:
        """The server that keeps the shared parts, the one with the fewest tokens at first; and whether that is new."""
        shared = sum(tokens for _, tokens in parts[:-1])
        if shared < MIN_SHARED_TOKENS:
            return "", False
        key = shared_prefix(parts)
        if key in self.placements:
            return self.placements[key], False
        home = min(self.engines, key=lambda name: (self.dealt[name], name))
        self.placements[key], self.dealt[home] = home, self.dealt[home] + shared
        return home, True

    # routers

    def _act(self, rank: int, actions) -> None:
        for action in actions or ():
            _, request, kind = self.requests[action.request_id]
            match action:
                case Send():
                    self._send(request, action)
                case Refuse():
                    self.over.add(request.id)
                    self.results[kind.name].refused += 1
                case Fail():
                    self.over.add(request.id)
                    self.results[kind.name].failed += 1
        at = self.routers[rank].next_tick(self.now)
        if at < self.ticks[rank]:
            self.ticks[rank] = at
            self._at(max(at, self.now), self._tick, rank)

    def _tick(self, rank: int) -> None:
        self.ticks[rank] = inf
        self._act(rank, self.routers[rank].tick(self.now))

    def _send(self, request: Request, send: Send) -> None:
        self.sends[request.id] = (send.server_id, self.now)
        self.sent[send.server_id] += 1
        self.out[send.server_id] += 1
        self.most_out[send.server_id] = max(self.most_out[send.server_id], self.out[send.server_id])
        work = Work(request.id, request.prefix, request.tokens_out, send.priority, self.now)
        self._after(LINK_S, self._reach, send.server_id, work)

    def _give_up(self, request_id: str) -> None:
        """The client leaves when no first piece has come."""
        rank, request, kind = self.requests[request_id]
        if request_id in self.begun or request_id in self.over:
            return
        self.over.add(request_id)
        self.results[kind.name].failed += 1
        if request_id in self.sends:
            self.engines[self.sends[request_id][0]].drop(request_id)
            self.out[self.sends[request_id][0]] -= 1
        self._act(rank, self.routers[rank].cancel(self.now, request_id))

    # engines

    def _engine(self, name: str) -> Engine:
        def on_first(at: float, request_id: str) -> None:
            self._at(at + LINK_S, self._first, request_id)

        def on_end(at: float, request_id: str) -> None:
            self._at(at + LINK_S, self._end, request_id, Outcome.DONE)

        speed = (1.0, 1.0, 1.3)[int(name[1:]) % 3]
        return Engine(self.figures, on_first, on_end, speed, last_use=self.last_use)

    def _reach(self, name: str, work: Work) -> None:
        if not self.engines[name].offer(self.now, work):
            self._after(LINK_S, self._end, work.id, Outcome.REJECTED_FULL)
        elif name not in self.stepping:
            self.stepping.add(name)
            self._step(name)

    def _step(self, name: str) -> None:
        engine = self.engines[name]
        if not engine.busy:
            self.stepping.discard(name)
            return
        engine.now = self.now
        self._at(engine.step(), self._step, name)

    def _first(self, request_id: str) -> None:
        rank, request, kind = self.requests[request_id]
        if request_id in self.over:
            return
        self.begun.add(request_id)
        result, wait = self.results[kind.name], self.now - request.arrived_at
        result.waits.append(wait)
        if wait <= kind.aim:
            result.in_aim += 1
        else:
            result.late += 1
        result.earned += worth(request, kind) * (1.0 if wait <= kind.aim else LATE_WORTH)
        self.routers[rank].first_event(self.now, request_id, self.now - self.sends[request_id][1])

    def _end(self, request_id: str, outcome: Outcome) -> None:
        rank, _, _ = self.requests[request_id]
        if request_id in self.over:
            return
        self.out[self.sends[request_id][0]] -= 1
        self._act(rank, self.routers[rank].ended(self.now, request_id, outcome))


def report(model: FleetModel) -> str:
    columns = ("asked", "in aim", "late", "refused", "failed", "p50 ms", "p99 ms")
    lines = [f"{'kind':14} " + " ".join(f"{column:>7}" for column in columns)]
    for name, result in sorted(model.results.items()):
        waits = sorted(result.waits) or [0.0]
        lines.append(
            f"{name:14} {result.asked:7} {result.share():7.3f} {result.late:7} {result.refused:7} {result.failed:7} "
            f"{1e3 * waits[len(waits) // 2]:7.0f} {1e3 * waits[int(len(waits) * 0.99)]:7.0f}"
        )
    counts = [engine.counts for engine in model.engines.values()]
    read, again = sum(c.read for c in counts), sum(c.read_again for c in counts)
    sent = sorted(model.sent.values())
    owed, earned = (sum(getattr(r, part) for r in model.results.values()) for part in ("owed", "earned"))
    lines.append(f"worth {earned / owed:.4f} less {READ_PRICE * again / 1e3 / owed:.4f} for shared parts read again")
    lines.append(f"read {read} tokens, shared {again} again, kept {sum(c.kept for c in counts)}")
    lines.append(f"sent by server: least {sent[0]}, most {sent[-1]}; most out {max(model.most_out.values())}")
    return "\n".join(lines)


def worth_of(model: FleetModel) -> float:
    """The part of the worth owed that was earned, less the price of shared parts that were read again."""
    owed = sum(result.owed for result in model.results.values())
    again = sum(engine.counts.read_again for engine in model.engines.values())
    return (sum(result.earned for result in model.results.values()) - READ_PRICE * again / 1e3) / owed


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--routers", type=int, default=9)
    parser.add_argument("--servers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--load", type=float, nargs="+", default=[1.0], help="multiples of the reference load")
    parser.add_argument("--seeds", type=int, default=1, help="plays of each load; their mean and its 95 %% interval")
    given = parser.parse_args()
    for load in given.load:
        worths = []
        for seed in range(given.seeds):
            model = FleetModel(given.routers, given.servers, load, seed)
            model.run(given.seconds)
            worths.append(worth_of(model))
        if given.seeds == 1:
            print(report(model))
            continue
        half = 1.96 * stdev(worths) / given.seeds**0.5
        print(f"routers {given.routers} servers {given.servers} load {load:g}: {mean(worths):.4f} +- {half:.4f}")


if __name__ == "__main__":
    main()
