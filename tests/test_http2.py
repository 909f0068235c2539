"""End-to-end tests of HTTP/2 on the real program, with test clients and stub chunk servers."""

import asyncio
import hashlib
import random
from collections import Counter

import pytest

from .front_harness import KEY, VOLUME, FrontHarness, free_port, request_headers, run_scenario, wait_until
from .h2client import Client
from .http2_cases import GOAWAY, PREFACE, cases, frame, sent_frames
from .test_objects import random_bytes

PATH = f"/api/{VOLUME}/{KEY}"


def operator(platform: int, objects: int, more: str = "", contracts: str = "") -> str:
    return f"""
[objects]
listen = "127.0.0.1:PORT"
least_part_bytes = 100000
[[team]]
name = "inspection"
plan = "gold"
classes = ["read", "write", "brief"]
read = "read"
write = "write"
buckets = ["photos"]
volumes = ["{VOLUME}"]
{contracts}
[http2]
platform = "127.0.0.1:{platform}"
objects = "127.0.0.1:{objects}"
{more}
"""


class Http2Harness(FrontHarness):
    def __init__(self, nodes: int = 2, more: str = "", contracts: str = "", **changes) -> None:
        self.platform_port, self.objects_port = free_port(), free_port()
        super().__init__(nodes, operator(self.platform_port, self.objects_port, more, contracts), **changes)

    def platform(self, **more) -> Client:
        return Client(self.platform_port, **more)

    def object_client(self, **more) -> Client:
        return Client(self.objects_port, **more)


def test_both_handlers_are_served_over_http2():
    async def scenario():
        async with Http2Harness(1) as harness, harness.platform() as client, harness.object_client() as objects:
            harness.nodes[0].default_response = ""
            assert (await client.call("GET", "/up")).status == 200
            got = await client.call("PUT", PATH, b"photo", request_headers("t1", 0, cls="write"))
            assert (got.status, got.ends) == (200, 1)
            got = await client.call("GET", PATH, b"", request_headers("t2", 0))
            assert (got.status, bytes(got.body)) == (200, b"photo")
            assert (await client.call("GET", PATH, b"", request_headers("t3", 0, cls="made-up"))).status == 400
            long = b"x" * 700_000
            assert (await client.call("PUT", PATH, long, request_headers("t4", 0, cls="write"))).status == 200
            assert harness.nodes[0].stored[PATH] == long
            assert len(harness.nodes[0].received) == 3
            body = random_bytes(300_000)
            got = await objects.call("PUT", "/photos/x", body)
            assert got.status == 200 and got.headers["etag"] == f'"{hashlib.md5(body).hexdigest()}"'
            got = await objects.call("GET", "/photos/x", b"", {"Range": "bytes=100000-299999"})
            assert (got.status, bytes(got.body)) == (206, body[100_000:])
            got = await objects.call("HEAD", "/photos/x")
            assert (got.status, got.headers["content-length"], got.body) == (200, "300000", b"")
            assert (await objects.call("GET", "/nobodys/x")).status == 404
            waiting = objects.begin("PUT", "/photos/y", {"Expect": "100-continue"}, end=False)
            await wait_until(lambda: objects.streams[waiting].interim == [100])
            await objects.send(waiting, b"later")
            assert (await objects.wait_response(waiting)).status == 200

    run_scenario(scenario())


def test_five_hundred_streams_each_end_once_and_no_request_has_two_attempts_in_flight():
    async def scenario():
        async with Http2Harness(3, "streams = 200") as harness:
            rng = random.Random(3)
            for node in harness.nodes:
                node.default_response = "any"
                node.scripted_responses.extend(
                    rng.choices(("any", "reset", "full", "error", "half", "stall"), (12, 1, 1, 1, 1, 1), k=120)
                )
            ends: Counter[str] = Counter()
            at_once = asyncio.Semaphore(60)  # the same concurrency on fast and slow machines
            async with harness.platform() as one, harness.platform() as two, harness.platform() as three:

                async def send_limited(number: int) -> None:
                    async with at_once:
                        await send_one(number)

                async def send_one(number: int) -> None:
                    client = (one, two, three)[number % 3]
                    stream = client.begin(
                        "GET",
                        PATH,
                        request_headers(f"t{number}", number % 3, **{"X-IO": (f"units=1,shard={number % 3},hosts=1")}),
                    )
                    if number % 10 == 9:
                        await asyncio.sleep(0.01)
                        if not client.streams[stream].done.is_set():
                            client.reset(stream)
                            ends["left"] += 1
                            return
                    got = await client.wait_response(stream)
                    assert got.ends == 1 and got.reset is None, got
                    if got.status == 200:
                        assert bytes(got.body) == b"body of " + PATH.encode()
                    ends[str(got.status)] += 1

                tasks = [asyncio.create_task(send_limited(n)) for n in range(250)]
                await wait_until(lambda: ends.total() >= 100)
                harness.publish_state(harness.nodes[2], "draining")
                tasks += [asyncio.create_task(send_limited(n)) for n in range(250, 500)]
                await asyncio.gather(*tasks)
                assert ends.total() == 500 and set(ends) <= {"200", "502", "503", "left"} and ends["200"] > 150, ends
                assert not any(client.goaways for client in (one, two, three))
            assert not any(node.overlapping_attempts for node in harness.nodes)
            await wait_until(
                lambda: not any(any(node.in_flight.values()) for node in harness.nodes if node.phase == "up")
            )

    run_scenario(scenario())


