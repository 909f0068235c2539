"""The only primitive on which a request's greenlet waits, for sockets, deadlines and scheduler decisions alike."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import getcurrent


class Wakeup:
    """Lets one greenlet wait for any of several events.

    Sockets, deadlines and the scheduler store what happened in their own state and call `notify`; the greenlet checks
    that state each time it wakes. A notification that arrives while it does not wait ends its next wait immediately.
    """

    __slots__ = ("_hub", "_greenlet", "_notified", "_resuming")

    def __init__(self) -> None:
        self._hub = gevent.get_hub()
        self._greenlet: Any = None
        self._notified = False
        self._resuming = False

    def wait(self) -> None:
        """Waits for the next notification."""
        if not self._notified:
            self._greenlet = getcurrent()
            try:
                self._hub.switch()
            finally:
                self._greenlet = None
        self._notified = False

    def notify(self) -> None:
        """May be called from any greenlet and from callbacks of the event loop."""
        self._notified = True
        if self._greenlet is not None and not self._resuming:
            self._resuming = True
            self._hub.loop.run_callback(self._resume)

    def _resume(self) -> None:
        self._resuming = False
        if self._greenlet is not None:
            self._greenlet.switch()
