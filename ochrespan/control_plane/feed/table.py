"""The router's copy of the control state: an immutable table, replaced whole, that shares what has not changed."""

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
    """What differs between two tables: names of items, and of services whose instances changed."""

    version: bool = False
    routes: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    limits: bool = False
    instances: frozenset[str] = frozenset()
    routers: bool = False

    def __or__(self, other: FleetChange) -> FleetChange:
        """What differs after both."""
        return FleetChange(
            version=self.version or other.version,
            routes=self.routes | other.routes,
            services=self.services | other.services,
            tenants=self.tenants | other.tenants,
            limits=self.limits or other.limits,
            instances=self.instances | other.instances,
            routers=self.routers or other.routers,
        )


NO_DIFFERENCE = FleetChange()


@dataclass(frozen=True, slots=True)
class FleetTable:
    """Configuration, instances by service and id, and this router's place among the live routers."""

    configuration: ConfigurationView = ConfigurationView()
    instances: InstancesByService = field(default_factory=dict)
    router_count: int = 1
    router_rank: int = 0

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    def instances_of(self, service: str) -> Mapping[str, Instance]:
        """The known instances of a service by their ids."""
        return self.instances.get(service, {})


def with_configuration_change(table: FleetTable, change: ConfigurationChange) -> tuple[FleetTable, FleetChange]:
    """The table after a step of the configuration. A step to a version that is not newer changes nothing."""
    view = table.configuration
    if change.version <= view.version:
        return table, NO_DIFFERENCE
    limits = view.limits if change.others is None else limits_view(change.others.get("limits"))
    fresh = ConfigurationView(
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
    return replace(table, configuration=fresh), difference


def with_whole_configuration(table: FleetTable, whole: ConfigurationChange) -> tuple[FleetTable, FleetChange]:
    """The table after a snapshot of the configuration, given as the step from the empty one."""
    view = table.configuration
    step = ConfigurationChange(
        version=whole.version,
        routes=_difference(view.routes, whole.routes, route_view),
        services=_difference(view.services, whole.services, service_view),
        tenants=_difference(view.tenants, whole.tenants, tenant_view),
        others=whole.others or {},
    )
    return with_configuration_change(table, step)


def with_instances_change(table: FleetTable, change: InstancesChange, now: float) -> tuple[FleetTable, FleetChange]:
    """The table after instances were registered, changed or removed."""
    touched: dict[str, dict[str, Instance]] = {}

    def members(service: str) -> dict[str, Instance]:
        if service not in touched:
            touched[service] = dict(table.instances.get(service, {}))
        return touched[service]

    gone = set(change.removed)
    if gone:
        for service, known in table.instances.items():
            for instance_id in gone & known.keys():
                del members(service)[instance_id]
    for record in change.upserted:
        members(record.backend)[record.id] = _fresh_instance(table, instance_view(record, now))
    changed = {service for service, known in touched.items() if known != table.instances.get(service, {})}
    if not changed:
        return table, NO_DIFFERENCE
    instances = {**table.instances, **{service: touched[service] for service in changed}}
    return replace(table, instances={name: known for name, known in instances.items() if known}), FleetChange(
        instances=frozenset(changed)
    )


def with_whole_shard(
    table: FleetTable, whole: InstancesChange, services_of_shard: Iterable[str], now: float
) -> tuple[FleetTable, FleetChange]:
    """The table after a snapshot of a shard of instances; what it does not name is gone."""
    present = {record.id for record in whole.upserted}
    known = (each for service in services_of_shard for each in table.instances.get(service, {}))
    removed = tuple(each for each in known if each not in present)
    return with_instances_change(table, InstancesChange(whole.upserted, removed), now)


def with_routers(table: FleetTable, count: int, rank: int) -> tuple[FleetTable, FleetChange]:
    """The table after a new count of routers."""
    if (count, rank) == (table.router_count, table.router_rank):
        return table, NO_DIFFERENCE
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


def _difference(views: Mapping[str, View], whole: SectionChange, view_of: Any) -> SectionChange:
    upserted = tuple(each for each in whole.upserted if views.get(each["name"]) != view_of(each))
    kept = {each["name"] for each in whole.upserted}
    return SectionChange(upserted, tuple(name for name in views if name not in kept))


def _names(change: SectionChange) -> frozenset[str]:
    return frozenset((*change.deleted, *(document["name"] for document in change.upserted)))


def _fresh_instance(table: FleetTable, fresh: Instance) -> Instance:
    """A snapshot repeats how long an instance was cold when it registered: the first word on that holds."""
    known = table.instances.get(fresh.service, {}).get(fresh.id)
    if known is not None and known.cold_until < fresh.cold_until:
        return replace(fresh, cold_until=known.cold_until)
    return fresh
