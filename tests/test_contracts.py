"""The contracts' decisions: who is covered, what is held and settled, lent and given back. No I/O, a made-up clock."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.contracts.accounts import accounts, level_statistics
from ochrespan.contracts.adaptive_quota import AdaptiveQuota
from ochrespan.contracts.admission import Admission, Demand, Grant, NotCovered, OverBudget
from ochrespan.contracts.terms import Budget, Terms

from .contract_helpers import SimulatedFront, make_registry, team
from .helpers import count_calls

VOLUME = "v-a"


# ---- who is covered ----

AUTHORIZATION_REGISTRY = make_registry(
    team("a", tokens=("one", "two"), classes=("read", "write"), withdrawn_classes=frozenset({"write"})),
    team("b"),
    team("caller", tokens=("three",), volumes=("v-mine",)),
    team("old", ends=1_000_000.0),
    team("new", begins=1_000_000.5),
    team("gone", withdrawn=True),
    team("reader", "house", tokens=("four",)),
    team("typist", "house", tokens=("five",)),
    levels=(Terms("house", "team"),),
)
AUTHORIZATION_REGISTRY.set_owner("house", ["v-house"], ["house-bucket"])
AUTHORIZATION_REGISTRY.by_volume.pop("v-caller", None)


@pytest.mark.parametrize(
    ("demand", "wanted"),
    [
        ({"volume": "v-a", "token": "one"}, "a"),
        ({"volume": "v-a", "token": "two"}, "a"),
        ({"volume": "v-b"}, "b"),
        ({"volume": "v-a"}, "token"),  # its owner has tokens
        ({"volume": "v-a", "token": "six"}, "token"),
        ({"volume": "v-b", "token": "one"}, "volume"),  # another's
        ({"volume": "v-mine", "token": "one"}, "volume"),
        ({"volume": "v-nobody", "token": "one"}, "a"),  # it names no volumes of its own
        ({"volume": "v-nobody", "token": "three"}, "volume"),  # it does
        ({"volume": "v-nobody"}, "contract"),
        ({"volume": "v-house", "token": "four"}, "house/reader"),  # its team's
        ({"volume": "v-house", "token": "five"}, "house/typist"),
        ({"volume": "v-house", "token": "one"}, "volume"),
        ({"volume": "v-house"}, "token"),
        ({"bucket": "house-bucket", "volume": "v-any", "token": "four"}, "house/reader"),
        ({"bucket": "house-bucket", "token": "one"}, "bucket"),
        ({"bucket": "nobodys", "token": "one"}, "bucket"),
        ({"volume": "v-a", "token": "one", "cls": "write"}, "class"),  # withdrawn
        ({"volume": "v-b", "cls": "export"}, "class"),
        ({"volume": "v-b", "plan": "gold"}, "b"),
        ({"volume": "v-b", "plan": "silver"}, "plan"),
        ({"volume": "v-old"}, "ended"),
        ({"volume": "v-new"}, "not-begun"),
        ({"volume": "v-gone"}, "withdrawn"),
    ],
)
def test_a_request_is_its_contracts_or_not_covered_by_a_named_rule(demand, wanted):
    got = Admission(AUTHORIZATION_REGISTRY, 1_000_000.0).admit(
        1_000_000.0, Demand(**({"cls": "read", "units": 1.0} | demand))
    )
    assert wanted == (got.team if isinstance(got, Grant) else got.rule)


def test_a_contract_begins_and_ends_on_the_clock():
    admission = Admission(AUTHORIZATION_REGISTRY, 1_000_000.0)
    for name, now, covered in (
        ("old", 999_999.9, True),
        ("old", 1_000_000.0, False),
        ("new", 1_000_000.4, False),
        ("new", 1_000_000.5, True),
    ):
        got = admission.admit(now, Demand("read", 1.0, volume=f"v-{name}"))
        assert isinstance(got, Grant) == covered, (name, now)


# ---- accounts ----

TEAMS = ("a", "b", "c", "d")
HOUSE = Terms("house", "organisation", budget=Budget(units_per_s=150, attempts_per_s=90, open=40))
DENS = Terms("den", "organisation", weight=2.0)


def mixed_registry(scale: float = 1.0, capacity: float | None = 200.0, **more):
    """Four teams under two organisations, each bounded another way."""
    return make_registry(
        team("a", "house", reserve=40 * scale if capacity else 0, units_per_s=100 * scale, open=12),
        team("b", "house", reserve=20 * scale if capacity else 0, attempts_per_s=30 * scale, per_request=1.2),
        team("c", "den", weight=3.0, units_per_hour=500 * scale, units_per_day=9000 * scale),
        team("d", "den", reserve=30 * scale if capacity else 0, per_request=1.0, **more),
        capacity=capacity,
        levels=(HOUSE, DENS),
    )


STEP = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(TEAMS), st.floats(0.1, 8.0)),
    st.tuples(st.just("end"), st.integers(0, 50), st.integers(0, 3)),
    st.tuples(st.just("more"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("wait"), st.sampled_from((0.0, 1e-6, 0.004, 0.3, 2.0, 700.0)), st.just(0)),
    st.tuples(st.just("back"), st.floats(0, 5.0), st.just(0)),
    st.tuples(st.just("book"), st.sampled_from(("small", "large", "poor", "short")), st.just(0)),
)
REGISTRIES = {
    "small": mixed_registry(0.05),
    "large": mixed_registry(7.0),
    "poor": mixed_registry(capacity=None),
    "short": make_registry(team("a", "house", reserve=5), capacity=100.0, levels=(HOUSE,)),
}


@settings(derandomize=True, max_examples=250, deadline=None)
@given(steps=st.lists(STEP, max_size=120))
def test_every_account_adds_up_to_the_last_part_at_any_moment(steps):
    front, out = SimulatedFront(mixed_registry()), []
    for what, first, second in steps:
        if what == "ask":
            got = front.request(first, second)
            if isinstance(got, Grant):
                assert 1 <= got.attempts <= 3 and (first != "d" or got.attempts == 1)
                out.append(got)
            elif isinstance(got, OverBudget):
                assert 0 < got.wait_s <= 86400
        elif what == "end" and out:
            grant = out.pop(first % len(out))
            sent = min(second, grant.attempts)
            front.complete(grant, sent, max(0, sent - first % 2))
            front.complete(grant, 3, 3)  # an end that comes again counts nothing
        elif what == "more" and out:
            grant = out[first % len(out)]
            if grant.attempts < 3:
                before = grant.attempts
                assert front.admission.extend(front.now, grant) == (grant.attempts == before + 1)
        elif what == "wait":
            front.now += first
        elif what == "back":
            front.now -= first  # the accounts take no harm from a clock that steps back
        elif what == "book":
            front.admission.replace(REGISTRIES[first], front.now)
        front.check()
    for grant in out:
        front.complete(grant, 1)
    front.check(0)
    for level in front.admission.levels.values():
        assert not any(b.held for b in (level.units, level.attempts, level.extra_attempts, level.reserve) if b)
        assert not any(one.held or one.held_earlier for one in level.windows) and not level.open


@pytest.mark.parametrize(
    "budget",
    [
        {"units_per_s": 50},
        {"units_per_s": 50, "burst_units": 200},
        {"attempts_per_s": 25},
        {"units_per_s": 50, "attempts_per_s": 10},
    ],
)
def test_a_surge_gets_its_rate_and_one_burst_and_no_more(budget):
    front = SimulatedFront(make_registry(team("a", **budget)))
    front.now += 10  # the burst is there
    got = front.run({"a": 1000}, 60) | {}
    rates = [budget["units_per_s"]] if "units_per_s" in budget else []
    rates += [2.0 * budget["attempts_per_s"]] if "attempts_per_s" in budget else []
    rate = min(rates)
    burst = budget.get("burst_units", rate)
    assert 0.98 * rate <= got["a"] <= rate + (burst + 2) / 60
    front.check()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(rate=st.floats(0.5, 500), spend=st.integers(1, 60), units=st.floats(0.5, 8.0), gap=st.floats(0, 3))
def test_a_refused_request_that_comes_back_when_told_is_admitted(rate, spend, units, gap):
    front = SimulatedFront(make_registry(team("a", units_per_s=rate, units_per_hour=900)))
    front.now += gap
    for _ in range(spend):
        if isinstance(got := front.request("a", units), Grant):
            front.complete(got)
    while isinstance(got := front.request("a", units), Grant):
        front.complete(got, got.attempts)
    before = front.now + got.wait_s - max(0.01 * got.wait_s, 2e-6)
    if got.wait_s > 0.002:
        assert isinstance(SimulatedFront.request(front, "a", units), OverBudget)
        front.now, now = before, front.now
        assert isinstance(front.request("a", units), OverBudget)  # not before
        front.now = now
    front.now += got.wait_s + 2e-6  # a Unix time holds no less than that
    for _ in range(2):  # the second bound may be the hour's
        if isinstance(again := front.request("a", units), Grant):
            return
        assert again.rule != got.rule
        front.now += again.wait_s + 2e-6
    assert isinstance(front.request("a", units), Grant)


def test_a_clock_that_steps_back_grants_nothing_twice():
    front = SimulatedFront(make_registry(team("a", units_per_s=10, burst_units=1000), capacity=50.0))
    front.now += 10
    front.request("a")
    for _ in range(5):
        front.now -= 8
        front.request("a")
        front.now += 8
        front.request("a")
    level = front.admission.levels["a"]
    assert level.units.granted == 100 * 10**12
    assert level.parent.pool.received == 500 * 10**12


def test_what_was_taken_is_paid_though_the_budget_runs_out_and_every_retry_too():
    front = SimulatedFront(make_registry(team("a", units_per_s=100, attempts_per_s=50)))
    front.now += 5
    grants = []
    while isinstance(got := front.request("a"), Grant):
        grants.append(got)
    assert got.wait_s > 0 and sum(g.attempts for g in grants) == 50  # all 50 attempts are held by those taken
    assert grants[0].attempts == 3 and len(grants) > 30  # repeats are held out of the upper half alone
    assert not front.admission.extend(front.now, grants[-1]) and grants[-1].attempts == 1  # none is left to try again
    front.complete(grants.pop(0), 1)
    assert front.admission.extend(front.now, grants[-1]) and grants[-1].attempts == 2  # two came back
    for grant in grants:
        front.complete(grant, grant.attempts)
    level = front.admission.levels["a"]
    assert level.attempts.held == 0 and level.attempts.left == 10**12
    assert level.attempts.spent == level.attempts.granted - 10**12
    assert not front.admission.extend(front.now, grants[-1])  # it is over
    front.check(0)


def test_an_attempt_that_never_ran_costs_an_attempt_and_no_units():
    front = SimulatedFront(make_registry(team("a", units_per_s=100, attempts_per_s=50)))
    front.now += 5
    front.complete(front.request("a", 8.0), sent=3, ran=1)
    level = front.admission.levels["a"]
    assert (level.units.spent, level.attempts.spent) == (8 * 10**12, 3 * 10**12)
    front.complete(front.request("a", 8.0), sent=0)  # refused by the module: costs nothing
    assert level.units.left == 92 * 10**12 and level.attempts.left == 47 * 10**12


@pytest.mark.parametrize(("ratio", "most", "second"), [(1.0, 1, 1), (1.5, 1, 1), (2.0, 1, 2), (3.0, 1, 3)])
def test_attempts_a_request_are_earned_by_requests(ratio, most, second):
    front = SimulatedFront(make_registry(team("a", per_request=ratio)))
    first = front.request("a")
    assert first.attempts == most  # nothing is earned yet
    front.complete(first, 1)
    again = front.request("a")
    assert again.attempts == second
    front.complete(again, second)
    sent = 1 + second
    for _ in range(300):
        grant = front.request("a")
        front.complete(grant, grant.attempts)
        sent += grant.attempts
    assert sent <= 302 * ratio + 10
    assert sent >= 302 * min(ratio, 3) - 12


def test_a_repeat_is_extended_only_by_what_requests_have_earned():
    front = SimulatedFront(make_registry(team("a", per_request=1.5)))
    first, second = front.request("a"), front.request("a")  # together they earn one
    assert front.admission.extend(front.now, first) and not front.admission.extend(front.now, second)
    front.complete(first, 1)  # it was not needed after all
    assert front.admission.extend(front.now, second) and not front.admission.extend(front.now, second)
    front.complete(second, 2)
    front.check(0)


# ---- reserves and lending ----


def registry_with_lender(**more):
    return make_registry(
        team("quiet", reserve=60), team("surge", weight=1.0), team("other", weight=3.0), capacity=100, **more
    )


def test_what_is_not_used_is_lent_by_weight_and_comes_back_at_once():
    front = SimulatedFront(registry_with_lender())
    front.now += 30
    alone = front.run({"surge": 500, "other": 500}, 20)
    assert alone["surge"] + alone["other"] == pytest.approx(100, abs=8)  # the bursts on top
    assert alone["other"] / alone["surge"] == pytest.approx(3, rel=0.12)
    whole = front.run({"quiet": 30, "surge": 500, "other": 500}, 10)
    assert whole["quiet"] == pytest.approx(60, abs=8)  # 30 requests of 2 units a second: all that it asks
    assert whole["surge"] + whole["other"] <= 42
    back = front.run({"surge": 500, "other": 500}, 20)
    assert back["surge"] + back["other"] >= 92  # lent again
    front.check()


def test_a_surge_of_twenty_times_never_costs_a_reserve_one_request():
    front = SimulatedFront(registry_with_lender())
    front.now += 10
    for seconds in (3, 5, 2):
        front.run({"surge": 20 * 50}, seconds)
        for _ in range(30):  # the whole reserve of a second at once, from the first request on
            got = front.request("quiet")
            assert isinstance(got, Grant)
            front.complete(got)
    assert not [name for name in front.admission.levels["quiet"].counts if name.startswith("over-budget")]


def test_bounds_above_ask_only_of_what_is_borrowed():
    """An organisation's budget spent by one team holds up that team, not the reserve of the one beside it."""
    bounds = Budget(units_per_s=60, attempts_per_s=40, open=30, units_per_hour=90_000)
    tight = Terms("house", "organisation", budget=bounds)
    front = SimulatedFront(
        make_registry(team("quiet", "house", reserve=40), team("surge", "house"), capacity=1000, levels=(tight,))
    )
    front.now += 10
    got = front.run({"quiet": 19, "surge": 800}, 30)
    assert got["quiet"] == pytest.approx(38, abs=3)
    assert front.admission.levels["house/quiet"].counts.keys() == {"admitted", "ended"}
    assert got["quiet"] + got["surge"] <= 60 + (60 + 40) / 30  # the rate, and the bursts of both
    front.check()


