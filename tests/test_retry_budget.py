"""The retry budget over all routers, and server health derived from the outcomes of attempts."""

from __future__ import annotations

import random

import pytest

from ochrespan.data_plane.decisions import Outcome
from ochrespan.data_plane.retry_budget import RetryBudget
from ochrespan.data_plane.server_health import EJECT_AFTER, ServerHealth

from .scheduling import PLAIN, scheduler, sent_server_ids, submit

RATIO, SLACK, WINDOW = 0.2, 58.0, 10.0


@pytest.mark.parametrize("routers", [1, 9, 60, 300])
def test_retries_of_all_routers_stay_within_ratio_and_slack_in_every_window(routers):
    """Traffic is uneven and bursty, every request is retried twice if allowed, and routers are restarted."""
    rng = random.Random(routers)
    budgets = [RetryBudget(RATIO, SLACK, WINDOW, 0.0) for _ in range(routers)]
    weights = [rng.paretovariate(1.2) for _ in range(routers)]
    first, retries, now = [], [], 0.0
    while now < 60.0:
        now += rng.expovariate(400.0 if 20 < now < 30 else 60.0)
        rank = rng.choices(range(routers), weights)[0]
        if rng.random() < 0.002:
            budgets[rank] = RetryBudget(RATIO, SLACK, WINDOW, now)
        budgets[rank].record_first_attempt(now)
        first.append(now)
        for _ in range(2):
            if budgets[rank].allows_retry(now, routers):
                budgets[rank].record_retry(now)
                retries.append(now)
    assert len(retries) > 0.1 * RATIO * len(first)
    for start in range(0, 100):
        at = 0.5 * start
        in_window = sum(at < sent_at <= at + WINDOW for sent_at in retries)
        first_in_window = sum(at < sent_at <= at + WINDOW for sent_at in first)
        assert in_window <= RATIO * first_in_window + SLACK, (at, in_window, first_in_window)


def test_a_restarted_router_may_not_spend_its_slack_twice():
    budget = RetryBudget(RATIO, SLACK, WINDOW, 100.0)
    assert not budget.allows_retry(100.0, 1)
    assert budget.allows_retry(105.0, 1)


def test_a_router_without_budget_refuses_at_once():
    sched = scheduler(servers=8, capacity=64)
    sends = 0
    for number in range(100):
        now = 100.0 + 0.06 * number
        submit(sched, number, now, PLAIN, safe=True, max_servers=3)
        sends += len(sent_server_ids(sched.ended(now, f"r{number}", Outcome.REJECTED_FULL)))
    assert 10 <= sends <= 0.2 * 100 + 10


def test_consecutive_failures_eject_for_a_growing_time_and_one_success_resets_it():
    health, now, ejection_times = ServerHealth(), 100.0, []
    for _ in range(4):
        for _ in range(int(EJECT_AFTER)):
            now += 0.01
            health.record_failure(now, Outcome.LOST, now - 0.005)
        ejection_times.append(health.ejected_until - now)
        now = health.ejected_until
        assert not health.is_ejected(now) and health.is_on_probation()
    assert ejection_times == sorted(ejection_times) and ejection_times[-1] > 2 * ejection_times[0]
    health.record_success()
    assert not health.is_on_probation() and not health.is_ejected(now)


def test_one_incident_counts_once_however_many_requests_were_in_flight():
    health = ServerHealth()
    for _ in range(20):
        health.record_failure(100.0, Outcome.LOST, sent_at=99.0)
    assert not health.is_ejected(100.0)


def test_an_unreachable_server_is_ejected_at_once_and_returns_with_one_request():
    sched = scheduler(servers=3, capacity=64)
    (unreachable,) = sent_server_ids(submit(sched, 1, template=PLAIN))
    sched.ended(100.0, "r1", Outcome.NOT_SENT)
    during_ejection = [
        at for number in range(2, 60) for at in sent_server_ids(submit(sched, number, now=100.1, template=PLAIN))
    ]
    assert during_ejection and unreachable not in during_ejection
    after_ejection = [
        at for number in range(60, 90) for at in sent_server_ids(submit(sched, number, now=103.0, template=PLAIN))
    ]
    assert after_ejection.count(unreachable) <= 1


def test_at_least_half_of_the_servers_stay_in_use_when_all_fail():
    sched = scheduler(servers=5, capacity=64)
    now = 100.0
    for number in range(200):
        now += 0.005
        for at in sent_server_ids(submit(sched, number, now, PLAIN, safe=True)):
            assert at
            sched.ended(now, f"r{number}", Outcome.NOT_SENT)
        ejected = [state for state in sched._pools["llm"].usable_servers if state.health.is_ejected(now)]
        assert len(ejected) <= 2


def test_an_unresponsive_server_is_suspected_when_clients_leave_and_a_busy_one_is_not():
    for responds in (False, True):
        sched = scheduler(servers=2, capacity=64)
        (first,) = sent_server_ids(submit(sched, "first", 100.0, PLAIN))
        state = sched._pools["llm"].servers[first]
        for number in range(3):
            now = 101.0 + 3 * number
            submit(sched, number, now, PLAIN)
            is_on_server = f"r{number}" in state.in_flight
            if responds and is_on_server:
                state.last_response_at = now + 1.0
            sched.cancel(now + 2.0, f"r{number}")
        assert (state.health.failures > 0) is not responds or responds is False
        if responds:
            assert state.health.failures == 0
