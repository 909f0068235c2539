"""Keys, defaults and findings of the programs' settings, and findings of documents for the control interface."""

from __future__ import annotations

import copy
import json
import types
from collections.abc import Callable
from dataclasses import astuple
from typing import Annotated, Any, NotRequired, Union, get_args, get_origin, get_type_hints, is_typeddict
from unittest.mock import MagicMock, patch

import pytest
import yaml

from ochrespan.common.validation import MAX_FINDINGS, ValidationError
from ochrespan.control_plane.config.documents import (
    CHECK_CONFIGURATION,
    CHECK_INSTANCE,
    CHECK_LEADERSHIP,
    CHECK_PATCH,
    read_json,
)
from ochrespan.control_plane.quota.allocation import quota_bounds
from ochrespan.programs import controller_process, router_process
from ochrespan.programs.settings import Settings, parse_settings, read_settings, secure_peers, settings_path
from tests.support.control_plane_world import configuration, instance, route, service, tenant

PLACE = "node.yaml"
LEAST_SETTINGS = {
    "node": "core-a-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "port_range": [7500, 7515],
    "seeds": ["127.0.0.1:8367"],
    "listen": {},
}
MISSING = object()

# Wrong values of every key; what is not in this table and not a key is ignored.
WRONG_SETTINGS: dict[str, list[Any]] = {
    "node": [MISSING, 7, "", "n" * 4097, None],
    "ip": [MISSING, 7, ""],
    "zone": [MISSING, ["a"], ""],
    "port_range": [MISSING, "7500", [7500], [7515, 7500], [0, 1], [1, 65536], [1.0, 2]],
    "seeds": [MISSING, "127.0.0.1:1", [7], ["127.0.0.1"], ["127.0.0.1:1", ":1", "h:65536"]],
    "listen": [MISSING, "127.0.0.1:1", None],
    "listen.front": [8080, "127.0.0.1"],
    "listen.ready": [8080, ":80"],
    "listen.control": [8080, "host:port"],
    "role": [7, ""],
    "machine_class": [7, ""],
    "serves": ["a", [7], [""]],
    "region": [7],
    "zones": ["a", {"a": 7}],
    "bootstrap": ["yes", 1, None],
    "counts_for_quorum": ["no", 0],
    "limits": [7, None],
    "limits.cpu_share": [0, -1, "1", True],
    "limits.cores": [0, 1.5, "1"],
    "limits.memory_mb": [-1, "1", float("inf"), float("nan")],
    "limits.max_fds": [-1, 1.5, True],
    "limits.link_mbps": [-0.5, "1"],
    "limits.disk_mb": [-1, "1"],
    "data_dir": [7, ""],
    "heartbeat_ms": [0, -1, "1000", 2**54],
    "contracts": ["a", [""]],
    "fault_tolerance": [1],
    "fault_tolerance.machines": [-1, 1.5],
    "fault_tolerance.zones": [-1, "1"],
    "fault_tolerance.regions": [-1, None],
    "peer_tls": [True, {}],
    "peer_tls.certificate": [7, ""],
    "peer_tls.key": [7, ""],
    "peer_tls.authority": [7, ""],
    "decision_records": [-0.1, 1.5, True, "1"],
    "log_level": ["LOUD", "info", 7, None],
}
UNCHECKED_SETTINGS = {"bounds"}
BOUNDS_OF_QUOTAS = ("quota_window_s", "quota_overshoot", "quota_slack")
BOUND_VALUE = 3.5


def findings_of(check: Callable[[], Any]) -> list[str]:
    """The findings as people read them; empty where nothing is wrong."""
    try:
        check()
    except ValidationError as error:
        assert str(error) == "; ".join(str(finding) for finding in error.findings)
        return [str(finding) for finding in error.findings]
    return []


