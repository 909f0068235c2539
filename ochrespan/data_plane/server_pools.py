"""The connection pools of all servers in the routing table, by instance id."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .connection_pool import ServerPool
from .deadlines import DeadlineHeap
from .decisions import Server

DEFAULT_CONNECTIONS = 64  # per server, if its service sets no limit


class ServerPools:
    """One connection pool per server instance."""

    def __init__(self, deadlines: DeadlineHeap) -> None:
        self._deadlines = deadlines
        self._routers = 1
        self._pools: dict[str, ServerPool] = {}
        self._max_connections: dict[str, int] = {}  # connections each server accepts from all routers
        self._ids: dict[str, set[str]] = {}  # by service

    def set_servers(self, servers: Iterable[Server], routers: int, services: Collection[str] | None = None) -> None:
        """Replaces the servers of `services` (None: all): opens pools for new instances, closes the others."""
        if services is None:
            services = list(self._ids)
        ids: dict[str, set[str]] = {service: set() for service in services}
        routers_changed, self._routers = routers != self._routers, routers
        for server in servers:
            ids.setdefault(server.service, set()).add(server.id)
            self._set_server(server)
        for service, current in ids.items():
            for removed in self._ids.get(service, set()) - current:
                self._remove(removed)
            self._ids[service] = current
        if routers_changed:
            for server_id, pool in self._pools.items():
                pool.max_connections = _connection_limit(self._max_connections[server_id], routers)

    def get(self, server_id: str) -> ServerPool | None:
        return self._pools.get(server_id)

    def close(self) -> None:
        for pool in self._pools.values():
            pool.close()

    def _set_server(self, server: Server) -> None:
        pool = self._pools.get(server.id)
        if pool is not None and pool.address != server.address:
            pool.close()
            pool = None
        max_connections = _connection_limit(server.max_connections, self._routers)
        if pool is None:
            pool = self._pools[server.id] = ServerPool(server.address, max_connections, self._deadlines)
        pool.max_connections = max_connections
        self._max_connections[server.id] = server.max_connections

    def _remove(self, server_id: str) -> None:
        self._pools.pop(server_id).close()
        del self._max_connections[server_id]


def _connection_limit(max_connections: int, routers: int) -> int:
    """This router's quota of the connections that a server accepts from all routers."""
    if not max_connections:
        return DEFAULT_CONNECTIONS
    return max(1, max_connections // max(1, routers))
