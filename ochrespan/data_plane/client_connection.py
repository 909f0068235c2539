"""A client's connection: reads requests in order, writes responses, and detects a disconnect immediately."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from .deadlines import DeadlineHeap
from .request_head import (
    BAD_REQUEST,
    HEAD_TOO_LARGE,
    TIMED_OUT,
    TOO_LARGE,
    UNAVAILABLE,
    ClientDisconnected,
    RequestHead,
    RequestRefused,
    parse_chunk_size,
    parse_head,
)
from .wakeup import Wakeup
from .watched_socket import WatchedSocket

RECEIVED_LIMIT_BYTES = 256 * 1024  # read ahead of the request being served; reading pauses beyond this
MAX_CHUNK_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 16 * 1024
LINGER_S = 1.0
BODY_MEMORY_RETRY_AFTER_S = 0.5
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits on the size of a request and on the time to receive it."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class BodyMemoryBudget:
    """Limits the total memory for the bodies of all requests in flight."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> None:
        """Reserves `size` bytes; raises RequestRefused if that exceeds the limit."""
        total = self.reserved_bytes + size
        if total > self.limit_bytes:
            found, allowed = f"{total} bytes with those of other requests", f"{self.limit_bytes} bytes"
            raise RequestRefused(UNAVAILABLE, "body", found, allowed, BODY_MEMORY_RETRY_AFTER_S)
        self.reserved_bytes = total

    def release(self, size: int) -> None:
        self.reserved_bytes -= size


