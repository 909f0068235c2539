"""TLS between the processes of the fleet: each shows a certificate of the fleet's own authority, and asks for one.

The files may be replaced while the process runs. Connections that are opened from then on use the new ones; where these
cannot be read, the ones in use stay.
"""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass
from typing import Any

from gevent import ssl

log = logging.getLogger(__name__)


Stamp = tuple[tuple[int, int, int], ...]  # time, size and number of each file


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """PEM files: this process's certificate (with its chain) and key, and the authority that all peers have to have."""

    certificate: str
    key: str
    authority: str

    def stamp(self) -> Stamp:
        """What changes when a file is replaced; raises OSError."""
        stats = [os.stat(path) for path in (self.certificate, self.key, self.authority)]
        return tuple((each.st_mtime_ns, each.st_size, each.st_ino) for each in stats)


class PeerSecurity:
    """The contexts for connections to and from other processes of the fleet."""

    def __init__(self, files: KeyFiles) -> None:
        """Raises OSError (ssl.SSLError among them) where the files cannot be used."""
        self._files = files
        self._load(files.stamp())

    def wrap_client(self, sock: Any) -> Any:
        """The socket of a connection that this process opened, after the handshake; raises OSError."""
        self._reload_if_changed()
        return self._client.wrap_socket(sock, server_side=False)

    def wrap_server(self, sock: Any) -> Any:
        """The socket of a connection that a peer opened, after the handshake; raises OSError."""
        self._reload_if_changed()
        return self._server.wrap_socket(sock, server_side=True)

    def _reload_if_changed(self) -> None:
        try:
            stamp = self._files.stamp()
            if stamp != self._stamp:
                self._load(stamp)
                log.info("keys for peers changed certificate=%s", self._files.certificate)
        except OSError as error:
            log.error("keys for peers not read, the old ones stay error=%r", str(error))

    def _load(self, stamp: Stamp) -> None:
        client, server = (self._context(protocol) for protocol in (ssl.PROTOCOL_TLS_CLIENT, ssl.PROTOCOL_TLS_SERVER))
        self._client, self._server, self._stamp = client, server, stamp

    def _context(self, protocol: Any) -> Any:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False  # peers are known by IP alone; that the authority signed them is what counts
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self._files.authority)
        context.load_cert_chain(self._files.certificate, self._files.key)
        return context
