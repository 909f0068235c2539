"""Faults of the links between processes: cut, or slow.

Each process reads the present faults from a file that the test rewrites. Both ends of a link are such processes, and
each holds back what it sends, so that a cut affects both directions. A process binds its outgoing connections to its
own address, by which the other end knows the link.
"""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path
from time import monotonic
from typing import Any

import gevent
from gevent import socket

from ochrespan.common.addresses import Address
from ochrespan.transport import tcp
from ochrespan.transport.udp import DatagramEndpoint

CHECK_INTERVAL_S = 0.02
UNACKNOWLEDGED_S = tcp.USER_TIMEOUT_MS / 1000  # data that a cut holds back for longer ends the connection

create_connection = socket.create_connection


class LinkFaults:
    """The faults in the file, as seen from the process at `ip`."""

    def __init__(self, file: Path, ip: str) -> None:
        self.ip = ip
        self._file = file
        self._modified_ns = 0
        self._read_at = float("-inf")
        self._cut: set[str] = set()
        self._delays_s: dict[str, float] = {}

    def is_cut(self, peer: str) -> bool:
        """Whether nothing passes between this process and `peer`."""
        self._refresh()
        return peer in self._cut

    def delay_s(self, peer: str) -> float:
        """Seconds by which what is sent to `peer` is late."""
        self._refresh()
        return self._delays_s.get(peer, 0.0)

    def _refresh(self) -> None:
        if monotonic() - self._read_at < CHECK_INTERVAL_S:
            return
        self._read_at = monotonic()
        if (modified_ns := self._file.stat().st_mtime_ns) == self._modified_ns:
            return
        self._modified_ns = modified_ns
        document = json.loads(self._file.read_text())
        self._cut = {peer for link in document["cut"] if self.ip in link for peer in link if peer != self.ip}
        self._delays_s = {
            peer: delay_s for *link, delay_s in document["slow"] if self.ip in link for peer in link if peer != self.ip
        }


class FaultySocket:
    """A connected socket whose sends wait while its link is cut, and are late while it is slow."""

    def __init__(self, sock: Any, peer: str, faults: LinkFaults) -> None:
        self._socket = sock
        self._peer = peer
        self._faults = faults

    def sendall(self, data: bytes) -> None:
        """Sends `data` once the link lets it pass; raises OSError if that takes as long as TCP would wait."""
        gevent.sleep(self._faults.delay_s(self._peer))
        deadline = monotonic() + UNACKNOWLEDGED_S
        while self._faults.is_cut(self._peer):
            if monotonic() > deadline:
                raise TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))
            gevent.sleep(CHECK_INTERVAL_S)
        self._socket.sendall(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)


def install(faults: LinkFaults) -> None:
    """Makes the connections and datagrams of this process subject to the faults."""

    def connect(address: Address, timeout: float) -> Any:
        if faults.is_cut(address[0]):
            gevent.sleep(timeout)
            raise TimeoutError("timed out")
        gevent.sleep(faults.delay_s(address[0]))
        return create_connection(address, timeout=timeout, source_address=(faults.ip, 0))

    connection_init = tcp.Connection.__init__
    datagram_send = DatagramEndpoint.send

    def init(connection: tcp.Connection, sock: Any, peer: Address) -> None:
        connection_init(connection, FaultySocket(sock, peer[0], faults), peer)

    def send(endpoint: DatagramEndpoint, value: Any, peer: Address) -> None:
        if faults.is_cut(peer[0]):
            return
        if delay_s := faults.delay_s(peer[0]):
            gevent.spawn_later(delay_s, datagram_send, endpoint, value, peer)
        else:
            datagram_send(endpoint, value, peer)

    socket.create_connection = connect
    tcp.Connection.__init__ = init
    DatagramEndpoint.send = send
