"""Each rule, with a test that fails when its guard is taken out."""

from math import inf

import pytest

from ochrespan import interface as api
from ochrespan.interface import ListKind, NodeList, NodeState, Status

from .helpers import Head, entry


def test_a_request_is_sent_and_its_answer_ends_it():
    head = Head()
    name = head.take()
    assert [s.node for s in head.sent(name)] == ["n0"]
    head.answer(name)
    head.wait(5)
    assert name not in head.finals
    assert not head.head.jobs


def test_every_request_ends_before_its_deadline():
    head = Head(nodes=0)
    name = head.take()
    head.wait(0.49)  # a node may yet come
    assert name not in head.finals
    head.wait(3.505)
    assert isinstance(head.finals[name], api.Refuse)


def test_a_request_with_no_time_left_is_ended_at_once():
    head = Head()
    name = head.take(time_left=0.001)
    assert name in head.finals and not head.sent(name)


def test_all_that_is_held_or_still_comes_ends_with_the_head():
    head = Head()
    held, hanging = head.take("once"), head.take()
    head.give(api.Ending(head.now + 0.3))
    head.answer(head.take())  # still served
    head.wait(0.2)
    assert not head.finals
    head.wait(0.11)
    assert isinstance(head.finals[held], api.Fail) and isinstance(head.finals[hanging], api.Refuse)
    late = head.take()
    assert isinstance(head.finals[late], api.Refuse) and not head.sent(late)


def test_a_hanging_safe_attempt_ends_by_the_timer_and_nothing_follows():
    head = Head()
    name = head.take()
    head.wait(4)
    assert name in head.finals
    head.answer(name, Status.RESET)
    assert len(head.sent(name)) == 1


def test_an_unsafe_request_that_may_have_run_fails_and_is_not_resent():
    for status in (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED, Status.UNKNOWN):
        head = Head()
        name = head.take("once")
        head.answer(name, status)
        head.wait(4)
        assert len(head.sent(name)) == 1
        assert isinstance(head.finals[name], api.Fail), status


def test_an_unsafe_request_still_out_is_failed_not_refused():
    head = Head()
    name = head.take("once")
    head.wait(4)
    assert isinstance(head.finals[name], api.Fail)


def test_an_unsafe_request_that_never_ran_is_sent_again():
    head = Head()
    name = head.take("once")
    head.answer(name, Status.FULL)
    head.wait(0.2)
    assert len(head.sent(name)) == 2


def test_an_unknown_class_is_read_as_unsafe_and_answered_once():
    head = Head()
    name = head.take("no-such-class", plan="no-such-plan")
    head.answer(name, Status.ERROR)
    head.wait(4)
    assert len(head.sent(name)) == 1
    assert isinstance(head.finals[name], api.Fail)


def test_a_keyed_request_stays_in_its_zone():
    head = Head(nodes=0)
    head.give(NodeList(ListKind.DELTA, [entry(0, "a", zone="x")]))
    name = head.take("keyed", shard=0)
    gone = entry(0, "a", zone="x", state=NodeState.GONE)
    head.give(NodeList(ListKind.DELTA, [gone, entry(0, "b", zone="y")]))
    head.answer(name, Status.ERROR)
    head.wait(0.5)
    assert len(head.sent(name)) == 1
    head.give(NodeList(ListKind.DELTA, [entry(0, "c", zone="x")]))
    head.wait(0.1)
    assert [s.node for s in head.sent(name)] == ["a", "c"]


def test_a_keyed_request_is_not_sent_again_after_its_window():
    head = Head()
    name = head.take("keyed")
    head.wait(1.01)
    head.answer(name, Status.ERROR)
    assert len(head.sent(name)) == 1
    assert isinstance(head.finals[name], api.Fail)


