"""One outgoing connection to each peer process, opened when there is something to send.

Messages that can't be sent are dropped: the protocols that use the connections, mainly Raft, resend them.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections import deque

import gevent

from ochrespan.common.addresses import Address, format_address

from .codec import encode
from .tcp import Connection, ConnectionClosedError, dial

log = logging.getLogger(__name__)

DIAL_TIMEOUT_S = 0.5
DIAL_BACKOFF_S = 0.1  # after a failed attempt
QUEUED_MESSAGES = 32  # the newest ones, while the connection is being opened
PEER_TIMEOUT_S = 0.9  # without a message from the peer; the connection to it is replaced then
IDLE_CLOSE_S = 10.0


class PeerConnection:
    """The outgoing connection to one peer, reopened after it has ended. `used_at`: when a message was last sent."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.used_at = time.monotonic()
        self._connection: Connection | None = None
        self._connected_at = 0.0
        self._queue: deque[bytes] = deque(maxlen=QUEUED_MESSAGES)
        self._is_dialing = False
        self._dial_at = 0.0

    def send(self, data: bytes) -> None:
        """Sends an encoded message, or queues it while the connection is being opened. Never waits."""
        self.used_at = time.monotonic()
        if self._connection is not None and not self._connection.closed:
            with contextlib.suppress(ConnectionClosedError):
                self._connection.send_encoded(data)
            return
        self._queue.append(data)
        if not self._is_dialing and self.used_at >= self._dial_at:
            self._is_dialing = True
            gevent.spawn(self._dial)

    def close_if_timed_out(self, last_contact_at: float) -> None:
        """Closes the connection if the peer has sent nothing for PEER_TIMEOUT_S; the next message opens a new one.

        TCP retransmits data that a network fault has delayed with increasing backoff, so the next attempt may come long
        after the fault has ended. A new connection is tried at once.
        """
        now = time.monotonic()
        if self._connection is not None and now - max(last_contact_at, self._connected_at) > PEER_TIMEOUT_S:
            self.close()

    def close(self) -> None:
        """Closes the connection if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _dial(self) -> None:
        try:
            connection = dial(self.address, DIAL_TIMEOUT_S)
        except OSError as error:
            log.debug("peer unreachable peer=%s error=%s", format_address(self.address), error)
            self._dial_at = time.monotonic() + DIAL_BACKOFF_S
            return
        finally:
            self._is_dialing = False
        self._connection = connection
        self._connected_at = time.monotonic()
        queued = list(self._queue)
        self._queue.clear()
        with contextlib.suppress(ConnectionClosedError):
            for data in queued:
                connection.send_encoded(data)


class PeerConnections:
    """The outgoing connections of a process, and when each peer last sent a message."""

    def __init__(self) -> None:
        self._connections: dict[Address, PeerConnection] = {}
        self._last_contact_at: dict[Address, float] = {}

    def send(self, address: Address, value: object) -> None:
        """Sends a registered message to a peer; it may be lost."""
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = PeerConnection(address)
        connection.send(encode(value))

    def record_contact(self, address: Address) -> None:
        """Records that a message from the peer has arrived, over any connection."""
        self._last_contact_at[address] = time.monotonic()

    def maintain(self) -> None:
        """Closes the connections to peers that have timed out, and drops those that weren't used for IDLE_CLOSE_S."""
        now = time.monotonic()
        for address, connection in list(self._connections.items()):
            connection.close_if_timed_out(self._last_contact_at.get(address, 0.0))
            if now - connection.used_at > IDLE_CLOSE_S:
                connection.close()
                del self._connections[address]

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connections.values():
            connection.close()
