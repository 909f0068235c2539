"""Where value is lost: the cause for each request, by kind and by time window, from routers' decision records.

    python -m benchmarks.worth_lost SITE LOG [--window 2] [--report FILE]

LOG is the log that a benchmark run printed of routers that record every decision (`decision_records: 1`), one record a
line after the time and the machine's name. SITE contains the value of each kind and the engines' published parameters.
A client's submissions of one request are joined by their route, tenant, prefix and sizes. The lines of a table add up
to all that was lost there. FILE is the report of the same run: it contains the prices, and the number of requests of
each kind, some of which reached no running router and so have no record.

The bound is what a router with perfect knowledge could have earned: each request alone at an idle server that caches
its shared prefix from the first prefill on.
"""

from __future__ import annotations

import json
import re
import sys
import tomllib
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean

import defopt

RECORD_LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) (\{.*\})$")
RETRY_WINDOW_S = 12.0  # a later record with the same key belongs to the same request
SIZE_BASE, SIZE_FACTOR, MAX_SIZE_FACTOR = 0.3, 0.7, 4.0  # value by size, as the rules define it
OUTPUT_TOKEN_WEIGHT = 10.0  # prompt tokens that an output token counts as in a request's size
LINK_MS = 3.0  # network round trip client, router, server; not in the engine's times

MIN_SHOWN_PRICE = 0.0001  # smaller ones are not shown

TOO_LARGE = "alone at an idle server"
FIRST_PREFILL = "first reading of a shared part"
REPEATED_PREFILL = "shared part read again"
SERVER_WAIT = "waited at the server"
ROUTER_WAIT = "waited at the router"
QUOTA_WAIT = "waited for quota"
STREAM_GAP = "pause within the stream"
SERVED_ON_RETRY = "served at the client's next try"
REJECTED_BY_QUOTA = "refused by quota"
REJECTED_BY_ROUTER = "refused by us"
FAULT = "fault"
CAUSES = (
    TOO_LARGE,
    FIRST_PREFILL,
    REPEATED_PREFILL,
    SERVER_WAIT,
    ROUTER_WAIT,
    QUOTA_WAIT,
    STREAM_GAP,
    SERVED_ON_RETRY,
    REJECTED_BY_QUOTA,
    REJECTED_BY_ROUTER,
    FAULT,
)


@dataclass(frozen=True)
class RequestKind:
    """A kind of request, as the site file defines it. A mean_size of 0 stands for requests without a stream."""

    name: str
    value: float
    late_value: float
    latency_target_ms: float
    max_event_gap_ms: float
    mean_size: float

    def value_of(self, record: dict) -> float:
        """The value of a recorded request; that of a generation grows with its size."""
        if not self.mean_size:
            return self.value
        size = (record["tokens_in"] + OUTPUT_TOKEN_WEIGHT * record["tokens_out"]) / self.mean_size
        return self.value * min(MAX_SIZE_FACTOR, SIZE_BASE + SIZE_FACTOR * size)


@dataclass(frozen=True)
class Engine:
    """The published parameters of an engine, in milliseconds and tokens."""

    first_event_overhead_ms: float
    step_ms: float
    tokens_per_ms: float
    attention_ms_per_million_pairs: float

    def prefill_ms(self, cached_tokens: float, new_tokens: float) -> float:
        """Time to prefill `new_tokens` after `cached_tokens`, without other requests."""
        pairs = new_tokens * (cached_tokens + new_tokens / 2)
        return new_tokens / self.tokens_per_ms + pairs * self.attention_ms_per_million_pairs / 1e6

    def time_to_first_event_ms(self, cached_tokens: float, new_tokens: float) -> float:
        """Time until the client has the first event, without other requests."""
        return LINK_MS + self.first_event_overhead_ms + self.step_ms + self.prefill_ms(cached_tokens, new_tokens)


@dataclass
class ClientRequest:
    """One request of a client: the records of its submissions, in order."""

    kind: RequestKind
    arrived_at: float  # s
    submissions: list[dict] = field(default_factory=list)

    @property
    def value(self) -> float:
        return self.kind.value_of(self.submissions[0])


@dataclass
class LossTable:
    """The offered value, the losses by cause, and the bound, in one table."""

    offered_value: float = 0.0
    loss_by_cause: Counter[str] = field(default_factory=Counter)
    requests: Counter[str] = field(default_factory=Counter)
    bound: float = 0.0

    def add(self, value: float, lost: float, cause: str, bound: float) -> None:
        """Adds a request; `cause` counts only if value was lost."""
        self.offered_value += value
        self.bound += bound
        if lost > 0:
            self.loss_by_cause[cause] += lost
            self.requests[cause] += 1


def read_site(site: Path) -> tuple[list[RequestKind], Engine]:
    """Reads the kinds and the engine from a site file."""
    document = tomllib.loads(site.read_text())
    parameters = next(service["llm"] for service in document["services"] if "llm" in service)
    engine = Engine(
        parameters["first_ms"],
        parameters["step_ms"],
        parameters["prefill_tokens_per_ms"],
        parameters.get("pairs_ms_per_m", 0.0),
    )
    return [_read_kind(each, parameters["stride"]) for each in document["classes"]], engine


