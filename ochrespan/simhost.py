"""The bench's wire to the interface and back; hosts many instances. Makes no decision.

Run as `python -m ochrespan.simhost`: batches come on standard input, replies go to standard output.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from typing import TextIO

from . import interface as api
from .policy.front import Scheduler
from .settings import NS, REPORT_NAMES, Fields, Malformed, flag, number, pairs, read_settings, seconds, text, told

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
        case api.Send(request_id, node, timeout, _):  # begins in the very tick
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
