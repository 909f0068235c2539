"""Drives one scheduler through its interface and checks what holds for all its actions."""

from __future__ import annotations

import sys
from collections.abc import Callable

from ochrespan import interface as api
from ochrespan.policy.front import Scheduler

READ = api.RequestClass("read", latency_target=0.5, deadline=4.0, value=2.0, effect=api.Effect.SAFE)
SAVE = api.RequestClass("save", latency_target=0.6, deadline=4.0, value=2.0, effect=api.Effect.SAFE, in_order=True)
KEYED = api.RequestClass(
    "keyed", latency_target=0.6, deadline=4.0, effect=api.Effect.DEDUPLICATED_BY_KEY, group=api.Group.ZONE, window=1.0
)
KEYED_ALL = api.RequestClass(
    "keyed-all",
    latency_target=0.6,
    deadline=4.0,
    effect=api.Effect.DEDUPLICATED_BY_KEY,
    group=api.Group.ALL,
    window=1.0,
)
ONCE = api.RequestClass("once", latency_target=0.6, deadline=4.0, effect=api.Effect.UNSAFE)


def settings(**changes) -> api.Settings:
    """Settings with small numbers, with the given changes."""
    base = {
        "seed": 7,
        "fronts": 2,
        "classes": {c.name: c for c in (READ, SAVE, KEYED, KEYED_ALL, ONCE)},
        "plans": {
            "free": api.Plan("free", rate=3, weight=1),
            "paid": api.Plan("paid", rate=6, weight=2, reserve=6),
            "capped": api.Plan("capped", rate=3, weight=1, limit=4, limit_burst=32),
        },
        "tick": 0.002,
        "max_attempts": 3,
        "mean_units": 2,
        "max_units": 8,
    }
    return api.Settings(**(base | changes))


class FrontDriver:
    """One scheduler with a virtual clock; records its actions."""

    def __init__(self, nodes: int = 2, kind: api.ListKind = api.ListKind.CACHED, **changes) -> None:
        self.now = 100.0
        self.scheduler = Scheduler(settings(**changes), self.now)
        self.sends: list[tuple[float, api.Send]] = []
        self.final_answers: dict[str, api.Action] = {}
        self.actions: list[api.Action] = []
        self.timers: list[float] = []
        self.attempts: dict[str, int] = {}
        self.count = 0
        self.handle(api.NodeList(kind, [entry(i) for i in range(nodes)]))

    def handle(self, *events: api.Event) -> list[api.Action]:
        """Passes events to the scheduler and checks its actions."""
        actions = self.scheduler.handle(self.now, list(events))
        self.actions += actions
        for action in actions:
            match action:
                case api.Send(request_id, _, timeout):
                    assert request_id not in self.final_answers, "a send after the final answer"
                    assert timeout > 0
                    self.sends.append((self.now, action))
                    self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
                case api.Refuse(request_id) | api.Fail(request_id):
                    assert request_id not in self.final_answers, "two final answers"
                    self.final_answers[request_id] = action
                case api.SetTimer(delay, _):
                    assert delay >= 0
                    self.timers.append(self.now + delay)
        return actions

    def submit(self, cls: str = "read", plan: str = "free", **more) -> str:
        """Submits a request; returns its id."""
        self.count += 1
        name = more.pop("id", f"r{self.count}")
        more = {"volume": "v", "time_left": 4.0, "units": 2, "shard": 0} | more
        self.handle(api.Request(id=name, cls=cls, plan=plan, **more))
        return name

    def answer(self, request_id: str, status: api.Status = api.Status.OK, attempt: int | None = None, **more):
        """Reports the outcome of the request's last attempt."""
        node = next(s.node for _, s in reversed(self.sends) if s.request_id == request_id)
        attempt = self.attempts[request_id] - 1 if attempt is None else attempt
        return self.handle(api.Outcome(request_id, attempt, node, status, 0.05, closed=status is api.Status.OK, **more))

    def wait(self, seconds: float) -> None:
        """Lets time pass and fires the timers that the scheduler set."""
        until = self.now + seconds
        while due := [w for w in self.timers if w <= until]:
            self.now = max(self.now, min(due))
            self.timers = [w for w in self.timers if w > self.now]
            self.now += 0.0001
            self.handle(api.Timer(1))
        self.now = max(self.now, until)
        self.handle(api.Timer(1))

    def sent(self, request_id: str | None = None) -> list[api.Send]:
        """All attempts, or those of one request."""
        return [s for _, s in self.sends if request_id in (None, s.request_id)]


def entry(shard: int, name: str = "", **more) -> api.NodeEntry:
    """A chunk server of that shard."""
    return api.NodeEntry(name or f"n{shard}", shard=shard, zone=more.pop("zone", "z"), **more)


def count_calls(act: Callable[[], object]) -> int:
    """The number of function calls that `act` makes, as a cost that does not depend on the machine."""
    number = 0

    def count(frame, what, arg) -> None:
        nonlocal number
        number += what in ("call", "c_call")

    sys.setprofile(count)
    try:
        act()
    finally:
        sys.setprofile(None)
    return number