def _read_kind(document: dict, tokens_per_event: float) -> RequestKind:
    stream = document.get("stream")
    size = 0.0
    if stream:
        prompt = stream["prompt_tokens"]["mean"] + sum(segment["tokens"]["mean"] for segment in stream.get("chain", ()))
        size = prompt + OUTPUT_TOKEN_WEIGHT * tokens_per_event * stream["pieces"]["mean"]
    value = float(document["worth"])
    gap = stream.get("gap_aim_ms", 0.0) if stream else 0.0
    return RequestKind(
        document["name"], value, float(document.get("late_worth", 0.0)), float(document["aim_ms"]), float(gap), size
    )


def records(log: Iterable[str]) -> Iterator[tuple[float, dict]]:
    """All records in a log with their arrival on the benchmark's clock, in seconds."""
    for line in log:
        if matched := RECORD_LINE.match(line):
            record = json.loads(matched[3])
            yield float(matched[1]) - record["ended"] / 1000, record


def join_submissions(arrivals: Iterable[tuple[float, dict]], kinds: list[RequestKind]) -> list[ClientRequest]:
    """Joins the submissions of each request; records of routes that fit no kind are left out."""
    open_by_key: dict[tuple, ClientRequest] = {}
    requests: list[ClientRequest] = []
    by_arrival = sorted(arrivals, key=lambda each: each[0])
    by_route = _kinds_by_route([record for _, record in by_arrival], kinds)
    for arrived_at, record in by_arrival:
        kind = by_route.get(record["route"])
        if kind is None:
            continue
        key = (record["route"], record["tenant"], record["prefix"], record["tokens_in"], record["tokens_out"])
        previous = open_by_key.get(key) if record["tokens_in"] else None
        if (
            previous is not None
            and previous.submissions[-1]["status"] != 200
            and arrived_at - previous.arrived_at < RETRY_WINDOW_S
        ):
            previous.submissions.append({**record, "at": arrived_at})
            continue
        request = ClientRequest(kind, arrived_at, [{**record, "at": arrived_at}])
        open_by_key[key] = request
        requests.append(request)
    return requests


def _kinds_by_route(found_records: list[dict], kinds: list[RequestKind]) -> dict[str, RequestKind]:
    """Maps routes to kinds by latency target and mean prompt size, as route names differ in each run."""
    prompt_tokens_by_route: dict[str, list[int]] = defaultdict(list)
    targets_by_route = {record["route"]: record["aim"] for record in found_records if record["tenant"]}
    for record in found_records:
        prompt_tokens_by_route[record["route"]].append(record["tokens_in"])
    kind_by_route: dict[str, RequestKind] = {}
    for route, target_ms in targets_by_route.items():
        size = mean(prompt_tokens_by_route[route])
        candidates = [
            kind
            for kind in kinds
            if bool(kind.mean_size) == bool(size) and _are_near(kind.latency_target_ms, target_ms)
        ]
        if candidates:
            kind_by_route[route] = min(candidates, key=lambda kind: abs(kind.mean_size - size))
    return kind_by_route


def _are_near(target_ms: float, recorded_ms: float) -> bool:
    return target_ms * 0.95 <= recorded_ms <= target_ms * 1.4


