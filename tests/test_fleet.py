"""Many heads before few chunk servers on a virtual clock: what each learns alone, and what they do together."""

import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from ochrespan import interface as api
from ochrespan.interface import ListKind, NodeList, Status
from ochrespan.policy.front import Scheduler

from .helpers import entry, settings

STEP = 0.02
COLD = {"cold_units": 24.0, "start_capacity": 0.2, "warm_up": 16.0, "overload_window": 1.0, "fall_multiple": 4.0}
FULL = 100.0  # units a second that a warm server does; the settings promise less than 4 times its cold fifth


@dataclass
class Server:
    """Serves what comes at a rate that grows while it is cold; reports how busy it was, a little late."""

    node: api.NodeEntry
    got: list[tuple[float, float]] = field(default_factory=list)  # when, units
    free_at: float = 0.0
    silent: bool = False

    def power(self, now: float) -> float:
        started = self.node.started_at
        return FULL if started is None else FULL * min(1.0, 0.2 + 0.8 * (now - started) / 16)

    def units(self, since: float, until: float) -> float:
        return sum(u for at, u in self.got if since < at <= until)

    def take(self, now: float, units: float) -> tuple[float, dict[str, float]]:
        """When it answers, and with what report."""
        self.got.append((now, units))
        waits = max(0.0, self.free_at - now)
        self.free_at = max(self.free_at, now) + units / self.power(now)
        util = min(1.0, self.units(now - 1.3, now - 0.3) / self.power(now - 0.3))
        return self.free_at, {"util": util, "queue": float(round(waits * 20))}


class Room:
    """40 heads and 60 shards; each head works with 12 shards, in its own mix."""

    def __init__(self, reports: bool, rate: float = 40.0, heads: int = 40, shards: int = 60) -> None:
        self.now, self.lot, self.reports, self.count = 100.0, random.Random(5), reports, 0
        self.rate = rate * shards / heads  # units a second through each head
        self.taken: set[str] = set()  # requests that are owed an end
        self.out: set[str] = set()  # requests with an attempt out
        self.trials = 0  # attempts at silent servers
        self.spoilt: dict[Status, float] = {}  # parts of attempts that end so, though the server took them
        self.ends: Counter[Status] = Counter()
        self.servers = [Server(entry(i)) for i in range(shards)]
        self.by_id = {server.node.id: server for server in self.servers}
        told = settings(heads=heads, shards=shards, **COLD)
        self.heads = [Scheduler(told, self.now) for _ in range(heads)]
        for head in self.heads:
            head.random.seed(self.lot.random())
            head.handle(self.now, [NodeList(ListKind.FULL, [s.node for s in self.servers])])
        uses = shards // 5  # each shard is used by a fifth of the heads
        self.mixes = [[(rank + k * (1 + rank % 7) * 5) % shards for k in range(uses)] for rank in range(heads)]
        self.answers: list[list[tuple[float, api.Outcome]]] = [[] for _ in range(heads)]

    def replace(self, shards: range) -> list[Server]:
        """New servers come up cold in the place of these."""
        changes = []
        for i in shards:
            old, new = self.servers[i].node, entry(i, f"new{i}", started_at=self.now)
            changes += [api.NodeEntry(old.id, old.shard, api.NodeState.GONE), new]
            self.servers[i] = self.by_id[new.id] = Server(new)
        for rank, head in enumerate(self.heads):
            self.hear(rank, head.handle(self.now, [NodeList(ListKind.DELTA, changes)]))
        return [self.servers[i] for i in shards]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for rank, head in enumerate(self.heads):
                events: list[api.Event] = [answer for at, answer in self.answers[rank] if at <= self.now]
                self.out -= {answer.request_id for answer in events}
                self.taken -= {answer.request_id for answer in events if answer.status is Status.OK}
                self.answers[rank] = [one for one in self.answers[rank] if one[0] > self.now]
                if self.lot.random() < self.rate * STEP / 2:  # of 2 units in the mean
                    self.count += 1
                    shard, units = self.lot.choice(self.mixes[rank]), self.lot.choice((1, 1, 2, 2, 4))
                    events.append(api.Request(f"r{self.count}", "v", "read", "free", 4.0, units, shard))
                self.taken |= {event.id for event in events if isinstance(event, api.Request)}
                self.hear(rank, head.handle(self.now, events or [api.Timer(1)]))

    def tell(self, servers: list[Server], state: api.NodeState = api.NodeState.READY) -> None:
        changes = [api.NodeEntry(s.node.id, s.node.shard, state, s.node.started_at) for s in servers]
        for rank, head in enumerate(self.heads):
            self.hear(rank, head.handle(self.now, [NodeList(ListKind.DELTA, changes)]))

    def hear(self, rank: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Refuse | api.Fail):
                self.taken.remove(action.request_id)  # once
            if not isinstance(action, api.Send):
                continue
            job, server = self.heads[rank].jobs[action.request_id], self.by_id[action.node]
            assert action.request_id not in self.out, "two attempts out"
            self.out.add(action.request_id)
            at, report = server.take(self.now, job.req.units) if not server.silent else (1e9, {})
            self.trials += server.silent
            status = Status.OK if at <= self.now + action.timeout else Status.TIMEOUT
            for spoilt, part in self.spoilt.items():
                status = spoilt if self.lot.random() < part else status
            at = self.now + action.timeout if status is Status.TIMEOUT else min(at, self.now + action.timeout)
            ok = status is Status.OK
            self.ends[status] += 1
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
    [  # parts of what is asked; some servers have over 100
        (False, 40.0, 0.2, 0.85),
        (True, 40.0, 0.7, 0.85),
        (True, 80.0, 0.4, 0.65),
    ],
)
def test_all_heads_together_never_push_a_cold_server_over_and_use_it_in_full_once_it_is_warm(reports, rate, cold, warm):
    room = Room(reports, rate)
    room.run(12)
    fresh = room.replace(range(0, 60, 2))
    early = late = 0.0
    for second in range(1, 20):
        room.run(1)
        sums = [server.units(room.now - 1, room.now) for server in fresh]
        power = FULL * min(1.0, 0.2 + 0.8 * (second - 1) / 16)
        if not reports:
            assert sum(sums) / len(sums) <= 24 * power / 20, (second, sums)
        assert all(units < 3.2 * power for units in sums), (second, sums)  # at 4 they fall
        early += sum(sums) if 2 <= second <= 6 else 0.0
        late += sum(sums) if second >= 18 else 0.0
    assert early >= cold * rate * 5 * len(fresh)
    assert late >= warm * rate * 2 * len(fresh)