def test_a_stream_reset_cancels_its_attempt_without_a_retry():
    async def scenario():
        async with Http2Harness(1) as harness, harness.platform() as client:
            node = harness.nodes[0]
            node.scripted_responses.append("stall")
            node.default_response = "any"
            stream = client.begin("GET", PATH, request_headers("t1", 0))
            await wait_until(lambda: node.in_flight.get("t1"))
            client.reset(stream)
            await wait_until(lambda: not node.in_flight["t1"])
            assert (await client.call("GET", PATH, b"", request_headers("t2", 0))).status == 200
            assert [h["x-trace-id"] for _, _, h, _ in node.received] == ["t1", "t2"] and node.overlapping_attempts == 0

    run_scenario(scenario())


def test_streams_beyond_the_limit_are_refused_and_the_others_continue():
    async def scenario():
        async with Http2Harness(1, "streams = 3") as harness, harness.platform() as client:
            node = harness.nodes[0]
            node.scripted_responses.extend(["stall"] * 3)
            node.default_response = "any"
            client.h2.remote_settings.max_concurrent_streams = 100  # a client that ignores the limit
            open_streams = [client.begin("GET", PATH, request_headers(f"t{n}", 0)) for n in range(3)]
            await wait_until(lambda: len(node.received) == 3)
            got = await client.call("GET", PATH, b"", request_headers("t9", 0))
            assert got.reset == 7 and not client.goaways  # REFUSED_STREAM
            client.reset(open_streams[0])
            await wait_until(lambda: not node.in_flight["t0"])
            node.released.set()
            assert (await client.wait_response(open_streams[1])).status == 200
            assert (await client.call("GET", PATH, b"", request_headers("t9", 0))).status == 200

    run_scenario(scenario())


def test_a_slow_reader_stalls_its_own_stream_only():
    async def scenario():
        async with Http2Harness(2) as harness, harness.object_client(window=65_535) as client:
            body = random_bytes(3 << 20)
            assert (await client.call("PUT", "/photos/large", body)).status == 200
            assert (await client.call("PUT", "/photos/small", b"small")).status == 200
            slow = client.begin("GET", "/photos/large")
            client.withhold_credit.add(slow)
            await wait_until(lambda: len(client.streams[slow].body) == 65_535)
            for _ in range(20):
                assert bytes((await client.call("GET", "/photos/small")).body) == b"small"
            assert bytes((await client.call("GET", "/photos/large")).body) == body
            assert len(client.streams[slow].body) == 65_535
            client.withhold_credit.clear()
            client.h2.acknowledge_received_data(65_535, slow)
            client.flush()
            assert bytes((await client.wait_response(slow)).body) == body

    run_scenario(scenario())


def test_a_stream_whose_window_is_never_opened_is_reset_after_the_stall_timeout():
    async def scenario():
        async with Http2Harness(1, "patience_s = 0.3") as harness, harness.object_client(window=0) as client:
            async with harness.object_client() as other:
                assert (await other.call("PUT", "/photos/x", random_bytes(100_000))).status == 200
            got = await client.call("GET", "/photos/x")
            assert got.status == 200 and got.reset == 8 and not got.body  # CANCEL
            assert (await client.call("HEAD", "/photos/x")).status == 200  # the connection stays open
            assert not client.goaways

    run_scenario(scenario())


def test_a_drain_sends_two_goaways_and_completes_accepted_streams():
    async def scenario():
        async with Http2Harness(1) as harness, harness.platform() as client:
            node = harness.nodes[0]
            node.default_response, node.delay = "any", 0.3
            open_streams = [client.begin("GET", PATH, request_headers(f"t{n}", 0)) for n in range(3)]
            await wait_until(lambda: len(node.received) == 3)
            harness.stop()
            await wait_until(lambda: len(client.goaways) == 2)
            assert client.goaways == [(2**31 - 1, 0), (open_streams[-1], 0)]
            late = client.begin("GET", PATH, request_headers("late", 0))
            assert [(await client.wait_response(s)).status for s in open_streams] == [200] * 3
            got = await client.wait_response(late)
            assert got.reset == 7 or (got.status, got.reset) == (
                0,
                None,
            )  # refused, or the connection had ended
            await asyncio.wait_for(client.closed.wait(), 5)
            assert await asyncio.wait_for(harness.process.wait(), 20) == 0
            assert len(node.received) == 3 and "Traceback" not in harness.log

    run_scenario(scenario())


