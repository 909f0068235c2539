"""Each rule of the scheduler has a test that fails without its guard."""

from math import inf

import pytest

from ochrespan import interface as api
from ochrespan.interface import ListKind, NodeList, NodeState, Status

from .helpers import FrontDriver, entry


def test_a_request_is_sent_and_its_answer_ends_it():
    front = FrontDriver()
    name = front.submit()
    assert [s.node for s in front.sent(name)] == ["n0"]
    front.answer(name)
    front.wait(5)
    assert name not in front.final_answers
    assert not front.scheduler.jobs


def test_every_request_ends_before_its_deadline():
    front = FrontDriver(nodes=0)
    name = front.submit()
    front.wait(0.49)  # a node may still appear
    assert name not in front.final_answers
    front.wait(3.505)
    assert isinstance(front.final_answers[name], api.Refuse)


def test_a_request_with_no_time_left_is_ended_at_once():
    front = FrontDriver()
    name = front.submit(time_left=0.001)
    assert name in front.final_answers and not front.sent(name)


def test_open_and_later_requests_are_ended_when_the_front_shuts_down():
    front = FrontDriver()
    unsafe, safe = front.submit("once"), front.submit()
    front.handle(api.Ending(front.now + 0.3))
    front.answer(front.submit())  # still served
    front.wait(0.2)
    assert not front.final_answers
    front.wait(0.11)
    assert isinstance(front.final_answers[unsafe], api.Fail) and isinstance(front.final_answers[safe], api.Refuse)
    late = front.submit()
    assert isinstance(front.final_answers[late], api.Refuse) and not front.sent(late)


def test_a_hanging_safe_attempt_ends_by_the_timer_and_nothing_follows():
    front = FrontDriver()
    name = front.submit()
    front.wait(4)
    assert name in front.final_answers
    front.answer(name, Status.RESET)
    assert len(front.sent(name)) == 1


def test_an_unsafe_request_that_may_have_run_fails_and_is_not_resent():
    for status in (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED, Status.UNKNOWN):
        front = FrontDriver()
        name = front.submit("once")
        front.answer(name, status)
        front.wait(4)
        assert len(front.sent(name)) == 1
        assert isinstance(front.final_answers[name], api.Fail), status


def test_an_unsafe_request_in_flight_is_failed_not_refused():
    front = FrontDriver()
    name = front.submit("once")
    front.wait(4)
    assert isinstance(front.final_answers[name], api.Fail)


def test_an_unsafe_request_that_never_ran_is_sent_again():
    front = FrontDriver()
    name = front.submit("once")
    front.answer(name, Status.FULL)
    front.wait(0.2)
    assert len(front.sent(name)) == 2


def test_an_unknown_class_is_read_as_unsafe_and_answered_once():
    front = FrontDriver()
    name = front.submit("no-such-class", plan="no-such-plan")
    front.answer(name, Status.ERROR)
    front.wait(4)
    assert len(front.sent(name)) == 1
    assert isinstance(front.final_answers[name], api.Fail)


def test_a_keyed_request_stays_in_its_zone():
    front = FrontDriver(nodes=0)
    front.handle(NodeList(ListKind.DELTA, [entry(0, "a", zone="x")]))
    name = front.submit("keyed", shard=0)
    gone = entry(0, "a", zone="x", state=NodeState.GONE)
    front.handle(NodeList(ListKind.DELTA, [gone, entry(0, "b", zone="y")]))
    front.answer(name, Status.ERROR)
    front.wait(0.5)
    assert len(front.sent(name)) == 1
    front.handle(NodeList(ListKind.DELTA, [entry(0, "c", zone="x")]))
    front.wait(0.1)
    assert [s.node for s in front.sent(name)] == ["a", "c"]


def test_a_keyed_request_is_not_sent_again_after_its_window():
    front = FrontDriver()
    name = front.submit("keyed")
    front.wait(1.01)
    front.answer(name, Status.ERROR)
    assert len(front.sent(name)) == 1
    assert isinstance(front.final_answers[name], api.Fail)


