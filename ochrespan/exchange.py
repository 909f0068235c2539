"""One request and its answer, whichever wire they come and go on: what the fronts are written against."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from multidict import CIMultiDict, CIMultiDictProxy


@dataclass(slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False  # the connection is to end after it, where the wire has one request at a time

    @classmethod
    def text(cls, status: int, words: str, headers: Mapping[str, str] | None = None, close: bool = False) -> Reply:
        return cls(status, words.encode(), {"Content-Type": "text/plain; charset=utf-8"} | dict(headers or {}), close)


class BadBody(Exception):
    """The request's body cannot be taken whole."""

    def __init__(self, status: int, words: str) -> None:
        super().__init__(words)
        self.status = status


class Exchange(ABC):
    """A request whose head has come. The handler returns a `Reply`, or sends a streamed answer and returns None.

    A client that leaves cancels the handler.
    """

    method: str
    target: str  # path and query, as on the wire
    headers: CIMultiDictProxy[str] | CIMultiDict[str]
    has_body: bool
    has_length: bool  # whether where the body ends is told, in whichever way the wire has
    length: int | None = None  # of the body, where it is announced

    @property
    @abstractmethod
    def body_ended(self) -> bool:
        """Whether nothing of the body is left to read."""

    @abstractmethod
    async def read_available(self) -> bytes:
        """What has come of the body, at least a byte; empty at its end."""

    async def read(self) -> bytes:
        """The whole body; the wire bounds it in size and time, and raises BadBody beyond."""
        parts = []
        while some := await self.read_available():
            parts.append(some)
        return b"".join(parts)

    @abstractmethod
    async def send_continue(self) -> None:
        """Tells a client that waits for it to send the body (100 Continue)."""

    @abstractmethod
    async def start(self, status: int, headers: Mapping[str, str], length: int | None, close: bool = False) -> None:
        """The head of a streamed answer of so many bytes; None: as many as come before it is finished."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Some of its bytes; waits while the client does not take them."""

    @abstractmethod
    async def finish(self) -> None: ...

    @abstractmethod
    def abort(self) -> None:
        """Ends an answer that has begun and cannot go on, so that the client sees that it is not whole."""


Handler = Callable[[Exchange], Awaitable[Reply | None]]