def test_a_long_budget_keeps_back_what_reserves_may_still_need():
    hour = Terms("house", "organisation", budget=Budget(units_per_hour=80_000))
    front = SimulatedFront(
        make_registry(team("quiet", "house", reserve=20), team("surge", "house"), capacity=1000, levels=(hour,)),
        now=3600.0 * 300,
    )
    got = front.run({"surge": 2000}, 40, duration=0.0)
    assert got["surge"] * 40 <= 80_000 - 20 * 3560
    left = front.admission.levels["house"].windows[0].left
    assert left >= 20 * (3600 - 40) * 10**12
    refusal = front.request("surge")
    assert refusal.rule == "units_per_hour" and refusal.level == "house"


def test_lending_crosses_organisations_only_with_what_is_left_within():
    front = SimulatedFront(
        make_registry(
            team("a", "one", reserve=50),
            team("b", "one"),
            team("c", "two"),
            capacity=100,
            levels=(Terms("one", "organisation"), Terms("two", "organisation")),
        )
    )
    front.now += 20
    inner = front.run({"b": 500, "c": 500}, 20)
    assert inner["b"] >= 65 and inner["b"] + inner["c"] == pytest.approx(100, abs=12)  # b: a's 50 and half of 50
    outer = front.run({"c": 500}, 20)
    assert outer["c"] >= 90  # what nobody in `one` asks for passes on
    front.check()