def test_a_repeat_of_a_keyed_request_carries_the_time_by_which_it_must_begin():
    """Guards against a repeat sent in time whose connection opens late: it would begin after nodes forgot its key."""
    front = FrontDriver()
    for cls, wanted in (("keyed-all", 1.0 - 0.002 - 0.3), ("read", inf)):
        name = front.submit(cls)
        front.wait(0.3)
        front.answer(name, Status.ERROR)
        first, again = front.sent(name)
        assert first.begin_within == inf and again.begin_within == pytest.approx(wanted, abs=0.001)


def test_a_keyed_request_of_group_all_may_be_refused():
    front = FrontDriver()
    name = front.submit("keyed-all")
    front.wait(1.01)
    front.answer(name, Status.ERROR)
    assert isinstance(front.final_answers[name], api.Refuse)


def test_never_two_attempts_at_once():
    front = FrontDriver(second_copies=False)
    name = front.submit()
    front.wait(3)
    assert len(front.sent(name)) == 1


def test_nothing_goes_to_a_draining_gone_or_unlisted_node():
    for update in (
        NodeList(ListKind.DELTA, [entry(0, state=NodeState.DRAINING)]),
        NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]),
        NodeList(ListKind.FULL, [entry(1)]),
    ):
        front = FrontDriver()
        front.handle(update)
        name = front.submit()
        front.wait(0.3)
        assert not front.sent(name)


def test_waiting_requests_go_to_the_node_that_takes_over_the_shard():
    front = FrontDriver()
    front.handle(NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]))
    name = front.submit()
    front.handle(NodeList(ListKind.DELTA, [entry(0, "new")]))
    assert [s.node for s in front.sent(name)] == ["new"]


def test_requests_unsent_after_half_their_time_are_refused_and_sent_ones_continue():
    front = FrontDriver()
    for _ in range(3):
        front.submit()  # the window is full
    short = front.submit(time_left=0.4)
    front.wait(0.1)
    assert short not in front.final_answers
    front.wait(0.1)
    assert isinstance(front.final_answers[short], api.Refuse) and not front.sent(short)
    front = FrontDriver()
    sent = front.submit(time_left=0.4)
    front.wait(0.3)
    assert sent not in front.final_answers


def test_the_list_is_requested_again_after_a_failure_or_without_a_response():
    front = FrontDriver(list_on_request=True, max_poll_interval=10.0)
    calls = lambda: sum(isinstance(a, api.WatchList) for a in front.actions)  # noqa: E731
    front.wait(0.11)  # random delay: another front may start now too
    assert calls() == 1
    front.handle(NodeList(ListKind.FAILED))
    front.wait(0.09)
    assert calls() == 1
    front.wait(0.2)
    assert calls() == 2
    front.wait(5.1)  # no response
    assert calls() == 3
    front.handle(NodeList(ListKind.DELTA))
    front.wait(30)
    assert calls() == 3


def cold_front(**changes) -> FrontDriver:
    return FrontDriver(
        nodes=0, slow_start_units=40.0, start_capacity=0.25, warm_up=10.0, overload_window=2.0, **changes
    )


def serve(front: FrontDriver) -> None:
    name = front.submit()
    if front.sent(name):
        front.answer(name)


def units_sent(front: FrontDriver, since: float) -> float:
    return 2 * sum(1 for at, _ in front.sends if at > since)


def test_a_cold_node_gets_this_fronts_fraction_in_each_window():
    front = cold_front()
    front.handle(NodeList(ListKind.DELTA, [entry(0, started_at=front.now)]))
    for _ in range(60):
        serve(front)
    assert 12 <= units_sent(front, front.now - 2) <= 20
    front.wait(1.9)
    assert units_sent(front, front.now - 2) <= 20


def test_after_a_restart_the_cold_budget_counts_as_spent():
    front = cold_front()
    front.scheduler.handle(front.now, [NodeList(ListKind.CACHED, [entry(0, started_at=front.now - 1)])])
    name = front.submit()
    front.wait(1.9)
    assert not front.sent(name)
    name = front.submit()
    front.wait(0.2)
    assert front.sent(name)