def test_a_repeat_of_a_keyed_request_is_told_by_when_it_has_to_begin():
    """It left in time; its connection came up late, and it began after its key had been forgotten."""
    head = Head()
    for cls, wanted in (("keyed-all", 1.0 - 0.002 - 0.3), ("read", inf)):
        name = head.take(cls)
        head.wait(0.3)
        head.answer(name, Status.ERROR)
        first, again = head.sent(name)
        assert first.begin_within == inf and again.begin_within == pytest.approx(wanted, abs=0.001)


def test_a_keyed_request_of_group_all_may_be_refused():
    head = Head()
    name = head.take("keyed-all")
    head.wait(1.01)
    head.answer(name, Status.ERROR)
    assert isinstance(head.finals[name], api.Refuse)


def test_never_two_attempts_at_once():
    head = Head(second_copies=False)
    name = head.take()
    head.wait(3)
    assert len(head.sent(name)) == 1


def test_nothing_goes_to_a_draining_gone_or_unlisted_node():
    for news in (
        NodeList(ListKind.DELTA, [entry(0, state=NodeState.DRAINING)]),
        NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]),
        NodeList(ListKind.FULL, [entry(1)]),
    ):
        head = Head()
        head.give(news)
        name = head.take()
        head.wait(0.3)
        assert not head.sent(name)


def test_held_requests_go_to_the_node_that_takes_the_shard_over():
    head = Head()
    head.give(NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]))
    name = head.take()
    head.give(NodeList(ListKind.DELTA, [entry(0, "new")]))
    assert [s.node for s in head.sent(name)] == ["new"]


def test_what_was_not_sent_by_half_of_its_time_is_refused_then_and_what_was_sent_goes_on():
    head = Head()
    for _ in range(3):
        head.take()  # the window is full
    short = head.take(time_left=0.4)
    head.wait(0.1)
    assert short not in head.finals
    head.wait(0.1)
    assert isinstance(head.finals[short], api.Refuse) and not head.sent(short)
    head = Head()
    sent = head.take(time_left=0.4)
    head.wait(0.3)
    assert sent not in head.finals


def test_the_list_is_watched_and_asked_for_again_after_failure():
    head = Head(list_on_request=True, ask_within=10.0)
    asks = lambda: sum(isinstance(a, api.WatchList) for a in head.actions)  # noqa: E731
    head.wait(0.11)  # by lot: another head may start now too
    assert asks() == 1
    head.give(NodeList(ListKind.FAILED))
    head.wait(0.09)
    assert asks() == 1
    head.wait(0.2)
    assert asks() == 2
    head.wait(5.1)  # no answer at all
    assert asks() == 3
    head.give(NodeList(ListKind.DELTA))
    head.wait(30)
    assert asks() == 3


def cold_head(**changes) -> Head:
    return Head(nodes=0, cold_units=40.0, start_capacity=0.25, warm_up=10.0, overload_window=2.0, **changes)


def serve(head: Head) -> None:
    name = head.take()
    if head.sent(name):
        head.answer(name)


def units_sent(head: Head, since: float) -> float:
    return 2 * sum(1 for at, _ in head.sends if at > since)


def test_a_cold_node_gets_this_heads_part_in_each_window():
    head = cold_head()
    head.give(NodeList(ListKind.DELTA, [entry(0, started_at=head.now)]))
    for _ in range(60):
        serve(head)
    assert 12 <= units_sent(head, head.now - 2) <= 20
    head.wait(1.9)
    assert units_sent(head, head.now - 2) <= 20


def test_a_fresh_head_takes_the_cold_budget_as_spent():
    head = cold_head()
    head.head.handle(head.now, [NodeList(ListKind.CACHED, [entry(0, started_at=head.now - 1)])])
    name = head.take()
    head.wait(1.9)
    assert not head.sent(name)
    name = head.take()
    head.wait(0.2)
    assert head.sent(name)


def test_the_cold_budget_grows_until_the_node_is_warm():
    head = cold_head()
    head.give(NodeList(ListKind.DELTA, [entry(0, started_at=head.now)]))
    sums = []
    for _ in range(3):
        head.wait(7)
        before = head.now
        for _ in range(200):
            serve(head)
        sums.append(units_sent(head, before - 0.001))
    assert 20 < sums[0] < sums[1]
    assert sums[1] >= 360  # warm: no bound but the window


