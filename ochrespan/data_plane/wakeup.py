"""The one place where a request's greenlet waits, whatever it waits for."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import getcurrent


class Wakeup:
    """Lets one greenlet wait until anything of interest to it has happened.

    Sockets, deadlines and the scheduler note what happened in state of their own and call `notify`; the greenlet looks
    at that state each time it wakes. A notification that comes while it does not wait ends its next wait at once.
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
