"""The router's copy of the control state: immutable tables, which share the parts that have not changed.

Each `with_...` function returns the next table and the difference; if there is none, the same table and NO_CHANGE.
Pure: the time is an argument, in seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from ochrespan.control_plane.config.configuration import ConfigurationChange, SectionChange
from ochrespan.control_plane.config.views import ConfigurationView, limits_view, route_view, service_view, tenant_view
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.views import Instance, instance_view

View = TypeVar("View")
InstancesByService = Mapping[str, Mapping[str, Instance]]


@dataclass(frozen=True, slots=True)
class FleetChange:
    """The difference between two tables.

    Attributes:
        version: Whether the version of the configuration differs.
        routes: The names of routes that were added, changed or removed.
        services: The names of services that were added, changed or removed.
        tenants: The names of tenants that were added, changed or removed.
        limits: Whether the limits differ.
        instances: The names of services whose instances differ.
        routers: Whether the router count or rank differs.
    """

    version: bool = False
    routes: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    limits: bool = False
    instances: frozenset[str] = frozenset()
    routers: bool = False

    def __or__(self, other: FleetChange) -> FleetChange:
        """The difference after both changes."""
        return FleetChange(
            version=self.version or other.version,
            routes=self.routes | other.routes,
            services=self.services | other.services,
            tenants=self.tenants | other.tenants,
            limits=self.limits or other.limits,
            instances=self.instances | other.instances,
            routers=self.routers or other.routers,
        )


NO_CHANGE = FleetChange()


@dataclass(frozen=True, slots=True)
class FleetTable:
    """The state by which a router handles requests.

    Attributes:
        configuration: The configuration.
        instances: The instances by service and id.
        router_count: The number of live routers.
        router_rank: This router's rank among them in the order of their names.
    """

    configuration: ConfigurationView = ConfigurationView()
    instances: InstancesByService = field(default_factory=dict)
    router_count: int = 1
    router_rank: int = 0

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    def instances_of(self, service: str) -> Mapping[str, Instance]:
        """The instances of a service by their ids."""
        return self.instances.get(service, {})


def with_configuration_change(table: FleetTable, change: ConfigurationChange) -> tuple[FleetTable, FleetChange]:
    """The table after a change of the configuration; a change to a version that is not newer is ignored."""
    view = table.configuration
    if change.version <= view.version:
        return table, NO_CHANGE
    limits = view.limits if change.others is None else limits_view(change.others.get("limits"))
    changed = ConfigurationView(
        version=change.version,
        routes=_with_section(view.routes, change.routes, route_view),
        services=_with_section(view.services, change.services, service_view),
        tenants=_with_section(view.tenants, change.tenants, tenant_view),
        limits=limits,
    )
    difference = FleetChange(
        version=True,
        routes=_names(change.routes),
        services=_names(change.services),
        tenants=_names(change.tenants),
        limits=limits != view.limits,
    )
    return replace(table, configuration=changed), difference


def with_configuration_snapshot(table: FleetTable, snapshot: ConfigurationChange) -> tuple[FleetTable, FleetChange]:
    """The table after a snapshot of the configuration, given as the change from the empty one."""
    view = table.configuration
    change = ConfigurationChange(
        version=snapshot.version,
        routes=_difference(view.routes, snapshot.routes, route_view),
        services=_difference(view.services, snapshot.services, service_view),
        tenants=_difference(view.tenants, snapshot.tenants, tenant_view),
        others=snapshot.others or {},
    )
    return with_configuration_change(table, change)


def with_instances_change(table: FleetTable, change: InstancesChange, now: float) -> tuple[FleetTable, FleetChange]:
    """The table after instances were registered, changed or removed."""
    copies: dict[str, dict[str, Instance]] = {}  # by service; only services that the change may affect

    def copy_of(service: str) -> dict[str, Instance]:
        """The service's instances, copied before their first change."""
        if service not in copies:
            copies[service] = dict(table.instances.get(service, {}))
        return copies[service]

    removed = set(change.removed)
    if removed:
        for service, known in table.instances.items():
            for instance_id in removed & known.keys():
                del copy_of(service)[instance_id]
    for record in change.upserted:
        copy_of(record.backend)[record.id] = _with_known_slow_start(table, instance_view(record, now))
    changed = {service for service, known in copies.items() if known != table.instances.get(service, {})}
    if not changed:
        return table, NO_CHANGE
    instances = {**table.instances, **{service: copies[service] for service in changed}}
    without_empty = {service: known for service, known in instances.items() if known}
    return replace(table, instances=without_empty), FleetChange(instances=frozenset(changed))


def with_instances_snapshot(
    table: FleetTable, snapshot: InstancesChange, services_of_shard: Iterable[str], now: float
) -> tuple[FleetTable, FleetChange]:
    """The table after a snapshot of a shard of instances.

    Args:
        table: The table before.
        snapshot: All instances of the shard.
        services_of_shard: The services in the table that belong to the shard: their instances that the snapshot does
            not contain are removed.
        now: The present time.
    """
    present = {record.id for record in snapshot.upserted}
    known = (each for service in services_of_shard for each in table.instances.get(service, {}))
    removed = tuple(each for each in known if each not in present)
    return with_instances_change(table, InstancesChange(snapshot.upserted, removed), now)


def full_change(table: FleetTable) -> FleetChange:
    """The change from no table to this one: everything that the table contains."""
    view = table.configuration
    return FleetChange(
        version=True,
        routes=frozenset(view.routes),
        services=frozenset(view.services),
        tenants=frozenset(view.tenants),
        limits=True,
        instances=frozenset(table.instances),
        routers=True,
    )


def with_router_count(table: FleetTable, count: int, rank: int) -> tuple[FleetTable, FleetChange]:
    """The table after a change of the router count or of this router's rank."""
    if (count, rank) == (table.router_count, table.router_rank):
        return table, NO_CHANGE
    return replace(table, router_count=count, router_rank=rank), FleetChange(routers=True)


def _with_section(views: Mapping[str, View], change: SectionChange, view_of: Any) -> Mapping[str, View]:
    if not change:
        return views
    changed = dict(views)
    for name in change.deleted:
        changed.pop(name, None)
    for document in change.upserted:
        changed[document["name"]] = view_of(document)
    return changed


def _difference(views: Mapping[str, View], snapshot: SectionChange, view_of: Any) -> SectionChange:
    upserted = tuple(each for each in snapshot.upserted if views.get(each["name"]) != view_of(each))
    present = {each["name"] for each in snapshot.upserted}
    return SectionChange(upserted, tuple(name for name in views if name not in present))


def _names(change: SectionChange) -> frozenset[str]:
    return frozenset((*change.deleted, *(document["name"] for document in change.upserted)))


def _with_known_slow_start(table: FleetTable, instance: Instance) -> Instance:
    """Returns the instance with the earliest known end of its slow start.

    The remaining time in a message may date from the registration of the instance, which gives too late an end.
    """
    known = table.instances.get(instance.service, {}).get(instance.id)
    if known is not None and known.slow_start_ends_at < instance.slow_start_ends_at:
        return replace(instance, slow_start_ends_at=known.slow_start_ends_at)
    return instance
