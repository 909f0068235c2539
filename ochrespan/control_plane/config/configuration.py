"""The configuration at one version: what a change makes of it, and whether the change is valid.

A `Configuration` is never changed in place. Items keep the documents that the operator sent, so that reading the
configuration back gives what was sent, unknown fields included.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ochrespan.common.validation import Findings, ValidationError, add_finding, show

SECTIONS = ("routes", "services", "tenants")
Items = dict[str, dict[str, Any]]  # an item's document by its name


@dataclass(frozen=True, slots=True)
class SectionChange:
    """What changed in the routes, services or tenants."""

    upserted: tuple[dict[str, Any], ...] = ()
    deleted: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.upserted or self.deleted)

    def applied_to(self, items: Items) -> Items:
        """A copy of `items` with this change; replaced items keep their place in the order."""
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
    """The step from one version to the next. `others` are the top-level fields that are no section."""

    version: int
    routes: SectionChange = SectionChange()
    services: SectionChange = SectionChange()
    tenants: SectionChange = SectionChange()
    others: Mapping[str, Any] | None = None  # all of them, where any of them changed


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes, services, tenants and limits at one version; version 0 is the empty one before the first."""

    version: int = 0
    routes: Items = field(default_factory=dict)
    services: Items = field(default_factory=dict)
    tenants: Items = field(default_factory=dict)
    others: Mapping[str, Any] = field(default_factory=dict)  # limits, and fields that are not known
    route_names_by_place: dict[tuple[str, str], str] = field(default_factory=dict)
    tenant_names_by_key: dict[str, str] = field(default_factory=dict)

    def document(self) -> dict[str, Any]:
        """The configuration as one document, as the operator would send it."""
        sections = {name: list(getattr(self, name).values()) for name in SECTIONS if name != "tenants" or self.tenants}
        return {"generation": self.version, **sections, **self.others}

    def changed_by(self, change: ConfigurationChange) -> Configuration:
        """The next configuration; raises ValidationError where it would be invalid."""
        findings: Findings = []
        if change.version <= self.version:
            add_finding(findings, "generation", show(change.version), f"a version above {self.version}")
        services = change.services.applied_to(self.services)
        routes = change.routes.applied_to(self.routes)
        _check_references(routes, services, change, findings)
        places = _merge_places(self, change, findings)
        keys = _merge_keys(self, change, findings)
        if findings:
            raise ValidationError(findings)
        tenants = change.tenants.applied_to(self.tenants)
        others = self.others if change.others is None else change.others
        return Configuration(change.version, routes, services, tenants, others, places, keys)


def place_of(route: Mapping[str, Any]) -> tuple[str, str]:
    """The host and prefix of a route, of which there may be one each."""
    return route["hostname"].lower(), route["path_prefix"]


def services_of(route: Mapping[str, Any]) -> list[str]:
    """The services that a route names."""
    split = route.get("traffic_split")
    if split:
        return [part["backend"] for part in split]
    return [route["backend"]]


def change_to(current: Configuration, document: Mapping[str, Any]) -> ConfigurationChange:
    """The step from `current` to a whole document."""
    others = {name: value for name, value in document.items() if name not in SECTIONS and name != "generation"}
    changes = {name: _difference(getattr(current, name), document.get(name) or ()) for name in SECTIONS}
    return ConfigurationChange(document["generation"], others=None if others == current.others else others, **changes)


def change_of_patch(current: Configuration, patch: Mapping[str, Any]) -> ConfigurationChange:
    """The step that a patch makes from `current`; names to delete that are not there are passed over."""
    upserts, deletions = patch.get("upsert") or {}, patch.get("delete") or {}
    sections = {}
    for section in SECTIONS:
        upserted = tuple(upserts.get(section) or ())
        kept = {item["name"] for item in upserted}
        present = getattr(current, section)
        deleted = tuple(name for name in deletions.get(section) or () if name in present and name not in kept)
        sections[section] = SectionChange(upserted, deleted)
    return ConfigurationChange(patch["generation"], others=_patched_others(current, upserts, deletions), **sections)


def _patched_others(
    current: Configuration, upserts: Mapping[str, Any], deletions: Mapping[str, Any]
) -> Mapping[str, Any] | None:
    fields, dropped = upserts.get("limits") or {}, deletions.get("limits") or ()
    if not fields and not dropped:
        return None
    limits = {name: value for name, value in (current.others.get("limits") or {}).items() if name not in dropped}
    return {**current.others, "limits": {**limits, **fields}}


def _difference(current: Items, items: Iterable[dict[str, Any]]) -> SectionChange:
    wanted = {item["name"]: item for item in items}
    upserted = tuple(item for name, item in wanted.items() if current.get(name) != item)
    return SectionChange(upserted, tuple(name for name in current if name not in wanted))


def _check_references(routes: Items, services: Items, change: ConfigurationChange, findings: Findings) -> None:
    """Routes that are new name known services, and services that go are named by no route."""
    concerned = routes.values() if change.services.deleted else change.routes.upserted
    for route in concerned:
        for service in services_of(route):
            if service not in services:
                add_finding(
                    findings, f"routes.{route['name']}", f"the service {show(service)}", "a service that is known"
                )


def _merge_places(
    current: Configuration, change: ConfigurationChange, findings: Findings
) -> dict[tuple[str, str], str]:
    if not change.routes:
        return current.route_names_by_place
    places = dict(current.route_names_by_place)
    for name in (*change.routes.deleted, *(route["name"] for route in change.routes.upserted)):
        if name in current.routes:
            places.pop(place_of(current.routes[name]), None)
    for route in change.routes.upserted:
        holder = places.setdefault(place_of(route), route["name"])
        if holder != route["name"]:
            add_finding(
                findings,
                f"routes.{route['name']}",
                f"the host and path_prefix of route {show(holder)}",
                "a host and path_prefix of its own",
            )
    return places


def _merge_keys(current: Configuration, change: ConfigurationChange, findings: Findings) -> dict[str, str]:
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
