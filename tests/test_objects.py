"""End-to-end tests of the object API against the real program; response bodies are compared byte by byte."""

import asyncio
import base64
import hashlib
import random
from pathlib import Path
from xml.etree import ElementTree

import aiohttp
import pytest

from ochrespan.objects.layout import PAYLOAD_BYTES

from .front_harness import FrontHarness, StubChunkServer, run_scenario, wait_until

OPERATOR = """
[objects]
listen = "127.0.0.1:PORT"
least_part_bytes = 100000
export_from_bytes = 300000

[[team]]
name = "inspection"
plan = "gold"
read = "read"
write = "write"
buckets = ["photos"]

[[team]]
name = "review"
plan = "gold"
read = "read"
write = "write"
buckets = ["private"]
token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
"""
KEY_PATH = "/photos/line%201/part%C3%A9.jpg"
NS = "{http://s3.amazonaws.com/doc/2006-03-01/}"


def random_bytes(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


def md5(body: bytes) -> str:
    return hashlib.md5(body).hexdigest()


def code(body: bytes) -> str:
    return ElementTree.fromstring(body).findtext("Code")


def chunks_of(harness: FrontHarness) -> list[str]:
    """The paths of all stored chunks, the largest first."""
    stored = [(len(body), path) for node in harness.nodes for path, body in node.stored.items()]
    return [path for _, path in sorted(stored, reverse=True)]


@pytest.mark.parametrize("size", [0, 1, PAYLOAD_BYTES - 1, PAYLOAD_BYTES, PAYLOAD_BYTES + 1, 7 * PAYLOAD_BYTES + 9])
def test_an_object_is_returned_unchanged_after_put_and_not_found_after_delete(size):
    async def scenario():
        body = random_bytes(size)
        async with FrontHarness(3, OPERATOR) as harness:
            assert (await harness.object_request("GET", KEY_PATH))[0] == 404
            status, headers, _ = await harness.object_request(
                "PUT",
                KEY_PATH,
                body,
                Content_Type="image/jpeg",
                x_amz_meta_Line="7",
                Content_MD5=base64.b64encode(hashlib.md5(body).digest()).decode(),
            )
            assert (status, headers["ETag"]) == (200, f'"{md5(body)}"')
            status, headers, got = await harness.object_request("GET", KEY_PATH)
            assert status == 200 and got == body
            assert headers["Content-Type"] == "image/jpeg" and headers["x-amz-meta-line"] == "7"
            status, headers, got = await harness.object_request("HEAD", KEY_PATH)
            assert (status, got, headers["Content-Length"]) == (200, b"", str(size))
            assert all(len(chunk_body) <= 65536 for node in harness.nodes for chunk_body in node.stored.values())
            assert (await harness.object_request("DELETE", KEY_PATH))[0] == 204
            status, _, got = await harness.object_request("GET", KEY_PATH)
            assert status == 404 and code(got) == "NoSuchKey"
            assert all(node.overlapping_attempts == 0 for node in harness.nodes)

    run_scenario(scenario())


SIZE = 3 * PAYLOAD_BYTES + 100


def test_range_requests():
    cases = [
        ("bytes=0-0", 0, 1),
        (f"bytes={PAYLOAD_BYTES - 1}-{PAYLOAD_BYTES}", PAYLOAD_BYTES - 1, PAYLOAD_BYTES + 1),
        ("bytes=5-", 5, SIZE),
        ("bytes=-7", SIZE - 7, SIZE),
        (f"bytes=-{SIZE * 2}", 0, SIZE),
        (f"bytes={SIZE - 1}-{SIZE * 9}", SIZE - 1, SIZE),
        (f"bytes=10-{2 * PAYLOAD_BYTES}", 10, 2 * PAYLOAD_BYTES + 1),
    ]

    async def scenario():
        body = random_bytes(SIZE)
        async with FrontHarness(3, OPERATOR) as harness:
            await harness.object_request("PUT", KEY_PATH, body)
            for header, start, end in cases:
                status, headers, got = await harness.object_request("GET", KEY_PATH, Range=header)
                assert status == 206 and got == body[start:end], header
                assert headers["Content-Range"] == f"bytes {start}-{end - 1}/{SIZE}"
            for header in (f"bytes={SIZE}-", "bytes=-0"):
                status, headers, got = await harness.object_request("GET", KEY_PATH, Range=header)
                assert (status, code(got)) == (416, "InvalidRange")
                assert headers["Content-Range"] == f"bytes */{SIZE}"
            for header in ("bytes=9-3", "lines=1-2", "bytes=0-1,5-6", "bytes=-"):  # the complete object is served
                assert (await harness.object_request("GET", KEY_PATH, Range=header))[::2] == (200, body)
            status, headers, got = await harness.object_request("HEAD", KEY_PATH, Range="bytes=1-4")
            assert (status, headers["Content-Length"], got) == (206, "4", b"")

    run_scenario(scenario())


def test_conditional_requests():
    old, new = "Mon, 01 Jan 2001 00:00:00 GMT", "Fri, 01 Jan 2100 00:00:00 GMT"

    async def scenario():
        body = random_bytes(50)
        tag = f'"{md5(body)}"'
        async with FrontHarness(2, OPERATOR) as harness:
            await harness.object_request("PUT", KEY_PATH, body)
            for headers, expected in [
                ({"If-Match": tag}, 200),
                ({"If-Match": '"x"'}, 412),
                ({"If-Match": f'"x", {tag}'}, 200),
                ({"If-None-Match": tag}, 304),
                ({"If-None-Match": "*"}, 304),
                ({"If-None-Match": '"x"'}, 200),
                ({"If-Modified-Since": new}, 304),
                ({"If-Modified-Since": old}, 200),
                ({"If-Modified-Since": "whenever"}, 200),
                ({"If-Unmodified-Since": old}, 412),
                ({"If-Unmodified-Since": new}, 200),
                ({"If-None-Match": '"x"', "If-Modified-Since": new}, 200),
                ({"If-Range": tag, "Range": "bytes=1-2"}, 206),
                ({"If-Range": '"x"', "Range": "bytes=1-2"}, 200),
            ]:
                status, got_headers, got = await harness.object_request("GET", KEY_PATH, **headers)
                assert status == expected, headers
                assert got == {200: body, 206: body[1:3], 304: b""}.get(status, got)
                assert status == 412 or got_headers["ETag"] == tag

    run_scenario(scenario())


def complete(parts: list[tuple[int, str]]) -> bytes:
    inner = "".join(f"<Part><PartNumber>{n}</PartNumber><ETag>&quot;{tag}&quot;</ETag></Part>" for n, tag in parts)
    return f'<CompleteMultipartUpload xmlns="{NS[1:-1]}">{inner}</CompleteMultipartUpload>'.encode()


async def begin_upload(harness: FrontHarness, path: str = KEY_PATH) -> str:
    _, _, got = await harness.object_request("POST", path + "?uploads", Content_Type="image/png")
    return ElementTree.fromstring(got).findtext(NS + "UploadId")


def test_a_multipart_upload_through_two_front_processes_without_shared_state():
    async def scenario():
        bodies = {1: random_bytes(150_000, 1), 2: random_bytes(PAYLOAD_BYTES * 2, 2), 5: random_bytes(10, 5)}
        async with FrontHarness(3, OPERATOR) as one, FrontHarness(operator=OPERATOR, rank=1, shared=one) as two:
            upload = await begin_upload(one)
            at = f"{KEY_PATH}?uploadId={upload}"
            older = b"an older part" * 9000
            for harness, number, body in [
                (two, 5, bodies[5]),
                (one, 2, older),
                (one, 1, bodies[1]),
                (two, 2, bodies[2]),
            ]:
                status, headers, _ = await harness.object_request("PUT", f"{at}&partNumber={number}", body)
                assert (status, headers["ETag"]) == (200, f'"{md5(body)}"')
            _, _, got = await two.object_request("GET", at + "&max-parts=2")
            listed = ElementTree.fromstring(got)
            found = [(p.findtext(NS + "PartNumber"), p.findtext(NS + "Size")) for p in listed.iter(NS + "Part")]
            assert found == [("1", "150000"), ("2", str(2 * PAYLOAD_BYTES))]
            assert listed.findtext(NS + "IsTruncated") == "true"
            assert (await one.object_request("GET", KEY_PATH))[0] == 404  # not visible before the manifest is written
            expected = [(n, md5(body)) for n, body in sorted(bodies.items())]
            for parts, error_code in [
                ([(1, md5(b"x"))], "InvalidPart"),
                (expected[::-1], "InvalidPartOrder"),
                ([expected[2], (9, md5(b"x"))], "InvalidPart"),
                ([], "MalformedXML"),
            ]:
                status, _, got = await one.object_request("POST", at, complete(parts))
                assert (status, code(got)) == (400, error_code)
            status, _, got = await two.object_request("POST", at, complete(expected))
            digests = b"".join(hashlib.md5(body).digest() for _, body in sorted(bodies.items()))
            tag = f'"{md5(digests)}-3"'
            assert status == 200 and ElementTree.fromstring(got).findtext(NS + "ETag") == tag
            full_body = b"".join(body for _, body in sorted(bodies.items()))
            status, headers, got = await one.object_request("GET", KEY_PATH)
            assert got == full_body and headers["ETag"] == tag and headers["Content-Type"] == "image/png"
            _, _, got = await two.object_request("GET", KEY_PATH, Range="bytes=149000-281000")
            assert got == full_body[149000:281001]
            status, _, got = await one.object_request("POST", at, complete(expected))
            assert (status, code(got)) == (404, "NoSuchUpload")

    run_scenario(scenario())


def test_a_part_below_the_minimum_and_requests_after_an_abort_are_refused():
    async def scenario():
        async with FrontHarness(2, OPERATOR) as harness:
            at = f"{KEY_PATH}?uploadId={await begin_upload(harness)}"
            tags = [(n, md5(b"tiny")) for n in (1, 2)]
            for number, _ in tags:
                assert (await harness.object_request("PUT", f"{at}&partNumber={number}", b"tiny"))[0] == 200
            assert code((await harness.object_request("POST", at, complete(tags)))[2]) == "EntityTooSmall"
            assert (await harness.object_request("DELETE", at))[0] == 204
            for method, path, body in [
                ("PUT", at + "&partNumber=3", b"x"),
                ("GET", at, b""),
                ("DELETE", at, b""),
                ("POST", at, complete(tags)),
            ]:
                status, _, got = await harness.object_request(method, path, body)
                assert (status, code(got)) == (404, "NoSuchUpload")

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "error_code"),
    [
        ("GET", "/nobody/x", {}, 404, "NoSuchBucket"),
        ("GET", "/photos/", {}, 501, "NotImplemented"),
        ("GET", "/photos/%FF", {}, 400, "InvalidURI"),
        ("GET", "/photos/" + "k" * 1025, {}, 400, "KeyTooLongError"),
        ("GET", "/private/x", {}, 403, "AccessDenied"),
        ("GET", "/private/x", {"Authorization": "Bearer wrong"}, 403, "AccessDenied"),
        ("GET", "/private/x", {"Authorization": "Bearer test"}, 404, "NoSuchKey"),
        ("GET", "/photos/x", {"X-Expires-In-Ms": "0"}, 504, "RequestTimeout"),
        ("GET", "/photos/x", {"X-Expires-In-Ms": "soon"}, 400, "InvalidArgument"),
        ("PUT", "/photos/x", {"Content-MD5": base64.b64encode(bytes(16)).decode()}, 400, "BadDigest"),
        ("PUT", "/photos/x", {"Content-MD5": "%%"}, 400, "InvalidDigest"),
        ("PUT", "/photos/x", {"If-None-Match": "*"}, 501, "NotImplemented"),
        ("PUT", "/photos/x", {"x-amz-content-sha256": "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"}, 501, "NotImplemented"),
        ("PUT", "/photos/x", {"x-amz-meta-a": "v" * 3000}, 400, "MetadataTooLarge"),
        ("PUT", "/photos/x?uploadId=none&partNumber=0", {}, 400, "InvalidArgument"),
        ("PUT", "/photos/x?uploadId=none&partNumber=1", {}, 404, "NoSuchUpload"),
        ("POST", "/photos/x?uploadId=none", {}, 400, "MalformedXML"),
        ("POST", "/photos/x", {}, 501, "NotImplemented"),
        ("PATCH", "/photos/x", {}, 501, "NotImplemented"),
    ],
)
def test_errors_have_the_s3_code_and_format(method, path, headers, status, error_code):
    async def scenario():
        async with FrontHarness(1, OPERATOR) as harness:
            got, _, body = await harness.object_request(method, path, b"<x" if method != "GET" else b"", **headers)
            assert (got, code(body)) == (status, error_code)
            assert (await harness.object_request("PUT", "/photos/x", b"y"))[0] == 200  # the front still serves requests

    run_scenario(scenario())


