"""The filter of the router count: increases at once, decreases after a delay."""

from ochrespan.control_plane.feed.router_count import DECREASE_DELAY_S, RouterCountFilter


def test_a_router_count_increases_at_once_and_decreases_after_a_delay():
    count = RouterCountFilter()
    assert [count.update(reported, at) for reported, at in ((3, 0.0), (9, 1.0), (2, 1.5), (4, 2.0))] == [3, 9, 9, 9]
    assert count.update(4, 1.0 + DECREASE_DELAY_S) == 9
    assert count.update(4, 1.1 + DECREASE_DELAY_S) == 4
