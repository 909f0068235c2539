"""Bodies beyond the buffer limit, slow peers, and the body framings of HTTP/1.1."""

import asyncio
import resource
import time
from pathlib import Path

import pytest

from ochrespan.exchange import BadBody
from ochrespan.net import request_bodies
from ochrespan.net.request_bodies import BodyBufferBudget, BodyReceiver, BufferedBody, StreamedBody

from .controlled_front import ControlledFront
from .front_harness import KEY, VOLUME, FrontHarness, run_scenario, wait_until
from .test_client_connections import raw_request

PATH = f"/api/{VOLUME}/{KEY}"
LONG_SIZE = 8 << 20


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize()


class SegmentedBody:
    """A request whose body arrives in the given segments."""

    has_body, length = True, None

    def __init__(self, *segments: bytes) -> None:
        self._segments = list(segments)

    async def read_available(self) -> bytes:
        return self._segments.pop(0) if self._segments else b""


def test_body_is_buffered_within_its_limit_and_the_budget_and_streamed_beyond():
    async def scenario():
        budget = BodyBufferBudget(100)
        small = BodyReceiver(SegmentedBody(b"ab", b"c"), budget)
        assert await small.receive() == BufferedBody(b"abc")
        large = BodyReceiver(SegmentedBody(b"x" * 60, b"y" * 60, b"z"), budget)
        body = await large.receive()
        assert isinstance(body, StreamedBody)
        assert [segment async for segment in body.segments()] == [b"x" * 60 + b"y" * 60, b"z"]
        assert not budget.reserve(50)
        large.release()
        small.release()
        assert budget.reserve(100)

    run_scenario(scenario())


def test_endless_body_is_rejected(monkeypatch):
    async def scenario():
        monkeypatch.setattr(request_bodies, "MAX_BODY_BYTES", 1000)
        with pytest.raises(BadBody) as error:
            await BodyReceiver(SegmentedBody(*[b"x" * 300] * 9), BodyBufferBudget(10_000)).receive()
        assert error.value.status == 413

    run_scenario(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_long_response_is_streamed_and_not_limited_by_the_deadline(framing):
    """The front failed responses above 1 MiB, and truncated those that took longer than the deadline."""

    async def scenario():
        async with FrontHarness(1) as harness:
            segments = [bytes([n]) * 100_000 for n in range(5)]

            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                head = {
                    "length": b"Content-Length: 500000",
                    "chunked": b"Transfer-Encoding: chunked",
                    "close": b"Connection: close",
                }[framing]
                writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n")
                for segment in segments:
                    writer.write(b"%x;a=b\r\n%b\r\n" % (len(segment), segment) if framing == "chunked" else segment)
                    await writer.drain()
                    await asyncio.sleep(0.3)
                writer.write(b"0\r\nX-Trailer: y\r\n\r\n" if framing == "chunked" else b"")
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            harness.nodes[0].address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            harness.publish_state(harness.nodes[0], "up")
            await asyncio.sleep(0.3)
            started_at = time.monotonic()
            url = f"http://127.0.0.1:{harness.port}{PATH}"
            headers = {
                "X-Trace-Id": "t1",
                "X-Qos": "brief",
                "X-Plan": "gold",
                "X-Expires-In-Ms": "600",
                "X-IO": "units=2,shard=0,hosts=2",
            }
            async with harness.session.get(url, headers=headers) as answer:
                first = await answer.content.readany()
                assert answer.status == 200 and time.monotonic() - started_at < 0.5
                rest = await answer.content.read()
            assert first + rest == b"".join(segments) and time.monotonic() - started_at > 1.2

    run_scenario(scenario())


def test_truncated_long_response_closes_the_connection_and_counts_as_failed():
    async def scenario():
        async with ControlledFront(1) as harness:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n"
            harness.nodes[0].scripted_responses.append(head + bytes(200_000))
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(raw_request("GET"))
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(150_000)
            for sock in harness.nodes[0].connection_sockets:
                sock.shutdown(2)
            assert len(await asyncio.wait_for(reader.read(), 5)) < 350_000
            writer.close()
            metrics = await harness.metrics()
            assert (metrics["success.read"], metrics["error.read"], metrics["concurrent"]) == (0, 1, 0)

    run_scenario(scenario())


def test_slow_readers_apply_backpressure_instead_of_using_memory():
    """Ten concurrent responses of 8 MiB; the clients read nothing for a second."""

    async def scenario():
        async with ControlledFront(1) as harness:
            node = harness.nodes[0]
            node.stored[PATH] = bytes(LONG_SIZE)
            before = resident_bytes(harness.process.pid)
            clients = []
            for number in range(10):
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.port, limit=1024)
                writer.write(raw_request("GET", **{"X-Trace-Id": f"t{number}"}))
                clients.append((reader, writer))
            await wait_until(lambda: len(node.received) >= 3)
            await asyncio.sleep(1)
            assert (await harness.metrics())["concurrent"] >= 3
            assert resident_bytes(harness.process.pid) - before < 16 << 20
            for reader, writer in clients:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
                if head.startswith(b"HTTP/1.1 200 "):
                    await reader.readexactly(LONG_SIZE)
                writer.close()
            assert resident_bytes(harness.process.pid) - before < 16 << 20

    run_scenario(scenario())


