"""Reads the answers of chunk servers strictly, byte by byte of their framing, before aiohttp sees them.

aiohttp's own parser for answers forgives much, holds a body of any length, and takes bytes that come between two
requests for the next answer. Here an answer is whole, within bounds and alone, or its attempt has failed and its
connection is never used again.
"""

from __future__ import annotations

import re
import select
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

MOST_HEAD = 16 * 1024
MOST_BODY = 64 * 1024
MOST_CHUNK_LINE = 10  # hex digits and the line's end; extensions are not taken

STATUS = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
CHUNK = re.compile(rb"[0-9A-Fa-f]{1,8}")
START = b"HTTP/1."


class Spoilt(aiohttp.ClientPayloadError):
    """An answer that cannot be read: the request may have run, and the connection is of no more use."""


class Stale(aiohttp.ClientConnectionError):
    """A kept connection that was found unusable before anything was sent on it."""


class AnswerReader:
    """One answer, from its first byte to its last; 1xx heads before it are skipped."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._body_at = 0  # 0: the head is not whole yet
        self._length: int | None = None  # of the body; None: it comes in chunks
        self._next = 0  # where the next chunk begins
        self.rest = b""  # what came behind the answer

    def feed(self, data: bytes) -> bytes | None:
        """The whole answer, once it is there."""
        self._held += data
        while not self._body_at:
            if not self._read_head():
                return None
        end = self._chunks_end() if self._length is None else self._body_at + self._length
        if end is None or len(self._held) < end:
            return None
        self.rest = bytes(self._held[end:])
        return bytes(self._held[:end])

    def _read_head(self) -> bool:
        held = self._held
        if held[:len(START)] != START[:len(held)]:  # no need to wait for the end of noise
            raise Spoilt("no status line")
        end = held.find(b"\r\n\r\n", 0, MOST_HEAD)
        if end < 0:
            if len(held) >= MOST_HEAD:
                raise Spoilt("the head does not end")
            return False
        status_line, *lines = bytes(held[:end]).split(b"\r\n")
        status = STATUS.fullmatch(status_line)
        if status is None:
            raise Spoilt("the status line cannot be read")
        fields = [FIELD.fullmatch(line) for line in lines]
        if None in fields:
            raise Spoilt("a header cannot be read")
        code = int(status[1])
        if code == 101:
            raise Spoilt("a change of protocol was not asked for")
        if code < 200:
            del held[:end + 4]
            return bool(held)
        self._body_at = self._next = end + 4
        named = [(field[1].lower(), field[2].strip()) for field in fields if field]
        self._length = 0 if code in (204, 304) else self._framing(named)
        return True

    @staticmethod
    def _framing(fields: list[tuple[bytes, bytes]]) -> int | None:
        lengths = [value for name, value in fields if name == b"content-length"]
        codings = [value.lower() for name, value in fields if name == b"transfer-encoding"]
        if codings:
            if lengths or codings != [b"chunked"]:
                raise Spoilt("the length is told in two ways, or in an unknown one")
            return None
        # an answer that only the connection's end bounds could have lost its tail
        if len(lengths) != 1 or not lengths[0].isdigit() or len(lengths[0]) > 18:
            raise Spoilt("the length is missing or no length")
        if int(lengths[0]) > MOST_BODY:
            raise Spoilt("the body is too long")
        return int(lengths[0])

    def _chunks_end(self) -> int | None:
        """Where the last chunk ends; None while it has not come."""
        held, size = self._held, -1
        while size:
            line_end = held.find(b"\r\n", self._next, self._next + MOST_CHUNK_LINE)
            if line_end < 0:
                if len(held) >= self._next + MOST_CHUNK_LINE:
                    raise Spoilt("a chunk's size cannot be read")
                return None
            line = bytes(held[self._next:line_end])
            if not CHUNK.fullmatch(line):
                raise Spoilt("a chunk's size cannot be read")
            size = int(line, 16)
            end = line_end + 2 + size
            if end - self._body_at > 2 * MOST_BODY or size > MOST_BODY:
                raise Spoilt("the body is too long")
            if len(held) < end + 2:
                return None
            if held[end:end + 2] != b"\r\n":  # after the last chunk too: trailers are not taken
                raise Spoilt("a chunk does not end where it should")
            self._next = end + 2
        return self._next


class AnswerHandler(ResponseHandler):
    """aiohttp's handler of a connection, given whole answers only, and nothing that was not asked for."""

    _reader: AnswerReader | None = None  # while an answer is awaited

    def expect(self) -> None:
        """To be called right before the first byte of a request is written."""
        transport = self.transport
        if transport is None or transport.is_closing() or readable(transport):
            if transport is not None:
                transport.abort()
            raise Stale("the connection has been closed or holds what was not asked for")
        self._reader = AnswerReader()

    def data_received(self, data: bytes) -> None:
        if not data:  # aiohttp resumes what it paused
            super().data_received(data)
            return
        if self._reader is None:
            self._drop()
            return
        try:
            answer = self._reader.feed(data)
        except Spoilt as why:
            self._reader = None
            self.set_exception(why)
            self._drop()
            return
        if answer is None:
            return
        rest, self._reader = self._reader.rest, None
        super().data_received(answer)
        if rest:
            self._drop()

    def _drop(self) -> None:
        """The connection may bring anything now; its socket closes before anything else can be sent on it."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


def readable(transport: Any) -> bool:
    """Whether something has come, or the other end has closed, that the loop has not seen yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
