"""The combined behaviour of many fronts, and the cost of one event in a large fleet."""

import random

from ochrespan import interface as api
from ochrespan.interface import ListKind, NodeList, Status
from ochrespan.policy.front import Scheduler

from .helpers import count_calls, entry, settings

COLD = {"slow_start_units": 24.0, "start_capacity": 0.25, "warm_up": 16.0, "overload_window": 1.0}


class Fleet:
    """Many fronts with requests for one shard; every attempt is answered one step later."""

    def __init__(self, fronts: int, node: api.NodeEntry, volume_fronts: int, plan: str, **changes) -> None:
        self.now, self.node, self.volume_fronts, self.plan = 100.0, node, volume_fronts, plan
        self.changes = changes | {"fronts": fronts}
        self.rng = random.Random(3)
        self.schedulers: dict[int, Scheduler] = {}
        self.answers: dict[int, list[api.Outcome]] = {}
        self.sends: list[tuple[float, float]] = []  # time, units
        self.count = 0
        for rank in range(fronts):
            self.start(rank, ListKind.FULL)

    def start(self, rank: int, kind: ListKind) -> None:
        self.schedulers[rank] = Scheduler(settings(seed=self.rng.getrandbits(40), **self.changes), self.now)
        self.schedulers[rank].handle(self.now, [NodeList(kind, [self.node])])
        self.answers[rank] = []

    def step(self, rank: int, units: float) -> None:
        self.count += 1
        name = f"r{self.count}"
        request = api.Request(name, "v", "read", self.plan, 4.0, units, 0, "", self.volume_fronts)
        events = [*self.answers[rank], request]
        self.answers[rank] = []
        for action in self.schedulers[rank].handle(self.now, events):
            if isinstance(action, api.Send):
                job = self.schedulers[rank].jobs[action.request_id]
                self.sends.append((self.now, job.req.units))
                answer = api.Outcome(action.request_id, 0, self.node.id, Status.OK, 0.02, True)
                self.answers[rank].append(answer)

    def units(self, since: float, until: float) -> float:
        return sum(u for at, u in self.sends if since < at <= until)


def test_a_cold_node_is_neither_overloaded_nor_unused_when_each_fronts_budget_is_under_one_request():
    for fronts, active in ((200, 80), (200, 200), (40, 40)):
        fleet = Fleet(fronts, entry(0, started_at=100.0), 3, "free", **COLD)
        sums = []
        for second in range(14):
            for _ in range(10):
                fleet.now += 0.1
                for rank in range(active):
                    if fleet.rng.random() < 0.3:
                        fleet.step(rank, fleet.rng.choice((1, 2, 2, 3)))
            sums.append(fleet.units(fleet.now - 1, fleet.now))
            # slow_start_units grows with the capacity: by 3 times its start in 16 s
            assert sums[-1] <= 24 * (1 + 3 * (second + 1) / 16) * 1.1, (fronts, active, sums)
        assert sum(sums[:3]) >= 4, (fronts, active, sums)
        assert sum(sums) >= 0.2 * sum(24 * (1 + 3 * t / 16) for t in range(14)) * active / fronts


def test_fronts_that_first_use_a_cold_node_later_may_send_more_without_overloading_it():
    sent = []
    for idle in (1, 3, 6, 9):  # seconds from the listing to the first request
        fleet = Fleet(200, entry(0, started_at=100.0), 3, "free", **COLD)
        fleet.now += idle
        for rank in range(200):
            fleet.step(rank, 1)
        sent.append(fleet.units(fleet.now - 1, fleet.now))
        assert (
            sent[-1] <= 24 * (1 + 3 * idle / 16) * 4
        )  # slow_start_units is a quarter of the load that overloads the node
    assert 0 < sent[0] < sent[1] < sent[2] < sent[3], sent


def test_frequent_restarts_do_not_increase_a_fronts_budget_for_a_cold_node():
    fleet = Fleet(200, entry(0, started_at=100.0), 3, "free", **COLD)
    for second in range(10):
        for _ in range(10):
            fleet.now += 0.1
            for rank in range(200):
                if fleet.rng.random() < 0.05:
                    fleet.start(rank, ListKind.CACHED)
                fleet.step(rank, 2)
        assert fleet.units(fleet.now - 1, fleet.now) <= 24 * (1 + 3 * (second + 1) / 16) * 1.1


