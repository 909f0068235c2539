"""The scheduler of a router. It does no I/O: methods take an event and the time, and return actions.

A request joins the queue of its flow (tenant and route). LexAS moves it into the scheduler queue of its service, by the
normalized usage of the flow. When a server of the service has free capacity, ARR selects the flow and placement selects
the server. A request that cannot be served in time is refused early.
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
from .service_pool import ServicePool
from .urgency import server_priority

__all__ = ["Action", "Fail", "Outcome", "Refuse", "Request", "Scheduler", "Send", "Server"]

TOKENS_PER_UNIT = 2000.0  # prompt tokens, or weighted output tokens, that are charged to a flow as one unit
OUTPUT_TOKEN_COST = 10.0  # prompt tokens that one output token counts as
MIN_QUEUE_LENGTH = 8  # requests in the scheduler queue; with fewer, ARR has too little choice
OVERDUE_FRACTION = (
    0.2  # fraction of the latency target after which a queued request is sent beyond the windows or refused
)
MAX_CONNECT_FAILURES = 3  # failed connections for one request
MAX_SERVER_WAIT_RATIO = 3.0  # expected wait over the latency target above which a request is refused rather than sent
RESPONSE_MARGIN_S = 0.02  # time before a deadline at which the final response is sent
DEFAULT_BASE_FRACTION = 0.2  # base latency over the latency target, assumed before the first response


class Scheduler:
    """Makes all decisions of one router about requests."""

    def __init__(self, own_zone: str, seed: int, retry_ratio: float, retry_slack: float, retry_window: float) -> None:
        self._zone, self._random = own_zone, random.Random(seed)
        self._retry_settings = (retry_ratio, retry_slack, retry_window)
        self._routers = 1
        self._pools: dict[str, ServicePool] = {}
        self._jobs: dict[str, Job] = {}
        self._flows = FlowTable()
        self._checks: list[tuple[float, int, Job]] = []  # when to check a queued request: time, tie-breaker, request
        self._sequence = count()
        self._actions: list[Action] = []

    # Events

    def set_servers(
        self, now: float, servers: list[Server], routers: int, rank: int, services: Collection[str] | None = None
    ) -> list[Action]:
        """Replaces the servers of these services, or of all.

        `rank` is the position of this router among the live ones; it is not used.
        """
        routers = max(1, routers)
        routers_changed, self._routers = routers != self._routers, routers
        by_service: dict[str, list[Server]] = {name: [] for name in (self._pools if services is None else services)}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
        for name, service_servers in by_service.items():
            self._pool(now, name).set_servers(service_servers, self._routers)
        if routers_changed:
            self._update_router_count()
        for name in self._pools if routers_changed else by_service:
            self._dispatch(now, self._pools[name])
        return self._take_actions()

    def submit(self, now: float, request: Request) -> list[Action]:
        """Queues a request that was read and admitted, and sends it if a server has free capacity."""
        self._flows.end_round(now)
        flow = self._flows.flow_for(now, request)
        units = max(1.0, (request.tokens_in + OUTPUT_TOKEN_COST * request.tokens_out) / TOKENS_PER_UNIT)
        shared_tokens = request.shared_tokens
        own_tokens = max(0, request.tokens_in - shared_tokens)
        prompt = Prompt(
            shared_prefix(request.prefix),
            shared_tokens,
            own_tokens,
            request.latency_target_s,
            request.route,
            request.affinity_server_id,
            request.is_prefix_uncached,
        )
        job = Job(request, flow, units, prompt)
        self._jobs[request.id] = job
        pool = self._pool(now, request.service)
        pool.queues.add(job)
        self._schedule_check(
            job,
            min(request.arrived_at + OVERDUE_FRACTION * request.latency_target_s, request.deadline - RESPONSE_MARGIN_S),
        )
        self._dispatch(now, pool)
        return self._take_actions()

    def cancel(self, now: float, request_id: str) -> list[Action]:
        """Removes a request whose client has left.

        The caller aborts an attempt in flight and does not call `ended` for it.
        """
        job = self._jobs.get(request_id)
        if job is None:
            return []
        pool = self._pool(now, job.request.service)
        if job.server is not None:
            if job.request.record is not None:
                _record_end(now, job, Outcome.CANCELLED)
            pool.record_abandoned(now, job.server, job.server.record_end(now, request_id))
        self._close(job)
        self._dispatch(now, pool)
        return self._take_actions()

    def first_event(self, now: float, request_id: str, latency_s: float) -> None:
        """Records the first chunk, or the header, of a response, `latency_s` after the attempt was sent."""
        job = self._jobs.get(request_id)
        if job is None or job.server is None or request_id not in job.server.in_flight:
            return
        attempt, pool = job.server.in_flight[request_id], self._pool(now, job.request.service)
        if attempt.has_responded:
            return
        job.server.record_first_chunk(now, request_id, latency_s, job.request.latency_target_s)
        if job.request.record is not None:
            job.request.record.attempts[-1].first = milliseconds(now - job.request.arrived_at)
        pool.placement.prefill_times.observe(attempt.route, attempt.prefill_cost, latency_s)
        if not job.response_started:  # a stream that was resumed elsewhere had its first chunk in time
            job.flow.record_first_response(now - job.request.arrived_at, job.request.latency_target_s)
        job.response_started = True

    def progress(self, now: float, request_id: str) -> None:
        """Ignores a further chunk of the response."""

    def ended(self, now: float, request_id: str, outcome: Outcome) -> list[Action]:
        """Records the end of the attempt in flight, then retries the request, fails or refuses it, or removes it."""
        self._flows.end_round(now)
        job = self._jobs.get(request_id)
        if job is None or job.server is None:
            return []
        server, job.server = job.server, None
        pool = self._pool(now, job.request.service)
        attempt = server.record_end(now, request_id)
        if attempt is not None:
            pool.record_outcome(now, server, outcome, attempt)
        if job.request.record is not None:
            _record_end(now, job, outcome)
        if outcome not in NEVER_RAN:
            job.may_have_run = True
        if outcome is Outcome.NOT_SENT:
            job.servers_reached -= 1
        if outcome in (Outcome.DONE, Outcome.FAILED_STATUS, Outcome.CANCELLED):
            self._close(job)
        elif self._can_retry(now, pool, job, outcome):
            job.is_waiting = True
            pool.queues.add(job, at_front=True)
            self._schedule_check(
                job,
                min(now + OVERDUE_FRACTION * job.request.latency_target_s, job.request.deadline - RESPONSE_MARGIN_S),
            )
        else:
            self._give_up(now, pool, job, 504 if outcome is Outcome.TIMED_OUT else 502)
        self._dispatch(now, pool)
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Sends or refuses the queued requests whose check is due."""
        self._flows.end_round(now)
        affected_services: dict[str, None] = {}
        while self._checks and self._checks[0][0] <= now:
            job = heapq.heappop(self._checks)[2]
            if job.is_done or not job.is_waiting:
                continue
            pool = self._pool(now, job.request.service)
            affected_services[job.request.service] = None
            if now >= job.request.deadline - RESPONSE_MARGIN_S or not self._send_overdue(now, pool, job):
                self._give_up(now, pool, job, 504)
        for name in affected_services:
            self._dispatch(now, self._pools[name])
        return self._take_actions()

    def next_tick(self, now: float) -> float:
        """Returns the latest time at which `tick` has to be called."""
        while self._checks and (self._checks[0][2].is_done or not self._checks[0][2].is_waiting):
            heapq.heappop(self._checks)
        return self._checks[0][0] if self._checks else inf

    def is_usable(self, service: str, server_id: str) -> bool:
        """Returns whether the routing table lists this server and it is not draining."""
        pool = self._pools.get(service)
        state = pool.servers.get(server_id) if pool is not None else None
        return state is not None and not state.server.draining

    # Services

    def _pool(self, now: float, service: str) -> ServicePool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ServicePool(RetryBudget(*self._retry_settings, now), Placement(self._zone))
        return pool

    def _update_router_count(self) -> None:
        """Adjusts the windows of all servers to the number of routers."""
        for pool in self._pools.values():
            pool.set_router_count(self._routers)

    # Queues

    def _schedule_check(self, job: Job, at: float) -> None:
        heapq.heappush(self._checks, (at, next(self._sequence), job))

    def _dispatch(self, now: float, pool: ServicePool) -> None:
        """Sends queued requests while a selected server has free capacity."""
        if not pool.queues:
            return
        queue_length = max(MIN_QUEUE_LENGTH, 2 * sum(ceil(server.window) for server in pool.usable_servers))
        while True:
            pool.queues.promote(now, queue_length)
            ready_send = self._next_send(now, pool)
            if ready_send is None:
                return
            job, server = ready_send
            pool.queues.remove(job)
            self._send(now, pool, job, server)

    def _next_send(self, now: float, pool: ServicePool) -> tuple[Job, ServerState] | None:
        """Returns the next request in ARR order whose selected server has free capacity, with that server."""
        for job in pool.queues.in_arr_order():
            server = self._select_server(now, pool, job)
            if server is not None:
                return job, server
        return None

    def _select_server(self, now: float, pool: ServicePool, job: Job) -> ServerState | None:
        return pool.placement.select(now, job.prompt, job.tried_server_ids, lambda server: server.has_capacity(now))

    def _send(self, now: float, pool: ServicePool, job: Job, server: ServerState, beyond_window: bool = False) -> None:
        request, flow = job.request, job.flow
        prefill_times, wait_s = pool.placement.prefill_times, server.queue_wait(now)
        is_cached = pool.placement.is_prefix_cached(now, server, job.prompt)
        prefill_cost = job.prompt.prefill_cost(is_cached)
        expected_prefill_s = prefill_times.expected_latency_s(
            request.route, prefill_cost, DEFAULT_BASE_FRACTION * request.latency_target_s
        )
        attempt = Attempt(now, request.route, prefill_cost, expected_prefill_s, wait_s)
        if request.record is not None:
            choice = pool.placement.choice_label(job.prompt, server)
            request.record.attempts.append(_attempt_record(now, job, server, choice, beyond_window, is_cached, attempt))
        server.record_send(
            now,
            request.id,
            attempt,
            prefill_times.prefill_s_per_cost_unit * prefill_cost,
            job.prompt.prefix_key if job.prompt.shared_tokens else "",
        )
        if job.servers_reached:
            pool.budget.record_retry(now)
        elif not job.attempts:
            pool.budget.record_first_attempt(now)
        flow.sends_in_round += 1
        job.attempts, job.servers_reached, job.is_waiting, job.server = (
            job.attempts + 1,
            job.servers_reached + 1,
            False,
            server,
        )
        job.tried_server_ids.append(server.server.id)
        timeout_s = max(0.001, request.deadline - now)
        urgency = server_priority(self._flows.rank_step(request), prefill_cost)
        self._actions.append(Send(request.id, server.server.id, job.attempts, urgency, timeout_s))

    # Retries and final responses

    def _can_retry(self, now: float, pool: ServicePool, job: Job, outcome: Outcome) -> bool:
        request = job.request
        if job.may_have_run and not job.is_idempotent:
            return False
        if now >= request.deadline - RESPONSE_MARGIN_S or job.servers_reached >= max(1, request.max_servers):
            return False
        if outcome is Outcome.NOT_SENT and not job.servers_reached:
            return job.attempts <= MAX_CONNECT_FAILURES
        return pool.budget.allows_retry(now, self._routers)

    def _send_overdue(self, now: float, pool: ServicePool, job: Job) -> bool:
        """Sends an overdue request beyond the window of a server, unless the wait there would be too long."""

        def is_usable(candidate: ServerState) -> bool:
            return candidate.can_exceed_window(now)

        placement = pool.placement
        server = placement.select(now, job.prompt, job.tried_server_ids, is_usable) or placement.select_any(
            now, job.prompt, job.tried_server_ids, is_usable
        )
        if server is None:
            return False
        exceeds_max_wait = server.queue_wait(now) > MAX_SERVER_WAIT_RATIO * job.request.latency_target_s
        if exceeds_max_wait and server.is_half_used(self._routers):
            return False
        if job.attempts and not self._can_retry(now, pool, job, Outcome.REJECTED_FULL):
            return False
        pool.queues.charge(now, job)
        self._send(now, pool, job, server, beyond_window=True)
        return True

    def _give_up(self, now: float, pool: ServicePool, job: Job, status: int) -> None:
        """Sends the final response: a refusal if the request was not executed or is idempotent, else a failure."""
        request = job.request
        if job.response_started or (job.may_have_run and not job.is_idempotent):
            self._actions.append(Fail(request.id, status))
        else:
            self._actions.append(Refuse(request.id, 503, self._retry_after(now, pool, job)))
        self._close(job)

    def _retry_after(self, now: float, pool: ServicePool, job: Job) -> float:
        """Returns the Retry-After in seconds: the shortest expected wait, with jitter to spread the retries."""
        wait_s = min((server.queue_wait(now) for server in pool.usable_servers), default=inf)
        return min(0.5 * job.request.latency_target_s, max(wait_s, 0.1 * job.request.latency_target_s)) * (
            0.5 + self._random.random()
        )

    def _close(self, job: Job) -> None:
        job.is_done, job.is_waiting, job.server = True, False, None
        self._jobs.pop(job.request.id, None)

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions


def _attempt_record(
    now: float, job: Job, server: ServerState, choice: str, beyond_window: bool, is_cached: bool, attempt: Attempt
) -> AttemptRecord:
    return AttemptRecord(
        server.server.id,
        choice,
        beyond_window,
        is_cached,
        promoted=milliseconds(job.promoted_at - job.request.arrived_at),
        sent=milliseconds(now - job.request.arrived_at),
        expected_reading=milliseconds(attempt.expected_prefill_s),
        expected_wait=milliseconds(attempt.expected_wait_s),
    )


def _record_end(now: float, job: Job, outcome: Outcome) -> None:
    """Records the end of the attempt in flight."""
    attempt = job.request.record.attempts[-1]
    attempt.ended, attempt.outcome = milliseconds(now - job.request.arrived_at), outcome.value
