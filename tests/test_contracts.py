"""Contract decisions: authorization, accounting, and lending of reserves. No I/O; a simulated clock."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.contracts.accounts import accounts, level_statistics
from ochrespan.contracts.adaptive_quota import AdaptiveQuota
from ochrespan.contracts.admission import Admission, AdmissionRequest, Grant, NotCovered, OverBudget
from ochrespan.contracts.terms import Budget, Terms

from .contract_helpers import SimulatedFront, make_registry, team
from .helpers import count_calls

VOLUME = "v-a"


# ---- authorization ----

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
    ("demand", "expected"),
    [
        ({"volume": "v-a", "token": "one"}, "a"),
        ({"volume": "v-a", "token": "two"}, "a"),
        ({"volume": "v-b"}, "b"),
        ({"volume": "v-a"}, "token"),  # the owner's contract requires a token
        ({"volume": "v-a", "token": "six"}, "token"),
        ({"volume": "v-b", "token": "one"}, "volume"),  # owned by another contract
        ({"volume": "v-mine", "token": "one"}, "volume"),
        ({"volume": "v-nobody", "token": "one"}, "a"),  # the contract is not limited to certain volumes
        ({"volume": "v-nobody", "token": "three"}, "volume"),  # the contract is limited to its volumes
        ({"volume": "v-nobody"}, "contract"),
        ({"volume": "v-house", "token": "four"}, "house/reader"),  # owned by its team
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
def test_request_is_attributed_to_its_contract_or_refused_by_rule(demand, expected):
    got = Admission(AUTHORIZATION_REGISTRY, 1_000_000.0).admit(
        1_000_000.0, AdmissionRequest(**({"cls": "read", "units": 1.0} | demand))
    )
    assert expected == (got.team if isinstance(got, Grant) else got.rule)


def test_contract_is_valid_only_between_its_start_and_end():
    admission = Admission(AUTHORIZATION_REGISTRY, 1_000_000.0)
    for name, now, covered in (
        ("old", 999_999.9, True),
        ("old", 1_000_000.0, False),
        ("new", 1_000_000.4, False),
        ("new", 1_000_000.5, True),
    ):
        got = admission.admit(now, AdmissionRequest("read", 1.0, volume=f"v-{name}"))
        assert isinstance(got, Grant) == covered, (name, now)


# ---- accounts ----

TEAMS = ("a", "b", "c", "d")
HOUSE = Terms("house", "organisation", budget=Budget(units_per_s=150, attempts_per_s=90, open=40))
DEN = Terms("den", "organisation", weight=2.0)


def mixed_registry(scale: float = 1.0, capacity: float | None = 200.0, **more):
    """Four teams in two organisations, each with other limits."""
    return make_registry(
        team("a", "house", reserve=40 * scale if capacity else 0, units_per_s=100 * scale, open=12),
        team("b", "house", reserve=20 * scale if capacity else 0, attempts_per_s=30 * scale, per_request=1.2),
        team("c", "den", weight=3.0, units_per_hour=500 * scale, units_per_day=9000 * scale),
        team("d", "den", reserve=30 * scale if capacity else 0, per_request=1.0, **more),
        capacity=capacity,
        levels=(HOUSE, DEN),
    )


STEP = st.one_of(
    st.tuples(st.just("request"), st.sampled_from(TEAMS), st.floats(0.1, 8.0)),
    st.tuples(st.just("complete"), st.integers(0, 50), st.integers(0, 3)),
    st.tuples(st.just("extend"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("wait"), st.sampled_from((0.0, 1e-6, 0.004, 0.3, 2.0, 700.0)), st.just(0)),
    st.tuples(st.just("step back"), st.floats(0, 5.0), st.just(0)),
    st.tuples(st.just("reload"), st.sampled_from(("small", "large", "poor", "short")), st.just(0)),
)
REGISTRIES = {
    "small": mixed_registry(0.05),
    "large": mixed_registry(7.0),
    "poor": mixed_registry(capacity=None),
    "short": make_registry(team("a", "house", reserve=5), capacity=100.0, levels=(HOUSE,)),
}


@settings(derandomize=True, max_examples=250, deadline=None)
@given(steps=st.lists(STEP, max_size=120))
def test_accounts_balance_exactly_after_every_step(steps):
    front, open_grants = SimulatedFront(mixed_registry()), []
    for what, first, second in steps:
        if what == "request":
            got = front.request(first, second)
            if isinstance(got, Grant):
                assert 1 <= got.attempts <= 3 and (first != "d" or got.attempts == 1)
                open_grants.append(got)
            elif isinstance(got, OverBudget):
                assert 0 < got.wait_s <= 86400
        elif what == "complete" and open_grants:
            grant = open_grants.pop(first % len(open_grants))
            sent = min(second, grant.attempts)
            front.complete(grant, sent, max(0, sent - first % 2))
            front.complete(grant, 3, 3)  # a second completion has no effect
        elif what == "extend" and open_grants:
            grant = open_grants[first % len(open_grants)]
            if grant.attempts < 3:
                before = grant.attempts
                assert front.admission.extend(front.now, grant) == (grant.attempts == before + 1)
        elif what == "wait":
            front.now += first
        elif what == "step back":
            front.now -= first  # accounts must still balance when the clock steps back
        elif what == "reload":
            front.admission.replace(REGISTRIES[first], front.now)
        front.check()
    for grant in open_grants:
        front.complete(grant, 1)
    front.check(0)
    for level in front.admission.levels.values():
        assert not any(b.held for b in (level.units, level.attempts, level.extra_attempts, level.reserve) if b)
        assert not any(window.held or window.reserved_earlier for window in level.windows) and not level.open


@pytest.mark.parametrize(
    "budget",
    [
        {"units_per_s": 50},
        {"units_per_s": 50, "burst_units": 200},
        {"attempts_per_s": 25},
        {"units_per_s": 50, "attempts_per_s": 10},
    ],
)
def test_surge_is_limited_to_the_rate_and_one_burst(budget):
    front = SimulatedFront(make_registry(team("a", **budget)))
    front.now += 10  # until the burst is available
    got = front.run({"a": 1000}, 60) | {}
    rates = [budget["units_per_s"]] if "units_per_s" in budget else []
    rates += [2.0 * budget["attempts_per_s"]] if "attempts_per_s" in budget else []
    rate = min(rates)
    burst = budget.get("burst_units", rate)
    assert 0.98 * rate <= got["a"] <= rate + (burst + 2) / 60
    front.check()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(rate=st.floats(0.5, 500), spend=st.integers(1, 60), units=st.floats(0.5, 8.0), gap=st.floats(0, 3))
def test_request_is_admitted_after_the_wait_of_its_refusal_and_not_before(rate, spend, units, gap):
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
        assert isinstance(front.request("a", units), OverBudget)  # not yet
        front.now = now
    front.now += got.wait_s + 2e-6  # a Unix time as a float has no better resolution
    for _ in range(2):  # the hourly limit may apply next
        if isinstance(again := front.request("a", units), Grant):
            return
        assert again.rule != got.rule
        front.now += again.wait_s + 2e-6
    assert isinstance(front.request("a", units), Grant)


def test_clock_stepping_back_grants_nothing_twice():
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


def test_admitted_requests_are_paid_for_when_the_budget_runs_out_and_so_is_every_retry():
    front = SimulatedFront(make_registry(team("a", units_per_s=100, attempts_per_s=50)))
    front.now += 5
    grants = []
    while isinstance(got := front.request("a"), Grant):
        grants.append(got)
    assert got.wait_s > 0 and sum(g.attempts for g in grants) == 50  # the admitted requests hold all 50 attempts
    assert grants[0].attempts == 3 and len(grants) > 30  # retries are reserved from the upper half of the bucket only
    assert (
        not front.admission.extend(front.now, grants[-1]) and grants[-1].attempts == 1
    )  # no attempt is left for a retry
    front.complete(grants.pop(0), 1)
    assert front.admission.extend(front.now, grants[-1]) and grants[-1].attempts == 2  # two attempts were released
    for grant in grants:
        front.complete(grant, grant.attempts)
    level = front.admission.levels["a"]
    assert level.attempts.held == 0 and level.attempts.left == 10**12
    assert level.attempts.spent == level.attempts.granted - 10**12
    assert not front.admission.extend(front.now, grants[-1])  # the request has completed
    front.check(0)


def test_attempt_that_never_ran_costs_an_attempt_but_no_units():
    front = SimulatedFront(make_registry(team("a", units_per_s=100, attempts_per_s=50)))
    front.now += 5
    front.complete(front.request("a", 8.0), sent=3, ran=1)
    level = front.admission.levels["a"]
    assert (level.units.spent, level.attempts.spent) == (8 * 10**12, 3 * 10**12)
    front.complete(front.request("a", 8.0), sent=0)  # refused by the scheduler: costs nothing
    assert level.units.left == 92 * 10**12 and level.attempts.left == 47 * 10**12


@pytest.mark.parametrize(("ratio", "highest", "second"), [(1.0, 1, 1), (1.5, 1, 1), (2.0, 1, 2), (3.0, 1, 3)])
def test_retries_are_earned_by_admitted_requests(ratio, highest, second):
    front = SimulatedFront(make_registry(team("a", per_request=ratio)))
    first = front.request("a")
    assert first.attempts == highest  # no retry is earned yet
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


def test_extension_uses_only_earned_retries():
    front = SimulatedFront(make_registry(team("a", per_request=1.5)))
    first, second = front.request("a"), front.request("a")  # together they earn one retry
    assert front.admission.extend(front.now, first) and not front.admission.extend(front.now, second)
    front.complete(first, 1)  # the retry was not used
    assert front.admission.extend(front.now, second) and not front.admission.extend(front.now, second)
    front.complete(second, 2)
    front.check(0)


# ---- reserves and lending ----


def registry_with_lender(**more):
    return make_registry(
        team("quiet", reserve=60), team("surge", weight=1.0), team("other", weight=3.0), capacity=100, **more
    )


def test_unused_reserve_is_lent_by_weight_and_available_to_its_owner_at_once():
    front = SimulatedFront(registry_with_lender())
    front.now += 30
    without_owner = front.run({"surge": 500, "other": 500}, 20)
    assert without_owner["surge"] + without_owner["other"] == pytest.approx(100, abs=8)  # plus the bursts
    assert without_owner["other"] / without_owner["surge"] == pytest.approx(3, rel=0.12)
    with_owner = front.run({"quiet": 30, "surge": 500, "other": 500}, 10)
    assert with_owner["quiet"] == pytest.approx(60, abs=8)  # 30 requests of 2 units per second: all of its demand
    assert with_owner["surge"] + with_owner["other"] <= 42
    after_owner = front.run({"surge": 500, "other": 500}, 20)
    assert after_owner["surge"] + after_owner["other"] >= 92  # lent again
    front.check()


def test_surge_of_another_team_never_costs_a_reserve_a_request():
    front = SimulatedFront(registry_with_lender())
    front.now += 10
    for seconds in (3, 5, 2):
        front.run({"surge": 20 * 50}, seconds)
        for _ in range(30):  # one second of the reserve in a single burst
            got = front.request("quiet")
            assert isinstance(got, Grant)
            front.complete(got)
    assert not [name for name in front.admission.levels["quiet"].counts if name.startswith("over-budget")]


def test_limits_of_ancestors_refuse_only_borrowed_funds():
    """When one team spends the organisation's budget, that team is refused, not the reserve of its sibling."""
    bounds = Budget(units_per_s=60, attempts_per_s=40, open=30, units_per_hour=90_000)
    limited = Terms("house", "organisation", budget=bounds)
    front = SimulatedFront(
        make_registry(team("quiet", "house", reserve=40), team("surge", "house"), capacity=1000, levels=(limited,))
    )
    front.now += 10
    got = front.run({"quiet": 19, "surge": 800}, 30)
    assert got["quiet"] == pytest.approx(38, abs=3)
    assert front.admission.levels["house/quiet"].counts.keys() == {"admitted", "ended"}
    assert got["quiet"] + got["surge"] <= 60 + (60 + 40) / 30  # the rate, plus both bursts
    front.check()


