"""The configuration at one version, changes from one version to the next, and the validation of changes.

A `Configuration` is immutable by convention: a change creates a new one that shares the unchanged sections. Items are
stored as the documents that the operator sent, so that reading the configuration back returns unknown fields too.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ochrespan.common.validation import Findings, add_finding, show

SECTIONS = ("routes", "services", "tenants")  # field names of the documents and of the classes below
Items = dict[str, dict[str, Any]]  # an item's document by its name


@dataclass(frozen=True, slots=True)
class SectionChange:
    """The change of one section.

    Attributes:
        upserted: Documents of the items that were added or replaced.
        deleted: Names of the items that were deleted.
    """

    upserted: tuple[dict[str, Any], ...] = ()
    deleted: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.upserted or self.deleted)

    def applied_to(self, items: Items) -> Items:
        """Returns `items` with this change applied; replaced items keep their position. Does not modify `items`."""
        if not self:
            return items
        changed = dict(items)
        for name in self.deleted:
            changed.pop(name, None)
        for item in self.upserted:
            changed[item["name"]] = item
        return changed


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The change from one version to the next.

    Attributes:
        version: The version that the change creates.
        routes: The change of the routes.
        services: The change of the services.
        tenants: The change of the tenants.
        others: All top-level fields outside the sections if any of them changed, else None.
    """

    version: int
    routes: SectionChange = SectionChange()
    services: SectionChange = SectionChange()
    tenants: SectionChange = SectionChange()
    others: Mapping[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes, services, tenants and limits at one version; version 0 is the empty configuration at the start.

    Attributes:
        version: The `generation` of the documents.
        routes: Route documents by name.
        services: Service documents by name.
        tenants: Tenant documents by name.
        others: The top-level fields outside the sections: `limits`, and unknown ones.
        route_names_by_location: Index by host and path prefix; each such pair belongs to one route.
        tenant_names_by_key: Index by API key, each of which belongs to one tenant.
    """

    version: int = 0
    routes: Items = field(default_factory=dict)
    services: Items = field(default_factory=dict)
    tenants: Items = field(default_factory=dict)
    others: Mapping[str, Any] = field(default_factory=dict)
    route_names_by_location: dict[tuple[str, str], str] = field(default_factory=dict)
    tenant_names_by_key: dict[str, str] = field(default_factory=dict)

    def document(self) -> dict[str, Any]:
        """Returns the configuration as one document, as the operator would send it."""
        sections = {name: list(getattr(self, name).values()) for name in SECTIONS if name != "tenants" or self.tenants}
        return {"generation": self.version, **sections, **self.others}

    def changed_by(self, change: ConfigurationChange) -> Configuration:
        """Returns the configuration after the change.

        Raises:
            ValidationError: The changed configuration would be invalid; the findings name every reason.
        """
        findings = Findings()
        if change.version <= self.version:
            add_finding(findings, "generation", show(change.version), f"a version above {self.version}")
        services = change.services.applied_to(self.services)
        routes = change.routes.applied_to(self.routes)
        _check_references(routes, services, change, findings)
        route_names_by_location = _merge_locations(self, change, findings)
        tenant_names_by_key = _merge_keys(self, change, findings)
        if findings:
            raise findings.error()
        tenants = change.tenants.applied_to(self.tenants)
        others = self.others if change.others is None else change.others
        return Configuration(
            version=change.version,
            routes=routes,
            services=services,
            tenants=tenants,
            others=others,
            route_names_by_location=route_names_by_location,
            tenant_names_by_key=tenant_names_by_key,
        )


def route_location(route: Mapping[str, Any]) -> tuple[str, str]:
    """Returns host and path prefix of a route, a pair unique among routes. Hosts are case-insensitive (RFC 9110)."""
    return route["hostname"].lower(), route["path_prefix"]


def referenced_services(route: Mapping[str, Any]) -> list[str]:
    """Returns the names of the services that a route sends requests to."""
    split = route.get("traffic_split")
    if split:
        return [target["backend"] for target in split]
    return [route["backend"]]


def change_to(current: Configuration, document: Mapping[str, Any]) -> ConfigurationChange:
    """Returns the change that replaces `current` by a complete document."""
    others = {name: value for name, value in document.items() if name not in SECTIONS and name != "generation"}
    changes = {name: _difference(getattr(current, name), document.get(name) or ()) for name in SECTIONS}
    return ConfigurationChange(document["generation"], others=None if others == current.others else others, **changes)


def change_of_patch(current: Configuration, patch: Mapping[str, Any]) -> ConfigurationChange:
    """Returns the change that a patch makes to `current`; names to delete that do not exist are ignored."""
    upserts, deletions = patch.get("upsert") or {}, patch.get("delete") or {}
    sections = {}
    for section in SECTIONS:
        upserted = tuple(upserts.get(section) or ())
        upserted_names = {item["name"] for item in upserted}
        current_items = getattr(current, section)
        deleted = tuple(
            name for name in deletions.get(section) or () if name in current_items and name not in upserted_names
        )
        sections[section] = SectionChange(upserted, deleted)
    return ConfigurationChange(patch["generation"], others=_patched_others(current, upserts, deletions), **sections)


def _patched_others(
    current: Configuration, upserts: Mapping[str, Any], deletions: Mapping[str, Any]
) -> Mapping[str, Any] | None:
    """Returns the fields outside the sections after a patch, or None if it changes none; limits are merged by field."""
    upserted = upserts.get("limits") or {}
    deleted = deletions.get("limits") or ()
    if not upserted and not deleted:
        return None
    remaining = {name: value for name, value in (current.others.get("limits") or {}).items() if name not in deleted}
    return {**current.others, "limits": {**remaining, **upserted}}


def _difference(current: Items, items: Iterable[dict[str, Any]]) -> SectionChange:
    """Returns the change of a section from `current` to `items`."""
    target = {item["name"]: item for item in items}
    upserted = tuple(item for name, item in target.items() if current.get(name) != item)
    deleted = tuple(name for name in current if name not in target)
    return SectionChange(upserted, deleted)


def _check_references(routes: Items, services: Items, change: ConfigurationChange, findings: Findings) -> None:
    """Checks that every route refers to existing services.

    If services are deleted, every route is checked; otherwise only upserted routes can have a wrong reference.
    """
    affected_routes = routes.values() if change.services.deleted else change.routes.upserted
    for route in affected_routes:
        for service in referenced_services(route):
            if service not in services:
                add_finding(
                    findings, f"routes.{route['name']}", f"the service {show(service)}", "a service that is known"
                )


def _merge_locations(
    current: Configuration, change: ConfigurationChange, findings: Findings
) -> dict[tuple[str, str], str]:
    """Returns the index of routes after the change, and adds a finding for each location that two routes claim.

    Locations of all deleted and replaced routes are released first, so that two routes may swap theirs in one change.
    """
    if not change.routes:
        return current.route_names_by_location
    locations = dict(current.route_names_by_location)
    for name in (*change.routes.deleted, *(route["name"] for route in change.routes.upserted)):
        if name in current.routes:
            locations.pop(route_location(current.routes[name]), None)
    for route in change.routes.upserted:
        owner = locations.setdefault(route_location(route), route["name"])
        if owner != route["name"]:
            add_finding(
                findings,
                f"routes.{route['name']}",
                f"the host and path_prefix of route {show(owner)}",
                "a host and path_prefix of its own",
            )
    return locations


def _merge_keys(current: Configuration, change: ConfigurationChange, findings: Findings) -> dict[str, str]:
    """Returns the index of tenants after the change, and adds a finding for each API key that two tenants claim."""
    if not change.tenants:
        return current.tenant_names_by_key
    keys = dict(current.tenant_names_by_key)
    for name in (*change.tenants.deleted, *(tenant["name"] for tenant in change.tenants.upserted)):
        for key in current.tenants.get(name, {}).get("api_keys", ()):
            keys.pop(key, None)
    for tenant in change.tenants.upserted:
        for position, key in enumerate(tenant["api_keys"]):
            if keys.setdefault(key, tenant["name"]) != tenant["name"]:
                add_finding(
                    findings,
                    f"tenants.{tenant['name']}.api_keys[{position}]",
                    f"a key of tenant {show(keys[key])}",
                    "a key that no other tenant has",
                )
    return keys
