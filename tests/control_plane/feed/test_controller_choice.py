"""Which controller a router follows."""

import random

import pytest

from ochrespan.common.addresses import Address
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
    assert choice.nearer(A, 0.0) == C and choice.nearer(C, 0.0) is None


def test_the_backoff_of_a_controller_grows_with_each_failure_and_ends():
    choice = ControllerChoice("edge-1", "c", [A, B, C])
    choice.update(ZONES, 0.0)
    choice.record_failure(C, 0.0, 1.0)
    assert choice.best(0.1) != C and choice.nearer(A, 0.1) is None
    assert choice.nearer(A, 0.5) == C
    for _ in range(20):
        choice.record_failure(C, 0.0, 1.0)
    assert choice.nearer(A, MAX_BACKOFF_S - 0.1) is None and choice.nearer(A, MAX_BACKOFF_S + 0.1) == C
    choice.record_success(C)
    assert choice.best(9.9) == C
    choice.record_failure(C, 10.0, 1.0)
    assert choice.best(10.1) != C and choice.nearer(A, 10.5) == C


def test_a_controller_that_failed_is_tried_after_those_that_have_waited_longer():
    choice = ControllerChoice("edge-1", "c", [A, B, C])
    choice.update(ZONES, 0.0)
    choice.record_failure(C, 0.0, 1.0)
    assert choice.best(1.0) in (A, B)
    choice.record_failure(A, 1.0, 1.0)
    choice.record_failure(B, 1.0, 1.0)
    assert choice.best(2.0) == C


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
    choice.update({}, 5 * CONTROLLER_TTL_S)
    choice.record_failure(B, 5 * CONTROLLER_TTL_S, 1.0)
    assert choice.best(5 * CONTROLLER_TTL_S) == B  # there is no other any more


def test_a_seed_that_is_dropped_while_the_router_connects_to_it_ends_nothing():
    choice = ControllerChoice("edge-1", "c", [A, B])
    connecting_to = choice.best(700.0)
    choice.set_seeds([])
    choice.update({C: "c"}, 700.0)
    choice.update({C: "c"}, 701.0 + CONTROLLER_TTL_S)
    assert choice.connect_timeout_s(connecting_to) > 0
    assert choice.nearer(connecting_to, 800.0) == C
    choice.record_failure(connecting_to, 800.0, 1.0)
    choice.record_success(connecting_to)
    assert choice.best(800.0) == C


def test_without_any_controller_the_router_waits():
    choice = ControllerChoice("edge-1", "c", [])
    assert choice.best(0.0) is None and choice.retry_delay_s(0.0, 0.0) > 0


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


def test_controllers_that_a_feed_no_longer_lists_come_after_the_listed_ones_and_are_not_nearer():
    choice = ControllerChoice("edge-1", "c", [A, C])
    choice.update(ZONES, 0.0)
    choice.update({A: "a"}, 1.0)
    assert choice.best(1.0) == A and choice.nearer(A, 1.0) is None
    assert not choice.is_other_available(A, 1.0)
    choice.add({C: "c"})  # membership has found it alive
    assert choice.nearer(A, 1.0) == C


OTHER_ZONES = {("10.2.0.1", 7500): "b", ("10.3.0.1", 7500): "c"}
MAX_SECONDS_WITHOUT_FEED = 2.0
ROUTERS = 200


class Outage:
    """The time in which a router finds a live controller on a virtual clock, with dead ones of its own zone known.

    Args:
        seed: Names the router and seeds the jitter.
        dead: The number of replaced controllers of the router's zone.
        own_zone_lives: Whether the zone has a live controller.
    """

    def __init__(self, seed: int, dead: int, own_zone_lives: bool) -> None:
        self.now = 1000.0
        self.longest_s = 0.0
        self._random = random.Random(seed)
        self._dead = {(f"10.1.0.{number + 1}", 7500): "a" for number in range(dead)}
        self._live = {**OTHER_ZONES, **({("10.1.1.1", 7500): "a"} if own_zone_lives else {})}
        self.choice = ControllerChoice(f"edge-{seed}", "a", [*self._dead, *self._live])
        self.choice.update({**self._dead, **self._live}, self.now)
        self.choice.set_seeds(self._live)

    def find_feed(self) -> Address:
        """Tries controllers until one is live; each dead one takes as long as its time-out."""
        lost_at = self.now
        while (address := self.choice.best(self.now)) not in self._live and self.now - lost_at < 60.0:
            self.now += self.choice.connect_timeout_s(address)
            self.choice.record_failure(address, self.now, self._random.random())
            self.now += self.choice.retry_delay_s(self.now, self._random.random())
        self.longest_s = max(self.longest_s, self.now - lost_at)
        self.choice.record_success(address)
        return address

    def follow(self, address: Address, seconds: float) -> None:
        """Follows a controller, which lists the live ones, until another one is nearer or the time is over."""
        started_at = self.now
        while self.now - started_at < seconds:
            self.now += 0.5
            self.choice.update(self._live, self.now)
            if self.now - started_at > 5.0 and self.choice.nearer(address, self.now) is not None:
                return


@pytest.mark.parametrize("own_zone_lives", [True, False])
@pytest.mark.parametrize("dead", range(7))
def test_dead_controllers_of_the_own_zone_do_not_keep_a_router_from_a_live_one(dead, own_zone_lives):
    for seed in range(ROUTERS):
        outage = Outage(seed, dead, own_zone_lives)
        outage.follow(outage.find_feed(), 3.0)
        for _ in range(6):  # each controller that it follows is lost after a time
            address = outage.find_feed()
            outage.follow(address, 12.0)
            outage.choice.record_failure(address, outage.now, 1.0)
        assert outage.longest_s < MAX_SECONDS_WITHOUT_FEED, f"router {seed}"