def test_window_budget_withholds_what_reserves_may_still_need():
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


def test_organisation_lends_outside_only_what_its_own_teams_do_not_use():
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
    busy = front.run({"b": 500, "c": 500}, 20)
    assert busy["b"] >= 65 and busy["b"] + busy["c"] == pytest.approx(
        100, abs=12
    )  # b: a's 50, and half of the other 50
    idle = front.run({"c": 500}, 20)
    assert idle["c"] >= 90  # what no team in `one` uses is passed on
    front.check()


# ---- windows ----


@pytest.mark.parametrize(("name", "span"), [("units_per_hour", 3600), ("units_per_day", 86400)])
def test_window_ends_on_the_clock_and_a_request_counts_in_the_window_that_admitted_it(name, span):
    edge = 500_000.0 * span
    front = SimulatedFront(make_registry(team("a", **{name: 40})), now=edge - 0.01)
    grants = [front.request("a", 8.0) for _ in range(2)]
    assert [g.attempts for g in grants] == [3, 2]
    got = front.request("a", 8.0)
    assert (got.rule, got.wait_s) == (name, pytest.approx(0.01, abs=2e-6))
    front.now = edge
    assert isinstance(fresh := front.request("a", 8.0), Grant) and fresh.attempts == 3
    for grant in grants:
        front.complete(grant)
    window = front.admission.levels["a"].windows[0]
    assert (window.held, window.spent, window.reserved_earlier) == (24 * 10**12, 0, 0)
    front.now = edge - 5  # back across the boundary: the old window does not become current again
    assert isinstance(front.request("a", 8.0), Grant) and not isinstance(front.request("a", 8.0), Grant)
    front.check()


