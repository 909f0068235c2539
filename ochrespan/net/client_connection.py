"""Stands between a client's connection and aiohttp's handler: what is no request never reaches the handler.

A connection costs a small object until its first request has come. It is owed little time: for its first byte, for
the rest of a request, between requests.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from http import HTTPStatus
from typing import Any

from .framing import Framer, Unreadable

FIRST_BYTE_TIME = timedelta(seconds=2)  # from connecting
REQUEST_TIME = timedelta(seconds=4)  # from connecting, or from its first byte, to the end of a request ...
BODY_RATE = 32 * 1024  # ... and more by each byte of its body: bytes a second, half of what slow clients send
TAKING_TIME = timedelta(seconds=10)  # for a client that takes none of its answer
IDLE_TIME = timedelta(seconds=2)  # between requests
LINGER = timedelta(seconds=1)  # for a client to read the error that ends its connection
MOST_DISCARDED = 256 * 1024  # bytes read and thrown away meanwhile
MOST_AHEAD = 16 * 1024  # bytes kept that come while a request is being answered


class State(Enum):
    SILENT = "silent"  # nothing has come yet
    READING = "reading"  # part of a request
    BUSY = "busy"  # a request is being answered
    WRITING = "writing"  # its answer is not yet all with the kernel: its client reads slowly
    QUIET = "quiet"  # between requests
    LEAVING = "leaving"  # is being closed, or reads the error that ends it
    CLOSED = "closed"


LIMITS = {
    State.SILENT: FIRST_BYTE_TIME,
    State.READING: REQUEST_TIME,
    State.QUIET: IDLE_TIME,
    State.LEAVING: LINGER,
    State.WRITING: TAKING_TIME,
}
FLUSHED = timedelta(seconds=0.02)  # between looks at an answer that a client does not take at once


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PIECE = 32 * 1024  # bytes read from a connection at once; asyncio's own 256 KiB on each would not fit into memory


class RequestFramer(Framer):
    FIRST_LINE = re.compile(rb"[A-Z]{1,16} /[\x21-\x7e]* HTTP/1\.[01]")
    START = re.compile(rb"[A-Z]{1,16}(?: |\Z)")

    def _begins(self) -> bool:
        return self.START.match(self.head) is not None

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits to be told to send the body."""
        return any(name == b"expect" and value.lower() == b"100-continue" for name, value in self.fields)

    def _bodiless(self) -> bool:
        return not any(name in (b"content-length", b"transfer-encoding") for name, _ in self.fields)


