"""One HTTP request and its response, independent of the HTTP version: the interface that request handlers use."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from multidict import CIMultiDict, CIMultiDictProxy


@dataclass(slots=True)
class Reply:
    """A complete response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False  # whether to close the connection after it; HTTP/1.1 only

    @classmethod
    def text(cls, status: int, text: str, headers: Mapping[str, str] | None = None, close: bool = False) -> Reply:
        return cls(status, text.encode(), {"Content-Type": "text/plain; charset=utf-8"} | dict(headers or {}), close)


class BadBody(Exception):
    """The request body cannot be received completely."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Exchange(ABC):
    """A request whose header section has been received. The handler returns a `Reply`, or streams a response itself
    and returns None.

    If the client disconnects, the handler is cancelled.
    """

    method: str
    target: str  # path and query, undecoded
    headers: CIMultiDictProxy[str] | CIMultiDict[str]
    has_body: bool
    has_length: bool  # whether the end of the body is delimited, by length, chunked coding or stream end
    length: int | None = None  # declared length of the body in bytes

    @property
    @abstractmethod
    def body_ended(self) -> bool:
        """Whether the body has been read to its end."""

    @abstractmethod
    async def read_available(self) -> bytes:
        """The received part of the body, at least one byte; empty at its end."""

    async def read(self) -> bytes:
        """Reads the complete body. The protocol limits its size and time; BadBody is raised beyond them."""
        parts = []
        while some := await self.read_available():
            parts.append(some)
        return b"".join(parts)

    @abstractmethod
    async def send_continue(self) -> None:
        """Sends 100 Continue to a client that waits for it before it sends the body."""

    @abstractmethod
    async def start(self, status: int, headers: Mapping[str, str], length: int | None, close: bool = False) -> None:
        """Sends the header section of a streamed response. `length` in bytes; None: unknown until `finish`."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends a part of the response body; waits while the client does not read it."""

    @abstractmethod
    async def finish(self) -> None: ...

    @abstractmethod
    def abort(self) -> None:
        """Aborts a response that cannot be completed, so that the client detects the truncation."""


Handler = Callable[[Exchange], Awaitable[Reply | None]]
