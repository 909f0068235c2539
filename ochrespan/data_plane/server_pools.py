"""The connection pools of all servers of the routing table, by the ids of their instances."""

from __future__ import annotations

from collections.abc import Iterable

from .connection_pool import ServerPool
from .deadlines import DeadlineHeap
from .decisions import Server

DEFAULT_CONNECTIONS = 64  # to one server, where its service names no limit


class ServerPools:
    """Keeps one pool for each incarnation of a server."""

    def __init__(self, deadlines: DeadlineHeap) -> None:
        self._deadlines = deadlines
        self._pools: dict[str, ServerPool] = {}

    def set_servers(self, servers: Iterable[Server], routers: int) -> None:
        """Opens pools for new incarnations and closes those of incarnations that are gone."""
        fresh: dict[str, ServerPool] = {}
        for server in servers:
            pool = self._pools.pop(server.id, None)
            if pool is not None and pool.address != server.address:
                pool.close()
                pool = None
            limit = _share(server.max_connections, routers)
            if pool is None:
                pool = ServerPool(server.address, limit, self._deadlines)
            pool.limit = limit
            fresh[server.id] = pool
        for gone in self._pools.values():
            gone.close()
        self._pools = fresh

    def of(self, server_id: str) -> ServerPool | None:
        return self._pools.get(server_id)

    def close(self) -> None:
        for pool in self._pools.values():
            pool.close()


def _share(max_connections: int, routers: int) -> int:
    """This router's part of the connections that a server accepts from all callers together."""
    if not max_connections:
        return DEFAULT_CONNECTIONS
    return max(1, max_connections // max(1, routers))
