"""Commands are accepted once and never rejected afterwards, by the state machine and across several controllers."""

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.control_plane.config import change_history, state_machine
from ochrespan.control_plane.config.commands import (
    ConfigCommandKind,
    encode_command,
    make_command,
    make_restore_command,
)
from ochrespan.control_plane.config.state_machine import CommandOutcome, ConfigurationStateMachine
from ochrespan.programs.fleetctl_commands.backup_file import Backup
from ochrespan.transport import compact
from tests.support.control_plane_world import World, configuration, route


def replace(generation, builds_on, *routes):
    return encode_command(make_command(ConfigCommandKind.REPLACE, builds_on, configuration(generation, *routes)))


def patch(generation, builds_on, **fields):
    return encode_command(make_command(ConfigCommandKind.PATCH, builds_on, {"generation": generation, **fields}))


def outcomes(machine, *commands):
    return [machine.apply(index, command).outcome for index, command in enumerate(commands, start=1)]


def test_a_repeated_command_is_accepted_once_and_acknowledged_again_also_after_later_versions():
    machine = ConfigurationStateMachine()
    first, second = replace(3, 0), patch(5, 3, upsert={"routes": [route("r2")]})
    assert outcomes(machine, first, first, second, second, first) == [
        CommandOutcome.ACCEPTED,
        CommandOutcome.ALREADY_ACCEPTED,
        CommandOutcome.ACCEPTED,
        CommandOutcome.ALREADY_ACCEPTED,
        CommandOutcome.ALREADY_ACCEPTED,
    ]
    assert machine.current.version == 5


def test_the_digest_does_not_depend_on_the_sequence_of_fields():
    document = configuration(3)
    reordered = dict(reversed(document.items()))
    assert (
        make_command(ConfigCommandKind.REPLACE, 0, document).digest
        == make_command(ConfigCommandKind.REPLACE, 0, reordered).digest
    )
    assert (
        make_command(ConfigCommandKind.REPLACE, 0, document).digest
        != make_command(ConfigCommandKind.REPLACE, 1, document).digest
    )


def test_the_digest_does_not_depend_on_how_numbers_are_written():
    plain, other = configuration(3, route("a", timeout_ms=8000)), configuration(3, route("a", timeout_ms=8000.0))
    commands = [make_command(kind, 0, document) for kind in ConfigCommandKind for document in (plain, other)]
    assert commands[0].digest == commands[1].digest
    assert commands[2].digest == commands[3].digest
    assert commands[0].digest != commands[2].digest
    different = configuration(3, route("a", timeout_ms=8000.5))
    assert make_command(ConfigCommandKind.REPLACE, 0, different).digest != commands[0].digest


def test_of_two_changes_on_one_version_one_wins_whatever_their_numbers():
    machine = ConfigurationStateMachine()
    changes = replace(7, 5, route("a")), replace(7, 5, route("b")), replace(9, 5, route("c"))
    assert outcomes(machine, replace(5, 0), *changes) == [
        CommandOutcome.ACCEPTED,
        CommandOutcome.ACCEPTED,
        CommandOutcome.VERSION_CONFLICT,
        CommandOutcome.VERSION_CONFLICT,
    ]
    assert list(machine.current.routes) == ["a"]


def test_an_invalid_command_changes_nothing_and_is_invalid_again():
    machine = ConfigurationStateMachine()
    bad = replace(7, 5, route("a", service="nobody"))
    assert outcomes(machine, replace(5, 0), bad, bad, replace(5, 5, route("z"))) == [
        CommandOutcome.ACCEPTED,
        CommandOutcome.INVALID,
        CommandOutcome.INVALID,
        CommandOutcome.INVALID,
    ]
    assert machine.current.version == 5


