"""The pure parts of the feed: histories, tables that share what stays, cold times, lags and counts of routers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.feed import shard_history
from ochrespan.control_plane.feed.live_routers import STARTUP_SETTLE_S, LiveRouters, RouterPosition
from ochrespan.control_plane.feed.messages import (
    Presence,
    pack_configuration_change,
    pack_instances_change,
    unpack_configuration_change,
    unpack_instances_change,
)
from ochrespan.control_plane.feed.router_count import DECREASE_DELAY_S, RouterCountFilter
from ochrespan.control_plane.feed.shard_history import ShardHistory
from ochrespan.control_plane.feed.table import (
    NO_CHANGE,
    FleetChange,
    FleetTable,
    with_configuration_change,
    with_configuration_snapshot,
    with_instances_change,
    with_instances_snapshot,
)
from ochrespan.control_plane.registry.change_batch import ChangeBatch
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.records import record_of
from ochrespan.control_plane.registry.slow_start import SlowStartTimes
from ochrespan.control_plane.replication.lag_detector import LagDetector
from tests.support.control_plane_world import configuration, instance, route, service, tenant


def change_from_empty(document):
    return change_to(Configuration(), document)


def record(instance_id, **fields):
    return record_of(instance_id, instance(1, **fields))


def test_a_history_leads_on_from_every_offset_that_it_reaches_back_to(monkeypatch):
    monkeypatch.setattr(shard_history, "MAX_HISTORY_CHANGES", 3)
    history = ShardHistory()
    for offset in (2, 5, 6, 9):
        history.add(offset, b"%d" % offset)
    assert history.since(1) is None
    assert history.since(2) == history.since(4) == [b"5", b"6", b"9"]
    assert history.since(6) == [b"9"] and history.since(9) == history.since(20) == []
    history.restart(30)
    assert history.since(29) is None and history.since(30) == []


def test_a_history_is_bounded_by_its_bytes(monkeypatch):
    monkeypatch.setattr(shard_history, "MAX_HISTORY_BYTES", 10)
    history = ShardHistory()
    for offset in range(1, 9):
        history.add(offset, b"1234")
    assert history.since(6) == [b"1234", b"1234"] and history.since(5) is None


def test_changes_survive_the_way_over_the_wire():
    change = change_from_empty(configuration(5, route("r1"), tenants=[tenant("t", "k")], extra=[None, 1.5]))
    assert unpack_configuration_change(pack_configuration_change(change)) == change
    instances = InstancesChange((record("i1", models=[{"name": "m"}]),), ("i0",))
    assert unpack_instances_change(pack_instances_change(instances)) == instances


def test_a_table_shares_what_a_change_leaves_standing():
    first, _ = with_configuration_change(FleetTable(), change_from_empty(configuration(5, route("r1"), route("r2"))))
    table, _ = with_instances_change(first, InstancesChange((record("i1"), record("i2", backend="ledger"))), 0.0)
    after, change = with_instances_change(table, InstancesChange((), ("i2",)), 0.0)
    assert change == FleetChange(instances=frozenset({"ledger"}))
    assert after.instances["judges"] is table.instances["judges"] and "ledger" not in after.instances
    assert after.configuration is table.configuration and "ledger" in table.instances
    assert with_instances_change(after, InstancesChange((record("i1"),), ("never",)), 0.0) == (after, NO_CHANGE)


def test_a_snapshot_of_the_configuration_tells_only_what_differs():
    table, _ = with_configuration_snapshot(FleetTable(), change_from_empty(configuration(5, route("r1"), route("r2"))))
    later = configuration(8, route("r1"), route("r2", timeout_ms=1), route("r3"), services=[service(), service("x")])
    after, change = with_configuration_snapshot(table, change_from_empty(later))
    assert change == FleetChange(version=True, routes=frozenset({"r2", "r3"}), services=frozenset({"x"}))
    assert after.configuration.routes["r1"] is table.configuration.routes["r1"]


def test_an_older_configuration_is_never_taken():
    table, _ = with_configuration_snapshot(FleetTable(), change_from_empty(configuration(5)))
    for change in (change_from_empty(configuration(5, route("x"))), change_from_empty(configuration(4))):
        assert with_configuration_snapshot(table, change) == (table, NO_CHANGE)
        assert with_configuration_change(table, change) == (table, NO_CHANGE)


def test_a_snapshot_of_a_shard_removes_what_it_does_not_name_and_leaves_other_shards():
    records = (record("i1"), record("i2"), record("x", backend="ledger"))
    table, _ = with_instances_change(FleetTable(), InstancesChange(records), 0.0)
    after, _ = with_instances_snapshot(table, InstancesChange((record("i2"), record("i3"))), ["judges"], 0.0)
    assert set(after.instances_of("judges")) == {"i2", "i3"} and set(after.instances_of("ledger")) == {"x"}


def test_an_instance_stays_cold_as_long_as_was_first_said():
    change = InstancesChange((record("i1", cold_remaining_ms=4000),))
    table, _ = with_instances_change(FleetTable(), change, 10.0)
    again, _ = with_instances_change(table, change, 12.0)
    assert again.instances_of("judges")["i1"].cold_until == 14.0


def test_a_later_snapshot_tells_what_is_left_of_a_cold_time():
    cold = SlowStartTimes()
    warm, fresh = record("i1"), record("i2", cold_remaining_ms=4000)
    cold.note(InstancesChange((warm, fresh)), 10.0)
    assert cold.aged(fresh, 11.0).cold_remaining_ms == 3000
    assert cold.aged(fresh, 20.0).cold_remaining_ms == 0 and cold.aged(warm, 11.0) is warm
    cold.note(InstancesChange(removed=("i2",)), 11.0)
    assert cold.aged(fresh, 11.0).cold_remaining_ms == 0


def test_a_controller_lags_from_when_it_hears_of_more_until_it_has_applied_that():
    lag = LagDetector()
    lag.told({0: 7, 1: 3}, {0: 7, 1: 3}, 1.0)
    assert lag.lags({0: 7, 1: 3}, 2.0) == {0: 0.0, 1: 0.0}
    lag.told({0: 9, 1: 3}, {0: 7, 1: 3}, 2.0)
    lag.told({0: 12, 1: 3}, {0: 8, 1: 3}, 3.0)
    assert lag.lags({0: 8, 1: 3}, 5.0) == {0: 3.0, 1: 0.0}
    assert lag.lags({0: 9, 1: 3}, 6.0) == {0: 0.0, 1: 0.0}


def test_a_count_of_routers_rises_at_once_and_falls_after_a_while():
    count = RouterCountFilter()
    assert [count.update(reported, at) for reported, at in ((3, 0.0), (9, 1.0), (2, 1.5), (4, 2.0))] == [3, 9, 9, 9]
    assert count.update(4, 1.0 + DECREASE_DELAY_S) == 9
    assert count.update(4, 1.1 + DECREASE_DELAY_S) == 4


def test_live_routers_are_those_of_all_controllers_after_the_startup_settle_time():
    live_routers = LiveRouters(started_at=0.0)
    live_routers.update_subscribers({"b", "d"}, 1.0)
    assert live_routers.position_of("b", 1.0) == RouterPosition(0, 0)
    live_routers.record_report(Presence("10.0.0.2", 7500, "z", ["a", "b"]), 1.0)
    live_routers.update_subscribers({"b", "d"}, STARTUP_SETTLE_S)
    positions = [live_routers.position_of(each, STARTUP_SETTLE_S) for each in "abd"]
    assert positions == [RouterPosition(3, 0), RouterPosition(3, 1), RouterPosition(3, 2)]
    assert live_routers.controllers() == [(("10.0.0.2", 7500), "z")]
    live_routers.update_subscribers({"b", "d"}, STARTUP_SETTLE_S + 5.0)
    assert live_routers.position_of("d", STARTUP_SETTLE_S + 5.0) == RouterPosition(2, 1)
    assert live_routers.controllers() == []


@pytest.mark.parametrize("name", ["0", "c", "z"])
def test_a_router_that_is_not_counted_yet_counts_itself(name):
    live_routers = LiveRouters(started_at=0.0)
    live_routers.update_subscribers({"b", "d"}, STARTUP_SETTLE_S)
    assert live_routers.position_of(name, STARTUP_SETTLE_S).count == 3


def test_routers_that_membership_finds_alive_count_before_they_subscribe():
    live_routers = LiveRouters(started_at=0.0)
    live_routers.set_members(["c", "a"])
    live_routers.update_subscribers({"b"}, STARTUP_SETTLE_S)
    assert live_routers.routers() == ["a", "b", "c"]
    live_routers.set_members([])
    live_routers.update_subscribers({"b"}, STARTUP_SETTLE_S + 5.0)
    assert live_routers.routers() == ["b"]


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["ready", "draining", None])), min_size=1))
def test_gathered_changes_lead_to_the_same_table_as_one_after_the_other(steps):
    batch, one_by_one = ChangeBatch(), FleetTable()
    for offset, (name, state) in enumerate(steps, start=1):
        change = InstancesChange(removed=(name,))
        if state is not None:
            change = InstancesChange((record_of(name, instance(offset, state, address=f"10.0.0.1:{offset}")),))
        batch.add(offset, change)
        one_by_one, _ = with_instances_change(one_by_one, change, 0.0)
    assert batch.offset == len(steps)
    together, _ = with_instances_change(FleetTable(), batch.take(), 0.0)
    assert together.instances == one_by_one.instances and not batch


def test_a_gathering_takes_the_place_of_an_instance_that_was_known():
    known, _ = with_instances_change(FleetTable(), InstancesChange((record("a"), record("b"))), 0.0)
    batch = ChangeBatch()
    batch.add(5, InstancesChange((record("c"),), ("a",)))
    batch.add(6, InstancesChange((record_of("b", instance(2, "draining")),)))
    after, _ = with_instances_change(known, batch.take(), 0.0)
    assert {name: each.state for name, each in after.instances_of("judges").items()} == {"b": "draining", "c": "ready"}
