"""A simulation of many routers and modelled engines: the scheduler at fleet sizes that real processes cannot reach.

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

from benchmarks.engine_model import Engine, EngineParameters, Work
from ochrespan.data_plane.front import MIN_SHARED_TOKENS
from ochrespan.data_plane.placement import shared_prefix
from ochrespan.data_plane.scheduler import Fail, Outcome, Refuse, Request, Scheduler, Send, Server

LINK_S = 0.001  # between a router and a server
REPEATED_PREFILL_COST = 0.089  # in units of value, per 1,000 tokens of shared segments that are prefilled repeatedly
LATE_VALUE_FRACTION = 0.3  # fraction of its value that a late response earns
MIN_GIVE_UP_S = 2.0  # a client gives up after this time, or four latency targets if that is longer


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request: its rate, sizes, latency target and priority. Sizes are (mean, spread, maximum) in tokens."""

    name: str
    requests_per_s_per_server: float  # at the reference load
    latency_target_s: float
    timeout_s: float
    priority: int
    topics: int
    shared_segments: tuple[tuple[float, float, float], ...]  # of each prefix segment that requests share
    own_tokens: tuple[float, float, float]
    output_tokens: tuple[float, float, float]
    value: float
    resumable: bool = False


INSPECTION_KINDS = (
    RequestKind("lot-audit", 7.06 / 6, 1.0, 10, 1, 79, ((13300, 0.7, 39900),), (3720, 1.1, 53200), (120, 1.4, 480), 2),
    RequestKind(
        "shift-review", 5.71 / 6, 0.8, 6, 0, 96,
        ((2520, 0.4, 6290), (3780, 0.7, 11300)), (2890, 1.0, 39600), (52, 1.4, 208), 3, True,
    ),
    RequestKind(
        "defect-chat", 7.92 / 6, 0.5, 12, 2, 134,
        ((210, 0.4, 524), (140, 0.7, 419)), (1110, 1.0, 3790), (172, 0.9, 600), 1,
    ),
)  # fmt: skip


def log_normal(random_source: random.Random, mean: float, spread: float, maximum: float) -> int:
    sample = mean * exp(random_source.gauss(0.0, spread) - spread * spread / 2)
    return max(1, int(min(maximum, sample)))


def request_value(request: Request, kind: RequestKind) -> float:
    """The value of a request: grows with its size, up to four times the value of its kind."""
    mean = kind.own_tokens[0] + sum(segment[0] for segment in kind.shared_segments) + 10 * kind.output_tokens[0]
    size = (request.tokens_in + 10 * request.tokens_out) / mean
    return kind.value * min(4.0, 0.3 + 0.7 * size)


@dataclass(slots=True)
class Result:
    """The outcomes of the requests of one kind."""

    arrivals: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    waits_s: list[float] = field(default_factory=list)
    offered_value: float = 0.0
    earned_value: float = 0.0

    def in_time_fraction(self) -> float:
        return self.in_time / max(1, self.arrivals)


