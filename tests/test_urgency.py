"""The priority that a server is given: by what a prompt costs to read, moved by the rank of tenant and route."""

from ochrespan.data_plane.scheduler import Send
from ochrespan.data_plane.urgency import MOST_SIZE, STEPS, Ranks, server_priority

from .scheduling import PLAIN, scheduler, submit

LOWEST_HEADER = 9


def test_ranks_spread_over_the_steps_in_the_order_of_the_priorities_in_use():
    ranks = Ranks()
    assert [ranks.note(priority) for priority in (5, 0, 9, 5)] == [True, True, True, False]
    assert [ranks.step(priority) for priority in (0, 5, 9)] == [0, STEPS / 2, STEPS]


def test_a_single_rank_is_the_highest():
    ranks = Ranks()
    ranks.note(7)
    assert ranks.step(7) == 0


def test_longer_prompts_are_never_more_urgent_and_the_header_stays_within_its_range():
    for step in range(STEPS + 1):
        given = [server_priority(step, cost) for cost in (0, 100, 900, 1_100, 5_000, 20_000, 1e9)]
        assert given == sorted(given)
        assert given[0] == step and given[-1] == MOST_SIZE + step <= LOWEST_HEADER


def test_of_two_like_requests_the_one_of_the_higher_rank_gets_the_more_urgent_priority():
    made = scheduler(servers=6)
    sent = []
    for number, priority in ((1, 0), (2, 3), (3, 0), (4, 3)):
        sent += submit(made, number, like=PLAIN, priority=priority, route=f"route{priority}")
    assert all(isinstance(action, Send) for action in sent)
    assert sent[2].priority < sent[3].priority
