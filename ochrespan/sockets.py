"""Allocation of the platform's descriptor limit to connections with chunk servers, clients and operators."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from .control.front import MAX_CONNECTIONS as CONTROL_MAX_CONNECTIONS
from .net.listener import RESERVED_DESCRIPTORS, Listener

DESCRIPTOR_FOLDER = Path("/proc/self/fd")


def open_descriptor_count() -> int:
    """The number of open descriptors of this process."""
    return sum(1 for _ in DESCRIPTOR_FOLDER.iterdir())


class SocketBudget:
    """At most a third goes to chunk servers. Descriptors of the other process of an upgrade are deducted."""

    def __init__(self, limit: int, controlled: bool) -> None:
        self._limit, self._used_by_others = limit, 0
        self._reserved = RESERVED_DESCRIPTORS + (CONTROL_MAX_CONNECTIONS if controlled else 0)

    def reserve_for_others(self, descriptors: int) -> bool:
        """Deducts the descriptors of the other processes of this front; returns whether the number changed."""
        previous, self._used_by_others = self._used_by_others, min(descriptors, self._limit - self._reserved)
        return previous != self._used_by_others

    @property
    def outgoing(self) -> int:
        """Limit of connections to chunk servers; clients may use as many for requests, and misbehaving ones more."""
        return max(1, min((self._limit - self._used_by_others) // 3, self._available // 2))

    @property
    def _available(self) -> int:
        return self._limit - self._used_by_others - self._reserved

    def allocate(self, listeners: Iterable[Listener], fronts: int) -> None:
        """Sets the connection limits of these listeners; `fronts`: the number of all listeners that share the limit."""
        limit = max(1, (self._available - self.outgoing) // fronts)
        for listener in listeners:
            listener.resize(limit, self.outgoing // 2)