# ---- windows ----


@pytest.mark.parametrize(("name", "span"), [("units_per_hour", 3600), ("units_per_day", 86400)])
def test_a_window_ends_on_the_clock_and_a_request_counts_where_it_was_admitted(name, span):
    edge = 500_000.0 * span
    front = SimulatedFront(make_registry(team("a", **{name: 40})), now=edge - 0.01)
    taken = [front.request("a", 8.0) for _ in range(2)]
    assert [g.attempts for g in taken] == [3, 2]
    got = front.request("a", 8.0)
    assert (got.rule, got.wait_s) == (name, pytest.approx(0.01, abs=2e-6))
    front.now = edge
    assert isinstance(fresh := front.request("a", 8.0), Grant) and fresh.attempts == 3
    for grant in taken:
        front.complete(grant)
    window = front.admission.levels["a"].windows[0]
    assert (window.held, window.spent, window.held_earlier) == (24 * 10**12, 0, 0)
    front.now = edge - 5  # back over the edge: the old window is not opened again
    assert isinstance(front.request("a", 8.0), Grant) and not isinstance(front.request("a", 8.0), Grant)
    front.check()


# ---- change in service ----


def test_a_contract_shrunk_below_what_is_held_lets_it_end_and_refuses_the_rest():
    front = SimulatedFront(mixed_registry())
    front.now += 10
    taken = [front.request("a") for _ in range(8)]
    assert all(isinstance(g, Grant) for g in taken)
    front.admission.replace(
        make_registry(team("a", "house", reserve=1, units_per_s=1, open=1), capacity=200.0, levels=(HOUSE,)), front.now
    )
    assert front.request("a").rule == "open"
    for grant in taken:
        front.complete(grant, grant.attempts)
        front.check()
    level = front.admission.levels["house/a"]
    assert level.units.spent == sum(g.attempts * g.attempt_cost for g in taken) and level.open == 0
    front.now += 10
    assert isinstance(front.request("a"), Grant)


