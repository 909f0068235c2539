"""Which server a request goes to: the one that keeps its prompt's shared parts, or the least loaded.

All routers rank a service's servers alike by a hash of the shared parts, so that none has to be told what a server
keeps. A server over its load bound passes what it would get on to the next of the ranking.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b

from .server_state import ServerState

LOAD_BOUND = 1.25  # multiple of the mean load up to which a server keeps its place in the ranking
LOAD_SLACK = 2.0  # in loads of a mean request: a few requests are no overload
RANKED = 8  # servers of a ranking that are kept
MOST_RANKINGS = 4096  # prefixes whose ranking is kept
OTHER_ZONE = 0.005  # s: what bytes between zones are worth


def shared_prefix(prefix: Sequence[tuple[str, int]]) -> str:
    """The key of the parts that other requests share: all but the last, which is the request's or session's own."""
    parts = prefix[:-1] or prefix
    return ",".join(part for part, _ in parts)


def _score(key: bytes, server_id: str) -> bytes:
    return blake2b(server_id.encode(), key=key, digest_size=8).digest()


class Rankings:
    """The servers of one service by rendezvous hash, for each shared prefix."""

    def __init__(self) -> None:
        self._ranked: dict[str, list[ServerState]] = {}

    def clear(self) -> None:
        self._ranked.clear()

    def of(self, key: str, servers: Iterable[ServerState]) -> list[ServerState]:
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MOST_RANKINGS:
                self._ranked.clear()
            digest = blake2b(key.encode(), digest_size=16).digest()
            ranked = sorted(servers, key=lambda server: _score(digest, server.server.id), reverse=True)[:RANKED]
            self._ranked[key] = ranked
        return ranked


def ranked_server(
    ranked: Sequence[ServerState], bound: float, usable: Callable[[ServerState], bool]
) -> ServerState | None:
    """The first of the ranking that is usable and within the bound."""
    for server in ranked:
        if server.load <= bound and usable(server):
            return server
    return None


def least_loaded(
    servers: Iterable[ServerState], now: float, zone: str, work: float, usable: Callable[[ServerState], bool]
) -> ServerState | None:
    """The usable server with the least expected time to the first piece, with a slight preference for the zone."""
    best, found = float("inf"), None
    for server in servers:
        if usable(server):
            wait = server.expected_wait(now, work) + (0.0 if server.server.zone == zone else OTHER_ZONE)
            if wait < best:
                best, found = wait, server
    return found
