"""Validation of configurations, and the results of valid changes."""

import copy
import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.common.validation import ValidationError
from ochrespan.control_plane.config.configuration import Configuration, change_of_patch, change_to
from ochrespan.control_plane.config.documents import CHECK_CONFIGURATION, CHECK_INSTANCE, CHECK_PATCH, read_json
from ochrespan.control_plane.config.views import service_view
from tests.support.control_plane_world import configuration, instance, route, service, tenant


def read(document):
    return read_json(json.dumps(document).encode(), CHECK_CONFIGURATION)


def applied(document, current=None):
    current = current or Configuration()
    return current.changed_by(change_to(current, read(document)))


def findings_of(document, current=None):
    with pytest.raises(ValidationError) as caught:
        applied(document, current)
    for finding in caught.value.findings:
        assert finding.where and finding.found and finding.allowed
    return [finding.where for finding in caught.value.findings]


def test_a_document_is_read_back_as_it_was_sent_with_unknown_fields():
    document = configuration(7, route("r1", strange=[1]), tenants=[tenant("t", "k")], later={"a": None})
    assert applied(copy.deepcopy(document)).document() == document


SPLIT_WITHOUT_WEIGHT = [{"backend": "judges", "weight": 0}, {"backend": "judges", "weight": 0.0}]


