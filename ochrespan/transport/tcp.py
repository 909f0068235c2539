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

from .codec import MessageError, decode, encode

log = logging.getLogger(__name__)


if TYPE_CHECKING:  # loaded only where the settings ask for it
    from .tls import PeerSecurity

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_QUEUED_BYTES = 16 * 1024 * 1024  # a peer that reads more slowly than this is cut off
USER_TIMEOUT_MS = 2500  # unacknowledged data ends a connection after this long
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 1, 1, 2
RECEIVE_BYTES = 64 * 1024
HANDSHAKE_TIMEOUT_S = 2.0

_security: PeerSecurity | None = None  # of all connections of this process

_length = struct.Struct(">I")


def secure_connections(security: PeerSecurity | None) -> None:
    """Connections that are opened or accepted from now on use TLS, or none."""
    global _security
    _security = security


class ConnectionClosedError(Exception):
    """The connection has ended, or its peer could not keep up."""


def set_options(sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Small messages leave at once; a silent peer is noticed within seconds, unacknowledged data after the time-out."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


class Connection:
    """One framed connection. `send` never waits; `receive` waits for the next message."""

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
        return self._closed

    def send(self, value: Any) -> None:
        """Queues a message; raises ConnectionClosedError."""
        self.send_encoded(encode(value))

    def send_encoded(self, data: bytes) -> None:
        """Queues a message that `codec.encode` has made, which may go to many connections."""
        if self._closed:
            raise ConnectionClosedError(format_address(self.peer))
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.close()
            raise ConnectionClosedError(f"{format_address(self.peer)} reads too slowly")
        self._outgoing.append(_length.pack(len(data)) + data)
        self._queued_bytes += len(data)
        self._wake.set()

    def receive(self, timeout: float | None = None) -> Any:
        """The next message. Raises ConnectionClosedError, MessageError, or TimeoutError after `timeout` seconds.

        A frame is taken whole or not at all: after a time-out the next call goes on with the bytes that have arrived.
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
        """Whether a whole message has arrived that is not received yet."""
        if len(self._received) < _length.size:
            return False
        return len(self._received) >= _length.size + _length.unpack_from(self._received)[0]

    def limit_silence(self, seconds: float) -> None:
        """Ends the connection when no byte of a message has arrived, or could be sent, for this long."""
        self._socket.settimeout(seconds)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._wake.set()
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
            self._socket.close()

    def _fill_frame(self) -> int:
        """Waits for a whole frame and gives its size, the length in front of it included; raises MessageError."""
        self._fill(_length.size)
        size = _length.unpack_from(self._received)[0]
        if size > MAX_FRAME_BYTES:
            self.close()
            raise MessageError("frame length", str(size), f"at most {MAX_FRAME_BYTES}")
        self._fill(_length.size + size)
        return _length.size + size

    def _fill(self, size: int) -> None:
        """Waits until so many bytes have arrived that no message has been made of yet."""
        while len(self._received) < size:
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except (OSError, ValueError) as error:  # ValueError: TLS on a socket that was closed meanwhile
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
            except (OSError, ValueError):
                self.close()


def dial(address: Address, timeout: float) -> Connection:
    """Opens a connection; raises OSError, TimeoutError among them."""
    sock = socket.create_connection(address, timeout=timeout)
    if _security is not None:
        sock = _with_handshake(sock, _security.wrap_client, timeout)
    sock.settimeout(None)
    return Connection(sock, address)


def _with_handshake(sock: socket.socket, wrap: Callable[[Any], Any], timeout: float) -> Any:
    """The socket after its TLS handshake; raises OSError, and closes it then."""
    sock.settimeout(timeout)
    try:
        return wrap(sock)
    except OSError:
        sock.close()
        raise


class Listener:
    """Accepts connections and runs `handle(connection)` in a greenlet for each."""

    def __init__(self, address: Address, handle: Callable[[Connection], None]) -> None:
        self._handle = handle
        self._server = StreamServer(address, self._accepted, backlog=256)
        self._connections: set[Connection] = set()

    @property
    def address(self) -> Address:
        return self._server.address

    def start(self) -> None:
        self._server.start()

    def stop(self) -> None:
        """Accepts no more, and closes what was accepted."""
        self._server.stop()
        for connection in list(self._connections):
            connection.close()

    def _accepted(self, sock: socket.socket, peer: Address) -> None:
        if _security is not None:
            try:
                sock = _with_handshake(sock, _security.wrap_server, HANDSHAKE_TIMEOUT_S)
            except OSError as error:
                log.warning("peer refused peer=%s error=%r", format_address(peer), str(error))
                return
            sock.settimeout(None)
        connection = Connection(sock, peer)
        self._connections.add(connection)
        try:
            self._handle(connection)
        except ConnectionClosedError:
            pass
        except MessageError as error:
            log.warning("bad message peer=%s error=%s", format_address(peer), error)
        finally:
            self._connections.discard(connection)
            connection.close()
