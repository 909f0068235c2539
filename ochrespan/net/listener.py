"""A listening socket whose connections stay under a bound, and none of which is owed more than a little time."""

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

from .client_connection import LIMITS, State
from .load_reports import Repeats
from .responses import waits_for

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # Linux; the socket module does not name it
RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, the only instruction of a filter
SECOND = 1  # of the sockets of a group, counted from 0

RESERVE = 48  # descriptors for the rest: log, discovery, listeners, sinks, what is being closed
BACKLOG = 1024
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR
AT_ONCE = 16  # connections taken in one turn of the loop: the rest of the program has its turns between
LOOK = timedelta(seconds=0.2)  # between looks at whose time is up
SPARE = {  # who has to go when a descriptor is needed, from what age on
    State.LEAVING: timedelta(seconds=0.1),
    State.SILENT: timedelta(seconds=0.2),
    State.READING: timedelta(seconds=0.5),
    State.QUIET: timedelta(seconds=0.3),
}


class Connection(Protocol):
    """One client's connection, whichever protocol it speaks."""

    state: State
    since: float  # when it entered the state, on the loop's clock
    transport: asyncio.Transport | None

    @property
    def closing(self) -> bool: ...

    def expire(self) -> None:
        """Its time is up, or its descriptor is needed."""


class Server(Protocol):
    def connection(self, moved: Callable[[Any], None]) -> Any:
        """A connection; `moved` hears of each new state, and of the end."""

    async def shutdown(self, timeout: timedelta) -> None: ...


def prefer_newest(listening: socket.socket) -> None:
    """Steers new connections to the second of the sockets that share an address.

    The filter names it by its place, which is that of the newer process of an upgrade. Where there is none at this
    place the kernel deals by its own rule. What waits at the older socket stays there, and nothing is added to it.
    """
    instruction = struct.pack("HBBI", RETURN_CONSTANT, 0, 0, SECOND)
    program = ctypes.create_string_buffer(instruction)
    try:
        listening.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, ctypes.addressof(program))
        )
    except OSError as why:
        log.warning("connections are dealt to both processes of an upgrade", extra={"why": str(why)})


