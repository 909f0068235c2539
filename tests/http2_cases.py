"""Conformance cases of RFC 9113 by section: raw frames and the permitted outcomes.

Run as `python -m tests.http2_cases` it writes docs/conformance/http2.md. An outcome is `served`, `ignored`,
`connection CODE` or `stream CODE`; where two stand, the RFC lets a server choose (section 5.4.2: a stream error may be
treated as one of the connection).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from h2.errors import ErrorCodes
from hpack import Encoder

from ochrespan.http2.connection import Connection
from ochrespan.http2.events import RequestStarted
from ochrespan.http2.limits import BufferBudget, Limits

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, PRIORITY, RST, SETTINGS, PUSH, PING, GOAWAY, WINDOW, CONTINUATION = range(10)
END_STREAM, END_HEADERS, PADDED, ACK, PRIO = 0x1, 0x4, 0x8, 0x1, 0x20
GET = [(":method", "GET"), (":scheme", "http"), (":path", "/x"), (":authority", "a")]
POST = [(":method", "POST"), (":scheme", "http"), (":path", "/x"), (":authority", "a")]


def frame(kind: int, payload: bytes = b"", flags: int = 0, stream: int = 0, length: int | None = None) -> bytes:
    """One frame; `length` overrides the length field, for a frame with a wrong length."""
    size = len(payload) if length is None else length
    return size.to_bytes(3) + bytes([kind, flags]) + stream.to_bytes(4) + payload


def block(fields: list[tuple[str, str]]) -> bytes:
    """A field block."""
    return Encoder().encode([(name.encode(), value.encode()) for name, value in fields], huffman=False)


def request(stream: int = 1, fields=None, flags: int = END_STREAM | END_HEADERS) -> bytes:
    """A HEADERS frame."""
    return frame(HEADERS, block(GET if fields is None else fields), flags, stream)


def setting(number: int, value: int) -> bytes:
    """One entry of a SETTINGS frame."""
    return number.to_bytes(2) + value.to_bytes(4)


def u32(value: int) -> bytes:
    """Four bytes in network order."""
    return value.to_bytes(4)


@dataclass(frozen=True)
class Case:
    """What is sent, and the permitted outcomes."""

    section: str
    what: str
    sent: bytes
    outcomes: tuple[str, ...]
    preface: bytes = PREFACE + frame(SETTINGS)
    stream: int = 1  # the stream whose outcome is checked


PROTOCOL = ("connection PROTOCOL_ERROR",)
SIZE = ("connection FRAME_SIZE_ERROR",)
FLOW = ("connection FLOW_CONTROL_ERROR",)
CLOSED = ("connection STREAM_CLOSED", "stream STREAM_CLOSED")
MALFORMED = ("stream PROTOCOL_ERROR", "connection PROTOCOL_ERROR")
SERVED, IGNORED = ("served",), ("ignored",)
CALM = ("connection ENHANCE_YOUR_CALM",)


def without(name: str) -> list[tuple[str, str]]:
    """The fields of GET except one."""
    return [field for field in GET if field[0] != name]


def cases() -> Iterator[Case]:
    """All cases, by section."""
    # 3.4 preface
    yield Case("3.4", "the preface, settings, a request", request(), SERVED)
    for what, preface in (
        ("an HTTP/1.1 request", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" + b" " * 8),
        ("a preface with a wrong letter", PREFACE.replace(b"SM", b"SN") + frame(SETTINGS)),
        ("another frame before settings", PREFACE + frame(PING, b"12345678")),
    ):
        yield Case("3.4", what, request(), PROTOCOL, preface)
    yield Case(
        "3.3",
        "the old upgrade header on this port",
        b"",
        PROTOCOL,
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    )
    # 4.1 and 4.2 frames
    yield Case("4.1", "a frame of an unknown type", frame(0x42, b"what") + request(), SERVED)
    yield Case("4.1", "unknown flags", frame(PING, b"12345678", 0xF0) + request(), SERVED)
    yield Case("4.1", "the reserved bit of the stream id", frame(PING, b"12345678", 0, 1 << 31) + request(), SERVED)
    yield Case(
        "4.2",
        "a data frame of the largest size",
        request(fields=POST, flags=END_HEADERS) + frame(DATA, b"x" * 16_384, END_STREAM, 1),
        SERVED,
    )
    yield Case("4.2", "a frame larger than the largest", frame(DATA, b"", 0, 1, 16_385) + b"x" * 16_385, SIZE)
    for kind, size, stream in (
        (PING, 7, 0),
        (PING, 9, 0),
        (PING, 0, 0),
        (RST, 3, 1),
        (RST, 5, 1),
        (WINDOW, 3, 0),
        (WINDOW, 5, 0),
        (SETTINGS, 5, 0),
        (SETTINGS, 7, 0),
        (GOAWAY, 7, 0),
        (PRIORITY, 4, 1),
        (PRIORITY, 6, 1),
    ):
        before = request(fields=POST, flags=END_HEADERS) if stream else b""
        outcomes = (*SIZE, "stream FRAME_SIZE_ERROR") if kind == PRIORITY else SIZE
        yield Case(
            "4.2", f"a frame of type {kind} with {size} bytes", before + frame(kind, b"\0" * size, 0, stream), outcomes
        )
    # 4.3 field compression
    yield Case(
        "4.3",
        "a field block that cannot be decoded",
        frame(HEADERS, b"\xff\xff\xff\xff\xff\xff", 5, 1),
        ("connection COMPRESSION_ERROR",),
    )
    yield Case("4.3", "an index beyond the table", frame(HEADERS, b"\xff\x10", 5, 1), ("connection COMPRESSION_ERROR",))
    yield Case(
        "4.3",
        "a block in two frames",
        frame(HEADERS, block(GET)[:3], END_STREAM, 1) + frame(CONTINUATION, block(GET)[3:], END_HEADERS, 1),
        SERVED,
    )
    # 5.1 stream states
    for kind, payload in ((DATA, b"x"), (RST, u32(8)), (WINDOW, u32(1))):
        yield Case("5.1", f"a frame of type {kind} on an idle stream", frame(kind, payload, 0, 1), PROTOCOL)
    for kind, payload, flags in ((DATA, b"x", 0), (HEADERS, block([("a", "b")]), 5)):
        yield Case(
            "5.1",
            f"a frame of type {kind} after the stream's end",
            request() + frame(kind, payload, flags, 1),
            (*CLOSED, *MALFORMED) if kind == HEADERS else CLOSED,
        )
        yield Case(
            "5.1",
            f"a frame of type {kind} after the client's reset",
            request(fields=POST, flags=END_HEADERS) + frame(RST, u32(8), 0, 1) + frame(kind, payload, flags, 1),
            CLOSED if kind == DATA else (*CLOSED, *PROTOCOL),
        )
    yield Case("5.1", "a priority frame on an idle stream", frame(PRIORITY, u32(0) + b"\0", 0, 3) + request(), SERVED)
    yield Case("5.1", "a window update after the stream's end", request() + frame(WINDOW, u32(1), 0, 1), SERVED)
    # 5.1.1 stream identifiers
    yield Case("5.1.1", "an even stream id", request(2), PROTOCOL, stream=2)
    yield Case("5.1.1", "a stream id lower than the last", request(5) + request(3), PROTOCOL, stream=3)
    yield Case("5.1.1", "stream ids that skip some", request(9), SERVED, stream=9)
    yield Case("5.1.1", "a request on stream 0", request(0), PROTOCOL)
    # 5.1.2 concurrency
    many = b"".join(request(n, POST, END_HEADERS) for n in range(1, 9, 2))
    yield Case("5.1.2", "a stream beyond the limit", many + request(9), ("stream REFUSED_STREAM",), stream=9)
    yield Case("5.1.2", "the last stream of the limit", many, SERVED, stream=7)
    yield Case(
        "5.1.2", "a stream once another has been reset", many + frame(RST, u32(8), 0, 1) + request(9), SERVED, stream=9
    )
    # 5.3.1 and 5.4
    yield Case(
        "5.3.1",
        "a stream that depends on itself",
        frame(PRIORITY, u32(1) + b"\0", 0, 1) + request(),
        (*MALFORMED, "served"),
    )
    yield Case("5.5", "an unknown extension setting", frame(SETTINGS, setting(0x9999, 7)) + request(), SERVED)
    yield Case(
        "5.5",
        "an unknown frame inside a field block",
        frame(HEADERS, block(GET)[:3], END_STREAM, 1)
        + frame(0x42, b"")
        + frame(CONTINUATION, block(GET)[3:], END_HEADERS, 1),
        PROTOCOL,
    )
    # 6.1 DATA
    yield Case("6.1", "data on stream 0", frame(DATA, b"x"), PROTOCOL)
    yield Case(
        "6.1",
        "padded data",
        request(fields=POST, flags=END_HEADERS) + frame(DATA, b"\3abc\0\0\0", END_STREAM | PADDED, 1),
        SERVED,
    )
    yield Case(
        "6.1",
        "padding as long as the frame",
        request(fields=POST, flags=END_HEADERS) + frame(DATA, b"\4abc", END_STREAM | PADDED, 1),
        PROTOCOL,
    )
    # 6.2 HEADERS
    yield Case("6.2", "padded headers", frame(HEADERS, b"\2" + block(GET) + b"\0\0", 5 | PADDED, 1), SERVED)
    yield Case("6.2", "padding longer than the block", frame(HEADERS, b"\xf0" + block(GET), 5 | PADDED, 1), PROTOCOL)
    yield Case("6.2", "headers with a priority", frame(HEADERS, u32(0) + b"\x10" + block(GET), 5 | PRIO, 1), SERVED)
    for kind, payload in ((DATA, b"x"), (PING, b"12345678"), (SETTINGS, b""), (HEADERS, block(GET))):
        yield Case(
            "6.2",
            f"a frame of type {kind} inside a field block",
            frame(HEADERS, block(GET)[:3], END_STREAM, 1)
            + frame(kind, payload, 0, 0 if kind in (PING, SETTINGS) else 1),
            PROTOCOL,
        )
    yield Case(
        "6.2",
        "a continuation of another stream",
        frame(HEADERS, block(GET)[:3], END_STREAM, 1) + frame(CONTINUATION, block(GET)[3:], END_HEADERS, 3),
        PROTOCOL,
    )
    # 6.3 and 6.4
    yield Case("6.3", "a priority frame on stream 0", frame(PRIORITY, u32(1) + b"\0"), PROTOCOL)
    yield Case("6.4", "a reset of stream 0", frame(RST, u32(8)), PROTOCOL)
    for code in (0, 7, 8, 0xFFFF):
        yield Case(
            "6.4", f"a reset with code {code}", request() + frame(RST, u32(code), 0, 1) + request(3), SERVED, stream=3
        )
    # 6.5 SETTINGS
    yield Case("6.5", "settings on a stream", frame(SETTINGS, b"", 0, 1), PROTOCOL)
    yield Case("6.5", "an acknowledgement with a payload", frame(SETTINGS, setting(3, 1), ACK), SIZE)
    yield Case("6.5", "an acknowledgement", frame(SETTINGS, b"", ACK) + request(), SERVED)
    yield Case("6.5.2", "push that is neither on nor off", frame(SETTINGS, setting(2, 2)), PROTOCOL)
    yield Case("6.5.2", "push on and off", frame(SETTINGS, setting(2, 1) + setting(2, 0)) + request(), SERVED)
    yield Case("6.5.2", "an initial window beyond the largest", frame(SETTINGS, setting(4, 1 << 31)), FLOW)
    yield Case("6.5.2", "the largest initial window", frame(SETTINGS, setting(4, (1 << 31) - 1)) + request(), SERVED)
    yield Case("6.5.2", "an initial window of 0", frame(SETTINGS, setting(4, 0)) + request(), SERVED)
    for size in (16_383, 1 << 24):
        yield Case("6.5.2", f"a largest frame of {size}", frame(SETTINGS, setting(5, size)), PROTOCOL)
    yield Case("6.5.2", "a largest frame of 16,384", frame(SETTINGS, setting(5, 16_384)) + request(), SERVED)
    yield Case("6.5.2", "a field table of 0", frame(SETTINGS, setting(1, 0)) + request(), SERVED)
    yield Case(
        "6.5.3",
        "the same setting twice: the last holds",
        frame(SETTINGS, setting(3, 5) + setting(3, 6)) + request(),
        SERVED,
    )
    # 6.6
    yield Case(
        "6.6", "a push promise from a client", request() + frame(PUSH, u32(2) + block(GET), END_HEADERS, 1), PROTOCOL
    )
    # 6.7 PING
    yield Case("6.7", "a ping", frame(PING, b"12345678") + request(), SERVED)
    yield Case("6.7", "a ping on a stream", frame(PING, b"12345678", 0, 1), PROTOCOL)
    yield Case("6.7", "an acknowledged ping that was not sent", frame(PING, b"12345678", ACK) + request(), SERVED)
    # 6.8 GOAWAY
    yield Case("6.8", "a client that goes away waits for its answers", request() + frame(GOAWAY, u32(0) * 2), SERVED)
    yield Case("6.8", "going away on a stream", frame(GOAWAY, u32(0) * 2, 0, 1), PROTOCOL)
    yield Case("6.8", "going away with words", request() + frame(GOAWAY, u32(0) * 2 + b"bye"), SERVED)
    # 6.9 WINDOW_UPDATE
    yield Case("6.9", "an update of 0 for the connection", frame(WINDOW, u32(0)), PROTOCOL)
    yield Case("6.9", "an update of 0 for a stream", request() + frame(WINDOW, u32(0), 0, 1), MALFORMED)
    yield Case("6.9.1", "a connection's window beyond the largest", frame(WINDOW, u32(2**31 - 1)) * 2, FLOW)
    yield Case(
        "6.9.1",
        "a stream's window beyond the largest",
        request() + frame(WINDOW, u32(2**31 - 1), 0, 1) * 2,
        (*FLOW, "stream FLOW_CONTROL_ERROR"),
    )
    yield Case(
        "6.9.1",
        "more data than the stream's window",
        request(fields=POST, flags=END_HEADERS) + frame(DATA, b"x" * 16_384, 0, 1) * 5,
        (*FLOW, "stream FLOW_CONTROL_ERROR"),
    )
    yield Case(
        "6.9.2",
        "an initial window that overflows an open stream's",
        request() + frame(WINDOW, u32(2**31 - 1 - 65_535), 0, 1) + frame(SETTINGS, setting(4, 65_536)),
        FLOW,
    )
    yield Case("6.10", "a continuation without headers", frame(CONTINUATION, block(GET), END_HEADERS, 1), PROTOCOL)
    yield Case("6.10", "a continuation on stream 0", frame(CONTINUATION, block(GET), END_HEADERS, 0), PROTOCOL)
    yield Case(
        "6.10", "a continuation after the block's end", request() + frame(CONTINUATION, b"", END_HEADERS, 1), PROTOCOL
    )
    yield Case(
        "6.10",
        "three continuations",
        frame(HEADERS, block(GET)[:2], END_STREAM, 1)
        + frame(CONTINUATION, block(GET)[2:4], 0, 1)
        + frame(CONTINUATION, block(GET)[4:], END_HEADERS, 1),
        SERVED,
    )
    # 8.1 messages
    yield Case(
        "8.1",
        "trailers",
        request(fields=POST, flags=END_HEADERS)
        + frame(DATA, b"x", 0, 1)
        + frame(HEADERS, block([("checksum", "1")]), 5, 1),
        SERVED,
    )
    yield Case(
        "8.1",
        "trailers that do not end the stream",
        request(fields=POST, flags=END_HEADERS) + frame(HEADERS, block([("checksum", "1")]), END_HEADERS, 1),
        MALFORMED,
    )
    yield Case(
        "8.1",
        "a pseudo-field in trailers",
        request(fields=POST, flags=END_HEADERS) + frame(HEADERS, block([(":path", "/y")]), 5, 1),
        MALFORMED,
    )
    # 8.1.1 length
    for length, body in (("1", b"xx"), ("3", b"xx"), ("0", b"x")):
        announced = request(fields=[*POST, ("content-length", length)], flags=END_HEADERS)
        yield Case(
            "8.1.1",
            f"content-length {length} and {len(body)} bytes",
            announced + frame(DATA, body, END_STREAM, 1),
            MALFORMED,
        )
    yield Case("8.1.1", "content-length and no body", request(fields=[*GET, ("content-length", "5")]), MALFORMED)
    yield Case(
        "8.1.1", "a content-length that is no number", request(fields=[*GET, ("content-length", "x")]), MALFORMED
    )
    yield Case(
        "8.1.1",
        "two content-lengths that differ",
        request(fields=[*POST, ("content-length", "2"), ("content-length", "3")], flags=END_HEADERS)
        + frame(DATA, b"xx", END_STREAM, 1),
        MALFORMED,
    )
    yield Case(
        "8.1.1",
        "a content-length that is right",
        request(fields=[*POST, ("content-length", "2")], flags=END_HEADERS) + frame(DATA, b"xx", END_STREAM, 1),
        SERVED,
    )
    # 8.2 fields
    for name in ("Upper", "UPPER", "mixeD"):
        yield Case("8.2.1", f"the field name {name}", request(fields=[*GET, (name, "x")]), MALFORMED)
    for name, value in (("a b", "x"), ("", "x"), ("x", "a\nb"), ("x", "a\0b"), ("x", " a"), ("x", "a ")):
        yield Case("8.2.1", f"the field {name!r}: {value!r}", request(fields=[*GET, (name, value)]), MALFORMED)
    for name in ("connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"):
        yield Case("8.2.2", f"the connection's field {name}", request(fields=[*GET, (name, "close")]), MALFORMED)
    yield Case("8.2.2", "te: trailers", request(fields=[*GET, ("te", "trailers")]), SERVED)
    yield Case("8.2.2", "te: gzip", request(fields=[*GET, ("te", "gzip")]), MALFORMED)
    yield Case("8.2.3", "two cookie fields", request(fields=[*GET, ("cookie", "a=1"), ("cookie", "b=2")]), SERVED)
    # 8.3 pseudo-fields
    for name in (":method", ":scheme", ":path"):
        yield Case("8.3.1", f"no {name}", request(fields=without(name)), MALFORMED)
        yield Case("8.3.1", f"{name} twice", request(fields=[*GET, (name, dict(GET)[name])]), MALFORMED)
    yield Case("8.3.1", "an empty path", request(fields=[*without(":path"), (":path", "")]), MALFORMED)
    yield Case("8.3.1", "no authority but a host", request(fields=[*without(":authority"), ("host", "a")]), SERVED)
    yield Case("8.3.1", "an authority and another host", request(fields=[*GET, ("host", "b")]), (*MALFORMED, "served"))
    yield Case("8.3", "an unknown pseudo-field", request(fields=[(":what", "x"), *GET]), MALFORMED)
    yield Case("8.3", "a response's pseudo-field", request(fields=[(":status", "200"), *GET]), MALFORMED)
    yield Case("8.3", "a pseudo-field after a field", request(fields=[("a", "b"), *GET]), MALFORMED)
    yield Case("8.5", "CONNECT", request(fields=[(":method", "CONNECT"), (":authority", "a:1")]), SERVED)
    # 10.5 denial of service: cheap for the peer, costly for the server
    resets = b"".join(request(n) + frame(RST, u32(8), 0, n) for n in range(1, 501, 2))
    yield Case("10.5", "250 streams opened and reset", resets, CALM)
    yield Case("10.5", "200 streams beyond the limit", many + b"".join(request(n) for n in range(9, 450, 2)), CALM)
    yield Case("10.5", "40 pings", frame(PING, b"12345678") * 40, CALM)
    yield Case("10.5", "20 settings", frame(SETTINGS) * 20, CALM)
    yield Case(
        "10.5", "150 empty data frames", request(fields=POST, flags=END_HEADERS) + frame(DATA, b"", 0, 1) * 150, CALM
    )
    yield Case("10.5", "150 unknown frames", frame(0x42, b"") * 150, CALM)
    yield Case("10.5", "600 priority frames", frame(PRIORITY, u32(0) + b"\0", 0, 3) * 600, CALM)
    yield Case("10.5", "5,000 window updates", frame(WINDOW, u32(1)) * 5000, CALM)
    yield Case(
        "10.5.1",
        "fields beyond the limit",
        request(fields=[*GET, *((f"a{n}", "x" * 200) for n in range(72))]),
        (*CALM, "stream ENHANCE_YOUR_CALM"),
    )
    bomb = Encoder()
    first = bomb.encode([*((k.encode(), v.encode()) for k, v in GET), (b"bomb", b"x" * 3000)], huffman=False)
    yield Case(
        "10.5.1",
        "a small block that unpacks to much",
        frame(HEADERS, first + bomb.encode([(b"bomb", b"x" * 3000)] * 20, huffman=False), 5, 1),
        (*CALM, "connection COMPRESSION_ERROR"),
    )
    yield Case(
        "10.5.1",
        "100 continuations",
        frame(HEADERS, block(GET)[:2], END_STREAM, 1) + frame(CONTINUATION, b"", 0, 1) * 100,
        (*CALM, *PROTOCOL),
    )
    # RFC 9218
    yield Case("9218, 7.1", "a priority update", request() + frame(0x10, u32(1) + b"u=1, i"), SERVED)
    yield Case("9218, 7.1", "a priority update on a stream", request() + frame(0x10, u32(1) + b"u=1", 0, 1), PROTOCOL)
    yield Case("9218, 7.1", "a priority update that is too short", request() + frame(0x10, b"\0\0"), SIZE)


def connect(limits: Limits | None = None) -> Connection:
    """A server connection with a stream limit of 4."""
    return Connection(limits or Limits(max_streams=4), BufferBudget(1 << 24), 0.0)


def sent_frames(data: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Type, stream and payload of each frame."""
    at = 0
    while at < len(data):
        size = int.from_bytes(data[at : at + 3])
        yield data[at + 3], int.from_bytes(data[at + 5 : at + 9]), data[at + 9 : at + 9 + size]
        at += 9 + size