@pytest.mark.parametrize("chunked", [False, True])
def test_body_too_long_to_buffer_is_streamed_through_one_attempt(chunked):
    async def scenario():
        async with FrontHarness(1) as harness:
            before = resident_bytes(harness.process.pid)
            received = bytearray()

            async def serve(reader, writer):
                head = await reader.readuntil(b"\r\n\r\n")
                if b"chunked" in head.lower():
                    while size := int(await reader.readline(), 16):
                        received.extend(await reader.readexactly(size))
                        await reader.readline()
                    await reader.readline()
                else:
                    received.extend(await reader.readexactly(LONG_SIZE))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await reader.read()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            harness.nodes[0].address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            harness.publish_state(harness.nodes[0], "up")
            await asyncio.sleep(0.3)
            body = bytes(range(256)) * (LONG_SIZE // 256)
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {LONG_SIZE}"
            writer.write(raw_request("PUT", framing, "Expect: 100-Continue"))
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            for offset in range(0, LONG_SIZE, 1 << 20):
                segment = body[offset : offset + (1 << 20)]
                writer.write(b"%x\r\n%b\r\n" % (len(segment), segment) if chunked else segment)
                await writer.drain()
            writer.write(b"0\r\n\r\n" if chunked else b"")
            assert (await asyncio.wait_for(reader.readuntil(b"ok"), 10)).startswith(b"HTTP/1.1 200 ")
            assert bytes(received) == body and resident_bytes(harness.process.pid) - before < 12 << 20
            writer.close()

    run_scenario(scenario())


def test_streamed_body_is_not_sent_again_after_a_failed_attempt():
    async def scenario():
        async with FrontHarness(1) as harness:
            node = harness.nodes[0]
            node.scripted_responses.extend(["cut", "cut"])
            status, headers, _ = await harness.send_request("t1", "PUT", bytes(4 << 20), cls="write")
            assert status == 503 and "Retry-After" in headers
            assert len(node.scripted_responses) == 1  # no second attempt was made

    run_scenario(scenario())


@pytest.mark.parametrize(("method", "body"), [("GET", b""), ("PUT", b"ab" * 50_000)])
def test_client_may_take_2_s_for_its_headers_and_send_its_body_at_64_kB_per_s(method, body):
    """The connection was closed 2 s after the connect."""

    async def scenario():
        async with FrontHarness(1) as harness:
            harness.nodes[0].default_response = "any" if method == "GET" else ""
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            length = (f"Content-Length: {len(body)}",) if body else ()
            head = raw_request(method, *length)
            for offset in range(0, len(head), 40):
                writer.write(head[offset : offset + 40])
                await asyncio.sleep(2.0 / (len(head) / 40))
            for offset in range(0, len(body), 6_400):
                writer.write(body[offset : offset + 6_400])
                await asyncio.sleep(0.1)
            assert (await asyncio.wait_for(reader.readline(), 10)).startswith(b"HTTP/1.1 200 ")
            writer.close()
            if body:
                assert harness.nodes[0].stored[PATH] == body

    run_scenario(scenario())


def test_chunked_request_with_extensions_and_trailers_is_served():
    async def scenario():
        async with FrontHarness(1) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            chunks = b'3;name=value\r\nabc\r\n2 ; quoted="a;b"\r\nde\r\n0;last\r\nX-Trailer: y\r\nOther:z\r\n\r\n'
            for number in range(2):
                sent = raw_request("PUT", "Transfer-Encoding: chunked", body=chunks, **{"X-Trace-Id": f"t{number}"})
                for offset in range(0, len(sent), 3):
                    writer.write(sent[offset : offset + 3])
                    await asyncio.sleep(0)
                assert (await asyncio.wait_for(reader.readline(), 10)).startswith(b"HTTP/1.1 200 ")
                await reader.readuntil(b"\r\n\r\n")
                assert harness.nodes[0].stored[PATH] == b"abcde"
            writer.close()

    run_scenario(scenario())
