"""The bodies of the feed's messages."""

from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.feed.messages import (
    pack_configuration_change,
    pack_instances_change,
    unpack_configuration_change,
    unpack_instances_change,
)
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.records import record_from_document
from tests.support.control_plane_world import configuration, instance, route, tenant


def test_unpacking_inverts_packing():
    change = change_to(Configuration(), configuration(5, route("r1"), tenants=[tenant("t", "k")], extra=[None, 1.5]))
    assert unpack_configuration_change(pack_configuration_change(change)) == change
    instances = InstancesChange((record_from_document("i1", instance(1, models=[{"name": "m"}])),), ("i0",))
    assert unpack_instances_change(pack_instances_change(instances)) == instances
