"""One outgoing connection to each peer process, opened when there is something to send.

What can't be sent is dropped: the protocols above repeat it.
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
DIAL_PAUSE_S = 0.1
QUEUED_MESSAGES = 32  # kept while the connection comes up
PEER_TIMEOUT_S = 0.9  # a peer that hasn't been heard for so long gets a new connection
IDLE_CLOSE_S = 10.0


class PeerConnection:
    """Sends to one address."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.used_at = time.monotonic()
        self._connection: Connection | None = None
        self._connected_at = 0.0
        self._queue: deque[bytes] = deque(maxlen=QUEUED_MESSAGES)
        self._dialling = False
        self._dial_at = 0.0

    def send(self, data: bytes) -> None:
        self.used_at = time.monotonic()
        if self._connection is not None and not self._connection.closed:
            with contextlib.suppress(ConnectionClosedError):
                self._connection.send_encoded(data)
            return
        self._queue.append(data)
        if not self._dialling and self.used_at >= self._dial_at:
            self._dialling = True
            gevent.spawn(self._dial)

    def renew(self, heard_at: float) -> None:
        """Closes a connection over which a silent peer may never be reached again."""
        now = time.monotonic()
        if self._connection is not None and now - max(heard_at, self._connected_at) > PEER_TIMEOUT_S:
            self.close()

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _dial(self) -> None:
        try:
            connection = dial(self.address, DIAL_TIMEOUT_S)
        except OSError as error:
            log.debug("peer not reached peer=%s error=%s", format_address(self.address), error)
            self._dial_at = time.monotonic() + DIAL_PAUSE_S
            return
        finally:
            self._dialling = False
        self._connection, self._connected_at = connection, time.monotonic()
        queued, self._queue = list(self._queue), deque(maxlen=QUEUED_MESSAGES)
        with contextlib.suppress(ConnectionClosedError):
            for data in queued:
                connection.send_encoded(data)


class PeerConnections:
    """The links of a process, and when each peer was last heard."""

    def __init__(self) -> None:
        self._links: dict[Address, PeerConnection] = {}
        self._heard_at: dict[Address, float] = {}

    def send(self, address: Address, value: object) -> None:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerConnection(address)
        link.send(encode(value))

    def heard(self, address: Address) -> None:
        self._heard_at[address] = time.monotonic()

    def maintain(self) -> None:
        """Renews the connections of silent peers and forgets links that aren't used."""
        now = time.monotonic()
        for address, link in list(self._links.items()):
            link.renew(self._heard_at.get(address, 0.0))
            if now - link.used_at > IDLE_CLOSE_S:
                link.close()
                del self._links[address]

    def close(self) -> None:
        for link in self._links.values():
            link.close()