@pytest.mark.parametrize(("heads", "first"), [(1, 3), (4, 3), (8, 1), (40, 1), (200, 1)])
def test_a_head_of_many_begins_with_few_requests_out_at_a_server(heads, first):
    head = Scheduler(settings(heads=heads), 100.0)
    head.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    acts = head.handle(100.0, [api.Request(f"r{i}", "v", "read", "free", 4.0, 2, 0) for i in range(9)])
    assert sum(isinstance(act, api.Send) for act in acts) == first


@pytest.mark.parametrize(
    ("heads", "queue", "widens"), [(40, None, True), (40, 0.0, True), (40, 2.0, False), (4, 2.0, True)]
)  # few heads: their own answers tell
def test_a_queue_that_other_heads_made_narrows_the_window_before_our_own_answers_are_late(heads, queue, widens):
    head = Scheduler(settings(heads=heads), 100.0)
    head.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    report = {} if queue is None else {"queue": queue}
    for turn in range(20):
        now = 100.0 + turn
        asked = [api.Request(f"r{turn}-{i}", "v", "read", "free", 4.0, 2, 0) for i in range(9)]
        sends = [act for act in head.handle(now, asked) if isinstance(act, api.Send)]
        while sends:
            name = sends.pop().request_id
            acts = head.handle(now + 0.05, [api.Outcome(name, 0, "n0", Status.OK, 0.05, True, report)])
            sends += [act for act in acts if isinstance(act, api.Send)]
    assert (head.nodes["n0"].window > 2) is widens


@pytest.mark.parametrize(
    ("report", "narrows"),
    [({}, True), ({"queue": 2.0}, True), ({"util": 0.9, "queue": 0.0}, True), ({"util": 0.4, "queue": 0.0}, False)],
)
def test_long_work_at_a_server_that_is_half_idle_does_not_narrow_its_window(report, narrows):
    """From the tenth on, every second answer takes four times as long, as with works of very different sizes."""
    head = Scheduler(settings(heads=4), 100.0)
    head.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    for turn in range(60):
        now = 100.0 + turn
        request = api.Request(f"r{turn}", "v", "read", "free", 4.0, 2, 0)
        sent = [act for act in head.handle(now, [request]) if isinstance(act, api.Send)]
        assert len(sent) == 1
        latency = 0.05 if turn < 10 or turn % 2 else 0.2
        head.handle(now + latency, [api.Outcome(request.id, 0, "n0", Status.OK, latency, True, report)])
    assert (head.nodes["n0"].window < 2.5) is narrows and (head.nodes["n0"].window >= 3) is not narrows


