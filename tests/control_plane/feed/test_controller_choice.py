"""Which controller a router follows."""

from ochrespan.control_plane.feed.controller_choice import CONTROLLER_TTL_S, MAX_BACKOFF_S, ControllerChoice

A, B, C = ("10.0.0.1", 7500), ("10.0.0.2", 7500), ("10.0.0.3", 7500)
ZONES = {A: "a", B: "b", C: "c"}


def test_routers_spread_over_controllers_of_other_zones():
    chosen = [ControllerChoice(f"edge-{number}", "z", [A, B, C]).best(0.0) for number in range(300)]
    assert all(60 < chosen.count(address) < 140 for address in (A, B, C))


def test_a_controller_in_the_own_zone_goes_first_once_zones_are_known():
    choice = ControllerChoice("edge-1", "c", [A])
    choice.told(ZONES, 0.0)
    assert choice.best(0.0) == C
    assert choice.is_nearer_than(A, 0.0) and not choice.is_nearer_than(C, 0.0)


def test_one_that_failed_rests_for_longer_each_time_and_then_gets_another_chance():
    choice = ControllerChoice("edge-1", "c", [A, B, C])
    choice.told(ZONES, 0.0)
    choice.failed(C, 0.0, 1.0)
    assert choice.best(0.1) != C and not choice.is_nearer_than(A, 0.1)
    assert choice.best(0.5) == C
    for _ in range(20):
        choice.failed(C, 0.0, 1.0)
    assert choice.best(MAX_BACKOFF_S - 0.1) != C and choice.best(MAX_BACKOFF_S + 0.1) == C
    choice.succeeded(C)
    choice.failed(C, 10.0, 1.0)
    assert choice.best(10.5) == C


def test_when_all_have_failed_the_first_to_have_rested_is_tried_after_a_pause():
    choice = ControllerChoice("edge-1", "z", [A, B])
    choice.failed(A, 0.0, 1.0)
    choice.failed(B, 0.0, 0.0)
    assert choice.best(0.0) == B
    assert 0 < choice.pause(0.0, 0.0) < choice.pause(0.0, 1.0) <= 0.6


def test_controllers_that_are_told_of_no_more_are_forgotten_but_not_the_seeds():
    choice = ControllerChoice("edge-1", "c", [A])
    choice.told({C: "c"}, 0.0)
    choice.told({B: "b"}, CONTROLLER_TTL_S + 1)
    assert choice.best(CONTROLLER_TTL_S + 1) in (A, B)
    choice.add_seeds([B])
    choice.told({}, 3 * CONTROLLER_TTL_S)
    assert choice.best(3 * CONTROLLER_TTL_S) == B


def test_another_controller_is_worth_a_try_only_once_it_has_rested():
    choice = ControllerChoice("edge-1", "z", [A, B])
    assert choice.another_has_rested(A, 0.0)
    choice.failed(B, 0.0, 1.0)
    assert not choice.another_has_rested(A, 0.1) and choice.another_has_rested(A, 0.5)
    assert not ControllerChoice("edge-1", "z", [A]).another_has_rested(A, 0.0)


def test_a_machine_that_says_nothing_holds_a_router_up_for_a_short_time_at_first():
    choice = ControllerChoice("edge-1", "z", [A, B])
    timeouts = []
    for _ in range(5):
        timeouts.append(choice.connect_timeout(A))
        choice.failed(A, 0.0, 1.0)
    assert timeouts == [0.25, 0.5, 1.0, 1.0, 1.0]
    choice.succeeded(A)
    assert choice.connect_timeout(A) == 0.25
