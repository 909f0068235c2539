"""Bodies of clients' requests: held whole while they are small, else passed on as they come."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from ..exchange import BadBody, Exchange
from .client_connection import MIN_BODY_BYTES_PER_S, REQUEST_TIMEOUT

MAX_BODY_BYTES = 64 << 20  # bytes, twice the longest that is promised
MAX_BUFFERED_BYTES = 1 << 20  # bytes of one body that are held, so that attempts can repeat it
BODY_MEMORY_DIVISOR = 16  # of the process's memory, one part is for all held bodies together


class BodyBufferBudget:
    """Bytes that all held bodies may have together."""

    def __init__(self, limit: int) -> None:
        self._available = limit

    def reserve(self, size: int) -> bool:
        """Whether so many bytes more may be held; they are then."""
        if size > self._available:
            return False
        self._available -= size
        return True

    def release(self, size: int) -> None:
        """So many bytes are held no more."""
        self._available += size


@dataclass(slots=True)
class BufferedBody:
    """A whole body: each attempt can send it."""

    data: bytes


@dataclass(slots=True)
class StreamedBody:
    """A body that is still coming: one attempt can send it, as it comes."""

    length: int | None
    _receiver: BodyReceiver

    async def segments(self) -> AsyncIterator[bytes]:
        """All of it. Raises BadBody where the client sends too much or too slowly."""
        yield self._receiver.take_buffer()
        while segment := await self._receiver.next_segment():
            yield segment


Body = BufferedBody | StreamedBody


@dataclass(slots=True)
class BodyReceiver:
    """Takes in the body of one request; what it holds counts on the budget until it is let go."""

    _request: Exchange
    _budget: BodyBufferBudget
    _buffer: bytearray = field(default_factory=bytearray)
    _reserved: int = 0  # of the budget
    _received_bytes: int = 0  # bytes that have come
    _started_at: float = field(default_factory=lambda: asyncio.get_running_loop().time())

    async def receive(self) -> Body:
        """The whole body, or one that goes on where it is too long to be held."""
        while segment := await self.next_segment():
            self._buffer += segment
            if len(self._buffer) > MAX_BUFFERED_BYTES or not self._reserve(len(segment)):
                return StreamedBody(self._request.length, self)
        return BufferedBody(self.take_buffer())

    async def next_segment(self) -> bytes:
        """What has come, at least a byte; empty at the end. Raises BadBody."""
        if not self._request.has_body:
            return b""
        try:
            async with asyncio.timeout_at(
                self._started_at + REQUEST_TIMEOUT.total_seconds() + self._received_bytes / MIN_BODY_BYTES_PER_S
            ):
                segment = await self._request.read_available()
        except TimeoutError:
            raise BadBody(408, "the request's body did not come in time") from None
        self._received_bytes += len(segment)
        if self._received_bytes > MAX_BODY_BYTES:
            raise BadBody(413, "the request's body is too long")
        return segment

    def take_buffer(self) -> bytes:
        """What is held, which is handed over."""
        data, self._buffer = bytes(self._buffer), bytearray()
        return data

    def release(self) -> None:
        """The request is over."""
        self._budget.release(self._reserved)
        self._reserved = 0

    def _reserve(self, size: int) -> bool:
        if not self._budget.reserve(size):
            return False
        self._reserved += size
        return True
