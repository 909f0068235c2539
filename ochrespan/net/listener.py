"""A listening socket with a connection limit, time-outs for each connection state, and eviction at the limit."""

from __future__ import annotations

import asyncio
import ctypes
import logging
import select
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

from .client_connection import STATE_TIMEOUTS, ConnectionState
from .load_reports import LogSampler
from .responses import has_event

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # Linux; not defined in the socket module
RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, the only instruction of a filter
NEWER_SOCKET_INDEX = 1  # index in the SO_REUSEPORT group, from 0

RESERVED_DESCRIPTORS = 48  # for log, discovery, listeners, metric exporters and sockets that are closing
BACKLOG = 1024
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
MAX_ACCEPTS_PER_TURN = 16  # so that accepting does not starve other tasks of the event loop
CHECK_INTERVAL = timedelta(seconds=0.2)  # between checks for time-outs
EVICTION_AGES = {  # in order of eviction: the minimum time in the state before a connection is evicted
    ConnectionState.CLOSING: timedelta(seconds=0.1),
    ConnectionState.CONNECTED: timedelta(seconds=0.2),
    ConnectionState.READING: timedelta(seconds=0.5),
    ConnectionState.IDLE: timedelta(seconds=0.3),
}


class Connection(Protocol):
    """One client's connection, of any HTTP version."""

    state: ConnectionState
    since: float  # time of the last state change, on the event loop's clock
    transport: asyncio.Transport | None

    @property
    def closing(self) -> bool: ...

    def expire(self) -> None:
        """Ends the connection because of a time-out, or because its descriptor is needed."""


class Server(Protocol):
    def create_connection(self, on_state_change: Callable[[Any], None]) -> Any:
        """Creates a connection; `on_state_change` is called on each new state and on close."""

    async def shutdown(self, timeout: timedelta) -> None: ...


def prefer_newest(listening_socket: socket.socket) -> None:
    """Directs new connections to the newer of two processes that share an address during an upgrade.

    The BPF filter selects the second socket by its index; without such a socket the kernel uses its default hash.
    The backlog of the older socket stays there and gets no new connections.
    """
    instruction = struct.pack("HBBI", RETURN_CONSTANT, 0, 0, NEWER_SOCKET_INDEX)
    program = ctypes.create_string_buffer(instruction)
    try:
        listening_socket.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, ctypes.addressof(program))
        )
    except OSError as error:
        log.warning("connections are dealt to both processes of an upgrade", extra={"why": str(error)})


