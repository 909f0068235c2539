"""The router's table: each change or snapshot produces a new immutable table."""

from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.feed.table import (
    NO_CHANGE,
    FleetChange,
    FleetTable,
    with_configuration_change,
    with_configuration_snapshot,
    with_instances_change,
    with_instances_snapshot,
)
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.records import record_from_document
from tests.support.control_plane_world import configuration, instance, route, service


def change_from_empty(document):
    return change_to(Configuration(), document)


def record(instance_id, **fields):
    return record_from_document(instance_id, instance(1, **fields))


def test_a_table_shares_what_a_change_does_not_affect():
    first, _ = with_configuration_change(FleetTable(), change_from_empty(configuration(5, route("r1"), route("r2"))))
    table, _ = with_instances_change(first, InstancesChange((record("i1"), record("i2", backend="ledger"))), 0.0)
    after, change = with_instances_change(table, InstancesChange((), ("i2",)), 0.0)
    assert change == FleetChange(instances=frozenset({"ledger"}))
    assert after.instances["judges"] is table.instances["judges"] and "ledger" not in after.instances
    assert after.configuration is table.configuration and "ledger" in table.instances
    assert with_instances_change(after, InstancesChange((record("i1"),), ("never",)), 0.0) == (after, NO_CHANGE)


def test_a_snapshot_of_the_configuration_changes_only_what_differs():
    table, _ = with_configuration_snapshot(FleetTable(), change_from_empty(configuration(5, route("r1"), route("r2"))))
    later = configuration(8, route("r1"), route("r2", timeout_ms=1), route("r3"), services=[service(), service("x")])
    after, change = with_configuration_snapshot(table, change_from_empty(later))
    assert change == FleetChange(version=True, routes=frozenset({"r2", "r3"}), services=frozenset({"x"}))
    assert after.configuration.routes["r1"] is table.configuration.routes["r1"]


def test_an_older_configuration_is_ignored():
    table, _ = with_configuration_snapshot(FleetTable(), change_from_empty(configuration(5)))
    for change in (change_from_empty(configuration(5, route("x"))), change_from_empty(configuration(4))):
        assert with_configuration_snapshot(table, change) == (table, NO_CHANGE)
        assert with_configuration_change(table, change) == (table, NO_CHANGE)


def test_a_snapshot_of_a_shard_removes_missing_instances_of_this_shard_alone():
    records = (record("i1"), record("i2"), record("x", backend="ledger"))
    table, _ = with_instances_change(FleetTable(), InstancesChange(records), 0.0)
    after, _ = with_instances_snapshot(table, InstancesChange((record("i2"), record("i3"))), ["judges"], 0.0)
    assert set(after.instances_of("judges")) == {"i2", "i3"} and set(after.instances_of("ledger")) == {"x"}


def test_the_first_known_end_of_a_slow_start_remains():
    change = InstancesChange((record("i1", cold_remaining_ms=4000),))
    table, _ = with_instances_change(FleetTable(), change, 10.0)
    again, _ = with_instances_change(table, change, 12.0)
    assert again.instances_of("judges")["i1"].slow_start_ends_at == 14.0
