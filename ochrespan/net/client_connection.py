"""Validates a client's connection before aiohttp's handler: only well-formed requests reach the handler.

Until its first request is received, a connection costs only a small object. Short time-outs apply to its first byte,
to the rest of a request and to the time between requests.
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

FIRST_BYTE_TIMEOUT = timedelta(seconds=2)  # since the connect
# A request is timed from the connect or from its first byte. Each byte of its body extends the time-out, by its
# time at MIN_BODY_BYTES_PER_S.
REQUEST_TIMEOUT = timedelta(seconds=4)
MIN_BODY_BYTES_PER_S = 32 * 1024  # half the rate of slow clients
WRITE_STALL_TIMEOUT = timedelta(seconds=10)  # for a client that reads nothing of its response
IDLE_TIMEOUT = timedelta(seconds=2)  # between requests
LINGER_TIMEOUT = timedelta(seconds=1)  # for a client to read the error before the connection is closed
MAX_DISCARDED_BYTES = 256 * 1024  # bytes read and discarded during the linger time
MAX_PIPELINED_BYTES = 16 * 1024  # bytes buffered while a request is in progress


class ConnectionState(Enum):
    CONNECTED = "silent"  # no byte received yet
    READING = "reading"  # a request is partly received
    BUSY = "busy"  # a request is in progress
    WRITING = "writing"  # the kernel has not taken the whole response yet: the client reads slowly
    IDLE = "quiet"  # between requests
    CLOSING = "leaving"  # is being closed, or lingers so that the client can read an error
    CLOSED = "closed"


STATE_TIMEOUTS = {
    ConnectionState.CONNECTED: FIRST_BYTE_TIMEOUT,
    ConnectionState.READING: REQUEST_TIMEOUT,
    ConnectionState.IDLE: IDLE_TIMEOUT,
    ConnectionState.CLOSING: LINGER_TIMEOUT,
    ConnectionState.WRITING: WRITE_STALL_TIMEOUT,
}
FLUSH_CHECK_INTERVAL = timedelta(seconds=0.02)  # between checks of a response that is not flushed yet


CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
READ_SIZE_BYTES = 32 * 1024  # per read; asyncio's default of 256 KiB per connection would exceed the memory limit


class RequestFramer(MessageFramer):
    """Parses the framing of one client's request."""

    START_LINE = re.compile(rb"[A-Z]{1,16} /[\x21-\x7e]* HTTP/1\.[01]")
    METHOD_START = re.compile(rb"[A-Z]{1,16}(?: |\Z)")

    def _is_possible_start(self) -> bool:
        return self.METHOD_START.match(self.header_section) is not None

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for 100 Continue before it sends the body."""
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
        """`make_handler` creates an aiohttp handler; `on_state_change` is called on each state change and on close.

        A request with up to `max_buffered_body_bytes` of body is passed on once complete, and rejected if more data
        follows. Longer bodies are streamed. `max_body_bytes` limits all bodies; None: unlimited.
        """
        self._make_handler, self._max_body_bytes, self._max_buffered_body_bytes, self._on_state_change = (
            make_handler,
            max_body_bytes,
            max_buffered_body_bytes,
            on_state_change,
        )
        self.continue_sent = False  # whether 100 Continue was sent for the current request
        self._loop = asyncio.get_running_loop()
        self.state, self.since = ConnectionState.CONNECTED, self._loop.time()
        self.handler: Any = None
        self.transport: asyncio.Transport | None = None
        self._framer: RequestFramer | None = None
        self._request_buffer = bytearray()  # bytes of the current request that the handler has not received yet
        self._pipelined = bytearray()  # bytes received before the current response is flushed
        self._discarded = 0
        self._last_unsent = 0  # bytes of the response in the transport at the last check

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self._max_buffered_body_bytes:  # streaming fronts limit their buffers with a budget of their own
            transport.max_size = READ_SIZE_BYTES  # type: ignore[attr-defined]  # no public API
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
        """Called when the response is written; it counts as sent once the kernel has taken all of it."""
        if self.state not in (ConnectionState.BUSY, ConnectionState.WRITING):
            return
        unsent = 0 if self._transport.is_closing() else self._transport.get_write_buffer_size()
        if unsent:
            if self.state is ConnectionState.BUSY or unsent < self._last_unsent:  # progress restarts the time-out
                self._set_state(ConnectionState.WRITING)
            self._last_unsent = unsent
            self._loop.call_later(FLUSH_CHECK_INTERVAL.total_seconds(), self.response_written)
            return
        if self._framer is not None:  # responded before the body was received; the handler closes
            self._set_state(ConnectionState.CLOSING)
            return
        self._set_state(ConnectionState.IDLE)
        self.continue_sent = False
        if len(self._pipelined) > MAX_PIPELINED_BYTES:  # bytes beyond the limit were dropped
            self.respond_with_error(HTTPStatus.BAD_REQUEST, "more came ahead of an answer than one request at a time")
        elif self._pipelined:
            pipelined, self._pipelined = bytes(self._pipelined), bytearray()
            self._read(pipelined)

    def expire(self) -> None:
        """Ends the connection because of a time-out, or because its descriptor is needed."""
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
        # the time-out of a first request counts from the connect: idling before it gains no time
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
            if (
                self.state is ConnectionState.BUSY
            ):  # the handler has the header section: an abort is the only signal left
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
        """Whether the request is still buffered until it is complete."""
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
        """Sends an error and half-closes: a close with unread input would reset the connection and lose the error."""
        http_status = HTTPStatus(status)
        self._framer, self._request_buffer = None, bytearray()
        self._transport.write(
            f"HTTP/1.1 {http_status.value} {http_status.phrase}\r\nContent-Type: text/plain\r\nConnection: close\r\n"
            f"Content-Length: {len(error) + 1}\r\n\r\n{error}\n".encode()
        )
        self._transport.write_eof()
        self._set_state(ConnectionState.CLOSING)