def test_a_command_on_a_version_that_does_not_exist_yet_is_not_rejected_and_may_be_accepted_later():
    """A rejection is final, but a delayed copy of the command may arrive when that version exists and be accepted."""
    machine = ConfigurationStateMachine()
    early = replace(7, 5, route("a"))
    assert outcomes(machine, early, replace(5, 0), early, early) == [
        CommandOutcome.VERSION_NOT_REACHED,
        CommandOutcome.ACCEPTED,
        CommandOutcome.ACCEPTED,
        CommandOutcome.ALREADY_ACCEPTED,
    ]


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(1, 6), st.booleans()), max_size=30))
@settings(max_examples=200, deadline=None)
def test_a_rejected_command_is_never_accepted_later(drawn):
    machine = ConfigurationStateMachine()
    rejected = set()
    for index, (builds_on, step, is_patch) in enumerate(drawn, start=1):
        generation = builds_on + step
        command = patch(generation, builds_on) if is_patch else replace(generation, builds_on)
        outcome = machine.apply(index, command).outcome
        if outcome in (CommandOutcome.VERSION_CONFLICT, CommandOutcome.INVALID):
            rejected.add(command)
        elif outcome is CommandOutcome.ACCEPTED:
            assert command not in rejected


def restore(backup):
    return encode_command(make_restore_command(backup))


def test_a_restored_cluster_recognises_the_commands_that_were_accepted_before():
    machine, restored = ConfigurationStateMachine(), ConfigurationStateMachine()
    first, second = replace(3, 0, route("a")), patch(4, 3, upsert={"routes": [route("b")]})
    outcomes(machine, first, second)
    backup = restore(machine.backup())
    assert outcomes(restored, backup, backup, first, second, replace(9, 3), replace(9, 4)) == [
        CommandOutcome.ACCEPTED,
        CommandOutcome.ALREADY_ACCEPTED,
        CommandOutcome.ALREADY_ACCEPTED,
        CommandOutcome.ALREADY_ACCEPTED,
        CommandOutcome.VERSION_CONFLICT,
        CommandOutcome.ACCEPTED,
    ]
    assert [each["kind"] for each in restored.history.fields()] == ["restore", "whole"]
    assert restored.apply(9, backup).outcome is CommandOutcome.ALREADY_ACCEPTED


def test_a_cluster_restored_from_a_backup_without_commands_rejects_none_that_may_have_been_accepted():
    machine, restored = ConfigurationStateMachine(), ConfigurationStateMachine()
    first, second = replace(3, 0, route("a")), replace(4, 3)
    outcomes(machine, first, second)
    saved = Backup("2026-12-02T07:00:00+00:00", machine.current.document(), [])
    assert outcomes(restored, restore(saved.restore_document()), first, second, replace(9, 4)) == [
        CommandOutcome.ACCEPTED,
        CommandOutcome.TOO_OLD,
        CommandOutcome.TOO_OLD,
        CommandOutcome.ACCEPTED,
    ]


def test_a_backup_is_not_restored_over_a_configuration():
    machine = ConfigurationStateMachine()
    outcomes(machine, replace(3, 0))
    before = machine.snapshot()
    assert outcomes(machine, restore(machine.backup())) == [CommandOutcome.VERSION_CONFLICT]
    assert machine.snapshot() == before


def test_a_backup_with_an_invalid_configuration_changes_nothing():
    machine = ConfigurationStateMachine()
    backup = {
        "configuration": configuration(3, route("a", service="nobody")),
        "accepted_commands": [{"digest": "00" * 16, "version": 3}],
        "last_evicted_version": 2,
    }
    assert outcomes(machine, restore(backup), replace(5, 0)) == [CommandOutcome.INVALID, CommandOutcome.ACCEPTED]


def test_the_commands_evicted_before_a_backup_stay_evicted(monkeypatch):
    monkeypatch.setattr(state_machine, "MAX_REMEMBERED_COMMANDS", 2)
    machine, restored = ConfigurationStateMachine(), ConfigurationStateMachine()
    outcomes(machine, *(replace(version, version - 1) for version in range(1, 5)))
    outcomes(restored, restore(machine.backup()))
    assert outcomes(restored, replace(1, 0), replace(2, 1)) == [CommandOutcome.TOO_OLD] * 2


