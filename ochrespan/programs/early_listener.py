"""Opens a router's listener for clients before the rest of the router is imported; imports little itself.

The settings are read here without validation, and only for this address. Any fault in them is reported when the
router reads and validates them; if no listener is open by then, the router opens it itself.
"""

from __future__ import annotations

import os
import socket

SETTINGS_VARIABLE = "OCHRESPAN_SETTINGS"
BACKLOG = 1024  # connections; the kernel caps it at net.core.somaxconn


def open_front() -> socket.socket | None:
    """Opens a listening socket at `listen.front` of the settings file; the caller owns it.

    Returns:
        None if the settings name no usable address, or if it cannot be bound.
    """
    import yaml  # here, since the program ignores SIGHUP from its first statement on, and imports little before

    try:
        with open(os.environ[SETTINGS_VARIABLE], encoding="utf-8") as file:
            settings = yaml.load(file, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
        host, _, port = settings["listen"]["front"].rpartition(":")
        return _listen(host, int(port))
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError, OSError, yaml.YAMLError):
        return None


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except (OSError, OverflowError):
        listener.close()
        raise
    return listener
