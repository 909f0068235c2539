"""Adapts an HTTP/2 stream to the `Exchange` interface: one request and its response."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from typing import Protocol

from h2.errors import ErrorCodes
from multidict import CIMultiDict

from ..exchange import BadBody, Exchange, Reply
from ..net.client_connection import REQUEST_TIMEOUT
from .events import BodyReceived, RequestStarted

CONNECTION_SPECIFIC_FIELDS = frozenset({"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"})


class StreamWriter(Protocol):
    """The part of the connection's interface that a stream uses."""

    def consume(self, stream: int, credit: int) -> None:
        """Returns flow-control credit for body bytes that were read."""

    def send_interim(self, stream: int, status: int) -> None:
        """Sends an interim response (1xx)."""

    def send_response_headers(self, stream: int, status: int, fields: list[tuple[str, str]], ended: bool) -> None:
        """Sends the header section of a response; `ended`: no body follows."""

    def reset(self, stream: int, code: int) -> None:
        """Resets the stream; the rest of its response is discarded."""

    async def write(self, stream: int, data: bytes, ended: bool) -> None:
        """Queues response bytes; waits while more than the limit are pending on the stream."""


class Http2Exchange(Exchange):
    """The exchange of one stream."""

    def __init__(self, connection: StreamWriter, request: RequestStarted, max_body_bytes: int | None) -> None:
        self.method, self.target = request.method, request.target
        self.headers = CIMultiDict(request.fields)
        self.has_body, self.has_length = not request.ended, True  # the body is delimited by the end of the stream
        self.stream, self._connection, self._max_body_bytes = request.stream, connection, max_body_bytes
        self._unread: list[BodyReceived] = []
        self._ended = request.ended
        self._arrived = asyncio.Event()
        self.started = self.finished = False

    # ---- called by the connection ----

    def add_body(self, received: BodyReceived) -> None:
        """Adds received bytes of the request body."""
        self._unread.append(received)
        self._arrived.set()

    def end_body(self) -> None:
        """Marks the request body as complete."""
        self._ended = True
        self._arrived.set()

    # ---- called by the request handler ----

    @property
    def body_ended(self) -> bool:
        """Whether the complete body has been read."""
        return self._ended and not self._unread

    async def read_available(self) -> bytes:
        """Waits for the next bytes of the body; empty at its end."""
        while True:
            if self._unread:
                received = self._unread.pop(0)
                self._connection.consume(self.stream, received.credit)
                if not received.data:
                    continue
                return received.data
            if self._ended:
                return b""
            self._arrived.clear()
            await self._arrived.wait()

    async def read(self) -> bytes:
        """Reads the complete body, within the same time and size limits as over HTTP/1.1."""
        chunks, size = [], 0
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT.total_seconds()):
                while data := await self.read_available():
                    size += len(data)
                    if self._max_body_bytes is not None and size > self._max_body_bytes:
                        raise BadBody(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request's body is too long")
                    chunks.append(data)
        except TimeoutError:
            raise BadBody(HTTPStatus.REQUEST_TIMEOUT, "the request's body did not come in time") from None
        return b"".join(chunks)

    async def send_continue(self) -> None:
        """Sends 100 Continue."""
        self._connection.send_interim(self.stream, HTTPStatus.CONTINUE)

    async def start(self, status: int, headers: Mapping[str, str], length: int | None, close: bool = False) -> None:
        """Sends the header section of a streamed response."""
        self.started = True
        fields = _fields(headers)
        if length is not None:
            fields.append(("content-length", str(length)))
        ended = self.method == "HEAD" or status == HTTPStatus.NOT_MODIFIED
        self.finished = ended
        self._connection.send_response_headers(self.stream, status, fields, ended)

    async def write(self, data: bytes) -> None:
        """Sends bytes of the response body; waits while too many are pending."""
        await self._connection.write(self.stream, data, ended=False)

    async def finish(self) -> None:
        """Ends the response."""
        if not self.finished:
            self.finished = True
            await self._connection.write(self.stream, b"", ended=True)

    def abort(self) -> None:
        """Resets the stream, so that the client detects the truncated response."""
        self.finished = True
        self._connection.reset(self.stream, ErrorCodes.INTERNAL_ERROR)

    async def send(self, reply: Reply) -> None:
        """Sends a complete response, unless one was already started."""
        if self.started or self.finished:
            return
        self.started = self.finished = True
        without_body = self.method == "HEAD" or reply.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        fields = _fields(reply.headers)
        if not without_body:
            fields.append(("content-length", str(len(reply.body))))
        ended = without_body or not reply.body
        self._connection.send_response_headers(self.stream, reply.status, fields, ended)
        if not ended:
            await self._connection.write(self.stream, reply.body, ended=True)


def _fields(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    return [(name.lower(), value) for name, value in headers.items() if name.lower() not in CONNECTION_SPECIFIC_FIELDS]