def test_the_cold_budget_grows_until_the_node_is_warm():
    front = cold_front()
    front.handle(NodeList(ListKind.DELTA, [entry(0, started_at=front.now)]))
    sums = []
    for _ in range(3):
        front.wait(7)
        before = front.now
        for _ in range(200):
            serve(front)
        sums.append(units_sent(front, before - 0.001))
    assert 20 < sums[0] < sums[1]
    assert sums[1] >= 360  # warm: limited only by the window


def test_requests_of_one_key_run_one_at_a_time_in_order():
    front = FrontDriver()
    names = [front.submit("save", key="k") for _ in range(3)]
    without_key = [front.submit("save", key="") for _ in range(2)]
    assert len(front.sent()) == 3 and all(front.sent(n) for n in without_key)
    front.answer(names[0])
    assert front.sent(names[1]) and not front.sent(names[2])
    front.answer(names[1], Status.ERROR)  # sent again: it is still first of its key
    assert len(front.sent(names[1])) == 2 and not front.sent(names[2])
    front.answer(names[1])
    assert front.sent(names[2])


def test_a_key_waits_for_an_attempt_in_flight_of_an_ended_request_and_for_the_cooldown():
    front = FrontDriver(key_cooldown=0.1)
    first = front.submit("save", key="k", time_left=0.2)
    second = front.submit("save", key="k")
    front.wait(0.25)
    assert first in front.final_answers and not front.sent(second)
    front.answer(first, Status.TIMEOUT)
    front.wait(0.09)
    assert not front.sent(second)
    front.wait(0.1)
    assert front.sent(second)


def test_the_retry_budget():
    front = FrontDriver(retry_budget_base=2.0, retry_budget_ratio=0.1, retry_budget_window=5.0)
    front.scheduler.settings.max_attempts = 99
    for _ in range(10):
        name = front.submit()
        while name not in front.final_answers:
            front.answer(name, Status.ERROR)
    extras = len(front.sent()) - 10
    assert extras == 3  # 2 + a tenth of 10
    front.wait(5.1)
    front.answer(front.submit(), Status.ERROR)
    assert len(front.sent()) - 11 == 4


def test_a_limit_applies_by_this_fronts_fraction_and_starts_empty():
    front = FrontDriver()
    assert not front.sent(front.submit(plan="capped", fronts=2))
    spent = 0.0
    for _ in range(60):
        front.submit(plan="capped", fronts=2)
        front.wait(0.1)
        for name in list(front.attempts):
            if front.attempts[name] == 1 and name in front.scheduler.jobs and front.scheduler.jobs[name].in_flight:
                front.answer(name)
        spent = 2 * len(front.sent())
        assert spent <= 2 * (front.now - 100.0) + 1e-6
    assert spent >= 8


def test_removed_nodes_and_ended_requests_leave_no_records():
    front = FrontDriver()
    for i in range(50):
        front.answer(front.submit(volume=f"v{i}", key=f"k{i}", cls="save"))
    front.handle(NodeList(ListKind.FULL, [entry(1)]))
    front.wait(40)
    scheduler = front.scheduler
    assert list(scheduler.nodes) == ["n1"]
    assert not (
        scheduler.jobs or scheduler.key_queues or scheduler.flows or scheduler.volumes or scheduler.shard_queues
    )


def test_unexpected_events_are_ignored():
    front = FrontDriver()
    name = front.submit()
    front.handle(
        api.Outcome("nobody", 0, "n0", Status.OK, 0.1),
        api.Gone("nobody"),
        api.Timer(99),
        api.Outcome(name, 5, "n0", Status.OK, 0.1),
        api.Started("nobody"),
        api.ProbeResult("n0", Status.OK, 0.1),
    )
    front.answer(name)
    front.handle(api.Outcome(name, 0, "n0", Status.OK, 0.1))
    assert not front.scheduler.nodes["n0"].in_flight
    second = front.submit()
    front.handle(api.Gone(second))
    front.wait(5)
    assert second not in front.final_answers


def test_requests_that_cannot_meet_their_target_are_refused_early_but_an_idle_node_still_gets_requests():
    front = FrontDriver()
    names = [front.submit() for _ in range(40)]
    front.wait(0.6)  # the latency target of the waiting requests has passed
    waiting = [n for n in names if not front.sent(n)]
    assert waiting and all(isinstance(front.final_answers[n], api.Refuse) for n in waiting)
    front.scheduler.nodes["n0"].unit_time["read"] = 9.0  # a wrong estimate
    for name in [n for n in names if front.sent(n)]:
        front.answer(name)
    assert front.sent(front.submit())


