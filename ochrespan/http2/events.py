"""Events that a connection reports for the frames of its peer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """The header section of a request has been received."""

    stream: int
    method: str
    target: str
    fields: tuple[tuple[str, str], ...]  # lower-case names, without pseudo-header fields
    ended: bool  # no body follows


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """Bytes of a request body have been received."""

    stream: int
    data: bytes
    credit: int  # flow-control credit in bytes to return by `consume`; includes padding


@dataclass(frozen=True, slots=True)
class BodyEnded:
    """A request body is complete."""

    stream: int


@dataclass(frozen=True, slots=True)
class StreamAborted:
    """The stream was reset; no response can be sent."""

    stream: int
    code: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The connection has ended; it neither sends nor receives any more."""

    code: int
    reason: str


ConnectionEvent = RequestStarted | BodyReceived | BodyEnded | StreamAborted | ConnectionEnded
