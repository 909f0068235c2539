"""Keep-alive connections to servers: limited per server, and closed before the server would close them."""

from __future__ import annotations

import contextlib
import errno
import socket
import time

from ochrespan.transport.tcp import set_options

from .deadlines import Deadline, DeadlineHeap
from .wakeup import Wakeup
from .watched_socket import WatchedSocket, ignore_event

Address = tuple[str, int]

RECEIVED_LIMIT_BYTES = 256 * 1024  # buffered per response for a slow client; reading pauses beyond this
DEFAULT_KEEP_ALIVE_S = 4.0  # used if a server does not announce its keep-alive timeout
KEEP_ALIVE_MARGIN_S = 0.8  # an idle connection is closed this long before the server's timeout
SHORT_KEEP_ALIVE_FRACTION = 0.5  # of the timeout; used if it is too short for the margin
UNSAFE_REUSE_MAX_IDLE_S = 1.0  # idle limit for reuse by an unsafe request if the server announces no timeout
USER_TIMEOUT_MS = 3000  # TCP_USER_TIMEOUT: the connection fails once data is unacknowledged for this long


class ServerConnection:
    """A connection to one server; it carries one request at a time."""

    __slots__ = ("socket", "requests_sent", "reusable_until", "unsafe_reusable_until")

    def __init__(self, address: Address) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_options(sock, USER_TIMEOUT_MS)
            error = sock.connect_ex(address)
            if error not in (0, errno.EINPROGRESS):
                raise OSError(error, "connection refused")
        except OSError:
            sock.close()
            raise
        self.socket = WatchedSocket(sock, RECEIVED_LIMIT_BYTES)
        self.requests_sent = 0
        self.reusable_until = 0.0
        self.unsafe_reusable_until = 0.0

    def is_usable(self, now: float, unsafe: bool) -> bool:
        """Whether the connection can be reused; `unsafe` requests, which must not run twice, use a shorter limit."""
        if now >= self.reusable_until or (unsafe and now >= self.unsafe_reusable_until):
            return False
        self.socket.receive_available()
        return not self.socket.ended and not self.socket.received


class ServerPool:
    """The connections to one server."""

    def __init__(self, address: Address, max_connections: int, deadlines: DeadlineHeap) -> None:
        self.address = address
        self.max_connections = max(1, max_connections)
        self.open_count = 0  # idle and in use
        self.closed = False
        self._deadlines = deadlines
        self._idle_connections: list[ServerConnection] = []  # the most recently used one last
        self._expiry_timer: Deadline | None = None
        self._waiters: list[Wakeup] = []

    @property
    def has_capacity(self) -> bool:
        """Whether `acquire` can return a connection."""
        return bool(self._idle_connections) or self.open_count < self.max_connections

    def acquire(self, unsafe: bool) -> ServerConnection | None:
        """Returns an idle connection, or a new one that is still connecting; None if the limit is reached.

        Raises OSError if the connection attempt fails immediately.
        """
        now = time.monotonic()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            connection.socket.on_event = ignore_event
            if connection.is_usable(now, unsafe):
                return connection
            self.discard(connection)
        if self.open_count >= self.max_connections:
            return None
        connection = ServerConnection(self.address)
        self.open_count += 1
        return connection

    def release(self, connection: ServerConnection, keep_alive_s: float | None) -> None:
        """Makes a connection idle after a complete response, or closes it if it cannot be reused."""
        if (
            self.closed
            or connection.socket.ended
            or connection.socket.received
            or self.open_count > self.max_connections
        ):
            self.discard(connection)
            return
        now = time.monotonic()
        connection.reusable_until = now + _reusable_for_s(keep_alive_s)
        connection.unsafe_reusable_until = (
            now + UNSAFE_REUSE_MAX_IDLE_S if keep_alive_s is None else connection.reusable_until
        )
        connection.socket.on_event = lambda: self._drop_idle(connection)
        self._idle_connections.append(connection)
        if self._expiry_timer is None:
            self._expiry_timer = self._deadlines.schedule(connection.reusable_until, self._close_expired)
        self._notify_next_waiter()

    def discard(self, connection: ServerConnection) -> None:
        """Closes a connection that is not to be reused."""
        if not connection.socket.closed:
            connection.socket.close()
            self.open_count -= 1
            self._notify_next_waiter()

    def close(self) -> None:
        """Closes idle connections, and those in use once they are released."""
        self.closed = True
        while self._idle_connections:
            self.discard(self._idle_connections.pop())
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()

    def add_waiter(self, wakeup: Wakeup) -> None:
        """Notifies `wakeup` once `acquire` may succeed."""
        self._waiters.append(wakeup)

    def remove_waiter(self, wakeup: Wakeup) -> None:
        with contextlib.suppress(ValueError):
            self._waiters.remove(wakeup)

    def _notify_next_waiter(self) -> None:
        if self._waiters:
            self._waiters.pop(0).notify()

    def _drop_idle(self, connection: ServerConnection) -> None:
        """Closes an idle connection after a disconnect, unexpected bytes or the keep-alive timeout."""
        self._idle_connections.remove(connection)
        self.discard(connection)

    def _close_expired(self) -> None:
        self._expiry_timer = None
        now = time.monotonic()
        for connection in [idle for idle in self._idle_connections if idle.reusable_until <= now]:
            self._drop_idle(connection)
        if self._idle_connections:
            earliest = min(connection.reusable_until for connection in self._idle_connections)
            self._expiry_timer = self._deadlines.schedule(earliest, self._close_expired)


def _reusable_for_s(keep_alive_s: float | None) -> float:
    timeout_s = DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s
    return max(timeout_s - KEEP_ALIVE_MARGIN_S, timeout_s * SHORT_KEEP_ALIVE_FRACTION)
