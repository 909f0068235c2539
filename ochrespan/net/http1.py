"""Implements exchanges for HTTP/1.1 on aiohttp's low-level server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from aiohttp import web

from ..exchange import Exchange, Handler
from .client_connection import CONTINUE_RESPONSE, LINGER_TIMEOUT, READ_SIZE_BYTES, ClientConnection


class Http1Exchange(Exchange):
    def __init__(self, request: web.BaseRequest, connection: ClientConnection | None = None) -> None:
        self._request, self._connection = request, connection
        self.method, self.target, self.headers = request.method, request.raw_path, request.headers
        self.has_body = request.body_exists
        self.has_length = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        self.length = request.content_length
        self.response: web.StreamResponse | None = None

    @property
    def body_ended(self) -> bool:
        return self._request.content.is_eof()

    async def read_available(self) -> bytes:
        return await self._request.content.readany()

    async def read(self) -> bytes:
        return await self._request.read()

    async def send_continue(self) -> None:
        if self._connection is not None and self._connection.continue_sent:
            return  # the connection has sent it already
        writer = self._request.writer
        await writer.write(CONTINUE_RESPONSE)
        writer.output_size = 0

    async def start(self, status: int, headers: Mapping[str, str], length: int | None, close: bool = False) -> None:
        self.response = web.StreamResponse(status=status, headers=headers)
        self.response.content_length = length
        if close:
            self.response.force_close()
        await self.response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        if self.response is not None:
            self.response.force_close()
        if self._request.transport is not None:
            self._request.transport.abort()  # the length was sent: only an abort signals missing bytes


class Http1Server:
    """Creates the connections of one port."""

    def __init__(
        self, handler: Handler, max_body_bytes: int | None, max_buffered_body_bytes: int | None = None
    ) -> None:
        """`max_body_bytes` limits any request body; None: unlimited. Requests with a body of up to
        `max_buffered_body_bytes` are handled once complete; None: all requests, if there is a limit."""
        self._handler, self._max_body_bytes = handler, max_body_bytes
        self._max_buffered_body_bytes = (
            (max_body_bytes or 0) if max_buffered_body_bytes is None else max_buffered_body_bytes
        )
        options = {"read_bufsize": READ_SIZE_BYTES} if self._max_buffered_body_bytes else {}
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGER_TIMEOUT.total_seconds(),
            **options,
        )
        self._connections: dict[Any, ClientConnection] = {}  # by aiohttp's protocol object, `request.protocol`
        self._loop = asyncio.get_running_loop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            exchange = Http1Exchange(request, self._connections.get(request.protocol))
            reply = await self._handler(exchange)
            if reply is None:
                assert exchange.response is not None, "neither a reply nor a streamed response"
                return exchange.response
            response = web.Response(status=reply.status, body=reply.body, headers=reply.headers)
            if reply.close:
                response.force_close()
            return response
        finally:
            if connection := self._connections.get(request.protocol):
                self._loop.call_soon(connection.response_written)  # the response is written in this turn of the loop

    def create_connection(self, on_state_change: Callable[[ClientConnection], None]) -> ClientConnection:
        def track(connection: ClientConnection) -> None:
            if connection.closed:
                self._connections.pop(connection.handler, None)
            elif connection.handler is not None:
                self._connections[connection.handler] = connection
            on_state_change(connection)

        return ClientConnection(self._server, self._max_body_bytes, self._max_buffered_body_bytes, track)

    async def shutdown(self, timeout: timedelta) -> None:
        await self._server.shutdown(timeout.total_seconds())