def test_a_hundred_concurrent_parts_on_one_connection():
    async def scenario():
        async with Http2Harness(2, "streams = 200") as harness, harness.object_client() as client:
            got = await client.call("POST", "/photos/whole?uploads")
            upload = got.body.decode().partition("<UploadId>")[2].partition("<")[0]
            parts = [random_bytes(100_000, seed) for seed in range(120)]
            sent = await asyncio.gather(
                *(
                    client.call("PUT", f"/photos/whole?partNumber={n + 1}&uploadId={upload}", part)
                    for n, part in enumerate(parts)
                )
            )
            again = [n for n, got in enumerate(sent) if got.status == 503]  # refused before execution: safe to retry
            for n in again:
                while (
                    got := await client.call("PUT", f"/photos/whole?partNumber={n + 1}&uploadId={upload}", parts[n])
                ).status == 503:
                    await asyncio.sleep(0.05)
                sent[n] = got
            assert {got.status for got in sent} == {200} and all(got.ends == 1 for got in sent)
            listed = "".join(
                f"<Part><PartNumber>{n + 1}</PartNumber><ETag>{got.headers['etag']}</ETag></Part>"
                for n, got in enumerate(sent)
            )
            got = await client.call(
                "POST",
                f"/photos/whole?uploadId={upload}",
                f"<CompleteMultipartUpload>{listed}</CompleteMultipartUpload>".encode(),
            )
            assert got.status == 200
            assert bytes((await client.call("GET", "/photos/whole")).body) == b"".join(parts)

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("contract", "status", "field"),
    [("withdrawn = true", 403, None), ("budget = { units_per_s = 0.01 }", 429, "retry-after")],
)
def test_contract_refusals_equal_those_of_http1(contract, status, field):
    async def scenario():
        harness = Http2Harness(1, contracts=contract)
        harness.operator = harness.operator.replace("[objects]", "[contracts]\nfronts = 1\n[objects]", 1)
        async with harness, harness.platform() as client:
            got = await client.call("GET", PATH, b"", request_headers("t1", 0))
            first, headers, body = await harness.send_request("t2")
            assert got.status == first == status and bytes(got.body) == body
            assert field is None or (field in got.headers and "Retry-After" in headers)

    run_scenario(scenario())


@pytest.mark.parametrize("received", [b"", b"PRI * HT", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"])
def test_a_connection_without_a_complete_request_is_closed_after_the_http1_timeout(received):
    async def scenario():
        async with Http2Harness(1) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.platform_port)
            writer.write(received)
            await asyncio.wait_for(reader.read(), 10)  # 2 s
            writer.close()
            async with harness.platform() as client:
                assert (await client.call("GET", "/up")).status == 200

    run_scenario(scenario())


HOSTILE = [case for case in cases() if case.section.startswith("10.5")]


@pytest.mark.parametrize("case", HOSTILE, ids=[case.what for case in HOSTILE])
def test_a_hostile_peer_is_disconnected_without_affecting_other_connections(case):
    async def scenario():
        async with Http2Harness(1, "streams = 4\nheaders_bytes = 16384") as harness, harness.platform() as client:
            node = harness.nodes[0]
            node.default_response = "any"
            node.scripted_responses.append("stall")
            open_streams = client.begin("GET", PATH, request_headers("held", 0))
            await wait_until(lambda: node.received)
            for _ in range(3):
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.platform_port)
                writer.write(case.preface + case.sent)
                got = await asyncio.wait_for(reader.read(), 10)  # until the front closes the connection
                codes = [payload[4:8] for kind, _, payload in sent_frames(got) if kind == GOAWAY]
                assert codes and int.from_bytes(codes[-1]) in (1, 9, 11)  # PROTOCOL, COMPRESSION, ENHANCE_YOUR_CALM
                writer.close()
                assert (await client.call("GET", "/up")).status == 200
            node.released.set()
            assert (await client.wait_response(open_streams)).status == 200 and not client.goaways
            assert "Traceback" not in harness.log
            await wait_until(lambda: "connection ended" in harness.log)

    run_scenario(scenario())


def test_a_peer_that_does_not_read_its_ping_responses_is_disconnected():
    async def scenario():
        async with Http2Harness(1) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.platform_port, limit=1024)
            writer.transport.pause_reading()
            writer.write(PREFACE + frame(4))
            with pytest.raises((ConnectionError, TimeoutError)):
                async with asyncio.timeout(10):
                    for _ in range(100_000):  # unlike window updates, each ping causes a response of the same size
                        writer.write(frame(6, b"12345678"))
                        await writer.drain()
                        await asyncio.sleep(0.001)
            writer.transport.abort()
            async with harness.platform() as client:
                assert (await client.call("GET", "/up")).status == 200
            await wait_until(lambda: "too many pings" in harness.log)

    run_scenario(scenario())