def test_one_key_runs_one_at_a_time_in_turn():
    head = Head()
    names = [head.take("save", key="k") for _ in range(3)]
    free = [head.take("save", key="") for _ in range(2)]
    assert len(head.sent()) == 3 and all(head.sent(n) for n in free)
    head.answer(names[0])
    assert head.sent(names[1]) and not head.sent(names[2])
    head.answer(names[1], Status.ERROR)  # sent again: it has the turn
    assert len(head.sent(names[1])) == 2 and not head.sent(names[2])
    head.answer(names[1])
    assert head.sent(names[2])


def test_a_key_waits_for_an_open_attempt_of_an_ended_request_and_then_rests():
    head = Head(key_rest=0.1)
    first = head.take("save", key="k", time_left=0.2)
    second = head.take("save", key="k")
    head.wait(0.25)
    assert first in head.finals and not head.sent(second)
    head.answer(first, Status.TIMEOUT)
    head.wait(0.09)
    assert not head.sent(second)
    head.wait(0.1)
    assert head.sent(second)


def test_the_budget_of_further_attempts():
    head = Head(extra_free=2.0, extra_share=0.1, extra_window=5.0)
    head.head.set.max_attempts = 99
    for _ in range(10):
        name = head.take()
        while name not in head.finals:
            head.answer(name, Status.ERROR)
    extras = len(head.sent()) - 10
    assert extras == 3  # 2 + a tenth of 10
    head.wait(5.1)
    head.answer(head.take(), Status.ERROR)
    assert len(head.sent()) - 11 == 4


def test_a_limit_is_kept_over_this_heads_part_and_begins_empty():
    head = Head()
    assert not head.sent(head.take(plan="capped", hosts=2))
    spent = 0.0
    for _ in range(60):
        head.take(plan="capped", hosts=2)
        head.wait(0.1)
        for name in list(head.attempts):
            if head.attempts[name] == 1 and name in head.head.jobs and head.head.jobs[name].out:
                head.answer(name)
        spent = 2 * len(head.sent())
        assert spent <= 2 * (head.now - 100.0) + 1e-6
    assert spent >= 8


def test_the_list_forgotten_nodes_and_ended_requests_leave_no_trace():
    head = Head()
    for i in range(50):
        head.answer(head.take(volume=f"v{i}", key=f"k{i}", cls="save"))
    head.give(NodeList(ListKind.FULL, [entry(1)]))
    head.wait(40)
    inner = head.head
    assert list(inner.nodes) == ["n1"]
    assert not (inner.jobs or inner.turns or inner.flows or inner.volumes or inner.lanes)


def test_odd_events_are_ignored():
    head = Head()
    name = head.take()
    head.give(
        api.Outcome("nobody", 0, "n0", Status.OK, 0.1),
        api.Gone("nobody"),
        api.Timer(99),
        api.Outcome(name, 5, "n0", Status.OK, 0.1),
        api.Started("nobody"),
        api.ProbeResult("n0", Status.OK, 0.1),
    )
    head.answer(name)
    head.give(api.Outcome(name, 0, "n0", Status.OK, 0.1))
    assert not head.head.nodes["n0"].out
    second = head.take()
    head.give(api.Gone(second))
    head.wait(5)
    assert second not in head.finals


def test_what_cannot_be_in_time_is_refused_early_but_an_idle_node_is_never_starved():
    head = Head()
    names = [head.take() for _ in range(40)]
    head.wait(0.6)  # the aim of what waits has passed
    waiting = [n for n in names if not head.sent(n)]
    assert waiting and all(isinstance(head.finals[n], api.Refuse) for n in waiting)
    head.head.nodes["n0"].best["read"] = 9.0  # a wrong estimate
    for name in [n for n in names if head.sent(n)]:
        head.answer(name)
    assert head.sent(head.take())