# ---- changes during operation ----


def test_contract_reduced_below_its_held_amount_completes_requests_and_refuses_new_ones():
    front = SimulatedFront(mixed_registry())
    front.now += 10
    grants = [front.request("a") for _ in range(8)]
    assert all(isinstance(g, Grant) for g in grants)
    front.admission.replace(
        make_registry(team("a", "house", reserve=1, units_per_s=1, open=1), capacity=200.0, levels=(HOUSE,)), front.now
    )
    assert front.request("a").rule == "open"
    for grant in grants:
        front.complete(grant, grant.attempts)
        front.check()
    level = front.admission.levels["house/a"]
    assert level.units.spent == sum(g.attempts * g.attempt_cost for g in grants) and level.open == 0
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
def test_operation_may_finish_under_a_contract_that_has_changed(change):
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
    later = front.admission.admit(
        front.now, AdmissionRequest("read", 1.0, volume="v-a"), grant.contract
    )  # a further request of the operation
    assert isinstance(later, Grant)
    front.complete(grant)
    front.complete(later)
    front.check(0)
    front.admission.replace(make_registry(team("b")), front.now)
    removed = front.admission.admit(front.now, AdmissionRequest("read", 1.0, volume="v-a"), grant.contract)
    assert removed.rule == "withdrawn"


