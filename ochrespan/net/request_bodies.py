"""Bodies of clients' requests: buffered completely if small, otherwise streamed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from ..exchange import BadBody, Exchange
from .client_connection import MIN_BODY_BYTES_PER_S, REQUEST_TIMEOUT

MAX_BODY_BYTES = 64 << 20  # twice the largest size that the platform specifies
MAX_BUFFERED_BYTES = 1 << 20  # of one body; only a buffered body can be sent by more than one attempt
BODY_MEMORY_DIVISOR = 16  # all buffered bodies together may use 1/16 of the process's memory limit


class BodyBufferBudget:
    """Limit in bytes for all buffered bodies together."""

    def __init__(self, limit: int) -> None:
        self._available = limit

    def reserve(self, size: int) -> bool:
        """Reserves `size` bytes if available; returns whether it did."""
        if size > self._available:
            return False
        self._available -= size
        return True

    def release(self, size: int) -> None:
        """Returns `size` bytes to the budget."""
        self._available += size


@dataclass(slots=True)
class BufferedBody:
    """A complete body: each attempt can send it."""

    data: bytes


@dataclass(slots=True)
class StreamedBody:
    """A body that is still being received: only one attempt can send it."""

    length: int | None
    _receiver: BodyReceiver

    async def segments(self) -> AsyncIterator[bytes]:
        """Yields the complete body. Raises BadBody if the client sends too much or too slowly."""
        yield self._receiver.take_buffer()
        while segment := await self._receiver.next_segment():
            yield segment


Body = BufferedBody | StreamedBody


@dataclass(slots=True)
class BodyReceiver:
    """Receives the body of one request; buffered bytes count against the budget until `release`."""

    _request: Exchange
    _budget: BodyBufferBudget
    _buffer: bytearray = field(default_factory=bytearray)
    _reserved: int = 0  # bytes of the budget
    _received_bytes: int = 0
    _started_at: float = field(default_factory=lambda: asyncio.get_running_loop().time())

    async def receive(self) -> Body:
        """Returns the complete body, or a streamed body if it is too long to be buffered."""
        while segment := await self.next_segment():
            self._buffer += segment
            if len(self._buffer) > MAX_BUFFERED_BYTES or not self._reserve(len(segment)):
                return StreamedBody(self._request.length, self)
        return BufferedBody(self.take_buffer())

    async def next_segment(self) -> bytes:
        """Returns received bytes, at least one; empty at the end. Raises BadBody."""
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
        """Returns and clears the buffer."""
        data, self._buffer = bytes(self._buffer), bytearray()
        return data

    def release(self) -> None:
        """Returns the reserved bytes to the budget, at the end of the request."""
        self._budget.release(self._reserved)
        self._reserved = 0

    def _reserve(self, size: int) -> bool:
        if not self._budget.reserve(size):
            return False
        self._reserved += size
        return True