class Listener:
    """Takes a connection only when there is room for it, and makes room where one is of little use.

    What asyncio's own server does here, taking all that has come at once, runs out of descriptors when clients
    connect by the hundreds, and then takes nobody for a second. Requests are never among what has to go.
    """

    def __init__(self, server: Server, most: int, most_quiet: int | None = None) -> None:
        """`most_quiet`: so many connections between requests are kept; those beyond go before their time."""
        self._server, self._most = server, max(1, most)
        self._most_quiet = most if most_quiet is None else most_quiet
        # the longest in a state first
        self._held: dict[State, dict[Connection, None]] = {state: {} for state in State}
        self._states: dict[Connection, State] = {}
        self._arriving: set[asyncio.Task[Any]] = set()
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._listening = False
        self._look: asyncio.TimerHandle | None = None
        self._full = Repeats()

    # ---- connections ----

    def _make(self) -> Any:
        return self._server.connection(self._moved)

    def _moved(self, guard: Connection) -> None:
        if (was := self._states.pop(guard, None)) is not None:
            del self._held[was][guard]
        if guard.state is State.CLOSED:
            self._listen()
            return
        self._states[guard] = guard.state
        self._held[guard.state][guard] = None
        # clients hold a bounded number of connections: those that ask once and stay would leave the others none
        if guard.state is State.QUIET and len(self._held[State.QUIET]) > self._most_quiet:
            self._spare(State.QUIET)

    def _accept(self) -> None:
        for _ in range(AT_ONCE):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Whether one was taken: else none is waiting, or there is no room (and then we do not listen)."""
        assert self._socket is not None
        if len(self._states) + len(self._arriving) >= self._most and not self._make_room():
            self._pause()  # until somebody leaves
            if number := self._full.count("full"):
                log.info("no room for a connection", extra={"most": self._most, "number": number})
            return False
        try:
            sock, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as why:
            log.warning("cannot take a connection", extra={"why": str(why)})
            self._pause()
            return False
        sock.setblocking(False)
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._make, sock))
        self._arriving.add(task)
        task.add_done_callback(self._arrived)
        return True

    def _arrived(self, task: asyncio.Task[Any]) -> None:
        self._arriving.discard(task)
        if not task.cancelled() and (why := task.exception()) is not None:
            log.warning("a connection was lost as it came", extra={"why": repr(why)})

    def _make_room(self) -> bool:
        return any(map(self._spare, SPARE))

    def _spare(self, state: State) -> bool:
        """Whether one in this state could go: the one that has been in it for longest, if that is long enough."""
        for oldest in list(self._held[state]):
            if self._loop.time() - oldest.since <= SPARE[state].total_seconds():
                return False
            if not oldest.closing and self._expire(oldest):
                return True
        return False

    @staticmethod
    def _expire(connection: Connection) -> bool:
        """Ends one whose time is up, or whose descriptor is needed. A request that has arrived on it, though nobody
        has read it yet, is answered instead: its client would find it cut off."""
        transport = connection.transport
        idle = connection.state in (State.QUIET, State.SILENT)
        if idle and transport is not None and waits_for(transport, select.POLLIN):
            return False
        connection.expire()
        return True

    def _listen(self) -> None:
        if self._socket is not None and not self._listening:
            self._listening = True
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def _pause(self) -> None:
        if self._socket is not None and self._listening:
            self._listening = False
            self._loop.remove_reader(self._socket.fileno())

    def _look_round(self) -> None:
        for state, limit in LIMITS.items():
            for guard in list(self._held[state]):
                if self._loop.time() - guard.since > limit.total_seconds():
                    self._expire(guard)
        for guard in list(self._held[State.BUSY]):
            transport = guard.transport
            # while a body waits to be taken nobody reads, and nobody would hear that its client has left
            if transport is not None and not transport.is_reading() and waits_for(transport, HUNG_UP):
                transport.abort()
        self._listen()
        self._look = self._loop.call_later(LOOK.total_seconds(), self._look_round)

    # ---- the socket ----

    @property
    def connections(self) -> int:
        return len(self._states) + len(self._arriving)

    async def open(self, address: tuple[str, int], shared: bool = False) -> None:
        """`shared`: a second process may listen there; of two, the one that came last takes what is new."""
        (family, kind, proto, _, where), *_ = await self._loop.getaddrinfo(*address, type=socket.SOCK_STREAM)
        self._socket = socket.socket(family, kind, proto)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._socket.setblocking(False)
        self._socket.bind(where)
        self._socket.listen(BACKLOG)
        if shared:
            prefer_newest(self._socket)
        self._look_round()

    def resize(self, most: int, most_quiet: int) -> None:
        """Another bound from now on; who is there already may stay."""
        self._most, self._most_quiet = max(1, most), most_quiet

    def dismiss_idle(self, silent_for: timedelta) -> None:
        """Ends the connections between requests, and those on which nothing has come for so long.

        One whose next request has arrived, though nobody has read it yet, is left to be answered.
        """
        now = self._loop.time()
        idle = list(self._held[State.QUIET])
        idle += [one for one in self._held[State.SILENT] if now - one.since > silent_for.total_seconds()]
        for connection in idle:
            self._expire(connection)

    @property
    def occupied(self) -> bool:
        """Whether a request, or its answer, is on its way on any connection: also one that nobody has read yet."""
        return bool(self._arriving) or any(self._busy(guard) for guard in self._states)

    @staticmethod
    def _busy(guard: Connection) -> bool:
        if guard.state in (State.READING, State.BUSY, State.WRITING):
            return True
        transport = guard.transport
        return (
            transport is not None
            and not transport.is_closing()
            and (transport.get_write_buffer_size() > 0 or waits_for(transport, select.POLLIN))
        )

    def stop_accepting(self) -> bool:
        """Takes all that has come already, and closes; False where there is no room for it yet: to be asked again."""
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
        if self._look is not None:
            self._look.cancel()
        for guard in list(self._states):
            if guard.transport is not None and guard.state in (State.SILENT, State.QUIET):
                guard.transport.close()
        await self._server.shutdown(timeout)
        for guard in list(self._states):
            if guard.transport is not None:
                guard.transport.abort()
