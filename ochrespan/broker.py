"""Runs requests through the scheduler: an awaitable interface over its events and actions.

A front awaits `pick` for the next attempt of a request, makes the attempt, passes its outcome to `report`, and
repeats this until an attempt succeeds or `pick` returns the final refusal or failure. Only this module handles the
scheduler's events, actions and timers, and only here datetimes and timedeltas are converted to its seconds.
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
from .policy.front import MAX_BACKOFF_FAILURES, NOT_EXECUTED, Scheduler
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
    """The broker's state of a request that has no final answer yet."""

    id: str
    request: Request
    taken_at: datetime
    usage: Usage
    reservation: Reservation | None = None
    attempts: int = 0
    maybe_executed: int = 0  # attempts that a chunk server may have executed
    current_attempt: Attempt | None = None
    next_step: asyncio.Future[Attempt | Refused | Failed] | None = None
    final: Refused | Failed | None = None
    streaming: bool = False  # the response body is being forwarded; the scheduler has the outcome


class Broker:
    def __init__(self, settings: api.Settings, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self._loop = loop or asyncio.get_running_loop()
        # The scheduler's clock is Unix time at the start, advanced by the event loop's monotonic clock: it can be
        # compared with the start times of chunk servers, and a step of the system clock moves no deadline.
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
        """The number of requests without a final answer."""
        return len(self._pending)

    @property
    def dispatches(self) -> int:
        """Attempts that were sent completely."""
        return self.counts.dispatches

    @property
    def concurrent(self) -> int:
        """Requests that were accepted and have not ended."""
        return self.pending

    def class_totals(self) -> dict[str, ClassTotals]:
        """Ended requests by class and result, summed over all plans."""
        totals = {name: ClassTotals() for name in self._settings.classes}
        for (_, name), usage in self.counts.usage.items():
            totals[name].success += usage.served
            totals[name].overload += usage.refused
            totals[name].error += usage.failed
        return totals

    def backing_off(self) -> set[str]:
        """Ids of the chunk servers that the scheduler avoids after consecutive failures."""
        return {name for name, node in self._scheduler.nodes.items() if node.failures >= MAX_BACKOFF_FAILURES}

    def _now(self) -> float:
        return self._loop.time() + self._unix_time_offset

    def _clock(self) -> datetime:
        return datetime.fromtimestamp(self._now(), UTC)

    def on_watch_requested(self, call: Callable[[], None]) -> None:
        """Sets the callback for the scheduler's request to watch the list of chunk servers."""
        self._watch_requested = call

    def set_admission_gate(self, gate: AdmissionGate) -> None:
        """From now on, the gate must admit each request with a claim before the scheduler sees it."""
        self._gate = gate

    def now(self) -> float:
        """The scheduler's clock: Unix time in seconds, monotonic."""
        return self._now()

    # ---- interface for the fronts ----

    async def pick(self, request: Request) -> Attempt | Final:
        """Waits for the next attempt of the request, or for its final refusal or failure."""
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
            admission = self._gate.admit(self._now(), request)
            if isinstance(admission, NotCovered):
                self.counts.not_covered += 1
                return admission
            if isinstance(admission, OverBudget):
                self.counts.over_budget += 1
                return admission
            reservation, request.plan, request.team = admission, admission.plan, admission.team
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
        """Rejects values that the settings do not define, so that clients cannot create scheduler state with them."""
        settings = self._settings
        if settings.plans and request.plan not in settings.plans:
            raise Unacceptable("there is no such plan")
        self._check_bounds(request)

    def _check_bounds(self, request: Request) -> None:
        settings = self._settings
        if request.cls not in settings.classes:
            raise Unacceptable("there is no such class")
        if not 0 < request.units <= settings.max_units:
            raise Unacceptable("no request has so many units")
        if request.shard < -1:
            raise Unacceptable("there is no such shard")

    def report(self, outcome: Outcome) -> None:
        """Takes the outcome of an attempt. A success ends its request; after any other, call `pick` again."""
        pending = self._pending.get(outcome.attempt.request)
        if pending is None or pending.current_attempt is not outcome.attempt:
            return  # the client disconnected during the attempt, which was reported as cancelled
        served = outcome.status is Status.OK
        pending.current_attempt = None
        if not served:  # before the scheduler gets the outcome: its next action may be the next attempt
            pending.next_step = self._loop.create_future()
            if pending.final:
                pending.next_step.set_result(pending.final)
        status = outcome.status
        if outcome.attempt.revoked and not served and status not in NOT_EXECUTED:
            status = Status.CANCELLED
        self.counts.outcomes[status] += 1
        pending.maybe_executed += status not in NOT_EXECUTED
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
                units_elsewhere=outcome.elsewhere,
                max_attempts=0 if served or pending.final else self._funded_attempts(pending),
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
        """Ends a request whose response was streamed; not complete: the chunk server aborted the response."""
        pending = self._pending[request]
        pending.usage.served += complete
        pending.usage.failed += not complete
        self._remove(pending)

    @staticmethod
    def _attempt_limit(pending: _PendingRequest) -> int:
        """The number of attempts allowed so far; 0: unlimited."""
        if not pending.request.replayable:
            return 1
        return pending.reservation.attempts if pending.reservation else 0

    def _funded_attempts(self, pending: _PendingRequest) -> int:
        """The number of attempts covered by the budgets, after trying to reserve one more; 0: unlimited."""
        if pending.reservation is None or self._gate is None or not pending.request.replayable:
            return self._attempt_limit(pending)
        if pending.attempts >= pending.reservation.attempts and pending.attempts < self._settings.max_attempts:
            self._gate.extend(self._now(), pending.reservation)
        return pending.reservation.attempts

    def abandon(self, request: Request) -> None:
        """Drops a request whose client disconnected or which the front does not continue; it needs no answer."""
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
        """Passes a timer event to the scheduler."""
        try:
            self._handle(api.Timer(1))
        except Exception:  # an error in a timer event must not stop the timer for all other requests
            log.exception("scheduler timer failed; retrying")
            self._set_timer(0.02)

    def complete_within(self, span: timedelta) -> None:
        """The process will exit: every request, pending or still to come, gets its final answer within this time."""
        self._handle(api.Ending(self._now() + span.total_seconds()))

    def update_servers(self, kind: ListKind, nodes: list[Node] | None = None) -> None:
        """Passes an update of the list of chunk servers to the scheduler."""
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

    # ---- scheduler events and actions ----

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
                    with unbound():  # the line is not about the request whose event caused it
                        log.info(text)

    def _usage(self, request: Request) -> Usage:
        """The counters of the plan and class; without plans in the settings, the client's plan counts as "other"."""
        plan = request.plan if self._settings.plans else "other"
        return self.counts.usage.setdefault((plan, request.cls), Usage())

    def _set_timer(self, delay: float) -> None:
        # the scheduler sets a timer only when it needs an earlier one or when the previous one has fired
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
            else:  # the final answer follows the attempt's outcome; closing its connection is always possible here
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