@pytest.mark.parametrize("command", [b"", b"\xc1", b"\x91\xa7nothing", b"\x91\xa8cp.order"])
def test_a_malformed_command_is_invalid_and_does_not_stop_the_state_machine(command):
    machine = ConfigurationStateMachine()
    assert outcomes(machine, command, replace(5, 0)) == [CommandOutcome.INVALID, CommandOutcome.ACCEPTED]


def test_a_snapshot_keeps_the_configuration_and_the_accepted_commands():
    machine, restored = ConfigurationStateMachine(), ConfigurationStateMachine()
    outcomes(machine, replace(3, 0, route("a"), route("b")), patch(4, 3, delete={"routes": ["a"]}))
    restored.restore(machine.snapshot())
    assert restored.current == machine.current
    assert outcomes(restored, replace(3, 0, route("a"), route("b")), replace(9, 3)) == [
        CommandOutcome.ALREADY_ACCEPTED,
        CommandOutcome.VERSION_CONFLICT,
    ]
    assert [each["version"] for each in restored.history.fields()] == [3, 4]
    empty = ConfigurationStateMachine()
    empty.restore(ConfigurationStateMachine().snapshot())
    assert empty.current.version == 0


def test_a_snapshot_of_a_version_without_history_is_read():
    machine, restored = ConfigurationStateMachine(), ConfigurationStateMachine()
    outcomes(machine, replace(3, 0))
    restored.restore(compact.pack(compact.unpack(machine.snapshot())[:2]))
    assert restored.current == machine.current and restored.history.fields() == []


def test_the_history_is_bounded_and_the_digest_does_not_depend_on_the_time(monkeypatch):
    monkeypatch.setattr(change_history, "MAX_REMEMBERED_CHANGES", 3)
    machine = ConfigurationStateMachine()
    outcomes(machine, *(replace(version, version - 1) for version in range(1, 6)))
    assert [each["version"] for each in machine.history.fields()] == [3, 4, 5]
    document = configuration(3)
    assert (
        make_command(ConfigCommandKind.REPLACE, 0, document, 7).digest
        == make_command(ConfigCommandKind.REPLACE, 0, document, 8).digest
    )


def test_the_memory_of_commands_is_bounded_and_evicts_the_oldest(monkeypatch):
    monkeypatch.setattr(state_machine, "MAX_REMEMBERED_COMMANDS", 3)
    machine = ConfigurationStateMachine()
    changes = [replace(version, version - 1) for version in range(1, 6)]
    outcomes(machine, *changes)
    assert outcomes(machine, *changes) == [
        CommandOutcome.TOO_OLD,
        CommandOutcome.TOO_OLD,
        *[CommandOutcome.ALREADY_ACCEPTED] * 3,
    ]
    restored = ConfigurationStateMachine()
    restored.restore(machine.snapshot())
    assert outcomes(restored, *changes[:2]) == [CommandOutcome.TOO_OLD] * 2
    assert outcomes(restored, replace(9, 4)) == [CommandOutcome.VERSION_CONFLICT]


_steps = st.tuples(st.integers(0, 4), st.integers(1, 5), st.sampled_from("ab"))


@given(st.lists(_steps, max_size=30), st.integers(0, 30))
@settings(deadline=None)
def test_every_history_of_commands_is_linear_and_the_same_after_a_snapshot(history, cut):
    machine, replica = ConfigurationStateMachine(), ConfigurationStateMachine()
    winners: dict[int, bytes] = {}
    for index, (builds_on, step, name) in enumerate(history):
        if index == cut:
            replica = ConfigurationStateMachine()
            replica.restore(machine.snapshot())
        command = replace(builds_on + step, builds_on, route(name))
        before = machine.current.version
        result = machine.apply(index, command)
        assert replica.apply(index, command) == result
        if result.outcome is CommandOutcome.ACCEPTED:
            assert before == builds_on < result.version
            assert builds_on not in winners
            winners[builds_on] = command
        if result.outcome is CommandOutcome.ALREADY_ACCEPTED:
            assert winners[builds_on] == command
        if result.outcome in (CommandOutcome.VERSION_CONFLICT, CommandOutcome.INVALID):
            assert machine.current.version == before and winners.get(builds_on) != command


