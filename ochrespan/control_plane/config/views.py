"""Typed views of route, service, tenant and limits documents, as routers use them.

Missing values are replaced by the defaults of this module. Fields ending in `_ms` are in milliseconds.
"""

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
RUNTIME_LIMITS = ("capacity", "kv_tokens")
LOWEST_PRIORITY = 9  # 0 is the highest


class RouteType(enum.StrEnum):
    """Determines whether a request may be executed more than once; an unknown type is treated as UNSAFE."""

    SAFE = "safe"  # idempotent: may be executed more than once
    UNSAFE = "unsafe"  # must not be executed more than once
    STREAMING = "streaming"  # a stream of events; may be executed more than once only if the route is `resumable`


class QuotaUnit(enum.StrEnum):
    """The unit of a tenant's quota."""

    REQUESTS = "requests"
    TOKENS = "token_metering"


@dataclass(frozen=True, slots=True)
class Split:
    """A service behind a route, and its weight relative to the other services of the route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A host and path prefix, and how requests for them are routed; priority 0 is the highest."""

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
    """A service, and the settings that apply to each of its instances."""

    name: str
    health_check: str | None
    max_connections: int | None
    runtime: Mapping[str, int | float]


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its API keys and its quota; `rate_per_s` and `burst` count in `unit`, a rate of 0 means no limit."""

    name: str
    api_keys: tuple[str, ...]
    priority: int
    unit: QuotaUnit
    plain_tokens: float
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of a client's requests, the time to receive a header and the idle time of a connection."""

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
    """Returns the view of a checked route document."""
    weighted = tuple(Split(target["backend"], target["weight"]) for target in document.get("traffic_split") or ())
    return Route(
        name=document["name"],
        hostname=document["hostname"].lower(),
        path_prefix=document["path_prefix"],
        route_type=_route_type(document.get("route_type")),
        splits=weighted or (Split(document["backend"], 1),),
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
    """Returns the view of a checked service document."""
    runtime = _runtime_limits(document.get("runtime"))
    return Service(document["name"], document.get("health_check"), document.get("max_connections"), runtime)


def tenant_view(document: Mapping[str, Any]) -> Tenant:
    """Returns the view of a checked tenant document."""
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
    """Returns the view of a checked limits document; missing or null limits have their defaults."""
    given = document or {}
    return ClientLimits(**{name: given[name] for name in ClientLimits.__dataclass_fields__ if given.get(name)})


def _runtime_limits(runtime: Any) -> Mapping[str, int | float]:
    """The limits in a service's runtime; stored documents may be older than its check, and have anything there."""
    if not isinstance(runtime, Mapping):
        return {}
    limits: dict[str, int | float] = {}
    for name in RUNTIME_LIMITS:
        value = runtime.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            limits[name] = value
    return limits


def _route_type(text: str | None) -> RouteType:
    try:
        return RouteType(text or RouteType.UNSAFE)
    except ValueError:
        return RouteType.UNSAFE


def _priority(document: Mapping[str, Any]) -> int:
    priority = document.get("priority")
    return LOWEST_PRIORITY if priority is None else priority
