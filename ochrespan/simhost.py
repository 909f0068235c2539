"""Runs the scheduling decisions for an external simulator: turns the lines that it sends into events, and the
actions of the schedulers into lines of the reply.

One process hosts many front instances. Run as `python -m ochrespan.simhost`: batches come on standard input,
replies go to standard output.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from typing import TextIO

from . import interface as api
from .policy.front import Scheduler
from .settings import (
    NS,
    REPORT_NAMES,
    Fields,
    Malformed,
    flag,
    number,
    number_or_none,
    parse_pairs,
    read_settings,
    required_text,
    seconds,
)

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
LIST_KINDS = {
    "update": api.ListKind.DELTA,
    "replace": api.ListKind.FULL,
    "restored": api.ListKind.CACHED,
    "unavailable": api.ListKind.FAILED,
}


def read_request(fields: Fields) -> api.Request:
    return api.Request(
        id=required_text(fields, "RequestId"),
        volume=fields.get("Disk", ""),
        cls=fields.get("Category", ""),
        plan=fields.get("Tier", ""),
        time_left=seconds(fields, "LeftNs"),
        units=number(fields, "QuotaUnits", 1),
        shard=int(number(fields, "Shard", -1)),
        key=fields.get("Chunk", ""),
        fronts=int(number_or_none(fields, "NHosts") or 0),
    )


def read_report(fields: Fields) -> dict[str, float]:
    """The metrics of a load report; those that cannot be parsed are left out."""
    report = {}
    for pair in fields.get("Report", "").split(","):
        name, separator, value = pair.partition(":")
        if separator and name in REPORT_NAMES:
            metric = number_or_none({name: value}, name)
            if metric is not None:
                report[REPORT_NAMES[name]] = metric
    return report


def read_outcome(fields: Fields) -> api.Outcome:
    percent = number_or_none(fields, "UsePct") or 0
    return api.Outcome(
        request_id=required_text(fields, "RequestId"),
        attempt=int(number(fields, "Leg", 0)),
        node=fields.get("Shelf", ""),
        status=STATUSES.get(fields.get("Reason", ""), api.Status.UNKNOWN),
        latency=seconds(fields, "WaitTimeNs", 0),
        closed=flag(fields, "NoMore"),
        report=read_report(fields),
        used_fraction=(percent - 1) / 100 if percent >= 1 else None,
        units_elsewhere=max(0.0, number_or_none(fields, "Delta") or 0.0),
    )


def read_probe(fields: Fields) -> api.ProbeResult:
    status = STATUSES.get(fields.get("Reason", ""), api.Status.UNKNOWN)
    return api.ProbeResult(
        required_text(fields, "Shelf"), status, seconds(fields, "WaitTimeNs", 0), read_report(fields)
    )


def read_entry(fields: Fields) -> api.NodeEntry:
    started = number(fields, "StartTimeNs", 0)
    return api.NodeEntry(
        id=required_text(fields, "Shelf"),
        shard=int(number(fields, "Cluster", -1)),
        # a node in an unknown state gets no new requests
        state=STATES.get(fields.get("Mode", "Running"), api.NodeState.DRAINING),
        started_at=started / NS if started > 0 else None,
        zone=fields.get("Campus", ""),
        weight=number(fields, "Nominal", 1),
    )


READERS: dict[str, Callable[[Fields], api.Event]] = {
    "ARRIVAL": read_request,
    "REPLY": read_outcome,
    "FIRST": lambda fields: api.Started(required_text(fields, "RequestId")),
    "ABANDONED": lambda fields: api.Gone(required_text(fields, "RequestId")),
    "DUE": lambda fields: api.Timer(int(number(fields, "Nonce"))),
    "HEALTH_RESULT": read_probe,
}


def format_action(action: api.Action) -> str:
    """An action as a line of the simulator's protocol."""
    match action:
        case api.Send(request_id, node, timeout, _):  # simulated sends begin at once, so begin_within has no effect
            return f"ISSUE RequestId={request_id} Shelf={node} WithinNs={max(1, round(timeout * NS))}"
        case api.Refuse(request_id, retry_after):
            hint = f" PauseNs={round(retry_after * NS)}" if retry_after > 0 else ""
            return f"REJECT RequestId={request_id}{hint}"
        case api.Fail(request_id):
            return f"FINISH_ERROR RequestId={request_id}"
        case api.Cancel(request_id, attempt):
            return f"UNDO_SEND RequestId={request_id} Leg={attempt}"
        case api.SetTimer(delay, token):
            return f"SCHEDULE DelayNs={max(0, math.ceil(delay * NS))} Nonce={token}"
        case api.WatchList():
            return "WATCH Enable=1"
        case api.Log(message):
            return "DEBUG Text=" + " ".join(message.split())
    raise TypeError(f"no line for {action!r}")


