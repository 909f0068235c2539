"""Exceptions of the transport package. `codec`, `compact`, `tcp` and `rpc` export those that they raise."""

from __future__ import annotations


class TransportError(Exception):
    """Base of all exceptions of this package."""


class MessageError(TransportError, ValueError):
    """Bytes that are not a valid message.

    Attributes:
        where: What is at fault, such as a tag or the length of a frame.
        found: What was found there.
        allowed: What is allowed there.
    """

    def __init__(self, where: str, found: str, allowed: str) -> None:
        super().__init__(f"{where}: found {found}, allowed {allowed}")
        self.where = where
        self.found = found
        self.allowed = allowed


class PackingError(TransportError, ValueError):
    """A value that msgpack cannot express: a string that is not valid Unicode, or a number of more than 64 bits."""


class ConnectionClosedError(TransportError):
    """The connection has ended, or it was closed because its peer read too slowly."""


class RpcError(TransportError):
    """No response to a call: the connection ended, the call timed out, or its handler at the peer failed.

    Unless the handler failed, it is unknown whether the peer has executed the call.
    """
