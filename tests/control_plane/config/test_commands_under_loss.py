"""One command wins on each version while operators race, responses are lost, and controllers crash, disconnect and
compact their logs."""

import dataclasses

import pytest

from ochrespan.control_plane.config import state_machine
from ochrespan.control_plane.config.state_machine import CommandOutcome, ConfigurationStateMachine
from tests.support.raft_simulation.checks import Violation
from tests.support.raft_simulation.faults import RECOVERY_S, HarshFaultInjector
from tests.support.raft_simulation.operators import ConfigMachine, Operator, ResponseLog
from tests.support.raft_simulation.world import World

SECONDS = 25.0


def run_operators(seed: int, size: int = 3, tolerated: int = 1, gap_s: float = 0.8) -> tuple[World, ResponseLog]:
    world, response_log = World(seed, size, tolerated), ResponseLog()
    world.machine_type = ConfigMachine
    world.run(3.0)
    operators = [Operator(world, response_log, name) for name in "ab"]
    faults = HarshFaultInjector(world)
    faults.begin(gap_s, world.now + SECONDS)
    world.run(SECONDS)
    faults.end()
    world.run(RECOVERY_S)
    assert min(operator.responses for operator in operators) > 5
    newest = max(
        (node.machines[0].configuration for node in world.nodes.values()), key=lambda machine: machine.current.version
    )
    response_log.check_final_state(newest)
    return world, response_log


@pytest.mark.parametrize(
    ("size", "tolerated", "seed"),
    [(size, tolerated, seed) for size, tolerated, count in [(3, 1, 12), (5, 2, 6)] for seed in range(count)],
)
def test_one_of_two_operators_wins_and_no_accepted_command_is_rejected(size, tolerated, seed):
    _, response_log = run_operators(seed, size, tolerated)
    assert len(response_log.confirmed) > 10
    assert response_log.rejected
    assert response_log.retries_confirmed


def assert_detected(rules: set[str]) -> None:
    for seed in range(20):
        try:
            run_operators(seed)
        except Violation as violation:
            assert violation.rule in rules, str(violation)
            return
        except AssertionError:
            continue
    pytest.fail("no violation was detected")


def test_a_snapshot_without_the_accepted_commands_is_detected(monkeypatch):
    original = ConfigurationStateMachine.restore

    def forgetting(self, data):
        original(self, data)
        self._accepted_versions = {}

    monkeypatch.setattr(ConfigurationStateMachine, "restore", forgetting)
    assert_detected({"a retry rejected", "a confirmed command is not in force"})


def test_a_rejection_on_a_version_that_does_not_exist_yet_is_detected(monkeypatch):
    """A delayed copy of a rejected command is accepted once that version exists; the checker must detect this."""
    original = ConfigurationStateMachine._evaluate

    def reject(self, command):
        result = original(self, command)
        if result.outcome is CommandOutcome.VERSION_NOT_REACHED:
            return dataclasses.replace(result, outcome=CommandOutcome.VERSION_CONFLICT)
        return result

    monkeypatch.setattr(ConfigurationStateMachine, "_evaluate", reject)
    assert_detected({"confirmed after a rejection", "a rejected command is in force"})


def test_commands_that_build_on_any_version_are_detected(monkeypatch):
    original = ConfigurationStateMachine._evaluate

    def on_any_version(self, command):
        command.builds_on = self.current.version
        return original(self, command)

    monkeypatch.setattr(ConfigurationStateMachine, "_evaluate", on_any_version)
    assert_detected({"two commands on one version"})


def test_a_command_that_is_too_old_gets_no_outcome_instead_of_a_rejection(monkeypatch):
    monkeypatch.setattr(state_machine, "MAX_REMEMBERED_COMMANDS", 2)
    for seed in range(4):
        world, response_log = World(seed), ResponseLog()
        world.machine_type = ConfigMachine
        world.run(3.0)
        operator = Operator(world, response_log, "a")
        world.run(20.0)
        assert operator.responses > 5