class Adapter:
    """Reads batches line by line and keeps one scheduler for each running instance."""

    def __init__(self, out: TextIO, err: TextIO) -> None:
        self.out, self.err = out, err
        self.schedulers: dict[str, Scheduler] = {}
        self.events: dict[str, list[api.Event]] = {}  # of the current batch, by instance
        self.instance = ""
        self.now = 0.0
        self.frame = ""
        self.node_list: api.NodeList | None = None
        self.entries_due = 0  # entries of node_list still to come

    def report_malformed(self, line: str, error: object) -> None:
        print(f"ochrespan: malformed line skipped: {error}: {line[:200]}", file=self.err, flush=True)

    def handle_line(self, line: str) -> None:
        """Handles a line of input; the line that ends a batch writes the reply."""
        try:
            self._handle_line(line)
        except (ValueError, OverflowError) as error:
            self.report_malformed(line, error)

    def _handle_line(self, line: str) -> None:
        keyword, *pairs = line.split()
        if keyword == "MARK":
            # every batch with a readable number gets a reply, so the number is parsed before what may be malformed
            fields = dict(pair.partition("=")[::2] for pair in pairs)
            self.frame = fields.get("frame", self.frame)
            self.instance, self.entries_due = "", 0
            self.now = seconds(fields, "NowNs", self.now * NS)
        elif keyword == "EOB":
            self._reply()
        elif keyword == "CONTEXT":
            self.instance, self.entries_due = "", 0
            self.instance = required_text(parse_pairs(pairs), "I")
        elif keyword == "KILL":
            self._remove(self.instance)
        elif keyword == "PROVISION":
            settings = read_settings(parse_pairs(pairs))
            self._remove(self.instance)
            self.schedulers[self.instance] = Scheduler(settings, self.now)
            self.events[self.instance] = []
        elif keyword == "M" and self.entries_due > 0 and self.node_list is not None:
            self.entries_due -= 1
            self.node_list.entries.append(read_entry(parse_pairs(pairs)))
        elif self.instance in self.schedulers:  # events for stopped and unknown instances are dropped
            if keyword == "BACKENDS_CHANGED":
                fields = parse_pairs(pairs)
                kind = LIST_KINDS.get(required_text(fields, "Scope"))
                if kind is None:
                    raise Malformed(f"Scope={fields['Scope']} is not known")
                self.node_list = api.NodeList(kind)
                self.entries_due = int(number(fields, "NodesList", 0))
                self.events.setdefault(self.instance, []).append(self.node_list)
            elif keyword in READERS:
                self.events.setdefault(self.instance, []).append(READERS[keyword](parse_pairs(pairs)))

    def _remove(self, instance: str) -> None:
        for by_instance in (self.schedulers, self.events):
            by_instance.pop(instance, None)

    def _reply(self) -> None:
        lines: list[str] = []
        for instance, events in self.events.items():
            actions = self.schedulers[instance].handle(self.now, events)
            if actions:
                lines.append(f"FROM I={instance}")
                lines.extend(format_action(action) for action in actions)
        self.events = {}
        lines.append(f"FINISHED frame={self.frame}")
        self.out.write("\n".join(lines) + "\n")
        self.out.flush()


def main() -> int:
    adapter = Adapter(sys.stdout, sys.stderr)
    try:
        for line in sys.stdin:
            if line.strip():
                adapter.handle_line(line.rstrip("\n"))
    except (BrokenPipeError, KeyboardInterrupt):
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