@pytest.mark.parametrize("act", ["half", "reset", "full", "error", "corrupt", "close"])
def test_a_failed_chunk_read_is_retried_without_duplicate_or_missing_bytes(act):
    async def scenario():
        body = random_bytes(6 * PAYLOAD_BYTES + 5)
        async with FrontHarness(1, OPERATOR) as harness:
            node = harness.nodes[0]
            await harness.object_request("PUT", KEY_PATH, body)
            node.scripted_responses.extend(["", "", "", act, "", act])  # the first request reads the manifest
            status, _, got = await harness.object_request("GET", KEY_PATH, Range="bytes=100-")
            assert (
                status == 206 and got == body[100:] and node.overlapping_attempts == 0 and not node.scripted_responses
            )

    run_scenario(scenario())


def test_a_read_from_a_stalled_node_aborts_the_connection_and_resumes_by_range():
    async def scenario():
        body = random_bytes(8 * PAYLOAD_BYTES)
        async with FrontHarness(1, OPERATOR) as harness:
            node = harness.nodes[0]
            await harness.object_request("PUT", KEY_PATH, body)
            node.scripted_responses.extend([""] * 5 + ["stall"])
            got = bytearray()
            url = f"http://127.0.0.1:{harness.object_port}{KEY_PATH}"
            async with harness.session.get(url) as response:
                assert response.status == 200 and response.headers["Content-Length"] == str(len(body))
                with pytest.raises(aiohttp.ClientError):
                    async for some in response.content.iter_any():
                        got += some
            assert 0 < len(got) < len(body) and body.startswith(bytes(got))
            status, _, rest = await harness.object_request("GET", KEY_PATH, Range=f"bytes={len(got)}-")
            assert status == 206 and bytes(got) + rest == body and node.overlapping_attempts == 0
            await wait_until(lambda: not any(node.in_flight.values()))

    run_scenario(scenario())