def test_a_limit_holds_over_all_fronts_with_restarts_and_a_changing_count():
    fleet = Fleet(16, entry(0), 16, "capped")  # 4 units a second, 32 at once
    for tick in range(600):
        fleet.now += 0.1
        if tick == 300:
            fleet.volume_fronts = 8  # only the first eight continue
        for rank in range(fleet.volume_fronts):
            if fleet.rng.random() < 0.01:
                fleet.start(rank, ListKind.CACHED)
            fleet.step(rank, 1)
        assert sum(u for _, u in fleet.sends) <= 32 + 4 * (fleet.now - 100)
    assert sum(u for _, u in fleet.sends) >= 0.5 * 4 * 60


def test_an_unknown_number_of_fronts_is_read_as_all_fronts():
    for fronts, part in ((0, 0.1), (-3, 0.1), (2, 0.5), (999, 1 / 999)):
        scheduler = Scheduler(settings(fronts=10), 100.0)
        scheduler.handle(100.0, [api.Request("a", "v", "read", "capped", 4.0, fronts=fronts)])
        assert scheduler.volumes["capped", "v"].limit.rate == 4 * part


def work(scheduler: Scheduler, now: float, *events: api.Event) -> int:
    return count_calls(lambda: scheduler.handle(now, list(events)))


def test_the_cost_of_an_event_does_not_depend_on_unrelated_nodes_volumes_and_requests():
    costs = []
    for nodes, volumes in ((4, 5), (40, 400)):
        scheduler = Scheduler(settings(), 100.0)
        scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(i) for i in range(nodes)])])
        # many requests wait for shards without a node
        waiting = [api.Request(f"w{i}", f"v{i}", "read", "free", 4.0, 2, 99 + i % 30) for i in range(volumes)]
        scheduler.handle(100.0, waiting)
        cost = work(scheduler, 100.001, api.Request("r", "mine", "read", "free", 4.0, 2, 0))
        cost += work(scheduler, 100.002, api.Outcome("r", 0, "n0", Status.OK, 0.02, True))
        cost += work(scheduler, 100.003, api.Request("new", "mine", "read", "free", 4.0, 2, -1))
        costs.append(cost)
    assert costs[1] <= costs[0] + 40, costs


def test_after_a_long_stall_each_request_of_a_large_batch_ends_once():
    scheduler = Scheduler(settings(max_attempts=3), 100.0)
    nodes = [entry(i) for i in range(40)]
    scheduler.handle(100.0, [NodeList(ListKind.FULL, nodes)])
    first = [api.Request(f"a{i}", f"v{i % 50}", "read", "free", 4.0, 2, i % 40) for i in range(400)]
    actions = scheduler.handle(100.0, first)
    sends = [a for a in actions if isinstance(a, api.Send)]
    batch: list[api.Event] = [api.Outcome(s.request_id, 0, s.node, Status.OK, 0.1, True) for s in sends]
    batch += [api.Request(f"b{i}", f"v{i % 50}", "read", "free", 0.5, 2, i % 40) for i in range(4000)]
    batch += [api.Outcome(s.request_id, 0, s.node, Status.OK, 0.1, True) for s in sends]  # for requests that have ended
    for now in (105.0, 105.3, 106.0):
        actions += scheduler.handle(now, batch)
        batch = [api.Timer(1)]
    finals = [a.request_id for a in actions if isinstance(a, api.Refuse | api.Fail)]
    assert len(finals) == len(set(finals))
    answered = {s.request_id for s in sends}
    assert not answered & set(finals)
    assert answered | set(finals) == {f"a{i}" for i in range(400)} | {f"b{i}" for i in range(4000)}
    assert not any(node.failures for node in scheduler.nodes.values())


