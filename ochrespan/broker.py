"""The core: requests, attempts and outcomes round the decision module, in blocking style.

A front asks `pick` for the next attempt of a request, makes it, hands what came of it to `report`, and asks
again until there is an answer or `pick` gives the final refusal or failure. Only this file sees the module's
events, actions and timers, and only here spans and points of time become the module's seconds.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from itertools import count

from . import interface as api
from .logs import unbound
from .metric_samples import ClassTotals
from .policy.front import FAILS, NEVER_RAN, Scheduler
from .requests import (
    Attempt,
    Counts,
    Failed,
    Final,
    Gate,
    Hold,
    ListKind,
    Node,
    NotCovered,
    Outcome,
    OverBudget,
    Refused,
    Request,
    Status,
    Unacceptable,
    Usage,
)

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class _Held:
    """A request in the broker's hands."""

    id: str
    request: Request
    taken_at: datetime
    usage: Usage
    hold: Hold | None = None
    attempts: int = 0
    ran: int = 0  # of them, those that may have run
    out: Attempt | None = None
    step: asyncio.Future[Attempt | Refused | Failed] | None = None
    final: Refused | Failed | None = None
    passing_on: bool = False  # its answer has begun; the module has its outcome


class Broker:
    def __init__(self, settings: api.Settings, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self._loop = loop or asyncio.get_running_loop()
        # one clock for the module: Unix time at the start, moved on by the loop's steady clock, so that the
        # starts of chunk servers compare with it and a step of the system's clock moves no deadline
        self._offset = datetime.now(UTC).timestamp() - self._loop.time()
        self._settings = settings
        self._scheduler = Scheduler(settings, self._now())
        self._held: dict[Request, _Held] = {}
        self._by_id: dict[str, _Held] = {}
        self._ids = count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._list_wanted: Callable[[], None] = lambda: None
        self._gate: Gate | None = None
        self.counts = Counts()

    @property
    def held(self) -> int:
        """Requests that are still owed an answer."""
        return len(self._held)

    @property
    def dispatches(self) -> int:
        """Attempts that were written whole."""
        return self.counts.dispatches

    @property
    def concurrent(self) -> int:
        """Requests taken and not yet ended."""
        return self.held

    def class_totals(self) -> dict[str, ClassTotals]:
        """How the requests of each class ended, over all plans."""
        totals = {name: ClassTotals() for name in self._settings.classes}
        for (_, name), usage in self.counts.usage.items():
            totals[name].success += usage.served
            totals[name].overload += usage.refused
            totals[name].error += usage.failed
        return totals

    def backing_off(self) -> set[str]:
        """The chunk servers that the decisions avoid for now."""
        return {name for name, node in self._scheduler.nodes.items() if node.fails >= FAILS}

    def _now(self) -> float:
        return self._loop.time() + self._offset

    def _clock(self) -> datetime:
        return datetime.fromtimestamp(self._now(), UTC)

    def on_list_wanted(self, call: Callable[[], None]) -> None:
        """Whom to tell that the module wants the list's changes."""
        self._list_wanted = call

    def admit_by(self, gate: Gate) -> None:
        """From now on, requests with a claim need its word before the module sees them."""
        self._gate = gate

    def now(self) -> float:
        """The module's time: Unix time in seconds that only moves on."""
        return self._now()

    # ---- the facade ----

    async def pick(self, request: Request) -> Attempt | Final:
        """The next attempt of the request, or its final refusal or failure."""
        held = self._held.get(request)
        if held is None:
            held = self._take(request)
            if isinstance(held, NotCovered | OverBudget):
                return held
        try:
            step = await held.step
        except asyncio.CancelledError:
            self.leave(request)
            raise
        if isinstance(step, Refused | Failed):
            held.usage.refused += isinstance(step, Refused)
            held.usage.failed += isinstance(step, Failed)
            self._forget(held)
        return step

    def _take(self, request: Request) -> _Held | NotCovered | OverBudget:
        request.id = f"q{next(self._ids)}"
        hold = None
        if self._gate is not None and request.claim is not None:
            self._check_form(request)
            got = self._gate.admit(self._now(), request)
            if isinstance(got, NotCovered):
                self.counts.not_covered += 1
                return got
            if isinstance(got, OverBudget):
                self.counts.over_budget += 1
                return got
            hold, request.plan, request.team = got, got.plan, got.team
        held = None
        try:
            self._check(request)
            held = _Held(request.id, request, self._clock(), self._usage(request), hold)
        finally:
            if held is None and hold is not None and self._gate is not None:
                self._gate.settle(self._now(), hold, 0, 0)
        self._held[request] = self._by_id[held.id] = held
        held.step = self._loop.create_future()
        held.usage.taken += 1
        self._handle(
            api.Request(
                held.id,
                request.volume,
                request.cls,
                request.plan,
                request.time_left.total_seconds(),
                request.units,
                request.shard,
                request.key,
                request.hosts,
                self._most_attempts(held),
            )
        )
        return held

    def _check(self, request: Request) -> None:
        """Nothing that a client makes up may take part in the decisions, or leave a trace in them."""
        settings = self._settings
        if settings.plans and request.plan not in settings.plans:
            raise Unacceptable("there is no such plan")
        self._check_form(request)

    def _check_form(self, request: Request) -> None:
        settings = self._settings
        if request.cls not in settings.classes:
            raise Unacceptable("there is no such class")
        if not 0 < request.units <= settings.most_units:
            raise Unacceptable("no request has so many units")
        if request.shard < -1:
            raise Unacceptable("there is no such shard")

    def report(self, outcome: Outcome) -> None:
        """How an attempt ended. A served one ends its request; for any other, ask `pick` again."""
        held = self._held.get(outcome.attempt.request)
        if held is None or held.out is not outcome.attempt:
            return  # the client left while the attempt was out: told as cancelled already
        served = outcome.status is Status.OK
        held.out = None
        if not served:  # before the module hears of it: its next action may be the next attempt
            held.step = self._loop.create_future()
            if held.final:
                held.step.set_result(held.final)
        status = outcome.status
        if outcome.attempt.revoked and not served and status not in NEVER_RAN:
            status = Status.CANCELLED
        self.counts.outcomes[status] += 1
        held.ran += status not in NEVER_RAN
        if outcome.elsewhere and held.hold is not None and self._gate is not None:
            self._gate.heard(self._now(), held.hold, outcome.elsewhere)
        self._handle(
            api.Outcome(
                held.id,
                outcome.attempt.number,
                outcome.attempt.node,
                status,
                outcome.latency.total_seconds(),
                closed=served or held.final is not None,
                report=outcome.load,
                elsewhere=outcome.elsewhere,
                most_attempts=0 if served or held.final else self._paid(held),
            )
        )
        if not served:
            return
        held.usage.units += held.request.units
        held.usage.waited += self._clock() - held.taken_at
        if outcome.unfinished:
            held.passing_on = True
        else:
            held.usage.served += 1
            self._forget(held)

    def finish(self, request: Request, whole: bool) -> None:
        """The end of an answer that was passed on as it came; not whole: its chunk server broke it off."""
        held = self._held[request]
        held.usage.served += whole
        held.usage.failed += not whole
        self._forget(held)

    @staticmethod
    def _most_attempts(held: _Held) -> int:
        """Attempts that may be made as things stand; 0: any number."""
        if not held.request.repeatable:
            return 1
        return held.hold.attempts if held.hold else 0

    def _paid(self, held: _Held) -> int:
        """Attempts that are paid for, one more than were made if the budgets bear it; 0: any number."""
        if held.hold is None or self._gate is None or not held.request.repeatable:
            return self._most_attempts(held)
        if held.attempts >= held.hold.attempts and held.attempts < self._settings.max_attempts:
            self._gate.extend(self._now(), held.hold)
        return held.hold.attempts

    def leave(self, request: Request) -> None:
        """The client has left, or the front will not go on: nothing is owed any more."""
        held = self._held.get(request)
        if held is None:
            return
        held.usage.left += 1
        held.ran += held.out is not None
        self._forget(held)
        if held.final is None and not held.passing_on:
            self._handle(api.Gone(held.id))
        if held.out is not None:
            number, node = held.out.number, held.out.node
            held.out.revoke()
            self._handle(api.Outcome(held.id, number, node, Status.CANCELLED, 0.0, closed=True))

    def tick(self) -> None:
        """Lets the module see what time it is."""
        try:
            self._handle(api.Timer(1))
        except Exception:  # a fault met on a timer must not stop the clock for all other requests
            log.exception("tick failed")
            self._wake(0.02)

    def end_within(self, span: timedelta) -> None:
        """The program is about to end: every request, held or still to come, has its final answer by then."""
        self._handle(api.Ending(self._now() + span.total_seconds()))

    def listing(self, kind: ListKind, nodes: list[Node] | None = None) -> None:
        """What discovery told."""
        self._handle(
            api.NodeList(
                kind,
                [
                    api.NodeEntry(
                        n.id, n.shard, n.state, n.started_at.timestamp() if n.started_at else None, n.zone, n.weight
                    )
                    for n in nodes or []
                ],
            )
        )

    # ---- the module's side ----

    def _handle(self, event: api.Event) -> None:
        for action in self._scheduler.handle(self._now(), [event]):
            match action:
                case api.Send(request_id, node, timeout, begin_within):
                    self._sent(request_id, node, timeout, begin_within)
                case api.Refuse(request_id, pause):
                    self._ended(request_id, Refused(timedelta(seconds=pause) if pause > 0 else None))
                case api.Fail(request_id):
                    self._ended(request_id, Failed())
                case api.Cancel(request_id, number):
                    held = self._by_id.get(request_id)
                    if held and held.out and held.out.number == number:
                        held.out.revoke()
                case api.SetTimer(delay, _):
                    self._wake(delay)
                case api.WatchList():
                    self._list_wanted()
                case api.Log(words):
                    with unbound():  # it is of all requests, not of the one that brought it up
                        log.info(words)

    def _usage(self, request: Request) -> Usage:
        """The counters of its plan and class; where the settings name no plan, clients make them up."""
        plan = request.plan if self._settings.plans else "other"
        return self.counts.usage.setdefault((plan, request.cls), Usage())

    def _wake(self, delay: float) -> None:
        # the module asks for a timer only when it needs an earlier one, or when the last has come
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0.0, delay), self.tick)

    def _sent(self, request_id: str, node: str, timeout: float, begin_within: float) -> None:
        held = self._by_id[request_id]
        begin = timedelta(seconds=begin_within) if begin_within < timeout else None
        held.out = Attempt(held.request, held.attempts, node, timedelta(seconds=timeout), begin)
        held.attempts += 1
        self.counts.attempts += 1
        self._step(held, held.out)

    def _ended(self, request_id: str, final: Refused | Failed) -> None:
        if held := self._by_id.get(request_id):
            held.final = final
            if held.out is None:
                self._step(held, final)
            else:  # the answer follows once it is; whatever a simulator lets cancel, a connection can be closed
                held.out.revoke()

    def _step(self, held: _Held, step: Attempt | Refused | Failed) -> None:
        if held.step is not None and not held.step.done():
            held.step.set_result(step)

    def _forget(self, held: _Held) -> None:
        self._held.pop(held.request, None)
        self._by_id.pop(held.id, None)
        if held.hold is not None and self._gate is not None:
            self._gate.settle(self._now(), held.hold, held.attempts, held.ran)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