def test_a_stalled_chunk_read_is_retried_once_the_node_is_known_to_lose_responses():
    async def scenario():
        body = random_bytes(5 * PAYLOAD_BYTES)
        async with FrontHarness(1, OPERATOR) as harness:
            node = harness.nodes[0]
            node.delay = 0.1  # so that four times the usual response time is long
            await harness.object_request("PUT", KEY_PATH, body)
            node.scripted_responses.extend(["", "stall"])
            with pytest.raises(aiohttp.ClientError):
                status, _, _ = await harness.object_request("GET", KEY_PATH)
                assert status == 503  # the first chunk stalled, so no response headers had been sent
                raise aiohttp.ClientError
            node.scripted_responses.extend(["", "", "stall"])
            seen = len(node.received)
            assert (await harness.object_request("GET", KEY_PATH))[::2] == (200, body)
            assert (
                len(node.received) >= seen + 1 + 5 + 1
                and not node.scripted_responses
                and node.overlapping_attempts == 0
            )

    run_scenario(scenario())


@pytest.mark.parametrize("replaced", [True, False])
def test_an_upload_gets_one_final_response_if_its_node_drains_midway(replaced):
    async def scenario():
        # the shard of each chunk is random: with 32 chunks, either half of the upload reaches both nodes
        half = 32 * PAYLOAD_BYTES
        before, body = random_bytes(1000, 7), random_bytes(2 * half, 8)
        async with FrontHarness(2, OPERATOR) as harness:
            assert (await harness.object_request("PUT", KEY_PATH, before))[0] == 200
            drained = harness.nodes[1]
            # fronts spread their first discovery calls: without a watch, the front would not learn of the drain
            await wait_until(lambda: harness.calls and harness.calls[-1][1] == str(harness.revision))

            async def sending():
                yield body[:half]
                await wait_until(lambda: any(len(seen[3]) > 60000 for seen in drained.received))
                harness.publish_state(drained, "draining")
                if replaced:
                    fresh = StubChunkServer(1)
                    fresh.id, fresh.stored = "s-new", drained.stored
                    await fresh.start()
                    harness.nodes.append(fresh)
                    harness.publish_state(fresh, "up")
                yield body[half:]

            url = f"http://127.0.0.1:{harness.object_port}{KEY_PATH}"
            async with harness.session.put(url, data=sending()) as response:
                status, got = response.status, await response.read()
            if replaced:
                assert status == 200
            else:
                assert (status, code(got), response.headers["Retry-After"]) == (503, "SlowDown", "1")
                harness.publish_state(drained, "up")
                await wait_until(lambda: harness.calls[-1][1] == str(harness.revision))
            assert (await harness.object_request("GET", KEY_PATH))[2] == (body if replaced else before)
            assert all(node.overlapping_attempts == 0 for node in harness.nodes)

    run_scenario(scenario())


