"""The HTTP session to chunk servers: each request once, as it is, and how far it got."""

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

# of the time after which chunk servers close idle connections. Nothing is sent on one that was idle for longer;
# aiohttp sweeps the pool only once in that span, so the last of them is closed after up to twice as long.
IDLE_FRACTION = 0.4


class StartNotAllowed(aiohttp.ClientConnectionError):
    """The attempt may not begin any more: nothing of it was sent."""


@dataclass(slots=True)
class SendProgress:
    """How far the request of this exchange got."""

    may_start: Callable[[], bool]  # whether the attempt may still begin
    on_written: Callable[[], None] = lambda: None  # to be told once, as the last byte leaves
    body: StreamedBody | None = None  # where it is still coming from the client
    protocol: ResponseHandler | None = None
    transport: asyncio.Transport | None = None
    handed_over: bool = False  # the last byte is the transport's
    reported: bool = False  # that it left

    def check_start(self) -> None:
        """To be called right before the first byte is written: a connection may have come up late."""
        if not self.may_start():
            raise StartNotAllowed("too late, or the attempt or its chunk server was taken back, before the first byte")
        assert self.protocol is not None
        self.protocol.expect_response()  # type: ignore[attr-defined]
        self.protocol.on_drained = self.report_if_written  # type: ignore[attr-defined]

    def report_if_written(self) -> None:
        """To be called whenever the last byte may have left."""
        if self.written and not self.reported:
            self.reported = True
            self.on_written()

    def check_handed_over(self) -> None:
        """To be called in the turn of the first write, or right after it: a connection that broke in it took nothing.
        What breaks it later is seen after that."""
        assert self.transport is not None
        self.handed_over = not self.transport.is_closing()
        self.report_if_written()

    def abort(self) -> None:
        """Nothing more leaves on this connection, of what the transport holds or the kernel."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # else the kernel would go on sending what it has of half a request
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    async def abandon(self) -> None:
        """Closes the connection before anything else is sent.

        A closed transport keeps its socket until the loop's next turn, and one with bytes left to write for
        longer. The next attempt was on its way before that: two attempts out at once for the chunk server.
        """
        if self.transport is not None:
            self.abort()
            await asyncio.sleep(0)

    @property
    def written(self) -> bool:
        """Whether the last byte left; what the kernel would not take keeps the protocol's writing paused."""
        return self.handed_over and self.protocol is not None and not self.protocol.writing_paused


SEND_PROGRESS: ContextVar[SendProgress] = ContextVar("progress")


class TrackedRequest(aiohttp.ClientRequest):
    async def send(self, conn):  # type: ignore[no-untyped-def]
        if conn.transport is not None:
            conn.transport.set_write_buffer_limits(0)
        progress = SEND_PROGRESS.get()
        progress.protocol, progress.transport = conn.protocol, conn.transport
        if self._body:  # the body's task begins to write, a turn of the loop later
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
        progress.handed_over = True  # head and body go to the transport in one piece, before anything else happens
        asyncio.get_running_loop().call_soon(progress.check_handed_over)
        await super().write_bytes(writer, conn, content_length)


class BoundedConnector(aiohttp.TCPConnector):
    """Its limit holds for idle connections too; aiohttp's counts those in use alone, and the others, one chunk server
    after the other, took the descriptors that clients need."""

    async def _create_connection(self, req, traces, timeout):  # type: ignore[no-untyped-def]
        # those in use, with the one that is to be made, are under the limit already
        while self._conns and len(self._acquired) + sum(map(len, self._conns.values())) > self._limit:
            key, idle = min(self._conns.items(), key=lambda item: item[1][0][1])
            idle.popleft()[0].close()
            if not idle:
                del self._conns[key]
        return await super()._create_connection(req, traces, timeout)


def open_session(settings: ConnectionSettings, max_connections: int) -> aiohttp.ClientSession:
    """A session that sends each request once, as it is, and hands back what comes as it is."""
    connector = BoundedConnector(
        limit=max_connections,
        limit_per_host=0,
        keepalive_timeout=settings.idle_timeout.total_seconds() * IDLE_FRACTION,
        use_dns_cache=False,
    )
    connector._factory = partial(StrictResponseHandler, loop=asyncio.get_running_loop())  # there is no public way
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=TrackedRequest,
        auto_decompress=False,
        trust_env=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_timeout.total_seconds()),
    )
    # aiohttp would send a GET or PUT again by itself when a kept connection drops: a second copy. It has no
    # public switch for that; tests/test_chunk_client.py fails if this one stops working.
    session._retry_connection = False
    return session


def set_connection_limit(session: aiohttp.ClientSession, max_connections: int) -> None:
    """Another bound of its connections from now on."""
    assert session.connector is not None
    session.connector._limit = max_connections  # there is no public way
