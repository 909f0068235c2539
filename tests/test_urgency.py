"""The `Priority` header for a server: the prefill cost of the prompt, shifted by the rank of tenant and route."""

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


def test_longer_prompts_are_never_more_urgent_and_the_header_stays_in_range():
    for step in range(RANK_STEPS + 1):
        priorities = [server_priority(step, cost) for cost in (0, 100, 900, 1_100, 5_000, 20_000, 1e9)]
        assert priorities == sorted(priorities)
        assert priorities[0] == step and priorities[-1] == MAX_SIZE_STEP + step <= LOWEST_HEADER


def test_of_two_equal_requests_the_one_of_higher_rank_gets_the_more_urgent_priority():
    sched = scheduler(servers=6)
    sent = []
    for number, priority in ((1, 0), (2, 3), (3, 0), (4, 3)):
        sent += submit(sched, number, template=PLAIN, priority=priority, route=f"route{priority}")
    assert all(isinstance(action, Send) for action in sent)
    assert sent[2].priority < sent[3].priority


def test_a_prompt_whose_prefix_is_not_cached_counts_in_full():
    prompt = {"prefix": (("subject", 16_000), ("own", 1000)), "tokens_in": 17_000, "affinity_server_id": "i1"}
    sched = scheduler()
    (uncached,) = submit(sched, 1, **prompt, is_prefix_uncached=True)
    (cached,) = submit(sched, 2, **prompt, is_prefix_uncached=True)  # sent there just before, so it counts as cached
    assert (uncached.server_id, cached.server_id) == ("i1", "i1")
    assert uncached.priority > cached.priority
    (assumed,) = submit(scheduler(), 3, **prompt)
    assert assumed.priority == cached.priority


def test_the_expected_wait_includes_the_prefill_of_an_uncached_prompt():
    sched = scheduler()
    prompt = {"prefix": (("subject", 50_000), ("own", 1000)), "tokens_in": 51_000, "affinity_server_id": "i1"}
    submit(sched, 1, **prompt, is_prefix_uncached=True)
    small = {"prefix": (("other", 300), ("own", 100)), "tokens_in": 400, "affinity_server_id": "i1"}
    (action,) = submit(sched, 2, **small)
    assert action.server_id != "i1"
