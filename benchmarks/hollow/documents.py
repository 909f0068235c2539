"""Configurations and instances of a fleet of any size, in the form in which operators and servers send them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ochrespan.control_plane.instances import InstanceRecord, record_of

MODELS = 11  # services with servers for a language model
ZONES = 13
KEYS_PER_TENANT = 2
ROUTES_PER_HOST = 20


def service_name(number: int) -> str:
    """The name of one of the services, which are taken in turn."""
    return f"model-{number % MODELS}"


def route(number: int, timeout_ms: int = 15_000) -> dict[str, Any]:
    """A streaming route."""
    return {
        "name": f"route-{number}",
        "hostname": f"host-{number // ROUTES_PER_HOST}.example",
        "path_prefix": f"/path-{number}/",
        "route_type": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 800,
        "priority": number % 3,
        "backend": service_name(number),
        "max_retries": 2,
        "public": False,
        "session_affinity": True,
        "resumable": True,
        "gap_aim_ms": 250,
    }


def service(number: int) -> dict[str, Any]:
    """A service whose servers run a language model."""
    runtime = {"capacity": 128, "kv_tokens": 598_962, "kv_bytes": 35_136, "link_mbps": 550_000.0, "stride": 3}
    return {
        "name": service_name(number),
        "health_check": "/healthz",
        "max_connections": 610,
        "protocol": "h1",
        "tls": False,
        "runtime": {**runtime, "models": [{"name": "m"}]},
    }


def tenant(number: int) -> dict[str, Any]:
    """A tenant whose quota is counted in tokens."""
    return {
        "name": f"tenant-{number}",
        "api_keys": [f"key-{number}-{key}-3d3zji9n73hh2" for key in range(KEYS_PER_TENANT)],
        "priority": number % 3,
        "unit": "token_metering",
        "plain_tokens": 200,
        "rate_per_s": 71_430,
        "burst": 112_296,
    }


def configuration(generation: int, routes: int, tenants: int) -> dict[str, Any]:
    """A whole configuration."""
    return {
        "generation": generation,
        "routes": [route(number) for number in range(routes)],
        "services": [service(number) for number in range(MODELS)],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [tenant(number) for number in range(tenants)],
    }


def patch(generation: int, changed_routes: Iterable[int], timeout_ms: int) -> dict[str, Any]:
    """A change of some routes' time-outs."""
    routes = [route(number, timeout_ms) for number in changed_routes]
    return {"generation": generation, "upsert": {"routes": routes}}


def instance_id(number: int) -> str:
    """The id of a server's incarnation."""
    return f"i-{number:08x}"


def report(number: int, sequence: int, state: str = "ready") -> dict[str, Any]:
    """A server's report of itself."""
    address = f"10.{128 + number // 62_500}.{number // 250 % 250}.{number % 250}:80"
    return {
        "backend": service_name(number),
        "address": address,
        "zone": f"zone-{number % ZONES}",
        "generation": "v1",
        "capacity": 128,
        "state": state,
        "cold_remaining_ms": 0,
        "phase": "dual",
        "models": [{"name": "m", "generation": 1, "adapters": []}],
        "sequence": sequence,
    }


def record(number: int, sequence: int = 1, state: str = "ready") -> InstanceRecord:
    """The record of a server's report."""
    return record_of(instance_id(number), report(number, sequence, state))