class Guard(asyncio.Protocol):
    """One client's connection."""

    def __init__(
        self, make: Callable[[], Any], most_body: int | None, most_held: int, moved: Callable[[Guard], None]
    ) -> None:
        """`make` gives a handler of aiohttp's server; `moved` hears of each new state, and of the end.

        A request with up to `most_held` bytes of body is passed on once it is whole and alone; the body of a longer
        one goes on as it comes. `most_body` bounds all bodies, where it is given.
        """
        self._make, self._most_body, self._most_held, self._moved = make, most_body, most_held, moved
        self.continued = False  # the client has been told to send its body
        self._loop = asyncio.get_running_loop()
        self.state, self.since = State.SILENT, self._loop.time()
        self.handler: Any = None
        self.transport: asyncio.Transport | None = None
        self._framer: RequestFramer | None = None
        self._held = bytearray()  # of the request that is being read
        self._ahead = bytearray()  # of what comes before its answer is out
        self._discarded = 0
        self._unsent = 0  # bytes of an answer at the last look

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self._most_held:  # such bodies are bounded together, not by a budget of their own front
            transport.max_size = PIECE  # type: ignore[attr-defined]  # there is no public way
        self._moved(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.state = State.CLOSED
        if self.handler is not None:
            self.handler.connection_lost(exc)
        self._moved(self)

    def pause_writing(self) -> None:
        if self.handler is not None:
            self.handler.pause_writing()

    def resume_writing(self) -> None:
        if self.handler is not None:
            self.handler.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.state is State.LEAVING:
            self._discarded += len(data)
            if self._discarded > MOST_DISCARDED and self.transport is not None:
                self.transport.pause_reading()
        elif self.state is State.WRITING or (self.state is State.BUSY and self._framer is None):
            self._ahead += data[: MOST_AHEAD + 1 - len(self._ahead)]
        else:
            self._read(data)

    def done(self) -> None:
        """The answer is written; it is out once the kernel has it all."""
        if self.state not in (State.BUSY, State.WRITING):
            return
        unsent = 0 if self._transport.is_closing() else self._transport.get_write_buffer_size()
        if unsent:
            if self.state is State.BUSY or unsent < self._unsent:  # it takes some: its time counts anew
                self._enter(State.WRITING)
            self._unsent = unsent
            self._loop.call_later(FLUSHED.total_seconds(), self.done)
            return
        if self._framer is not None:  # answered before its body had come; the handler closes
            self._enter(State.LEAVING)
            return
        self._enter(State.QUIET)
        self.continued = False
        if len(self._ahead) > MOST_AHEAD:  # what was not kept of them is missing somewhere in the middle
            self.refuse(HTTPStatus.BAD_REQUEST, "more came ahead of an answer than one request at a time")
        elif self._ahead:
            ahead, self._ahead = bytes(self._ahead), bytearray()
            self._read(ahead)

    def expire(self) -> None:
        """Its time is up, or its descriptor is needed."""
        if self.state is State.READING:
            self.refuse(HTTPStatus.REQUEST_TIMEOUT, "the request did not come in time")
        elif self.state is State.LEAVING:
            self._transport.abort()
        else:
            self._enter(State.LEAVING)
            self._transport.close()

    @property
    def closing(self) -> bool:
        return self._transport.is_closing()

    @property
    def closed(self) -> bool:
        return self.state is State.CLOSED

    @property
    def _transport(self) -> asyncio.Transport:
        assert self.transport is not None
        return self.transport

    def _enter(self, state: State) -> None:
        # a first request has its time from connecting on: a silent beginning gains nothing
        if (self.state, state) != (State.SILENT, State.READING):
            self.since = self._loop.time()
        self.state = state
        self._moved(self)

    def _read(self, data: bytes) -> None:
        if self.state in (State.SILENT, State.QUIET):
            self._enter(State.READING)
        framer = self._framer = self._framer or RequestFramer(self._most_body)
        try:
            used = framer.take(data)
            if self._most_held and self.state is State.READING and used < len(data):
                raise Unreadable("more came than the request that was announced")
        except Unreadable as why:
            if self.state is State.BUSY:  # the handler has its head: only a close can tell now
                self._transport.abort()
            else:
                self.refuse(why.status, str(why))
            return
        self._held += framer.passed()
        if framer.first is None:
            return
        if framer.whole or not self._holds(framer):
            self._pass_on(framer.whole)
            self._ahead += data[used:]
            return
        self.since = min(self._loop.time(), self.since + used / BODY_RATE)
        if framer.expects_continue and not self.continued:
            self.continued = True
            self._transport.write(CONTINUE)

    def _holds(self, framer: RequestFramer) -> bool:
        """Whether the request is still held until it is whole."""
        if not self._most_held:
            return False
        body = len(self._held) - len(framer.head)
        return self.state is State.READING and max(body, framer.length or 0) <= self._most_held

    def _pass_on(self, whole: bool) -> None:
        held, self._held = bytes(self._held), bytearray()
        if whole:
            self._framer = None
        if self.handler is None:
            self.handler = self._make()
            self.handler.connection_made(self.transport)
        if self.state is not State.BUSY:
            self._enter(State.BUSY)
        self.handler.data_received(held)

    def refuse(self, status: int, why: str) -> None:
        """An error that the client can still read: the connection ends in two steps, so that none cuts it off."""
        known = HTTPStatus(status)
        self._framer, self._held = None, bytearray()
        self._transport.write(
            f"HTTP/1.1 {known.value} {known.phrase}\r\nContent-Type: text/plain\r\nConnection: close\r\n"
            f"Content-Length: {len(why) + 1}\r\n\r\n{why}\n".encode()
        )
        self._transport.write_eof()
        self._enter(State.LEAVING)