def test_large_lists_that_empty_and_return_leave_no_records():
    scheduler = Scheduler(settings(), 100.0)
    for turn in range(3):
        many = [entry(i % 7, f"x{turn}-{i}") for i in range(2000)]
        scheduler.handle(100.0 + 2 * turn, [NodeList(ListKind.FULL, many)])
        scheduler.handle(101.0 + 2 * turn, [NodeList(ListKind.FULL, [])])
    scheduler.handle(120.0, [api.Timer(1)])
    assert not scheduler.nodes and not scheduler.by_shard


def test_the_cost_of_a_changed_node_does_not_depend_on_the_length_of_the_list():
    costs = []
    for nodes in (12, 1200):
        scheduler = Scheduler(settings(), 100.0)
        scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(i) for i in range(nodes)])])
        drained = NodeList(ListKind.DELTA, [entry(3, state=api.NodeState.DRAINING)])
        costs.append(work(scheduler, 100.001, drained) + work(scheduler, 101.5, api.Timer(1)))
        assert 3 not in scheduler.by_shard and "n3" not in scheduler.nodes
    assert costs[1] <= costs[0] + 5, costs


def test_a_node_that_moves_restarts_or_is_listed_twice_has_one_record_in_its_shard():
    scheduler = Scheduler(settings(), 100.0)
    scheduler.handle(100.0, [NodeList(ListKind.FULL, [entry(0), entry(1), entry(1, "n1b")])])
    for listed in (entry(2, "n0"), entry(2, "n0"), entry(1, started_at=99.0), entry(1, started_at=99.0)):
        scheduler.handle(100.1, [NodeList(ListKind.DELTA, [listed, listed])])
    assert {s: sorted(n.entry.id for n in nodes) for s, nodes in scheduler.by_shard.items()} == {
        1: ["n1", "n1b"],
        2: ["n0"],
    }
    assert all(scheduler.nodes[node.entry.id] is node for nodes in scheduler.by_shard.values() for node in nodes)
    scheduler.handle(100.2, [NodeList(ListKind.FULL, [entry(1)])])
    scheduler.handle(102.0, [api.Timer(1)])
    assert list(scheduler.nodes) == ["n1"] and list(scheduler.by_shard) == [1] and not scheduler.unusable


def test_thousands_of_short_lived_nodes_volumes_and_shards_leave_no_records():
    scheduler = Scheduler(settings(fronts=40, shards=40, max_poll_interval=10.0, list_on_request=True, **COLD), 100.0)
    now, sizes = 100.0, []
    for turn in range(120):
        now = 100.0 + turn
        fresh = [entry(i, f"x{turn}-{i}", started_at=now) for i in range(40)]
        gone = [entry(i, f"x{turn - 1}-{i}", state=api.NodeState.GONE) for i in range(40) if turn]
        actions = scheduler.handle(now, [NodeList(ListKind.DELTA, gone + fresh)])
        actions += scheduler.handle(
            now,
            [
                api.Request(
                    f"r{turn}-{i}", f"v{turn}-{i}", "read", "free", 4.0, 1, i if i < 40 else 1000 * turn + i, fronts=1
                )
                for i in range(60)
            ],
        )
        for send in [action for action in actions if isinstance(action, api.Send)]:
            report = {"queue": 0.0, "util": 0.4}
            scheduler.handle(now + 0.1, [api.Outcome(send.request_id, 0, send.node, Status.OK, 0.1, True, report)])
        size = (
            len(scheduler.nodes),
            len(scheduler.unusable),
            len(scheduler.volumes),
            len(scheduler.flows),
            len(scheduler.demand),
            len(scheduler.shard_queues),
            len(scheduler.jobs),
            len(scheduler.unserved_since),
            len(scheduler.by_shard),
            len(scheduler.deadlines),
        )
        sizes.append(sum(size))
    assert max(sizes[80:]) <= 1.05 * max(sizes[40:80]), (
        sizes[40],
        sizes[80],
        sizes[-1],
    )
    for second in range(1, 60):
        scheduler.handle(now + second, [api.Timer(1)])
    assert len(scheduler.nodes) == 40 and len(scheduler.by_shard) == 40
    assert not (
        scheduler.unusable
        or scheduler.volumes
        or scheduler.flows
        or scheduler.demand
        or scheduler.shard_queues
        or scheduler.jobs
    )
