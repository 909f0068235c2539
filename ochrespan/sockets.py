"""How the descriptors that the platform allows are shared out: to chunk servers, to clients and to operators."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from .control.front import MOST_CONNECTIONS as CONTROL_CONNECTIONS
from .net.listener import RESERVE, Listener

OPEN = Path("/proc/self/fd")


def in_use() -> int:
    """Descriptors that this process holds."""
    return sum(1 for _ in OPEN.iterdir())


class Sockets:
    """A third is for chunk servers. What the other process of an upgrade holds, this one cannot have."""

    def __init__(self, limit: int, controlled: bool) -> None:
        self._limit, self._taken = limit, 0
        self._kept = RESERVE + (CONTROL_CONNECTIONS if controlled else 0)

    def leave_to_others(self, descriptors: int) -> bool:
        """So many are held by other processes of this front; whether that is news."""
        was, self._taken = self._taken, min(descriptors, self._limit - self._kept)
        return was != self._taken

    @property
    def outgoing(self) -> int:
        """To chunk servers; clients may hold as many for requests, and bad ones come on top."""
        return max(1, min((self._limit - self._taken) // 3, self._room // 2))

    @property
    def _room(self) -> int:
        return self._limit - self._taken - self._kept

    def share(self, listeners: Iterable[Listener], fronts: int) -> None:
        """Bounds these listeners, of so many in all."""
        most = max(1, (self._room - self.outgoing) // fronts)
        for listener in listeners:
            listener.resize(most, self.outgoing // 2)
