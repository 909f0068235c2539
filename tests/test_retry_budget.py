"""The budget of further attempts over all routers, and health judged by the ends of requests."""

from __future__ import annotations

import random

import pytest

from ochrespan.data_plane.decisions import Outcome
from ochrespan.data_plane.retry_budget import RetryBudget
from ochrespan.data_plane.server_health import EJECT_AFTER, ServerHealth

from .scheduling import PLAIN, scheduler, sent_to, submit

RATIO, SLACK, WINDOW = 0.2, 58.0, 10.0


@pytest.mark.parametrize("routers", [1, 9, 60, 300])
def test_over_all_routers_further_attempts_stay_within_ratio_and_slack_in_every_window(routers):
    """Uneven traffic that comes and goes, every request tries again, and routers are killed and started."""
    lot = random.Random(routers)
    budgets = [RetryBudget(RATIO, SLACK, WINDOW, 0.0) for _ in range(routers)]
    share = [lot.paretovariate(1.2) for _ in range(routers)]
    first, further, now = [], [], 0.0
    while now < 60.0:
        now += lot.expovariate(400.0 if 20 < now < 30 else 60.0)
        rank = lot.choices(range(routers), share)[0]
        if lot.random() < 0.002:
            budgets[rank] = RetryBudget(RATIO, SLACK, WINDOW, now)
        budgets[rank].record_first_attempt(now)
        first.append(now)
        for _ in range(2):
            if budgets[rank].allows_retry(now, routers):
                budgets[rank].record_retry(now)
                further.append(now)
    assert len(further) > 0.1 * RATIO * len(first)
    for start in range(0, 100):
        at = 0.5 * start
        in_window = sum(at < moment <= at + WINDOW for moment in further)
        owed = sum(at < moment <= at + WINDOW for moment in first)
        assert in_window <= RATIO * owed + SLACK, (at, in_window, owed)


def test_a_fresh_router_may_not_spend_the_slack_that_its_earlier_life_has_spent():
    budget = RetryBudget(RATIO, SLACK, WINDOW, 100.0)
    assert not budget.allows_retry(100.0, 1)
    assert budget.allows_retry(105.0, 1)


def test_a_router_whose_budget_is_spent_answers_at_once():
    made = scheduler(servers=8, capacity=64)
    sends = 0
    for number in range(100):
        now = 100.0 + 0.06 * number
        submit(made, number, now, PLAIN, safe=True, max_servers=3)
        sends += len(sent_to(made.ended(now, f"r{number}", Outcome.REJECTED_FULL)))
    assert 10 <= sends <= 0.2 * 100 + 10


def test_failures_in_a_row_eject_for_a_time_that_grows_and_one_success_ends_that():
    health, now, spans = ServerHealth(), 100.0, []
    for _ in range(4):
        for _ in range(int(EJECT_AFTER)):
            now += 0.01
            health.record_failure(now, Outcome.LOST, now - 0.005)
        spans.append(health.ejected_until - now)
        now = health.ejected_until
        assert not health.is_ejected(now) and health.is_on_probation()
    assert spans == sorted(spans) and spans[-1] > 2 * spans[0]
    health.record_success()
    assert not health.is_on_probation() and not health.is_ejected(now)


def test_one_trouble_counts_once_however_many_requests_were_out():
    health = ServerHealth()
    for _ in range(20):
        health.record_failure(100.0, Outcome.LOST, sent_at=99.0)
    assert not health.is_ejected(100.0)


def test_a_server_that_cannot_be_reached_is_left_at_once_and_comes_back_by_one_request():
    made = scheduler(servers=3, capacity=64)
    (gone,) = sent_to(submit(made, 1, like=PLAIN))
    made.ended(100.0, "r1", Outcome.NOT_SENT)
    later = [at for number in range(2, 60) for at in sent_to(submit(made, number, now=100.1, like=PLAIN))]
    assert later and gone not in later
    back = [at for number in range(60, 90) for at in sent_to(submit(made, number, now=103.0, like=PLAIN))]
    assert back.count(gone) <= 1


def test_at_least_half_of_the_servers_stay_in_use_however_all_fail():
    made = scheduler(servers=5, capacity=64)
    now = 100.0
    for number in range(200):
        now += 0.005
        for at in sent_to(submit(made, number, now, PLAIN, safe=True)):
            assert at
            made.ended(now, f"r{number}", Outcome.NOT_SENT)
        ejected = [state for state in made._pools["llm"].usable if state.health.is_ejected(now)]
        assert len(ejected) <= 2


def test_a_silent_server_is_suspected_when_clients_leave_it_and_a_busy_one_is_not():
    for speaks in (False, True):
        made = scheduler(servers=2, capacity=64)
        (first,) = sent_to(submit(made, "first", 100.0, PLAIN))
        state = made._pools["llm"].servers[first]
        for number in range(3):
            now = 101.0 + 3 * number
            submit(made, number, now, PLAIN)
            on_it = f"r{number}" in state.in_flight
            if speaks and on_it:
                state.last_response_at = now + 1.0
            made.cancel(now + 2.0, f"r{number}")
        assert (state.health.failures > 0) is not speaks or speaks is False
        if speaks:
            assert state.health.failures == 0
