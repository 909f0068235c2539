"""Starts a router: opens the listener for clients, and only then imports the rest of the router.

The imports take a good part of a second on a small machine. Connections that arrive meanwhile wait in the listener's
backlog; without a listener they would be refused, and the clients would have to retry.
"""

from __future__ import annotations

import gc
import sys

from .early_listener import open_front
from .reload_signal import ignore_until_handled


def main() -> int:
    """Runs a router until SIGTERM; the exit status is that of `router_process.run`.

    Garbage collection is disabled during the imports, because the objects that they create live as long as the process;
    this saves a tenth of the start-up time. The objects are then frozen, so that later collections skip them.
    """
    ignore_until_handled()
    gc.disable()
    listener = open_front()
    from .router_process import run  # after the listener is open: this import takes most of the start-up time

    gc.freeze()
    gc.enable()
    return run(listener)


if __name__ == "__main__":
    sys.exit(main())
