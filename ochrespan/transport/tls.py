"""Mutual TLS between the processes of the fleet: each presents a certificate signed by the fleet's authority.

The files may be replaced while the process runs. Connections that are opened from then on use the new ones; if these
cannot be read, the previous ones stay in use.
"""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass
from typing import Any

from gevent import ssl

log = logging.getLogger(__name__)

FileVersions = tuple[tuple[int, int, int], ...]  # modification time in ns, size and inode of each file


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """PEM files: this process's certificate with its chain, its private key, and the authority of all certificates."""

    certificate: str
    key: str
    authority: str

    def versions(self) -> FileVersions:
        """A value that changes when a file is replaced. Raises OSError."""
        stats = [os.stat(path) for path in (self.certificate, self.key, self.authority)]
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)


class MutualTls:
    """The TLS contexts for connections to and from other processes of the fleet.

    Args:
        files: Read here, and again before a handshake when they have changed.

    Raises:
        OSError: The files cannot be used (ssl.SSLError is one).
    """

    def __init__(self, files: CertificateFiles) -> None:
        self._files = files
        self._load(files.versions())

    def wrap_client(self, sock: Any) -> Any:
        """The socket of a connection that this process opened, after the handshake; raises OSError."""
        self._reload_if_changed()
        return self._client_context.wrap_socket(sock, server_side=False)

    def wrap_server(self, sock: Any) -> Any:
        """The socket of a connection that a peer opened, after the handshake; raises OSError."""
        self._reload_if_changed()
        return self._server_context.wrap_socket(sock, server_side=True)

    def _reload_if_changed(self) -> None:
        try:
            versions = self._files.versions()
            if versions != self._versions:
                self._load(versions)
                log.info("peer certificates reloaded certificate=%s", self._files.certificate)
        except OSError as error:
            log.error("peer certificates not reloaded, the previous ones stay error=%r", str(error))

    def _load(self, versions: FileVersions) -> None:
        """Replaces both contexts, or neither: a file that cannot be read raises OSError first."""
        client_context = self._context(ssl.PROTOCOL_TLS_CLIENT)
        server_context = self._context(ssl.PROTOCOL_TLS_SERVER)
        self._client_context = client_context
        self._server_context = server_context
        self._versions = versions

    def _context(self, protocol: Any) -> Any:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False  # peers have no host names; a certificate of the authority is required instead
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self._files.authority)
        context.load_cert_chain(self._files.certificate, self._files.key)
        return context
