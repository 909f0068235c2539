"""One winner under one number: operators race and lose answers while the core is killed, cut, wiped and compacted."""

import pytest

from ochrespan.control_plane.config import state_machine as orders
from ochrespan.control_plane.config.state_machine import ConfigurationStateMachine
from tests.support.raft_simulation.checks import Violation
from tests.support.raft_simulation.faults import SETTLE_S, HarshFaultInjector
from tests.support.raft_simulation.operators import ConfigMachine, Operator, ResponseLog
from tests.support.raft_simulation.world import World

SECONDS = 25.0


def play_orders(seed: int, size: int = 3, tolerated: int = 1, gap_s: float = 0.8) -> tuple[World, ResponseLog]:
    world, book = World(seed, size, tolerated), ResponseLog()
    world.machine_type = ConfigMachine
    world.run(3.0)
    operators = [Operator(world, book, name) for name in "ab"]
    faults = HarshFaultInjector(world)
    faults.begin(gap_s, world.now + SECONDS)
    world.run(SECONDS)
    faults.end()
    world.run(SETTLE_S)
    assert min(operator.responses for operator in operators) > 5
    newest = max(
        (node.machines[0].configuration for node in world.nodes.values()), key=lambda machine: machine.current.version
    )
    book.at_the_end(newest)
    return world, book


@pytest.mark.parametrize(
    ("size", "tolerated", "seed"),
    [(size, tolerated, seed) for size, tolerated, count in [(3, 1, 12), (5, 2, 6)] for seed in range(count)],
)
def test_of_two_operators_one_wins_and_no_order_that_was_taken_is_refused(size, tolerated, seed):
    _, book = play_orders(seed, size, tolerated)
    assert len(book.confirmed) > 10
    assert book.rejected
    assert book.retries_confirmed


def caught(rules: set[str]) -> None:
    for seed in range(20):
        try:
            play_orders(seed)
        except Violation as violation:
            assert violation.rule in rules, str(violation)
            return
        except AssertionError:
            continue
    pytest.fail("no violation was told")


def test_a_memory_that_a_snapshot_lacks_is_caught_as_a_repeat_refused(monkeypatch):
    original = ConfigurationStateMachine.restore

    def forgetting(self, data):
        original(self, data)
        self._taken = {}

    monkeypatch.setattr(ConfigurationStateMachine, "restore", forgetting)
    caught({"a retry rejected", "a confirmed command is not in force"})


def test_orders_that_do_not_say_what_they_build_on_are_caught_as_two_on_one_version(monkeypatch):
    original = ConfigurationStateMachine._judge

    def on_any_version(self, order):
        order.builds_on = self.current.version
        return original(self, order)

    monkeypatch.setattr(ConfigurationStateMachine, "_judge", on_any_version)
    caught({"two commands on one version"})


def test_an_order_that_is_forgotten_gets_no_verdict_instead_of_a_refusal(monkeypatch):
    monkeypatch.setattr(orders, "MAX_REMEMBERED_COMMANDS", 2)
    for seed in range(4):
        world, book = World(seed), ResponseLog()
        world.machine_type = ConfigMachine
        world.run(3.0)
        operator = Operator(world, book, "a")
        world.run(20.0)
        assert operator.responses > 5
