"""Connects the scheduler, which does no I/O, to the exchanges: forwards events to it and its actions to them."""

from __future__ import annotations

import time
from collections.abc import Collection, Iterable
from typing import Protocol

from ochrespan.observability.metrics import MetricsRegistry

from .deadlines import Deadline, DeadlineHeap
from .decisions import Action, Outcome, Request, Server
from .router_metrics import RouterMetrics

MIN_TICK_DELAY_S = 0.001


class SchedulerLike(Protocol):
    """The methods of `scheduler.Scheduler` that the dispatcher calls."""

    def set_servers(
        self, now: float, servers: list[Server], routers: int, rank: int, services: Collection[str] | None = None
    ) -> list[Action]: ...
    def submit(self, now: float, request: Request) -> list[Action]: ...
    def cancel(self, now: float, request_id: str) -> list[Action]: ...
    def first_event(self, now: float, request_id: str, latency_s: float) -> None: ...
    def ended(self, now: float, request_id: str, outcome: Outcome) -> list[Action]: ...
    def tick(self, now: float) -> list[Action]: ...
    def next_tick(self, now: float) -> float: ...


class DecisionReceiver(Protocol):
    """Receives the scheduler's decisions about one request."""

    def receive_decision(self, action: Action) -> None: ...
    def refuse_unsent(self) -> None: ...


class Dispatcher:
    """Owns the scheduler. A request is registered here from `submit` to `close`."""

    def __init__(self, scheduler: SchedulerLike, deadlines: DeadlineHeap, metrics: RouterMetrics | None = None) -> None:
        self._scheduler = scheduler
        self._deadlines = deadlines
        self._metrics = metrics or RouterMetrics(MetricsRegistry())
        self._receivers: dict[str, DecisionReceiver] = {}
        self._tick: Deadline | None = None
        self._tick_at = float("inf")

    @property
    def in_flight_requests(self) -> int:
        """The number of requests between `submit` and `close`, queued ones included."""
        return len(self._receivers)

    def set_servers(
        self, servers: list[Server], routers: int, rank: int, services: Collection[str] | None = None
    ) -> None:
        """Replaces the servers of `services` (None: all services); `rank` is this router's index among `routers`."""
        now = time.monotonic()
        self._apply(now, self._scheduler.set_servers(now, servers, routers, rank, services))

    def submit(self, request: Request, receiver: DecisionReceiver) -> None:
        self._receivers[request.id] = receiver
        now = time.monotonic()
        self._apply(now, self._scheduler.submit(now, request))

    def first_event(self, request_id: str, latency_s: float) -> None:
        self._scheduler.first_event(time.monotonic(), request_id, latency_s)

    def attempt_ended(self, request_id: str, outcome: Outcome) -> None:
        self._metrics.record_attempt_end(outcome)
        now = time.monotonic()
        self._apply(now, self._scheduler.ended(now, request_id, outcome))

    def cancel(self, request_id: str) -> None:
        """Cancels a request on the client's side; one that has already ended is ignored."""
        now = time.monotonic()
        self._apply(now, self._scheduler.cancel(now, request_id))

    def close(self, request_id: str) -> None:
        """Unregisters a request and cancels it at the scheduler; it receives no further decisions."""
        if self._receivers.pop(request_id, None) is not None:
            self.cancel(request_id)

    def refuse_unsent(self) -> None:
        """Refuses all requests for which no server has been tried."""
        for receiver in list(self._receivers.values()):
            receiver.refuse_unsent()

    def _apply(self, now: float, actions: Iterable[Action]) -> None:
        for action in actions:
            self._metrics.record_decision(action)
            if receiver := self._receivers.get(action.request_id):
                receiver.receive_decision(action)
        self._schedule_tick(now)

    def _schedule_tick(self, now: float) -> None:
        at = self._scheduler.next_tick(now)
        if at < self._tick_at:
            if self._tick is not None:
                self._tick.cancel()
            self._tick_at = at
            self._tick = self._deadlines.schedule(max(at, now + MIN_TICK_DELAY_S), self._run_tick)

    def _run_tick(self) -> None:
        self._tick, self._tick_at = None, float("inf")
        now = time.monotonic()
        self._apply(now, self._scheduler.tick(now))