class LossAnalyzer:
    """Determines what each request lost and why. Requests have to be passed in the order of their arrival."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._prefilled_prefixes: set[str] = set()  # shared prefixes that some server has prefilled

    def analyze(self, request: ClientRequest) -> tuple[float, str, float]:
        """Returns the lost value, its cause, and the value that the bound earns."""
        first, last, kind, value = request.submissions[0], request.submissions[-1], request.kind, request.value
        is_first_prefill = bool(first["prefix"]) and first["prefix"] not in self._prefilled_prefixes
        if last["attempts"]:
            self._prefilled_prefixes.add(first["prefix"])
        late_value = value * kind.late_value / kind.value
        bound = (
            value if self._unloaded_first_event_ms(first, kind, not is_first_prefill) <= first["aim"] else late_value
        )
        if last["status"] != 200:
            return value, self._unserved_cause(request), bound
        latency_ms = (last["at"] - request.arrived_at) * 1000 + self._first_event_ms(last)
        if latency_ms <= last["aim"] and not (
            kind.max_event_gap_ms and last.get("longest_pause", 0.0) > kind.max_event_gap_ms
        ):
            return 0.0, "", bound
        if latency_ms <= last["aim"]:
            return value - late_value, STREAM_GAP, bound
        if len(request.submissions) > 1 and self._first_event_ms(last) <= last["aim"]:
            return (value - late_value) / 2, SERVED_ON_RETRY, bound
        return value - late_value, self._late_cause(last, kind, is_first_prefill), bound

    def _unloaded_first_event_ms(self, record: dict, kind: RequestKind, is_cached: bool) -> float:
        if not kind.mean_size:
            return 0.0
        shared, total = record["shared"], record["tokens_in"]
        return (
            self._engine.time_to_first_event_ms(shared, total - shared)
            if is_cached
            else self._engine.time_to_first_event_ms(0, total)
        )

    @staticmethod
    def _first_event_ms(record: dict) -> float:
        firsts = [attempt["first"] for attempt in record["attempts"] if attempt["first"] is not None]
        return firsts[0] if firsts else record["ended"]

    @staticmethod
    def _unserved_cause(request: ClientRequest) -> str:
        status = request.submissions[-1]["status"]
        if status == 429:
            return REJECTED_BY_QUOTA
        return REJECTED_BY_ROUTER if status == 503 else FAULT

    def _late_cause(self, record: dict, kind: RequestKind, is_first_prefill: bool) -> str:
        if self._unloaded_first_event_ms(record, kind, is_cached=True) > record["aim"]:
            return TOO_LARGE
        attempt = record["attempts"][-1]
        if not attempt["kept"] and self._unloaded_first_event_ms(record, kind, is_cached=False) > record["aim"]:
            return FIRST_PREFILL if is_first_prefill else REPEATED_PREFILL
        if len(record["attempts"]) > 1:
            return FAULT
        waits = {
            QUOTA_WAIT: record["quota_wait"],
            ROUTER_WAIT: attempt["sent"] - record["quota_wait"],
            SERVER_WAIT: self._first_event_ms(record)
            - attempt["sent"]
            - self._unloaded_first_event_ms(record, kind, attempt["kept"]),
        }
        return max(waits, key=waits.__getitem__)


def _print_table(title: str, tables: dict[str, LossTable]) -> None:
    total = sum(table.offered_value for table in tables.values())
    print(f"\n{title}: per cent of all worth owed ({total:.0f}), then requests")
    print(f"{'':32}" + "".join(f"{name:>15}" for name in tables))
    for cause in CAUSES:
        if any(table.loss_by_cause[cause] for table in tables.values()):
            cells = (f"{100 * t.loss_by_cause[cause] / total:7.2f} {t.requests[cause]:7d}" for t in tables.values())
            print(f"{cause:32}" + "".join(cells))
    rows = {
        "lost": [sum(t.loss_by_cause.values()) for t in tables.values()],
        "lost by one that knows all": [t.offered_value - t.bound for t in tables.values()],
        "owed": [t.offered_value for t in tables.values()],
    }
    for name, values in rows.items():
        print(f"{name:32}" + "".join(f"{100 * value / total:7.2f}{'':8}" for value in values))


def unrecorded(report: dict, requests: Iterable[ClientRequest]) -> dict[str, int]:
    """By kind, the number of requests that clients sent and no router recorded."""
    recorded = Counter(request.kind.name for request in requests)
    return {kind["name"]: max(0, kind["n"] - recorded[kind["name"]]) for kind in report["classes"]}


def prices(report: dict) -> dict[str, float]:
    """The deductions in the report, by their names there."""
    return {name: value for name, _, value in report["prices"] if abs(value) >= MIN_SHOWN_PRICE}


def _print_report(report: dict, requests: list[ClientRequest]) -> None:
    print("\nBy the bench's report: requests without a record")
    for name, count in unrecorded(report, requests).items():
        print(f"{name:32}{count:7d}")
    print("prices, of the day's worth")
    for name, value in prices(report).items():
        print(f"{name:44}{value:8.4f}")


def run(site: Path, log: Path, *, window: float = 2.0, report: Path | None = None) -> int:
    """Prints the lost value by kind and by window.

    :param site: the site file
    :param log: the log of the run, with every decision recorded
    :param window: s
    :param report: the report of the same run
    """
    kinds, engine = read_site(site)
    with log.open() as lines:
        requests = join_submissions(records(lines), kinds)
    analyzer = LossAnalyzer(engine)
    by_kind: dict[str, LossTable] = {kind.name: LossTable() for kind in kinds}
    by_window: dict[int, LossTable] = defaultdict(LossTable)
    for request in requests:
        lost, cause, bound = analyzer.analyze(request)
        for table in (by_kind[request.kind.name], by_window[int(request.arrived_at // window)]):
            table.add(request.value, lost, cause, bound)
    _print_table("By kind", by_kind)
    print(f"\nBy window of {window:g} s: per cent of the window's worth")
    print(f"{'from':>6}{'owed':>8}{'lost':>7}{'bound':>7}  causes")
    for number, table in sorted(by_window.items()):
        causes = ", ".join(f"{c} {100 * v / table.offered_value:.1f}" for c, v in table.loss_by_cause.most_common(5))
        lost, bound = sum(table.loss_by_cause.values()) / table.offered_value, 1 - table.bound / table.offered_value
        print(f"{number * window:6.0f}{table.offered_value:8.0f}{100 * lost:7.1f}{100 * bound:7.1f}  {causes}")
    if report is not None:
        _print_report(json.loads(report.read_text()), requests)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
