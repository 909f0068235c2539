"""The bench's wire to the interface and back; hosts many instances. Makes no decision.

Run as `python -m ochrespan.simhost`: batches come on standard input, replies go to standard output.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Iterable
from typing import TextIO

from . import interface as api
from .policy import Scheduler

NS = 1_000_000_000

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
STATUSES = {
    "delivered": api.Status.OK,
    "app_error": api.Status.ERROR,
    "shed": api.Status.FULL,
    "expired": api.Status.TIMEOUT,
    "dial_failed": api.Status.CONNECT_FAILED,
    "dropped": api.Status.RESET,
    "revoked": api.Status.CANCELLED,
    "unused": api.Status.MOOT,
}
STATES = {"Running": api.NodeState.READY, "Stopping": api.NodeState.DRAINING, "Deleted": api.NodeState.GONE}
KINDS = {
    "update": api.ListKind.DELTA,
    "replace": api.ListKind.FULL,
    "restored": api.ListKind.CACHED,
    "unavailable": api.ListKind.FAILED,
}
REPORT_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}

Fields = dict[str, str]


class Malformed(ValueError):
    """A line that cannot be read."""


def pairs(parts: Iterable[str]) -> Fields:
    """The name=value parts of a line."""
    found: Fields = {}
    for part in parts:
        name, mark, value = part.partition("=")
        if not mark or not name:
            raise Malformed(f"'{part}' is not name=value")
        found[name] = value
    return found


def text(fields: Fields, name: str) -> str:
    if not fields.get(name):
        raise Malformed(f"{name} is missing")
    return fields[name]


def number(fields: Fields, name: str, default: float | None = None) -> float:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise Malformed(f"{name} is missing")
        return default
    try:
        result = float(value)
    except ValueError:
        raise Malformed(f"{name}={value} is not a number") from None
    if not math.isfinite(result):
        raise Malformed(f"{name}={value} is not finite")
    return result


def maybe(fields: Fields, name: str, scale: float = 1.0) -> float | None:
    return number(fields, name) / scale if name in fields else None


def told(fields: Fields, name: str) -> float | None:
    """A figure that the event can do without: what cannot be read is left out."""
    try:
        return number(fields, name)
    except Malformed:
        return None


def seconds(fields: Fields, name: str, default: float | None = None) -> float:
    return number(fields, name, default) / NS


def flag(fields: Fields, name: str) -> bool:
    return fields.get(name, "") in ("1", "true", "True")


def read_settings(got: Fields) -> api.Settings:
    """The first message as settings; absent parts stay absent."""
    classes, plans = {}, {}
    for i in range(int(number(got, "Classes.count", 0))):
        at = f"Classes.{i}."
        name = text(got, at + "Name")
        deadline = seconds(got, at + "DeadlineNs", 0)
        classes[name] = api.RequestClass(
            name=name,
            aim=seconds(got, at + "ObjectiveNs", deadline * NS),
            deadline=deadline,
            worth=number(got, at + "Value", 1),
            late_share=number(got, at + "LateShare", 0),
            effect=EFFECTS.get(got.get(at + "Effect", ""), api.Effect.UNSAFE),
            group=GROUPS.get(got.get(at + "Group", ""), api.Group.CELL),
            window=seconds(got, at + "WindowNs", 0),
            in_order=flag(got, at + "Sequential"),
        )
    for i in range(int(number(got, "Contracts.count", 0))):
        at = f"Contracts.{i}."
        name = text(got, at + "Name")
        plans[name] = api.Plan(
            name=name,
            rate=number(got, at + "Nominal", 0),
            weight=number(got, at + "Weight", 1),
            price=number(got, at + "Price", 1),
            reserve=number(got, at + "Reserve", 0),
            limit=number(got, at + "Limit", 0),
            limit_burst=number(got, at + "MostAtOnce", 0),
        )
    return api.Settings(
        seed=int(number(got, "InitSeed", 0)),
        heads=int(number(got, "Balancers", 1)),
        zone=got.get("Locality", ""),
        classes=classes,
        plans=plans,
        step=seconds(got, "StepNs", 0),
        list_on_request=got.get("Discovery") == "on_request",
        ask_within=maybe(got, "Obligations.AskWithinNs", NS),
        can_cancel=flag(got, "Limits.Cancel"),
        can_probe=flag(got, "Limits.Probing"),
        second_copies=flag(got, "Limits.SecondCopies"),
        advises_pause=flag(got, "Limits.RetryAfter"),
        max_attempts=int(number(got, "Limits.MaxAttempts", 1)),
        max_pause=seconds(got, "Limits.MaxRetryAfterNs", 0),
        connect_timeout=seconds(got, "Limits.ConnectTimeoutNs", 0),
        report_in_answers=got.get("Report.How") == "answers",
        mean_units=number(got, "Extra.UsualUnits", 1),
        most_units=number(got, "Extra.MostUnits", 1),
        share_worth=number(got, "Extra.ShareWorth", 1),
        spare_worth=number(got, "Extra.SpareWorth", 1),
        cold_units=maybe(got, "Extra.YoungLimit"),
        start_capacity=maybe(got, "Obligations.StartCapacity"),
        warm_up=maybe(got, "Obligations.WarmUpNs", NS),
        overload_window=maybe(got, "Obligations.OverloadForNs", NS),
        key_rest=maybe(got, "Obligations.KeyRestNs", NS),
        extra_free=maybe(got, "Obligations.SpareAttempts"),
        extra_share=maybe(got, "Obligations.RepeatRatio"),
        extra_window=maybe(got, "Obligations.RatioSpanNs", NS),
    )


def read_request(got: Fields) -> api.Request:
    return api.Request(
        id=text(got, "RequestId"),
        volume=got.get("Disk", ""),
        cls=got.get("Category", ""),
        plan=got.get("Tier", ""),
        time_left=seconds(got, "LeftNs"),
        units=number(got, "QuotaUnits", 1),
        shard=int(number(got, "Shard", -1)),
        key=got.get("Chunk", ""),
        hosts=int(told(got, "NHosts") or 0),
    )


def read_report(got: Fields) -> dict[str, float]:
    """The figures of a load report; what cannot be read is left out."""
    report = {}
    for part in got.get("Report", "").split(","):
        name, mark, value = part.partition(":")
        if mark and name in REPORT_NAMES:
            figure = told({name: value}, name)
            if figure is not None:
                report[REPORT_NAMES[name]] = figure
    return report


def read_outcome(got: Fields) -> api.Outcome:
    used = told(got, "UsePct") or 0
    return api.Outcome(
        request_id=text(got, "RequestId"),
        attempt=int(number(got, "Leg", 0)),
        node=got.get("Shelf", ""),
        status=STATUSES.get(got.get("Reason", ""), api.Status.UNKNOWN),
        latency=seconds(got, "WaitTimeNs", 0),
        closed=flag(got, "NoMore"),
        report=read_report(got),
        used=(used - 1) / 100 if used >= 1 else None,
        elsewhere=max(0.0, told(got, "Delta") or 0.0),
    )


def read_probe(got: Fields) -> api.ProbeResult:
    status = STATUSES.get(got.get("Reason", ""), api.Status.UNKNOWN)
    return api.ProbeResult(text(got, "Shelf"), status, seconds(got, "WaitTimeNs", 0), read_report(got))


def read_entry(got: Fields) -> api.NodeEntry:
    started = number(got, "StartTimeNs", 0)
    return api.NodeEntry(
        id=text(got, "Shelf"),
        shard=int(number(got, "Cluster", -1)),
        # a state that is not known gets nothing new
        state=STATES.get(got.get("Mode", "Running"), api.NodeState.DRAINING),
        started_at=started / NS if started > 0 else None,
        zone=got.get("Campus", ""),
        weight=number(got, "Nominal", 1),
    )


READERS: dict[str, Callable[[Fields], api.Event]] = {
    "ARRIVAL": read_request,
    "REPLY": read_outcome,
    "FIRST": lambda got: api.Started(text(got, "RequestId")),
    "ABANDONED": lambda got: api.Gone(text(got, "RequestId")),
    "DUE": lambda got: api.Timer(int(number(got, "Nonce"))),
    "HEALTH_RESULT": read_probe,
}


def line_of(action: api.Action) -> str:
    """An action as its line on the wire."""
    match action:
        case api.Send(request_id, node, timeout):
            return f"ISSUE RequestId={request_id} Shelf={node} WithinNs={max(1, round(timeout * NS))}"
        case api.Refuse(request_id, pause):
            advice = f" PauseNs={round(pause * NS)}" if pause > 0 else ""
            return f"REJECT RequestId={request_id}{advice}"
        case api.Fail(request_id):
            return f"FINISH_ERROR RequestId={request_id}"
        case api.Cancel(request_id, attempt):
            return f"UNDO_SEND RequestId={request_id} Leg={attempt}"
        case api.SetTimer(delay, token):
            return f"SCHEDULE DelayNs={max(0, math.ceil(delay * NS))} Nonce={token}"
        case api.WatchList():
            return "WATCH Enable=1"
        case api.Log(words):
            return "DEBUG Text=" + " ".join(words.split())
    raise TypeError(f"no line for {action!r}")


class Adapter:
    """Reads batches line by line and keeps one scheduler for each living instance."""

    def __init__(self, out: TextIO, err: TextIO) -> None:
        self.out, self.err = out, err
        self.schedulers: dict[str, Scheduler] = {}
        self.events: dict[str, list[api.Event]] = {}  # of this batch
        self.inst = ""
        self.now = 0.0
        self.frame = ""
        self.listing: api.NodeList | None = None
        self.listing_due = 0  # entries still to come

    def complain(self, line: str, why: object) -> None:
        print(f"ochrespan: malformed line skipped: {why}: {line[:200]}", file=self.err, flush=True)

    def feed(self, line: str) -> None:
        """One line of input; a reply is written at the end of a batch."""
        try:
            self._feed(line)
        except (ValueError, OverflowError) as why:
            self.complain(line, why)

    def _feed(self, line: str) -> None:
        word, *parts = line.split()
        if word == "MARK":
            # a reply is owed for any batch whose number can be read, so the number is taken first
            got = dict(part.partition("=")[::2] for part in parts)
            self.frame = got.get("frame", self.frame)
            self.inst, self.listing_due = "", 0
            self.now = seconds(got, "NowNs", self.now * NS)
        elif word == "EOB":
            self._reply()
        elif word == "CONTEXT":
            self.inst, self.listing_due = "", 0
            self.inst = text(pairs(parts), "I")
        elif word == "KILL":
            self._drop(self.inst)
        elif word == "PROVISION":
            settings = read_settings(pairs(parts))
            self._drop(self.inst)
            self.schedulers[self.inst] = Scheduler(settings, self.now)
            self.events[self.inst] = []
        elif word == "M" and self.listing_due > 0 and self.listing is not None:
            self.listing_due -= 1
            self.listing.entries.append(read_entry(pairs(parts)))
        elif self.inst in self.schedulers:  # the dead and unknown get nothing
            if word == "BACKENDS_CHANGED":
                got = pairs(parts)
                kind = KINDS.get(text(got, "Scope"))
                if kind is None:
                    raise Malformed(f"Scope={got['Scope']} is not known")
                self.listing = api.NodeList(kind)
                self.listing_due = int(number(got, "NodesList", 0))
                self.events.setdefault(self.inst, []).append(self.listing)
            elif word in READERS:
                self.events.setdefault(self.inst, []).append(READERS[word](pairs(parts)))

    def _drop(self, inst: str) -> None:
        for kept in (self.schedulers, self.events):
            kept.pop(inst, None)

    def _reply(self) -> None:
        lines: list[str] = []
        for inst, events in self.events.items():
            actions = self.schedulers[inst].handle(self.now, events)
            if actions:
                lines.append(f"FROM I={inst}")
                lines.extend(line_of(action) for action in actions)
        self.events = {}
        lines.append(f"FINISHED frame={self.frame}")
        self.out.write("\n".join(lines) + "\n")
        self.out.flush()


def main() -> int:
    adapter = Adapter(sys.stdout, sys.stderr)
    try:
        for line in sys.stdin:
            if line.strip():
                adapter.feed(line.rstrip("\n"))
    except (BrokenPipeError, KeyboardInterrupt):
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
