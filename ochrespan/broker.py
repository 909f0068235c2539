"""The core: requests, attempts and outcomes round the decision module, in blocking style.

A front asks `pick` for the next attempt of a request, makes it, hands what came of it to `report`, and asks
again until there is an answer or `pick` gives the final refusal or failure. Only this file sees the module's
events, actions and timers, and only here spans and points of time become the module's seconds.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from itertools import count

from . import interface as api
from .interface import ListKind, NodeState, Status
from .policy import Scheduler

log = logging.getLogger(__name__)

__all__ = ["Attempt", "Broker", "Failed", "ListKind", "Node", "NodeState", "Outcome", "Refused", "Request",
           "Status", "Unacceptable"]


@dataclass(slots=True, eq=False)
class Request:
    """What a front has taken and owes one final answer."""

    volume: str
    cls: str
    plan: str
    time_left: timedelta
    units: float = 1.0
    shard: int = -1
    key: str = ""
    hosts: int = 0


class Unacceptable(ValueError):
    """A request that names what the settings do not know, or asks for more than one request may."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One try at one node, for so long; `limited` ends it early when the broker takes it back."""

    request: Request
    number: int
    node: str
    timeout: timedelta
    revoked: bool = False
    _limit: asyncio.Timeout | None = None

    @asynccontextmanager
    async def limited(self) -> AsyncIterator[None]:
        """A time limit round the exchange; TimeoutError when the front has to stop waiting."""
        if self.revoked:
            raise TimeoutError
        try:
            async with asyncio.timeout(self.timeout.total_seconds()) as self._limit:
                yield
        finally:
            self._limit = None

    def revoke(self) -> None:
        self.revoked = True
        # a limit that is just running out cannot be moved: the error would take the actions that follow with it
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(asyncio.get_running_loop().time())


@dataclass(frozen=True, slots=True)
class Refused:
    """Final: trying again is harmless, after so long where that is told."""

    pause: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Final: promises nothing."""


@dataclass(slots=True)
class Outcome:
    attempt: Attempt
    status: Status
    latency: timedelta
    load: dict[str, float] = field(default_factory=dict)
    elsewhere: float = 0.0


@dataclass(slots=True)
class Node:
    """An entry of the list of chunk servers."""

    id: str
    shard: int = -1
    state: NodeState = NodeState.READY
    started_at: datetime | None = None
    zone: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class Usage:
    """What one plan has had in one class."""

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    units: float = 0.0  # served
    waited: timedelta = timedelta()  # from taken to served, summed


@dataclass(slots=True, eq=False)
class _Held:
    """A request in the broker's hands."""

    id: str
    request: Request
    taken_at: datetime
    usage: Usage
    attempts: int = 0
    out: Attempt | None = None
    step: asyncio.Future[Attempt | Refused | Failed] | None = None
    final: Refused | Failed | None = None


@dataclass(slots=True)
class Counts:
    """What has happened since the start, for the exporters."""

    attempts: int = 0
    outcomes: dict[Status, int] = field(default_factory=lambda: dict.fromkeys(Status, 0))
    usage: dict[tuple[str, str], Usage] = field(default_factory=dict)  # by plan and class


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
        self.counts = Counts()

    @property
    def held(self) -> int:
        """Requests that are still owed an answer."""
        return len(self._held)

    def _now(self) -> float:
        return self._loop.time() + self._offset

    def _clock(self) -> datetime:
        return datetime.fromtimestamp(self._now(), UTC)

    def on_list_wanted(self, call: Callable[[], None]) -> None:
        """Whom to tell that the module wants the list's changes."""
        self._list_wanted = call

    # ---- the facade ----

    async def pick(self, request: Request) -> Attempt | Refused | Failed:
        """The next attempt of the request, or its final refusal or failure."""
        held = self._held.get(request)
        if held is None:
            self._check(request)
            held = _Held(f"q{next(self._ids)}", request, self._clock(), self._usage(request))
            self._held[request] = self._by_id[held.id] = held
            held.step = self._loop.create_future()
            held.usage.taken += 1
            self._handle(api.Request(
                held.id, request.volume, request.cls, request.plan, request.time_left.total_seconds(),
                request.units, request.shard, request.key, request.hosts))
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

    def _check(self, request: Request) -> None:
        """Nothing that a client makes up may take part in the decisions, or leave a trace in them."""
        settings = self._settings
        if request.cls not in settings.classes:
            raise Unacceptable("there is no such class")
        if settings.plans and request.plan not in settings.plans:
            raise Unacceptable("there is no such plan")
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
        status = Status.CANCELLED if outcome.attempt.revoked and not served else outcome.status
        self.counts.outcomes[status] += 1
        self._handle(api.Outcome(
            held.id, outcome.attempt.number, outcome.attempt.node, status, outcome.latency.total_seconds(),
            closed=served or held.final is not None, report=outcome.load, elsewhere=outcome.elsewhere))
        if served:
            held.usage.served += 1
            held.usage.units += held.request.units
            held.usage.waited += self._clock() - held.taken_at
            self._forget(held)

    def leave(self, request: Request) -> None:
        """The client has left, or the front will not go on: nothing is owed any more."""
        held = self._held.get(request)
        if held is None:
            return
        held.usage.left += 1
        self._forget(held)
        if held.final is None:
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
        self._handle(api.NodeList(kind, [
            api.NodeEntry(n.id, n.shard, n.state, n.started_at.timestamp() if n.started_at else None, n.zone,
                          n.weight) for n in nodes or []]))

    # ---- the module's side ----

    def _handle(self, event: api.Event) -> None:
        for action in self._scheduler.handle(self._now(), [event]):
            match action:
                case api.Send(request_id, node, timeout):
                    self._sent(request_id, node, timeout)
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

    def _sent(self, request_id: str, node: str, timeout: float) -> None:
        held = self._by_id[request_id]
        held.out = Attempt(held.request, held.attempts, node, timedelta(seconds=timeout))
        held.attempts += 1
        self.counts.attempts += 1
        self._step(held, held.out)

    def _ended(self, request_id: str, final: Refused | Failed) -> None:
        if held := self._by_id.get(request_id):
            held.final = final
            if held.out is None:  # else once its attempt has been taken back
                self._step(held, final)

    def _step(self, held: _Held, step: Attempt | Refused | Failed) -> None:
        if held.step is not None and not held.step.done():
            held.step.set_result(step)

    def _forget(self, held: _Held) -> None:
        self._held.pop(held.request, None)
        self._by_id.pop(held.id, None)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
