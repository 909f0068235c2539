"""A stream of HTTP/2 as the fronts' exchange: one request and its answer."""

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

CONNECTION_FIELDS = frozenset({"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"})


class StreamWriter(Protocol):
    """The connection, as one stream of it needs it."""

    def consume(self, stream: int, credit: int) -> None:
        """So much of the request's body has been read."""

    def send_interim(self, stream: int, status: int) -> None:
        """An interim answer (1xx)."""

    def send_head(self, stream: int, status: int, fields: list[tuple[str, str]], ended: bool) -> None:
        """An answer's head; `ended`: no body follows."""

    def reset(self, stream: int, code: int) -> None:
        """Ends the stream without the rest of its answer."""

    async def write(self, stream: int, data: bytes, ended: bool) -> None:
        """Waits while the stream holds as much as it may."""


class Http2Exchange(Exchange):
    """One stream."""

    def __init__(self, connection: StreamWriter, request: RequestStarted, most_body: int | None) -> None:
        self.method, self.target = request.method, request.target
        self.headers = CIMultiDict(request.fields)
        self.has_body, self.has_length = not request.ended, True  # the stream's end tells it
        self.stream, self._connection, self._most_body = request.stream, connection, most_body
        self._parts: list[BodyReceived] = []
        self._ended = request.ended
        self._arrived = asyncio.Event()
        self.started = self.finished = False

    # ---- the connection's side ----

    def add_body(self, part: BodyReceived) -> None:
        """Further bytes of the request's body."""
        self._parts.append(part)
        self._arrived.set()

    def end_body(self) -> None:
        """The request's body is whole."""
        self._ended = True
        self._arrived.set()

    # ---- the front's side ----

    @property
    def body_ended(self) -> bool:
        """Whether nothing of the body is left to read."""
        return self._ended and not self._parts

    async def read_available(self) -> bytes:
        """The next bytes of the body; empty at its end."""
        while True:
            if self._parts:
                part = self._parts.pop(0)
                self._connection.consume(self.stream, part.credit)
                if not part.data:
                    continue
                return part.data
            if self._ended:
                return b""
            self._arrived.clear()
            await self._arrived.wait()

    async def read(self) -> bytes:
        """The whole body, in the time and up to the size that a request has on any wire."""
        parts, size = [], 0
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT.total_seconds()):
                while some := await self.read_available():
                    size += len(some)
                    if self._most_body is not None and size > self._most_body:
                        raise BadBody(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request's body is too long")
                    parts.append(some)
        except TimeoutError:
            raise BadBody(HTTPStatus.REQUEST_TIMEOUT, "the request's body did not come in time") from None
        return b"".join(parts)

    async def send_continue(self) -> None:
        """Tells a client that waits for it to send its body."""
        self._connection.send_interim(self.stream, HTTPStatus.CONTINUE)

    async def start(self, status: int, headers: Mapping[str, str], length: int | None, close: bool = False) -> None:
        """Sends the head of an answer whose body follows in pieces."""
        self.started = True
        fields = _fields(headers)
        if length is not None:
            fields.append(("content-length", str(length)))
        ended = self.method == "HEAD" or status == HTTPStatus.NOT_MODIFIED
        self.finished = ended
        self._connection.send_head(self.stream, status, fields, ended)

    async def write(self, data: bytes) -> None:
        """Sends a piece of the body; waits while too much of it is pending."""
        await self._connection.write(self.stream, data, ended=False)

    async def finish(self) -> None:
        """Ends the answer."""
        if not self.finished:
            self.finished = True
            await self._connection.write(self.stream, b"", ended=True)

    def abort(self) -> None:
        """Ends an answer short of its length, so that the client sees it."""
        self.finished = True
        self._connection.reset(self.stream, ErrorCodes.INTERNAL_ERROR)

    async def send(self, reply: Reply) -> None:
        """A whole answer, unless one has request."""
        if self.started or self.finished:
            return
        self.started = self.finished = True
        bare = self.method == "HEAD" or reply.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        fields = _fields(reply.headers)
        if not bare:
            fields.append(("content-length", str(len(reply.body))))
        ended = bare or not reply.body
        self._connection.send_head(self.stream, reply.status, fields, ended)
        if not ended:
            await self._connection.write(self.stream, reply.body, ended=True)


def _fields(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    return [(name.lower(), value) for name, value in headers.items() if name.lower() not in CONNECTION_FIELDS]
