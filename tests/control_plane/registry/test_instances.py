"""Instances: removed incarnations never return, late reports change nothing, and expiry needs a full time-out."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.control_plane.registry import state_machine
from ochrespan.control_plane.registry.changes import NO_CHANGE
from ochrespan.control_plane.registry.commands import ExpireInstances, RegisterInstance, RemoveInstance
from ochrespan.control_plane.registry.heartbeats import MASS_EXPIRY_TIMEOUTS, HeartbeatMonitor, heartbeat_timeout_s
from ochrespan.control_plane.registry.records import record_fields, record_from_document
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.transport.codec import encode
from tests.support.control_plane_world import instance


def register(machine, instance_id, sequence, state="ready", **fields):
    record = record_from_document(instance_id, instance(sequence, state, **fields))
    return machine.apply(1, encode(RegisterInstance(record_fields(record))))


def remove(machine, instance_id):
    return machine.apply(1, encode(RemoveInstance(instance_id)))


def expire(machine, **sequences):
    return machine.apply(1, encode(ExpireInstances(sequences)))


def test_an_instance_registers_changes_drains_and_is_removed():
    machine = InstanceStateMachine()
    assert register(machine, "i1", 1).upserted[0].state == "ready"
    assert register(machine, "i1", 2, capacity=16).upserted[0].capacity == 16
    assert register(machine, "i1", 3, "draining").upserted[0].state == "draining"
    assert remove(machine, "i1").removed == ("i1",)
    assert machine.records == {}


def test_a_draining_incarnation_does_not_become_ready_and_a_removed_one_does_not_return():
    machine = InstanceStateMachine()
    register(machine, "i1", 1, "draining")
    assert register(machine, "i1", 2, "ready") == NO_CHANGE
    remove(machine, "i1")
    assert register(machine, "i1", 9, "ready") == register(machine, "i1", 10, "draining") == NO_CHANGE
    assert remove(machine, "i1") == NO_CHANGE


def test_a_report_with_a_lower_sequence_number_changes_nothing():
    machine = InstanceStateMachine()
    register(machine, "i1", 5, capacity=8)
    assert register(machine, "i1", 5, capacity=9) == register(machine, "i1", 4, capacity=9) == NO_CHANGE
    assert machine.records["i1"].capacity == 8


def test_a_new_incarnation_replaces_the_old_one_at_its_address():
    machine = InstanceStateMachine()
    register(machine, "old", 5)
    change = register(machine, "new", 1)
    assert change.removed == ("old",) and change.upserted[0].id == "new"
    assert register(machine, "old", 6) == NO_CHANGE and list(machine.records) == ["new"]


def test_an_instance_may_move_and_another_may_register_at_its_old_address():
    machine = InstanceStateMachine()
    register(machine, "a", 1, address="10.0.0.1:1")
    register(machine, "a", 2, address="10.0.0.2:1")
    assert register(machine, "b", 1, address="10.0.0.1:1").removed == ()
    assert set(machine.records) == {"a", "b"}


def test_an_expired_instance_returns_by_a_newer_report_but_never_from_draining_to_ready():
    machine = InstanceStateMachine()
    register(machine, "i1", 5)
    assert expire(machine, i1=4) == NO_CHANGE
    assert expire(machine, i1=5, unknown=1).removed == ("i1",)
    assert register(machine, "i1", 5) == NO_CHANGE
    assert register(machine, "i1", 6).upserted
    register(machine, "i1", 7, "draining")
    expire(machine, i1=7)
    assert register(machine, "i1", 8, "ready") == NO_CHANGE
    assert register(machine, "i1", 9, "draining").upserted


def test_a_late_report_of_an_expired_instance_does_not_displace_the_one_registered_at_its_address_since():
    machine = InstanceStateMachine()
    register(machine, "crashed", 5)
    expire(machine, crashed=5)
    register(machine, "restarted", 1)
    assert register(machine, "crashed", 6) == NO_CHANGE
    assert register(machine, "restarted", 2, capacity=16).upserted
    assert register(machine, "crashed", 7, address="10.0.0.8:1").upserted
    assert set(machine.records) == {"crashed", "restarted"}


def test_an_expired_instance_that_is_removed_does_not_return():
    machine = InstanceStateMachine()
    register(machine, "i1", 5)
    expire(machine, i1=5)
    remove(machine, "i1")
    assert register(machine, "i1", 6) == NO_CHANGE


def test_the_memory_of_removed_instances_is_bounded(monkeypatch):
    monkeypatch.setattr(state_machine, "MAX_REMEMBERED_REMOVALS", 2)
    machine = InstanceStateMachine()
    for number in range(5):
        register(machine, f"i{number}", 1, address=f"10.0.0.{number}:1")
        remove(machine, f"i{number}")
    assert register(machine, "i4", 2) == NO_CHANGE and register(machine, "i0", 2).upserted


@pytest.mark.parametrize("command", [b"", b"\xc1", b"\x91\xa5other"])
def test_a_malformed_command_changes_nothing(command):
    assert InstanceStateMachine().apply(1, command) == NO_CHANGE


_steps = st.tuples(
    st.sampled_from(["register", "remove", "expire"]),
    st.sampled_from("abc"),
    st.integers(1, 6),
    st.sampled_from(["ready", "draining"]),
    st.sampled_from(["10.0.0.1:1", "10.0.0.2:1"]),
)


def step(machine, action, instance_id, sequence, state, address):
    if action == "register":
        return register(machine, instance_id, sequence, state, address=address)
    if action == "remove":
        return remove(machine, instance_id)
    return expire(machine, **{instance_id: sequence})


@given(st.lists(_steps, max_size=40), st.integers(0, 40))
@settings(deadline=None)
def test_every_history_has_one_instance_per_address_and_changes_that_add_up_to_the_state(history, cut):
    machine, replica, followed = InstanceStateMachine(), InstanceStateMachine(), {}
    drained, ended = set(), set()
    for index, (action, instance_id, *fields) in enumerate(history):
        if index == cut:
            replica = InstanceStateMachine()
            replica.restore(machine.snapshot())
        change = step(machine, action, instance_id, *fields)
        assert step(replica, action, instance_id, *fields) == change
        for removed in change.removed:
            del followed[removed]
        for record in change.upserted:
            followed[record.id] = record
            assert record.id not in ended and not (record.id in drained and record.state == "ready")
            drained |= {record.id} if record.state == "draining" else set()
        ended |= {instance_id} if action == "remove" and change.removed else set()
        assert followed == machine.records == replica.records
        addresses = [record.address for record in machine.records.values()]
        assert len(addresses) == len(set(addresses))


TIMEOUT = heartbeat_timeout_s(1.2)


def started_monitor(*heartbeats, started_at=100.0):
    monitor = HeartbeatMonitor(TIMEOUT)
    monitor.start(started_at)
    for instance_id, sequence, at in heartbeats:
        monitor.record(instance_id, sequence, at)
    return monitor


def tick(monitor, registered, until, since=100.0):
    """Checks every half second, as the owner does; returns the first instances that expire, and the time."""
    now = since
    while now + 0.5 <= until:
        now += 0.5
        if expired := monitor.check_expired(registered, now):
            return expired, now
    return [], now


def test_an_instance_without_heartbeats_expires_after_the_timeout():
    monitor = started_monitor(("a", 1, 103.0))
    expired, at = tick(monitor, ["a"], 120.0)
    assert expired == ["a"] and TIMEOUT < at - 103.0 <= TIMEOUT + 0.5


def test_a_new_owner_gives_every_instance_the_full_timeout_first():
    monitor = started_monitor(started_at=100.0)
    assert tick(monitor, ["a"], 100.0 + TIMEOUT)[0] == []
    monitor.start(200.0)
    assert tick(monitor, ["a"], 200.0 + TIMEOUT, since=200.0)[0] == []


def test_a_monitor_that_was_paused_starts_again():
    monitor = started_monitor(("a", 1, 101.0), ("b", 1, 101.0))
    assert tick(monitor, ["a"], 102.0)[0] == []
    assert monitor.check_expired(["a"], 130.0) == []
    assert tick(monitor, ["a"], 130.0 + TIMEOUT, since=130.0)[0] == []


def test_a_stopped_monitor_expires_nothing():
    monitor = started_monitor(("a", 1, 100.0))
    monitor.stop()
    assert tick(monitor, ["a"], 150.0)[0] == []


def test_when_most_instances_expire_at_once_they_get_more_time():
    instance_ids = [f"i{number}" for number in range(6)]
    monitor = started_monitor(*((each, 1, 101.0) for each in instance_ids))
    expired, at = tick(monitor, instance_ids, 150.0)
    assert expired == instance_ids and at - 101.0 > MASS_EXPIRY_TIMEOUTS * TIMEOUT


def test_a_late_report_is_no_heartbeat():
    monitor = started_monitor(("a", 5, 101.0), ("a", 3, 105.0))
    assert tick(monitor, ["a"], 101.0 + TIMEOUT + 0.6)[0] == ["a"]


def test_a_forgotten_instance_may_start_again_with_a_low_sequence_number():
    monitor = started_monitor(("a", 9, 101.0))
    monitor.forget("a")
    monitor.record("a", 1, 106.0)
    assert tick(monitor, ["a"], 106.0 + TIMEOUT)[0] == []
