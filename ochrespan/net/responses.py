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

from .framing import MalformedMessage, MessageFramer

MAX_RESPONSE_BODY_BYTES = 64 << 20  # twice the longest that is promised; what is far beyond that may never end
READ_SIZE_BYTES = (
    32 * 1024
)  # bytes read from a connection at once; asyncio's own 256 KiB on each would not fit into memory

STATUS_LINE_START = b"HTTP/1."


class MalformedResponse(aiohttp.ClientPayloadError):
    """An answer that cannot be read: the request may have run, and the connection is of no more use."""


class UnusableConnection(aiohttp.ClientConnectionError):
    """A kept connection that was found unusable before anything was sent on it."""


class ResponseFramer(MessageFramer):
    START_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")

    def _is_possible_start(self) -> bool:
        return self.header_section[: len(STATUS_LINE_START)] == STATUS_LINE_START[: len(self.header_section)]

    def _has_no_body(self) -> bool:
        return self.start_line is not None and (
            self.start_line[1][:1] == b"1" or self.start_line[1] in (b"204", b"304")
        )

    def _announces_close(self) -> bool:
        # one that does not say that it ends the connection could be any answer that lost its length on the way
        options = b",".join(value for name, value in self.fields if name == b"connection").lower()
        return b"close" in map(bytes.strip, options.split(b","))


class ResponseReader:
    """One answer, from its first byte to its last; 1xx heads before it are skipped."""

    def __init__(self) -> None:
        self._framer = ResponseFramer(MAX_RESPONSE_BODY_BYTES)
        self.surplus = b""  # what came behind the answer

    @property
    def complete(self) -> bool:
        return self._framer.complete

    @property
    def delimited_by_close(self) -> bool:
        """Whether only the end of the connection is the end of this answer."""
        return self._framer.delimited_by_close

    def feed(self, data: bytes) -> bytes:
        """What can be passed on now: the head once it is whole, then the body as it comes. Raises Spoilt."""
        output = bytearray()
        try:
            while data and not self._framer.complete:
                data = self._consume(data, output)
        except MalformedMessage as error:
            raise MalformedResponse(str(error)) from error
        self.surplus = data
        return bytes(output)

    def _consume(self, data: bytes, output: bytearray) -> bytes:
        framer = self._framer
        consumed = framer.consume(data)
        if framer.start_line and framer.start_line[1][0:1] == b"1":
            if framer.start_line[1] == b"101":
                raise MalformedMessage("a change of protocol was not asked for")
            self._framer = ResponseFramer(MAX_RESPONSE_BODY_BYTES)
        else:
            output += framer.take_output()
        return data[consumed:]


class StrictResponseHandler(ResponseHandler):
    """aiohttp's handler of a connection, given answers that can be read, and nothing that was not asked for."""

    _reader: ResponseReader | None = None  # while an answer is awaited
    on_drained: Callable[[], None] | None = None  # to be told when the kernel has all that was written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.max_size = READ_SIZE_BYTES  # type: ignore[attr-defined]  # there is no public way

    def expect_response(self) -> None:
        """To be called right before the first byte of a request is written."""
        transport = self.transport
        if transport is None or transport.is_closing() or has_event(transport, select.POLLIN):
            if transport is not None:
                transport.abort()
            raise UnusableConnection("the connection has been closed or holds what was not asked for")
        self._reader = ResponseReader()

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
            self._abort_connection()
            return
        try:
            output = reader.feed(data)
        except MalformedResponse as error:
            self._fail_response(error)
            return
        if reader.complete:
            self._reader = None
        if output:
            super().data_received(output)
        if reader.surplus:
            self._abort_connection()

    def connection_lost(self, exc: BaseException | None) -> None:
        """An answer that the connection's end makes whole may lack its tail where that end was a reset."""
        reader, self._reader = self._reader, None
        if reader is not None and reader.delimited_by_close and exc is not None:
            self._fail_payload(aiohttp.ClientPayloadError("the connection was reset before its end"))
        super().connection_lost(exc)

    def _fail_response(self, error: MalformedResponse) -> None:
        self._reader = None
        self.set_exception(error)
        self._fail_payload(error)
        self._abort_connection()

    def _fail_payload(self, error: aiohttp.ClientPayloadError) -> None:
        """Whoever reads a body that has begun sees that it is not whole."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def _abort_connection(self) -> None:
        """The connection may bring anything now; its socket closes before anything else can be sent on it."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


def has_event(transport: Any, events: int) -> bool:
    """Whether the kernel has it for the connection's socket, though the loop may not have seen it yet."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))
