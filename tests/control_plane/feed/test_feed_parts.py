"""Slow-start times, lag detection and change batches, which the feed uses."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.control_plane.feed.table import FleetTable, with_instances_change
from ochrespan.control_plane.registry.change_batch import ChangeBatch
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.records import record_from_document
from ochrespan.control_plane.registry.slow_start import SlowStartTimes
from ochrespan.control_plane.replication.lag_detector import LagDetector
from tests.support.control_plane_world import instance


def record(instance_id, **fields):
    return record_from_document(instance_id, instance(1, **fields))


def test_a_later_snapshot_contains_the_remaining_slow_start():
    slow_start = SlowStartTimes()
    warm, fresh = record("i1"), record("i2", cold_remaining_ms=4000)
    slow_start.record(InstancesChange((warm, fresh)), 10.0)
    assert slow_start.with_remaining_time(fresh, 11.0).cold_remaining_ms == 3000
    assert (
        slow_start.with_remaining_time(fresh, 20.0).cold_remaining_ms == 0
        and slow_start.with_remaining_time(warm, 11.0) is warm
    )
    slow_start.record(InstancesChange(removed=("i2",)), 11.0)
    assert slow_start.with_remaining_time(fresh, 11.0).cold_remaining_ms == 0


def test_a_controller_lags_from_the_report_of_a_higher_offset_until_it_has_applied_it():
    lag = LagDetector()
    lag.record_offsets({0: 7, 1: 3}, {0: 7, 1: 3}, 1.0)
    assert lag.lags({0: 7, 1: 3}, 2.0) == {0: 0.0, 1: 0.0}
    lag.record_offsets({0: 9, 1: 3}, {0: 7, 1: 3}, 2.0)
    lag.record_offsets({0: 12, 1: 3}, {0: 8, 1: 3}, 3.0)
    assert lag.lags({0: 8, 1: 3}, 5.0) == {0: 3.0, 1: 0.0}
    assert lag.lags({0: 9, 1: 3}, 6.0) == {0: 0.0, 1: 0.0}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["ready", "draining", None])), min_size=1))
def test_a_batch_of_changes_gives_the_same_table_as_the_single_changes(steps):
    batch, one_by_one = ChangeBatch(), FleetTable()
    for offset, (name, state) in enumerate(steps, start=1):
        change = InstancesChange(removed=(name,))
        if state is not None:
            change = InstancesChange(
                (record_from_document(name, instance(offset, state, address=f"10.0.0.1:{offset}")),)
            )
        batch.add(offset, change)
        one_by_one, _ = with_instances_change(one_by_one, change, 0.0)
    assert batch.offset == len(steps)
    together, _ = with_instances_change(FleetTable(), batch.take(), 0.0)
    assert together.instances == one_by_one.instances and not batch


def test_a_batch_updates_and_removes_known_instances():
    known, _ = with_instances_change(FleetTable(), InstancesChange((record("a"), record("b"))), 0.0)
    batch = ChangeBatch()
    batch.add(5, InstancesChange((record("c"),), ("a",)))
    batch.add(6, InstancesChange((record_from_document("b", instance(2, "draining")),)))
    after, _ = with_instances_change(known, batch.take(), 0.0)
    assert {name: each.state for name, each in after.instances_of("judges").items()} == {"b": "draining", "c": "ready"}
