"""Stands between a client's connection and aiohttp's handler: what is no request never reaches the handler.

A connection costs a small object until its first request has come. It is owed little time: for its first byte, for
the rest of a request, between requests.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from http import HTTPStatus
from typing import Any

from .framing import MalformedMessage, MessageFramer

FIRST_BYTE_TIMEOUT = timedelta(seconds=2)  # from connecting
REQUEST_TIMEOUT = timedelta(seconds=4)  # from connecting, or from its first byte, to the end of a request ...
MIN_BODY_BYTES_PER_S = (
    32 * 1024
)  # ... and more by each byte of its body: bytes a second, half of what slow clients send
WRITE_STALL_TIMEOUT = timedelta(seconds=10)  # for a client that takes none of its answer
IDLE_TIMEOUT = timedelta(seconds=2)  # between requests
LINGER_TIMEOUT = timedelta(seconds=1)  # for a client to read the error that ends its connection
MAX_DISCARDED_BYTES = 256 * 1024  # bytes read and thrown away meanwhile
MAX_PIPELINED_BYTES = 16 * 1024  # bytes kept that come while a request is being answered


class ConnectionState(Enum):
    CONNECTED = "silent"  # nothing has come yet
    READING = "reading"  # part of a request
    BUSY = "busy"  # a request is being answered
    WRITING = "writing"  # its answer is not yet all with the kernel: its client reads slowly
    IDLE = "quiet"  # between requests
    CLOSING = "leaving"  # is being closed, or reads the error that ends it
    CLOSED = "closed"


STATE_TIMEOUTS = {
    ConnectionState.CONNECTED: FIRST_BYTE_TIMEOUT,
    ConnectionState.READING: REQUEST_TIMEOUT,
    ConnectionState.IDLE: IDLE_TIMEOUT,
    ConnectionState.CLOSING: LINGER_TIMEOUT,
    ConnectionState.WRITING: WRITE_STALL_TIMEOUT,
}
FLUSH_CHECK_INTERVAL = timedelta(seconds=0.02)  # between looks at an answer that a client does not take at once


CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
READ_SIZE_BYTES = (
    32 * 1024
)  # bytes read from a connection at once; asyncio's own 256 KiB on each would not fit into memory


class RequestFramer(MessageFramer):
    START_LINE = re.compile(rb"[A-Z]{1,16} /[\x21-\x7e]* HTTP/1\.[01]")
    METHOD_START = re.compile(rb"[A-Z]{1,16}(?: |\Z)")

    def _is_possible_start(self) -> bool:
        return self.METHOD_START.match(self.header_section) is not None

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits to be told to send the body."""
        return any(name == b"expect" and value.lower() == b"100-continue" for name, value in self.fields)

    def _has_no_body(self) -> bool:
        return not any(name in (b"content-length", b"transfer-encoding") for name, _ in self.fields)


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(
        self,
        make_handler: Callable[[], Any],
        max_body_bytes: int | None,
        max_buffered_body_bytes: int,
        on_state_change: Callable[[ClientConnection], None],
    ) -> None:
        """`make` gives a handler of aiohttp's server; `moved` hears of each new state, and of the end.

        A request with up to `most_held` bytes of body is passed on once it is whole and alone; the body of a longer
        one goes on as it comes. `most_body` bounds all bodies, where it is given.
        """
        self._make_handler, self._max_body_bytes, self._max_buffered_body_bytes, self._on_state_change = (
            make_handler,
            max_body_bytes,
            max_buffered_body_bytes,
            on_state_change,
        )
        self.continue_sent = False  # the client has been told to send its body
        self._loop = asyncio.get_running_loop()
        self.state, self.since = ConnectionState.CONNECTED, self._loop.time()
        self.handler: Any = None
        self.transport: asyncio.Transport | None = None
        self._framer: RequestFramer | None = None
        self._request_buffer = bytearray()  # of the request that is being read
        self._pipelined = bytearray()  # of what comes before its answer is out
        self._discarded = 0
        self._last_unsent = 0  # bytes of an answer at the last look

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self._max_buffered_body_bytes:  # such bodies are bounded together, not by a budget of their own front
            transport.max_size = READ_SIZE_BYTES  # type: ignore[attr-defined]  # there is no public way
        self._on_state_change(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.state = ConnectionState.CLOSED
        if self.handler is not None:
            self.handler.connection_lost(exc)
        self._on_state_change(self)

    def pause_writing(self) -> None:
        if self.handler is not None:
            self.handler.pause_writing()

    def resume_writing(self) -> None:
        if self.handler is not None:
            self.handler.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.state is ConnectionState.CLOSING:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED_BYTES and self.transport is not None:
                self.transport.pause_reading()
        elif self.state is ConnectionState.WRITING or (self.state is ConnectionState.BUSY and self._framer is None):
            self._pipelined += data[: MAX_PIPELINED_BYTES + 1 - len(self._pipelined)]
        else:
            self._read(data)

    def response_written(self) -> None:
        """The answer is written; it is out once the kernel has it all."""
        if self.state not in (ConnectionState.BUSY, ConnectionState.WRITING):
            return
        unsent = 0 if self._transport.is_closing() else self._transport.get_write_buffer_size()
        if unsent:
            if self.state is ConnectionState.BUSY or unsent < self._last_unsent:  # it takes some: its time counts anew
                self._set_state(ConnectionState.WRITING)
            self._last_unsent = unsent
            self._loop.call_later(FLUSH_CHECK_INTERVAL.total_seconds(), self.response_written)
            return
        if self._framer is not None:  # answered before its body had come; the handler closes
            self._set_state(ConnectionState.CLOSING)
            return
        self._set_state(ConnectionState.IDLE)
        self.continue_sent = False
        if len(self._pipelined) > MAX_PIPELINED_BYTES:  # what was not kept of them is missing somewhere in the middle
            self.respond_with_error(HTTPStatus.BAD_REQUEST, "more came ahead of an answer than one request at a time")
        elif self._pipelined:
            pipelined, self._pipelined = bytes(self._pipelined), bytearray()
            self._read(pipelined)

    def expire(self) -> None:
        """Its time is up, or its descriptor is needed."""
        if self.state is ConnectionState.READING:
            self.respond_with_error(HTTPStatus.REQUEST_TIMEOUT, "the request did not come in time")
        elif self.state is ConnectionState.CLOSING:
            self._transport.abort()
        else:
            self._set_state(ConnectionState.CLOSING)
            self._transport.close()

    @property
    def closing(self) -> bool:
        return self._transport.is_closing()

    @property
    def closed(self) -> bool:
        return self.state is ConnectionState.CLOSED

    @property
    def _transport(self) -> asyncio.Transport:
        assert self.transport is not None
        return self.transport

    def _set_state(self, state: ConnectionState) -> None:
        # a first request has its time from connecting on: a silent beginning gains nothing
        if (self.state, state) != (ConnectionState.CONNECTED, ConnectionState.READING):
            self.since = self._loop.time()
        self.state = state
        self._on_state_change(self)

    def _read(self, data: bytes) -> None:
        if self.state in (ConnectionState.CONNECTED, ConnectionState.IDLE):
            self._set_state(ConnectionState.READING)
        framer = self._framer = self._framer or RequestFramer(self._max_body_bytes)
        try:
            consumed = framer.consume(data)
            if self._max_buffered_body_bytes and self.state is ConnectionState.READING and consumed < len(data):
                raise MalformedMessage("more came than the request that was announced")
        except MalformedMessage as error:
            if self.state is ConnectionState.BUSY:  # the handler has its head: only a close can tell now
                self._transport.abort()
            else:
                self.respond_with_error(error.status, str(error))
            return
        self._request_buffer += framer.take_output()
        if framer.start_line is None:
            return
        if framer.complete or not self._buffers_request(framer):
            self._deliver(framer.complete)
            self._pipelined += data[consumed:]
            return
        self.since = min(self._loop.time(), self.since + consumed / MIN_BODY_BYTES_PER_S)
        if framer.expects_continue and not self.continue_sent:
            self.continue_sent = True
            self._transport.write(CONTINUE_RESPONSE)

    def _buffers_request(self, framer: RequestFramer) -> bool:
        """Whether the request is still held until it is whole."""
        if not self._max_buffered_body_bytes:
            return False
        body = len(self._request_buffer) - len(framer.header_section)
        return self.state is ConnectionState.READING and max(body, framer.length or 0) <= self._max_buffered_body_bytes

    def _deliver(self, complete: bool) -> None:
        request_bytes, self._request_buffer = bytes(self._request_buffer), bytearray()
        if complete:
            self._framer = None
        if self.handler is None:
            self.handler = self._make_handler()
            self.handler.connection_made(self.transport)
        if self.state is not ConnectionState.BUSY:
            self._set_state(ConnectionState.BUSY)
        self.handler.data_received(request_bytes)

    def respond_with_error(self, status: int, error: str) -> None:
        """An error that the client can still read: the connection ends in two steps, so that none cuts it off."""
        http_status = HTTPStatus(status)
        self._framer, self._request_buffer = None, bytearray()
        self._transport.write(
            f"HTTP/1.1 {http_status.value} {http_status.phrase}\r\nContent-Type: text/plain\r\nConnection: close\r\n"
            f"Content-Length: {len(error) + 1}\r\n\r\n{error}\n".encode()
        )
        self._transport.write_eof()
        self._set_state(ConnectionState.CLOSING)