def outcome(case: Case) -> str:
    """The outcome of a case: how the server handled it."""
    connection = connect()
    events = connection.receive(case.preface + case.sent, 1.0)
    if connection.end_event:
        goaways = [p for kind, _, p in sent_frames(connection.control_to_send()) if kind == GOAWAY]
        # after an invalid preface the server need not send a GOAWAY
        code = int.from_bytes(goaways[-1][4:8]) if goaways else connection.end_event.code
        return f"connection {ErrorCodes(code).name}"
    for kind, stream, payload in sent_frames(connection.control_to_send()):
        if kind == RST and stream == case.stream:
            return f"stream {ErrorCodes(int.from_bytes(payload)).name}"
    return (
        "served" if any(isinstance(one, RequestStarted) and one.stream == case.stream for one in events) else "ignored"
    )


PAGE = Path(__file__).parent.parent / "docs" / "conformance" / "http2.md"


def page() -> str:
    """The conformance page."""
    lines = [
        "# HTTP/2 conformance",
        "",
        "Made by `python -m tests.http2_cases`; `tests/test_http2_conformance.py` holds each line. Sections are",
        "of RFC 9113 unless another is named. Where two outcomes stand, the RFC lets a server choose.",
        "",
        "| section | sent | outcome |",
        "| --- | --- | --- |",
    ]
    lines += [f"| {case.section} | {case.what} | {' or '.join(case.outcomes)} |" for case in cases()]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page())