def test_short_time_left_in_every_request_is_not_taken_for_client_retries():
    front = FrontDriver()
    assert front.sent(front.submit(time_left=1.0))  # the class's deadline is 4 s


def test_a_client_with_a_short_timeout_is_served_and_a_retry_past_its_target_is_not():
    front = FrontDriver()
    front.answer(front.submit())  # with all of the class's time
    assert front.sent(front.submit(time_left=0.3))  # less than the latency target
    assert front.submit(time_left=2.0) in front.final_answers


def test_a_node_that_rejects_everything_does_not_attract_new_objects():
    front = FrontDriver(nodes=3)
    bad = front.sent(front.submit(shard=-1))[0].node
    front.answer("r1", Status.FULL)
    for _ in range(20):
        name = front.submit(shard=-1)
        front.answer(name, Status.FULL if front.sent(name)[-1].node == bad else Status.OK)
    assert sum(s.node == bad for s in front.sent()) <= 2


def test_a_node_that_rejects_everything_gets_single_attempts():
    front = FrontDriver()
    for _ in range(30):
        name = front.submit()
        while front.sent(name) and name in front.scheduler.jobs and front.scheduler.jobs[name].in_flight:
            front.answer(name, Status.FULL)
        front.wait(0.01)
    assert len(front.sent()) <= 6
    front.wait(2)
    assert front.sent(front.submit())


def test_requests_within_the_reserve_go_first():
    front = FrontDriver()
    fill = [front.submit(volume="spare") for _ in range(9)]
    paid = front.submit(plan="paid", volume="owed")
    front.answer(next(n for n in fill if front.sent(n)))
    assert front.sent(paid)
    assert sum(bool(front.sent(n)) for n in fill) < 9


def test_ending_a_request_early_may_unblock_its_key_for_another_shard():
    front = FrontDriver()
    for _ in range(3):
        front.submit(shard=0)
    waiting = front.submit("save", key="k", shard=0)
    front.submit("save", key="k", shard=1)
    front.now += 0.7  # shard 1 has no queues yet; ending the first request makes them
    front.handle(api.Timer(1))
    assert waiting in front.final_answers


def test_an_attempt_times_out_at_the_latency_target_so_that_nodes_may_drop_it_from_their_queues():
    front = FrontDriver()
    assert front.sent(front.submit())[0].timeout <= 0.5
    front = FrontDriver()
    assert front.sent(front.submit(time_left=0.2))[0].timeout < 0.2


def test_an_unresponsive_node_is_backed_off_from_and_used_again_after_recovery():
    front = FrontDriver()
    front.answer(front.submit())
    for _ in range(60):
        name = front.submit()
        front.wait(0.1)
        for late in [
            n for n, job in front.scheduler.jobs.items() if job.in_flight and front.now - job.accepted_at > 0.5
        ]:
            number = front.attempts[late] - 1
            front.handle(api.Outcome(late, number, "n0", Status.TIMEOUT, 0.5))
    assert len(front.sent()) <= 20
    assert any(isinstance(a, api.Log) and "back off" in a.text for a in front.actions)
    front.wait(8)
    front.answer(name := front.submit())
    assert front.sent(name) and not front.scheduler.nodes["n0"].failures


def test_requests_outside_the_reserve_accept_only_a_shorter_queue():
    front = FrontDriver()
    front.answer(front.submit())
    node = front.scheduler.nodes["n0"]
    front.scheduler.settings.unreserved_value = 0.3
    node.queue_wait, node.queue_wait_at = 0.35, front.now
    outside, within = front.submit(volume="spare"), front.submit(plan="paid", volume="owed")
    assert front.sent(within) and not front.sent(outside)
    front.answer(within)
    front.wait(0.3)  # old estimates decay
    assert front.sent(outside)


def test_an_abandoned_request_is_cancelled_and_frees_its_key():
    front = FrontDriver(can_cancel=True)
    first = front.submit("save", key="k")
    second = front.submit("save", key="k")
    front.handle(api.Gone(first))
    assert api.Cancel(first, 0) in front.actions and not front.sent(second)
    front.handle(api.Outcome(first, 0, "n0", Status.CANCELLED, 0.1, closed=True))
    assert front.sent(second)