@pytest.mark.parametrize(("queue_wait", "sent"), [(0.05, {"read", "export"}), (0.2, {"read"}), (0.6, set())])
def test_what_has_time_leaves_a_queue_to_what_has_none(queue_wait, sent):
    classes = {name: api.RequestClass(name, aim, 2 * aim) for name, aim in (("read", 0.5), ("export", 4.5))}
    head = Scheduler(settings(classes=classes), 100.0)
    head.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    node = head.nodes["n0"]
    node.wait, node.seen_at, node.best = queue_wait, 100.0, dict.fromkeys(classes, 0.01)
    acts = head.handle(100.0, [api.Request(name, "v", name, "free", 9.0, 1, 0) for name in classes])
    assert {act.request_id for act in acts if isinstance(act, api.Send)} == sent
    acts = [act for at in range(1, 60) for act in head.handle(100.0 + 0.05 * at, [api.Timer(1)])]
    assert "export" in sent or any(isinstance(act, api.Send) and act.request_id == "export" for act in acts)


def test_what_was_not_sent_is_refused_by_half_of_its_time_also_behind_what_has_more_of_it():
    head = Scheduler(settings(), 100.0)
    head.handle(100.0, [NodeList(ListKind.FULL, [entry(0)])])
    head.nodes["n0"].wait, head.nodes["n0"].seen_at = 50.0, 100.0  # too long a queue for any
    lefts = {"long": 3.0, "short": 0.4, "shorter": 0.2}  # as clients ask that give up early; one flow
    now, ended = 100.0, {}
    asked: list[api.Event] = [api.Request(name, "v", "read", "free", left, 1, 0) for name, left in lefts.items()]
    while len(ended) < 3:
        acts = head.handle(now, asked or [api.Timer(1)])
        asked = []
        ended |= {act.request_id: now - 100.0 for act in acts if isinstance(act, api.Refuse)}
        now += next(act.delay for act in reversed(acts) if isinstance(act, api.SetTimer))
    assert all(ended[name] <= left / 2 - 0.01 for name, left in lefts.items() if name != "long"), ended
    assert ended["short"] > 0.15 and ended["shorter"] > 0.05


def test_a_zone_that_falls_silent_and_returns_cold_is_tried_seldom_and_not_pushed_over():
    room = Room(reports=True)
    room.run(8)
    zone = room.servers[:20]
    for server in zone:
        server.silent = True
    room.run(1)  # nobody tells: each front finds out by itself
    room.trials = 0
    room.run(4)
    # 20 servers are asked for 800 units a second, 2 in a request: 1,600 requests in that time
    assert room.trials <= 320, room.trials
    for server in zone:  # back under its id, cold; the list tells it a second late
        server.node = entry(server.node.shard, server.node.id, started_at=room.now)
        server.silent, server.free_at = False, room.now
    room.run(1)
    room.tell(zone)
    for second in range(2, 18):
        room.run(1)
        sums = [server.units(room.now - 1, room.now) for server in zone]
        assert max(sums) < 3.2 * FULL * min(1.0, 0.2 + 0.8 * (second - 1) / 16), (second, sums)
    assert sum(sums) >= 0.8 * 40 * len(zone)
    for server in room.servers:
        room.tell([server], api.NodeState.DRAINING)
    room.rate = 0.0
    room.run(5)
    assert not room.taken and not room.out
    assert not any(head.jobs for head in room.heads)


def test_lost_answers_and_resets_under_a_release_that_is_told_late_leave_one_end_each_and_one_attempt_out():
    room = Room(reports=True)
    room.run(2)
    room.spoilt = {Status.TIMEOUT: 0.1, Status.RESET: 0.1, Status.ERROR: 0.05}
    gone = room.servers[:12]
    for server in gone:
        server.silent = True  # no list says so yet
    room.run(3)
    room.replace(range(12))
    room.run(3)
    room.spoilt = {}
    room.rate = 0.0
    room.run(5)  # `hear` has checked each send and each end
    assert all(room.ends[status] > 100 for status in (Status.TIMEOUT, Status.RESET, Status.ERROR)), room.ends
    assert not room.taken and not room.out and not any(head.jobs for head in room.heads)


def test_nothing_new_goes_to_drained_servers_though_they_are_told_twice_and_their_successors_late():
    room = Room(reports=True)
    room.run(4)
    old = room.servers[:36]
    room.tell(old, api.NodeState.DRAINING)
    told_at = room.now
    room.run(1)
    room.tell(old[:18], api.NodeState.DRAINING)
    room.run(1)
    room.replace(range(36))
    room.run(3)
    assert not any(at > told_at for server in old for at, _ in server.got)
    assert all(server.got for server in room.servers)
