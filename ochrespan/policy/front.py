"""The scheduling decisions of one front process. Types, events, actions, settings: `ochrespan/interface.py`.

A request joins the queue of its flow (one volume in one class). LexAS promotes requests from the flow queues
into the scheduler queue, smallest eta first. ARR sends promoted requests to a node whose window has capacity
left, smallest (a + 1) / delta first. All attempts leave through `_send`; `_is_blocked` checks the rules
("guards") that comments refer to by number:

1. The final response is sent before the request's deadline. Besides, a request has one attempt at a time.
2. A request that may have run is repeated or refused only as its class's effect allows.
3. Attempts go only to usable nodes of the request's shard.
4. A cold node (one that is warming up) gets no more than its budget per overload window.
5. Requests of one key run one at a time, in order of arrival.
6. Attempts beyond the first of each request stay within the retry budget.
7. A volume stays within the limit of its plan.

"Exception" in comments marks behavior that neither LexAS nor ARR prescribes. Times are in seconds.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterator
from itertools import count
from math import ceil, exp, inf

from .. import interface as api
from ..discovery_polling import PollSchedule
from ..interface import Effect, Group, ListKind, Status
from ..sliding_sum import SlidingSum
from ..state import Flow, Job, KeyQueues, Node, NodeTable, Queues, ShardQueues, TokenBucket, Volume
from .arr import INITIAL_GAIN, ROUND_S, end_round, rank
from .gating import is_gated, lift_lagging, upper_threshold
from .window import narrowed, widened

# in-flight requests at one node: the initial window, the sum of the initial windows of all fronts, the
# largest window; the window widens while the time per unit is below WINDOW_TOLERANCE times its least value
WINDOW_START, WINDOW_START_TOTAL, WINDOW_MAX, WINDOW_TOLERANCE = 3.0, 12.0, 32.0, 1.5
SMOOTHING = 0.15  # weight of a new sample in averages; the least time per unit rises by a fifth of this
NODE_CHOICES = 5  # nodes sampled for a request that any node may take
FLOW_IDLE_S = 30.0  # idle flows are dropped after this time
SCAN_INTERVAL_S = 0.02  # time between scans of all queues
HALF_TIME_MARGIN_S = 0.015  # unsent requests are refused this long before half their time: network delay
MAX_BACKOFF_FAILURES = 4  # consecutive failures at which the back-off stops growing and the node is logged
USED_FRACTION = 0.8  # of the slow-start budget: the rest covers variation and handshakes
DEMAND_DECAY = 0.8  # fraction of the past demand kept per round: an average over about five rounds
PRIOR_REQUESTS = 10.0  # assumed past requests, spread evenly over all shards, until enough have been seen
# the least utilization assumed for warm nodes; below LOW_UTILIZATION, long latency is not taken for a queue
MIN_UTILIZATION, LOW_UTILIZATION = 0.3, 0.5
# where more than LOSS_THRESHOLD of the responses get lost, attempts time out at this multiple of the
# expected time
OVERDUE_FACTOR, LOSS_THRESHOLD = 4.0, 0.02
ANY_SHARD = -1  # shard of new objects, which any node may take
MAY_STILL_RUN = {Status.TIMEOUT, Status.RESET, Status.CANCELLED, Status.UNKNOWN}
NOT_EXECUTED = {Status.FULL, Status.CONNECT_FAILED, Status.MOOT}


class Scheduler:
    def __init__(self, settings: api.Settings, now: float) -> None:
        self.settings, self.started_at, self.now = settings, now, now
        self.random = random.Random(settings.seed)
        self.table = NodeTable()
        self.nodes, self.by_shard, self.unusable = self.table.nodes, self.table.by_shard, self.table.unusable
        self.flows: dict[tuple[str, str, str], Flow] = {}
        self.volumes: dict[tuple[str, str], Volume] = {}  # by plan and name
        self.shard_queues: dict[int, ShardQueues] = {}  # by shard, without empty ones
        self.jobs: dict[str, Job] = {}  # open requests, by id
        self.key_queues = KeyQueues()
        self.key_blocked_until: dict[str, float] = {}  # by key, while an attempt of it may still run
        # requests, and attempts after the first, by time
        self.accepted, self.retries = SlidingSum(), SlidingSum()
        self.max_time_left: dict[str, float] = {}  # by class: largest time_left of a request so far
        self.deadlines: list[tuple[float, int, Job]] = []  # heap: time, tie-breaker, request
        # tie-breakers of the heap, largest eta of a flow, end of the ARR round, time of the pending timer
        self.sequence, self.max_eta, self.round_ends_at, self.timer_at = count(), 0.0, now + ROUND_S, -inf
        self.polling = PollSchedule(settings.fronts, settings.max_poll_interval, self.random, now)
        if not settings.list_on_request:
            self.polling.answered()
        self.actions: list[api.Action] = []
        # largest value of a request (class value times plan price), and shortest latency target of a class
        self.max_value = max([c.value for c in settings.classes.values()] or [1.0])
        self.max_value *= max([p.price for p in settings.plans.values()] or [1.0])
        self.min_target = min((c.latency_target for c in settings.classes.values()), default=1.0)
        self.unserved_since: dict[int, float] = {}  # requested shards that have no usable node
        self.pending_shards: dict[int, None] = {}  # to be served in this call; a dict keeps their order
        self.demand: dict[int, float] = {}  # requested units by shard, decayed each round
        self.total_demand, self.rounds = 0.0, 1.0  # units over all shards, and rounds, decayed alike
        self.utilization: dict[int, float] = {}  # reported by warm nodes, by shard, and for all at ANY_SHARD
        self.loss_rate = 0.0  # fraction of attempts that timed out although a later one was answered
        self.next_scan_at = now
        self.shutdown_at = inf  # when this process ends

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.now, self.actions = now, []
        for event in events:
            match event:
                case api.Request() if event.id not in self.jobs:
                    self._accept(event)
                case api.Outcome():
                    self._on_outcome(event)
                case api.NodeList():
                    self._on_node_list(event)
                case api.Gone(name) if job := self.jobs.get(name):
                    self._close(job)
                case api.Started(name) if job := self.jobs.get(name):
                    job.done = True  # its response is being streamed: nothing to decide any more
                case api.Ending(at):
                    self.shutdown_at = at
                    for job in self.jobs.values():
                        self._set_deadline(job, at)
        while self.deadlines and self.deadlines[0][0] <= self.now:
            job = heapq.heappop(self.deadlines)[2]
            if not job.done and (self.now >= job.response_deadline or not job.attempts):
                self._end_unanswered(job)
        if self.now >= self.round_ends_at:
            self._end_round()
        if self.polling.due(self.now):
            self.actions.append(api.WatchList())
        if self.now >= self.next_scan_at:
            self.next_scan_at = self.now + SCAN_INTERVAL_S
            self.pending_shards.update(dict.fromkeys(self.shard_queues))
        while self.pending_shards:  # ending a request may unblock one of another shard
            self._serve_shard(next(iter(self.pending_shards)))
        self._set_timer()
        return self.actions

    def _end_round(self) -> None:
        """ARR: flows whose mean latency missed its target gain gamma, each a resets. Drops unused records."""
        self.round_ends_at = self.now + ROUND_S
        for key, flow in list(self.flows.items()):
            end_round(flow)
            if self.now - flow.last_used_at > FLOW_IDLE_S:
                del self.flows[key]
        self.key_blocked_until = {key: at for key, at in self.key_blocked_until.items() if at > self.now}
        self.table.forget_gone()
        self.demand = {shard: DEMAND_DECAY * units for shard, units in self.demand.items() if units > 0.01}
        self.total_demand, self.rounds = sum(self.demand.values()), DEMAND_DECAY * self.rounds + 1
        self.utilization = {
            key: util for key, util in self.utilization.items() if key == ANY_SHARD or key in self.demand
        }
        # also bounds the memory for shards that do not exist but were requested
        self.unserved_since = {shard: at for shard, at in self.unserved_since.items() if shard in self.demand}
        active = {key[:2] for key in self.flows}
        self.volumes = {
            key: volume
            for key, volume in self.volumes.items()  # with a full bucket, a new record would be equal
            if key in active or (volume.limit and volume.limit.refill(self.now) < volume.limit.burst)
        }
        self.accepted.total(self.now, self.settings.retry_budget_window or 0.0)  # drops older entries

    def _set_timer(self) -> None:
        due = min(
            self.round_ends_at,
            self.polling.next_call_at,
            self.next_scan_at if self.shard_queues else inf,
        )
        due = max(self.now, min(due, self.deadlines[0][0] if self.deadlines else inf))
        if self.timer_at <= self.now + 1e-6 or due < self.timer_at:  # tolerance for rounded clocks
            self.timer_at = due
            self.actions.append(api.SetTimer(due - self.now, 1))

    def _accept(self, req: api.Request) -> None:
        # a class without settings is treated as unsafe to repeat
        cls, flow = self.settings.classes.get(req.cls) or api.RequestClass(req.cls, inf, 0.0), self._flow(req)
        # capped: one client that claims more time would make all other requests look like client retries
        left = min(req.time_left, cls.deadline or inf)
        # less time left than others of the class: a client retry, which has used part of its latency target
        max_seen = self.max_time_left[req.cls] = max(left, self.max_time_left.get(req.cls, 0.0))
        # less than the target left: hardly a retry (those come sooner) but a client with a short time-out
        target_at = self.now + (left if left < cls.latency_target else cls.latency_target + left - max_seen)
        job = self.jobs[req.id] = Job(req, cls, flow, self.now, target_at)
        self.accepted.add(self.now, 1)
        self.demand[req.shard] = self.demand.get(req.shard, 0.0) + req.units
        self.total_demand += req.units
        self._set_deadline(job, min(self.shutdown_at, self.now + left - 2 * self.settings.tick - 0.001))
        # if unsent after half its time, it is refused whatever it waits for: the client can try elsewhere
        heapq.heappush(
            self.deadlines,
            (self.now + left / 2 - HALF_TIME_MARGIN_S - self.settings.tick, next(self.sequence), job),
        )
        if not (cls.in_order and req.key) or self.key_queues.enqueue(job):
            self._enqueue(job)

    def _set_deadline(self, job: Job, at: float) -> None:
        """Guard 1: the final response is sent by `at`, two ticks before the deadline."""
        if at < job.response_deadline:
            job.response_deadline = at
            heapq.heappush(self.deadlines, (at, next(self.sequence), job))

    def _flow(self, req: api.Request) -> Flow:
        if (volume := self.volumes.get((req.plan, req.volume))) is None:
            plan = self.settings.plans.get(req.plan) or api.Plan(req.plan)
            # guard 7: an equal fraction for each front; starts empty, as this process may have just restarted
            limit = TokenBucket(0.0, 0.0, 0.0, self.started_at) if plan.limit else None
            volume = self.volumes[req.plan, req.volume] = Volume(
                plan,
                TokenBucket(0.0, 0.0, inf, self.now),
                limit,
            )
        # the number of fronts that serve the volume may change; if unknown, all fronts
        plan, fraction = volume.plan, 1.0 / (req.fronts if req.fronts >= 1 else max(1, self.settings.fronts))
        burst = plan.reserve * fraction + self.settings.max_units if plan.reserve else 0.0
        volume.reserve.resize(plan.reserve * fraction, burst, self.now)
        if volume.limit:
            volume.limit.resize(plan.limit * fraction, plan.limit_burst * fraction, self.now)
        fresh = Flow(volume, max(plan.weight, 1e-6), gain=INITIAL_GAIN)
        flow = self.flows.setdefault((req.plan, req.volume, req.cls), fresh)
        flow.last_used_at = self.now
        return flow

    def _enqueue(self, job: Job, first: bool = False) -> None:
        """Into its flow queue or, once promoted, into its shard's segment of the scheduler queue."""
        queues = self.shard_queues.setdefault(job.req.shard, ShardQueues())
        self.pending_shards[job.req.shard] = None
        queue = (queues.ready if job.promoted else queues.waiting).setdefault(job.flow, deque())
        (queue.appendleft if first else queue.append)(job)

    def _close(self, job: Job) -> None:
        """Ends a request; the next one of its key follows once no attempt is in flight."""
        if not job.done and self.settings.can_cancel:  # frees the node's queue and the key
            self.actions.extend(api.Cancel(job.req.id, attempt) for attempt in job.in_flight)
        job.done = True
        if job.in_flight:
            return
        self.jobs.pop(job.req.id, None)
        for unblocked in self.key_queues.release(job.req.key):
            self._enqueue(unblocked, first=True)

    def _end_unanswered(self, job: Job) -> None:
        """Guard 2: refuses a request that the client can safely retry, fails any other."""
        safe_to_retry = (
            (job.first_possible_execution is None and not job.in_flight)
            or job.cls.effect is Effect.SAFE
            or (job.cls.effect is Effect.DEDUPLICATED_BY_KEY and job.cls.group is Group.ALL)
        )
        self.actions.append(
            api.Refuse(job.req.id, self._retry_after(job)) if safe_to_retry else api.Fail(job.req.id),
        )
        self._close(job)

    def _retry_after(self, job: Job) -> float:
        """Seconds until the client may retry: the shortest queue wait, jittered against retries in step."""
        if not self.settings.sends_retry_after:
            return 0.0
        nodes = self._nodes_of(job.req.shard)
        wait = min((self._queue_wait(node) for node in nodes), default=inf)
        return min(
            self.settings.max_retry_after,
            max(wait, self.min_target),
        ) * (0.5 + self.random.random() / 2)

    def _on_outcome(self, outcome: api.Outcome) -> None:
        node, job = self.nodes.get(outcome.node), self.jobs.get(outcome.request_id)
        sent_at = job.in_flight.pop(outcome.attempt, None) if job else None
        if job is None or sent_at is None or node is None:
            return
        node.in_flight -= 1
        job.req.max_attempts = outcome.max_attempts or job.req.max_attempts
        self.pending_shards |= dict.fromkeys(
            shard for shard in (node.entry.shard, ANY_SHARD) if shard in self.shard_queues
        )
        self._on_report(node, outcome.report)
        if outcome.status is Status.OK:
            self._on_success(node, outcome, job.req, sent_at)
            job.flow.latency_excess_s += self.now - job.accepted_at - job.cls.latency_target
        elif outcome.status not in (Status.MOOT, Status.CANCELLED):  # neither says anything about the node
            self._on_failure(node, outcome, sent_at)
        if outcome.status not in NOT_EXECUTED and job.first_possible_execution is None:
            job.first_possible_execution = (node.entry.zone, node.entry.shard, sent_at)
        if outcome.status in MAY_STILL_RUN and self.settings.key_cooldown and job.cls.in_order:  # guard 5
            self.key_blocked_until[job.req.key] = self.now + self.settings.key_cooldown + self.settings.tick
        if outcome.closed or job.done or outcome.status is Status.OK:
            self._close(job)
        elif self._attempts_exhausted(job):
            self._end_unanswered(job)
        else:
            self._enqueue(job, first=True)

    def _on_success(self, node: Node, outcome: api.Outcome, req: api.Request, sent_at: float) -> None:
        """Learns from a response: the node's time per unit, its queue wait and its window."""
        queue, time = outcome.report.get("queue"), outcome.latency / self._work_units(req)
        if node.failures >= MAX_BACKOFF_FAILURES:
            self.actions.append(api.Log(f"node {node.entry.id} responds again"))
        node.failures, node.last_answered_sent_at = 0, max(node.last_answered_sent_at, sent_at)
        self.loss_rate -= SMOOTHING * self.loss_rate
        best = node.unit_time.get(req.cls) or time
        best = node.unit_time[req.cls] = best + (SMOOTHING if time < best else SMOOTHING / 5) * (time - best)
        retained = (1 - SMOOTHING) * exp((node.queue_wait_at - self.now) / (2 * self.min_target))
        node.queue_wait = retained * node.queue_wait + (1 - retained) * max(
            0.0, outcome.latency - best * self._work_units(req)
        )
        node.queue_wait_at = self.now
        # at low utilization, a long latency means large work, not a queue; with many fronts, a reported queue
        # narrows the window too, since other fronts may have caused it
        if (time > WINDOW_TOLERANCE * best and outcome.report.get("util", 1.0) > LOW_UTILIZATION) or (
            queue and WINDOW_START * self.settings.fronts > WINDOW_START_TOTAL
        ):
            node.window = narrowed(node.window)
        elif node.in_flight + 1 >= int(node.window):
            node.window = widened(node.window, WINDOW_MAX)

    def _on_failure(self, node: Node, outcome: api.Outcome, sent_at: float) -> None:
        """Exception: each failure in a row doubles the assumed queue wait: sends to a dead node back off."""
        if (
            outcome.status is Status.TIMEOUT and node.last_answered_sent_at > sent_at
        ):  # nodes serve in order: lost response
            self.loss_rate += SMOOTHING * (1 - self.loss_rate)
            return
        if sent_at < node.failed_at or outcome.status is Status.ERROR:
            return  # attempts that fail together count once; an error is a response and shows no queue
        # a reset of a kept-alive connection says less about the node than a failure to connect
        weight = 0.5 if outcome.status is Status.RESET else 1.0
        node.failures, node.failed_at = node.failures + weight, self.now
        if node.failures >= MAX_BACKOFF_FAILURES > node.failures - weight:
            self.actions.append(
                api.Log(f"node {node.entry.id} is failing ({outcome.status.value}): sends back off"),
            )
        queue = self.min_target * (2 ** min(node.failures, MAX_BACKOFF_FAILURES) / 2 - 1)
        node.queue_wait = max(
            self._queue_wait(node), queue, outcome.latency if outcome.status is Status.TIMEOUT else 0.0
        )
        node.queue_wait_at = self.now

    def _attempts_exhausted(self, job: Job) -> bool:
        """Guards 2 and 6: whether no further attempt is allowed."""
        limit = min(job.req.max_attempts or inf, self.settings.max_attempts)  # the request's: the paid ones
        return self.now >= self._retry_deadline(job) or job.attempts >= limit or not self._retries_left()

    def _retry_deadline(self, job: Job) -> float:
        """Guard 2: the time by which a further attempt must have begun, before nodes forget the key."""
        if job.first_possible_execution is None or job.cls.effect is Effect.SAFE:
            return inf
        return (
            -inf
            if job.cls.effect is Effect.UNSAFE
            else job.first_possible_execution[2] + job.cls.window - self.settings.tick
        )

    def _on_node_list(self, node_list: api.NodeList) -> None:
        if node_list.kind is ListKind.MOVED:
            return self.polling.moved(self.now)
        if node_list.kind is ListKind.FAILED:
            return self.polling.failed(self.now) if self.settings.list_on_request else None
        if node_list.kind is not ListKind.CACHED:
            self.polling.answered()
        changed_shards = self.table.update(
            node_list, lambda entry, previous: self._new_node(entry, previous, node_list.kind)
        )
        self.unserved_since = {
            shard: since for shard, since in self.unserved_since.items() if shard not in self.by_shard
        }
        self.pending_shards.update(
            dict.fromkeys(shard for shard in (*changed_shards, ANY_SHARD) if shard in self.shard_queues)
        )

    def _new_node(self, entry: api.NodeEntry, previous: Node | None, kind: ListKind) -> Node:
        """The record of a new or restarted node. Guard 4: from a cached list, it starts with a spent budget,
        since this process may have sent to it before its own restart."""
        window = max(1.0, min(WINDOW_START, WINDOW_START_TOTAL / max(1, self.settings.fronts)))
        in_flight, sent_units = (previous.in_flight, previous.sent_units) if previous else (0, SlidingSum())
        if kind is ListKind.CACHED:
            sent_units.add(self.now, inf)
        # a random initial debt delays the first send: per window, only as many fronts start as the node bears
        debt_units = self.random.random() * self.settings.mean_units
        return Node(
            entry,
            window=window,
            sent_units=sent_units,
            in_flight=in_flight,
            debt_units=debt_units,
            debt_at=self.now,
        )

    def _nodes_of(self, shard: int) -> list[Node]:
        return self.by_shard.get(shard, []) if shard != ANY_SHARD else self.table.usable()

    def _promote(self, queues: ShardQueues, length: int) -> None:
        """Promotes requests into a shard's segment of the scheduler queue; `length` is its part of L."""
        lift_lagging(list(queues.waiting), self.max_eta)
        t_max = upper_threshold(queues.waiting)
        while True:
            ready = sum(len(queues.ready[job.flow]) for job in self._prune_and_yield_first_jobs(queues.ready))
            best, pick = (2, inf), None
            for job in self._prune_and_yield_first_jobs(queues.waiting):
                # flows within their reserve come first and are never gated
                key = (0 if self._within_reserve(job) else 1, job.flow.normalized_usage)
                if key < best and not (key[0] and is_gated(job.flow.normalized_usage, t_max, ready, length)):
                    best, pick = key, job
            if pick is None or ready >= 2 * length:
                return
            self._enqueue(self._promote_job(queues, pick))

    def _promote_job(self, queues: ShardQueues, job: Job) -> Job:
        queues.waiting[job.flow].popleft()
        job.flow.normalized_usage += job.req.units / job.flow.weight
        self.max_eta = max(self.max_eta, job.flow.normalized_usage)
        job.promoted = True
        return job

    def _prune_and_yield_first_jobs(self, flow_queues: Queues) -> Iterator[Job]:
        """The first open request of each flow. Drops closed ones, ends those that cannot meet the target."""
        for flow, queue in list(flow_queues.items()):
            while queue:
                job, nodes = queue[0], self.by_shard.get(queue[0].req.shard, ())
                least_service_time = min(
                    [self._service_time(node, job) for node in nodes] or [self._node_delay(job.req.shard)]
                )
                if not job.done and self.now + least_service_time <= job.target_at:
                    yield job
                    break
                queue.popleft()
                if not job.done:
                    self._end_unanswered(job)
            else:
                del flow_queues[flow]

    def _node_delay(self, shard: int) -> float:
        """Time until a shard without nodes can be served. Exception: once it has lacked them for the shortest
        latency target, none is expected in time; requests that wait for it would hold client connections that
        are needed for other shards."""
        if shard == ANY_SHARD:
            return 0.0
        return inf if self.now - self.unserved_since.setdefault(shard, self.now) > self.min_target else 0.0

    def _service_time(self, node: Node, job: Job) -> float:
        best = node.unit_time.get(job.req.cls) or self._unit_time(node)
        # capped: one wrong estimate must not keep a node from all further requests
        return min(best * self._work_units(job.req), job.cls.latency_target / 2)

    def _work_units(self, req: api.Request) -> float:
        """The units of work in a request: `req.units` is rounded up, by half a unit on average."""
        return max(0.5, req.units - 0.5)

    def _unit_time(self, node: Node) -> float:
        return min(node.unit_time.values(), default=0.0)  # over all classes; 0 while unknown

    def _within_reserve(self, job: Job) -> bool:
        return job.flow.volume.reserve.refill(self.now) >= job.req.units

    def _queue_wait(self, node: Node) -> float:
        """The expected wait in the node's queue: the last estimate, decayed with its age."""
        return node.queue_wait * exp((node.queue_wait_at - self.now) / (2 * self.min_target))

    def _meets_target(self, job: Job, node: Node) -> bool:
        """Whether the node's queue is short enough. Exception: windows never narrow below one request, so
        those of lower value, or with a longer latency target than the shortest, wait for shorter queues."""
        wait = self._queue_wait(node)
        reserve_factor = 1.0 if self._within_reserve(job) else self.settings.unreserved_value**0.5
        relative_value = job.cls.value * job.flow.volume.plan.price * reserve_factor / self.max_value
        relative_value *= min(1.0, self.min_target / job.cls.latency_target) ** 0.5
        return (
            wait <= self.min_target * relative_value
            and self.now + wait + self._service_time(node, job) <= job.target_at
        )

    def _serve_shard(self, shard: int) -> None:
        """Promotes a shard's requests, then sends while windows allow, shortest wait first."""
        del self.pending_shards[shard]
        if queues := self.shard_queues.get(shard):
            nodes = self._nodes_of(shard)
            if shard == ANY_SHARD:  # random: otherwise all fronts would choose the same best node
                nodes = self.random.sample(nodes, min(NODE_CHOICES, len(nodes)))
            self._promote(queues, sum(ceil(node.window) for node in nodes) or 1)
            for node in sorted(
                nodes,
                key=lambda n: (self._queue_wait(n) + (n.in_flight + 1) * self._unit_time(n), n.in_flight),
            ):
                capacity = 1 if node.failures > 1 else int(node.window)
                while node.in_flight < capacity and (job := self._next_job(node)):
                    self._send(job, node)
            if not (queues.waiting or queues.ready):
                self.shard_queues.pop(shard, None)

    def _next_job(self, node: Node) -> Job | None:
        # new objects avoid a node that just failed: one that rejects everything would look the fastest
        best, candidate = (2, inf), None
        for queues in filter(
            None, map(self.shard_queues.get, (node.entry.shard, None if node.failures else ANY_SHARD))
        ):
            # an idle node also takes requests that are not promoted yet
            for flow_queues in (queues.ready, queues.waiting) if not node.in_flight else (queues.ready,):
                for job in self._prune_and_yield_first_jobs(flow_queues):
                    sort_key = (0 if self._within_reserve(job) else 1, rank(job.flow))
                    if sort_key < best and self._meets_target(job, node) and not self._is_blocked(job, node):
                        best, candidate = sort_key, (queues, job)
        if candidate:
            queues, job = candidate
            return queues.ready[job.flow].popleft() if job.promoted else self._promote_job(queues, job)

    def _retries_left(self) -> bool:
        """Guard 6: whether the retry budget over the sliding window allows another attempt."""
        if (span := self.settings.retry_budget_window) is None:
            return True
        total = self.accepted.total(self.now, span)
        allowed = (self.settings.retry_budget_base or 0.0) + (self.settings.retry_budget_ratio or 0.0) * total
        return self.retries.total(self.now, span + self.settings.tick) + 1 <= allowed

    def _is_warm(self, node: Node) -> bool:
        started_at, settings = node.entry.started_at, self.settings
        return started_at is None or self.now - started_at >= (settings.warm_up or 0.0) + (
            settings.overload_window or 0.0
        )

    def _slow_start_budget_allows(self, node: Node, units: float) -> bool:
        """Guard 4: whether a cold node's budget allows a send; it grows with the slowest warm-up allowed."""
        settings, started_at, window = self.settings, node.entry.started_at, self.settings.overload_window
        if settings.slow_start_units is None or not window or not settings.warm_up:
            return True
        sent_units = node.sent_units.total(self.now, window)
        if started_at is None or self._is_warm(node):
            return True
        start = settings.start_capacity or 1.0
        capacity_ratio = start + (1 - start) * max(0.0, self.now - started_at - window) / settings.warm_up
        budget = (
            USED_FRACTION
            * settings.slow_start_units
            * min(1.0, self._shard_fraction(node.entry.shard))
            * capacity_ratio
            / start
        )
        # slow_start_units holds for the worst load; with reported utilization, the actual load may allow more
        if self.utilization and settings.overload_multiple:
            demand = self.demand.get(node.entry.shard, 0.0) / self.rounds * window / ROUND_S
            util = max(MIN_UTILIZATION, self.utilization.get(node.entry.shard, self.utilization[ANY_SHARD]))
            # queues need no allowance here: the windows bound them
            budget = max(budget, USED_FRACTION * settings.overload_multiple * capacity_ratio * demand / util)
        if budget < settings.max_units:
            # budget under one request: one at a time, its units repaid as debt over as many windows as needed
            node.debt_units = max(-budget, node.debt_units - budget * (self.now - node.debt_at) / window)
            node.debt_at = self.now
            return node.debt_units <= 0
        return sent_units + units <= budget

    def _shard_fraction(self, shard: int) -> float:
        """This front's fraction of what all fronts send to a shard: an equal one, times how much more of its
        demand goes there than to the mean shard. Over all fronts, the fractions sum to 1 for the mean shard;
        few fronts work with any one shard."""
        prior_units, shards = PRIOR_REQUESTS * self.settings.mean_units, self.settings.shards
        fraction = (self.demand.get(shard, 0.0) + prior_units / shards) / (self.total_demand + prior_units)
        return fraction * shards / max(1, self.settings.fronts)

    def _on_report(self, node: Node, report: dict[str, float]) -> None:
        if (util := report.get("util")) is not None and self._is_warm(node):
            for shard in (ANY_SHARD, node.entry.shard):
                average = self.utilization.get(shard, self.utilization.get(ANY_SHARD, 1.0))
                self.utilization[shard] = average + SMOOTHING * (util - average)

    def _is_blocked(self, job: Job, node: Node) -> bool:
        """Whether a guard forbids this send now."""
        req, cls = job.req, job.cls
        if job.done or job.in_flight or self.now >= job.response_deadline:  # guard 1
            return True
        if job.attempts and self._attempts_exhausted(job):  # guards 2 and 6
            return True
        if (
            job.first_possible_execution
            and cls.effect is Effect.DEDUPLICATED_BY_KEY
            and cls.group is not Group.ALL
            and (  # guard 2
                node.entry.zone != job.first_possible_execution[0]
                if cls.group is Group.ZONE
                else node.entry.shard != job.first_possible_execution[1]
            )
        ):
            return True
        if not node.usable or req.shard not in (ANY_SHARD, node.entry.shard):  # guard 3
            return True
        if (
            cls.in_order
            and req.key
            and (  # guard 5
                self.key_queues[req.key][0] is not job or self.now < self.key_blocked_until.get(req.key, -inf)
            )
        ):
            return True
        if not job.attempts and job.flow.volume.limit and job.flow.volume.limit.refill(self.now) < req.units:
            return True  # guard 7
        return not self._slow_start_budget_allows(node, req.units)

    def _send(self, job: Job, node: Node) -> None:
        assert not self._is_blocked(job, node), "a guard forbids this send"
        req, flow = job.req, job.flow
        if job.attempts:
            self.retries.add(self.now, 1)
        else:
            for bucket in (flow.volume.limit, flow.volume.reserve if self._within_reserve(job) else None):
                if bucket:
                    bucket.tokens -= req.units
        if self.settings.overload_window:  # for guard 4
            node.sent_units.add(self.now, req.units)
            node.debt_units += req.units
            node.debt_at = self.now
        flow.sends_in_round, flow.last_used_at = flow.sends_in_round + 1, self.now
        job.in_flight[job.attempts] = self.now
        job.attempts, node.in_flight = job.attempts + 1, node.in_flight + 1
        # exception: where responses get lost, an attempt that is long overdue times out early, to be retried
        # the time per unit of all classes is known sooner than that of this class
        expected = min(self._unit_time(node) * self._work_units(req), job.cls.latency_target / 2)
        overdue_after = (
            OVERDUE_FACTOR * (self._queue_wait(node) + expected)
            if self.loss_rate > LOSS_THRESHOLD and node.unit_time
            else inf
        )
        # exception: past its latency target, a request would only delay those queued behind it
        timeout = max(
            self.settings.tick,
            min(job.target_at - self.now, job.response_deadline - self.now, overdue_after),
        )
        self.actions.append(api.Send(req.id, node.entry.id, timeout, self._retry_deadline(job) - self.now))
