"""One HTTP/2 connection on a socket: bytes between its transport and a `Connection`, and a task for each stream.

A connection is taken, kept and let go by the listener's rules for HTTP/1.1: it is CONNECTED until its preface and first
request have come, BUSY while streams are open, IDLE between, CLOSING once it is to end.
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

DRAIN_NOTICE = timedelta(seconds=1)  # for a client to hear that we drain
HIGH_WATER = 64 * 1024  # bytes in a transport above which bodies wait
LOW_WATER = 16 * 1024  # bytes below which they go on
NOTHING_PENDING = -1  # bytes: less than any open stream holds, so that only its end is waited for


class Http2Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: Http2Server, on_state: Callable[[Any], None]) -> None:
        """`on_state` hears of each new state, and of the end."""
        self._server, self._on_state = server, on_state
        self._loop = asyncio.get_running_loop()
        self.state, self.since = ConnectionState.CONNECTED, self._loop.time()
        self.transport: asyncio.Transport | None = None
        self._connection = Connection(server.limits, server.buffers, self._loop.time())
        self._exchanges: dict[int, Http2Exchange] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._waiting: dict[int, tuple[asyncio.Event, int]] = {}  # writers, by stream, and for what
        self._paused = False
        self._flushing = False
        self._unread_control = 0  # bytes of control frames written since the transport last ran empty of them

    # ---- the listener's side ----

    @property
    def closing(self) -> bool:
        """Whether the transport is closing or gone."""
        return self.transport is None or self.transport.is_closing()

    def expire(self) -> None:
        """Its time is up, or its descriptor is needed."""
        if self.state is ConnectionState.CLOSING or self.transport is None:
            if self.transport is not None:
                self.transport.abort()
            return
        self._connection.finish_drain()
        self._leave()

    def _enter(self, state: ConnectionState) -> None:
        if self.state in (state, ConnectionState.CLOSED):
            return
        if (self.state, state) != (ConnectionState.CONNECTED, ConnectionState.READING):
            self.since = self._loop.time()
        self.state = state
        self._on_state(self)

    def _leave(self) -> None:
        """What is written goes out, then the connection ends."""
        self._flush()
        if self.state is not ConnectionState.CLOSED:
            self._enter(ConnectionState.CLOSING)
            if self.transport is not None:
                self.transport.close()

    # ---- the transport's side ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(HIGH_WATER, LOW_WATER)
        self._server.connections.add(self)
        self._on_state(self)
        self._flush()
        if self._server.draining:
            self.drain()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.lost()
        for task in list(self._tasks.values()):
            task.cancel()
        for event, _ in self._waiting.values():
            event.set()
        self._server.connections.discard(self)
        self._server.relieve()
        self.state = ConnectionState.CLOSED
        self._on_state(self)

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused, self._unread_control = False, 0
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
                case ConnectionEnded(code, why):
                    self._end(code, why)
        if self.state is ConnectionState.CONNECTED:
            self._enter(ConnectionState.READING)
        self._flush()
        self._become_idle()

    def _end(self, code: int, why: str) -> None:
        if code:
            log.info(
                "connection ended",
                extra={"code": ErrorCodes(code).name if code in list(ErrorCodes) else code, "why": why},
            )
        for task in list(self._tasks.values()):
            task.cancel()
        self._leave()

    # ---- streams ----

    def _start_stream(self, request: RequestStarted) -> None:
        exchange = Http2Exchange(self, request, self._server.most_body)
        if "priority" not in exchange.headers:
            self._connection.default_priority(request.stream, self._server.priority(exchange))
        self._exchanges[request.stream] = exchange
        task = self._tasks[request.stream] = self._loop.create_task(self._run(exchange))
        # also of one that is cancelled before it runs
        task.add_done_callback(lambda _: self._stream_done(request.stream))
        self._enter(ConnectionState.BUSY)

    async def _run(self, exchange: Http2Exchange) -> None:
        stream = exchange.stream
        try:
            with self._server.lifecycle.track_request():
                reply = await self._server.handler(exchange)
                if reply is not None:
                    await exchange.send(reply)
                await self._answer_sent(stream)
        except asyncio.CancelledError:
            self._connection.reset(stream, ErrorCodes.CANCEL)
        except Exception:
            log.exception("stream failed")
            self._connection.reset(stream, ErrorCodes.INTERNAL_ERROR)

    def _stream_done(self, stream: int) -> None:
        for kept in (self._tasks, self._exchanges, self._waiting):
            kept.pop(stream, None)
        self._flush()
        self._server.relieve()
        self._become_idle()

    def _cancel(self, stream: int) -> None:
        if (task := self._tasks.get(stream)) is not None:
            task.cancel()  # the core takes back the attempt that is out before anything else is sent for it

    def _become_idle(self) -> None:
        """Between streams, or at the end."""
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
            self._enter(ConnectionState.IDLE)

    # ---- the exchanges' side ----

    def consume(self, stream: int, credit: int) -> None:
        """So much of a request's body has been read."""
        self._connection.consume(stream, credit)
        self._server.relieve()
        self._flush_soon()

    def relieve(self) -> None:
        """There is room for more bodies again: credit that was held back may go out."""
        self._connection.relieve()
        self._flush_soon()

    def send_interim(self, stream: int, status: int) -> None:
        """An interim answer (1xx)."""
        self._connection.send_interim(stream, status)
        self._flush_soon()

    def send_head(self, stream: int, status: int, fields: list[tuple[str, str]], ended: bool) -> None:
        """An answer's head; `ended`: no body follows."""
        self._connection.send_head(stream, status, fields, ended)
        self._flush_soon()

    def reset(self, stream: int, code: int) -> None:
        """Ends a stream without the rest of its answer."""
        self._connection.reset(stream, code)
        self._flush_soon()

    async def write(self, stream: int, data: bytes, ended: bool) -> None:
        """Waits while the stream holds as much as it may; a client that takes nothing for too long is let go."""
        self._connection.send_data(stream, data, ended)
        self._flush_soon()
        if not ended:
            await self._drained_to(stream, self._server.limits.pending)

    async def _answer_sent(self, stream: int) -> None:
        """Until the answer's last byte has left this connection's streams."""
        await self._drained_to(stream, NOTHING_PENDING)

    async def _drained_to(self, stream: int, most: int) -> None:
        """Until no more than so many bytes of its answer wait, or it is over; while it takes some, there is time."""
        self._flush()
        while self._holds_more(stream, most):
            before = self._connection.pending(stream)
            event = asyncio.Event()
            self._waiting[stream] = event, most
            try:
                async with asyncio.timeout(self._server.stall_timeout.total_seconds()):
                    await event.wait()
            except TimeoutError:
                if self._connection.pending(stream) >= before:
                    log.info("a client does not take its answer", extra={"stream": stream})
                    self._connection.reset(stream, ErrorCodes.CANCEL)
            finally:
                self._waiting.pop(stream, None)

    def _holds_more(self, stream: int, most: int) -> bool:
        return self._connection.is_open(stream) and self._connection.pending(stream) > most

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Control frames at once, bodies while the transport takes them."""
        self._flushing = False
        if self.transport is None or self.transport.is_closing():
            return
        if control := self._connection.control_to_send():
            self.transport.write(control)
            if self._paused:
                self._unread_control += len(control)
                if self._unread_control > self._server.limits.control:
                    log.info("connection ended", extra={"why": "it does not read what it makes us answer"})
                    self.transport.abort()
                    return
        while not self._paused and self._connection.has_bodies and (frame := self._connection.frame_to_send()):
            self.transport.write(frame)
        for stream, (event, most) in self._waiting.items():
            if not self._holds_more(stream, most):
                event.set()

    # ---- the end ----

    def drain(self) -> None:
        """Tells the client that no more streams are wanted, and a round trip later which was the last."""
        self._connection.drain()
        self._flush()
        self._loop.call_later(DRAIN_NOTICE.total_seconds(), self.finish_drain)

    def finish_drain(self) -> None:
        """Tells the client which stream was the last; ends the connection once none is open."""
        if self.state is not ConnectionState.CLOSED:
            self._connection.finish_drain()
            self._flush()
            self._become_idle()
