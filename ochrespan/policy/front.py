"""All decisions of a head. Types, events, actions and settings: see `ochrespan/interface.py`.

A request joins its flow (volume x class); LexAS promotes it into the scheduler queue by the smallest eta; ARR
sends it to a node with room by the smallest (a+1)/delta. `_send` is the one exit, `_blocked` its guards.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterator
from itertools import count
from math import ceil, exp, inf

from .. import interface as api
from ..discovery_polling import Asking
from ..interface import Effect, Group, ListKind, Status
from ..recent import Recent
from ..state import Flow, Job, Lane, Node, NodeTable, Queues, Store, Turns, Volume
from .arr import KAPPA, ROUND, end_round, rank
from .gating import is_gated, lift_lagging, upper_threshold
from .window import narrowed, widened

# requests out at one node: at the start, then by all heads, most; widening under so often the least latency
WINDOW_START, WINDOW_ALL, WINDOW_CAP, WINDOW_TOLERANCE = 3.0, 12.0, 32.0, 1.5
SMOOTH = 0.15  # part of a new answer in smoothed figures; the least latency rises by a fifth of that
CHOICES = 5  # nodes looked at for a new object
IDLE_FLOW = 30.0  # s, after which an idle flow leaves the table
TICK = 0.02  # s between looks at what waits
HALF_LESS = 0.015  # s before half of its time what is unsent is refused: the way there and back takes some
FAILS = 4  # failures in a row from which the back-off stays; worth a log line
COLD_SAFETY = 0.8  # part of the cold budget that is used: chance and handshakes take the rest
USUAL = 0.8  # kept from round to round of what was asked of each shard: five seconds tell what is usual
UNKNOWN = 10.0  # requests, spread evenly over all shards, that stand for what we have not seen yet
LEAST_BUSY, HALF_BUSY = 0.3, 0.5  # what warm nodes are taken to be busy at least; and with room for more
LOST, LOSSY = 4.0, 0.02  # multiple of what an attempt should take; part of answers lost that makes it act
ANY = -1  # the shard of new objects
HUNG = {Status.TIMEOUT, Status.RESET, Status.CANCELLED, Status.UNKNOWN}  # may still be running
NEVER_RAN = {Status.FULL, Status.CONNECT_FAILED, Status.MOOT}


class Scheduler:
    def __init__(self, settings: api.Settings, now: float) -> None:
        self.set, self.born, self.now = settings, now, now
        self.random = random.Random(settings.seed)
        self.table = NodeTable()
        self.nodes, self.by_shard, self.leaving = self.table.nodes, self.table.by_shard, self.table.leaving
        self.flows: dict[tuple[str, str, str], Flow] = {}
        self.volumes: dict[tuple[str, str], Volume] = {}  # by plan and name
        self.lanes: dict[int, Lane] = {}
        self.jobs: dict[str, Job] = {}
        self.turns = Turns()
        self.rest_until: dict[str, float] = {}
        self.taken, self.extras = Recent(), Recent()  # requests, and attempts beyond their first
        self.longest: dict[str, float] = {}  # by class: the most time that a request came with
        self.ends: list[tuple[float, int, Job]] = []
        self.count, self.eta_top, self.round_at, self.wake = count(), 0.0, now + ROUND, -inf
        self.asking = Asking(settings.heads, settings.ask_within, self.random, now)
        if not settings.list_on_request:
            self.asking.told()
        self.acts: list[api.Action] = []
        self.most_worth = max([c.worth for c in settings.classes.values()] or [1.0])
        self.most_worth *= max([p.price for p in settings.plans.values()] or [1.0])
        self.patience = min((c.aim for c in settings.classes.values()), default=1.0)
        self.bare: dict[int, float] = {}  # shards that are asked for and have none, and since when
        self.touched: dict[int, None] = {}  # shards to look at: a batch costs no more than what it touches
        self.asked: dict[int, float] = {}  # units, by shard; what is past counts for less and less
        self.asked_all, self.rounds = 0.0, 1.0  # likewise
        self.busy: dict[int, float] = {}  # how much warm nodes report to be, by shard; at ANY all of them
        self.lossy = 0.0  # part of attempts that timed out though a later send was answered
        self.tick_at = now  # next look at all that waits
        self.stop_at = inf  # when the head ends

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.now, self.acts = now, []
        for event in events:
            match event:
                case api.Request() if event.id not in self.jobs:
                    self._take(event)
                case api.Outcome():
                    self._outcome(event)
                case api.NodeList():
                    self._list(event)
                case api.Gone(name) if job := self.jobs.get(name):
                    self._close(job)
                case api.Started(name) if job := self.jobs.get(name):
                    job.done = True  # the answer that has begun is the client's
                case api.Ending(at):
                    self.stop_at = at
                    for job in self.jobs.values():
                        self._end_by(job, at)
        while self.ends and self.ends[0][0] <= self.now:
            job = heapq.heappop(self.ends)[2]
            if not job.done and (self.now >= job.end_at or not job.attempts):
                self._finish(job)
        if self.now >= self.round_at:
            self._round()
        if self.asking.due(self.now):
            self.acts.append(api.WatchList())
        if self.now >= self.tick_at:
            self.tick_at = self.now + TICK
            self.touched.update(dict.fromkeys(self.lanes))
        while self.touched:  # ending a hopeless request may touch another shard
            self._pump(next(iter(self.touched)))
        self._set_timer()
        return self.acts

    def _round(self) -> None:
        """ARR: flows whose mean latency missed their aim gain gamma, and every a resets."""
        self.round_at = self.now + ROUND
        for key, flow in list(self.flows.items()):
            end_round(flow)
            if self.now - flow.used_at > IDLE_FLOW:
                del self.flows[key]
        self.rest_until = {key: at for key, at in self.rest_until.items() if at > self.now}
        self.table.forget_gone()
        self.asked = {shard: USUAL * units for shard, units in self.asked.items() if units > 0.01}
        self.asked_all, self.rounds = sum(self.asked.values()), USUAL * self.rounds + 1
        self.busy = {at: util for at, util in self.busy.items() if at == ANY or at in self.asked}
        self.bare = {shard: at for shard, at in self.bare.items() if shard in self.asked}  # or made up
        live = {key[:2] for key in self.flows}
        self.volumes = {
            k: v
            for k, v in self.volumes.items()  # a full store can be made anew as it was
            if k in live or (v.limit and v.limit.have(self.now) < v.limit.burst)
        }
        self.taken.total(self.now, self.set.extra_window or 0.0)  # forgets the rest

    def _set_timer(self) -> None:
        want = min(self.round_at, self.asking.at, self.tick_at if self.lanes else inf)
        want = max(self.now, min(want, self.ends[0][0] if self.ends else inf))
        if self.wake <= self.now + 1e-6 or want < self.wake:  # a rounded clock must not lose the timer
            self.wake = want
            self.acts.append(api.SetTimer(want - self.now, 1))

    def _take(self, req: api.Request) -> None:
        # a class that the settings do not name is read in the most careful way: unsafe
        cls, flow = self.set.classes.get(req.cls) or api.RequestClass(req.cls, inf, 0.0), self._flow(req)
        # no client has more than its class's time; one that says so would make all others look like repeats
        left = min(req.time_left, cls.deadline or inf)
        # a try with less time than the class's others is a client's repeat: it has spent part of its aim
        most = self.longest[req.cls] = max(left, self.longest.get(req.cls, 0.0))
        # with less than its aim it is hardly one: they come sooner; its client gives up early
        aim_at = self.now + (left if left < cls.aim else cls.aim + left - most)
        job = self.jobs[req.id] = Job(req, cls, flow, self.now, aim_at)
        self.taken.add(self.now, 1)
        self.asked[req.shard] = self.asked.get(req.shard, 0.0) + req.units
        self.asked_all += req.units
        self._end_by(job, min(self.stop_at, self.now + left - 2 * self.set.step - 0.001))
        # unsent by then, whatever it stands behind: its client could have asked elsewhere
        heapq.heappush(self.ends, (self.now + left / 2 - HALF_LESS - self.set.step, next(self.count), job))
        if not (cls.in_order and req.key) or self.turns.join(job):
            self._queue(job)

    def _end_by(self, job: Job, at: float) -> None:
        """Guard 1: its final answer leaves by then, two steps before its time is up."""
        if at < job.end_at:
            job.end_at = at
            heapq.heappush(self.ends, (at, next(self.count), job))

    def _flow(self, req: api.Request) -> Flow:
        if (volume := self.volumes.get((req.plan, req.volume))) is None:
            plan = self.set.plans.get(req.plan) or api.Plan(req.plan)
            # guard 7: an even part; empty at our start, since a fresh head may be a restarted one
            limit = Store(0.0, 0.0, 0.0, self.born) if plan.limit else None
            volume = self.volumes[req.plan, req.volume] = Volume(plan, Store(0.0, 0.0, inf, self.now), limit)
        # the count of hosts may change; one that is not told is read as all heads
        plan, part = volume.plan, 1.0 / (req.hosts if req.hosts >= 1 else max(1, self.set.heads))
        burst = plan.reserve * part + self.set.most_units if plan.reserve else 0.0
        volume.reserve.resize(plan.reserve * part, burst, self.now)
        if volume.limit:
            volume.limit.resize(plan.limit * part, plan.limit_burst * part, self.now)
        fresh = Flow(volume, max(plan.weight, 1e-6), gain=KAPPA)
        flow = self.flows.setdefault((req.plan, req.volume, req.cls), fresh)
        flow.used_at = self.now
        return flow

    def _queue(self, job: Job, first: bool = False) -> None:
        """Into its flow queue; what is promoted, into its shard's part of the scheduler queue."""
        lane = self.lanes.setdefault(job.req.shard, Lane())
        self.touched[job.req.shard] = None
        queue = (lane.ready if job.promoted else lane.waiting).setdefault(job.flow, deque())
        (queue.appendleft if first else queue.append)(job)

    def _close(self, job: Job) -> None:
        """The request is over; its key's turn passes on once no attempt is out."""
        if not job.done and self.set.can_cancel:  # it must hold neither a queue nor its key
            self.acts.extend(api.Cancel(job.req.id, attempt) for attempt in job.out)
        job.done = True
        if job.out:
            return
        self.jobs.pop(job.req.id, None)
        for following in self.turns.pass_on(job.req.key):
            self._queue(following, first=True)

    def _finish(self, job: Job) -> None:
        """Guard 2: refuse only what is harmless to try again, else fail."""
        harmless = (
            (job.ran is None and not job.out)
            or job.cls.effect is Effect.SAFE
            or (job.cls.effect is Effect.KEYED and job.cls.group is Group.ALL)
        )
        self.acts.append(api.Refuse(job.req.id, self._pause(job)) if harmless else api.Fail(job.req.id))
        self._close(job)

    def _pause(self, job: Job) -> float:
        """When to come back: once the shortest queue for it has passed, spread so as not to flock."""
        if not self.set.advises_pause:
            return 0.0
        nodes = self._nodes(job.req.shard)
        wait = min((self._wait(node) for node in nodes), default=inf)
        return min(self.set.max_pause, max(wait, self.patience)) * (0.5 + self.random.random() / 2)

    def _outcome(self, got: api.Outcome) -> None:
        node, job = self.nodes.get(got.node), self.jobs.get(got.request_id)
        sent_at = job.out.pop(got.attempt, None) if job else None
        if job is None or sent_at is None or node is None:
            return
        node.out -= 1
        job.req.most_attempts = got.most_attempts or job.req.most_attempts
        self.touched |= dict.fromkeys(s for s in (node.entry.shard, ANY) if s in self.lanes)
        self._reported(node, got.report)
        if got.status is Status.OK:
            self._served(node, got, job.req, sent_at)
            job.flow.over += self.now - job.taken_at - job.cls.aim
        elif got.status not in (Status.MOOT, Status.CANCELLED):  # these tell nothing of the node
            self._failed(node, got, sent_at)
        if got.status not in NEVER_RAN and job.ran is None:
            job.ran = (node.entry.zone, node.entry.shard, sent_at)
        if got.status in HUNG and self.set.key_rest and job.cls.in_order:  # guard 5
            self.rest_until[job.req.key] = self.now + self.set.key_rest + self.set.step
        if got.closed or job.done or got.status is Status.OK:
            self._close(job)
        elif self._last(job):
            self._finish(job)
        else:
            self._queue(job, first=True)

    def _served(self, node: Node, got: api.Outcome, req: api.Request, sent_at: float) -> None:
        """What an answer tells: the node's speed and queue wait, and the window that they lead."""
        queue, x = got.report.get("queue"), got.latency / self._work(req)
        if node.fails >= FAILS:
            self.acts.append(api.Log(f"node {node.entry.id} answers again"))
        node.fails, node.answered_to = 0, max(node.answered_to, sent_at)
        self.lossy -= SMOOTH * self.lossy
        best = node.best.get(req.cls) or x
        best = node.best[req.cls] = best + (SMOOTH if x < best else SMOOTH / 5) * (x - best)
        keep = (1 - SMOOTH) * exp((node.seen_at - self.now) / (2 * self.patience))
        node.wait = keep * node.wait + (1 - keep) * max(0.0, got.latency - best * self._work(req))
        node.seen_at = self.now
        # half idle, it was the work that was long; among many heads also on a queue that others made
        if (x > WINDOW_TOLERANCE * best and got.report.get("util", 1.0) > HALF_BUSY) or (
            queue and WINDOW_START * self.set.heads > WINDOW_ALL
        ):
            node.window = narrowed(node.window)
        elif node.out + 1 >= int(node.window):
            node.window = widened(node.window, WINDOW_CAP)

    def _failed(self, node: Node, got: api.Outcome, sent_at: float) -> None:
        """Exception: each failure in a row counts as a queue twice as long: sends to a dead node back off."""
        if got.status is Status.TIMEOUT and node.answered_to > sent_at:  # served in turn: lost
            self.lossy += SMOOTH * (1 - self.lossy)
            return
        if sent_at < node.failed_at or got.status is Status.ERROR:
            return  # one trouble counts once, however many were out; what errs answers, and is no queue
        # a kept connection that breaks says little of the node behind it: one that is dead takes no new ones
        more = 0.5 if got.status is Status.RESET else 1.0
        node.fails, node.failed_at = node.fails + more, self.now
        if node.fails >= FAILS > node.fails - more:
            self.acts.append(api.Log(f"node {node.entry.id} fails ({got.status.value}): sends back off"))
        queue = self.patience * (2 ** min(node.fails, FAILS) / 2 - 1)
        node.wait = max(self._wait(node), queue, got.latency if got.status is Status.TIMEOUT else 0.0)
        node.seen_at = self.now

    def _last(self, job: Job) -> bool:
        """Guards 2 and 6: no further attempt may leave."""
        most = min(job.req.most_attempts or inf, self.set.max_attempts)  # so many are paid for
        return self.now >= self._begin_by(job) or job.attempts >= most or not self._extra_left()

    def _begin_by(self, job: Job) -> float:
        """Guard 2: a further attempt has to have begun by then."""
        if job.ran is None or job.cls.effect is Effect.SAFE:
            return inf
        return -inf if job.cls.effect is Effect.UNSAFE else job.ran[2] + job.cls.window - self.set.step

    def _list(self, got: api.NodeList) -> None:
        if got.kind is ListKind.MOVED:
            return self.asking.moved(self.now)
        if got.kind is ListKind.FAILED:
            return self.asking.failed(self.now) if self.set.list_on_request else None
        if got.kind is not ListKind.CACHED:
            self.asking.told()
        moved = self.table.update(got, lambda entry, known: self._begin(entry, known, got.kind))
        self.bare = {shard: at for shard, at in self.bare.items() if shard not in self.by_shard}
        self.touched.update(dict.fromkeys(shard for shard in (*moved, ANY) if shard in self.lanes))

    def _begin(self, entry: api.NodeEntry, known: Node | None, kind: ListKind) -> Node:
        """A node's new life; guard 4: what an earlier life of ours knew begins with its budget spent."""
        window = max(1.0, min(WINDOW_START, WINDOW_ALL / max(1, self.set.heads)))
        out, sent = (known.out, known.sent) if known else (0, Recent())
        if kind is ListKind.CACHED:
            sent.add(self.now, inf)
        # the first send waits by lot from now on: only as many heads begin in a window as it bears
        unpaid = self.random.random() * self.set.mean_units
        return Node(entry, window=window, sent=sent, out=out, unpaid=unpaid, paid_at=self.now)

    def _nodes(self, shard: int) -> list[Node]:
        return self.by_shard.get(shard, []) if shard != ANY else self.table.usable()

    def _promote(self, lane: Lane, part: int) -> None:
        """Gates flow queues into a shard's part of the scheduler queue; `part` is its part of L."""
        lift_lagging(list(lane.waiting), self.eta_top)
        t_max = upper_threshold(lane.waiting)
        while True:
            ready = sum(len(lane.ready[job.flow]) for job in self._heads(lane.ready))
            best, pick = (2, inf), None
            for job in self._heads(lane.waiting):
                order = (0 if self._reserved(job) else 1, job.flow.eta)  # exception: the reserve goes first
                if order < best and not (order[0] and is_gated(job.flow.eta, t_max, ready, part)):
                    best, pick = order, job
            if pick is None or ready >= 2 * part:
                return
            self._queue(self._charge(lane, pick))

    def _charge(self, lane: Lane, job: Job) -> Job:
        lane.waiting[job.flow].popleft()
        job.flow.eta += job.req.units / job.flow.weight
        self.eta_top = max(self.eta_top, job.flow.eta)
        job.promoted = True
        return job

    def _heads(self, queues: Queues) -> Iterator[Job]:
        """The first live request of each flow; what is over leaves, what is hopeless is ended early."""
        for flow, queue in list(queues.items()):
            while queue:
                job, nodes = queue[0], self.by_shard.get(queue[0].req.shard, ())
                need = min([self._need(node, job) for node in nodes] or [self._absence(job.req.shard)])
                if not job.done and self.now + need <= job.aim_at:
                    yield job
                    break
                queue.popleft()
                if not job.done:
                    self._finish(job)
            else:
                del queues[flow]

    def _absence(self, shard: int) -> float:
        """Exception: a shard that lacks a node for longer than the shortest aim will not have one in time;
        what is held for it takes the connections that clients need for the others."""
        if shard == ANY:
            return 0.0
        return inf if self.now - self.bare.setdefault(shard, self.now) > self.patience else 0.0

    def _need(self, node: Node, job: Job) -> float:
        best = node.best.get(job.req.cls) or self._pace(node)  # one bad estimate must not starve a node:
        return min(best * self._work(job.req), job.cls.aim / 2)

    def _work(self, req: api.Request) -> float:
        """In units: they are told rounded up, by half of one on average."""
        return max(0.5, req.units - 0.5)

    def _pace(self, node: Node) -> float:
        return min(node.best.values(), default=0.0)

    def _reserved(self, job: Job) -> bool:
        return job.flow.volume.reserve.have(self.now) >= job.req.units

    def _wait(self, node: Node) -> float:
        """Its queue wait as far as we know: what is old is believed less and less."""
        return node.wait * exp((node.seen_at - self.now) / (2 * self.patience))

    def _in_time(self, job: Job, node: Node) -> bool:
        """Exception: a window is never under one request, so what is worth less, or has more time than the
        most urgent, waits for shorter queues."""
        wait = self._wait(node)
        tier = 1.0 if self._reserved(job) else self.set.share_worth**0.5
        worth = job.cls.worth * job.flow.volume.plan.price * tier / self.most_worth
        worth *= min(1.0, self.patience / job.cls.aim) ** 0.5
        return wait <= self.patience * worth and self.now + wait + self._need(node, job) <= job.aim_at

    def _pump(self, shard: int) -> None:
        """Serves one shard: promotes what waits, then sends while nodes have room, shortest wait first."""
        del self.touched[shard]
        if lane := self.lanes.get(shard):
            nodes = self._nodes(shard)
            if shard == ANY:  # by lot: heads share nothing and would all flock to the one best node
                nodes = self.random.sample(nodes, min(CHOICES, len(nodes)))
            self._promote(lane, sum(ceil(node.window) for node in nodes) or 1)
            for node in sorted(nodes, key=lambda n: (self._wait(n) + (n.out + 1) * self._pace(n), n.out)):
                room = 1 if node.fails > 1 else int(node.window)
                while node.out < room and (job := self._pick(node)):
                    self._send(job, node)
            if not (lane.waiting or lane.ready):
                self.lanes.pop(shard, None)

    def _pick(self, node: Node) -> Job | None:
        # new objects keep off a node that just failed: one that turns all away answers fastest
        best, found = (2, inf), None
        for lane in filter(None, map(self.lanes.get, (node.entry.shard, None if node.fails else ANY))):
            # an idle node pulls straight from the flow queues
            for queues in (lane.ready, lane.waiting) if not node.out else (lane.ready,):
                for job in self._heads(queues):
                    order = (0 if self._reserved(job) else 1, rank(job.flow))
                    if order < best and self._in_time(job, node) and not self._blocked(job, node):
                        best, found = order, (lane, job)
        if found:
            lane, job = found
            return lane.ready[job.flow].popleft() if job.promoted else self._charge(lane, job)

    def _extra_left(self) -> bool:
        """Guard 6: the budget of attempts beyond the first, over the sliding window."""
        if (span := self.set.extra_window) is None:
            return True
        taken = self.taken.total(self.now, span)
        allowed = (self.set.extra_free or 0.0) + (self.set.extra_share or 0.0) * taken
        return self.extras.total(self.now, span + self.set.step) + 1 <= allowed

    def _warm(self, node: Node) -> bool:
        started, s = node.entry.started_at, self.set
        return started is None or self.now - started >= (s.warm_up or 0.0) + (s.overload_window or 0.0)

    def _cold_left(self, node: Node, units: float) -> bool:
        """Guard 4: our part of what a cold node bears, growing as the slowest warm-up allows."""
        s, started, window = self.set, node.entry.started_at, self.set.overload_window
        if s.cold_units is None or not window or not s.warm_up:
            return True
        sent = node.sent.total(self.now, window)
        if started is None or self._warm(node):
            return True
        start = s.start_capacity or 1.0
        power = start + (1 - start) * max(0.0, self.now - started - window) / s.warm_up
        part = COLD_SAFETY * s.cold_units * min(1.0, self._part(node.entry.shard)) * power / start
        if self.busy and s.fall_multiple:  # the promise stands for the worst of loads; this one is known
            usual = self.asked.get(node.entry.shard, 0.0) / self.rounds * window / ROUND
            busy = max(LEAST_BUSY, self.busy.get(node.entry.shard, self.busy[ANY]))
            part = max(part, COLD_SAFETY * s.fall_multiple * power * usual / busy)  # queues: the windows
        if part < s.most_units:
            # one request at a time, each paid for over as many windows as it takes
            node.unpaid = max(-part, node.unpaid - part * (self.now - node.paid_at) / window)
            node.paid_at = self.now
            return node.unpaid <= 0
        return sent + units <= part

    def _part(self, shard: int) -> float:
        """Our part of what all heads send to a shard: even, times how much more of our requests go there than
        to the mean shard. Over all heads these add up to 1 for the mean shard; few work with any one."""
        unknown, shards = UNKNOWN * self.set.mean_units, self.set.shards
        usual = (self.asked.get(shard, 0.0) + unknown / shards) / (self.asked_all + unknown)
        return usual * shards / max(1, self.set.heads)

    def _reported(self, node: Node, report: dict[str, float]) -> None:
        if (util := report.get("util")) is not None and self._warm(node):
            for at in (ANY, node.entry.shard):
                was = self.busy.get(at, self.busy.get(ANY, 1.0))
                self.busy[at] = was + SMOOTH * (util - was)

    def _blocked(self, job: Job, node: Node) -> bool:
        """Whether a rule forbids this send now."""
        req, cls = job.req, job.cls
        if job.done or job.out or self.now >= job.end_at:  # guard 1; never two attempts at once
            return True
        if job.attempts and self._last(job):  # guards 2 and 6
            return True
        if (
            job.ran
            and cls.effect is Effect.KEYED
            and cls.group is not Group.ALL
            and (  # guard 2
                node.entry.zone != job.ran[0] if cls.group is Group.ZONE else node.entry.shard != job.ran[1]
            )
        ):
            return True
        if not node.usable or req.shard not in (ANY, node.entry.shard):  # guard 3
            return True
        if (
            cls.in_order
            and req.key
            and (  # guard 5
                self.turns[req.key][0] is not job or self.now < self.rest_until.get(req.key, -inf)
            )
        ):
            return True
        if not job.attempts and job.flow.volume.limit and job.flow.volume.limit.have(self.now) < req.units:
            return True  # guard 7
        return not self._cold_left(node, req.units)

    def _send(self, job: Job, node: Node) -> None:
        assert not self._blocked(job, node), "a send that a rule forbids"
        req, flow = job.req, job.flow
        if job.attempts:
            self.extras.add(self.now, 1)
        else:
            for store in (flow.volume.limit, flow.volume.reserve if self._reserved(job) else None):
                if store:
                    store.level -= req.units
        if self.set.overload_window:  # guard 4 counts it
            node.sent.add(self.now, req.units)
            node.unpaid += req.units
            node.paid_at = self.now
        flow.a, flow.used_at = flow.a + 1, self.now
        job.out[job.attempts] = self.now
        job.attempts, node.out = job.attempts + 1, node.out + 1
        # exception: where answers get lost (a later send's came), an attempt overdue by far is tried again
        need = min(self._pace(node) * self._work(req), job.cls.aim / 2)  # known sooner than that of one class
        soon = LOST * (self._wait(node) + need) if self.lossy > LOSSY and node.best else inf
        # exception: what is past its aim would only hold up what is queued behind it
        within = max(self.set.step, min(job.aim_at - self.now, job.end_at - self.now, soon))
        self.acts.append(api.Send(req.id, node.entry.id, within, self._begin_by(job) - self.now))