@pytest.mark.parametrize(
    ("document", "where"),
    [
        (configuration(1, route("r1", service="nobody")), "routes.r1"),
        (configuration(1, route("r1", backend=None, traffic_split=[{"backend": "nobody", "weight": 1}])), "routes.r1"),
        (configuration(1, route("r1"), route("r2", path_prefix="/r1/")), "routes.r2"),
        (configuration(1, route("r1"), route("r2", path_prefix="/r1/", hostname="A.example")), "routes.r2"),
        (configuration(1, route("r1", traffic_split=SPLIT_WITHOUT_WEIGHT)), "routes[0].traffic_split"),
        (configuration(1, route("r1", backend=None)), "routes[0].backend"),
        (configuration(1, route("r1", timeout_ms=0)), "routes[0].timeout_ms"),
        (configuration(1, route("r1", timeout_ms=-5)), "routes[0].timeout_ms"),
        (configuration(1, route("r1", timeout_ms="8000")), "routes[0].timeout_ms"),
        (configuration(1, route("r1", timeout_ms=True)), "routes[0].timeout_ms"),
        (configuration(1, route("r1", timeout_ms=10**400)), "routes[0].timeout_ms"),
        (configuration(1, route("r1", path_prefix="r1/")), "routes[0].path_prefix"),
        (configuration(1, route("r1"), route("r1", path_prefix="/x/")), "routes[1].name"),
        (configuration(1, services=[service(), service()]), "services[1].name"),
        (configuration(1, tenants=[tenant("t", "k"), tenant("u", "k")]), "tenants.u.api_keys[0]"),
        (configuration(1, tenants=[tenant("t", "k", rate_per_s=-1)]), "tenants[0].rate_per_s"),
        (configuration(1, tenants=[tenant("t", "k\r\nX: y")]), "tenants[0].api_keys[0]"),
        (configuration(1, tenants=[tenant("t\r\nX: y", "k")]), "tenants[0].name"),
        (configuration(1, tenants=[tenant("\ud800", "k")]), "tenants[0].name"),
        (configuration(1, tenants=[tenant(" t", "k")]), "tenants[0].name"),
        (configuration(1, tenants=[tenant(7, "k")]), "tenants[0].name"),
        (configuration(1, services=[service(runtime=[{"capacity": 4}])]), "services[0].runtime"),
        (configuration(1, services=[service(runtime={"capacity": "4"})]), "services[0].runtime.capacity"),
        (configuration(1, services=[service(runtime={"kv_tokens": -1})]), "services[0].runtime.kv_tokens"),
        (configuration(1, services=[service(runtime={"models": "m"})]), "services[0].runtime.models"),
        (configuration(1, limits={"max_body_bytes": "4"}), "limits.max_body_bytes"),
        (configuration(0), "generation"),
        (configuration(1.5), "generation"),
        ({"generation": 1, "services": []}, "routes"),
        ({"generation": 1, "routes": [], "services": {}}, "services"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_the_position_of_the_fault(document, where):
    assert where in findings_of(document)


def test_all_findings_are_reported_together():
    document = configuration(1, route("r1", timeout_ms=0, path_prefix="x"), route("r2", max_retries=-1))
    assert findings_of(document) == ["routes[0].path_prefix", "routes[0].timeout_ms", "routes[1].max_retries"]


def test_findings_are_bounded():
    assert len(findings_of(configuration(1, *(route("", timeout_ms=0) for _ in range(500))))) == 100


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"nonsense",
        b'{"generation": 1',
        b"\xff",
        b"[]",
        b"1",
        b"null",
        b'{"generation":1,"routes":[],"services":[],"limits":{"max_body_bytes":Infinity}}',
    ],
)
def test_a_body_without_a_valid_document_is_rejected(body):
    with pytest.raises(ValidationError):
        read_json(body, CHECK_CONFIGURATION)


def test_a_generation_must_increase():
    current = applied(configuration(5))
    assert findings_of(configuration(5), current) == ["generation"]
    assert findings_of(configuration(4), current) == ["generation"]


def patched(current, **patch):
    document = read_json(json.dumps({"generation": current.version + 1, **patch}).encode(), CHECK_PATCH)
    return current.changed_by(change_of_patch(current, document))


def test_two_routes_may_swap_their_locations_and_two_tenants_their_keys():
    current = applied(configuration(1, route("a"), route("b"), tenants=[tenant("t", "k1"), tenant("u", "k2")]))
    swapped = patched(
        current,
        upsert={
            "routes": [route("a", path_prefix="/b/"), route("b", path_prefix="/a/")],
            "tenants": [tenant("t", "k2"), tenant("u", "k1")],
        },
    )
    assert swapped.routes["a"]["path_prefix"] == "/b/"
    assert swapped.tenant_names_by_key == {"k1": "u", "k2": "t"}


@pytest.mark.parametrize(
    ("patch", "where"),
    [
        ({"delete": {"services": ["judges"]}}, "routes.r1"),
        ({"upsert": {"routes": [route("r9", path_prefix="/r1/")]}}, "routes.r9"),
        ({"upsert": {"tenants": [tenant("u", "k")]}}, "tenants.u.api_keys[0]"),
        ({"upsert": {"routes": [route("r9", service="nobody")]}}, "routes.r9"),
        ({"generation": 1}, "generation"),
    ],
)
def test_a_patch_is_validated_together_with_what_it_leaves_unchanged(patch, where):
    current = applied(configuration(1, route("r1"), tenants=[tenant("t", "k")]))
    with pytest.raises(ValidationError) as caught:
        patched(current, **patch)
    assert [finding.where for finding in caught.value.findings] == [where]


def test_a_service_may_be_deleted_together_with_its_last_route():
    current = applied(
        configuration(1, route("r1"), route("r2", service="ledger"), services=[service(), service("ledger")])
    )
    after = patched(current, delete={"services": ["ledger"], "routes": ["r2"]})
    assert list(after.services) == ["judges"] and list(after.routes) == ["r1"]


_names = st.sampled_from("abcdef")
_routes = st.dictionaries(_names, st.tuples(st.integers(1, 3), _names), max_size=6)


@given(st.lists(_routes, min_size=1, max_size=6))
@settings(deadline=None)
def test_changes_from_version_to_version_give_the_state_of_the_complete_document(versions):
    by_steps = Configuration()
    for generation, routes in enumerate(versions, start=1):
        listed = [route(name, timeout_ms=timeout, hostname=f"{name}{host}") for name, (timeout, host) in routes.items()]
        document = {"generation": generation, "routes": listed, "services": [service()], "limits": {}}
        step = change_to(by_steps, document)
        unchanged = {each["name"] for each in listed if by_steps.routes.get(each["name"]) == each}
        assert not unchanged & {each["name"] for each in step.routes.upserted}
        by_steps = by_steps.changed_by(step)
        at_once = Configuration().changed_by(change_to(Configuration(), document))
        assert by_steps.routes == at_once.routes
        assert by_steps.route_names_by_location == at_once.route_names_by_location


def test_a_patch_of_one_route_among_thousands_costs_little():
    current = applied(configuration(1, *(route(f"r{number}") for number in range(20_000))))
    started_at = time.process_time()
    for _ in range(10):
        current = patched(current, upsert={"routes": [route("new", path_prefix=f"/new{current.version}/")]})
    assert time.process_time() - started_at < 1.0


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "asleep"},
        {"address": "nowhere"},
        {"address": 7},
        {"sequence": -1},
        {"backend": ""},
        {"capacity": "8"},
        {"models": [{"generation": 1}]},
        {"cold_remaining_ms": -1},
    ],
)
def test_a_malformed_report_of_a_server_is_rejected(fields):
    with pytest.raises(ValidationError) as caught:
        read_json(json.dumps({**instance(1), **fields}).encode(), CHECK_INSTANCE)
    assert next(iter(fields)) in caught.value.findings[0].where


@pytest.mark.parametrize("runtime", [None, [], "x", 5, {"capacity": "4", "kv_tokens": [1]}, {"capacity": True}])
def test_a_stored_runtime_from_before_its_check_limits_nothing(runtime):
    assert service_view(service(runtime=runtime)).runtime == {}


def test_a_tenant_may_have_a_name_with_letters_of_any_script():
    assert applied(configuration(1, tenants=[tenant("Cēsis", "k"), tenant("Старый город", "l")])).version == 1


def test_a_runtime_limits_capacity_and_tokens():
    runtime = {"capacity": 4, "kv_tokens": 4096.5, "kv_bytes": 35136.0, "stride": 3, "models": [{"name": "m"}], "x": []}
    assert applied(configuration(1, services=[service(runtime=runtime)])).version == 1
    assert service_view(service(runtime=runtime)).runtime == {"capacity": 4, "kv_tokens": 4096.5}
