"""Reads the answers of chunk servers strictly, byte by byte of their framing, before aiohttp sees them.

aiohttp's own parser for answers forgives much, holds a body of any length, and takes bytes that come between two
requests for the next answer. Here an answer is whole, within bounds and alone, or its attempt has failed and its
connection is never used again.
"""

from __future__ import annotations

import re
import select
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .framing import Framer, Unreadable

# the protocol's page says 64 KiB, yet chunk servers do send 400,000 bytes; what is far beyond that may never end
MOST_BODY = 1 << 20

START = b"HTTP/1."


class Spoilt(aiohttp.ClientPayloadError):
    """An answer that cannot be read: the request may have run, and the connection is of no more use."""


class Stale(aiohttp.ClientConnectionError):
    """A kept connection that was found unusable before anything was sent on it."""


class AnswerFramer(Framer):
    FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")

    def _begins(self) -> bool:
        return self.head[:len(START)] == START[:len(self.head)]

    def _bodiless(self) -> bool:
        return self.first is not None and (self.first[1][:1] == b"1" or self.first[1] in (b"204", b"304"))

    def _open_ended(self) -> bool:
        # one that does not say that it ends the connection could be any answer that lost its length on the way
        said = b",".join(value for name, value in self.fields if name == b"connection").lower()
        return b"close" in map(bytes.strip, said.split(b","))


class AnswerReader:
    """One answer, from its first byte to its last; 1xx heads before it are skipped."""

    def __init__(self) -> None:
        self._framer = AnswerFramer(MOST_BODY)
        self._held = bytearray()
        self.rest = b""  # what came behind the answer

    def feed(self, data: bytes) -> bytes | None:
        """The whole answer, once it is there."""
        try:
            while data and not self._framer.whole:
                data = self._take(data)
        except Unreadable as why:
            raise Spoilt(str(why)) from why
        if not self._framer.whole:
            return None
        self.rest = data
        return bytes(self._held)

    def end(self) -> bytes | None:
        """The whole answer, if it is one that the connection's end makes whole; it then has a length."""
        if not self._framer.open_ended:
            return None
        head, body = self._held[:len(self._framer.head) - 2], self._held[len(self._framer.head):]
        return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)

    def _take(self, data: bytes) -> bytes:
        framer = self._framer
        used = framer.take(data)
        if framer.first and framer.first[1][0:1] == b"1":
            if framer.first[1] == b"101":
                raise Unreadable("a change of protocol was not asked for")
            self._framer, self._held = AnswerFramer(MOST_BODY), bytearray()
        else:
            self._held += data[:used]
        return data[used:]


class AnswerHandler(ResponseHandler):
    """aiohttp's handler of a connection, given whole answers only, and nothing that was not asked for."""

    _reader: AnswerReader | None = None  # while an answer is awaited
    on_drained: Callable[[], None] | None = None  # to be told when the kernel has all that was written

    def expect(self) -> None:
        """To be called right before the first byte of a request is written."""
        transport = self.transport
        if transport is None or transport.is_closing() or waits_for(transport, select.POLLIN):
            if transport is not None:
                transport.abort()
            raise Stale("the connection has been closed or holds what was not asked for")
        self._reader = AnswerReader()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.on_drained is not None:
            self.on_drained()

    def data_received(self, data: bytes) -> None:
        if not data:  # aiohttp resumes what it paused
            super().data_received(data)
            return
        if self._reader is None:
            self._drop()
            return
        try:
            answer = self._reader.feed(data)
        except Spoilt as why:
            self._reader = None
            self.set_exception(why)
            self._drop()
            return
        if answer is None:
            return
        rest, self._reader = self._reader.rest, None
        super().data_received(answer)
        if rest:
            self._drop()

    def eof_received(self) -> None:
        """The peer ended its sending. A connection that is reset never comes here: its answer may lack its tail."""
        reader, self._reader = self._reader, None
        if reader is not None and (answer := reader.end()) is not None:
            super().data_received(answer)
        super().eof_received()

    def _drop(self) -> None:
        """The connection may bring anything now; its socket closes before anything else can be sent on it."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


def waits_for(transport: Any, what: int) -> bool:
    """Whether the kernel has it for the connection's socket, though the loop may not have seen it yet."""
    number = transport.get_extra_info("socket").fileno()
    if number < 0:
        return False
    poll = select.poll()
    poll.register(number, what)
    return bool(poll.poll(0))