def test_long_overdue_attempts_are_retried_where_responses_get_lost():
    front = FrontDriver()
    for _ in range(3):
        name = front.submit()
        assert front.sent(name)[0].timeout == 0.5
        front.answer(name)
    for _ in range(2):  # each times out although a later attempt was answered
        lost = front.submit()
        front.wait(0.05)
        front.answer(front.submit())
        front.answer(lost, Status.TIMEOUT)
        front.answer(lost)  # its next attempt
    lost = front.submit()
    assert front.sent(lost)[0].timeout < 0.4
    front.wait(0.2)
    front.answer(lost, Status.TIMEOUT)
    assert len(front.sent(lost)) == 2
    once = front.submit("once")
    front.answer(once, Status.TIMEOUT)
    assert len(front.sent(once)) == 1


def test_longer_work_of_one_class_is_not_taken_for_a_queue():
    """Reads take twice as long per unit as other classes, and units are rounded up: neither indicates a queue."""
    front = FrontDriver(nodes=1)
    for _ in range(30):
        for cls, units, latency in (("save", 2, 0.015), ("read", 1, 0.01), ("read", 2, 0.03), ("read", 3, 0.05)):
            name = front.submit(cls, units=units)
            front.handle(api.Outcome(name, 0, "n0", Status.OK, latency, closed=True))
            front.now += 0.05
    node = front.scheduler.nodes["n0"]
    assert node.queue_wait < 0.001 and node.window >= 3


def test_a_shard_that_has_lacked_nodes_for_long_queues_nothing_until_it_has_one_again():
    front = FrontDriver(nodes=1)
    front.handle(NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]))
    waiting = front.submit()
    front.wait(0.4)  # the node may be in replacement
    assert waiting not in front.final_answers
    front.wait(0.15)
    waiting, new = front.submit(), front.submit(shard=-1)
    assert isinstance(front.final_answers[waiting], api.Refuse) and new not in front.final_answers
    front.handle(NodeList(ListKind.DELTA, [entry(0)]))
    assert front.sent(front.submit())
    front.handle(NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]))
    assert front.submit() not in front.final_answers  # the time without a node starts again


def test_one_wrong_latency_estimate_does_not_keep_requests_from_a_node():
    front = FrontDriver()
    front.answer(front.submit())
    front.scheduler.nodes["n0"].unit_time["read"] = 50.0
    assert front.sent(front.submit(units=8))


def test_two_resets_do_not_back_off_but_two_failures_to_connect_do():
    for status, allowed in ((Status.RESET, 2), (Status.CONNECT_FAILED, 0)):
        front = FrontDriver(nodes=1)
        for _ in range(2):
            front.answer(front.submit("once"), status)
            front.now += 0.001
        names = [front.submit("once") for _ in range(2)]
        assert sum(bool(front.sent(name)) for name in names) == allowed, status


def test_attempts_that_fail_together_count_as_one_failure():
    front = FrontDriver(nodes=1)
    names = [front.submit() for _ in range(3)]
    assert all(front.sent(n) for n in names)
    front.wait(0.5)
    for name in names:
        front.answer(name, Status.TIMEOUT)
    assert front.scheduler.nodes["n0"].failures == 1


def test_a_refusal_tells_when_to_retry_where_the_settings_allow_it():
    for enabled, low, high in ((True, 0.1, 0.4), (False, 0.0, 0.0)):
        front = FrontDriver(nodes=0, sends_retry_after=enabled, max_retry_after=0.4)
        name = front.submit()
        front.wait(4)
        assert low <= front.final_answers[name].retry_after <= high


def test_a_client_that_claims_unlimited_time_does_not_make_others_look_like_retries():
    front = FrontDriver(1)
    front.submit(time_left=1e6)
    front.submit(time_left=4.0)
    assert len(front.sent()) == 2  # the second does not count as a retry past its latency target
    front.wait(5.0)
    assert set(front.final_answers) == {"r1", "r2"}  # and the first does not wait for ever
