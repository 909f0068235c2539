"""Connections that carry typed messages in frames: four bytes of length, big endian, then the encoded message."""

from __future__ import annotations

import contextlib
import logging
import struct
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ochrespan.common.addresses import Address, format_address

from .codec import decode, encode
from .errors import ConnectionClosedError as ConnectionClosedError  # the alias exports it
from .errors import MessageError

log = logging.getLogger(__name__)

if TYPE_CHECKING:  # loaded only where the settings ask for it
    from .tls import MutualTls

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_QUEUED_BYTES = 16 * 1024 * 1024  # unsent; above this the connection is closed, as its peer reads too slowly
USER_TIMEOUT_MS = 2500  # data that stays unacknowledged for this long ends the connection
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
RECEIVE_BYTES = 64 * 1024
HANDSHAKE_TIMEOUT_S = 2.0

_security: MutualTls | None = None  # of all connections of this process

_length = struct.Struct(">I")


def secure_connections(security: MutualTls | None) -> None:
    """Connections that are opened or accepted from now on use mutual TLS, or plain TCP where `security` is None."""
    global _security
    _security = security


def set_options(sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Sets a TCP socket up for small messages and the early detection of lost peers.

    Nagle's algorithm is off, so that small messages leave at once. Keepalive probes end an idle connection within
    seconds when its peer is gone.

    Args:
        sock: A TCP socket.
        user_timeout_ms: Data that stays unacknowledged for so many milliseconds ends the connection (TCP_USER_TIMEOUT,
            RFC 5482).
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


class Connection:
    """One framed connection, which owns its socket and the greenlet that writes to it.

    `send` queues and never waits; `receive` waits for the next message and may be called by one greenlet only.
    """

    def __init__(self, sock: socket.socket, peer: Address) -> None:
        self.peer = peer
        self._socket = sock
        self._received = bytearray()
        self._outgoing: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = Event()
        self._closed = False
        set_options(sock)
        self._writer = gevent.spawn(self._write)

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection, on request or after a fault."""
        return self._closed

    def send(self, value: Any) -> None:
        """Queues a registered message; raises ConnectionClosedError."""
        self.send_encoded(encode(value))

    def send_encoded(self, data: bytes) -> None:
        """Queues the bytes of `codec.encode`, so that one encoded message can go to many connections.

        Raises:
            ConnectionClosedError: The connection has ended, or is closed here since the peer reads too slowly.
        """
        if self._closed:
            raise ConnectionClosedError(format_address(self.peer))
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.close()
            raise ConnectionClosedError(f"{format_address(self.peer)} reads too slowly")
        self._outgoing.append(_length.pack(len(data)) + data)
        self._queued_bytes += len(data)
        self._wake.set()

    def receive(self, timeout: float | None = None) -> Any:
        """Waits for the next message.

        A frame is consumed completely or not at all: after a time-out, the next call continues with the bytes that have
        arrived.

        Args:
            timeout: Seconds; None waits without limit.

        Raises:
            ConnectionClosedError: The connection has ended.
            MessageError: The frame is too large, which closes the connection, or contains no valid message.
            TimeoutError: No complete message has arrived in time.
        """
        limit = gevent.Timeout.start_new(timeout)
        try:
            size = self._fill_frame()
        except gevent.Timeout as expired:
            if expired is not limit:
                raise
            raise TimeoutError(f"{format_address(self.peer)}: no message in {timeout:g} s") from None
        finally:
            limit.close()
        data = bytes(self._received[_length.size : size])
        del self._received[:size]
        return decode(data)

    @property
    def has_message(self) -> bool:
        """Whether a complete message has arrived that `receive` has not returned yet."""
        if len(self._received) < _length.size:
            return False
        length: int = _length.unpack_from(self._received)[0]
        return len(self._received) >= _length.size + length

    def set_idle_timeout(self, seconds: float) -> None:
        """Ends the connection when no byte arrives for `receive`, or none of the queue can be sent, for this long."""
        self._socket.settimeout(seconds)

    def close(self) -> None:
        """Closes the socket and ends the writing greenlet; queued messages are dropped. May be called again."""
        if not self._closed:
            self._closed = True
            self._wake.set()
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
            self._socket.close()

    def _fill_frame(self) -> int:
        """Waits for a complete frame and returns its size with the four bytes of length; raises MessageError."""
        self._fill(_length.size)
        size: int = _length.unpack_from(self._received)[0]
        if size > MAX_FRAME_BYTES:
            self.close()
            raise MessageError("frame length", str(size), f"at most {MAX_FRAME_BYTES}")
        self._fill(_length.size + size)
        return _length.size + size

    def _fill(self, size: int) -> None:
        """Waits until at least `size` received bytes are buffered."""
        while len(self._received) < size:
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except (OSError, ValueError) as error:  # ValueError: TLS on a socket that another greenlet has closed
                self.close()
                raise ConnectionClosedError(f"{format_address(self.peer)}: {error}") from error
            if not data:
                self.close()
                raise ConnectionClosedError(format_address(self.peer))
            self._received += data

    def _write(self) -> None:
        while not self._closed:
            self._wake.wait()
            self._wake.clear()
            data = b"".join(self._outgoing)
            self._outgoing.clear()
            self._queued_bytes = 0
            if not data:
                continue
            try:
                self._socket.sendall(data)
            except (OSError, ValueError):  # ValueError: as in `_fill`
                self.close()


def dial(address: Address, timeout: float) -> Connection:
    """Opens a connection, with a TLS handshake where the process uses TLS.

    Args:
        address: Host and port.
        timeout: Seconds for the connection, and again for the handshake.

    Raises:
        OSError: The connection or the handshake failed; TimeoutError and ssl.SSLError are subclasses of it.
    """
    sock = socket.create_connection(address, timeout=timeout)
    if _security is not None:
        sock = _with_handshake(sock, _security.wrap_client, timeout)
    sock.settimeout(None)
    return Connection(sock, address)


def _with_handshake(sock: socket.socket, wrap: Callable[[Any], Any], timeout: float) -> Any:
    """The socket after its TLS handshake; closes it and raises OSError where that fails."""
    sock.settimeout(timeout)
    try:
        return wrap(sock)
    except OSError:
        sock.close()
        raise


class Listener:
    """Accepts connections and runs `handle(connection)` in a greenlet for each.

    The connection is closed when `handle` returns or raises; a ConnectionClosedError or MessageError that it raises is
    not passed on.
    """

    def __init__(self, address: Address, handle: Callable[[Connection], None]) -> None:
        self._handle = handle
        self._server = StreamServer(address, self._serve, backlog=256)
        self._connections: set[Connection] = set()

    @property
    def address(self) -> Address:
        """Where the listener is bound, once it is started."""
        address: Address = self._server.address
        return address

    def start(self) -> None:
        """Accepts connections from now on."""
        self._server.start()

    def stop(self) -> None:
        """Accepts no more connections, and closes those that were accepted."""
        self._server.stop()
        for connection in list(self._connections):
            connection.close()

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        if _security is not None:
            try:
                sock = _with_handshake(sock, _security.wrap_server, HANDSHAKE_TIMEOUT_S)
            except OSError as error:
                log.warning("connection rejected peer=%s error=%r", format_address(peer), str(error))
                return
            sock.settimeout(None)
        connection = Connection(sock, peer)
        self._connections.add(connection)
        try:
            self._handle(connection)
        except ConnectionClosedError:
            pass
        except MessageError as error:
            log.warning("malformed message peer=%s error=%s", format_address(peer), error)
        finally:
            self._connections.discard(connection)
            connection.close()
