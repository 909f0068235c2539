"""Generated request heads and the router's result for each: a refusal, or the bytes sent to a server.

Only this module depends on the names of the router's functions and classes.
"""

from __future__ import annotations

import random

from ochrespan.data_plane.decisions import Fail, Refuse
from ochrespan.data_plane.local_responses import LocalResponse, quota_exceeded_response, response_for
from ochrespan.data_plane.request_head import RequestRefused, parse_chunk_size, parse_head
from ochrespan.data_plane.server_request import ServerRequest, end_to_end_headers

HEADS = 1500
BODY = b"\x00body\xff"
METHODS = ["GET"] * 3 + ["POST"] * 6 + ["OPTIONS", "get", "PO(ST", "", "x-y"]
TARGETS = ["/a"] * 6 + ["/a/b?c=d%20", "/", "*", "http://h/a", "/a b", "/\xe9", "a", ""]
VERSIONS = ["HTTP/1.1"] * 12 + ["HTTP/1.0", "HTTP/2.0", "HTTP/1.1 ", "SPDY/3", ""]
LINES = [
    "Host: Api.Example:80",
    "Host: other",
    "X-Request-Id: 9c41",
    "x-request-id: 9c42",
    "X-Model: m",
    "X-Token-Usage: 1460,80",
    "X-Prompt-Prefix: 5c1e:800,91bd:410",
    "X-Deadline-Ms: 15000",
    "X-Credential: secret",
    "X-Tenant: stolen",
    "X-Expect-Instance: i-1",
    "Priority: 9",
    "Last-Event-Id: 17",
    "Content-Length: 6",
    "Content-Length: 7",
    "Content-Length: +6",
    "Content-Length: 6, 6",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Connection: close",
    "Connection: keep-alive, X-Model, X-Custom",
    "Connection: Host",
    "Keep-Alive: timeout=5",
    "TE: trailers",
    "Trailer: X-A",
    "Upgrade: h2c",
    "Expect: 100-continue",
    "Expect: 200-ok",
    "X-Custom: a\tb  ",
    "X-Custom:",
    "X-Latin: \xe9\xfc",
    "X-Null: a\x00b",
    "X-Folded: a\r\n b",
    "X-Feed: a\nb",
    "X Space: a",
    ": nothing",
    "nothing",
    "Accept-Encoding: identity",
]
CHUNK_LINES = [b"5", b"5;a=b", b"5 ;a", b"0", b"fF", b"", b"-1", b"0x5", b"5\x00", b"g", b"1" * 15, b"1" * 16, b" 5"]


def _generate_head(rng: random.Random) -> bytes:
    start = f"{rng.choice(METHODS)} {rng.choice(TARGETS)} {rng.choice(VERSIONS)}"
    lines = rng.sample(LINES, rng.choice([0, 1, 2, 3, 4, 6, 9]))
    if rng.random() < 0.7:
        lines = [LINES[0], *(line for line in lines if not line.startswith("Host"))]
    return "\r\n".join([start, *lines]).encode("latin-1")


def _refusal(error: RequestRefused) -> str:
    return f"refused {error.status} {error.retry_after} {error}"


def describe_heads() -> list[str]:
    """Returns one line per generated head."""
    rng = random.Random(38)
    lines = []
    for _ in range(HEADS):
        data = _generate_head(rng)
        try:
            head = parse_head(data)
        except RequestRefused as error:
            lines.append(_refusal(error))
            continue
        tenant = rng.choice([None, "acme"])
        body = rng.choice([b"", BODY])
        sent = ServerRequest(head, "9c41", body, tenant).encode(
            "i-7f3a", rng.choice([0.0, 0.0014, 9.8765]), rng.randint(0, 9), rng.choice([None, None, 0, 41])
        )
        facts = (head.path, head.host, head.content_length, head.chunked, head.keep_alive, head.expects_continue)
        lines.append(f"accepted {facts} {end_to_end_headers(head.headers)} {sent!r}")
    return lines


def describe_chunk_sizes() -> list[str]:
    """Returns one line per size line of a chunk."""
    lines = []
    for line in CHUNK_LINES:
        try:
            lines.append(f"{line!r} {parse_chunk_size(line)}")
        except RequestRefused as error:
            lines.append(f"{line!r} {_refusal(error)}")
    return lines


def describe_own_responses() -> list[str]:
    """Returns one line, with headers, per kind of response that the router generates itself."""
    responses = [
        quota_exceeded_response("q1", 0.25),
        response_for(Refuse("q1", 503, 0.1234567), "q1"),
        response_for(Refuse("q1", 429, -1.0), "q1"),
        response_for(Fail("q1", 502), "q1"),
        response_for(Fail("q1", 504), "q1"),
        LocalResponse(404, "no route"),
        LocalResponse(401, "no such key", "q1"),
    ]
    lines = []
    for response in responses:
        started: list[tuple[str, list[tuple[str, str]]]] = []
        body = b"".join(response.respond(lambda status, headers, started=started: started.append((status, headers))))
        lines.append(f"{started[0]} {body!r}")
    return lines