def test_accounts_and_statistics_are_kept_per_team():
    front = SimulatedFront(registry_with_lender())
    front.now += 5
    front.run({"quiet": 10, "surge": 300}, 5)
    front.request("surge", cls="export")
    budget_accounts = {(a.path, a.budget): a for a in accounts(front.admission, front.now)}
    for account in budget_accounts.values():
        assert account.granted == pytest.approx(account.spent + account.held + account.left)
    statistics = {f.path: f for f in level_statistics(front.admission, front.now)}
    assert statistics["surge"].counts["not-covered.class"] == 1
    assert statistics["surge"].counts["over-budget.funds"] > 100
    assert statistics["quiet"].lent > 100 and statistics["surge"].borrowed > 100 and statistics["quiet"].borrowed == 0
    assert statistics["quiet"].counts["admitted"] - statistics["quiet"].counts["ended"] == statistics["quiet"].open


# ---- size ----


def count_admission_calls(front: SimulatedFront, names: list[str]) -> int:
    def each() -> None:
        for name in names:
            if isinstance(got := front.request(name), Grant):
                front.complete(got)

    return count_calls(each)


def test_admission_cost_does_not_grow_with_the_number_of_teams():
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
        count_admission_calls(front, ["t0"])
        front.now += 0.001
        costs.append(count_admission_calls(front, [f"t{i % 10}" for i in range(50)]))
    assert costs[1] <= costs[0] * 1.3 + 50, costs


# ---- several fronts ----


def test_even_quotas_never_exceed_the_budget_in_total():
    fronts = [SimulatedFront(make_registry(team("a", units_per_s=60), fronts=6), seed=i) for i in range(6)]
    for front in fronts:
        front.now += 5
    total = sum(front.run({"a": 500}, 20)["a"] for front in fronts)
    assert 58 <= total <= 60 + (60 + 6 * 8) / 20


@pytest.mark.parametrize(
    ("demands", "lowest", "highest"),
    [
        ([300] + [0] * 7, 0.9, 1.1),  # all through one front
        ([300] * 8, 0.9, 1.12),
        ([300, 300, 0, 0, 0, 0, 0, 0], 0.9, 1.12),
        ([5] * 8, 0.38, 0.42),  # total below the budget
    ],
)
def test_adaptive_quotas_converge_to_the_full_budget(demands, lowest, highest):
    rate, quotas = 100.0, [AdaptiveQuota(100.0, len(demands)) for _ in demands]
    for quota in quotas:
        quota.update(0.0)
    used: list[float] = []
    for second in range(1, 60):
        spent = [min(demand, quota.scale * rate / len(quotas)) for demand, quota in zip(demands, quotas, strict=True)]
        for quota, own, demand in zip(quotas, spent, demands, strict=True):
            quota.record_spent(own)
            quota.record_spent_elsewhere(sum(spent) - own if own else 0.0)  # reports arrive only with responses
            if demand > own:
                quota.record_refusal()
            quota.update(float(second))
        used.append(sum(spent))
    assert lowest * rate <= sum(used[20:]) / len(used[20:]) <= highest * rate, used
    assert max(used[20:]) <= 1.25 * rate