def test_time_left_that_is_short_for_all_is_no_sign_of_a_repeat():
    head = Head()
    assert head.sent(head.take(time_left=1.0))  # the class's deadline is 4 s


def test_a_client_that_gives_up_early_is_served_and_a_repeat_past_its_aim_is_not():
    head = Head()
    head.answer(head.take())  # has all of the class's time
    assert head.sent(head.take(time_left=0.3))  # less than the aim
    assert head.take(time_left=2.0) in head.finals


def test_a_node_that_turns_all_away_does_not_draw_new_objects():
    head = Head(nodes=3)
    bad = head.sent(head.take(shard=-1))[0].node
    head.answer("r1", Status.FULL)
    for _ in range(20):
        name = head.take(shard=-1)
        head.answer(name, Status.FULL if head.sent(name)[-1].node == bad else Status.OK)
    assert sum(s.node == bad for s in head.sent()) <= 2


def test_a_node_that_turns_all_away_gets_single_trials():
    head = Head()
    for _ in range(30):
        name = head.take()
        while head.sent(name) and name in head.head.jobs and head.head.jobs[name].out:
            head.answer(name, Status.FULL)
        head.wait(0.01)
    assert len(head.sent()) <= 6
    head.wait(2)
    assert head.sent(head.take())


def test_what_is_inside_the_reserve_goes_first():
    head = Head()
    fill = [head.take(volume="spare") for _ in range(9)]
    paid = head.take(plan="paid", volume="owed")
    head.answer(next(n for n in fill if head.sent(n)))
    assert head.sent(paid)
    assert sum(bool(head.sent(n)) for n in fill) < 9


def test_ending_a_hopeless_request_may_pass_its_turn_to_another_shard():
    head = Head()
    for _ in range(3):
        head.take(shard=0)
    held = head.take("save", key="k", shard=0)
    head.take("save", key="k", shard=1)
    head.now += 0.7  # nothing waits for shard 1 yet; the end of the first makes its lane
    head.give(api.Timer(1))
    assert held in head.finals


def test_an_attempt_times_out_at_the_aim_so_that_nodes_may_drop_it_from_their_queues():
    head = Head()
    assert head.sent(head.take())[0].timeout <= 0.5
    head = Head()
    assert head.sent(head.take(time_left=0.2))[0].timeout < 0.2


def test_a_silent_node_is_backed_off_from_and_taken_up_again():
    head = Head()
    head.answer(head.take())
    for _ in range(60):
        name = head.take()
        head.wait(0.1)
        for late in [n for n, job in head.head.jobs.items() if job.out and head.now - job.taken_at > 0.5]:
            number = head.attempts[late] - 1
            head.give(api.Outcome(late, number, "n0", Status.TIMEOUT, 0.5))
    assert len(head.sent()) <= 20
    assert any(isinstance(a, api.Log) and "back off" in a.text for a in head.actions)
    head.wait(8)
    head.answer(name := head.take())
    assert head.sent(name) and not head.head.nodes["n0"].fails


def test_lesser_work_waits_for_a_shorter_queue_than_what_is_inside_the_reserve():
    head = Head()
    head.answer(head.take())
    node = head.head.nodes["n0"]
    head.head.set.share_worth = 0.3
    node.wait, node.seen_at = 0.35, head.now
    spare, owed = head.take(volume="spare"), head.take(plan="paid", volume="owed")
    assert head.sent(owed) and not head.sent(spare)
    head.answer(owed)
    head.wait(0.3)  # what is old is believed less
    assert head.sent(spare)


def test_what_nobody_waits_for_any_more_is_cancelled_and_frees_its_key():
    head = Head(can_cancel=True)
    first = head.take("save", key="k")
    second = head.take("save", key="k")
    head.give(api.Gone(first))
    assert api.Cancel(first, 0) in head.actions and not head.sent(second)
    head.give(api.Outcome(first, 0, "n0", Status.CANCELLED, 0.1, closed=True))
    assert head.sent(second)