def test_spent_budget_carries_over_a_reload():
    front = SimulatedFront(make_registry(team("a", units_per_s=50, units_per_hour=200)))
    front.now += 5
    while isinstance(got := front.request("a"), Grant):
        front.complete(got)
    spent = front.admission.levels["a"].windows[0].spent
    for _ in range(3):
        front.admission.replace(make_registry(team("a", units_per_s=50, units_per_hour=200), team("b")), front.now)
        assert isinstance(front.request("a"), OverBudget)
    assert front.admission.levels["a"].windows[0].spent == spent


@pytest.mark.parametrize(
    "change",
    [
        {"withdrawn": True},
        {"withdrawn_classes": frozenset({"read"})},
        {"tokens": frozenset({"0" * 64})},
        {"ends": 1_000_000.5},
    ],
)
def test_what_was_taken_under_a_contract_may_end_though_it_changes(change):
    front = SimulatedFront(make_registry(team("a", units_per_s=100)))
    front.now += 1
    contract, volumes = team("a", units_per_s=100)
    if "ends" in change:
        front.now = 1_000_000.0
        front.admission.replace(make_registry((replace(contract, **change), volumes)), front.now)
        front.now += 0.4
    grant = front.request("a")
    front.now += 0.2
    if "ends" not in change:
        front.admission.replace(make_registry((replace(contract, **change), volumes)), front.now)
    assert isinstance(front.request("a"), NotCovered)
    later = front.admission.admit(front.now, Demand("read", 1.0, volume="v-a"), grant.contract)  # a further step of it
    assert isinstance(later, Grant)
    front.complete(grant)
    front.complete(later)
    front.check(0)
    front.admission.replace(make_registry(team("b")), front.now)
    gone = front.admission.admit(front.now, Demand("read", 1.0, volume="v-a"), grant.contract)
    assert gone.rule == "withdrawn"


