"""Any request to the configuration interface gets a definite response; a large body does not block other greenlets."""

import io
import json
from http import HTTPStatus

import gevent
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ochrespan.common.validation import MAX_FINDINGS
from ochrespan.control_plane.api.handlers import MAX_BODY_BYTES
from ochrespan.control_plane.config.documents import MAX_NESTING
from tests.support.control_plane_world import World, configuration, route, service, tenant

DEFINITE_STATUSES = {
    HTTPStatus.OK,
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.UNAUTHORIZED,
    HTTPStatus.PRECONDITION_FAILED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}
FUTURE_VERSION = 10**9
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["", "/", "/a/", "judges", "r1", "\ud800", "x" * 5000]),
)
VALUES = st.recursive(
    SCALARS, lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=10), inner, max_size=4)
)
VALID = configuration(
    5,
    route("r1"),
    route("r2", backend=None, traffic_split=[{"backend": "judges", "weight": 1}]),
    tenants=[tenant("t", "k", rate_per_s=5, burst=7, unit="token_metering", plain_tokens=200)],
)
PATCH = {
    "generation": 7,
    "upsert": {"routes": [route("r3")], "services": [service("ledger")], "limits": {"max_body_bytes": 9}},
    "delete": {"routes": ["r1"], "tenants": ["t"], "limits": ["max_body_bytes"]},
}

WRONG_FIELDS = [
    {"timeout_ms": 0},
    {"backend": None},
    {"hostname": 7, "traffic_split": []},
    {"traffic_split": [{"weight": "x"}]},
]


@pytest.fixture(scope="module")
def world():
    world = World(members=2)
    yield world
    world.close()


def call(world: World, method: str, body: bytes, if_match: str = "0") -> tuple[int, dict]:
    """Status and document of a call to the WSGI application; without a server, so that exceptions reach the test."""
    started = []
    environment = {
        "REQUEST_METHOD": method,
        "PATH_INFO": "/api/config",
        "HTTP_IF_MATCH": if_match,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    chunks = world.controllers[1].node.api(environment, lambda status, headers: started.append(status))
    return int(started[0].split()[0]), json.loads(b"".join(chunks))


def paths(value, prefix=()):
    """The path of every value in a document, as a tuple of keys and indices."""
    yield prefix
    children = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, child in children:
        yield from paths(child, (*prefix, key))


def replaced(value, path, new):
    """A copy of a document in which the value at `path` is replaced by `new`."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replaced(copy[path[0]], path[1:], new)
    return copy


@st.composite
def documents(draw):
    """A PUT or a PATCH with a few values replaced by others, and some fields added."""
    method, document = draw(st.sampled_from([("PUT", VALID), ("PATCH", PATCH)]))
    for _ in range(draw(st.integers(0, 3))):
        path = draw(st.sampled_from(list(paths(document))))
        document = replaced(document, path, draw(VALUES))
    if isinstance(document, dict) and draw(st.booleans()):
        document = {**document, draw(st.text(max_size=8)): draw(VALUES)}
    return method, document


@given(documents(), st.sampled_from(["0", "5", "7", '"5"', "W/5", "", "x", "-1", "٣"]))
@settings(
    max_examples=400, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
def test_every_document_gets_a_definite_response(world, drawn, if_match):
    method, document = drawn
    status, response = call(world, method, json.dumps(document).encode(), if_match)
    current = world.controllers[0].state.configuration.current.version
    builds_on_later_version = if_match.strip('W/"').isdecimal() and int(if_match.strip('W/"')) > current
    assert status in DEFINITE_STATUSES or (status == HTTPStatus.SERVICE_UNAVAILABLE and builds_on_later_version)
    assert status == HTTPStatus.OK or response["findings"]


@given(st.binary(max_size=200), st.sampled_from(["PUT", "PATCH"]))
@settings(
    max_examples=200, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
def test_any_bytes_get_a_definite_response(world, body, method):
    assert call(world, method, body)[0] in DEFINITE_STATUSES


@pytest.mark.parametrize("count", [MAX_FINDINGS - 1, MAX_FINDINGS, MAX_FINDINGS + 1, 5 * MAX_FINDINGS])
@pytest.mark.parametrize("wrong", WRONG_FIELDS)
def test_many_wrong_routes_get_the_first_findings_and_their_number(world, count, wrong):
    document = configuration(5, *(route(f"r{number}", **wrong) for number in range(count)))
    status, response = call(world, "PUT", json.dumps(document).encode())
    assert status == HTTPStatus.BAD_REQUEST
    of_one_route = len(call(world, "PUT", json.dumps(configuration(5, route("r", **wrong))).encode())[1]["findings"])
    total = of_one_route * count
    assert len(response["findings"]) == min(total, MAX_FINDINGS)
    assert response.get("findings_total", MAX_FINDINGS) == max(total, MAX_FINDINGS)


def test_many_routes_to_an_unknown_service_get_the_first_findings_and_their_number():
    world = World(members=2)
    document = configuration(5, *(route(f"r{number}", service="nobody") for number in range(2 * MAX_FINDINGS)))
    try:
        status, response = call(world, "PUT", json.dumps(document).encode())
    finally:
        world.close()
    assert status == HTTPStatus.BAD_REQUEST
    assert (len(response["findings"]), response["findings_total"]) == (MAX_FINDINGS, 2 * MAX_FINDINGS)


@pytest.mark.parametrize("section", ["routes", "services", "tenants"])
def test_duplicate_names_beyond_the_bound_of_findings_are_no_failure(world, section):
    items = {"routes": route("same"), "services": service("same"), "tenants": tenant("same", "k")}
    document = {**configuration(5), section: [items[section]] * (3 * MAX_FINDINGS)}
    assert call(world, "PUT", json.dumps(document).encode())[0] == HTTPStatus.BAD_REQUEST


@pytest.mark.parametrize(
    ("depth", "expected"),
    [(MAX_NESTING - 4, HTTPStatus.OK), (MAX_NESTING + 1, HTTPStatus.BAD_REQUEST), (900, HTTPStatus.BAD_REQUEST)],
)
def test_the_nesting_of_a_document_is_bounded(depth, expected):
    world = World(members=2)
    try:
        nested = json.loads("[" * depth + "]" * depth)
        assert call(world, "PUT", json.dumps({**configuration(5), "unknown": nested}).encode())[0] == expected
    finally:
        world.close()


@pytest.mark.parametrize("timeout_ms", [8000, 0])
def test_a_large_body_does_not_block_the_other_greenlets(timeout_ms):
    """Other greenlets run while a thread checks the body; benchmarks/config_checks.py measures how long they wait."""
    world = World(members=2)
    turns = 0

    def count_turns():
        nonlocal turns
        while True:
            turns += 1
            gevent.sleep(0)

    counting = gevent.spawn(count_turns)
    try:
        body = json.dumps(configuration(5, *(route(f"r{number}", timeout_ms=timeout_ms) for number in range(3000))))
        status, _ = call(world, "PUT", body.encode())
        assert status == (HTTPStatus.OK if timeout_ms else HTTPStatus.BAD_REQUEST)
        assert turns > 10
    finally:
        counting.kill()
        world.close()


def test_a_body_over_the_limit_gets_413(world):
    assert call(world, "PUT", b" " * (MAX_BODY_BYTES + 1))[0] == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
