"""Starts a router: the clients' address is opened first, then the router's parts are loaded.

Loading takes a good part of a second on a small machine. Connections that come meanwhile wait to be accepted, where
without a listening socket each would be refused and cost its client a try.
"""

from __future__ import annotations

import gc
import sys

from .early_listener import open_front


def main() -> int:
    """Runs a router until SIGTERM; the exit status is that of `router_process.run`.

    What is loaded lasts, so looking for garbage among it is in vain; that takes a tenth of the start.
    """
    gc.disable()
    listener = open_front()
    from .router_process import run  # after the socket is open: this is what takes its time

    gc.freeze()
    gc.enable()
    return run(listener)


if __name__ == "__main__":
    sys.exit(main())
