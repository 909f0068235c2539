"""Selects the server of a request: the one with the lowest expected time to the first chunk.

All routers rank the servers of a service in the same order, by rendezvous hashing of a prompt's shared prefix, and
assume that the first in the ranking has the prefix cached; this needs no communication. Any other server first has to
prefill the prefix, which delays its other requests too. A request therefore leaves its preferred server only if the
wait there is expected to cost more than that prefill. This bounds the load of a server by the load of the others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nlargest

from .decision_record import ANY, HOME, MOVED
from .prefill_times import PrefillTimes, compute_prefill_cost
from .server_state import ServerState

CACHE_MISS_FACTOR = (
    10.0  # cost of a prefix prefill as a multiple of its duration: other requests at the server wait too
)
MAX_WAIT_FRACTION = 0.25  # cap of the expected wait that counts for a shared prefix, over the latency target
IN_FLIGHT_COST_S = 0.0005  # by which each request in flight slows a new one down
CROSS_ZONE_COST_S = 0.003  # latency that is accepted to avoid traffic between zones
NEW_CONNECTION_FRACTION = 0.1  # cost of opening a connection, over the latency target
AFFINITY_SERVERS = 3  # highest-ranked healthy servers that a prompt with a shared prefix may go to
RANKED_SERVERS = 4  # servers stored per ranking; the surplus replaces unhealthy ones
MAX_CACHED_RANKINGS = 4096  # prefixes whose ranking is cached
MASK_64_BITS = 2**64 - 1


def shared_prefix(prefix: Sequence[tuple[str, int]]) -> str:
    """Returns the key of the shared prefix: all segments but the last, which belongs to one request or session."""
    segments = prefix[:-1] or prefix
    return ",".join(segment for segment, _ in segments)


class Rankings:
    """Rendezvous-hash rankings of the servers of one service, by shared prefix."""

    def __init__(self) -> None:
        self._ranked: dict[str, list[ServerState]] = {}
        self._server_hashes: list[tuple[int, ServerState]] = []

    def set_servers(self, servers: Iterable[ServerState]) -> None:
        self._ranked.clear()
        self._server_hashes = [(_hash(server.server.id), server) for server in servers]

    def ranked_servers(self, key: str) -> list[ServerState]:
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MAX_CACHED_RANKINGS:
                self._ranked.clear()
            key_hash = _hash(key)
            scores = (
                (_mix(key_hash ^ server_hash), position)
                for position, (server_hash, _) in enumerate(self._server_hashes)
            )
            ranked = [self._server_hashes[position][1] for _, position in nlargest(RANKED_SERVERS, scores)]
            self._ranked[key] = ranked
        return ranked


def _hash(text: str) -> int:
    """A hash that is the same in all routers, unlike the seeded `hash` of Python."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _mix(bits: int) -> int:
    """Mixes the combined hash of a key and a server into a score (finalizer of splitmix64)."""
    bits = ((bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64_BITS
    bits = ((bits ^ (bits >> 27)) * 0x94D049BB133111EB) & MASK_64_BITS
    return bits ^ (bits >> 31)


@dataclass(slots=True)
class Prompt:
    """The properties of a request that placement depends on."""

    prefix_key: str  # of the shared prefix; empty if there is none
    shared_tokens: int  # in the shared prefix
    own_tokens: int  # after the shared prefix
    latency_target_s: float
    route: str
    affinity_server_id: str = ""  # the server assigned to the shared prefix; empty if unknown
    is_prefix_uncached: bool = False  # no server is known to have the shared prefix cached

    def prefill_cost(self, is_cached: bool) -> float:
        """Returns the cost of the prefill, in the unit of `compute_prefill_cost`."""
        return (
            compute_prefill_cost(self.shared_tokens, self.own_tokens)
            if is_cached
            else compute_prefill_cost(0, self.shared_tokens + self.own_tokens)
        )


class Placement:
    """Selects among the servers of one service."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._rankings = Rankings()
        self._servers: list[ServerState] = []
        self._by_id: dict[str, ServerState] = {}
        self.prefill_times = PrefillTimes()

    def set_servers(self, servers: list[ServerState]) -> None:
        if [server.server.id for server in servers] != [server.server.id for server in self._servers]:
            self._rankings.set_servers(servers)
        self._servers = servers
        self._by_id = {server.server.id: server for server in servers}

    def is_prefix_cached(self, now: float, server: ServerState, prompt: Prompt) -> bool:
        """Returns whether the server is assumed to have the shared prefix of the prompt cached."""
        if not prompt.shared_tokens:
            return True
        return server.has_cached(prompt.prefix_key, now) or (
            not prompt.is_prefix_uncached and self._ranked(prompt)[0] is server
        )

    def choice_label(self, prompt: Prompt, server: ServerState) -> str:
        """Returns why a request is sent to this server, for its decision record."""
        if not prompt.shared_tokens:
            return ANY
        ranked = self._ranked(prompt)
        if ranked[0] is server:
            return HOME
        return MOVED if server in ranked else ANY

    def select(
        self, now: float, prompt: Prompt, tried_ids: Sequence[str], is_usable: Callable[[ServerState], bool]
    ) -> ServerState | None:
        """Returns the server with the lowest expected time among those not tried yet, if it is usable now.

        A prompt with a shared prefix waits for that server instead of going where the prefix is not cached; one
        without goes to any usable server.
        """
        if not prompt.shared_tokens:
            return self.select_any(now, prompt, tried_ids, is_usable)
        ranked = self._ranked(prompt)
        candidates = [s for s in ranked if s.is_healthy(now) and s.server.id not in tried_ids][:AFFINITY_SERVERS]
        if not candidates:
            return self.select_any(now, prompt, tried_ids, is_usable)
        selected = self._select_cheapest(now, prompt, candidates)
        return selected if selected is not None and is_usable(selected) else None

    def _ranked(self, prompt: Prompt) -> list[ServerState]:
        """Returns the servers for a prompt in order: the one assigned to its prefix, if known, then by the hash."""
        ranked = self._rankings.ranked_servers(prompt.prefix_key)
        affinity_server = self._by_id.get(prompt.affinity_server_id)
        return (
            [affinity_server, *(server for server in ranked if server is not affinity_server)]
            if affinity_server is not None
            else ranked
        )

    def select_any(
        self, now: float, prompt: Prompt, tried_ids: Sequence[str], is_usable: Callable[[ServerState], bool]
    ) -> ServerState | None:
        """Returns the usable server with the lowest expected time, wherever the shared prefix is cached."""
        return self._select_cheapest(
            now, prompt, [s for s in self._servers if is_usable(s) and s.server.id not in tried_ids]
        )

    def _select_cheapest(self, now: float, prompt: Prompt, servers: Iterable[ServerState]) -> ServerState | None:
        cached_cost_s, uncached_cost_s = self._costs(prompt)
        lowest_cost_s, selected = float("inf"), None
        for position, server in enumerate(servers):
            is_cached = not (prompt.shared_tokens and position) or server.has_cached(prompt.prefix_key, now)
            cost_s = (cached_cost_s if is_cached else uncached_cost_s) * server.slow_start_factor(now)
            cost_s += (
                min(server.queue_wait(now), MAX_WAIT_FRACTION * prompt.latency_target_s)
                if prompt.shared_tokens
                else server.queue_wait(now)
            )
            cost_s += IN_FLIGHT_COST_S * len(server.in_flight) + self._fixed_costs(now, server, prompt)
            if cost_s < lowest_cost_s:
                lowest_cost_s, selected = cost_s, server
        return selected

    def _costs(self, prompt: Prompt) -> tuple[float, float]:
        """Returns the cost of the prefill, in seconds, with the shared prefix cached and with it not cached."""
        cached, uncached = prompt.prefill_cost(True), prompt.prefill_cost(False)
        return self.prefill_times.prefill_s_per_cost_unit * cached, self.prefill_times.prefill_s_per_cost_unit * (
            cached + CACHE_MISS_FACTOR * (uncached - cached)
        )

    def _fixed_costs(self, now: float, server: ServerState, prompt: Prompt) -> float:
        """Returns the costs of the zone and of a new connection, in seconds."""
        zone = 0.0 if server.server.zone == self._zone else CROSS_ZONE_COST_S
        return zone + (0.0 if server.has_connection(now) else NEW_CONNECTION_FRACTION * prompt.latency_target_s)
