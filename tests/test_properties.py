"""Checks the rules over random event sequences, only by events and actions."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan import interface as api
from ochrespan.interface import Effect, Group, ListKind, NodeList, NodeState, Status

from .helpers import FrontDriver, entry

STATES = st.sampled_from([NodeState.READY, NodeState.READY, NodeState.DRAINING, NodeState.GONE])
ENDS = st.sampled_from([Status.OK] * 4 + list(Status))
STEPS = st.one_of(
    st.tuples(
        st.just("take"),
        st.sampled_from(["read", "save", "keyed", "keyed-all", "once", "new"]),
        st.sampled_from(["free", "paid", "capped", "odd"]),
        st.integers(-1, 2),
        st.sampled_from(["", "k", "l"]),
        st.integers(1, 8),
        st.sampled_from([0.0, 0.3, 2.0, 4.0]),
    ),
    st.tuples(st.just("end"), st.integers(0, 30), ENDS),
    st.tuples(st.just("wait"), st.sampled_from([0.001, 0.05, 0.3, 1.5])),
    st.tuples(
        st.just("list"),
        st.sampled_from([ListKind.DELTA, ListKind.FULL, ListKind.FAILED]),
        st.lists(st.tuples(st.integers(0, 3), STATES, st.sampled_from(["x", "y"]), st.booleans()), max_size=3),
    ),
    st.tuples(st.just("gone"), st.integers(0, 30)),
)
COLD = {"slow_start_units": 20.0, "start_capacity": 0.25, "warm_up": 6.0, "overload_window": 1.0}
BUDGET = {"retry_budget_base": 2.0, "retry_budget_ratio": 0.2, "retry_budget_window": 3.0}


class RuleChecker:
    """Checks the actions of one scheduler against its own record of events."""

    def __init__(self, front: FrontDriver) -> None:
        self.front = front
        self.classes = front.scheduler.settings.classes
        self.requests: dict[str, tuple[float, api.Request]] = {}
        self.ended: dict[str, float] = {}  # when they got their final answer
        self.in_flight: dict[tuple[str, int], tuple[str, float]] = {}
        self.possibly_run: dict[str, list[tuple[str, float]]] = {}  # attempts that may have run: node, time sent
        self.nodes: dict[str, api.NodeEntry] = {}
        self.zones: dict[str, tuple[str, int]] = {}
        self.order: dict[str, list[str]] = {}
        self.blocked_until: dict[str, float] = {}
        self.checked_actions = 0
        self.extras: list[float] = []
        self.submitted_at: list[float] = []
        self.capped_units = 0.0
        self.cold: dict[str, list[tuple[float, float]]] = {}

    def update(self, node_list: NodeList) -> None:
        if node_list.kind is ListKind.FAILED:
            return
        if node_list.kind is ListKind.FULL:
            self.nodes = {}
        for e in node_list.entries:
            self.nodes[e.id] = e
            self.zones[e.id] = (e.zone, e.shard)

    def check(self) -> None:
        now = self.front.now
        actions, self.checked_actions = self.front.actions[self.checked_actions :], len(self.front.actions)
        for action in actions:
            if isinstance(action, api.Send):
                self.send(action, now)
            elif isinstance(action, api.Refuse | api.Fail):
                self.final(action)
        for name, (at, req) in self.requests.items():
            assert name in self.ended or now <= at + req.time_left, "lost"

    def final(self, action: api.Action) -> None:
        name = action.request_id
        cls = self.classes.get(self.requests[name][1].cls)
        effect = cls.effect if cls else Effect.UNSAFE
        if isinstance(action, api.Refuse) and effect is not Effect.SAFE:
            out = any(n == name for n, _ in self.in_flight)
            assert not (out or self.possibly_run.get(name)) or (
                effect is Effect.DEDUPLICATED_BY_KEY and cls.group is Group.ALL
            )
        assert name not in self.ended
        self.ended[name] = self.front.now

    def send(self, action: api.Send, now: float) -> None:
        name = action.request_id
        at, req = self.requests[name]
        cls = self.classes.get(req.cls)
        node = self.nodes.get(action.node)
        assert name not in self.ended and now < at + req.time_left
        assert node and node.state is NodeState.READY, "drain"
        assert req.shard in (-1, node.shard)
        number = self.front.attempts[name] - 1
        assert number < 3 and not any(n == name for n, _ in self.in_flight), "two at once"
        effect = cls.effect if cls else Effect.UNSAFE
        for other, sent_at in self.possibly_run.get(name, []):
            assert effect is not Effect.UNSAFE
            if effect is Effect.DEDUPLICATED_BY_KEY:
                assert now <= sent_at + cls.window
                assert cls.group is Group.ALL or self.zones[other][0] == node.zone
        if cls and cls.in_order and req.key:
            earlier = self.order[req.key][: self.order[req.key].index(name)]
            assert all(n in self.ended and not any(o == n for o, _ in self.in_flight) for n in earlier), "order"
            assert now >= self.blocked_until.get(req.key, 0.0), "rest"
        span = self.front.scheduler.settings.retry_budget_window
        if number and span:
            self.extras.append(now)
            mine = sum(t > now - span for t in self.extras)
            assert mine <= 2 + 0.2 * sum(t > now - span for t in self.submitted_at) + 1e-9, "budget"
        if not number and req.plan == "capped":
            self.capped_units += req.units
            assert self.capped_units <= 2 * (now - 100.0) + 1e-6, "limit"
        if node.started_at is not None and self.front.scheduler.settings.slow_start_units:
            sends = self.cold.setdefault(node.id, [])
            sends.append((now, req.units))
            age = now - node.started_at
            grown = 1 + 3 * min(1.0, max(0.0, age) / 6.0)
            if age < 6.0:
                assert sum(u for t, u in sends if t > now - 1.0) <= 10.0 * grown, "cold"
        self.in_flight[name, number] = (action.node, now)

    def end(self, name: str, number: int, status: Status) -> None:
        node, sent_at = self.in_flight.pop((name, number))
        if status not in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT):
            self.possibly_run.setdefault(name, []).append((node, sent_at))
        cls = self.classes.get(self.requests[name][1].cls)
        hung = (Status.TIMEOUT, Status.RESET, Status.CANCELLED, Status.UNKNOWN)
        if status in hung and cls and cls.in_order:
            self.blocked_until[self.requests[name][1].key] = self.front.now + 0.1


def play(steps: list[tuple], rules: dict) -> None:
    front = FrontDriver(nodes=3, key_cooldown=0.1, **rules)
    checker = RuleChecker(front)
    checker.update(NodeList(ListKind.FULL, [entry(i) for i in range(3)]))
    count = 0
    for step in steps:
        match step:
            case ("take", cls, plan, shard, key, units, left):
                count += 1
                name = f"q{count}"
                req = api.Request(name, f"v-{plan}", cls, plan, left, float(units), shard, key, 2)
                checker.requests[name] = (front.now, req)
                checker.submitted_at.append(front.now)
                if cls == "save" and key:
                    checker.order.setdefault(key, []).append(name)
                front.handle(req)
            case ("end", which, status):
                if checker.in_flight:
                    name, number = sorted(checker.in_flight)[which % len(checker.in_flight)]
                    closed = status is Status.OK or name in checker.ended
                    node = checker.in_flight[name, number][0]
                    checker.end(name, number, status)
                    if status is Status.OK:
                        checker.ended.setdefault(name, front.now)
                    front.handle(api.Outcome(name, number, node, status, 0.05, closed))
            case ("wait", seconds):
                until = front.now + seconds
                while front.now < until:  # check after each step, not only at the end
                    front.wait(min(0.01, until - front.now) + 1e-6)
                    checker.check()
            case ("list", kind, rows):
                entries = [
                    api.NodeEntry(f"n{i}", i % 3, state, front.now if new else None, zone)
                    for i, state, zone, new in rows
                ]
                node_list = NodeList(kind, [] if kind is ListKind.FAILED else entries)
                checker.update(node_list)
                front.handle(node_list)
            case ("gone", which):
                alive = sorted(set(checker.requests) - set(checker.ended))
                if alive:
                    checker.ended[alive[which % len(alive)]] = front.now
                    front.handle(api.Gone(alive[which % len(alive)]))
        checker.check()
    for _ in range(90):
        front.wait(0.05)
        checker.check()
    assert set(checker.ended) == set(checker.requests)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=40))
def test_every_rule_holds_with_all_rules_enabled(steps):
    play(steps, COLD | BUDGET)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=40))
def test_every_rule_holds_with_some_rules_disabled(steps):
    play(steps, {"second_copies": True})
