"""Strict validation of the framing of chunk servers' responses, before aiohttp parses them.

aiohttp's response parser is lenient, and takes bytes that arrive between two requests for the next response.
Here a response that is malformed or exceeds a limit fails its attempt, and surplus bytes close the connection.
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

# twice the largest size that the platform specifies; a body far beyond that may be endless
MAX_RESPONSE_BODY_BYTES = 64 << 20
READ_SIZE_BYTES = 32 * 1024  # per read; asyncio's default of 256 KiB per connection would exceed the memory limit

STATUS_LINE_START = b"HTTP/1."


class MalformedResponse(aiohttp.ClientPayloadError):
    """The response cannot be parsed: the request may have been executed, and the connection cannot be reused."""


class UnusableConnection(aiohttp.ClientConnectionError):
    """A pooled connection was found closed or with unsolicited data before anything was sent on it."""


class ResponseFramer(MessageFramer):
    """Parses the framing of one chunk server's response."""

    START_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")

    def _is_possible_start(self) -> bool:
        return self.header_section[: len(STATUS_LINE_START)] == STATUS_LINE_START[: len(self.header_section)]

    def _has_no_body(self) -> bool:
        return self.start_line is not None and (
            self.start_line[1][:1] == b"1" or self.start_line[1] in (b"204", b"304")
        )

    def _announces_close(self) -> bool:
        # without "Connection: close" it could be any response whose length was lost on the way
        options = b",".join(value for name, value in self.fields if name == b"connection").lower()
        return b"close" in map(bytes.strip, options.split(b","))


class ResponseReader:
    """Validates one response from its first byte to its last; skips 1xx responses before it."""

    def __init__(self) -> None:
        self._framer = ResponseFramer(MAX_RESPONSE_BODY_BYTES)
        self.surplus = b""  # bytes received after the end of the response

    @property
    def complete(self) -> bool:
        return self._framer.complete

    @property
    def delimited_by_close(self) -> bool:
        """Whether the end of this response is marked only by the end of the connection."""
        return self._framer.delimited_by_close

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes to pass to aiohttp: the header section once complete, then the body as it is received.

        Raises MalformedResponse.
        """
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
                raise MalformedMessage("101 Switching Protocols, but no Upgrade was requested")
            self._framer = ResponseFramer(MAX_RESPONSE_BODY_BYTES)
        else:
            output += framer.take_output()
        return data[consumed:]


class StrictResponseHandler(ResponseHandler):
    """aiohttp's protocol for a connection, which receives only well-formed responses and no unsolicited data."""

    _reader: ResponseReader | None = None  # while a response is expected
    on_drained: Callable[[], None] | None = None  # called when the kernel has taken all written bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.max_size = READ_SIZE_BYTES  # type: ignore[attr-defined]  # no public API

    def expect_response(self) -> None:
        """Must be called immediately before the first byte of a request is written."""
        transport = self.transport
        if transport is None or transport.is_closing() or has_event(transport, select.POLLIN):
            if transport is not None:
                transport.abort()
            raise UnusableConnection("the connection is closed or has unsolicited data")
        self._reader = ResponseReader()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.on_drained is not None:
            self.on_drained()

    def data_received(self, data: bytes) -> None:
        if not data:  # aiohttp resumes reading after a pause
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
        """A response that ends with the connection may be truncated if the connection was reset."""
        reader, self._reader = self._reader, None
        if reader is not None and reader.delimited_by_close and exc is not None:
            self._fail_payload(aiohttp.ClientPayloadError("the connection was reset before the end of the response"))
        super().connection_lost(exc)

    def _fail_response(self, error: MalformedResponse) -> None:
        self._reader = None
        self.set_exception(error)
        self._fail_payload(error)
        self._abort_connection()

    def _fail_payload(self, error: aiohttp.ClientPayloadError) -> None:
        """Makes the reader of a started body fail, because the body is incomplete."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def _abort_connection(self) -> None:
        """Closes the connection, which may deliver arbitrary data from now on, before anything else is sent on it."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


def has_event(transport: Any, events: int) -> bool:
    """Whether one of the poll events is pending on the socket, even if the event loop has not processed it yet."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))