class Listener:
    """Accepts a connection only below its limit, and evicts connections without a complete request to stay below it.

    asyncio's own server accepts the complete backlog at once: when clients connect by the hundreds, it runs out of
    descriptors and then accepts nothing for a second. A request in progress is never evicted.
    """

    def __init__(self, server: Server, max_connections: int, max_idle: int | None = None) -> None:
        """`max_idle`: limit of connections between requests; beyond it the oldest are closed before their time-out."""
        self._server, self._max_connections = server, max(1, max_connections)
        self._max_idle = max_connections if max_idle is None else max_idle
        # in order of entry into the state, oldest first
        self._connections_by_state: dict[ConnectionState, dict[Connection, None]] = {
            state: {} for state in ConnectionState
        }
        self._states: dict[Connection, ConnectionState] = {}
        self._accepting: set[asyncio.Task[Any]] = set()
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._listening = False
        self._check_timer: asyncio.TimerHandle | None = None
        self._log_sampler = LogSampler()

    # ---- connections ----

    def _make_connection(self) -> Any:
        return self._server.create_connection(self._on_state_change)

    def _on_state_change(self, connection: Connection) -> None:
        if (previous := self._states.pop(connection, None)) is not None:
            del self._connections_by_state[previous][connection]
        if connection.state is ConnectionState.CLOSED:
            self._resume_accepting()
            return
        self._states[connection] = connection.state
        self._connections_by_state[connection.state][connection] = None
        # client connections are limited: clients that send one request and stay connected would block all others
        if (
            connection.state is ConnectionState.IDLE
            and len(self._connections_by_state[ConnectionState.IDLE]) > self._max_idle
        ):
            self._evict(ConnectionState.IDLE)

    def _accept_batch(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Whether a connection was accepted. If not, the backlog is empty, or accepting pauses, as at the limit."""
        assert self._socket is not None
        if len(self._states) + len(self._accepting) >= self._max_connections and not self._evict_any():
            self._pause_accepting()  # until a connection closes
            if number := self._log_sampler.count("full"):
                log.info(
                    "connection limit reached; accepting is paused",
                    extra={"most": self._max_connections, "number": number},
                )
            return False
        try:
            sock, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            log.warning("cannot accept a connection", extra={"why": str(error)})
            self._pause_accepting()
            return False
        sock.setblocking(False)
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._make_connection, sock))
        self._accepting.add(task)
        task.add_done_callback(self._on_accepted)
        return True

    def _on_accepted(self, task: asyncio.Task[Any]) -> None:
        self._accepting.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.warning("setting up an accepted connection failed", extra={"why": repr(error)})

    def _evict_any(self) -> bool:
        return any(map(self._evict, EVICTION_AGES))

    def _evict(self, state: ConnectionState) -> bool:
        """Evicts the connection that is longest in this state, if it has reached the age; returns whether it did."""
        for oldest in list(self._connections_by_state[state]):
            if self._loop.time() - oldest.since <= EVICTION_AGES[state].total_seconds():
                return False
            if not oldest.closing and self._expire(oldest):
                return True
        return False

    @staticmethod
    def _expire(connection: Connection) -> bool:
        """Ends a connection and returns True, unless unread data is pending on an idle connection: that is a request to
        be answered, and its client would see a reset."""
        transport = connection.transport
        idle = connection.state in (ConnectionState.IDLE, ConnectionState.CONNECTED)
        if idle and transport is not None and has_event(transport, select.POLLIN):
            return False
        connection.expire()
        return True

    def _resume_accepting(self) -> None:
        if self._socket is not None and not self._listening:
            self._listening = True
            self._loop.add_reader(self._socket.fileno(), self._accept_batch)

    def _pause_accepting(self) -> None:
        if self._socket is not None and self._listening:
            self._listening = False
            self._loop.remove_reader(self._socket.fileno())

    def _check_timeouts(self) -> None:
        for state, limit in STATE_TIMEOUTS.items():
            for connection in list(self._connections_by_state[state]):
                if self._loop.time() - connection.since > limit.total_seconds():
                    self._expire(connection)
        for connection in list(self._connections_by_state[ConnectionState.BUSY]):
            transport = connection.transport
            # while reading is paused for a body, asyncio does not notice that the client has disconnected
            if transport is not None and not transport.is_reading() and has_event(transport, PEER_CLOSED_EVENTS):
                transport.abort()
        self._resume_accepting()
        self._check_timer = self._loop.call_later(CHECK_INTERVAL.total_seconds(), self._check_timeouts)

    # ---- the socket ----

    @property
    def connections(self) -> int:
        return len(self._states) + len(self._accepting)

    async def open(self, address: tuple[str, int], shared: bool = False) -> None:
        """`shared`: another process may listen on the same address; the newer one gets new connections."""
        (family, socket_type, protocol, _, socket_address), *_ = await self._loop.getaddrinfo(
            *address, type=socket.SOCK_STREAM
        )
        self._socket = socket.socket(family, socket_type, protocol)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._socket.setblocking(False)
        self._socket.bind(socket_address)
        self._socket.listen(BACKLOG)
        if shared:
            prefer_newest(self._socket)
        self._check_timeouts()

    def resize(self, max_connections: int, max_idle: int) -> None:
        """Sets new limits; existing connections are not closed."""
        self._max_connections, self._max_idle = max(1, max_connections), max_idle

    def close_idle(self, no_data_for: timedelta) -> None:
        """Closes connections between requests, and those that sent nothing for `no_data_for` since the connect.

        A connection with an unread request stays open until the request is answered.
        """
        now = self._loop.time()
        idle = list(self._connections_by_state[ConnectionState.IDLE])
        idle += [
            connection
            for connection in self._connections_by_state[ConnectionState.CONNECTED]
            if now - connection.since > no_data_for.total_seconds()
        ]
        for connection in idle:
            self._expire(connection)

    @property
    def has_open_requests(self) -> bool:
        """Whether any connection has an unread request, one in progress, or a response that is not flushed yet."""
        return bool(self._accepting) or any(self._has_open_request(connection) for connection in self._states)

    @staticmethod
    def _has_open_request(connection: Connection) -> bool:
        if connection.state in (ConnectionState.READING, ConnectionState.BUSY, ConnectionState.WRITING):
            return True
        transport = connection.transport
        return (
            transport is not None
            and not transport.is_closing()
            and (transport.get_write_buffer_size() > 0 or has_event(transport, select.POLLIN))
        )

    def stop_accepting(self) -> bool:
        """Accepts the backlog and closes the socket; False if the limit prevents that now and the caller must retry."""
        if self._socket is None:
            return True
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        while poll.poll(0):
            if not self._accept_one():
                return False
        self._close()
        return True

    def _close(self) -> None:
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._listening = False
            self._socket.close()
            self._socket = None

    async def shutdown(self, timeout: timedelta) -> None:
        self._close()
        if self._check_timer is not None:
            self._check_timer.cancel()
        for connection in list(self._states):
            if connection.transport is not None and connection.state in (
                ConnectionState.CONNECTED,
                ConnectionState.IDLE,
            ):
                connection.transport.close()
        await self._server.shutdown(timeout)
        for connection in list(self._states):
            if connection.transport is not None:
                connection.transport.abort()
