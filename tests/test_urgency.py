"""The priority that a server is given: by what a prompt costs to read, moved by the rank of tenant and route."""

from ochrespan.data_plane.scheduler import Send
from ochrespan.data_plane.urgency import MAX_SIZE_STEP, RANK_STEPS, PriorityRanks, server_priority

from .scheduling import PLAIN, scheduler, submit

LOWEST_HEADER = 9


def test_ranks_spread_over_the_steps_in_the_order_of_the_priorities_in_use():
    ranks = PriorityRanks()
    assert [ranks.add(priority) for priority in (5, 0, 9, 5)] == [True, True, True, False]
    assert [ranks.step(priority) for priority in (0, 5, 9)] == [0, RANK_STEPS / 2, RANK_STEPS]


def test_a_single_rank_is_the_highest():
    ranks = PriorityRanks()
    ranks.add(7)
    assert ranks.step(7) == 0


def test_longer_prompts_are_never_more_urgent_and_the_header_stays_within_its_range():
    for step in range(RANK_STEPS + 1):
        given = [server_priority(step, cost) for cost in (0, 100, 900, 1_100, 5_000, 20_000, 1e9)]
        assert given == sorted(given)
        assert given[0] == step and given[-1] == MAX_SIZE_STEP + step <= LOWEST_HEADER


def test_of_two_like_requests_the_one_of_the_higher_rank_gets_the_more_urgent_priority():
    made = scheduler(servers=6)
    sent = []
    for number, priority in ((1, 0), (2, 3), (3, 0), (4, 3)):
        sent += submit(made, number, like=PLAIN, priority=priority, route=f"route{priority}")
    assert all(isinstance(action, Send) for action in sent)
    assert sent[2].priority < sent[3].priority


def test_a_prompt_whose_shared_parts_no_server_has_read_counts_whole():
    subject = {"prefix": (("subject", 16_000), ("own", 1000)), "tokens_in": 17_000, "affinity_server_id": "i1"}
    made = scheduler()
    (unread,) = submit(made, 1, **subject, is_prefix_uncached=True)
    (kept,) = submit(made, 2, **subject, is_prefix_uncached=True)  # sent there a moment ago, so it is kept by then
    assert (unread.server_id, kept.server_id) == ("i1", "i1")
    assert unread.priority > kept.priority
    (known,) = submit(scheduler(), 3, **subject)
    assert known.priority == kept.priority


def test_the_wait_behind_an_unread_prompt_is_expected():
    made = scheduler()
    subject = {"prefix": (("subject", 50_000), ("own", 1000)), "tokens_in": 51_000, "affinity_server_id": "i1"}
    submit(made, 1, **subject, is_prefix_uncached=True)
    small = {"prefix": (("other", 300), ("own", 100)), "tokens_in": 400, "affinity_server_id": "i1"}
    (action,) = submit(made, 2, **small)
    assert action.server_id != "i1"
