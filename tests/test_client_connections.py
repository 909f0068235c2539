"""Clients that send invalid requests, too much, too little, or nothing at all."""

import asyncio
import time
from pathlib import Path

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ochrespan.net.client_connection import RequestFramer
from ochrespan.net.framing import MalformedMessage

from .front_harness import KEY, VOLUME, FrontHarness, request_headers, run_scenario, wait_until
from .test_objects import OPERATOR


def raw_request(
    method: str, *lines: str, body: bytes = b"", path: str = f"/api/{VOLUME}/{KEY}", **header_changes
) -> bytes:
    named = {"Host": "x"} | request_headers("t1", 0) | header_changes
    fields = [f"{name}: {value}" for name, value in named.items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *fields, *lines, "", ""]).encode() + body


START_LINE = b"GET /api/x HTTP/1.1\r\n"
INVALID = [
    (b"\x00\xff\xfe\r\n\r\n", 400),
    (b"\x16\x03\x01\x02", 400),
    (b"GET / HTTP/9.9\r\n\r\n", 400),
    (b"get /up", 400),
    (START_LINE + b"X: y\n\n", 400),
    (START_LINE + b"no colon\r\n\r\n", 400),
    (START_LINE + b"X: y\r\n z\r\n\r\n", 400),
    (START_LINE + b"X : y\r\n\r\n", 400),
    (START_LINE + b"X-Pad: pppppppp\r\n" * 2000, 431),
    (START_LINE + b"X: y\r\n", 408),
    (
        raw_request("PUT", "Content-Length: 4", "Transfer-Encoding: chunked", body=b"0\r\n\r\n" + START_LINE + b"\r\n"),
        400,
    ),
    (raw_request("PUT", "Transfer-Encoding: xchunked", body=b"0\r\n\r\n"), 400),
    (raw_request("PUT", "Transfer-Encoding: chunked", body=b"2\r\nab\r\nzz\r\n"), 400),
    (raw_request("PUT", "Transfer-Encoding: chunked", body=b"4000001\r\n"), 413),
    (raw_request("PUT", "Content-Length: -4", body=b"abcd"), 400),
    (raw_request("PUT", "Content-Length: 3", "Content-Length: 4", body=b"abcd"), 400),
    (raw_request("PUT", "Content-Length: 99999999999999999999999", body=b"abcd"), 400),
    (raw_request("PUT", "Content-Length: 67108865"), 413),
    (raw_request("PUT", "Content-Length: 65537"), 408),
    (raw_request("PUT", "Content-Length: 9", body=b"abcd"), 408),
    (raw_request("PUT", "Content-Length: 2", body=b"abcd"), 400),
    (raw_request("PUT"), 400),
    (raw_request("GET", "Content-Length: 4", body=b"abcd"), 400),
    (raw_request("GET", "X-Trace-Id: t2"), 400),
    (raw_request("GET", "X-Plan: gold"), 400),
    (raw_request("GET", path=f"/api/{VOLUME}/{KEY}?a#b"), 400),
    (raw_request("DELETE"), 400),
]


@pytest.mark.parametrize(("request_bytes", "status"), INVALID, ids=range(len(INVALID)))
def test_invalid_request_gets_an_error_and_a_close_and_reaches_no_chunk_server(request_bytes, status):
    async def scenario():
        async with FrontHarness(1) as harness:
            harness.nodes[0].default_response = "any"
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(request_bytes)
            response = await asyncio.wait_for(reader.read(), 10)
            assert response.startswith(b"HTTP/1.1 %d " % status) and response.count(b"HTTP/1.1 ") == 1
            writer.close()
            assert not harness.nodes[0].received
            assert (await harness.send_request("t2"))[0] == 200

    run_scenario(scenario())


def test_error_response_is_not_lost_while_the_client_still_sends():
    """Closing at once with bytes unread resets the connection, and the client's kernel drops the error."""

    async def scenario():
        async with FrontHarness(1) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(raw_request("PUT", "Content-Length: 80000000"))
            for _ in range(80):
                writer.write(bytes(1_000_000))
            await asyncio.sleep(0.3)  # the client reads late
            assert (await asyncio.wait_for(reader.readline(), 10)).startswith(b"HTTP/1.1 413 ")
            writer.transport.abort()

    run_scenario(scenario())


def test_duplicate_of_an_open_trace_id_is_rejected_without_affecting_the_open_request():
    async def scenario():
        async with FrontHarness(1) as harness:
            node = harness.nodes[0]
            node.delay, node.default_response = 0.5, "any"
            first = asyncio.create_task(harness.send_request("t1"))
            await wait_until(lambda: node.received)
            assert (await harness.send_request("t1"))[0] == 400
            assert (await first)[0] == 200 and len(node.received) == 1
            assert (await harness.send_request("t1"))[0] == 200  # no longer open

    run_scenario(scenario())


