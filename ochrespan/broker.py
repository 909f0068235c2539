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
    AdmissionGate,
    Attempt,
    Counts,
    Failed,
    Final,
    ListKind,
    Node,
    NotCovered,
    Outcome,
    OverBudget,
    Refused,
    Request,
    Reservation,
    Status,
    Unacceptable,
    Usage,
)

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request in the broker's hands."""

    id: str
    request: Request
    taken_at: datetime
    usage: Usage
    reservation: Reservation | None = None
    attempts: int = 0
    maybe_executed: int = 0  # of them, those that may have run
    current_attempt: Attempt | None = None
    next_step: asyncio.Future[Attempt | Refused | Failed] | None = None
    final: Refused | Failed | None = None
    streaming: bool = False  # its answer has begun; the module has its outcome


class Broker:
    def __init__(self, settings: api.Settings, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self._loop = loop or asyncio.get_running_loop()
        # one clock for the module: Unix time at the start, moved on by the loop's steady clock, so that the
        # starts of chunk servers compare with it and a step of the system's clock moves no deadline
        self._unix_time_offset = datetime.now(UTC).timestamp() - self._loop.time()
        self._settings = settings
        self._scheduler = Scheduler(settings, self._now())
        self._pending: dict[Request, _PendingRequest] = {}
        self._pending_by_id: dict[str, _PendingRequest] = {}
        self._ids = count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._watch_requested: Callable[[], None] = lambda: None
        self._gate: AdmissionGate | None = None
        self.counts = Counts()

    @property
    def pending(self) -> int:
        """Requests that are still owed an answer."""
        return len(self._pending)

    @property
    def dispatches(self) -> int:
        """Attempts that were written whole."""
        return self.counts.dispatches

    @property
    def concurrent(self) -> int:
        """Requests taken and not yet ended."""
        return self.pending

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
        return self._loop.time() + self._unix_time_offset

    def _clock(self) -> datetime:
        return datetime.fromtimestamp(self._now(), UTC)

    def on_watch_requested(self, call: Callable[[], None]) -> None:
        """Whom to tell that the module wants the list's changes."""
        self._watch_requested = call

    def set_admission_gate(self, gate: AdmissionGate) -> None:
        """From now on, requests with a claim need its word before the module sees them."""
        self._gate = gate

    def now(self) -> float:
        """The module's time: Unix time in seconds that only moves on."""
        return self._now()

    # ---- the facade ----

    async def pick(self, request: Request) -> Attempt | Final:
        """The next attempt of the request, or its final refusal or failure."""
        pending = self._pending.get(request)
        if pending is None:
            pending = self._accept(request)
            if isinstance(pending, NotCovered | OverBudget):
                return pending
        try:
            next_step = await pending.next_step
        except asyncio.CancelledError:
            self.abandon(request)
            raise
        if isinstance(next_step, Refused | Failed):
            pending.usage.refused += isinstance(next_step, Refused)
            pending.usage.failed += isinstance(next_step, Failed)
            self._remove(pending)
        return next_step

    def _accept(self, request: Request) -> _PendingRequest | NotCovered | OverBudget:
        request.id = f"q{next(self._ids)}"
        reservation = None
        if self._gate is not None and request.claim is not None:
            self._check_bounds(request)
            got = self._gate.admit(self._now(), request)
            if isinstance(got, NotCovered):
                self.counts.not_covered += 1
                return got
            if isinstance(got, OverBudget):
                self.counts.over_budget += 1
                return got
            reservation, request.plan, request.team = got, got.plan, got.team
        pending = None
        try:
            self._check(request)
            pending = _PendingRequest(request.id, request, self._clock(), self._usage(request), reservation)
        finally:
            if pending is None and reservation is not None and self._gate is not None:
                self._gate.release(self._now(), reservation, 0, 0)
        self._pending[request] = self._pending_by_id[pending.id] = pending
        pending.next_step = self._loop.create_future()
        pending.usage.taken += 1
        self._handle(
            api.Request(
                pending.id,
                request.volume,
                request.cls,
                request.plan,
                request.time_left.total_seconds(),
                request.units,
                request.shard,
                request.key,
                request.hosts,
                self._attempt_limit(pending),
            )
        )
        return pending

    def _check(self, request: Request) -> None:
        """Nothing that a client makes up may take part in the decisions, or leave a trace in them."""
        settings = self._settings
        if settings.plans and request.plan not in settings.plans:
            raise Unacceptable("there is no such plan")
        self._check_bounds(request)

    def _check_bounds(self, request: Request) -> None:
        settings = self._settings
        if request.cls not in settings.classes:
            raise Unacceptable("there is no such class")
        if not 0 < request.units <= settings.most_units:
            raise Unacceptable("no request has so many units")
        if request.shard < -1:
            raise Unacceptable("there is no such shard")

    def report(self, outcome: Outcome) -> None:
        """How an attempt ended. A served one ends its request; for any other, ask `pick` again."""
        pending = self._pending.get(outcome.attempt.request)
        if pending is None or pending.current_attempt is not outcome.attempt:
            return  # the client left while the attempt was out: told as cancelled already
        served = outcome.status is Status.OK
        pending.current_attempt = None
        if not served:  # before the module hears of it: its next action may be the next attempt
            pending.next_step = self._loop.create_future()
            if pending.final:
                pending.next_step.set_result(pending.final)
        status = outcome.status
        if outcome.attempt.revoked and not served and status not in NEVER_RAN:
            status = Status.CANCELLED
        self.counts.outcomes[status] += 1
        pending.maybe_executed += status not in NEVER_RAN
        if outcome.elsewhere and pending.reservation is not None and self._gate is not None:
            self._gate.record_usage_elsewhere(self._now(), pending.reservation, outcome.elsewhere)
        self._handle(
            api.Outcome(
                pending.id,
                outcome.attempt.number,
                outcome.attempt.node,
                status,
                outcome.latency.total_seconds(),
                closed=served or pending.final is not None,
                report=outcome.load,
                elsewhere=outcome.elsewhere,
                most_attempts=0 if served or pending.final else self._funded_attempts(pending),
            )
        )
        if not served:
            return
        pending.usage.units += pending.request.units
        pending.usage.waited += self._clock() - pending.taken_at
        if outcome.streaming:
            pending.streaming = True
        else:
            pending.usage.served += 1
            self._remove(pending)

    def finish(self, request: Request, complete: bool) -> None:
        """The end of an answer that was passed on as it came; not whole: its chunk server broke it off."""
        pending = self._pending[request]
        pending.usage.served += complete
        pending.usage.failed += not complete
        self._remove(pending)

    @staticmethod
    def _attempt_limit(pending: _PendingRequest) -> int:
        """Attempts that may be made as things stand; 0: any number."""
        if not pending.request.repeatable:
            return 1
        return pending.reservation.attempts if pending.reservation else 0

    def _funded_attempts(self, pending: _PendingRequest) -> int:
        """Attempts that are paid for, one more than were made if the budgets bear it; 0: any number."""
        if pending.reservation is None or self._gate is None or not pending.request.repeatable:
            return self._attempt_limit(pending)
        if pending.attempts >= pending.reservation.attempts and pending.attempts < self._settings.max_attempts:
            self._gate.extend(self._now(), pending.reservation)
        return pending.reservation.attempts

    def abandon(self, request: Request) -> None:
        """The client has left, or the front will not go on: nothing is owed any more."""
        pending = self._pending.get(request)
        if pending is None:
            return
        pending.usage.left += 1
        pending.maybe_executed += pending.current_attempt is not None
        self._remove(pending)
        if pending.final is None and not pending.streaming:
            self._handle(api.Gone(pending.id))
        if pending.current_attempt is not None:
            number, node = pending.current_attempt.number, pending.current_attempt.node
            pending.current_attempt.revoke()
            self._handle(api.Outcome(pending.id, number, node, Status.CANCELLED, 0.0, closed=True))

    def tick(self) -> None:
        """Lets the module see what time it is."""
        try:
            self._handle(api.Timer(1))
        except Exception:  # a fault met on a timer must not stop the clock for all other requests
            log.exception("tick failed")
            self._set_timer(0.02)

    def complete_within(self, span: timedelta) -> None:
        """The program is about to end: every request, held or still to come, has its final answer by then."""
        self._handle(api.Ending(self._now() + span.total_seconds()))

    def update_servers(self, kind: ListKind, nodes: list[Node] | None = None) -> None:
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
                    self._start_attempt(request_id, node, timeout, begin_within)
                case api.Refuse(request_id, retry_after):
                    self._finalize(request_id, Refused(timedelta(seconds=retry_after) if retry_after > 0 else None))
                case api.Fail(request_id):
                    self._finalize(request_id, Failed())
                case api.Cancel(request_id, number):
                    pending = self._pending_by_id.get(request_id)
                    if pending and pending.current_attempt and pending.current_attempt.number == number:
                        pending.current_attempt.revoke()
                case api.SetTimer(delay, _):
                    self._set_timer(delay)
                case api.WatchList():
                    self._watch_requested()
                case api.Log(text):
                    with unbound():  # it is of all requests, not of the one that brought it up
                        log.info(text)

    def _usage(self, request: Request) -> Usage:
        """The counters of its plan and class; where the settings name no plan, clients make them up."""
        plan = request.plan if self._settings.plans else "other"
        return self.counts.usage.setdefault((plan, request.cls), Usage())

    def _set_timer(self, delay: float) -> None:
        # the module asks for a timer only when it needs an earlier one, or when the last has come
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0.0, delay), self.tick)

    def _start_attempt(self, request_id: str, node: str, timeout: float, begin_within: float) -> None:
        pending = self._pending_by_id[request_id]
        start_within = timedelta(seconds=begin_within) if begin_within < timeout else None
        pending.current_attempt = Attempt(
            pending.request, pending.attempts, node, timedelta(seconds=timeout), start_within
        )
        pending.attempts += 1
        self.counts.attempts += 1
        self._resolve_step(pending, pending.current_attempt)

    def _finalize(self, request_id: str, final: Refused | Failed) -> None:
        if pending := self._pending_by_id.get(request_id):
            pending.final = final
            if pending.current_attempt is None:
                self._resolve_step(pending, final)
            else:  # the answer follows once it is; whatever a simulator lets cancel, a connection can be closed
                pending.current_attempt.revoke()

    def _resolve_step(self, pending: _PendingRequest, next_step: Attempt | Refused | Failed) -> None:
        if pending.next_step is not None and not pending.next_step.done():
            pending.next_step.set_result(next_step)

    def _remove(self, pending: _PendingRequest) -> None:
        self._pending.pop(pending.request, None)
        self._pending_by_id.pop(pending.id, None)
        if pending.reservation is not None and self._gate is not None:
            self._gate.release(self._now(), pending.reservation, pending.attempts, pending.maybe_executed)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