@pytest.mark.parametrize("method", ["PUT", "GET"])
def test_a_client_that_disconnects_midway_releases_its_chunks_and_changes_no_data(method):
    async def scenario():
        body = random_bytes(6 * PAYLOAD_BYTES)
        async with FrontHarness(1, OPERATOR) as harness:
            node = harness.nodes[0]
            await harness.object_request("PUT", KEY_PATH, body)
            seen, stored = len(node.received), dict(node.stored)
            node.scripted_responses.extend([""] + ["stall"] * 4 if method == "GET" else ["stall"] * 4)
            client_task = asyncio.create_task(
                harness.object_request(method, KEY_PATH, body[1:] if method == "PUT" else b"")
            )
            await wait_until(lambda: len(node.received) > seen + 1 and any(node.in_flight.values()))
            client_task.cancel()
            await wait_until(lambda: not any(node.in_flight.values()))
            node.scripted_responses.clear()
            assert (await harness.object_request("GET", KEY_PATH))[2] == body
            assert {path: node.stored[path] for path in stored} == stored and node.overlapping_attempts == 0

    run_scenario(scenario())


@pytest.mark.parametrize(("rate", "expected"), [(0.01, 503), (100000, 200)])
def test_a_teams_budget_is_enforced(rate, expected):
    async def scenario():
        budget = f"budget = {{units_per_s = {rate}}}\n"
        operator = OPERATOR.replace('buckets = ["photos"]', budget + 'buckets = ["photos"]')
        async with FrontHarness(1, operator) as harness:
            status, _, got = await harness.object_request("PUT", KEY_PATH, random_bytes(100))
            assert status == expected and (status == 200 or code(got) == "SlowDown")
            assert bool(harness.nodes[0].received) == (expected == 200)

    run_scenario(scenario())


def test_a_large_object_is_streamed_with_bounded_memory():
    async def scenario():
        async with FrontHarness(2, OPERATOR) as harness:
            body = random_bytes(48 << 20)
            assert (await harness.object_request("PUT", KEY_PATH, body))[0] == 200
            slow = await harness.session.get(f"http://127.0.0.1:{harness.object_port}{KEY_PATH}")
            await asyncio.sleep(0.5)  # the front must not buffer for a client that does not read
            assert hashlib.md5(await slow.read()).digest() == hashlib.md5(body).digest()
            status = Path(f"/proc/{harness.process.pid}/status").read_text()
            assert int(status.split("VmHWM:")[1].split()[0]) < 120_000  # kB

    run_scenario(scenario())
