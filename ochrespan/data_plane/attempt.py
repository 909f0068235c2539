"""One attempt: sends a request to one server and reads the response. Every failure is raised with its outcome."""

from __future__ import annotations

import time
from collections.abc import Callable

from .connection_pool import ServerConnection, ServerPool
from .deadlines import DeadlineHeap
from .decisions import Outcome
from .server_response import MalformedResponse, ServerResponse
from .wakeup import Wakeup
from .watched_socket import ignore_event

CONNECT_TIMEOUT_S = 1.0  # includes the wait for a free connection in the pool


class AttemptEnded(Exception):
    """The attempt has ended without a complete response."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


class Attempt:
    """Runs in the request's greenlet. `interruption` returns CANCELLED or TIMED_OUT if the attempt has to stop."""

    __slots__ = ("response", "sent_at", "_pool", "_deadlines", "_wakeup", "_interruption", "_connection", "_expired")

    def __init__(
        self, pool: ServerPool, deadlines: DeadlineHeap, wakeup: Wakeup, interruption: Callable[[], Outcome | None]
    ) -> None:
        self.response: ServerResponse | None = None
        self.sent_at = 0.0
        self._pool = pool
        self._deadlines = deadlines
        self._wakeup = wakeup
        self._interruption = interruption
        self._connection: ServerConnection | None = None
        self._expired = False

    def send(self, encode_request: Callable[[], bytes], response: ServerResponse, unsafe: bool) -> None:
        """Sends the request; raises AttemptEnded if it was not written completely."""
        self.response = response
        self.sent_at = time.monotonic()
        try:
            connection = self._connect(unsafe)
            self._write(connection, encode_request())
        except OSError as error:
            raise AttemptEnded(Outcome.NOT_SENT) from error
        connection.requests_sent += 1

    def receive(self) -> None:
        """Waits for the next bytes of the response and parses them; raises AttemptEnded."""
        socket = self._connection.socket
        while not socket.received:
            if socket.ended:
                raise AttemptEnded(Outcome.LOST)
            if interruption := self._interruption():
                raise AttemptEnded(interruption)
            self._wakeup.wait()
        try:
            self.response.receive(socket.take_received())
        except MalformedResponse as error:
            raise AttemptEnded(Outcome.GARBLED) from error

    def release(self) -> None:
        """Returns the connection of a complete response to the pool, or closes it if it cannot be reused."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        connection.socket.on_event = ignore_event
        if self.response.reusable:
            self._pool.release(connection, self.response.keep_alive_s)
        else:
            self._pool.discard(connection)

    def abandon(self) -> None:
        """Closes the connection, so that the server stops processing the request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.discard(connection)

    def _connect(self, unsafe: bool) -> ServerConnection:
        deadline = self.sent_at + CONNECT_TIMEOUT_S
        connection = self._take_connection(unsafe, deadline)
        connection.socket.on_event = self._wakeup.notify
        self._connection = connection
        if not connection.requests_sent:
            connection.socket.watch_writable()
            self._wait(lambda: not connection.socket.awaiting_writable, deadline)
            if error := connection.socket.connect_error():
                raise OSError(error, "connection refused")
        return connection

    def _take_connection(self, unsafe: bool, deadline: float) -> ServerConnection:
        pool = self._pool
        connection = pool.acquire(unsafe)
        if connection is not None:
            return connection
        pool.add_waiter(self._wakeup)
        try:
            self._wait(lambda: pool.has_capacity, deadline)
        finally:
            pool.remove_waiter(self._wakeup)
        connection = pool.acquire(unsafe)
        if connection is None:
            raise AttemptEnded(Outcome.NOT_SENT)
        return connection

    def _write(self, connection: ServerConnection, data: bytes) -> None:
        socket = connection.socket
        remaining = memoryview(data)[socket.try_send(data) :]
        while remaining:
            socket.watch_writable()
            while socket.awaiting_writable:
                if interruption := self._interruption():
                    raise AttemptEnded(Outcome.CANCELLED if interruption is Outcome.CANCELLED else Outcome.NOT_SENT)
                if socket.ended:
                    raise AttemptEnded(Outcome.NOT_SENT)
                self._wakeup.wait()
            remaining = remaining[socket.try_send(remaining) :]

    def _wait(self, condition: Callable[[], bool], deadline: float) -> None:
        """Waits for `condition`; raises AttemptEnded if it is interrupted or not met by `deadline`."""
        if condition():
            return
        self._expired = False
        timer = self._deadlines.schedule(deadline, self._expire)
        try:
            while not condition():
                if interruption := self._interruption():
                    raise AttemptEnded(Outcome.CANCELLED if interruption is Outcome.CANCELLED else Outcome.NOT_SENT)
                if self._expired:
                    raise AttemptEnded(Outcome.NOT_SENT)
                self._wakeup.wait()
        finally:
            timer.cancel()

    def _expire(self) -> None:
        self._expired = True
        self._wakeup.notify()
