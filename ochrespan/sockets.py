"""How the descriptors that the platform allows are shared out: to chunk servers, to clients and to operators."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from .control.front import MAX_CONNECTIONS as CONTROL_MAX_CONNECTIONS
from .net.listener import RESERVE, Listener

DESCRIPTOR_FOLDER = Path("/proc/self/fd")


def open_descriptor_count() -> int:
    """Descriptors that this process holds."""
    return sum(1 for _ in DESCRIPTOR_FOLDER.iterdir())


class SocketBudget:
    """A third is for chunk servers. What the other process of an upgrade holds, this one cannot have."""

    def __init__(self, limit: int, controlled: bool) -> None:
        self._limit, self._used_by_others = limit, 0
        self._reserved = RESERVE + (CONTROL_MAX_CONNECTIONS if controlled else 0)

    def reserve_for_others(self, descriptors: int) -> bool:
        """So many are held by other processes of this front; whether that is news."""
        was, self._used_by_others = self._used_by_others, min(descriptors, self._limit - self._reserved)
        return was != self._used_by_others

    @property
    def outgoing(self) -> int:
        """To chunk servers; clients may hold as many for requests, and bad ones come on top."""
        return max(1, min((self._limit - self._used_by_others) // 3, self._available // 2))

    @property
    def _available(self) -> int:
        return self._limit - self._used_by_others - self._reserved

    def allocate(self, listeners: Iterable[Listener], fronts: int) -> None:
        """Bounds these listeners, of so many in all."""
        most = max(1, (self._available - self.outgoing) // fronts)
        for listener in listeners:
            listener.resize(most, self.outgoing // 2)
