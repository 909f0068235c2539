"""Which server a request goes to: the one with the least expected time to the first piece.

All routers rank a service's servers alike by a hash of a prompt's shared parts, and take the first of the ranking for
the one that keeps them; none has to be told. Another server has to read these parts first, which holds up its other
requests too: so a request leaves its place in the ranking where the wait there is longer than that is worth. This
bounds a server's load by what the others have.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nlargest

from .decision_record import ANY, HOME, MOVED
from .prefill_times import ReadingTimes, token_cost
from .server_state import ServerState

MOVE_COST = 10.0  # multiple of the time for reading shared parts at another server: its neighbours wait as well
WORTH_MOVING = 0.25  # part of the aim that leaving a wait behind is worth at the most, however long it seems
SLOT_COST = 0.0005  # s, what each request that is out slows a new one down
OTHER_ZONE = 0.003  # s: what bytes between zones are worth
NEW_CONNECTION = 0.1  # part of the aim: what opening a connection is worth
HOMES = 3  # servers of a ranking among which a prefix is placed
RANKED = 4  # servers of a ranking that are kept
MOST_RANKINGS = 4096  # prefixes whose ranking is kept
MASK = 2**64 - 1


def shared_prefix(prefix: Sequence[tuple[str, int]]) -> str:
    """The key of the parts that other requests share: all but the last, which is the request's or session's own."""
    parts = prefix[:-1] or prefix
    return ",".join(part for part, _ in parts)


class Rankings:
    """The servers of one service by rendezvous hash, for each shared prefix."""

    def __init__(self) -> None:
        self._ranked: dict[str, list[ServerState]] = {}
        self._hashed: list[tuple[int, ServerState]] = []

    def set_servers(self, servers: Iterable[ServerState]) -> None:
        self._ranked.clear()
        self._hashed = [(_hash(server.server.id), server) for server in servers]

    def of(self, key: str) -> list[ServerState]:
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MOST_RANKINGS:
                self._ranked.clear()
            mine = _hash(key)
            scored = ((_mix(mine ^ hashed), place) for place, (hashed, _) in enumerate(self._hashed))
            ranked = [self._hashed[place][1] for _, place in nlargest(RANKED, scored)]
            self._ranked[key] = ranked
        return ranked


def _hash(text: str) -> int:
    """The same at every router, whatever its Python's own hashes are."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _mix(bits: int) -> int:
    """Spreads the bits of a key and a server over a score, as splitmix64 does."""
    bits = ((bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    bits = ((bits ^ (bits >> 27)) * 0x94D049BB133111EB) & MASK
    return bits ^ (bits >> 31)


@dataclass(slots=True)
class Prompt:
    """What placement has to know of a request."""

    key: str  # of its shared parts; empty where it has none
    shared: int  # tokens of these
    own: int  # further tokens
    aim: float
    route: str
    home: str = ""  # the server that keeps the shared parts, where that is known
    is_unread: bool = False  # no server is known to have read them

    def cost(self, kept: bool) -> float:
        """Of reading it, as `token_cost` has it."""
        return token_cost(self.shared, self.own) if kept else token_cost(0, self.shared + self.own)


class Placement:
    """Chooses among the servers of one service."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._rankings = Rankings()
        self._servers: list[ServerState] = []
        self._by_id: dict[str, ServerState] = {}
        self.times = ReadingTimes()

    def set_servers(self, servers: list[ServerState]) -> None:
        if [server.server.id for server in servers] != [server.server.id for server in self._servers]:
            self._rankings.set_servers(servers)
        self._servers = servers
        self._by_id = {server.server.id: server for server in servers}

    def is_kept(self, now: float, server: ServerState, prompt: Prompt) -> bool:
        """Whether the server is taken to have the shared parts of the prompt in memory."""
        if not prompt.shared:
            return True
        return server.keeps(prompt.key, now) or (not prompt.is_unread and self._ranked(prompt)[0] is server)

    def choice(self, prompt: Prompt, server: ServerState) -> str:
        """Why a request went to this server, for its record."""
        if not prompt.shared:
            return ANY
        ranked = self._ranked(prompt)
        if ranked[0] is server:
            return HOME
        return MOVED if server in ranked else ANY

    def best(
        self, now: float, prompt: Prompt, tried: Sequence[str], usable: Callable[[ServerState], bool]
    ) -> ServerState | None:
        """The server with the least expected time of those not tried yet, if it is usable now.

        A prompt with shared parts waits for its server rather than go where these would be read once more; one
        without goes to any that is usable.
        """
        if not prompt.shared:
            return self.any(now, prompt, tried, usable)
        ranked = self._ranked(prompt)
        homes = [server for server in ranked if server.is_healthy(now) and server.server.id not in tried][:HOMES]
        if not homes:
            return self.any(now, prompt, tried, usable)
        found = self._least(now, prompt, homes)
        return found if found is not None and usable(found) else None

    def _ranked(self, prompt: Prompt) -> list[ServerState]:
        """The servers for a prompt in order: the one that is known to keep it, then by the hash."""
        ranked = self._rankings.of(prompt.key)
        home = self._by_id.get(prompt.home)
        return [home, *(server for server in ranked if server is not home)] if home is not None else ranked

    def any(
        self, now: float, prompt: Prompt, tried: Sequence[str], usable: Callable[[ServerState], bool]
    ) -> ServerState | None:
        """The usable server with the least expected time, wherever the shared parts are."""
        return self._least(now, prompt, [s for s in self._servers if usable(s) and s.server.id not in tried])

    def _least(self, now: float, prompt: Prompt, servers: Iterable[ServerState]) -> ServerState | None:
        kept_cost, move_cost = self._costs(prompt)
        least, found = float("inf"), None
        for place, server in enumerate(servers):
            kept = not (prompt.shared and place) or server.keeps(prompt.key, now)
            time = (kept_cost if kept else move_cost) * server.slowness(now)
            time += min(server.queue_wait(now), WORTH_MOVING * prompt.aim) if prompt.shared else server.queue_wait(now)
            time += SLOT_COST * len(server.out) + self._extras(now, server, prompt)
            if time < least:
                least, found = time, server
        return found

    def _costs(self, prompt: Prompt) -> tuple[float, float]:
        kept, moved = prompt.cost(True), prompt.cost(False)
        return self.times.pace * kept, self.times.pace * (kept + MOVE_COST * (moved - kept))

    def _extras(self, now: float, server: ServerState, prompt: Prompt) -> float:
        zone = 0.0 if server.server.zone == self._zone else OTHER_ZONE
        return zone + (0.0 if server.has_connection(now) else NEW_CONNECTION * prompt.aim)