def test_accounts_tell_each_team_apart_and_add_up():
    front = SimulatedFront(registry_with_lender())
    front.now += 5
    front.run({"quiet": 10, "surge": 300}, 5)
    front.request("surge", cls="export")
    told = {(a.path, a.budget): a for a in accounts(front.admission, front.now)}
    for account in told.values():
        assert account.granted == pytest.approx(account.spent + account.held + account.left)
    counted = {f.path: f for f in level_statistics(front.admission, front.now)}
    assert counted["surge"].counts["not-covered.class"] == 1
    assert counted["surge"].counts["over-budget.funds"] > 100
    assert counted["quiet"].lent > 100 and counted["surge"].borrowed > 100 and counted["quiet"].borrowed == 0
    assert counted["quiet"].counts["admitted"] - counted["quiet"].counts["ended"] == counted["quiet"].open


# ---- size ----


def calls(front: SimulatedFront, names: list[str]) -> int:
    def each() -> None:
        for name in names:
            if isinstance(got := front.request(name), Grant):
                front.complete(got)

    return count_calls(each)


def test_an_admission_costs_the_same_among_ten_thousand_teams():
    costs = []
    for teams in (10, 10_000):
        front = SimulatedFront(
            make_registry(
                *(team(f"t{i}", f"o{i % 5}", reserve=0.01, units_per_s=50) for i in range(teams)),
                capacity=500.0,
                levels=tuple(Terms(f"o{i}", "organisation") for i in range(5)),
            )
        )
        front.now += 900  # all reserves are full and lent
        calls(front, ["t0"])
        front.now += 0.001
        costs.append(calls(front, [f"t{i % 10}" for i in range(50)]))
    assert costs[1] <= costs[0] * 1.3 + 50, costs


