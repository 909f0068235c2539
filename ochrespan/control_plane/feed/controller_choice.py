"""Which controller a router follows: one in its own zone first, spread by a hash, with a back-off after failures.

Pure: the time is an argument, in seconds of a monotonic clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ochrespan.common.addresses import Address, format_address

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MIN_CONNECT_TIMEOUT_S = 0.25
MAX_CONNECT_TIMEOUT_S = 1.0
MIN_RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.6
CONTROLLER_TTL_S = 600.0
_MAX_DOUBLINGS = 10  # of a back-off or time-out; bounds the exponent, the maximum is reached earlier


@dataclass(slots=True)
class _Candidate:
    """A controller that the router may connect to."""

    zone: str = ""
    is_seed: bool = False
    named_at: float = 0.0  # when the feed or membership last listed it
    failures: int = 0  # consecutive ones
    backoff_until: float = 0.0


class ControllerChoice:
    """Ranks the controllers that a router knows from its seeds, the feed and membership.

    Args:
        node: The router's node name.
        zone: The router's zone.
        seeds: The controllers that the settings name.
    """

    def __init__(self, node: str, zone: str, seeds: Iterable[Address]) -> None:
        self._node_name = node
        self._zone = zone
        self._candidates: dict[Address, _Candidate] = {}
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Sets the seeds; former seeds expire like other controllers that are no longer listed."""
        for candidate in self._candidates.values():
            candidate.is_seed = False
        for address in seeds:
            self._candidates.setdefault(address, _Candidate()).is_seed = True

    def update(self, zones: Mapping[Address, str], now: float) -> None:
        """Adds the present controllers with their zones; drops those that were not listed for CONTROLLER_TTL_S."""
        for address, zone in zones.items():
            candidate = self._candidates.setdefault(address, _Candidate())
            candidate.zone = zone
            candidate.named_at = now
        for address, candidate in list(self._candidates.items()):
            if not candidate.is_seed and now - candidate.named_at > CONTROLLER_TTL_S:
                del self._candidates[address]

    def best(self, now: float) -> Address:
        """The controller to try next: by remaining back-off, then the router's own zone first, then by the hash."""
        return min(self._candidates, key=lambda address: self._rank(address, now))

    def is_nearer_available(self, current: Address, now: float) -> bool:
        """Whether a controller in the router's zone is out of back-off while `current` is in another zone."""
        best = self._candidates[self.best(now)]
        return best.zone == self._zone != self._candidates[current].zone and best.backoff_until <= now

    def is_other_available(self, current: Address, now: float) -> bool:
        """Whether a controller other than `current` is out of back-off."""
        return any(
            address != current and candidate.backoff_until <= now for address, candidate in self._candidates.items()
        )

    def record_failure(self, address: Address, now: float, jitter: float) -> None:
        """Starts an exponential back-off; `jitter` from 0 to 1 spreads the routers' retries."""
        candidate = self._candidates[address]
        candidate.failures += 1
        backoff_s = min(MIN_BACKOFF_S * 2.0 ** min(candidate.failures, _MAX_DOUBLINGS), MAX_BACKOFF_S)
        candidate.backoff_until = now + backoff_s * (0.5 + jitter / 2)

    def record_success(self, address: Address) -> None:
        """Resets the failure count of a controller whose feed is current."""
        self._candidates[address].failures = 0

    def connect_timeout_s(self, address: Address) -> float:
        """The seconds to wait for a connection.

        Short at first: a machine that is down does not respond, and another controller may be up. Doubles with each
        failure, since the link may be slow.
        """
        failures = min(self._candidates[address].failures, _MAX_DOUBLINGS)
        return min(MIN_CONNECT_TIMEOUT_S * 2.0**failures, MAX_CONNECT_TIMEOUT_S)

    def retry_delay_s(self, now: float, jitter: float) -> float:
        """The seconds to wait before the next attempt; `jitter` from 0 to 1 spreads the routers' retries."""
        backoff_s = self._candidates[self.best(now)].backoff_until - now
        return max(MIN_RETRY_DELAY_S, min(backoff_s, MAX_RETRY_DELAY_S)) * (0.5 + jitter / 2)

    def _rank(self, address: Address, now: float) -> tuple[float, bool, bytes]:
        candidate = self._candidates[address]
        backoff_s = max(0.0, candidate.backoff_until - now)
        return backoff_s, candidate.zone != self._zone, self._hash(address)

    def _hash(self, address: Address) -> bytes:
        """A hash of router and controller; with a checksum nearly all routers would rank the controllers alike."""
        return hashlib.blake2b(f"{self._node_name} {format_address(address)}".encode(), digest_size=8).digest()
