"""Requests of clients: framing, size and time limits, pipelining, header forwarding, and clients that disconnect."""

import gevent
import pytest

from ochrespan.data_plane.decisions import Outcome
from tests.fleet_standins import (
    HOST,
    StandInServer,
    chunk,
    configuration,
    event,
    request_bytes,
    respond,
    route,
    router,
    stall,
    stream,
    tenant,
)

START = f"POST /a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: q1\r\n"


@pytest.fixture
def harness():
    with router() as harness:
        yield harness


@pytest.fixture
def server(harness):
    server = StandInServer(respond())
    harness.load(configuration(route()), server)
    yield server
    server.stop()


MALFORMED = {
    "no version": b"POST /a\r\nHost: h\r\n\r\n",
    "two spaces": b"POST  /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "a path with a space": b"POST /a b HTTP/1.1\r\nHost: h\r\n\r\n",
    "a method that is not a token": b"PO(ST /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "an absolute path": b"POST http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
    "no path": b"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
    "another protocol": b"POST /a SPDY/3\r\nHost: h\r\n\r\n",
    "no host": b"POST /a HTTP/1.1\r\nX-Request-Id: q1\r\n\r\n",
    "two hosts": b"POST /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
    "a folded header": START.encode() + b"X-A: b\r\n c\r\n\r\n",
    "a space before the colon": START.encode() + b"Content-Length : 5\r\n\r\nhello",
    "a header without a colon": START.encode() + b"nothing\r\n\r\n",
    "a header without a name": START.encode() + b": nothing\r\n\r\n",
    "a NUL": START.encode() + b"X-A: b\0c\r\n\r\n",
    "a bare line feed": START.encode() + b"X-A: b\nContent-Length: 5\r\n\r\nhello",
    "a bare carriage return": START.encode() + b"X-A: b\rContent-Length: 5\r\n\r\nhello",
    "both length and chunked": START.encode() + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": START.encode() + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    "two equal lengths": START.encode() + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "a list of lengths": START.encode() + b"Content-Length: 5, 5\r\n\r\nhello",
    "a signed length": START.encode() + b"Content-Length: +5\r\n\r\nhello",
    "a negative length": START.encode() + b"Content-Length: -5\r\n\r\nhello",
    "a hexadecimal length": START.encode() + b"Content-Length: 0x5\r\n\r\nhello",
    "no digits in a length": START.encode() + b"Content-Length: \r\n\r\n",
    "another encoding": START.encode() + b"Transfer-Encoding: gzip\r\n\r\n",
    "two encodings": START.encode() + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "chunked twice": START.encode() + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a disguised encoding": START.encode() + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "chunked in HTTP/1.0": START.replace("1.1", "1.0").encode() + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "no digits in a chunk's size": START.encode() + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "an empty chunk size": START.encode() + b"Transfer-Encoding: chunked\r\n\r\n\r\n",
    "a signed chunk size": START.encode() + b"Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
    "a chunk longer than its size": START.encode() + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n",
    "a bare line feed after a chunk": START.encode() + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\n0\r\n\r\n",
    "a trailer without a colon": START.encode() + b"Transfer-Encoding: chunked\r\n\r\n0\r\nnothing\r\n\r\n",
    "no request id": f"POST /a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode(),
    "two request ids": START.encode() + b"X-Request-Id: q2\r\n\r\n",
    "a deadline that is not a number": START.encode() + b"X-Deadline-Ms: soon\r\n\r\n",
    "a malformed token usage": START.encode() + b"X-Token-Usage: 5\r\n\r\n",
    "a malformed prompt prefix": START.encode() + b"X-Prompt-Prefix: xyz\r\n\r\n",
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_requests_are_refused_and_the_connection_closed(harness, server, name):
    client = harness.client()
    client.send(MALFORMED[name] + request_bytes(id="smuggled"))
    response = client.read_response()
    assert (response.status, response.value("Connection")) == (400, "close")
    assert b"found" in response.body and b"allowed" in response.body
    assert client.is_closed()
    assert not server.requests


@pytest.mark.parametrize(
    ("status", "data"),
    [
        (431, START.encode() + b"X-A: " + b"b" * 20_000),
        (431, START.encode() + b"X-A: " + b"b" * 20_000 + b"\r\n\r\n"),
        (413, START.encode() + b"Content-Length: 5000001\r\n\r\n"),
        (413, START.encode() + b"Transfer-Encoding: chunked\r\n\r\n4c4b41\r\n"),
        (417, START.encode() + b"Expect: cake\r\n\r\n"),
        (505, b"POST /a HTTP/2.0\r\nHost: h\r\n\r\n"),
    ],
)
def test_oversized_and_unsupported_requests_are_refused_and_the_connection_closed(harness, server, status, data):
    client = harness.client()
    client.send(data)
    assert client.read_response().status == status
    assert client.is_closed()
    assert not server.requests


def test_a_refusal_reaches_a_client_that_is_still_sending(harness, server):
    client = harness.client()
    client.send(START.encode() + b"Content-Length: 5000000\r\n\r\n")
    sender = gevent.spawn(client.send, b"x" * 5_000_000)
    assert client.read_response().status == 413
    sender.kill()


VALID = {
    "a length": START.encode() + b"Content-Length: 5\r\n\r\nhello",
    "no body": START.encode() + b"\r\n",
    "chunks": START.encode() + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "chunks with extensions and trailers": START.encode()
    + b"Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nhe\r\n03 \r\nllo\r\n0\r\nX-T: u\r\n\r\n",
    "an empty line before the request": b"\r\n" + START.encode() + b"Content-Length: 5\r\n\r\nhello",
}


@pytest.mark.parametrize("name", VALID)
@pytest.mark.parametrize("at_once", [True, False])
def test_a_body_reaches_the_server_unchanged(harness, server, name, at_once):
    client = harness.client()
    writes = [VALID[name]] if at_once else [VALID[name][at : at + 1] for at in range(len(VALID[name]))]
    for write in writes:
        client.send(write)
    assert client.read_response().status == 200
    assert server.requests[0].body == (b"" if name == "no body" else b"hello")
    assert server.requests[0].value("Transfer-Encoding") is None
    client.send_request(id="q2")
    assert client.read_response().status == 200


def test_expect_100_continue_gets_an_interim_response(harness, server):
    client = harness.client()
    client.send(START.encode() + b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n")
    assert client.read_head().status == 100
    client.send(b"hello")
    assert client.read_response().status == 200
    assert server.requests[0].body == b"hello" and server.requests[0].value("Expect") is None


def test_pipelined_requests_are_answered_in_order(harness):
    server = StandInServer(lambda received: respond(received.id.encode())(received))
    harness.load(configuration(route()), server)
    client = harness.client()
    client.send(b"".join(request_bytes(id=f"q{number}", body=b"b" * number) for number in range(20)))
    assert [client.read_response().body for _ in range(20)] == [f"q{number}".encode() for number in range(20)]


def test_headers_are_forwarded_except_hop_by_hop_and_router_headers(harness):
    server = StandInServer(respond())
    harness.load(configuration(route(), tenants=(tenant("acme", "key"),)), server)
    client = harness.client()
    client.send(
        b"PUT /a%20b?c=d HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nX-Request-Id: q1\r\nX-Dup: 1\r\nx-dup: 2\r\n"
        b"Connection: keep-alive, X-Named, X-Request-Id, Host\r\nX-Named: a\r\nKeep-Alive: timeout=5\r\n"
        b"TE: trailers\r\n"
        b"X-Credential: key\r\nX-Tenant: mallory\r\nX-Expect-Instance: i-9\r\nPriority: 0\r\nX-Deadline-Ms: 1500.5\r\n"
        b"X-Model: m\r\n\r\n"
    )
    assert client.read_response().status == 200
    received = server.requests[0]
    assert received.line == "PUT /a%20b?c=d HTTP/1.1"
    names = sorted(name.lower() for name, _ in received.headers)
    assert names == [
        "host", "priority", "x-deadline-ms", "x-dup", "x-dup",
        "x-expect-instance", "x-model", "x-request-id", "x-tenant",
    ]  # fmt: skip
    assert [value for name, value in received.headers if name.lower() == "x-dup"] == ["1", "2"]
    assert (received.value("X-Tenant"), received.value("X-Expect-Instance")) == ("acme", "i-0")
    assert 0 < int(received.value("X-Deadline-Ms")) <= 1500


def test_a_tenant_header_of_the_client_is_not_forwarded(harness):
    server = StandInServer(respond())
    harness.load(configuration(route(public=True), tenants=(tenant("acme", "key"),)), server)
    client = harness.client()
    client.send_request(headers="X-Tenant: mallory\r\n")
    assert client.read_response().status == 200
    assert server.requests[0].value("X-Tenant") is None


@pytest.mark.parametrize(("table_is_fresh", "statuses"), [(True, (404, 401, 401)), (False, (503, 503, 503))])
def test_denials_become_503_while_the_table_may_be_out_of_date(harness, server, table_is_fresh, statuses):
    harness.load(configuration(route(prefix="/a/"), tenants=(tenant("acme", "key"),)), server)
    harness.table_is_fresh = table_is_fresh
    client = harness.client()
    for path, headers, status in (
        ("/b/", "X-Credential: key\r\n", statuses[0]),
        ("/a/", "X-Credential: other\r\n", statuses[1]),
        ("/a/", "", statuses[2]),
    ):
        client.send_request(path, headers=headers)
        response = client.read_response()
        assert response.status == status
        assert (response.value("Retry-After") is not None) == (status == 503)
    client.send_request("/a/x", headers="X-Credential: key\r\n")
    assert client.read_response().status == 200
    assert len(server.requests) == 1


def test_requests_without_a_table_get_503_with_retry_after():
    with router() as harness:
        client = harness.client()
        client.send_request()
        response = client.read_response()
        assert response.status == 503 and float(response.value("Retry-After")) > 0


def test_responses_announce_the_keep_alive_timeout_or_the_close(harness, server):
    harness.load(configuration(route(), idle_timeout_ms=10_000.0), server)
    client = harness.client()
    client.send_request()
    assert client.read_response().value("Keep-Alive") == "timeout=8"
    client.send_request(headers="Connection: close\r\n", id="q2")
    response = client.read_response()
    assert (response.value("Connection"), response.value("Keep-Alive")) == ("close", None)
    assert client.is_closed()


def test_an_http_1_0_client_gets_its_response_and_a_close(harness, server):
    client = harness.client()
    client.send(START.replace("1.1", "1.0").encode() + b"\r\n")
    response = client.read_response()
    assert response.status == 200 and response.body == b"hello"
    assert client.is_closed()


@pytest.mark.parametrize("data", [b"", b"POST /a HT", START.encode(), START.encode() + b"Content-Length: 9\r\n\r\nhel"])
def test_a_client_that_sends_too_slowly_is_disconnected(harness, server, data):
    harness.load(configuration(route(), idle_timeout_ms=60.0, header_timeout_ms=50.0), server)
    client = harness.client()
    client.send(data)
    response = client.read_response()
    assert response is None if not data else response.status == 408
    assert client.is_closed()
    assert not server.requests


@pytest.mark.parametrize("data", [b"", b"POST /a HT", START.encode(), START.encode() + b"Content-Length: 9\r\n\r\nhel",
                                  START.encode() + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhe"])  # fmt: skip
def test_a_client_that_disconnects_while_sending_leaves_no_connection(harness, server, data):
    client = harness.client()
    client.send(data)
    client.close()
    other = harness.client()
    other.send_request()
    assert other.read_response().status == 200
    wait_for_no_connections(harness, 1)
    assert len(server.requests) == 1


def test_a_client_that_disconnects_while_queued_cancels_its_request(harness, server):
    harness.scheduler.holds_requests = True
    client = harness.client()
    client.send_request()
    assert harness.scheduler.submitted_event.wait(5)
    client.close()
    assert harness.scheduler.cancelled_event.wait(5)
    assert not server.requests
    wait_for_no_connections(harness)


@pytest.mark.parametrize("step", [stall, stream(1, end=stall)])
def test_a_client_that_disconnects_during_an_attempt_aborts_it(harness, step):
    server = StandInServer(step)
    harness.load(configuration(route(kind="streaming", resumable=True)), server, server)
    client = harness.client()
    client.send_request()
    assert server.arrived.wait(5)
    client.close()
    assert server.peer_disconnected.wait(5)
    assert harness.scheduler.cancelled_event.wait(5)
    assert len(server.requests) == 1 and Outcome.LOST not in harness.scheduler.outcomes
    wait_for_no_connections(harness)


def test_a_client_that_disconnects_without_reading_a_stream_aborts_it(harness):
    def endless(received):
        for number in range(2, 1000):
            received.connection.sendall(chunk(event(number, "x" * 100_000)))

    server = StandInServer(stream(1, end=endless))
    harness.load(configuration(route(kind="streaming")), server)
    client = harness.client()
    client.send_request()
    assert server.arrived.wait(5)
    client.close()
    assert harness.scheduler.cancelled_event.wait(5)
    assert server.peer_disconnected.wait(5)
    wait_for_no_connections(harness)


def test_a_client_that_never_reads_is_disconnected_at_its_deadline(harness):
    server = StandInServer(respond(b"x" * 20_000_000))
    harness.load(configuration(route(timeout_ms=100.0)), server)
    client = harness.client()
    client.send_request()
    assert server.peer_disconnected.wait(5)
    wait_for_no_connections(harness)


def test_the_longest_idle_connection_is_closed_beyond_the_limit(server):
    with router(max_connections=2) as harness:
        harness.load(configuration(route()), server)
        first, second = harness.client(), harness.client()
        for client in (first, second):
            client.send_request()
            assert client.read_response().status == 200
        third = harness.client()
        third.send_request()
        assert third.read_response().status == 200
        assert first.is_closed()
        second.send_request()
        assert second.read_response().status == 200


def test_a_drain_closes_idle_connections_and_serves_partial_requests(harness, server):
    harness.scheduler.holds_requests = True
    queued, idle, partial = harness.client(), harness.client(), harness.client()
    queued.send_request()
    assert harness.scheduler.submitted_event.wait(5)
    partial.send(request_bytes(id="q2")[:20])
    with gevent.Timeout(5):
        while harness.server.open_connections < 3 or not harness.server.idle_connections_with_request_bytes:
            gevent.idle()
    harness.server.drain()
    assert idle.is_closed()
    harness.dispatcher.refuse_unsent()
    got = queued.read_response()
    assert (got.status, got.value("Connection")) == (503, "close") and float(got.value("Retry-After")) > 0
    assert queued.is_closed() and harness.scheduler.cancelled
    harness.scheduler.holds_requests = False
    partial.send(request_bytes(id="q2")[20:])
    got = partial.read_response()
    assert (got.status, got.value("Connection")) == (200, "close")
    assert partial.is_closed()


def test_a_head_may_be_as_long_as_the_configured_limit(harness, server):
    harness.load(configuration(route(), max_header_bytes=400_000), server)
    client = harness.client()
    client.send(START.encode() + b"X-A: " + b"b" * 390_000 + b"\r\n\r\n")
    assert client.read_response().status == 200


@pytest.mark.parametrize(
    "start",
    [b"Content-Length: 900\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n384\r\n"],
)
def test_all_request_bodies_share_one_memory_limit(start):
    server = StandInServer(stall)
    with router(max_body_bytes=1500) as harness:
        harness.load(configuration(route()), server)
        first, second = harness.client(), harness.client()
        first.send_request(body=b"x" * 900)
        assert server.arrived.wait(5)
        second.send(START.encode() + start)
        response = second.read_response()
        assert response.status == 503 and float(response.value("Retry-After")) > 0
        assert second.is_closed()
        first.close()
        assert server.peer_disconnected.wait(5)
        wait_for_no_connections(harness)
        assert harness.server.body_memory.reserved_bytes == 0


def wait_for_no_connections(harness, expected: int = 0) -> None:
    with gevent.Timeout(5):
        while harness.server.open_connections > expected:
            gevent.idle()
