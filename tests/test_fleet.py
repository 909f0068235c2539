"""Many fronts and few chunk servers on a virtual clock: what each front learns, and their combined load."""

import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from ochrespan import interface as api
from ochrespan.interface import ListKind, NodeList, Status
from ochrespan.policy.front import Scheduler

from .helpers import entry, settings

STEP = 0.02
COLD = {
    "slow_start_units": 24.0,
    "start_capacity": 0.2,
    "warm_up": 16.0,
    "overload_window": 1.0,
    "overload_multiple": 4.0,
}
FULL = 100.0  # units a second that a warm server serves; the settings assume overload at 4 times the cold fifth


@dataclass
class Server:
    """Serves requests at a rate that grows while it is cold; reports its utilization with a short delay."""

    node: api.NodeEntry
    received: list[tuple[float, float]] = field(default_factory=list)  # time, units
    idle_at: float = 0.0
    unresponsive: bool = False

    def capacity(self, now: float) -> float:
        started = self.node.started_at
        return FULL if started is None else FULL * min(1.0, 0.2 + 0.8 * (now - started) / 16)

    def units(self, since: float, until: float) -> float:
        return sum(u for at, u in self.received if since < at <= until)

    def accept(self, now: float, units: float) -> tuple[float, dict[str, float]]:
        """The time of the response, and its load report."""
        self.received.append((now, units))
        waits = max(0.0, self.idle_at - now)
        self.idle_at = max(self.idle_at, now) + units / self.capacity(now)
        util = min(1.0, self.units(now - 1.3, now - 0.3) / self.capacity(now - 0.3))
        return self.idle_at, {"util": util, "queue": float(round(waits * 20))}


class FleetModel:
    """40 fronts and 60 shards; each front uses 12 shards, a different set each."""

    def __init__(self, reports: bool, rate: float = 40.0, fronts: int = 40, shards: int = 60) -> None:
        self.now, self.rng, self.reports, self.count = 100.0, random.Random(5), reports, 0
        self.rate = rate * shards / fronts  # units a second through each front
        self.accepted: set[str] = set()  # requests without a final answer
        self.in_flight: set[str] = set()  # requests with an attempt in flight
        self.attempts_at_silent = 0  # attempts sent to unresponsive servers
        self.failure_rates: dict[
            Status, float
        ] = {}  # fractions of attempts that end so although the server accepted them
        self.outcomes: Counter[Status] = Counter()
        self.servers = [Server(entry(i)) for i in range(shards)]
        self.by_id = {server.node.id: server for server in self.servers}
        scheduler_settings = settings(fronts=fronts, shards=shards, **COLD)
        self.schedulers = [Scheduler(scheduler_settings, self.now) for _ in range(fronts)]
        for scheduler in self.schedulers:
            scheduler.random.seed(self.rng.random())
            scheduler.handle(self.now, [NodeList(ListKind.FULL, [s.node for s in self.servers])])
        uses = shards // 5  # each shard is used by a fifth of the fronts
        self.shards_by_front = [
            [(rank + k * (1 + rank % 7) * 5) % shards for k in range(uses)] for rank in range(fronts)
        ]
        self.answers: list[list[tuple[float, api.Outcome]]] = [[] for _ in range(fronts)]

    def replace(self, shards: range) -> list[Server]:
        """Replaces the servers of these shards by cold ones."""
        changes = []
        for i in shards:
            old, new = self.servers[i].node, entry(i, f"new{i}", started_at=self.now)
            changes += [api.NodeEntry(old.id, old.shard, api.NodeState.GONE), new]
            self.servers[i] = self.by_id[new.id] = Server(new)
        for rank, scheduler in enumerate(self.schedulers):
            self.process(rank, scheduler.handle(self.now, [NodeList(ListKind.DELTA, changes)]))
        return [self.servers[i] for i in shards]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for rank, scheduler in enumerate(self.schedulers):
                events: list[api.Event] = [answer for at, answer in self.answers[rank] if at <= self.now]
                self.in_flight -= {answer.request_id for answer in events}
                self.accepted -= {answer.request_id for answer in events if answer.status is Status.OK}
                self.answers[rank] = [one for one in self.answers[rank] if one[0] > self.now]
                if self.rng.random() < self.rate * STEP / 2:  # 2 units on average
                    self.count += 1
                    shard, units = (
                        self.rng.choice(self.shards_by_front[rank]),
                        self.rng.choice((1, 1, 2, 2, 4)),
                    )
                    events.append(api.Request(f"r{self.count}", "v", "read", "free", 4.0, units, shard))
                self.accepted |= {event.id for event in events if isinstance(event, api.Request)}
                self.process(rank, scheduler.handle(self.now, events or [api.Timer(1)]))

    def notify(self, servers: list[Server], state: api.NodeState = api.NodeState.READY) -> None:
        changes = [api.NodeEntry(s.node.id, s.node.shard, state, s.node.started_at) for s in servers]
        for rank, scheduler in enumerate(self.schedulers):
            self.process(rank, scheduler.handle(self.now, [NodeList(ListKind.DELTA, changes)]))

    def process(self, rank: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Refuse | api.Fail):
                self.accepted.remove(action.request_id)  # fails on a second final answer
            if not isinstance(action, api.Send):
                continue
            job, server = self.schedulers[rank].jobs[action.request_id], self.by_id[action.node]
            assert action.request_id not in self.in_flight, "two attempts out"
            self.in_flight.add(action.request_id)
            at, report = server.accept(self.now, job.req.units) if not server.unresponsive else (1e9, {})
            self.attempts_at_silent += server.unresponsive
            status = Status.OK if at <= self.now + action.timeout else Status.TIMEOUT
            for failure, probability in self.failure_rates.items():
                status = failure if self.rng.random() < probability else status
            at = self.now + action.timeout if status is Status.TIMEOUT else min(at, self.now + action.timeout)
            ok = status is Status.OK
            self.outcomes[status] += 1
            answer = api.Outcome(
                action.request_id,
                job.attempts - 1,
                action.node,
                status,
                at - self.now,
                ok,
                report if self.reports and ok else {},
            )
            self.answers[rank].append((at, answer))


