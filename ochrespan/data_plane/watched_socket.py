"""Non-blocking sockets whose read watcher stays registered, so that waiting for more bytes costs no system call."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

import gevent

READ, WRITE = 1, 2  # event masks of gevent io watchers
RECEIVE_BYTES = 64 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def ignore_event() -> None:
    """The `on_event` of a socket on which no greenlet waits."""


class WatchedSocket:
    """Buffers incoming data in `received`, up to `received_limit` bytes, and calls `on_event` in the event loop.

    Reading pauses while `received` is full, until `take_received` empties it. `ended` is set once the peer has closed
    its side or the connection has failed.
    """

    __slots__ = (
        "_sock",
        "_loop",
        "_read_watcher",
        "_write_watcher",
        "_reading_paused",
        "received_limit",
        "received",
        "ended",
        "failed",
        "on_event",
    )

    def __init__(self, sock: socket.socket, received_limit: int, on_event: Callable[[], None] = ignore_event) -> None:
        self._sock = sock
        self._loop = gevent.get_hub().loop
        self.received_limit = received_limit
        self._reading_paused = False
        self._write_watcher = None
        self.received = bytearray()
        self.ended = False
        self.failed = False
        self.on_event = on_event
        self._read_watcher = self._loop.io(sock.fileno(), READ)
        self._read_watcher.start(self._on_readable)

    @property
    def closed(self) -> bool:
        return self._read_watcher is None

    def take_received(self) -> bytes:
        """Removes and returns all buffered bytes."""
        data = bytes(self.received)
        self.received.clear()
        self.resume_reading()
        return data

    def resume_reading(self) -> None:
        """Resumes reading if it was paused and the buffer is below its limit again."""
        if self._reading_paused and len(self.received) < self.received_limit and self._read_watcher is not None:
            self._reading_paused = False
            self._read_watcher.start(self._on_readable)

    def receive_available(self) -> None:
        """Reads bytes that have arrived but that the event loop has not processed yet."""
        if not self.ended and not self._reading_paused and self._read_watcher is not None:
            self._receive()

    def try_send(self, data: bytes | bytearray | memoryview) -> int:
        """Sends without blocking; returns the number of bytes sent, and raises OSError if the connection has failed."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0

    def watch_writable(self) -> None:
        """Calls `on_event` once, as soon as more can be sent."""
        if self._write_watcher is None:
            self._write_watcher = self._loop.io(self._sock.fileno(), WRITE)
        self._write_watcher.start(self._on_writable)

    @property
    def awaiting_writable(self) -> bool:
        return self._write_watcher is not None and self._write_watcher.active

    def connect_error(self) -> int:
        """The errno of a finished connection attempt, 0 for success."""
        return self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def shutdown_write(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the connection; if there are unread bytes, the kernel sends a reset."""
        if self._read_watcher is None:
            return
        self._read_watcher.close()
        self._read_watcher = None
        if self._write_watcher is not None:
            self._write_watcher.close()
            self._write_watcher = None
        self.on_event = ignore_event
        with contextlib.suppress(OSError):
            self._sock.close()

    def reset(self) -> None:
        """Closes the connection with a reset, so that the peer sees that it was aborted."""
        if self._read_watcher is not None:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self.close()

    def _on_readable(self) -> None:
        if self._receive():
            self.on_event()

    def _receive(self) -> bool:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
            self.failed = True
        if data:
            self.received += data
            if len(self.received) >= self.received_limit:
                self._reading_paused = True
                self._read_watcher.stop()
        else:
            self.ended = True
            self._read_watcher.stop()
        return True

    def _on_writable(self) -> None:
        self._write_watcher.stop()
        self.on_event()
