"""Opens a router's address for clients with as little loaded as that needs.

The settings are read here without a check and only for this address. Whatever is wrong with them is found and reported
when the router reads them in full, which then opens the address itself.
"""

from __future__ import annotations

import os
import socket

import yaml

SETTINGS_VARIABLE = "OCHRESPAN_SETTINGS"
BACKLOG = 1024  # connections; the kernel may allow fewer


def open_front() -> socket.socket | None:
    """A listening socket at `listen.front` of the settings file; None where that cannot be had."""
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
