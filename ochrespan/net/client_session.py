"""The HTTP session to chunk servers: sends each request once, unmodified, and tracks how much of it was sent."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ..settings import ConnectionSettings
from .request_bodies import StreamedBody
from .responses import StrictResponseHandler, UnusableConnection

# Fraction of the chunk servers' idle timeout after which a pooled connection is not reused. aiohttp cleans the pool up
# only once per that time, so that an idle connection is closed after up to twice as long.
IDLE_FRACTION = 0.4


class StartNotAllowed(aiohttp.ClientConnectionError):
    """The attempt may no longer start; nothing of it was sent."""


@dataclass(slots=True)
class SendProgress:
    """How much of the request of this exchange was sent."""

    may_start: Callable[[], bool]  # whether the attempt may still start
    on_written: Callable[[], None] = lambda: None  # called once, when the last byte is written to the kernel
    body: StreamedBody | None = None  # a body that is still being received from the client
    protocol: ResponseHandler | None = None
    transport: asyncio.Transport | None = None
    handed_over: bool = False  # whether the transport has the last byte
    reported: bool = False  # whether on_written was called

    def check_start(self) -> None:
        """Must be called immediately before the first byte is written, because connecting may have taken long."""
        if not self.may_start():
            raise StartNotAllowed("deadline passed, attempt revoked or chunk server unavailable before the first byte")
        assert self.protocol is not None
        self.protocol.expect_response()  # type: ignore[attr-defined]
        self.protocol.on_drained = self.report_if_written  # type: ignore[attr-defined]

    def report_if_written(self) -> None:
        """Must be called whenever the last byte may have been written to the kernel."""
        if self.written and not self.reported:
            self.reported = True
            self.on_written()

    def check_handed_over(self) -> None:
        """Must be called in the event loop turn of the first write, or right after it: if the connection broke in that
        write, nothing was sent. Later failures are detected after this call."""
        assert self.transport is not None
        self.handed_over = not self.transport.is_closing()
        self.report_if_written()

    def abort(self) -> None:
        """Closes the connection and discards unsent bytes of the transport and of the kernel."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # otherwise the kernel would still send its part of an incomplete request
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    async def abandon(self) -> None:
        """Closes the connection before the next attempt is sent.

        A closed transport keeps its socket until the event loop's next turn, and longer with unsent bytes. The next
        attempt was sent before that, so that the chunk server saw two attempts at once.
        """
        if self.transport is not None:
            self.abort()
            await asyncio.sleep(0)

    @property
    def written(self) -> bool:
        """Whether the kernel has the last byte; while it does not, writing is paused (the write buffer limit is 0)."""
        return self.handed_over and self.protocol is not None and not self.protocol.writing_paused


SEND_PROGRESS: ContextVar[SendProgress] = ContextVar("progress")


class TrackedRequest(aiohttp.ClientRequest):
    """A request that records in SEND_PROGRESS how much of it was sent."""

    async def send(self, conn):  # type: ignore[no-untyped-def]
        if conn.transport is not None:
            conn.transport.set_write_buffer_limits(0)
        progress = SEND_PROGRESS.get()
        progress.protocol, progress.transport = conn.protocol, conn.transport
        if self._body:  # the body's task writes, one turn of the event loop later
            return await super().send(conn)
        progress.check_start()
        response = await super().send(conn)
        progress.check_handed_over()
        return response

    async def write_bytes(self, writer, conn, content_length=None):  # type: ignore[no-untyped-def]
        progress = SEND_PROGRESS.get()
        try:
            progress.check_start()
        except (UnusableConnection, StartNotAllowed) as error:
            conn.protocol.set_exception(error)
            return
        if progress.body is not None:
            await super().write_bytes(writer, conn, content_length)
            if conn.protocol is not None and conn.protocol.exception() is None:
                progress.check_handed_over()
            return
        progress.handed_over = True  # aiohttp writes headers and body to the transport in one call, without an await
        asyncio.get_running_loop().call_soon(progress.check_handed_over)
        await super().write_bytes(writer, conn, content_length)


class BoundedConnector(aiohttp.TCPConnector):
    """A connector whose limit includes idle connections. aiohttp's limit counts only those in use, and idle connections
    to many chunk servers used up the descriptors that clients need."""

    async def _create_connection(self, req, traces, timeout):  # type: ignore[no-untyped-def]
        # aiohttp has already limited those in use, including the new one
        while self._conns and len(self._acquired) + sum(map(len, self._conns.values())) > self._limit:
            key, idle = min(self._conns.items(), key=lambda item: item[1][0][1])
            idle.popleft()[0].close()
            if not idle:
                del self._conns[key]
        return await super()._create_connection(req, traces, timeout)


def open_session(settings: ConnectionSettings, max_connections: int) -> aiohttp.ClientSession:
    """Returns a session that sends each request once and unmodified, and does not decode responses."""
    connector = BoundedConnector(
        limit=max_connections,
        limit_per_host=0,
        keepalive_timeout=settings.idle_timeout.total_seconds() * IDLE_FRACTION,
        use_dns_cache=False,
    )
    connector._factory = partial(StrictResponseHandler, loop=asyncio.get_running_loop())  # no public API
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=TrackedRequest,
        auto_decompress=False,
        trust_env=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_timeout.total_seconds()),
    )
    # aiohttp would resend a GET or PUT by itself when a pooled connection drops, a duplicate. It has no public switch
    # for that; tests/test_chunk_client.py fails if this one stops working.
    session._retry_connection = False
    return session


def set_connection_limit(session: aiohttp.ClientSession, max_connections: int) -> None:
    """Sets a new limit of connections."""
    assert session.connector is not None
    session.connector._limit = max_connections  # no public API
