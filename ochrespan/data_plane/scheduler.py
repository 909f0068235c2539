"""The router's decisions: events in, actions out, time as an argument.

A request joins its flow (tenant and route); LexAS gates it into the scheduler queue of its service by eta; ARR picks
the flow with the smallest (a + 1) / delta when a server of the service has room; placement names the server. What
cannot be served in time is refused early.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Collection
from itertools import count
from math import ceil, inf

from .decision_record import AttemptRecord, milliseconds
from .decisions import NEVER_RAN, Action, Fail, Outcome, Refuse, Request, Send, Server
from .flow_queues import Job
from .flows import FlowTable
from .placement import Placement, Prompt, shared_prefix
from .retry_budget import RetryBudget
from .server_state import Attempt, ServerState
from .service_pool import Pool
from .urgency import server_priority

__all__ = ["Action", "Fail", "Outcome", "Refuse", "Request", "Scheduler", "Send", "Server"]

TOKENS_PER_UNIT = 2000.0  # of prompt and 10 x answer: what a flow is charged as one unit
ANSWER_COST = 10.0  # prompt tokens that an answer's token costs
LEAST_LENGTH = 8  # requests in the scheduler queue: among fewer ARR has no choice
REFUSE_AT = 0.2  # part of the aim after which what is unsent is refused, or sent for all that
MOST_CONNECT_FAILURES = 3  # servers that could not be reached, for one request
HOPELESS = 3.0  # aims of waiting at a server beyond which a request is refused rather than sent
ANSWER_MARGIN = 0.02  # s before a deadline when the final answer has to leave
UNKNOWN_BASE = 0.2  # part of the aim that a first piece is taken to need beside reading before any has come


class Scheduler:
    """All decisions of one router about requests."""

    def __init__(self, own_zone: str, seed: int, retry_ratio: float, retry_slack: float, retry_window: float) -> None:
        self._zone, self._random = own_zone, random.Random(seed)
        self._retry = (retry_ratio, retry_slack, retry_window)
        self._routers = 1
        self._pools: dict[str, Pool] = {}
        self._jobs: dict[str, Job] = {}
        self._flows = FlowTable()
        self._checks: list[tuple[float, int, Job]] = []  # when to look at a request that waits
        self._count = count()
        self._actions: list[Action] = []

    # events

    def set_servers(
        self, now: float, servers: list[Server], routers: int, rank: int, services: Collection[str] | None = None
    ) -> list[Action]:
        """All servers of these services, or of every service; `rank` is this router's place among the live ones."""
        routers = max(1, routers)
        routers_changed, self._routers = routers != self._routers, routers
        by_service: dict[str, list[Server]] = {name: [] for name in (self._pools if services is None else services)}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
        for name, listed in by_service.items():
            self._pool(now, name).set_servers(listed, self._routers)
        if routers_changed:
            self._set_shares()
        for name in self._pools if routers_changed else by_service:
            self._pump(now, self._pools[name])
        return self._take_actions()

    def submit(self, now: float, request: Request) -> list[Action]:
        """A client's request has been read and admitted."""
        self._flows.end_round(now)
        flow = self._flows.of(now, request)
        units = max(1.0, (request.tokens_in + ANSWER_COST * request.tokens_out) / TOKENS_PER_UNIT)
        shared = request.shared_tokens
        own = max(0, request.tokens_in - shared)
        prompt = Prompt(
            shared_prefix(request.prefix), shared, own, request.aim, request.route, request.home, request.is_unread
        )
        job = Job(request, flow, units, prompt)
        self._jobs[request.id] = job
        pool = self._pool(now, request.service)
        pool.queues.add(job)
        self._check_at(job, min(request.arrived + REFUSE_AT * request.aim, request.deadline - ANSWER_MARGIN))
        self._pump(now, pool)
        return self._take_actions()

    def cancel(self, now: float, request_id: str) -> list[Action]:
        """The client has left; an attempt that is out is the relay's to end, and its end is not told any more."""
        job = self._jobs.get(request_id)
        if job is None:
            return []
        pool = self._pool(now, job.request.service)
        if job.server is not None:
            if job.request.record is not None:
                _record_end(now, job, Outcome.CANCELLED)
            pool.judge_silence(now, job.server, job.server.ended(now, request_id))
        self._close(job)
        self._pump(now, pool)
        return self._take_actions()

    def first_event(self, now: float, request_id: str, latency_s: float) -> None:
        """The first piece of the running attempt's answer, or its head, came `latency_s` after it was sent."""
        job = self._jobs.get(request_id)
        if job is None or job.server is None or request_id not in job.server.out:
            return
        attempt, pool = job.server.out[request_id], self._pool(now, job.request.service)
        if attempt.answered:
            return
        job.server.answered(now, request_id, latency_s, job.request.aim)
        if job.request.record is not None:
            job.request.record.attempts[-1].first = milliseconds(now - job.request.arrived)
        pool.placement.times.observe(attempt.route, attempt.cost, latency_s)
        if not job.started:  # a stream that was taken up elsewhere has missed nothing by that
            job.flow.answered(now - job.request.arrived, job.request.aim)
        job.started = True

    def progress(self, now: float, request_id: str) -> None:
        """A further piece of the answer has come."""

    def ended(self, now: float, request_id: str, outcome: Outcome) -> list[Action]:
        """The running attempt has ended."""
        self._flows.end_round(now)
        job = self._jobs.get(request_id)
        if job is None or job.server is None:
            return []
        server, job.server = job.server, None
        pool = self._pool(now, job.request.service)
        attempt = server.ended(now, request_id)
        if attempt is not None:
            pool.judge(now, server, outcome, attempt)
        if job.request.record is not None:
            _record_end(now, job, outcome)
        if outcome not in NEVER_RAN:
            job.may_have_run = True
        if outcome is Outcome.NOT_SENT:
            job.servers -= 1
        if outcome in (Outcome.DONE, Outcome.FAILED_STATUS, Outcome.CANCELLED):
            self._close(job)
        elif self._may_retry(now, pool, job, outcome):
            job.held = True
            pool.queues.add(job, first=True)
            self._check_at(job, min(now + REFUSE_AT * job.request.aim, job.request.deadline - ANSWER_MARGIN))
        else:
            self._give_up(now, pool, job, 504 if outcome is Outcome.TIMED_OUT else 502)
        self._pump(now, pool)
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Looks at what has waited long enough."""
        self._flows.end_round(now)
        touched: dict[str, None] = {}
        while self._checks and self._checks[0][0] <= now:
            job = heapq.heappop(self._checks)[2]
            if job.done or not job.held:
                continue
            pool = self._pool(now, job.request.service)
            touched[job.request.service] = None
            if now >= job.request.deadline - ANSWER_MARGIN or not self._send_late(now, pool, job):
                self._give_up(now, pool, job, 504)
        for name in touched:
            self._pump(now, self._pools[name])
        return self._take_actions()

    def next_tick(self, now: float) -> float:
        """When `tick` has to be called at the latest."""
        while self._checks and (self._checks[0][2].done or not self._checks[0][2].held):
            heapq.heappop(self._checks)
        return self._checks[0][0] if self._checks else inf

    def is_usable(self, service: str, server_id: str) -> bool:
        """Whether the table has this server for new requests."""
        pool = self._pools.get(service)
        state = pool.servers.get(server_id) if pool is not None else None
        return state is not None and not state.server.draining

    # tables

    def _pool(self, now: float, service: str) -> Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = Pool(RetryBudget(*self._retry, now), Placement(self._zone))
        return pool

    def _set_shares(self) -> None:
        """This router's part of every server, after another count of routers."""
        for pool in self._pools.values():
            pool.set_shares(self._routers)

    # queues

    def _check_at(self, job: Job, at: float) -> None:
        heapq.heappush(self._checks, (at, next(self._count), job))

    def _pump(self, now: float, pool: Pool) -> None:
        """Sends while a server has room: the flow by ARR, the server by placement."""
        if not pool.queues:
            return
        length = max(LEAST_LENGTH, 2 * sum(ceil(server.window) for server in pool.usable))
        while True:
            pool.queues.promote(now, length)
            found = self._pick(now, pool)
            if found is None:
                return
            job, server = found
            pool.queues.remove(job)
            self._send(now, pool, job, server)

    def _pick(self, now: float, pool: Pool) -> tuple[Job, ServerState] | None:
        """The next request whose server has room."""
        for job in pool.queues.in_turn():
            server = self._place(now, pool, job)
            if server is not None:
                return job, server
        return None

    def _place(self, now: float, pool: Pool, job: Job) -> ServerState | None:
        return pool.placement.best(now, job.prompt, job.tried, lambda server: server.has_room(now))

    def _send(self, now: float, pool: Pool, job: Job, server: ServerState, beyond_window: bool = False) -> None:
        request, flow = job.request, job.flow
        times, wait = pool.placement.times, server.queue_wait(now)
        kept = pool.placement.is_kept(now, server, job.prompt)
        cost = job.prompt.cost(kept)
        expected = times.expected(request.route, cost, UNKNOWN_BASE * request.aim)
        attempt = Attempt(now, request.route, cost, expected, wait)
        if request.record is not None:
            choice = pool.placement.choice(job.prompt, server)
            request.record.attempts.append(_attempt_record(now, job, server, choice, beyond_window, kept, attempt))
        server.sent(now, request.id, attempt, times.pace * cost, job.prompt.key if job.prompt.shared else "")
        if job.servers:
            pool.budget.spend(now)
        elif not job.attempts:
            pool.budget.record_first(now)
        flow.a += 1
        job.attempts, job.servers, job.held, job.server = job.attempts + 1, job.servers + 1, False, server
        job.tried.append(server.server.id)
        within = max(0.001, request.deadline - now)
        urgency = server_priority(self._flows.step(request), cost)
        self._actions.append(Send(request.id, server.server.id, job.attempts, urgency, within))

    # ends

    def _may_retry(self, now: float, pool: Pool, job: Job, outcome: Outcome) -> bool:
        request = job.request
        if job.may_have_run and not job.is_idempotent:
            return False
        if now >= request.deadline - ANSWER_MARGIN or job.servers >= max(1, request.max_servers):
            return False
        if outcome is Outcome.NOT_SENT and not job.servers:
            return job.attempts <= MOST_CONNECT_FAILURES
        return pool.budget.has_room(now, self._routers)

    def _send_late(self, now: float, pool: Pool, job: Job) -> bool:
        """A request that has waited long is sent beyond the windows, unless its servers are busy for too long."""

        def usable(candidate: ServerState) -> bool:
            return candidate.may_overflow(now)

        placement = pool.placement
        server = placement.best(now, job.prompt, job.tried, usable) or placement.any(now, job.prompt, job.tried, usable)
        if server is None:
            return False
        late = server.queue_wait(now) > HOPELESS * job.request.aim
        if late and server.is_half_taken(self._routers):
            return False
        if job.attempts and not self._may_retry(now, pool, job, Outcome.REJECTED_FULL):
            return False
        pool.queues.charge(now, job)
        self._send(now, pool, job, server, beyond_window=True)
        return True

    def _give_up(self, now: float, pool: Pool, job: Job, status: int) -> None:
        """The final answer, at once: a refusal where nothing has run or a repeat is harmless."""
        request = job.request
        if job.started or (job.may_have_run and not job.is_idempotent):
            self._actions.append(Fail(request.id, status))
        else:
            self._actions.append(Refuse(request.id, 503, self._pause(now, pool, job)))
        self._close(job)

    def _pause(self, now: float, pool: Pool, job: Job) -> float:
        """When to come back: once the shortest queue has passed, spread so as not to flock."""
        wait = min((server.queue_wait(now) for server in pool.usable), default=inf)
        return min(0.5 * job.request.aim, max(wait, 0.1 * job.request.aim)) * (0.5 + self._random.random())

    def _close(self, job: Job) -> None:
        job.done, job.held, job.server = True, False, None
        self._jobs.pop(job.request.id, None)

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions


def _attempt_record(
    now: float, job: Job, server: ServerState, choice: str, beyond_window: bool, kept: bool, attempt: Attempt
) -> AttemptRecord:
    return AttemptRecord(
        server.server.id,
        choice,
        beyond_window,
        kept,
        promoted=milliseconds(job.promoted_at - job.request.arrived),
        sent=milliseconds(now - job.request.arrived),
        expected_reading=milliseconds(attempt.expected),
        expected_wait=milliseconds(attempt.wait),
    )


def _record_end(now: float, job: Job, outcome: Outcome) -> None:
    """Of the running attempt."""
    attempt = job.request.record.attempts[-1]
    attempt.ended, attempt.outcome = milliseconds(now - job.request.arrived), outcome.value
