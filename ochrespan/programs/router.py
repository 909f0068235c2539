"""Starts a router: opens the listener for clients first, and then imports the rest of the router.

The imports take a good part of a second on a small machine. Connections that arrive meanwhile wait in the listener's
backlog, where without a listener each would be refused and its client would have to retry.
"""

from __future__ import annotations

import gc
import sys

from .early_listener import open_front


def main() -> int:
    """Runs a router until SIGTERM; the exit status is that of `router_process.run`.

    Garbage collection is off during the imports, whose objects live as long as the process; that saves a tenth of the
    start. They are frozen then, so that later collections skip them.
    """
    gc.disable()
    listener = open_front()
    from .router_process import run  # after the listener is open: this import takes most of the start

    gc.freeze()
    gc.enable()
    return run(listener)


if __name__ == "__main__":
    sys.exit(main())