@pytest.fixture
def world():
    world = World(members=3)
    yield world
    world.close()


def test_a_change_sent_again_to_another_controller_is_acknowledged(world):
    first, second, third = world.controllers
    assert [each.put_config(configuration(5), 0)[0] for each in (first, second, third)] == [200, 200, 200]
    change = {"generation": 8, "upsert": {"routes": [route("r2")]}}
    assert [each.patch_config(change, 5)[0] for each in (third, first, third)] == [200, 200, 200]
    assert first.put_config(configuration(5), 0)[0] == 200
    assert second.call("GET", "/api/config")[1]["generation"] == 8


def test_a_change_is_acknowledged_again_after_a_change_of_leader(world):
    first, second, _ = world.controllers
    assert first.put_config(configuration(5), 0)[0] == 200
    second.groups.lead()
    assert [each.put_config(configuration(5), 0)[0] for each in world.controllers] == [200, 200, 200]
    assert first.put_config(configuration(6), 5)[0] == 200


def test_a_change_whose_acknowledgement_was_lost_is_acknowledged_when_sent_again(world):
    first, second, _ = world.controllers
    first.groups.lose_results_after_commit = 1
    assert second.put_config(configuration(5), 0)[0] == 503
    assert second.put_config(configuration(5), 0)[0] == 200
    first.groups.lose_commands = 1
    assert second.put_config(configuration(6), 5)[0] == 503
    assert second.put_config(configuration(7), 5)[0] == 200
    assert second.put_config(configuration(6), 5)[0] == 412


def test_the_same_change_eight_times_at_once_is_accepted_once(world):
    world.controllers[0].put_config(configuration(5), 0)
    calls = [gevent.spawn(world.controllers[number % 3].put_config, configuration(6), 5) for number in range(8)]
    assert {call.get()[0] for call in calls} == {200}
    assert world.controllers[1].call("GET", "/api/config")[1] == configuration(6)


def test_of_eight_different_changes_on_one_version_exactly_one_is_accepted(world):
    world.controllers[0].put_config(configuration(5), 0)
    documents = [configuration(6 + number % 2, route(f"r{number}")) for number in range(8)]
    calls = [
        gevent.spawn(world.controllers[number % 3].put_config, document, 5) for number, document in enumerate(documents)
    ]
    statuses = [call.get()[0] for call in calls]
    assert sorted(statuses) == [200, *[412] * 7]
    assert world.controllers[1].call("GET", "/api/config")[1] == documents[statuses.index(200)]


def test_operators_that_race_through_changes_of_leader_leave_a_linear_history(world):
    """Two operators build on the version they read and retry until they get an outcome; the history must be linear."""
    accepted: list[tuple[int, int, str]] = []

    def operate(operator: str, seed: int) -> None:
        for turn in range(12):
            controller = world.controllers[(seed + turn) % 3]
            status, current = controller.call("GET", "/api/config")
            if status != 200:
                continue
            version = current["generation"]
            document = configuration(version + 1 + seed, route(f"{operator}{turn}"))
            status = 503
            while status == 503:
                controller = world.controllers[(world.controllers.index(controller) + 1) % 3]
                status = controller.put_config(document, version)[0]
            assert status in (200, 412)
            if status == 200:
                accepted.append((version, document["generation"], f"{operator}{turn}"))

    def disturb() -> None:
        for turn in range(9):
            world.controllers[turn % 3].groups.lead()
            world.controllers[turn % 3].groups.lose_results_after_commit += 1
            gevent.idle()

    world.controllers[0].put_config(configuration(5), 0)
    gevent.joinall(
        [gevent.spawn(operate, "a", 0), gevent.spawn(operate, "b", 1), gevent.spawn(disturb)], raise_error=True
    )
    version = 5
    steps = {builds_on: (generation, name) for builds_on, generation, name in accepted}
    assert len(steps) == len(accepted) > 0
    while version in steps:
        version, name = steps.pop(version)
    assert not steps
    status, document = world.controllers[0].call("GET", "/api/config")
    assert status == 200 and document["generation"] == version and document["routes"][0]["name"] == name
