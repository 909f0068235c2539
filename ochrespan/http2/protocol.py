"""The asyncio protocol of an HTTP/2 connection: connects a transport to a `Connection` and runs a task per stream.

The listener applies the same timeouts and limits as to HTTP/1.1 connections, by state: SILENT until data arrives,
READING until the headers of the first request are complete, BUSY while streams are open, QUIET while none is, LEAVING
while closing.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from h2.errors import ErrorCodes

from ..net.client_connection import ConnectionState
from .connection import Connection
from .events import BodyEnded, BodyReceived, ConnectionEnded, RequestStarted, StreamAborted
from .exchange import Http2Exchange

if TYPE_CHECKING:
    from .server import Http2Server

log = logging.getLogger(__name__)

DRAIN_GOAWAY_DELAY = timedelta(seconds=1)  # longest wait for the PING acknowledgement before the final GOAWAY
HIGH_WATER_BYTES = 64 * 1024  # buffered in the transport, above which body frames wait
LOW_WATER_BYTES = 16 * 1024  # buffered in the transport, below which they resume
NOTHING_PENDING = -1  # below any pending byte count, so that only the end of the stream satisfies the wait


class Http2Connection(asyncio.Protocol):
    """The connection of one client."""

    def __init__(self, server: Http2Server, on_state_change: Callable[[Any], None]) -> None:
        """`on_state_change` is called on every state change, including CLOSED."""
        self._server, self._on_state_change = server, on_state_change
        self._loop = asyncio.get_running_loop()
        self.state, self.since = ConnectionState.CONNECTED, self._loop.time()
        self.transport: asyncio.Transport | None = None
        self._connection = Connection(server.limits, server.buffers, self._loop.time())
        self._exchanges: dict[int, Http2Exchange] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        # by stream: event to set, and the pending bytes at or below which it is set
        self._blocked_writers: dict[int, tuple[asyncio.Event, int]] = {}
        self._writing_paused = False
        self._flushing = False
        self._unread_control_bytes = 0  # control frame bytes written while the transport has paused writing

    # ---- called by the listener ----

    @property
    def closing(self) -> bool:
        """Whether the transport is closing or closed."""
        return self.transport is None or self.transport.is_closing()

    def expire(self) -> None:
        """Closes the connection on a timeout or when its descriptor is needed; aborts it if it is already closing."""
        if self.state is ConnectionState.CLOSING or self.transport is None:
            if self.transport is not None:
                self.transport.abort()
            return
        self._connection.finish_drain()
        self._close_gracefully()

    def _set_state(self, state: ConnectionState) -> None:
        if self.state in (state, ConnectionState.CLOSED):
            return
        if (self.state, state) != (ConnectionState.CONNECTED, ConnectionState.READING):
            self.since = self._loop.time()
        self.state = state
        self._on_state_change(self)

    def _close_gracefully(self) -> None:
        """Flushes pending output and closes the connection."""
        self._flush()
        if self.state is not ConnectionState.CLOSED:
            self._set_state(ConnectionState.CLOSING)
            if self.transport is not None:
                self.transport.close()

    # ---- called by the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(HIGH_WATER_BYTES, LOW_WATER_BYTES)
        self._server.connections.add(self)
        self._on_state_change(self)
        self._flush()
        if self._server.draining:
            self.drain()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.lost()
        for task in list(self._tasks.values()):
            task.cancel()
        for event, _ in self._blocked_writers.values():
            event.set()
        self._server.connections.discard(self)
        self._server.release_credit()
        self.state = ConnectionState.CLOSED
        self._on_state_change(self)

    def pause_writing(self) -> None:
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused, self._unread_control_bytes = False, 0
        self._flush()

    def data_received(self, data: bytes) -> None:
        if self.state in (ConnectionState.CLOSING, ConnectionState.CLOSED):
            return
        for event in self._connection.receive(data, self._loop.time()):
            match event:
                case RequestStarted():
                    self._start_stream(event)
                case BodyReceived():
                    self._exchanges[event.stream].add_body(event)
                case BodyEnded(stream):
                    if stream in self._exchanges:
                        self._exchanges[stream].end_body()
                case StreamAborted(stream):
                    self._cancel(stream)
                case ConnectionEnded(code, reason):
                    self._end(code, reason)
        if self.state is ConnectionState.CONNECTED:
            self._set_state(ConnectionState.READING)
        self._flush()
        self._update_idle_state()

    def _end(self, code: int, reason: str) -> None:
        if code:
            log.info(
                "connection ended",
                extra={"code": ErrorCodes(code).name if code in list(ErrorCodes) else code, "why": reason},
            )
        for task in list(self._tasks.values()):
            task.cancel()
        self._close_gracefully()

    # ---- streams ----

    def _start_stream(self, request: RequestStarted) -> None:
        exchange = Http2Exchange(self, request, self._server.max_body_bytes)
        if "priority" not in exchange.headers:
            self._connection.default_priority(request.stream, self._server.priority(exchange))
        self._exchanges[request.stream] = exchange
        task = self._tasks[request.stream] = self._loop.create_task(self._run(exchange))
        # also called if the task is cancelled before it starts
        task.add_done_callback(lambda _: self._stream_done(request.stream))
        self._set_state(ConnectionState.BUSY)

    async def _run(self, exchange: Http2Exchange) -> None:
        stream = exchange.stream
        try:
            with self._server.lifecycle.track_request():
                reply = await self._server.handler(exchange)
                if reply is not None:
                    await exchange.send(reply)
                await self._wait_until_sent(stream)
        except asyncio.CancelledError:
            self._connection.reset(stream, ErrorCodes.CANCEL)
        except Exception:
            log.exception("stream failed")
            self._connection.reset(stream, ErrorCodes.INTERNAL_ERROR)

    def _stream_done(self, stream: int) -> None:
        for table in (self._tasks, self._exchanges, self._blocked_writers):
            table.pop(stream, None)
        self._flush()
        self._server.release_credit()
        self._update_idle_state()

    def _cancel(self, stream: int) -> None:
        if (task := self._tasks.get(stream)) is not None:
            task.cancel()  # the handler withdraws its attempt in flight before anything else is sent for the request

    def _update_idle_state(self) -> None:
        """Without open streams: closes the connection if it is drained or the process closes, else marks it QUIET."""
        if self._tasks or self.state in (
            ConnectionState.CLOSING,
            ConnectionState.CLOSED,
            ConnectionState.READING,
            ConnectionState.CONNECTED,
        ):
            return
        if self._connection.done or self._server.lifecycle.closing:
            self.expire()
        else:
            self._set_state(ConnectionState.IDLE)

    # ---- called by the exchanges ----

    def consume(self, stream: int, credit: int) -> None:
        """Returns flow-control credit for body bytes that were read."""
        self._connection.consume(stream, credit)
        self._server.release_credit()
        self._flush_soon()

    def release_credit(self) -> None:
        """Returns withheld credit, after the shared buffers have regained capacity."""
        self._connection.release_credit()
        self._flush_soon()

    def send_interim(self, stream: int, status: int) -> None:
        """Sends an interim response (1xx)."""
        self._connection.send_interim(stream, status)
        self._flush_soon()

    def send_response_headers(self, stream: int, status: int, fields: list[tuple[str, str]], ended: bool) -> None:
        """Sends the header section of a response; `ended`: no body follows."""
        self._connection.send_response_headers(stream, status, fields, ended)
        self._flush_soon()

    def reset(self, stream: int, code: int) -> None:
        """Resets a stream; the rest of its response is discarded."""
        self._connection.reset(stream, code)
        self._flush_soon()

    async def write(self, stream: int, data: bytes, ended: bool) -> None:
        """Queues response bytes; unless `ended`, waits while more than the limit are pending on the stream."""
        self._connection.send_data(stream, data, ended)
        self._flush_soon()
        if not ended:
            await self._wait_until_pending_at_most(stream, self._server.limits.max_pending_bytes)

    async def _wait_until_sent(self, stream: int) -> None:
        """Waits until the stream has ended: its response was written completely, or it was reset."""
        await self._wait_until_pending_at_most(stream, NOTHING_PENDING)

    async def _wait_until_pending_at_most(self, stream: int, limit_bytes: int) -> None:
        """Waits until at most `limit_bytes` of the response are pending or the stream has ended. Resets the stream if
        no byte is sent within the stall timeout."""
        self._flush()
        while self._has_more_pending(stream, limit_bytes):
            before = self._connection.pending_bytes(stream)
            event = asyncio.Event()
            self._blocked_writers[stream] = event, limit_bytes
            try:
                async with asyncio.timeout(self._server.stall_timeout.total_seconds()):
                    await event.wait()
            except TimeoutError:
                if self._connection.pending_bytes(stream) >= before:
                    log.info("client does not read its response; stream reset", extra={"stream": stream})
                    self._connection.reset(stream, ErrorCodes.CANCEL)
            finally:
                self._blocked_writers.pop(stream, None)

    def _has_more_pending(self, stream: int, limit_bytes: int) -> bool:
        return self._connection.is_open(stream) and self._connection.pending_bytes(stream) > limit_bytes

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Writes all control frames, and body frames while the transport accepts them."""
        self._flushing = False
        if self.transport is None or self.transport.is_closing():
            return
        if control := self._connection.control_to_send():
            self.transport.write(control)
            if self._writing_paused:
                self._unread_control_bytes += len(control)
                if self._unread_control_bytes > self._server.limits.max_control_bytes:
                    log.info("connection ended", extra={"why": "it does not read what it makes us answer"})
                    self.transport.abort()
                    return
        while (
            not self._writing_paused and self._connection.has_body_frame and (frame := self._connection.frame_to_send())
        ):
            self.transport.write(frame)
        for stream, (event, limit_bytes) in self._blocked_writers.items():
            if not self._has_more_pending(stream, limit_bytes):
                event.set()

    # ---- draining ----

    def drain(self) -> None:
        """Announces the drain; the final GOAWAY follows once the client acknowledges it or after DRAIN_GOAWAY_DELAY."""
        self._connection.drain()
        self._flush()
        self._loop.call_later(DRAIN_GOAWAY_DELAY.total_seconds(), self.finish_drain)

    def finish_drain(self) -> None:
        """Sends the final GOAWAY; closes the connection once no stream is open."""
        if self.state is not ConnectionState.CLOSED:
            self._connection.finish_drain()
            self._flush()
            self._update_idle_state()
