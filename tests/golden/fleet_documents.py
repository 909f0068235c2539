"""Documents that the scripted controllers answer with, and files that the commands read."""

from __future__ import annotations

from typing import Any

CONFIGURATION: dict[str, Any] = {
    "generation": 5,
    "routes": [
        {
            "name": name,
            "hostname": "a.example",
            "path_prefix": f"/{name}/",
            "route_type": "streaming",
            "timeout_ms": 8000,
            "backend": "judges",
            "max_retries": 2,
            "priority": 1,
        }
        for name in ("chat", "search")
    ],
    "services": [{"name": "judges", "health_check": "/healthz", "max_connections": 96}],
    "tenants": [{"name": "acme", "api_keys": ["key-of-acme"]}],
    "limits": {"max_body_bytes": 4194304},
}

CHANGED_CONFIGURATION: dict[str, Any] = {
    **CONFIGURATION,
    "generation": 8,
    "routes": [
        {**CONFIGURATION["routes"][0], "timeout_ms": 5},
        {**CONFIGURATION["routes"][1], "name": "images", "path_prefix": "/images/"},
    ],
    "services": [*CONFIGURATION["services"], {"name": "ledger", "health_check": "/healthz", "max_connections": 8}],
    "tenants": [],
    "limits": {"max_body_bytes": 7},
}

INVALID_CONFIGURATION: dict[str, Any] = {
    "generation": -1,
    "routes": [
        {**CONFIGURATION["routes"][0], "timeout_ms": -1, "path_prefix": "x", "route_type": "sideways"},
        {"name": "", "max_retries": "two"},
    ],
    "services": [{"name": 7}],
    "tenants": [{"name": "acme", "api_keys": ["a key"]}],
    "limits": {"max_body_bytes": "many"},
}

CONFLICTING_CONFIGURATION: dict[str, Any] = {
    **CONFIGURATION,
    "routes": [
        {**CONFIGURATION["routes"][0], "backend": "nobody"},
        {**CONFIGURATION["routes"][1], "path_prefix": "/chat/"},
    ],
    "tenants": [{"name": name, "api_keys": ["shared"]} for name in ("acme", "bolt")],
}

READY_INSTANCE: dict[str, Any] = {
    "id": "i-1",
    "backend": "judges",
    "address": "10.0.0.9:8080",
    "zone": "hall-a",
    "generation": "v1",
    "capacity": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 3,
}
DRAINING_INSTANCE: dict[str, Any] = {
    **READY_INSTANCE,
    "id": "i-2",
    "backend": "ledger",
    "address": "10.0.0.8:1",
    "state": "draining",
}

STATUS: dict[str, Any] = {
    "node": "core-1",
    "zone": "hall-a",
    "cluster": "c0ffee",
    "version": 5,
    "declines_leadership_for_s": 0,
    "shards": [
        {"shard": "config", "leader": "10.0.0.1:5000", "quorum_age_s": 0.25, "offset": 12, "bearable_losses": 1},
        {"shard": "instances-0", "leader": None, "quorum_age_s": 31.0, "offset": 1024},
    ],
    "controllers": [
        {"address": "10.0.0.2:5000", "zone": "hall-b"},
        {"address": "10.0.0.1:5000", "zone": "hall-a"},
    ],
    "routers": ["edge-1", "edge-2"],
    "instances": [DRAINING_INSTANCE, READY_INSTANCE],
}
EMPTY_STATUS: dict[str, Any] = {
    **STATUS,
    "cluster": None,
    "version": 0,
    "declines_leadership_for_s": 60.0,
    "shards": [],
    "controllers": [],
    "routers": [],
    "instances": [],
}

STATE: dict[str, Any] = {
    "configuration": CONFIGURATION,
    "accepted_commands": [{"digest": "00ff" * 8, "version": 4}, {"digest": "0a0b" * 8, "version": 5}],
    "last_evicted_version": 2,
}

HISTORY: dict[str, Any] = {
    "changes": [
        {
            "version": 5,
            "builds_on": 0,
            "received_ms": 1_770_000_000_000,
            "kind": "whole",
            "changed": {"routes": [2, 0], "services": [1, 0]},
        },
        {"version": 7, "builds_on": 5, "received_ms": 0, "kind": "patch", "changed": {"routes": [0, 1]}},
        {"version": 9, "builds_on": 7, "received_ms": 1_770_000_060_000, "kind": "patch", "changed": {}},
    ]
}

REFUSAL: dict[str, Any] = {
    "findings": [
        {"where": "If-Match", "found": "4", "allowed": "5, the newest version"},
        {"where": "routes[0].backend", "found": "'nobody'", "allowed": "the name of a service"},
    ]
}

BACKUP: dict[str, Any] = {
    "format": "ochrespan control state",
    "format_version": 1,
    "checksum": "",
    "taken_at": "2026-12-02T07:00:00+00:00",
    "configuration": CONFIGURATION,
    "instances": [DRAINING_INSTANCE],
}

SETTINGS = """\
node: core-1
ip: 10.0.0.1
zone: hall-a
port_range: [3, 9]
seeds: ['10.0.0.1:5']
listen: {}
"""
SETTINGS_WITH_FINDINGS = """\
node: ''
ip: 7
port_range: [9, 3]
seeds: [nowhere, '10.0.0.1:5']
listen: {front: nowhere, ready: 1, control: ':'}
role: ''
serves: router
region: 3
zones: [hall-a]
bootstrap: 'yes'
limits: {cpu_share: 0, cores: 0.5, memory_mb: -1, max_fds: many}
data_dir: ''
heartbeat_ms: 0
contracts: [1]
fault_tolerance: {machines: -1, zones: 1.5}
peer_tls: {certificate: a.pem}
decision_records: 2
log_level: loud
"""
