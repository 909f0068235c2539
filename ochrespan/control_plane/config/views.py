"""The routers' typed views of routes, services, tenants and client limits."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

DEFAULT_TIMEOUT_MS = 60_000.0
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
LOWEST_PRIORITY = 9


class RouteType(enum.StrEnum):
    """What may be repeated on a route; a type that is not known counts as unsafe."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class QuotaUnit(enum.StrEnum):
    """What a tenant's quota is measured in."""

    REQUESTS = "requests"
    TOKENS = "token_metering"


@dataclass(frozen=True, slots=True)
class Split:
    """A service behind a route, and its weight among the services of the route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A host and path prefix, and what holds for requests to it."""

    name: str
    hostname: str
    path_prefix: str
    route_type: RouteType
    splits: tuple[Split, ...]
    timeout_ms: float
    target_latency_ms: float | None
    priority: int
    max_retries: int
    public: bool
    session_affinity: bool
    resumable: bool
    gap_aim_ms: float | None


@dataclass(frozen=True, slots=True)
class Service:
    """A service and what is known of its servers in advance."""

    name: str
    health_check: str | None
    max_connections: int | None
    runtime: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its keys and its quota; a rate of 0 means no limit."""

    name: str
    api_keys: tuple[str, ...]
    priority: int
    unit: QuotaUnit
    plain_tokens: float
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take or remain idle."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """All routes, services, tenants and limits at one version."""

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()


def route_view(document: Mapping[str, Any]) -> Route:
    """The route of a checked document."""
    split = document.get("traffic_split")
    splits = tuple(Split(part["backend"], part["weight"]) for part in split or ()) or (Split(document["backend"], 1),)
    return Route(
        name=document["name"],
        hostname=document["hostname"].lower(),
        path_prefix=document["path_prefix"],
        route_type=_route_type(document.get("route_type")),
        splits=splits,
        timeout_ms=document.get("timeout_ms") or DEFAULT_TIMEOUT_MS,
        target_latency_ms=document.get("target_latency_ms"),
        priority=_priority(document),
        max_retries=document.get("max_retries") or 0,
        public=bool(document.get("public")),
        session_affinity=bool(document.get("session_affinity")),
        resumable=bool(document.get("resumable")),
        gap_aim_ms=document.get("gap_aim_ms"),
    )


def service_view(document: Mapping[str, Any]) -> Service:
    """The service of a checked document."""
    runtime = document.get("runtime") or {}
    return Service(document["name"], document.get("health_check"), document.get("max_connections"), runtime)


def tenant_view(document: Mapping[str, Any]) -> Tenant:
    """The tenant of a checked document."""
    return Tenant(
        name=document["name"],
        api_keys=tuple(document["api_keys"]),
        priority=_priority(document),
        unit=QuotaUnit.TOKENS if document.get("unit") == QuotaUnit.TOKENS else QuotaUnit.REQUESTS,
        plain_tokens=document.get("plain_tokens") or 0.0,
        rate_per_s=document.get("rate_per_s") or 0.0,
        burst=document.get("burst") or 0.0,
    )


def limits_view(document: Mapping[str, Any] | None) -> ClientLimits:
    """The limits of a checked document; those that are missing take their defaults."""
    given = document or {}
    return ClientLimits(**{name: given[name] for name in ClientLimits.__dataclass_fields__ if given.get(name)})


def _route_type(text: str | None) -> RouteType:
    try:
        return RouteType(text or RouteType.UNSAFE)
    except ValueError:
        return RouteType.UNSAFE


def _priority(document: Mapping[str, Any]) -> int:
    priority = document.get("priority")
    return LOWEST_PRIORITY if priority is None else priority
