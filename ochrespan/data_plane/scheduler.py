"""The router's decisions: events in, actions out, time as an argument.

A request joins its flow (tenant and route); LexAS gates it into the scheduler queue of its service by eta; ARR picks
the flow with the smallest (a + 1) / delta when a server of the service has room; placement names the server. What
cannot be served in time is refused early.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count, islice
from math import ceil, inf

from ..policy.arr import KAPPA, ROUND, end_round, rank
from ..policy.gating import is_gated, lift_lagging, upper_threshold
from ..state import Share
from .decisions import NEVER_RAN, Action, Fail, Outcome, Refuse, Request, Send, Server
from .placement import Placement, Prompt, shared_prefix
from .retry_budget import RetryBudget
from .server_state import Attempt, ServerState
from .urgency import Ranks, server_priority

__all__ = ["Action", "Fail", "Outcome", "Refuse", "Request", "Scheduler", "Send", "Server"]

TOKENS_PER_UNIT = 2000.0  # of prompt and 10 x answer: what a flow is charged as one unit
ANSWER_COST = 10.0  # prompt tokens that an answer's token costs
LEAST_LENGTH = 8  # requests in the scheduler queue: among fewer ARR has no choice
URGENCY = 2.0  # multiple of a flow's weight, and of its first gain, for each step of urgency
REFUSE_AT = 0.2  # part of the aim after which what is unsent is refused, or sent for all that
MOST_CONNECT_FAILURES = 3  # servers that could not be reached, for one request
HOPELESS = 3.0  # aims of waiting at a server beyond which a request is refused rather than sent
SILENT = 1.5  # s without a word after which a client that leaves says something about the server
SAYS_NOTHING = frozenset({Outcome.NOT_SENT, Outcome.TIMED_OUT, Outcome.CANCELLED})  # outcomes without a server's word
SCANNED = 4  # requests of a flow that are looked at: one whose server is full does not hold up the others
CERTAIN = 4.0  # answers in a round whose mean counts half: a mean over few is noise
IDLE_FLOW = 30.0  # s, after which an idle flow leaves the table
ANSWER_MARGIN = 0.02  # s before a deadline when the final answer has to leave
UNKNOWN_BASE = 0.2  # part of the aim that a first piece is taken to need beside reading before any has come


@dataclass(slots=True, eq=False)
class Flow(Share):
    """A tenant's requests on one route."""

    weight: float
    priority: int = 0
    answers: int = 0  # in this round


@dataclass(slots=True, eq=False)
class Job:
    """A request until its end."""

    request: Request
    flow: Flow
    units: float
    prompt: Prompt
    promoted: bool = False
    held: bool = True  # waits for a send
    done: bool = False
    attempts: int = 0
    servers: int = 0  # that it reached, as far as they may have seen it
    may_have_run: bool = False
    started: bool = False  # a part of an answer has come
    tried: list[str] = field(default_factory=list)
    server: ServerState | None = None  # where it is out


Queues = dict[Flow, deque[Job]]


@dataclass(slots=True, eq=False)
class Pool:
    """One service: its servers, its flow queues, its part of the scheduler queue, its retry budget."""

    budget: RetryBudget
    placement: Placement
    servers: dict[str, ServerState] = field(default_factory=dict)
    usable: list[ServerState] = field(default_factory=list)
    waiting: Queues = field(default_factory=dict)
    ready: Queues = field(default_factory=dict)
    eta_top: float = 0.0