def test_where_answers_get_lost_attempts_overdue_by_far_are_tried_again():
    head = Head()
    for _ in range(3):
        name = head.take()
        assert head.sent(name)[0].timeout == 0.5
        head.answer(name)
    for _ in range(2):  # each times out though a later send was answered
        lost = head.take()
        head.wait(0.05)
        head.answer(head.take())
        head.answer(lost, Status.TIMEOUT)
        head.answer(lost)  # of its next attempt
    lost = head.take()
    assert head.sent(lost)[0].timeout < 0.4
    head.wait(0.2)
    head.answer(lost, Status.TIMEOUT)
    assert len(head.sent(lost)) == 2
    once = head.take("once")
    head.answer(once, Status.TIMEOUT)
    assert len(head.sent(once)) == 1


def test_the_work_of_one_class_is_not_taken_for_a_queue_in_another():
    """Reads take twice as long a unit as the rest, and units are told rounded up: neither is a sign of load."""
    head = Head(nodes=1)
    for _ in range(30):
        for cls, units, latency in (("save", 2, 0.015), ("read", 1, 0.01), ("read", 2, 0.03), ("read", 3, 0.05)):
            name = head.take(cls, units=units)
            head.give(api.Outcome(name, 0, "n0", Status.OK, latency, closed=True))
            head.now += 0.05
    node = head.head.nodes["n0"]
    assert node.wait < 0.001 and node.window >= 3


def test_a_shard_long_without_a_node_holds_nothing_and_is_served_again_once_it_has_one():
    head = Head(nodes=1)
    head.give(NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]))
    held = head.take()
    head.wait(0.4)  # a node may just be being replaced
    assert held not in head.finals
    head.wait(0.15)
    held, new = head.take(), head.take(shard=-1)
    assert isinstance(head.finals[held], api.Refuse) and new not in head.finals
    head.give(NodeList(ListKind.DELTA, [entry(0)]))
    assert head.sent(head.take())
    head.give(NodeList(ListKind.DELTA, [entry(0, state=NodeState.GONE)]))
    assert head.take() not in head.finals  # the next absence counts from its own beginning


def test_a_node_is_not_starved_for_good_by_one_bad_estimate():
    head = Head()
    head.answer(head.take())
    head.head.nodes["n0"].best["read"] = 50.0
    assert head.sent(head.take(units=8))


def test_two_connections_that_break_stop_nobody_while_two_that_never_come_up_do():
    for status, room in ((Status.RESET, 2), (Status.CONNECT_FAILED, 0)):
        head = Head(nodes=1)
        for _ in range(2):
            head.answer(head.take("once"), status)
            head.now += 0.001
        names = [head.take("once") for _ in range(2)]
        assert sum(bool(head.sent(name)) for name in names) == room, status


def test_attempts_that_fail_together_are_one_trouble():
    head = Head(nodes=1)
    names = [head.take() for _ in range(3)]
    assert all(head.sent(n) for n in names)
    head.wait(0.5)
    for name in names:
        head.answer(name, Status.TIMEOUT)
    assert head.head.nodes["n0"].fails == 1


def test_a_refusal_says_when_to_come_back_where_the_settings_allow_it():
    for advises, least, most in ((True, 0.1, 0.4), (False, 0.0, 0.0)):
        head = Head(nodes=0, advises_pause=advises, max_pause=0.4)
        name = head.take()
        head.wait(4)
        assert least <= head.finals[name].pause <= most


def test_a_client_that_claims_to_have_for_ever_takes_no_time_from_the_others():
    head = Head(1)
    head.take(time_left=1e6)
    head.take(time_left=4.0)
    assert len(head.sent()) == 2  # the second is no repeat that has spent its aim
    head.wait(5.0)
    assert set(head.finals) == {"r1", "r2"}  # and the first is not held for ever