class ClientConnection:
    """Owned by the greenlet that serves it, which waits on `wakeup`."""

    def __init__(self, sock: socket.socket, deadlines: DeadlineHeap, body_memory: BodyMemoryBudget) -> None:
        self.wakeup = Wakeup()
        self.write_deadline = 0.0  # monotonic time by which the response must be written
        self._deadlines = deadlines
        self._body_memory = body_memory
        self._body_bytes = 0  # reserved for the current request's body
        self._socket = WatchedSocket(sock, RECEIVED_LIMIT_BYTES, self.wakeup.notify)
        self._expired = False

    @property
    def disconnected(self) -> bool:
        """Whether the connection has ended."""
        return self._socket.ended or self._socket.closed

    @property
    def closed(self) -> bool:
        return self._socket.closed

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have been received that no request has consumed yet."""
        return bool(self._socket.received)

    def read_head(self, limits: ReadLimits) -> RequestHead | None:
        """Reads the next request's head; None if the client disconnects or sends nothing within the idle timeout."""
        received = self._socket.received
        self._socket.received_limit = max(RECEIVED_LIMIT_BYTES, 2 * limits.max_header_bytes)
        if not self._wait_until(lambda: received, time.monotonic() + limits.idle_timeout_s):
            return None
        return self._read_partial_head(limits)

    def read_body(self, head: RequestHead, limits: ReadLimits) -> bytes:
        """Reads the complete body; raises RequestRefused or ClientDisconnected."""
        if head.content_length is not None and head.content_length > limits.max_body_bytes:
            raise RequestRefused(TOO_LARGE, "body", f"{head.content_length} bytes", f"{limits.max_body_bytes} bytes")
        if not head.chunked and not head.content_length:
            return b""
        if head.expects_continue and not self._socket.received:
            self.write(_CONTINUE, time.monotonic() + limits.idle_timeout_s)
        if head.chunked:
            return self._read_chunks(limits)
        self._reserve_body_memory(head.content_length)
        return self._read_exactly(head.content_length, limits)

    def release_body(self) -> None:
        """Returns the memory reserved for the request's body."""
        self._body_memory.release(self._body_bytes)
        self._body_bytes = 0

    def write(self, data: bytes | bytearray, deadline: float) -> None:
        """Sends all of `data`; raises ClientDisconnected, or TimeoutError once `deadline` has passed."""
        try:
            sent = self._socket.try_send(data)
            if sent < len(data):
                self._write_remaining(memoryview(data)[sent:], deadline)
        except OSError as error:
            if isinstance(error, TimeoutError):
                raise
            raise ClientDisconnected(str(error)) from error

    def sleep(self, seconds: float) -> None:
        """Waits for `seconds`; raises ClientDisconnected if the client disconnects."""
        self._wait_until(lambda: False, time.monotonic() + seconds)
        if self.disconnected:
            raise ClientDisconnected("while its request was waiting")

    def close(self) -> None:
        self._socket.close()

    def close_and_notify(self) -> None:
        """Closes the connection from another greenlet and wakes the one that serves it."""
        self._socket.close()
        self.wakeup.notify()

    def reset(self) -> None:
        """Resets the connection, so that a truncated response cannot look complete."""
        self._socket.reset()

    def linger_and_close(self) -> None:
        """Closes after the client had time to read the last response.

        Closing with unread bytes sends a reset, which could destroy that response; so input is discarded for LINGER_S.
        """
        self._socket.shutdown_write()
        deadline = time.monotonic() + LINGER_S
        while not self._socket.ended and self._wait_until(lambda: self._socket.received, deadline):
            self._socket.take_received()
        self._socket.close()

    def _read_partial_head(self, limits: ReadLimits) -> RequestHead | None:
        received = self._socket.received
        searched = 0
        deadline = time.monotonic() + limits.header_timeout_s
        while True:
            while received.startswith(b"\r\n"):  # an empty line before a request is allowed
                del received[:2]
                searched = 0
            end = received.find(_HEAD_END, max(0, searched - len(_HEAD_END)))
            if end >= 0:
                break
            searched = len(received)
            if searched > limits.max_header_bytes:
                self._refuse_head(limits)
            if not self._wait_until(lambda size=searched: len(received) > size, deadline):
                if self._socket.ended:
                    return None
                raise RequestRefused(TIMED_OUT, "head", "no end in time", f"{limits.header_timeout_s:g} s")
        if end + len(_HEAD_END) > limits.max_header_bytes:
            self._refuse_head(limits)
        head = bytes(received[:end])
        self._consume(end + len(_HEAD_END))
        return parse_head(head)

    def _refuse_head(self, limits: ReadLimits) -> None:
        raise RequestRefused(HEAD_TOO_LARGE, "head", "more", f"{limits.max_header_bytes} bytes")

    def _read_exactly(self, size: int, limits: ReadLimits) -> bytes:
        received = self._socket.received
        if len(received) >= size:
            data = bytes(received[:size])
            self._consume(size)
            return data
        collected = bytearray()
        while len(collected) < size:
            self._await_more(lambda: received, limits)
            segment = received[: size - len(collected)]
            collected += segment
            self._consume(len(segment))
        return bytes(collected)

    def _read_chunks(self, limits: ReadLimits) -> bytes:
        body = bytearray()
        while size := parse_chunk_size(self._read_line(MAX_CHUNK_LINE_BYTES, limits)):
            if len(body) + size > limits.max_body_bytes:
                raise RequestRefused(TOO_LARGE, "body", "more", f"{limits.max_body_bytes} bytes")
            self._reserve_body_memory(size)
            body += self._read_exactly(size, limits)
            if self._read_exactly(2, limits) != b"\r\n":
                raise RequestRefused(BAD_REQUEST, "chunk", "more bytes than its size", "a line end behind it")
        self._skip_trailers(limits)
        return bytes(body)

    def _reserve_body_memory(self, size: int) -> None:
        self._body_memory.reserve(size)
        self._body_bytes += size

    def _skip_trailers(self, limits: ReadLimits) -> None:
        remaining = MAX_TRAILER_BYTES
        while line := self._read_line(remaining, limits):
            remaining -= len(line)
            if b":" not in line or line[:1] in b" \t":
                raise RequestRefused(BAD_REQUEST, "trailer", repr(line[:40]), "a header")

    def _read_line(self, max_bytes: int, limits: ReadLimits) -> bytes:
        received = self._socket.received
        while (end := received.find(b"\r\n")) < 0:
            size = len(received)
            if size > max_bytes:
                break
            self._await_more(lambda size=size: len(received) > size, limits)
        if end < 0 or end > max_bytes:
            raise RequestRefused(BAD_REQUEST, "line of a chunked body", "more", f"{max_bytes} bytes")
        line = bytes(received[:end])
        self._consume(end + 2)
        return line

    def _await_more(self, arrived: Callable[[], object], limits: ReadLimits) -> None:
        if not self._wait_until(arrived, time.monotonic() + limits.idle_timeout_s):
            if self._socket.ended:
                raise ClientDisconnected("while its request body was read")
            raise RequestRefused(TIMED_OUT, "body", "no bytes in time", f"{limits.idle_timeout_s:g} s")

    def _consume(self, size: int) -> None:
        del self._socket.received[:size]
        self._socket.resume_reading()

    def _write_remaining(self, remaining: memoryview, deadline: float) -> None:
        while remaining:
            self._socket.watch_writable()
            if not self._wait_until(lambda: not self._socket.awaiting_writable, deadline):
                if self._socket.ended:
                    raise ClientDisconnected("while a response was written")
                raise TimeoutError("the client reads too slowly")
            remaining = remaining[self._socket.try_send(remaining) :]

    def _wait_until(self, condition: Callable[[], object], deadline: float) -> bool:
        """Waits for the condition; False if the client disconnects or `deadline` passes before it is met."""
        if condition():
            return True
        self._expired = False
        timer = self._deadlines.schedule(deadline, self._expire)
        try:
            while not self._socket.ended and not self._expired and not self._socket.closed:
                self.wakeup.wait()
                if condition():
                    return True
            return False
        finally:
            timer.cancel()

    def _expire(self) -> None:
        self._expired = True
        self.wakeup.notify()
