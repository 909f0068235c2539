"""Bodies of clients' requests: held whole while they are small, else passed on as they come."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from ..exchange import BadBody, Exchange
from .client_connection import BODY_RATE, REQUEST_TIME

MOST_BODY = 64 << 20  # bytes, twice the longest that is promised
MOST_HELD = 1 << 20  # bytes of one body that are held, so that attempts can repeat it
HELD_PART = 16  # of the process's memory, one part is for all held bodies together


class BodyBudget:
    """Bytes that all held bodies may have together."""

    def __init__(self, limit: int) -> None:
        self._left = limit

    def take(self, size: int) -> bool:
        """Whether so many bytes more may be held; they are then."""
        if size > self._left:
            return False
        self._left -= size
        return True

    def give(self, size: int) -> None:
        """So many bytes are held no more."""
        self._left += size


@dataclass(slots=True)
class HeldBody:
    """A whole body: each attempt can send it."""

    data: bytes


@dataclass(slots=True)
class StreamedBody:
    """A body that is still coming: one attempt can send it, as it comes."""

    length: int | None
    _receiver: Receiver

    async def pieces(self) -> AsyncIterator[bytes]:
        """All of it. Raises BadBody where the client sends too much or too slowly."""
        yield self._receiver.held()
        while piece := await self._receiver.next_piece():
            yield piece


Body = HeldBody | StreamedBody


@dataclass(slots=True)
class Receiver:
    """Takes in the body of one request; what it holds counts on the budget until it is let go."""

    _request: Exchange
    _budget: BodyBudget
    _held: bytearray = field(default_factory=bytearray)
    _taken: int = 0  # of the budget
    _size: int = 0  # bytes that have come
    _began: float = field(default_factory=lambda: asyncio.get_running_loop().time())

    async def receive(self) -> Body:
        """The whole body, or one that goes on where it is too long to be held."""
        while piece := await self.next_piece():
            self._held += piece
            if len(self._held) > MOST_HELD or not self._count(len(piece)):
                return StreamedBody(self._request.length, self)
        return HeldBody(self.held())

    async def next_piece(self) -> bytes:
        """What has come, at least a byte; empty at the end. Raises BadBody."""
        if not self._request.has_body:
            return b""
        try:
            async with asyncio.timeout_at(self._began + REQUEST_TIME.total_seconds() + self._size / BODY_RATE):
                piece = await self._request.read_available()
        except TimeoutError:
            raise BadBody(408, "the request's body did not come in time") from None
        self._size += len(piece)
        if self._size > MOST_BODY:
            raise BadBody(413, "the request's body is too long")
        return piece

    def held(self) -> bytes:
        """What is held, which is handed over."""
        data, self._held = bytes(self._held), bytearray()
        return data

    def let_go(self) -> None:
        """The request is over."""
        self._budget.give(self._taken)
        self._taken = 0

    def _count(self, size: int) -> bool:
        if not self._budget.take(size):
            return False
        self._taken += size
        return True