class FleetModel:
    """A discrete-event simulation of routers, engines and clients."""

    def __init__(
        self, routers: int, servers: int, load: float, seed: int, kinds: tuple[RequestKind, ...] = INSPECTION_KINDS,
        parameters: EngineParameters | None = None, tenants: int = 5, hot_topics: dict[str, float] | None = None,
        assigns_affinity: bool = False,
    ) -> None:  # fmt: skip
        """`hot_topics`: by kind, the fraction of its requests with the same topic and so the same shared segments.

        `assigns_affinity`: whether requests carry an affinity server, as the owner of a service assigns it.
        """
        self.hot_topics = hot_topics or {}
        self.assigns_affinity = assigns_affinity
        self.placements: dict[str, str] = {}  # server by shared prefix
        self.assigned_tokens: Counter[str] = Counter()  # tokens of shared prefixes by server
        self.random_source = random.Random(seed)
        self.kinds, self.load, self.tenants = kinds, load, tenants
        self.parameters = parameters or EngineParameters()
        self.events: list[tuple[float, int, object, tuple]] = []
        self.sequence = count()
        self.now = 0.0
        self.results: dict[str, Result] = defaultdict(Result)
        self.sent: Counter[str] = Counter()  # by server
        self.in_flight: Counter[str] = Counter()  # by server
        self.max_in_flight: Counter[str] = Counter()
        self.requests: dict[str, tuple[int, Request, RequestKind]] = {}
        self.attempts: dict[str, tuple[str, float]] = {}  # server and start of the latest attempt, by request
        self.stepping: set[str] = set()
        self.started: set[str] = set()  # requests whose first event has arrived
        self.unserved: set[str] = set()  # requests that ended without a first event
        self.sizes: dict[str, int] = {}
        self.last_used_at: dict[str, float] = {}
        self.engines = {f"i{number}": self._make_engine(f"i{number}") for number in range(servers)}
        self.table = [
            Server(
                name,
                "llm",
                ("10.0.0.1", 8000),
                f"z{number % 3}",
                self.parameters.batch,
                self.parameters.cache_capacity_tokens,
            )
            for number, name in enumerate(self.engines)
        ]
        self.routers = [Scheduler(f"z{rank % 3}", seed + rank, 0.2, 58.0, 10.0) for rank in range(routers)]
        self.ticks = [inf] * routers
        for rank, router in enumerate(self.routers):
            self._apply_actions(rank, router.set_servers(0.0, self.table, routers, rank))

    def run(self, seconds: float) -> dict[str, Result]:
        for kind in self.kinds:
            self._schedule_after(0.0, self._arrive, kind, seconds)
        while self.events:
            at, _, callback, arguments = heapq.heappop(self.events)
            self.now = max(self.now, at)
            callback(*arguments)
        return self.results

    def _schedule_after(self, seconds: float, callback, *arguments) -> None:
        heapq.heappush(self.events, (self.now + seconds, next(self.sequence), callback, arguments))

    def _schedule_at(self, at: float, callback, *arguments) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), callback, arguments))

    # clients

    def _arrive(self, kind: RequestKind, until: float) -> None:
        if self.now >= until:
            return
        arrivals_per_s = kind.requests_per_s_per_server * self.load * len(self.engines)
        self._schedule_after(self.random_source.expovariate(arrivals_per_s), self._arrive, kind, until)
        rank = self.random_source.randrange(len(self.routers))
        request = self._make_request(kind)
        self.requests[request.id] = (rank, request, kind)
        self._schedule_after(max(MIN_GIVE_UP_S, 4 * kind.latency_target_s), self._give_up, request.id)
        self.results[kind.name].arrivals += 1
        self.results[kind.name].offered_value += request_value(request, kind)
        self._apply_actions(rank, self.routers[rank].submit(self.now, request))

    def _make_request(self, kind: RequestKind) -> Request:
        name = f"r{next(self.sequence)}"
        scale = max(1, len(self.engines) // 6)
        topic = int(kind.topics * scale * self.random_source.random() ** 1.3)
        if self.random_source.random() < self.hot_topics.get(kind.name, 0.0):
            topic = 0
        segments = []
        for depth, size in enumerate(kind.shared_segments):
            last = depth + 1 == len(kind.shared_segments)
            segment = f"{kind.name}-{depth}-{topic if last else topic % 4}"
            if segment not in self.sizes:
                self.sizes[segment] = log_normal(self.random_source, *size)
            segments.append((segment, self.sizes[segment]))
        segments.append((name, log_normal(self.random_source, *kind.own_tokens)))
        server_id, is_new = self._affinity_server(segments) if self.assigns_affinity else ("", False)
        return Request(
            id=name, service="llm", tenant=f"t{self.random_source.randrange(self.tenants)}", route=kind.name,
            priority=kind.priority, safe=False, resumable=kind.resumable, streaming=True,
            latency_target_s=kind.latency_target_s, deadline=self.now + kind.timeout_s, max_servers=1,
            tokens_in=sum(tokens for _, tokens in segments),
            tokens_out=log_normal(self.random_source, *kind.output_tokens), prefix=tuple(segments), arrived_at=self.now,
            affinity_server_id=server_id, is_prefix_uncached=is_new,
        )  # fmt: skip

    def _affinity_server(self, segments: list[tuple[str, int]]) -> tuple[str, bool]:
        """The server assigned to the shared segments, or else the one with the fewest tokens; and whether it is new."""
        shared = sum(tokens for _, tokens in segments[:-1])
        if shared < MIN_SHARED_TOKENS:
            return "", False
        key = shared_prefix(segments)
        if key in self.placements:
            return self.placements[key], False
        server_id = min(self.engines, key=lambda name: (self.assigned_tokens[name], name))
        self.placements[key], self.assigned_tokens[server_id] = server_id, self.assigned_tokens[server_id] + shared
        return server_id, True

    # routers

    def _apply_actions(self, rank: int, actions) -> None:
        for action in actions or ():
            _, request, kind = self.requests[action.request_id]
            match action:
                case Send():
                    self._send(request, action)
                case Refuse():
                    self.unserved.add(request.id)
                    self.results[kind.name].refused += 1
                case Fail():
                    self.unserved.add(request.id)
                    self.results[kind.name].failed += 1
        at = self.routers[rank].next_tick(self.now)
        if at < self.ticks[rank]:
            self.ticks[rank] = at
            self._schedule_at(max(at, self.now), self._tick, rank)

    def _tick(self, rank: int) -> None:
        self.ticks[rank] = inf
        self._apply_actions(rank, self.routers[rank].tick(self.now))

    def _send(self, request: Request, send: Send) -> None:
        self.attempts[request.id] = (send.server_id, self.now)
        self.sent[send.server_id] += 1
        self.in_flight[send.server_id] += 1
        self.max_in_flight[send.server_id] = max(self.max_in_flight[send.server_id], self.in_flight[send.server_id])
        work = Work(request.id, request.prefix, request.tokens_out, send.priority, self.now)
        self._schedule_after(LINK_S, self._deliver, send.server_id, work)

    def _give_up(self, request_id: str) -> None:
        """The client cancels its request if no first event has arrived."""
        rank, request, kind = self.requests[request_id]
        if request_id in self.started or request_id in self.unserved:
            return
        self.unserved.add(request_id)
        self.results[kind.name].failed += 1
        if request_id in self.attempts:
            self.engines[self.attempts[request_id][0]].cancel(request_id)
            self.in_flight[self.attempts[request_id][0]] -= 1
        self._apply_actions(rank, self.routers[rank].cancel(self.now, request_id))

    # engines

    def _make_engine(self, name: str) -> Engine:
        def on_first_event(at: float, request_id: str) -> None:
            self._schedule_at(at + LINK_S, self._on_first_event, request_id)

        def on_end(at: float, request_id: str) -> None:
            self._schedule_at(at + LINK_S, self._on_end, request_id, Outcome.DONE)

        speed = (1.0, 1.0, 1.3)[int(name[1:]) % 3]
        return Engine(self.parameters, on_first_event, on_end, speed, last_used_at=self.last_used_at)

    def _deliver(self, name: str, work: Work) -> None:
        if not self.engines[name].offer(self.now, work):
            self._schedule_after(LINK_S, self._on_end, work.id, Outcome.REJECTED_FULL)
        elif name not in self.stepping:
            self.stepping.add(name)
            self._step(name)

    def _step(self, name: str) -> None:
        engine = self.engines[name]
        if not engine.busy:
            self.stepping.discard(name)
            return
        engine.now = self.now
        self._schedule_at(engine.step(), self._step, name)

    def _on_first_event(self, request_id: str) -> None:
        rank, request, kind = self.requests[request_id]
        if request_id in self.unserved:
            return
        self.started.add(request_id)
        result, wait = self.results[kind.name], self.now - request.arrived_at
        result.waits_s.append(wait)
        if wait <= kind.latency_target_s:
            result.in_time += 1
        else:
            result.late += 1
        result.earned_value += request_value(request, kind) * (
            1.0 if wait <= kind.latency_target_s else LATE_VALUE_FRACTION
        )
        self.routers[rank].first_event(self.now, request_id, self.now - self.attempts[request_id][1])

    def _on_end(self, request_id: str, outcome: Outcome) -> None:
        rank, _, _ = self.requests[request_id]
        if request_id in self.unserved:
            return
        self.in_flight[self.attempts[request_id][0]] -= 1
        self._apply_actions(rank, self.routers[rank].ended(self.now, request_id, outcome))


def report(model: FleetModel) -> str:
    columns = ("asked", "in aim", "late", "refused", "failed", "p50 ms", "p99 ms")
    lines = [f"{'kind':14} " + " ".join(f"{column:>7}" for column in columns)]
    for name, result in sorted(model.results.items()):
        waits_s = sorted(result.waits_s) or [0.0]
        lines.append(
            f"{name:14} {result.arrivals:7} {result.in_time_fraction():7.3f} {result.late:7} {result.refused:7} "
            f"{result.failed:7} "
            f"{1e3 * waits_s[len(waits_s) // 2]:7.0f} {1e3 * waits_s[int(len(waits_s) * 0.99)]:7.0f}"
        )
    counts = [engine.counts for engine in model.engines.values()]
    prefill_tokens, repeated_tokens = (
        sum(c.prefill_tokens for c in counts),
        sum(c.repeated_prefill_tokens for c in counts),
    )
    sent = sorted(model.sent.values())
    offered_value, earned_value = (
        sum(getattr(r, field_name) for r in model.results.values()) for field_name in ("offered_value", "earned_value")
    )
    lines.append(
        f"worth {earned_value / offered_value:.4f} less "
        f"{REPEATED_PREFILL_COST * repeated_tokens / 1e3 / offered_value:.4f} for shared parts read again"
    )
    lines.append(
        f"read {prefill_tokens} tokens, shared {repeated_tokens} again, kept {sum(c.cached_tokens for c in counts)}"
    )
    lines.append(f"sent by server: least {sent[0]}, most {sent[-1]}; most out {max(model.max_in_flight.values())}")
    return "\n".join(lines)


def earned_fraction(model: FleetModel) -> float:
    """The fraction of the offered value that was earned, less the cost of repeated prefills of shared segments."""
    offered_value = sum(result.offered_value for result in model.results.values())
    repeated_tokens = sum(engine.counts.repeated_prefill_tokens for engine in model.engines.values())
    return (
        sum(result.earned_value for result in model.results.values()) - REPEATED_PREFILL_COST * repeated_tokens / 1e3
    ) / offered_value


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--routers", type=int, default=9)
    parser.add_argument("--servers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--load", type=float, nargs="+", default=[1.0], help="multiples of the reference load")
    parser.add_argument(
        "--seeds", type=int, default=1, help="runs of each load; prints the mean and its 95 %% interval"
    )
    options = parser.parse_args()
    for load in options.load:
        values = []
        for seed in range(options.seeds):
            model = FleetModel(options.routers, options.servers, load, seed)
            model.run(options.seconds)
            values.append(earned_fraction(model))
        if options.seeds == 1:
            print(report(model))
            continue
        half_width = 1.96 * stdev(values) / options.seeds**0.5
        print(
            f"routers {options.routers} servers {options.servers} load {load:g}: {mean(values):.4f} +- {half_width:.4f}"
        )


if __name__ == "__main__":
    main()
