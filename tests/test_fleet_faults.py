"""Real controllers and routers with faults: which version does every router have, and within the bound?"""

from __future__ import annotations

import os
from pathlib import Path
from time import monotonic, sleep

import pytest

from tests.support.fleet_processes.bounds import APPLY_S, CONTACT_S, Trouble, Troubles, find_violations
from tests.support.fleet_processes.faults import play, report, start_fleet
from tests.support.fleet_processes.fleet import ZONES, Fleet
from tests.support.fleet_processes.observer import Observer, Sample
from tests.support.fleet_processes.operator import Acknowledgement, Operator

FIRST_NET = 120  # of the loopback addresses 127.NET.*
NETS = 100  # so that several runs of this file may share a machine
SEEDS_WITH_FAULTS = (109,)
FAULTS_S = 40.0
REPLACEMENTS = 3
REJOIN_TIMEOUT_S = 30.0


@pytest.fixture
def net() -> int:
    return FIRST_NET + os.getpid() % NETS


def test_every_router_follows_after_the_controller_of_a_zone_was_replaced_three_times(tmp_path: Path, net: int):
    """The routers of that zone know three dead addresses when the fourth controller has an outage of its own."""
    fleet = Fleet(tmp_path, net)
    operator = Operator(fleet, seed=1)
    observer = Observer(fleet, operator)
    troubles = Troubles()
    try:
        start_fleet(fleet, operator)
        for name in fleet.routers:
            troubles.routers[name] = [Trouble("start", 0.0, monotonic())]
        observer.start()
        member = next(each for each in fleet.controllers.values() if each.zone == ZONES[0])
        for _ in range(REPLACEMENTS):
            fleet.wait_until_loss_is_tolerated(REJOIN_TIMEOUT_S)
            member = fleet.replace_controller(member)
            fleet.write_all_settings()
            fleet.start(member)
        fleet.wait_until_loss_is_tolerated(REJOIN_TIMEOUT_S)
        fleet.kill(member)
        troubles.minority.append(Trouble("replaced, then killed", 0.0, monotonic()))
        sleep(4 * CONTACT_S)
        operator.stop()
        sleep(APPLY_S)
        observer.stop()
    finally:
        fleet.close()
    violations = find_violations(observer.samples, operator.acknowledgements, troubles)
    assert not violations, "\n".join(map(str, violations[:5]))
    assert {each.router for each in observer.samples if each.feed is not None} == set(fleet.routers)
    assert all(
        each.feed["version"] == operator.version
        for each in {sample.router: sample for sample in observer.samples}.values()
        if each.feed is not None
    )


@pytest.mark.parametrize("seed", SEEDS_WITH_FAULTS)
def test_every_router_in_touch_has_each_version_in_time_with_faults_of_this_seed(seed: int, tmp_path: Path, net: int):
    result = play(tmp_path, net, seed, FAULTS_S)
    assert not result.violations and not result.problems, report(seed, result)
    assert result.bounded_samples > result.samples / 4  # otherwise the run has shown little


# The checks themselves


def sample(at: float, version: int, router: str = "edge-1", life: int = 1, status: int = 503, asked: int = 1) -> Sample:
    return Sample(router, life, at, asked, status, {"version": version})


ACKNOWLEDGEMENTS = [Acknowledgement(1, 0.0, "core-1"), Acknowledgement(4, 10.0, "core-1")]


def kinds(samples: list[Sample], troubles: Troubles | None = None) -> list[str]:
    return [each.kind for each in find_violations(samples, ACKNOWLEDGEMENTS, troubles or Troubles())]


def test_a_version_is_due_two_seconds_after_its_acknowledgement():
    assert kinds([sample(11.9, 1)]) == []
    assert kinds([sample(12.1, 1)]) == ["older version told"]
    assert kinds([sample(12.1, 4, status=404, asked=4)]) == ["older version served"]


def test_troubles_of_controllers_extend_the_bound_and_those_of_the_router_suspend_it():
    minority = Troubles(minority=[Trouble("killed", 11.0, 11.0)])
    assert kinds([sample(13.9, 1)], minority) == [] and kinds([sample(14.1, 1)], minority) == ["older version told"]
    lasting = Troubles(minority=[Trouble("frozen", 11.0)])
    assert kinds([sample(16.9, 1)], lasting) == [] and kinds([sample(17.1, 1)], lasting) == ["older version told"]
    own = Troubles(routers={"edge-1": [Trouble("frozen", 9.0, 20.0)]})
    assert kinds([sample(22.9, 1)], own) == [] and kinds([sample(23.1, 1)], own) == ["older version told"]


def test_a_process_that_tells_an_older_version_than_before_has_regressed():
    assert kinds([sample(1.0, 1), sample(11.0, 4), sample(11.5, 1)]) == ["regressed"]
    assert kinds([sample(11.0, 4, life=1), sample(11.5, 1, life=2)]) == []
