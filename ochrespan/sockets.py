"""How the descriptors that the platform allows are shared out: to chunk servers, to clients and to operators."""

from __future__ import annotations

from collections.abc import Iterable

from .control.front import MOST_CONNECTIONS as CONTROL_CONNECTIONS
from .net.listener import RESERVE, Listener


class Sockets:
    """A third is for chunk servers. Two processes of an upgrade have half of everything each."""

    def __init__(self, limit: int, controlled: bool) -> None:
        self._limit = limit
        self._kept = RESERVE + (CONTROL_CONNECTIONS if controlled else 0)

    def outgoing(self, processes: int) -> int:
        """To chunk servers; clients may hold as many for requests, and bad ones come on top."""
        return self._limit // (3 * processes)

    def share(self, listeners: Iterable[Listener], fronts: int, processes: int) -> None:
        """Bounds these listeners, of so many in all."""
        outgoing = self.outgoing(processes)
        most = ((self._limit - self._kept) // processes - outgoing) // fronts
        for listener in listeners:
            listener.resize(most, outgoing // 2)
