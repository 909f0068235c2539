"""Which controller a router follows: near ones first, spread by a hash, with a back-off for those that failed. Pure."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ochrespan.common.addresses import Address, format_address

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MIN_CONNECT_TIMEOUT_S = 0.25
MAX_CONNECT_TIMEOUT_S = 1.0
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.6
CONTROLLER_TTL_S = 600.0


@dataclass(slots=True)
class _Candidate:
    zone: str = ""
    is_seed: bool = False
    told_at: float = 0.0
    failures: int = 0
    not_before: float = 0.0


class ControllerChoice:
    """The controllers that a router knows of, from its seeds and from the feed."""

    def __init__(self, node: str, zone: str, seeds: Iterable[Address]) -> None:
        self._node = node
        self._zone = zone
        self._candidates: dict[Address, _Candidate] = {}
        self.add_seeds(seeds)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """The seeds of the settings; those of earlier settings are kept as told by the feed."""
        for candidate in self._candidates.values():
            candidate.is_seed = False
        for address in seeds:
            self._candidates.setdefault(address, _Candidate()).is_seed = True

    def told(self, zones: Mapping[Address, str], now: float) -> None:
        """The feed names the present controllers and their zones."""
        for address, zone in zones.items():
            candidate = self._candidates.setdefault(address, _Candidate())
            candidate.zone, candidate.told_at = zone, now
        for address, candidate in list(self._candidates.items()):
            if not candidate.is_seed and now - candidate.told_at > CONTROLLER_TTL_S:
                del self._candidates[address]

    def best(self, now: float) -> Address:
        """The controller to try next: one that need not rest, near, and drawn by the hash of the router's name."""
        return min(self._candidates, key=lambda address: self._rank(address, now))

    def is_nearer_than(self, current: Address, now: float) -> bool:
        """Whether there is a controller in this router's zone that need not rest, while `current` is in another."""
        best = self.best(now)
        at_hand = self._candidates[best]
        return at_hand.zone == self._zone != self._candidates[current].zone and at_hand.not_before <= now

    def another_has_rested(self, current: Address, now: float) -> bool:
        """Whether a controller other than `current` may be tried now."""
        return any(
            address != current and candidate.not_before <= now for address, candidate in self._candidates.items()
        )

    def failed(self, address: Address, now: float, draw: float) -> None:
        """The controller did not serve; `draw` from 0 to 1 spreads the routers' next tries."""
        candidate = self._candidates[address]
        candidate.failures += 1
        back_off = min(MIN_BACKOFF_S * 2 ** min(candidate.failures, 10), MAX_BACKOFF_S)
        candidate.not_before = now + back_off * (0.5 + draw / 2)

    def connect_timeout(self, address: Address) -> float:
        """How long to wait for a connection: a machine that is down says nothing, while another may be up already."""
        failures = min(self._candidates[address].failures, 10)
        return min(MIN_CONNECT_TIMEOUT_S * 2**failures, MAX_CONNECT_TIMEOUT_S)

    def succeeded(self, address: Address) -> None:
        """The controller serves well."""
        self._candidates[address].failures = 0

    def pause(self, now: float, draw: float) -> float:
        """How long to wait before the next try."""
        rest = self._candidates[self.best(now)].not_before - now
        return max(MIN_PAUSE_S, min(rest, MAX_PAUSE_S)) * (0.5 + draw / 2)

    def _rank(self, address: Address, now: float) -> tuple[float, bool, bytes]:
        candidate = self._candidates[address]
        rest = max(0.0, candidate.not_before - now)
        return rest, candidate.zone != self._zone, self._draw(address)

    def _draw(self, address: Address) -> bytes:
        """A number for this router and the controller; a checksum would put all routers in nearly the same order."""
        return hashlib.blake2b(f"{self._node} {format_address(address)}".encode(), digest_size=8).digest()
