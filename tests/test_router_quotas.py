"""Quotas: a request takes tokens on arrival, renews them before it is sent, and is refused with 429 without them."""

from dataclasses import replace

import gevent
import pytest

from ochrespan.control_plane.config.views import QuotaUnit
from ochrespan.control_plane.quota.client import UNLIMITED, TokenReservation
from tests.fleet_standins import StandInServer, configuration, respond, route, router, stream, tenant

USAGE = "X-Credential: key\r\nX-Token-Usage: 1460,80\r\n"
REFUSED = TokenReservation(False, 0.75)


class ScriptedQuotas:
    """Returns scripted reservations; the last entry is repeated."""

    def __init__(self, takes: list[TokenReservation], renewals: list[TokenReservation] | None = None) -> None:
        self.takes, self.renewals = takes, renewals or [UNLIMITED]
        self.taken: list[tuple[str, float]] = []
        self.released: list[tuple[str, TokenReservation]] = []

    def take(self, name: str, tokens: float) -> TokenReservation:
        self.taken.append((name, tokens))
        return self.takes.pop(0) if len(self.takes) > 1 else self.takes[0]

    def renew(self, name: str, taken: TokenReservation) -> TokenReservation:
        return self.renewals.pop(0) if len(self.renewals) > 1 else self.renewals[0]

    def release(self, name: str, taken: TokenReservation) -> None:
        self.released.append((name, taken))


def limited(unit: QuotaUnit = QuotaUnit.TOKENS):
    return replace(tenant("acme", "key"), unit=unit, plain_tokens=200.0, rate_per_s=1000.0)


@pytest.mark.parametrize(
    ("unit", "headers", "tokens"),
    [
        (QuotaUnit.TOKENS, USAGE, 1540),
        (QuotaUnit.TOKENS, "X-Credential: key\r\n", 200),
        (QuotaUnit.REQUESTS, USAGE, 1),
    ],
)
def test_a_request_is_charged_its_tokens_or_one_request(unit, headers, tokens):
    quotas = ScriptedQuotas([UNLIMITED])
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(), tenants=(limited(unit),)), StandInServer(respond()))
        client = harness.client()
        client.send_request(headers=headers)
        assert client.read_response().status == 200
    assert quotas.taken == [("acme", tokens)]


def test_a_request_beyond_the_quota_gets_429_with_retry_after():
    server = StandInServer(respond())
    with router(quotas=ScriptedQuotas([REFUSED, UNLIMITED])) as harness:
        harness.load(configuration(route(), tenants=(limited(),)), server)
        client = harness.client()
        client.send_request(headers=USAGE)
        response = client.read_response()
        assert (response.status, response.value("Retry-After")) == (429, "0.750")
        assert not harness.scheduler.submitted
        client.send_request(headers=USAGE, id="q2")
        assert client.read_response().status == 200


def test_a_request_waits_for_tokens_that_are_available_soon():
    quotas = ScriptedQuotas([TokenReservation(False, 0.01), TokenReservation(False, 0.01), UNLIMITED])
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(target_latency_ms=5000.0), tenants=(limited(),)), StandInServer(respond()))
        client = harness.client()
        client.send_request(headers=USAGE)
        assert client.read_response().status == 200
    assert len(quotas.taken) == 3


def test_a_request_does_not_wait_long_for_tokens():
    quotas = ScriptedQuotas([TokenReservation(False, 0.01)])
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(target_latency_ms=40.0), tenants=(limited(),)), StandInServer(respond()))
        client = harness.client()
        client.send_request(headers=USAGE)
        assert client.read_response().status == 429
    assert 1 <= len(quotas.taken) <= 2


def test_a_disconnect_ends_the_wait_for_tokens():
    quotas = ScriptedQuotas([TokenReservation(False, 1.0)])
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(target_latency_ms=50_000.0), tenants=(limited(),)), StandInServer(respond()))
        client = harness.client()
        client.send_request(headers=USAGE)
        with gevent.Timeout(5):
            while not quotas.taken:
                gevent.idle()
        client.close()
        with gevent.Timeout(2):
            while harness.server.open_connections:
                gevent.idle()
    assert len(quotas.taken) == 1