@pytest.mark.parametrize("sends_request", [False, True])
def test_hundreds_of_idle_connections_do_not_block_other_clients(sends_request):
    """asyncio accepted them all at once, ran out of descriptors, and accepted nothing for the next second."""

    async def scenario():
        harness = FrontHarness(1)
        harness.sockets = 200
        async with harness:
            harness.nodes[0].default_response = "any"
            idle = []
            for number in range(400):
                idle.append(await asyncio.open_connection("127.0.0.1", harness.port))
                if sends_request:
                    idle[-1][1].write(raw_request("GET", **{"X-Trace-Id": f"i{number}"}))
            requests = [harness.send_request(f"t{number}") for number in range(60)]
            assert {status for status, _, _ in await asyncio.gather(*requests)} == {200}
            assert len(list(Path(f"/proc/{harness.process.pid}/fd").iterdir())) < 200
            assert "cannot accept" not in harness.log
            for reader, _ in idle:  # each is closed eventually
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await asyncio.wait_for(reader.readexactly(100_000), 20)

    run_scenario(scenario())


@pytest.mark.parametrize(("other_connections", "min_s", "max_s"), [(0, 1.9, 4.5), (40, 0.0, 1.9)])
def test_idle_connection_is_kept_for_2_s_unless_there_are_many(other_connections, min_s, max_s):
    """Clients that sent one request and stayed connected used up the limit: the others could not connect."""

    async def scenario():
        harness = FrontHarness(1)
        harness.sockets = 240  # of which 80 are for clients
        async with harness:
            harness.nodes[0].default_response = "any"

            async def request_once(name: str):
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(raw_request("GET", **{"X-Trace-Id": name}))
                await reader.readuntil(b"\r\n\r\n")
                return reader, writer, time.monotonic()

            reader, _, started_at = await request_once("first")
            await asyncio.sleep(0.4)
            clients = await asyncio.gather(*(request_once(f"t{number}") for number in range(other_connections)))
            await asyncio.wait_for(reader.read(), 20)
            await asyncio.wait_for(reader.read(), 20)
            assert min_s < time.monotonic() - started_at < max_s
            assert len(clients) == other_connections

    run_scenario(scenario())


def test_request_in_small_segments_is_served_and_so_is_the_next():
    async def scenario():
        async with FrontHarness(1) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            for number in range(2):
                header_lines = "Expect: 100-continue", "Transfer-Encoding: chunked"
                request_bytes = raw_request("PUT", *header_lines, **{"X-Trace-Id": f"t{number}"})
                for at in range(0, len(request_bytes), 7):
                    writer.write(request_bytes[at : at + 7])
                    await asyncio.sleep(0)
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
                assert head == b"HTTP/1.1 100 Continue\r\n\r\n"
                for segment in (b"3\r", b"\nab", b"c\r\n0", b"\r\n\r\n"):
                    writer.write(segment)
                    await asyncio.sleep(0.02)
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
                assert head.startswith(b"HTTP/1.1 200 ") and b"Content-Length: 0" in head
            assert harness.nodes[0].stored == {f"/api/{VOLUME}/{KEY}": b"abc"}
            writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize(("body", "stored"), [(b"3\r\nabc\r\n0\r\n\r\n", b"abc"), (b"3\r\nabc\r\nzz\r\n", None)])
def test_body_for_the_object_api_is_validated_while_streamed(body, stored):
    async def scenario():
        async with FrontHarness(2, OPERATOR) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.object_port)
            head = b"PUT /photos/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            for at in range(len(head + body)):
                writer.write((head + body)[at : at + 1])
                await asyncio.sleep(0)
            response = await asyncio.wait_for(reader.readline(), 10)
            assert (response == b"HTTP/1.1 200 OK\r\n") == (stored is not None)
            status, _, object_body = await harness.object_request("GET", "/photos/a")
            assert (status, object_body) == (200, stored) if stored else status == 404
            writer.close()

    run_scenario(scenario())


@seed(1)
@settings(max_examples=80, deadline=None)
@given(
    request_bytes=st.sampled_from([request_bytes for request_bytes, _ in INVALID]),
    cuts=st.lists(st.integers(1, 300), max_size=12),
)
def test_request_is_parsed_the_same_in_any_segmentation(request_bytes, cuts):
    def parse(segments):
        framer, used = RequestFramer(65536), 0
        try:
            for segment in segments:
                used += framer.consume(segment)
        except MalformedMessage as error:
            return error.status
        return used, framer.complete

    segments, remaining = [], request_bytes
    for cut in cuts:
        segments.append(remaining[:cut])
        remaining = remaining[cut:]
    assert parse([segment for segment in (*segments, remaining) if segment]) == parse([request_bytes])
