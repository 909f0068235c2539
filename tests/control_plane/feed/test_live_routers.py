"""The live routers as a controller knows them."""

import pytest

from ochrespan.control_plane.feed.live_routers import STARTUP_WAIT_S, LiveRouters, RouterPosition
from ochrespan.control_plane.feed.messages import ControllerReport


def test_live_routers_are_those_of_all_controllers_after_the_startup_wait():
    live_routers = LiveRouters(started_at=0.0)
    live_routers.update_subscribers({"b", "d"}, 1.0)
    assert live_routers.position_of("b", 1.0) == RouterPosition(0, 0)
    live_routers.record_report(ControllerReport("10.0.0.2", 7500, "z", ["a", "b"]), 1.0)
    live_routers.update_subscribers({"b", "d"}, STARTUP_WAIT_S)
    positions = [live_routers.position_of(each, STARTUP_WAIT_S) for each in "abd"]
    assert positions == [RouterPosition(3, 0), RouterPosition(3, 1), RouterPosition(3, 2)]
    assert live_routers.controllers() == [(("10.0.0.2", 7500), "z")]
    live_routers.update_subscribers({"b", "d"}, STARTUP_WAIT_S + 5.0)
    assert live_routers.position_of("d", STARTUP_WAIT_S + 5.0) == RouterPosition(2, 1)
    assert live_routers.controllers() == []


@pytest.mark.parametrize("name", ["0", "c", "z"])
def test_a_router_that_is_not_counted_yet_counts_itself(name):
    live_routers = LiveRouters(started_at=0.0)
    live_routers.update_subscribers({"b", "d"}, STARTUP_WAIT_S)
    assert live_routers.position_of(name, STARTUP_WAIT_S).count == 3


def test_routers_that_membership_finds_alive_count_before_they_subscribe():
    live_routers = LiveRouters(started_at=0.0)
    live_routers.set_members(["c", "a"])
    live_routers.update_subscribers({"b"}, STARTUP_WAIT_S)
    assert live_routers.routers() == ["a", "b", "c"]
    live_routers.set_members([])
    live_routers.update_subscribers({"b"}, STARTUP_WAIT_S + 5.0)
    assert live_routers.routers() == ["b"]
