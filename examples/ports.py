"""Free ports for programs that are started on this machine."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

LOWEST, HIGHEST = 11_000, 31_000  # below the ports that the system gives to clients


def free_port() -> int:
    """A port that none listens on, and that no client takes before a front does."""
    while True:
        port = random.SystemRandom().randrange(LOWEST, HIGHEST)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