class Scheduler:
    """All decisions of one router about requests."""

    def __init__(
        self, own_zone: str, seed: int, retry_ratio: float, retry_slack: float, retry_window: float
    ) -> None:
        self._zone, self._random = own_zone, random.Random(seed)
        self._retry = (retry_ratio, retry_slack, retry_window)
        self._routers = 1
        self._pools: dict[str, Pool] = {}
        self._jobs: dict[str, Job] = {}
        self._flows: dict[tuple[str, str], Flow] = {}
        self._ranks = Ranks()
        self._checks: list[tuple[float, int, Job]] = []  # when to look at a request that waits
        self._count = count()
        self._round_at = -inf
        self._actions: list[Action] = []

    # events

    def set_servers(self, now: float, servers: list[Server], routers: int, rank: int) -> list[Action]:
        """The whole table, each time it has changed; `rank` is this router's place among the live ones."""
        self._routers = max(1, routers)
        by_service: dict[str, list[Server]] = {name: [] for name in self._pools}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
        for name, listed in by_service.items():
            self._set_pool(now, self._pool(now, name), listed)
        for name in by_service:
            self._pump(now, self._pools[name])
        return self._take_actions()

    def submit(self, now: float, request: Request) -> list[Action]:
        """A client's request has been read and admitted."""
        self._end_round(now)
        flow = self._flow(now, request)
        units = max(1.0, (request.tokens_in + ANSWER_COST * request.tokens_out) / TOKENS_PER_UNIT)
        shared = sum(tokens for _, tokens in request.prefix[:-1])
        own = max(0, request.tokens_in - shared)
        prompt = Prompt(shared_prefix(request.prefix), shared, own, request.aim, request.route)
        job = Job(request, flow, units, prompt)
        self._jobs[request.id] = job
        pool = self._pool(now, request.service)
        self._queue(pool, job)
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
            self._judge_silence(now, job.server, job.server.ended(now, request_id))
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
        job.started = True
        job.server.answered(now, request_id, latency_s, job.request.aim)
        pool.placement.times.observe(attempt.route, attempt.cost, latency_s)
        job.flow.over += now - job.request.arrived - job.request.aim
        job.flow.answers += 1

    def progress(self, now: float, request_id: str) -> None:
        """A further piece of the answer has come."""

    def ended(self, now: float, request_id: str, outcome: Outcome) -> list[Action]:
        """The running attempt has ended."""
        self._end_round(now)
        job = self._jobs.get(request_id)
        if job is None or job.server is None:
            return []
        server, job.server = job.server, None
        attempt = server.ended(now, request_id)
        if attempt is not None:
            self._judge(now, server, outcome, attempt)
        if outcome not in NEVER_RAN:
            job.may_have_run = True
        if outcome is Outcome.NOT_SENT:
            job.servers -= 1
        pool = self._pool(now, job.request.service)
        if outcome in (Outcome.DONE, Outcome.FAILED_STATUS, Outcome.CANCELLED):
            self._close(job)
        elif self._may_retry(now, pool, job, outcome):
            job.held = True
            self._queue(pool, job, first=True)
            self._check_at(job, min(now + REFUSE_AT * job.request.aim, job.request.deadline - ANSWER_MARGIN))
        else:
            self._give_up(now, pool, job, 504 if outcome is Outcome.TIMED_OUT else 502)
        self._pump(now, pool)
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Looks at what has waited long enough."""
        self._end_round(now)
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

    # tables

    def _pool(self, now: float, service: str) -> Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = Pool(RetryBudget(*self._retry, now), Placement(self._zone))
        return pool

    def _set_pool(self, now: float, pool: Pool, listed: list[Server]) -> None:
        servers: dict[str, ServerState] = {}
        for server in listed:
            state = pool.servers.get(server.id)
            if state is None:
                state = ServerState(server)
            state.server = server
            state.set_share(self._routers)
            servers[server.id] = state
        pool.servers = servers
        pool.usable = [state for state in servers.values() if not state.server.draining]
        pool.placement.set_servers(pool.usable)

    def _flow(self, now: float, request: Request) -> Flow:
        flow = self._flows.get((request.tenant, request.route))
        if flow is None:
            if self._ranks.note(request.priority):
                self._reweigh()
            weight = URGENCY ** -self._ranks.step(request.priority)
            flow = Flow(weight=weight, gain=KAPPA * weight, priority=request.priority)
            self._flows[request.tenant, request.route] = flow
        flow.used_at = now
        return flow

    def _reweigh(self) -> None:
        """The steps of urgency have moved: weights and first gains follow."""
        for flow in self._flows.values():
            weight = URGENCY ** -self._ranks.step(flow.priority)
            flow.gain *= weight / flow.weight
            flow.weight = weight

    def _end_round(self, now: float) -> None:
        """ARR: flows whose mean latency missed their aim gain gamma, and every a resets."""
        if now < self._round_at:
            return
        self._round_at = now + ROUND
        for key, flow in list(self._flows.items()):
            end_round(flow, flow.answers / (flow.answers + CERTAIN))
            flow.answers = 0
            if now - flow.used_at > IDLE_FLOW:
                del self._flows[key]

    # queues

    def _queue(self, pool: Pool, job: Job, first: bool = False) -> None:
        queue = (pool.ready if job.promoted else pool.waiting).setdefault(job.flow, deque())
        (queue.appendleft if first else queue.append)(job)

    def _check_at(self, job: Job, at: float) -> None:
        heapq.heappush(self._checks, (at, next(self._count), job))

    def _heads(self, queues: Queues) -> Iterator[Job]:
        """The first request of each flow that still waits; what is over leaves."""
        for flow, queue in list(queues.items()):
            while queue and (queue[0].done or not queue[0].held):
                queue.popleft()
            if queue:
                yield queue[0]
            else:
                del queues[flow]

    def _promote(self, pool: Pool, length: int) -> None:
        """LexAS: gates flow queues into the scheduler queue of this length."""
        if not pool.waiting:
            return
        flows = list(pool.waiting)
        lift_lagging(flows, pool.eta_top)
        t_max = upper_threshold(flows)
        ready = sum(len(queue) for queue in pool.ready.values())
        while heads := [job for job in self._heads(pool.waiting) if not is_gated(job.flow.eta, t_max, ready, length)]:
            job = min(heads, key=lambda head: head.flow.eta)
            pool.waiting[job.flow].popleft()
            job.flow.eta += job.units / job.flow.weight
            pool.eta_top = max(pool.eta_top, job.flow.eta)
            job.promoted = True
            self._queue(pool, job)
            ready += 1

    def _pump(self, now: float, pool: Pool) -> None:
        """Sends while a server has room: the flow by ARR, the server by placement."""
        if not pool.waiting and not pool.ready:
            return
        length = max(LEAST_LENGTH, 2 * sum(ceil(server.window) for server in pool.usable))
        while True:
            self._promote(pool, length)
            found = self._pick(now, pool)
            if found is None:
                return
            job, server = found
            pool.ready[job.flow].remove(job)
            self._send(now, pool, job, server)

    def _pick(self, now: float, pool: Pool) -> tuple[Job, ServerState] | None:
        """ARR: the flow with the smallest (a + 1) / delta of those that have a request whose server has room."""
        for head in sorted(self._heads(pool.ready), key=lambda head: rank(head.flow)):
            for job in islice(pool.ready[head.flow], SCANNED):
                server = self._place(now, pool, job) if job.held else None
                if server is not None:
                    return job, server
        return None

    def _place(self, now: float, pool: Pool, job: Job) -> ServerState | None:
        return pool.placement.best(now, job.prompt, job.tried, lambda server: server.has_room(now))

    def _send(self, now: float, pool: Pool, job: Job, server: ServerState) -> None:
        request, flow = job.request, job.flow
        times, wait = pool.placement.times, server.queue_wait(now)
        cost = job.prompt.cost(pool.placement.is_kept(now, server, job.prompt))
        expected = times.expected(request.route, cost, UNKNOWN_BASE * request.aim)
        attempt = Attempt(now, request.route, cost, expected, wait)
        server.sent(now, request.id, attempt, times.pace * cost, job.prompt.key if job.prompt.shared else "")
        if job.servers:
            pool.budget.spend(now)
        elif not job.attempts:
            pool.budget.record_first(now)
        flow.a += 1
        job.attempts, job.servers, job.held, job.server = job.attempts + 1, job.servers + 1, False, server
        job.tried.append(server.server.id)
        within = max(0.001, request.deadline - now)
        urgency = server_priority(self._ranks.step(request.priority), cost)
        self._actions.append(Send(request.id, server.server.id, job.attempts, urgency, within))

    # ends

    def _judge(self, now: float, server: ServerState, outcome: Outcome, attempt: Attempt) -> None:
        """What the end of an attempt tells of its server."""
        if outcome not in SAYS_NOTHING:
            server.heard_at = now
        if outcome is Outcome.DONE:
            server.health.succeeded()
        elif outcome is Outcome.REJECTED_FULL:
            server.rejected(now)
        elif self._may_eject(now, server):
            server.health.failed(now, outcome, attempt.sent_at)

    def _judge_silence(self, now: float, server: ServerState, attempt: Attempt | None) -> None:
        """A client has left: a server that has said nothing to anyone since it was asked may be gone."""
        if attempt is None or attempt.answered or server.heard_at >= attempt.sent_at:
            return
        if now - attempt.sent_at > SILENT and self._may_eject(now, server):
            server.health.failed(now, Outcome.TIMED_OUT, attempt.sent_at)

    def _may_eject(self, now: float, server: ServerState) -> bool:
        """The floor: so many servers of a service stay in use, whatever their requests' ends say."""
        pool = self._pools[server.server.service]
        ejected = sum(other.health.is_ejected(now) for other in pool.usable)
        return ejected + 1 <= len(pool.usable) // 2

    def _may_retry(self, now: float, pool: Pool, job: Job, outcome: Outcome) -> bool:
        request = job.request
        if job.may_have_run and not (request.safe or request.resumable):
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
        if not job.promoted:
            job.flow.eta += job.units / job.flow.weight
            pool.eta_top = max(pool.eta_top, job.flow.eta)
        self._send(now, pool, job, server)
        return True

    def _give_up(self, now: float, pool: Pool, job: Job, status: int) -> None:
        """The final answer, at once: a refusal where nothing has run or a repeat is harmless."""
        request = job.request
        if job.started or (job.may_have_run and not (request.safe or request.resumable)):
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