@pytest.mark.parametrize(
    ("reports", "rate", "cold", "warm"),
    [  # fractions of the demand; some servers get more than 100 units a second
        (False, 40.0, 0.2, 0.85),
        (True, 40.0, 0.7, 0.85),
        (True, 80.0, 0.4, 0.65),
    ],
)
def test_all_fronts_together_never_overload_a_cold_server_and_use_it_fully_once_warm(reports, rate, cold, warm):
    fleet = FleetModel(reports, rate)
    fleet.run(12)
    fresh = fleet.replace(range(0, 60, 2))
    early = late = 0.0
    for second in range(1, 20):
        fleet.run(1)
        sums = [server.units(fleet.now - 1, fleet.now) for server in fresh]
        capacity = FULL * min(1.0, 0.2 + 0.8 * (second - 1) / 16)
        if not reports:
            assert sum(sums) / len(sums) <= 24 * capacity / 20, (second, sums)
        assert all(units < 3.2 * capacity for units in sums), (second, sums)  # at 4 they would fail
        early += sum(sums) if 2 <= second <= 6 else 0.0
        late += sum(sums) if second >= 18 else 0.0
    assert early >= cold * rate * 5 * len(fresh)
    assert late >= warm * rate * 2 * len(fresh)


@pytest.mark.parametrize(("fronts", "first"), [(1, 3), (4, 3), (8, 1), (40, 1), (200, 1)])
def test_the_initial_window_shrinks_with_the_number_of_fronts(fronts, first):
    scheduler = Scheduler(settings(fronts=fronts), 100.0)
    scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    actions = scheduler.handle(100.0, [api.Request(f"r{i}", "v", "read", "free", 4.0, 2, 0) for i in range(9)])
    assert sum(isinstance(action, api.Send) for action in actions) == first


@pytest.mark.parametrize(
    ("fronts", "queue", "widens"), [(40, None, True), (40, 0.0, True), (40, 2.0, False), (4, 2.0, True)]
)  # with few fronts, own responses show the queue
def test_a_queue_caused_by_other_fronts_narrows_the_window_before_own_responses_are_late(fronts, queue, widens):
    scheduler = Scheduler(settings(fronts=fronts), 100.0)
    scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    report = {} if queue is None else {"queue": queue}
    for turn in range(20):
        now = 100.0 + turn
        requests = [api.Request(f"r{turn}-{i}", "v", "read", "free", 4.0, 2, 0) for i in range(9)]
        sends = [action for action in scheduler.handle(now, requests) if isinstance(action, api.Send)]
        while sends:
            name = sends.pop().request_id
            actions = scheduler.handle(now + 0.05, [api.Outcome(name, 0, "n0", Status.OK, 0.05, True, report)])
            sends += [action for action in actions if isinstance(action, api.Send)]
    assert (scheduler.nodes["n0"].window > 2) is widens


@pytest.mark.parametrize(
    ("report", "narrows"),
    [({}, True), ({"queue": 2.0}, True), ({"util": 0.9, "queue": 0.0}, True), ({"util": 0.4, "queue": 0.0}, False)],
)
def test_long_work_at_a_server_with_low_utilization_does_not_narrow_its_window(report, narrows):
    """From the tenth on, every second response takes four times as long, as with requests of very different size."""
    scheduler = Scheduler(settings(fronts=4), 100.0)
    scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    for turn in range(60):
        now = 100.0 + turn
        request = api.Request(f"r{turn}", "v", "read", "free", 4.0, 2, 0)
        sent = [action for action in scheduler.handle(now, [request]) if isinstance(action, api.Send)]
        assert len(sent) == 1
        latency = 0.05 if turn < 10 or turn % 2 else 0.2
        scheduler.handle(now + latency, [api.Outcome(request.id, 0, "n0", Status.OK, latency, True, report)])
    assert (scheduler.nodes["n0"].window < 2.5) is narrows and (scheduler.nodes["n0"].window >= 3) is not narrows


