"""Starts a router: the clients' address is opened first, then the router's parts are loaded.

Loading takes a good part of a second on a small machine. Connections that come meanwhile wait to be accepted, where
without a listening socket each would be refused and cost its client a try.
"""

from __future__ import annotations

import sys

from .early_listener import open_front


def main() -> int:
    """Runs a router until SIGTERM; the exit status is that of `router_process.run`."""
    listener = open_front()
    from .router_process import run  # after the socket is open: this is what takes its time

    return run(listener)


if __name__ == "__main__":
    sys.exit(main())
