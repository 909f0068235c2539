"""Free ports for programs that are started on this machine."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

MIN_PORT, PORT_LIMIT = 11_000, 31_000  # exclusive limit; below the ephemeral ports that the system assigns to clients


def free_port() -> int:
    """A port without a listener, outside the ephemeral range so that no client takes it before a front binds it."""
    while True:
        port = random.SystemRandom().randrange(MIN_PORT, PORT_LIMIT)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
