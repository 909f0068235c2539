"""The routes, API keys and limits of one configuration, indexed for look-ups. Tables are immutable."""

from __future__ import annotations

import zlib
from collections.abc import Collection
from copy import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .client_connection import ReadLimits

if TYPE_CHECKING:
    from ochrespan.control_plane.config.views import ConfigurationView, Route, Tenant

_HASH_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route; `range_ends` are the upper ends of the services' ranges of the hash of a request's id."""

    route: Route
    services: tuple[str, ...]
    range_ends: tuple[float, ...]

    def service_for(self, request_id: str) -> str:
        """The service for a request, chosen by weight; the same id always gets the same service."""
        if len(self.services) == 1:
            return self.services[0]
        position = zlib.crc32(request_id.encode("latin-1"))
        for service, end in zip(self.services, self.range_ends, strict=True):
            if position < end:
                return service
        return self.services[-1]


class _HostRoutes:
    """The routes of one host by path prefix."""

    __slots__ = ("by_prefix", "max_prefix_length")

    def __init__(self) -> None:
        self.by_prefix: dict[str, RouteEntry] = {}
        self.max_prefix_length = 0

    def copy(self) -> _HostRoutes:
        """Returns an independent copy."""
        copied = _HostRoutes()
        copied.by_prefix, copied.max_prefix_length = dict(self.by_prefix), self.max_prefix_length
        return copied

    def remove(self, prefix: str) -> None:
        self.by_prefix.pop(prefix, None)
        self.max_prefix_length = max(map(len, self.by_prefix), default=0)

    def add(self, prefix: str, entry: RouteEntry) -> None:
        self.by_prefix[prefix] = entry
        self.max_prefix_length = max(self.max_prefix_length, len(prefix))

    def find(self, path: str) -> RouteEntry | None:
        end = min(len(path), self.max_prefix_length)
        while (slash := path.rfind("/", 0, end)) >= 0:
            if entry := self.by_prefix.get(path[: slash + 1]):
                return entry
            end = slash
        return None


class RoutingTable:
    """Finds the route of a request and the tenant of an API key."""

    def __init__(self, configuration: ConfigurationView) -> None:
        self._hosts: dict[str, _HostRoutes] = {}
        self._tenants_by_key: dict[str, Tenant] = {}
        self._apply(configuration)
        for route in configuration.routes.values():
            self._hosts.setdefault(route.hostname.lower(), _HostRoutes()).add(route.path_prefix, _entry(route))
        for tenant in configuration.tenants.values():
            self._tenants_by_key.update(dict.fromkeys(tenant.api_keys, tenant))

    def updated(
        self, configuration: ConfigurationView, routes: Collection[str], tenants: Collection[str]
    ) -> RoutingTable:
        """Returns the table of a configuration that differs in these routes and tenants; shares unchanged parts."""
        changed = copy(self)
        if routes:
            changed._hosts = self._updated_hosts(configuration, routes)
        if tenants:
            changed._tenants_by_key = self._updated_tenant_keys(configuration, tenants)
        changed._apply(configuration)
        return changed

    def find(self, host: str, path: str) -> RouteEntry | None:
        """The host's route with the longest matching path prefix. `host` is in lower case and may include a port."""
        routes = self._hosts.get(host) or self._hosts.get(host.partition(":")[0])
        return routes.find(path) if routes is not None else None

    def tenant_of(self, key: str) -> Tenant | None:
        return self._tenants_by_key.get(key)

    def _apply(self, configuration: ConfigurationView) -> None:
        limits = configuration.limits
        self.version = configuration.version
        self.limits = ReadLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )
        self.has_tenants = bool(configuration.tenants)
        self._configuration = configuration

    def _updated_hosts(self, configuration: ConfigurationView, names: Collection[str]) -> dict[str, _HostRoutes]:
        before = [route for name in names if (route := self._configuration.routes.get(name))]
        after = [route for name in names if (route := configuration.routes.get(name))]
        hosts = dict(self._hosts)
        for hostname in {route.hostname.lower() for route in (*before, *after)}:
            hosts[hostname] = hosts[hostname].copy() if hostname in hosts else _HostRoutes()
        for route in before:
            hosts[route.hostname.lower()].remove(route.path_prefix)
        for route in after:
            hosts[route.hostname.lower()].add(route.path_prefix, _entry(route))
        return {hostname: routes for hostname, routes in hosts.items() if routes.by_prefix}

    def _updated_tenant_keys(self, configuration: ConfigurationView, names: Collection[str]) -> dict[str, Tenant]:
        keys = dict(self._tenants_by_key)
        for name in names:
            if tenant := self._configuration.tenants.get(name):
                for key in tenant.api_keys:
                    keys.pop(key, None)
        for name in names:
            if tenant := configuration.tenants.get(name):
                keys.update(dict.fromkeys(tenant.api_keys, tenant))
        return keys


def _entry(route: Route) -> RouteEntry:
    weighted = [split for split in route.splits if split.weight > 0]
    total = sum(split.weight for split in weighted)
    ends, cumulative_weight = [], 0.0
    for split in weighted:
        cumulative_weight += split.weight
        ends.append(_HASH_RANGE * cumulative_weight / total)
    return RouteEntry(route, tuple(split.service for split in weighted), tuple(ends))
