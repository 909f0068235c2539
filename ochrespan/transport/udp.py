"""UDP datagrams that carry one typed message each."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from gevent import socket
from gevent.server import DatagramServer

from ochrespan.common.addresses import Address

from .codec import MessageError, decode, encode

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 1400  # fits an Ethernet frame with its headers, so that no datagram is fragmented


class DatagramEndpoint:
    """A UDP socket that owns its greenlets.

    Args:
        address: Where to listen; port 0 selects a free one.
        handle: Called as `handle(message, peer)` for each datagram, in a greenlet of its own. Bytes that are not a
            valid message are logged and dropped.
    """

    def __init__(self, address: Address, handle: Callable[[Any, Address], None]) -> None:
        self._handle = handle
        self._server = DatagramServer(address, self._received)

    @property
    def address(self) -> Address:
        """Where the socket is bound, once it is started."""
        address: Address = self._server.address
        return address

    def start(self) -> None:
        """Opens the socket and receives from now on."""
        self._server.start()

    def stop(self) -> None:
        """Closes the socket."""
        self._server.stop()

    def send(self, value: Any, peer: Address) -> None:
        """Sends a registered message without waiting. A message that is too large or can't be sent now is dropped."""
        data = encode(value)
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning("datagram too large bytes=%d allowed=%d", len(data), MAX_DATAGRAM_BYTES)
            return
        try:
            self._server.socket.sendto(data, socket.MSG_DONTWAIT, peer)
        except OSError as error:
            log.debug("datagram not sent peer=%s error=%s", peer, error)

    def _received(self, data: bytes, peer: Address) -> None:
        try:
            self._handle(decode(data), peer)
        except MessageError as error:
            log.warning("malformed datagram peer=%s error=%s", peer, error)