def test_a_request_whose_tokens_cannot_be_renewed_before_the_send_is_refused():
    server = StandInServer(respond())
    with router(quotas=ScriptedQuotas([UNLIMITED], [REFUSED])) as harness:
        harness.load(configuration(route(), tenants=(limited(),)), server)
        client = harness.client()
        client.send_request(headers=USAGE)
        assert client.read_response().status == 429
        assert not server.requests and not harness.dispatcher.in_flight_requests
        assert harness.scheduler.cancelled


def test_a_started_stream_resumes_even_beyond_the_quota():
    def reset(received):
        raise ConnectionResetError

    servers = [StandInServer(stream(1, end=reset)), StandInServer(stream(2))]
    with router(quotas=ScriptedQuotas([UNLIMITED], [UNLIMITED, REFUSED])) as harness:
        harness.load(configuration(route(kind="streaming", resumable=True), tenants=(limited(),)), *servers)
        client = harness.client()
        client.send_request(headers=USAGE)
        assert client.read_response().complete


def test_only_tokens_of_unsent_requests_are_released():
    quotas = ScriptedQuotas([UNLIMITED])
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(), tenants=(limited(),)))
        client = harness.client()
        client.send_request(headers=USAGE, id="unsent")
        with gevent.Timeout(5):
            while not harness.scheduler.submitted:
                gevent.idle()
        harness.dispatcher.refuse_unsent()
        assert client.read_response().status == 503
        assert quotas.released == [("acme", UNLIMITED)]
        harness.load(configuration(route(), tenants=(limited(),)), StandInServer(respond()))
        client.send_request(headers=USAGE, id="sent")
        assert client.read_response().status == 200
    assert len(quotas.released) == 1


BODY = b"x" * 1000
HEAD = "POST /a HTTP/1.1\r\nHost: models.example\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 1000\r\n"


def send_partial_request(harness, quotas, headers: str = USAGE):
    """Sends a head and half of the body, and waits until the router has requested tokens."""
    client = harness.client()
    client.send((HEAD + headers + "\r\n").encode() + BODY[:500])
    with gevent.Timeout(5):
        while not quotas.taken:
            gevent.idle()
    return client


def test_tokens_are_requested_while_the_body_arrives():
    quotas, server = ScriptedQuotas([UNLIMITED]), StandInServer(respond())
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(), tenants=(limited(),)), server)
        client = send_partial_request(harness, quotas)
        assert not harness.scheduler.submitted
        client.send(BODY[500:])
        assert client.read_response().status == 200
    assert server.requests[0].body == BODY


def test_tokens_of_a_request_with_an_incomplete_body_are_released():
    quotas = ScriptedQuotas([UNLIMITED])
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(), tenants=(limited(),)), StandInServer(respond()))
        send_partial_request(harness, quotas).close()
        with gevent.Timeout(5):
            while not quotas.released:
                gevent.idle()
    assert quotas.released == [("acme", UNLIMITED)] and not harness.scheduler.submitted


@pytest.mark.parametrize(
    ("takes", "headers", "status"),
    [([REFUSED], USAGE, 429), ([UNLIMITED], "X-Credential: other\r\n", 401)],
)
def test_a_refusal_consumes_the_body_and_the_connection_stays_usable(takes, headers, status):
    quotas = ScriptedQuotas([*takes, UNLIMITED])
    with router(quotas=quotas) as harness:
        harness.load(configuration(route(), tenants=(limited(),)), StandInServer(respond()))
        client = harness.client()
        client.send((HEAD + headers + "\r\n").encode() + BODY[:500])
        gevent.idle()
        client.send(BODY[500:])
        assert client.read_response().status == status
        client.send_request(headers=USAGE, id="q2")
        assert client.read_response().status == 200


def test_a_malformed_header_is_refused_after_the_body_was_read():
    with router(quotas=ScriptedQuotas([UNLIMITED])) as harness:
        harness.load(configuration(route(), tenants=(limited(),)), StandInServer(respond()))
        client = harness.client()
        client.send((HEAD + "X-Token-Usage: many\r\nX-Credential: key\r\n\r\n").encode() + BODY)
        assert client.read_response().status == 400
