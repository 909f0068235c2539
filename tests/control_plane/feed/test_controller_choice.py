"""Which controller a router follows."""

from ochrespan.control_plane.feed.controller_choice import CONTROLLER_TTL_S, MAX_BACKOFF_S, ControllerChoice

A, B, C = ("10.0.0.1", 7500), ("10.0.0.2", 7500), ("10.0.0.3", 7500)
ZONES = {A: "a", B: "b", C: "c"}


def test_routers_spread_over_controllers_of_other_zones():
    chosen = [ControllerChoice(f"edge-{number}", "z", [A, B, C]).best(0.0) for number in range(300)]
    assert all(60 < chosen.count(address) < 140 for address in (A, B, C))


def test_a_controller_in_the_own_zone_goes_first_once_zones_are_known():
    choice = ControllerChoice("edge-1", "c", [A])
    choice.update(ZONES, 0.0)
    assert choice.best(0.0) == C
    assert choice.is_nearer_available(A, 0.0) and not choice.is_nearer_available(C, 0.0)


def test_the_backoff_of_a_controller_grows_with_each_failure_and_ends():
    choice = ControllerChoice("edge-1", "c", [A, B, C])
    choice.update(ZONES, 0.0)
    choice.record_failure(C, 0.0, 1.0)
    assert choice.best(0.1) != C and not choice.is_nearer_available(A, 0.1)
    assert choice.best(0.5) == C
    for _ in range(20):
        choice.record_failure(C, 0.0, 1.0)
    assert choice.best(MAX_BACKOFF_S - 0.1) != C and choice.best(MAX_BACKOFF_S + 0.1) == C
    choice.record_success(C)
    choice.record_failure(C, 10.0, 1.0)
    assert choice.best(10.5) == C


def test_when_all_have_failed_the_first_out_of_backoff_is_tried_after_a_delay():
    choice = ControllerChoice("edge-1", "z", [A, B])
    choice.record_failure(A, 0.0, 1.0)
    choice.record_failure(B, 0.0, 0.0)
    assert choice.best(0.0) == B
    assert 0 < choice.retry_delay_s(0.0, 0.0) < choice.retry_delay_s(0.0, 1.0) <= 0.6


def test_controllers_that_are_no_longer_named_expire_but_not_the_seeds():
    choice = ControllerChoice("edge-1", "c", [A])
    choice.update({C: "c"}, 0.0)
    choice.update({B: "b"}, CONTROLLER_TTL_S + 1)
    assert choice.best(CONTROLLER_TTL_S + 1) in (A, B)
    choice.set_seeds([B])
    choice.update({}, 3 * CONTROLLER_TTL_S)
    assert choice.best(3 * CONTROLLER_TTL_S) == B


def test_another_controller_is_available_only_after_its_backoff():
    choice = ControllerChoice("edge-1", "z", [A, B])
    assert choice.is_other_available(A, 0.0)
    choice.record_failure(B, 0.0, 1.0)
    assert not choice.is_other_available(A, 0.1) and choice.is_other_available(A, 0.5)
    assert not ControllerChoice("edge-1", "z", [A]).is_other_available(A, 0.0)


def test_the_connect_timeout_is_short_at_first_and_doubles_with_each_failure():
    choice = ControllerChoice("edge-1", "z", [A, B])
    timeouts = []
    for _ in range(5):
        timeouts.append(choice.connect_timeout_s(A))
        choice.record_failure(A, 0.0, 1.0)
    assert timeouts == [0.25, 0.5, 1.0, 1.0, 1.0]
    choice.record_success(A)
    assert choice.connect_timeout_s(A) == 0.25