def changed(document: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """A copy of the document with this value at a path like `limits.cores`, or without it."""
    copied = copy.deepcopy(document)
    *outer, last = path.split(".")
    place = copied
    for name in outer:
        place = place.setdefault(name, {})
    if value is MISSING:
        del place[last]
    else:
        place[last] = value
    return copied


def findings_of_settings(document: Any) -> list[str]:
    return findings_of(lambda: parse_settings(yaml.safe_dump(document), PLACE))


def shown(value: Any) -> str:
    """A value as the name of a case."""
    text = "missing" if value is MISSING else repr(value)
    return text if len(text) <= 40 else f"{text[:40]}... of {len(text)}"


# Settings


def declared_keys(typed_dict: type) -> dict[str, Any]:
    """Each key, whether it is needed, and its type; a map with keys of its own is written as these."""
    keys = {}
    for name, hint in get_type_hints(typed_dict, include_extras=True).items():
        is_needed = get_origin(hint) is not NotRequired
        keys[name] = {"needed": is_needed, "type": declared_type(hint)}
    return keys


def declared_type(hint: Any) -> Any:
    """A type by the names of Python's own types, without the names of the program's classes."""
    if get_origin(hint) in (NotRequired, Annotated):
        return declared_type(get_args(hint)[0])
    if is_typeddict(hint):
        return {"keys": declared_keys(hint)}
    if get_origin(hint) in (Union, types.UnionType):
        return {"any of": [declared_type(each) for each in get_args(hint)]}
    if hint is Any or hint is types.NoneType:
        return "anything" if hint is Any else "null"
    if arguments := get_args(hint):
        return {get_origin(hint).__name__: [declared_type(each) for each in arguments]}
    assert hint.__module__ == "builtins"
    return hint.__name__


def alternatives_of(kind: Any) -> list[Any]:
    """The types of which a value may have any."""
    return kind.get("any of", [kind]) if isinstance(kind, dict) else []


def paths_of(keys: dict[str, Any], prefix: str = "") -> set[str]:
    """The paths of all keys, those of the maps within included."""
    paths = set()
    for name, key in keys.items():
        paths.add(prefix + name)
        for kind in alternatives_of(key["type"]):
            if "keys" in kind:
                paths |= paths_of(kind["keys"], f"{prefix}{name}.")
    return paths


def test_keys_and_types_of_the_settings(snapshot):
    keys = declared_keys(Settings)
    assert keys == snapshot
    assert paths_of(keys) == WRONG_SETTINGS.keys() | UNCHECKED_SETTINGS


@pytest.mark.parametrize("path", WRONG_SETTINGS)
def test_findings_of_a_wrong_setting(path, snapshot):
    findings = {
        shown(value): findings_of_settings(changed(LEAST_SETTINGS, path, value)) for value in WRONG_SETTINGS[path]
    }
    assert all(findings.values())
    assert findings == snapshot


def test_an_unknown_key_is_no_finding():
    assert findings_of_settings(LEAST_SETTINGS) == []
    for path in ("unknown", "listen.unknown", "limits.unknown", "fault_tolerance.unknown", "bounds.unknown"):
        assert findings_of_settings(changed(LEAST_SETTINGS, path, {"anything": [1]})) == []


def test_all_findings_of_the_settings_come_at_once(snapshot):
    assert findings_of_settings({"zone": 3, "ip": "10.1.0.6", "limits": {"cores": 0, "disk_mb": "x"}}) == snapshot


@pytest.mark.parametrize("source", ["", "[1", "just text", "7", "- a"])
def test_findings_of_what_is_no_settings_document(source, snapshot):
    assert findings_of(lambda: parse_settings(source, PLACE)) == snapshot


def test_findings_of_a_settings_file_that_is_not_there(tmp_path, snapshot):
    path = tmp_path / "nothing.yaml"
    found = [*findings_of(lambda: settings_path({})), *findings_of(lambda: read_settings(path))]
    assert [each.replace(str(path), "<path>") for each in found] == snapshot


def test_findings_of_what_one_program_needs(snapshot):
    settings = parse_settings(yaml.safe_dump(LEAST_SETTINGS), PLACE)
    broken = {"certificate": "/nowhere/a.pem", "key": "/nowhere/b.pem", "authority": "/nowhere/c.pem"}
    with_tls = parse_settings(yaml.safe_dump({**LEAST_SETTINGS, "peer_tls": broken}), PLACE)
    assert {
        "folder of a controller": findings_of(lambda: controller_process.host_settings(settings)),
        "address of a controller": findings_of(lambda: controller_process.control_address(settings)),
        "front of a router": findings_of(lambda: router_process.listen_address(settings, "front")),
        "platform's address of a router": findings_of(lambda: router_process.listen_address(settings, "ready")),
        "files for TLS": findings_of(lambda: secure_peers(with_tls)),
    } == snapshot


# What programs make of the settings, and the defaults


CONTROLLER_SETTINGS = {**LEAST_SETTINGS, "data_dir": "/data", "listen": {"control": "127.0.0.1:8367"}}
GIVEN_TO_CONTROLLER = {
    "bootstrap": True,
    "limits": {"disk_mb": 64},
    "fault_tolerance": {"machines": 2},
    "heartbeat_ms": 250,
    "bounds": {"quota_window_s": 4, "quota_overshoot": 0.25, "quota_slack": 6},
}
ROUTER_SETTINGS = {**LEAST_SETTINGS, "listen": {"front": "127.0.0.1:8080", "ready": "127.0.0.1:8081"}}
GIVEN_TO_ROUTER = {
    "limits": {"max_fds": 2000, "memory_mb": 100},
    "decision_records": 0.5,
    "bounds": {"retry_budget_ratio": 0.5, "budget_slack": 3, "budget_window_s": 4, "grace_s": 2},
}


def read_by_controller(settings: dict[str, Any]) -> dict[str, Any]:
    """What a controller takes from its settings, by the keys of the settings."""
    parts = ("ReplicaHost", "ControllerNode", "MembershipAgent")
    with patch.multiple(controller_process, **{part: MagicMock() for part in parts}):
        controller_process.Controller(settings)
        node, _ = controller_process.ControllerNode.call_args.args
    host = controller_process.host_settings(settings)
    return {
        "ip and port_range": host.address,
        "seeds": host.seeds,
        "node": [host.node, node.node],
        "zone": node.zone,
        "data_dir": host.data_dir,
        "limits.disk_mb": host.disk_mb,
        "bootstrap": host.bootstrap,
        "fault_tolerance.machines": host.fault_tolerance,
        "heartbeat_ms in seconds": node.heartbeat_s,
        "bounds of quotas": astuple(node.quota_bounds),
    }


def read_by_router(settings: dict[str, Any]) -> dict[str, Any]:
    """What a router takes from its settings, by the keys of the settings."""
    parts = ("Scheduler", "FeedClient", "MembershipAgent", "PrefixPlacementClient", "RouterNode", "quota_client_for")
    with patch.multiple(router_process, **{part: MagicMock() for part in parts}):
        router = router_process.Router(settings)
        router.stop()
        node = router_process.RouterNode.return_value
        zone, _, ratio, slack, window_s = router_process.Scheduler.call_args.args
        front, ready, granted, *_ = router_process.RouterNode.call_args.args
        (times,) = node.drain.call_args.args
    return {
        "listen.front": front,
        "listen.ready": ready,
        "limits.max_fds and memory_mb": astuple(granted),
        "zone": zone,
        "decision_records": node.decision_log.sample_rate,
        "bounds.retry_budget_ratio": ratio,
        "bounds.budget_slack": slack,
        "bounds.budget_window_s": window_s,
        "bounds.grace_s as times of the drain": [round(each, 6) for each in astuple(times)],
    }


def test_what_a_controller_reads_and_its_defaults(snapshot):
    assert read_by_controller(CONTROLLER_SETTINGS) == snapshot(name="defaults")
    assert read_by_controller({**CONTROLLER_SETTINGS, **GIVEN_TO_CONTROLLER}) == snapshot(name="given")


def test_what_a_router_reads_and_its_defaults(snapshot):
    assert read_by_router(ROUTER_SETTINGS) == snapshot(name="defaults")
    assert read_by_router({**ROUTER_SETTINGS, **GIVEN_TO_ROUTER}) == snapshot(name="given")


def test_bounds_of_quotas_and_their_defaults(snapshot):
    read = {name: astuple(quota_bounds({name: BOUND_VALUE})) for name in BOUNDS_OF_QUOTAS}
    assert {"defaults": astuple(quota_bounds({})), **read} == snapshot


# Documents for the control interface


def with_route(**fields: Any) -> dict[str, Any]:
    return configuration(1, route("r", **fields))


def with_service(**fields: Any) -> dict[str, Any]:
    return configuration(1, services=[service(**fields)])


def with_tenant(*keys: Any, **fields: Any) -> dict[str, Any]:
    return configuration(1, tenants=[tenant("t", *keys, **fields)])


def without(document: dict[str, Any], *names: str) -> dict[str, Any]:
    return {name: value for name, value in document.items() if name not in names}


SPLIT_OF_NOTHING = [{"backend": "judges", "weight": 0}]
WRONG_CONFIGURATIONS: dict[str, Any] = {
    "no map": [],
    "nothing": {},
    "generation below 0": configuration(-1),
    "generation too large": configuration(2**53 + 1),
    "generation with a fraction": configuration(1.5),
    "generation true": configuration(True),
    "routes no list": configuration(1, routes="r"),
    "route no map": configuration(1, routes=[7]),
    "route without fields": configuration(1, routes=[{}]),
    "two routes of one name": configuration(1, route("r"), route("s"), route("r")),
    "route.name": configuration(1, route("")),
    "route.name too long": configuration(1, route("n" * 1025)),
    "route.hostname": with_route(hostname=7),
    "route.path_prefix": with_route(path_prefix="r/"),
    "route.path_prefix without an end": with_route(path_prefix="/r"),
    "route.route_type": with_route(route_type=""),
    "route.timeout_ms": with_route(timeout_ms=0),
    "route.target_latency_ms": with_route(target_latency_ms=-1),
    "route.priority": with_route(priority=1.5),
    "route.backend": with_route(backend=""),
    "route.backend missing": with_route(backend=None),
    "route.backend with an empty split": with_route(traffic_split=[]),
    "route.traffic_split no list": with_route(traffic_split={}),
    "route.traffic_split of nothing": with_route(traffic_split=SPLIT_OF_NOTHING),
    "route.traffic_split without fields": with_route(traffic_split=[{}]),
    "route.traffic_split.weight": with_route(traffic_split=[{"backend": 7, "weight": -1}]),
    "route.max_retries": with_route(max_retries=-1),
    "route.public": with_route(public="yes"),
    "route.session_affinity": with_route(session_affinity=1),
    "route.resumable": with_route(resumable=0),
    "route.gap_aim_ms": with_route(gap_aim_ms="5"),
    "services no list": configuration(1, services=None),
    "service no map": configuration(1, services=["judges"]),
    "two services of one name": configuration(1, services=[service(), service()]),
    "service without a name": configuration(1, services=[{}]),
    "service.health_check": with_service(health_check=7),
    "service.max_connections": with_service(max_connections=-1),
    "service.protocol": with_service(protocol=2),
    "service.tls": with_service(tls="no"),
    "tenants no list": configuration(1, tenants={}),
    "two tenants of one name": configuration(1, tenants=[tenant("t", "k1"), tenant("t", "k2")]),
    "tenant without fields": configuration(1, tenants=[{}]),
    "tenant.api_keys": with_tenant("", "with space", "é", 7),
    "tenant.api_keys no list": configuration(1, tenants=[{"name": "t", "api_keys": "k"}]),
    "tenant.priority": with_tenant("k", priority=-1),
    "tenant.unit": with_tenant("k", unit=7),
    "tenant.plain_tokens": with_tenant("k", plain_tokens=-1),
    "tenant.rate_per_s": with_tenant("k", rate_per_s="3"),
    "tenant.burst": with_tenant("k", burst=2**54),
    "limits no map": configuration(1, limits=None),
    "limits.max_header_bytes": configuration(1, limits={"max_header_bytes": 0}),
    "limits.max_body_bytes": configuration(1, limits={"max_body_bytes": -1}),
    "limits.header_timeout_ms": configuration(1, limits={"header_timeout_ms": 0}),
    "limits.idle_timeout_ms": configuration(1, limits={"idle_timeout_ms": "5"}),
    "a value too long to show": with_route(route_type="t" * 5000),
}
WRONG_PATCHES: dict[str, Any] = {
    "no map": None,
    "nothing": {},
    "generation": {"generation": "9"},
    "upsert no map": {"generation": 9, "upsert": []},
    "upsert.routes": {"generation": 9, "upsert": {"routes": [route("r"), route("r")]}},
    "upsert.services": {"generation": 9, "upsert": {"services": [{}]}},
    "upsert.tenants": {"generation": 9, "upsert": {"tenants": [tenant("t", "")]}},
    "upsert.tenants null": {"generation": 9, "upsert": {"tenants": None}},
    "upsert.limits": {"generation": 9, "upsert": {"limits": {"max_body_bytes": "1"}}},
    "delete no map": {"generation": 9, "delete": "r"},
    "delete.routes": {"generation": 9, "delete": {"routes": "r"}},
    "delete.services": {"generation": 9, "delete": {"services": [7]}},
    "delete.tenants": {"generation": 9, "delete": {"tenants": [""]}},
    "delete.limits": {"generation": 9, "delete": {"limits": [None]}},
}
WRONG_INSTANCES: dict[str, Any] = {
    "no map": "ready",
    "nothing": {},
    "backend": instance(1, backend=""),
    "address": instance(1, address="10.0.0.9"),
    "address no string": instance(1, address=["10.0.0.9", 80]),
    "state": instance(1, "ended"),
    "state missing": without(instance(1), "state"),
    "sequence": instance(-1),
    "zone": instance(1, zone=7),
    "generation": instance(1, generation=7),
    "capacity": instance(1, capacity=1.5),
    "cold_remaining_ms": instance(1, cold_remaining_ms=-1),
    "phase": instance(1, phase=False),
    "models no list": instance(1, models="m"),
    "models without a name": instance(1, models=[{}]),
    "models.name": instance(1, models=[{"name": 7}]),
    "models.generation": instance(1, models=[{"name": "", "generation": -1}]),
}
WRONG_LEADERSHIP: dict[str, Any] = {
    "no map": 30,
    "nothing": {},
    "decline_for_s": {"decline_for_s": -1},
    "decline_for_s null": {"decline_for_s": None},
}
CASES = [
    pytest.param(check, document, id=f"{kind}: {name}")
    for kind, check, documents in (
        ("configuration", CHECK_CONFIGURATION, WRONG_CONFIGURATIONS),
        ("patch", CHECK_PATCH, WRONG_PATCHES),
        ("instance", CHECK_INSTANCE, WRONG_INSTANCES),
        ("leadership", CHECK_LEADERSHIP, WRONG_LEADERSHIP),
    )
    for name, document in documents.items()
]


def findings_of_document(check: Any, document: Any) -> list[str]:
    return findings_of(lambda: read_json(json.dumps(document).encode(), check))


@pytest.mark.parametrize(("check", "document"), CASES)
def test_findings_of_a_wrong_document(check, document, snapshot):
    findings = findings_of_document(check, document)
    assert findings and findings == snapshot


def test_fields_that_may_be_null_or_unknown_are_no_finding():
    nullable_of_route = ("target_latency_ms", "priority", "max_retries", "public", "session_affinity", "resumable")
    nullable_of_tenant = ("priority", "unit", "plain_tokens", "rate_per_s", "burst")
    nullable_of_limits = ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms")
    document = configuration(
        1,
        route("r", **dict.fromkeys(nullable_of_route), gap_aim_ms=None, traffic_split=None, unknown=1),
        services=[service(**dict.fromkeys(("health_check", "max_connections", "protocol", "tls", "runtime")))],
        tenants=[tenant("t", "k", **dict.fromkeys(nullable_of_tenant), unknown=1)],
        limits=dict.fromkeys((*nullable_of_limits, "unknown")),
    )
    nullable_of_instance = ("zone", "generation", "capacity", "cold_remaining_ms", "phase", "models")
    assert findings_of_document(CHECK_CONFIGURATION, document) == []
    assert findings_of_document(CHECK_CONFIGURATION, {**configuration(1), "tenants": None}) == []
    assert findings_of_document(CHECK_PATCH, {"generation": 1, "upsert": None, "delete": None, "unknown": 1}) == []
    assert findings_of_document(CHECK_INSTANCE, instance(1, **dict.fromkeys(nullable_of_instance), unknown=1)) == []


@pytest.mark.parametrize("section", ["services", "tenants"])
def test_the_number_of_findings_is_bounded(section, snapshot):
    findings = findings_of_document(CHECK_CONFIGURATION, configuration(1, **{section: [7] * (MAX_FINDINGS + 1)}))
    assert [len(findings), findings[-1]] == snapshot
