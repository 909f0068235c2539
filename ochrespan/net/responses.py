"""Reads the answers of chunk servers strictly, byte by byte of their framing, before aiohttp sees them.

aiohttp's own parser for answers forgives much, and takes bytes that come between two requests for the next answer.
Here an answer is within bounds and alone, or its attempt has failed and its connection is never used again.
"""

from __future__ import annotations

import asyncio
import re
import select
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .framing import Framer, Unreadable

MOST_BODY = 64 << 20  # twice the longest that is promised; what is far beyond that may never end
PIECE = 32 * 1024  # bytes read from a connection at once; asyncio's own 256 KiB on each would not fit into memory

START = b"HTTP/1."


class Spoilt(aiohttp.ClientPayloadError):
    """An answer that cannot be read: the request may have run, and the connection is of no more use."""


class Stale(aiohttp.ClientConnectionError):
    """A kept connection that was found unusable before anything was sent on it."""


class AnswerFramer(Framer):
    FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")

    def _begins(self) -> bool:
        return self.head[: len(START)] == START[: len(self.head)]

    def _bodiless(self) -> bool:
        return self.first is not None and (self.first[1][:1] == b"1" or self.first[1] in (b"204", b"304"))

    def _open_ended(self) -> bool:
        # one that does not say that it ends the connection could be any answer that lost its length on the way
        said = b",".join(value for name, value in self.fields if name == b"connection").lower()
        return b"close" in map(bytes.strip, said.split(b","))


class AnswerReader:
    """One answer, from its first byte to its last; 1xx heads before it are skipped."""

    def __init__(self) -> None:
        self._framer = AnswerFramer(MOST_BODY)
        self.rest = b""  # what came behind the answer

    @property
    def whole(self) -> bool:
        return self._framer.whole

    @property
    def open_ended(self) -> bool:
        """Whether only the end of the connection is the end of this answer."""
        return self._framer.open_ended

    def feed(self, data: bytes) -> bytes:
        """What can be passed on now: the head once it is whole, then the body as it comes. Raises Spoilt."""
        passed = bytearray()
        try:
            while data and not self._framer.whole:
                data = self._take(data, passed)
        except Unreadable as why:
            raise Spoilt(str(why)) from why
        self.rest = data
        return bytes(passed)

    def _take(self, data: bytes, passed: bytearray) -> bytes:
        framer = self._framer
        used = framer.take(data)
        if framer.first and framer.first[1][0:1] == b"1":
            if framer.first[1] == b"101":
                raise Unreadable("a change of protocol was not asked for")
            self._framer = AnswerFramer(MOST_BODY)
        else:
            passed += framer.passed()
        return data[used:]


class AnswerHandler(ResponseHandler):
    """aiohttp's handler of a connection, given answers that can be read, and nothing that was not asked for."""

    _reader: AnswerReader | None = None  # while an answer is awaited
    on_drained: Callable[[], None] | None = None  # to be told when the kernel has all that was written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.max_size = PIECE  # type: ignore[attr-defined]  # there is no public way

    def expect(self) -> None:
        """To be called right before the first byte of a request is written."""
        transport = self.transport
        if transport is None or transport.is_closing() or waits_for(transport, select.POLLIN):
            if transport is not None:
                transport.abort()
            raise Stale("the connection has been closed or holds what was not asked for")
        self._reader = AnswerReader()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.on_drained is not None:
            self.on_drained()

    def data_received(self, data: bytes) -> None:
        if not data:  # aiohttp resumes what it paused
            super().data_received(data)
            return
        reader = self._reader
        if reader is None:
            self._drop()
            return
        try:
            passed = reader.feed(data)
        except Spoilt as why:
            self._spoil(why)
            return
        if reader.whole:
            self._reader = None
        if passed:
            super().data_received(passed)
        if reader.rest:
            self._drop()

    def connection_lost(self, exc: BaseException | None) -> None:
        """An answer that the connection's end makes whole may lack its tail where that end was a reset."""
        reader, self._reader = self._reader, None
        if reader is not None and reader.open_ended and exc is not None:
            self._break_payload(aiohttp.ClientPayloadError("the connection was reset before its end"))
        super().connection_lost(exc)

    def _spoil(self, why: Spoilt) -> None:
        self._reader = None
        self.set_exception(why)
        self._break_payload(why)
        self._drop()

    def _break_payload(self, why: aiohttp.ClientPayloadError) -> None:
        """Whoever reads a body that has begun sees that it is not whole."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(why)

    def _drop(self) -> None:
        """The connection may bring anything now; its socket closes before anything else can be sent on it."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


def waits_for(transport: Any, what: int) -> bool:
    """Whether the kernel has it for the connection's socket, though the loop may not have seen it yet."""
    number = transport.get_extra_info("socket").fileno()
    if number < 0:
        return False
    poll = select.poll()
    poll.register(number, what)
    return bool(poll.poll(0))
