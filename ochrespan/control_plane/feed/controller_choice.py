"""Which controller a router follows: one in its own zone first, spread by a hash, with a back-off after failures.

Replaced controllers remain candidates for a while, and a dial to a machine that is gone takes as long as its time-out.
So that they don't keep a router from a live controller, the one that was tried least since the last current feed goes
first, and one that feeds no longer list counts as tried more often.

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
UNLISTED_HANDICAP = 2  # attempts at each listed controller before the first at one that feeds no longer list
UNLISTED_ATTEMPT_WEIGHT = 4  # attempts at a listed controller for each further one at an unlisted controller
CONTROLLER_TTL_S = 60.0  # after which it is no candidate any more
_NO_BACKOFF = 0.0
_MAX_DOUBLINGS = 10  # of a back-off or time-out; bounds the exponent, the maximum is reached earlier


@dataclass(slots=True)
class _Candidate:
    """A controller that the router may connect to."""

    zone: str = ""
    is_seed: bool = False
    unlisted_since: float | None = None  # since when current feeds don't list it; None while they do, or if none came
    failures: int = 0  # consecutive ones
    attempts: int = 0  # failed ones since a feed last was current
    backoff_until: float = _NO_BACKOFF


class ControllerChoice:
    """Ranks the controllers that a router knows from its seeds, the feed and membership.

    A controller may expire while the router connects to it; its methods accept such an address, and ignore it.

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

    def add(self, zones: Mapping[Address, str]) -> None:
        """Adds controllers that were found alive; their list need not be complete."""
        for address, zone in zones.items():
            candidate = self._candidates.setdefault(address, _Candidate())
            candidate.zone = zone
            candidate.unlisted_since = None

    def update(self, zones: Mapping[Address, str], now: float) -> None:
        """Takes the list of a current feed: all controllers that are present, with their zones.

        Those that were not listed for CONTROLLER_TTL_S are dropped, except for the seeds.
        """
        self.add(zones)
        for address, candidate in list(self._candidates.items()):
            if address in zones:
                continue
            if candidate.unlisted_since is None:
                candidate.unlisted_since = now
            if not candidate.is_seed and now - candidate.unlisted_since > CONTROLLER_TTL_S:
                del self._candidates[address]

    def best(self, now: float) -> Address | None:
        """The controller to try next; None if none is known.

        Those out of back-off come first, by how often they were tried since a feed last was current, then the ones in
        the router's own zone, then by the hash.
        """
        return min(self._candidates, key=lambda address: self._rank(address, now), default=None)

    def nearer(self, current: Address, now: float) -> Address | None:
        """A listed controller in the router's zone that is out of back-off, while `current` is in another zone."""
        if self._zone_of(current) == self._zone:
            return None
        nearer = [
            address
            for address, candidate in self._candidates.items()
            if candidate.zone == self._zone and candidate.unlisted_since is None and candidate.backoff_until <= now
        ]
        return min(nearer, key=lambda address: self._rank(address, now), default=None)

    def is_other_available(self, current: Address, now: float) -> bool:
        """Whether a controller other than `current` that current feeds list is out of back-off."""
        return any(
            address != current and candidate.unlisted_since is None and candidate.backoff_until <= now
            for address, candidate in self._candidates.items()
        )

    def record_failure(self, address: Address, now: float, jitter: float) -> None:
        """Starts an exponential back-off; `jitter` from 0 to 1 spreads the routers' retries."""
        if (candidate := self._candidates.get(address)) is None:
            return
        candidate.failures += 1
        candidate.attempts += 1
        backoff_s = min(MIN_BACKOFF_S * 2.0 ** min(candidate.failures, _MAX_DOUBLINGS), MAX_BACKOFF_S)
        candidate.backoff_until = now + backoff_s * (0.5 + jitter / 2)

    def record_success(self, address: Address) -> None:
        """Resets the failure count of a controller whose feed is current, and the attempts at all of them."""
        for each in self._candidates.values():
            each.attempts = 0
        if (candidate := self._candidates.get(address)) is None:
            return
        candidate.failures = 0
        candidate.backoff_until = _NO_BACKOFF

    def connect_timeout_s(self, address: Address) -> float:
        """The seconds to wait for a connection.

        Short at first: a machine that is down does not respond, and another controller may be up. Doubles with each
        failure, since the link may be slow.
        """
        candidate = self._candidates.get(address)
        failures = 0 if candidate is None else min(candidate.failures, _MAX_DOUBLINGS)
        return min(MIN_CONNECT_TIMEOUT_S * 2.0**failures, MAX_CONNECT_TIMEOUT_S)

    def retry_delay_s(self, now: float, jitter: float) -> float:
        """The seconds to wait before the next attempt; `jitter` from 0 to 1 spreads the routers' retries."""
        best = self.best(now)
        backoff_s = MAX_RETRY_DELAY_S if best is None else self._candidates[best].backoff_until - now
        return max(MIN_RETRY_DELAY_S, min(backoff_s, MAX_RETRY_DELAY_S)) * (0.5 + jitter / 2)

    def _rank(self, address: Address, now: float) -> tuple[bool, float, bool, bytes]:
        candidate = self._candidates[address]
        is_in_backoff = candidate.backoff_until > now
        order = candidate.backoff_until if is_in_backoff else _weighted_attempts(candidate)
        return is_in_backoff, order, candidate.zone != self._zone, self._hash(address)

    def _zone_of(self, address: Address) -> str:
        candidate = self._candidates.get(address)
        return "" if candidate is None else candidate.zone

    def _hash(self, address: Address) -> bytes:
        """A hash of router and controller; with a checksum nearly all routers would rank the controllers alike."""
        return hashlib.blake2b(f"{self._node_name} {format_address(address)}".encode(), digest_size=8).digest()


def _weighted_attempts(candidate: _Candidate) -> int:
    if candidate.unlisted_since is None:
        return candidate.attempts
    return UNLISTED_HANDICAP + UNLISTED_ATTEMPT_WEIGHT * candidate.attempts
