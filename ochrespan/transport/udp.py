"""Datagrams that carry one typed message each."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from gevent import socket
from gevent.server import DatagramServer

from ochrespan.common.addresses import Address

from .codec import MessageError, decode, encode

log = logging.getLogger(__name__)


MAX_DATAGRAM_BYTES = 1400


class DatagramEndpoint:
    """Runs `handle(message, peer)` for each datagram; bytes that are no message are logged and dropped."""

    def __init__(self, address: Address, handle: Callable[[Any, Address], None]) -> None:
        self._handle = handle
        self._server = DatagramServer(address, self._received)

    @property
    def address(self) -> Address:
        return self._server.address

    def start(self) -> None:
        self._server.start()

    def stop(self) -> None:
        self._server.stop()

    def send(self, value: Any, peer: Address) -> None:
        """Sends a message if the link takes it now; a datagram may be lost like any other."""
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
            log.warning("bad datagram peer=%s error=%s", peer, error)