@pytest.mark.parametrize(("queue_wait", "sent"), [(0.05, {"read", "export"}), (0.2, {"read"}), (0.6, set())])
def test_requests_with_a_long_target_leave_a_queue_to_urgent_ones(queue_wait, sent):
    classes = {name: api.RequestClass(name, aim, 2 * aim) for name, aim in (("read", 0.5), ("export", 4.5))}
    scheduler = Scheduler(settings(classes=classes), 100.0)
    scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    node = scheduler.nodes["n0"]
    node.queue_wait, node.queue_wait_at, node.unit_time = queue_wait, 100.0, dict.fromkeys(classes, 0.01)
    actions = scheduler.handle(100.0, [api.Request(name, "v", name, "free", 9.0, 1, 0) for name in classes])
    assert {action.request_id for action in actions if isinstance(action, api.Send)} == sent
    actions = [action for at in range(1, 60) for action in scheduler.handle(100.0 + 0.05 * at, [api.Timer(1)])]
    assert "export" in sent or any(isinstance(action, api.Send) and action.request_id == "export" for action in actions)


def test_unsent_requests_are_refused_by_half_their_time_even_behind_ones_with_more_time():
    scheduler = Scheduler(settings(), 100.0)
    scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    scheduler.nodes["n0"].queue_wait, scheduler.nodes["n0"].queue_wait_at = (
        50.0,
        100.0,
    )  # too long a queue for any request
    lefts = {"long": 3.0, "short": 0.4, "shorter": 0.2}  # as from clients with short time-outs; one flow
    now, ended = 100.0, {}
    requests: list[api.Event] = [api.Request(name, "v", "read", "free", left, 1, 0) for name, left in lefts.items()]
    while len(ended) < 3:
        actions = scheduler.handle(now, requests or [api.Timer(1)])
        requests = []
        ended |= {action.request_id: now - 100.0 for action in actions if isinstance(action, api.Refuse)}
        now += next(action.delay for action in reversed(actions) if isinstance(action, api.SetTimer))
    assert all(ended[name] <= left / 2 - 0.01 for name, left in lefts.items() if name != "long"), ended
    assert ended["short"] > 0.15 and ended["shorter"] > 0.05


def test_a_zone_that_stops_responding_and_returns_cold_gets_few_attempts_and_no_overload():
    fleet = FleetModel(reports=True)
    fleet.run(8)
    zone = fleet.servers[:20]
    for server in zone:
        server.unresponsive = True
    fleet.run(1)  # no list update: each front has to notice
    fleet.attempts_at_silent = 0
    fleet.run(4)
    # demand at 20 servers: 800 units a second, 2 per request: 1,600 requests in that time
    assert fleet.attempts_at_silent <= 320, fleet.attempts_at_silent
    for server in zone:  # back under its id, cold; listed a second late
        server.node = entry(server.node.shard, server.node.id, started_at=fleet.now)
        server.unresponsive, server.idle_at = False, fleet.now
    fleet.run(1)
    fleet.notify(zone)
    for second in range(2, 18):
        fleet.run(1)
        sums = [server.units(fleet.now - 1, fleet.now) for server in zone]
        assert max(sums) < 3.2 * FULL * min(1.0, 0.2 + 0.8 * (second - 1) / 16), (second, sums)
    assert sum(sums) >= 0.8 * 40 * len(zone)
    for server in fleet.servers:
        fleet.notify([server], api.NodeState.DRAINING)
    fleet.rate = 0.0
    fleet.run(5)
    assert not fleet.accepted and not fleet.in_flight
    assert not any(scheduler.jobs for scheduler in fleet.schedulers)


def test_with_lost_responses_resets_and_a_late_list_each_request_ends_once_with_one_attempt_at_a_time():
    fleet = FleetModel(reports=True)
    fleet.run(2)
    fleet.failure_rates = {Status.TIMEOUT: 0.1, Status.RESET: 0.1, Status.ERROR: 0.05}
    gone = fleet.servers[:12]
    for server in gone:
        server.unresponsive = True  # not in the list yet
    fleet.run(3)
    fleet.replace(range(12))
    fleet.run(3)
    fleet.failure_rates = {}
    fleet.rate = 0.0
    fleet.run(5)  # `process` has checked each send and each end
    assert all(fleet.outcomes[status] > 100 for status in (Status.TIMEOUT, Status.RESET, Status.ERROR)), fleet.outcomes
    assert not fleet.accepted and not fleet.in_flight and not any(scheduler.jobs for scheduler in fleet.schedulers)


def test_drained_servers_get_no_new_requests_even_if_listed_twice_and_replaced_late():
    fleet = FleetModel(reports=True)
    fleet.run(4)
    old = fleet.servers[:36]
    fleet.notify(old, api.NodeState.DRAINING)
    notified_at = fleet.now
    fleet.run(1)
    fleet.notify(old[:18], api.NodeState.DRAINING)
    fleet.run(1)
    fleet.replace(range(36))
    fleet.run(3)
    assert not any(at > notified_at for server in old for at, _ in server.received)
    assert all(server.received for server in fleet.servers)