# ---- many fronts ----


def test_even_parts_never_add_up_to_more_than_the_budget():
    fronts = [SimulatedFront(make_registry(team("a", units_per_s=60), fronts=6), seed=i) for i in range(6)]
    for front in fronts:
        front.now += 5
    total = sum(front.run({"a": 500}, 20)["a"] for front in fronts)
    assert 58 <= total <= 60 + (60 + 6 * 8) / 20


@pytest.mark.parametrize(
    ("demands", "least", "most"),
    [
        ([300] + [0] * 7, 0.9, 1.1),  # all through one front
        ([300] * 8, 0.9, 1.12),
        ([300, 300, 0, 0, 0, 0, 0, 0], 0.9, 1.12),
        ([5] * 8, 0.38, 0.42),  # less than the budget in all
    ],
)
def test_parts_that_hear_of_others_use_come_to_the_whole(demands, least, most):
    rate, parts = 100.0, [AdaptiveQuota(100.0, len(demands)) for _ in demands]
    for part in parts:
        part.update(0.0)
    used: list[float] = []
    for second in range(1, 60):
        spent = [min(demand, part.scale * rate / len(parts)) for demand, part in zip(demands, parts, strict=True)]
        for part, own, demand in zip(parts, spent, demands, strict=True):
            part.record_spent(own)
            part.record_spent_elsewhere(sum(spent) - own if own else 0.0)  # only answers tell of others
            if demand > own:
                part.record_refusal()
            part.update(float(second))
        used.append(sum(spent))
    assert least * rate <= sum(used[20:]) / len(used[20:]) <= most * rate, used
    assert max(used[20:]) <= 1.25 * rate
