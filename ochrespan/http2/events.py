"""What a connection tells of what its peer sent: requests, bodies and ends, free of any I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request's head."""

    stream: int
    method: str
    target: str
    fields: tuple[tuple[str, str], ...]  # names in lower case, without the pseudo-fields
    ended: bool  # no body follows


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """Some bytes of a request's body."""

    stream: int
    data: bytes
    credit: int  # to be given back by `consume`: with padding, more than there are bytes


@dataclass(frozen=True, slots=True)
class BodyEnded:
    """A request's body is whole."""

    stream: int


@dataclass(frozen=True, slots=True)
class StreamAborted:
    """The client wants no answer any more."""

    stream: int
    code: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """Nothing more comes or is heard on this connection."""

    code: int
    reason: str


ConnectionEvent = RequestStarted | BodyReceived | BodyEnded | StreamAborted | ConnectionEnded
