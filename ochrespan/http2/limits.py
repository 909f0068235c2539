"""Limits of one connection and rate limits for the actions of its peer. Times are in seconds.

Every kind of action that is cheap for a peer but costly for the server has its own token bucket. Violations of the RFC
that h2 detects end the connection with the code that the RFC requires; valid actions beyond the rate limit end it with
ENHANCE_YOUR_CALM (RFC 9113, section 10.5).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class PeerAction(Enum):
    """Actions of a peer that are rate limited; the value names them in the end reason of the connection."""

    RESET = "streams reset by the client"  # rapid reset, CVE-2023-44487
    REFUSED_STREAM = "streams opened beyond the limit"
    FAULT = "malformed requests and frames for closed streams"
    PING = "pings"
    SETTINGS = "settings frames"
    EMPTY_DATA = "empty data frames"
    WINDOW_UPDATE = "window updates"
    PRIORITY = "priority frames"
    UNKNOWN_FRAME = "frames of unknown types"


@dataclass(frozen=True, slots=True)
class Allowance:
    """Token bucket parameters, in actions."""

    burst: float
    rate_per_s: float


ALLOWANCES = {
    PeerAction.RESET: Allowance(200, 50),
    PeerAction.REFUSED_STREAM: Allowance(200, 50),
    PeerAction.FAULT: Allowance(20, 2),
    PeerAction.PING: Allowance(20, 5),
    PeerAction.SETTINGS: Allowance(10, 1),
    PeerAction.EMPTY_DATA: Allowance(100, 20),
    PeerAction.WINDOW_UPDATE: Allowance(4000, 4000),
    PeerAction.PRIORITY: Allowance(500, 100),
    PeerAction.UNKNOWN_FRAME: Allowance(100, 20),
}


@dataclass(frozen=True, slots=True)
class Limits:
    """Size and count limits of one connection."""

    max_streams: int = 100  # concurrently open; further streams are refused
    max_header_bytes: int = 16 * 1024  # field section size of a request as defined in RFC 9113, section 6.5.2
    stream_window_bytes: int = 64 * 1024  # request body bytes accepted before the handler reads any
    connection_window_bytes: int = 1024 * 1024
    max_pending_bytes: int = 64 * 1024  # queued response bytes per stream above which its writer waits
    max_control_bytes: int = 64 * 1024  # unread responses to control frames above which the connection is closed


@dataclass(slots=True)
class PeerBudget:
    """Token buckets of one peer, by action."""

    allowances: dict[PeerAction, Allowance] = field(default_factory=lambda: ALLOWANCES)
    _remaining: dict[PeerAction, float] = field(default_factory=dict)
    _updated_at: dict[PeerAction, float] = field(default_factory=dict)

    def spend(self, action: PeerAction, now: float) -> bool:
        """Counts one action and returns whether it is within the allowance. `now` in seconds; a clock that steps back
        refills nothing."""
        allowance = self.allowances[action]
        remaining = self._remaining.get(action, allowance.burst)
        before = self._updated_at.get(action, now)
        since = max(0.0, now - before)
        remaining = min(allowance.burst, remaining + allowance.rate_per_s * since) - 1
        self._remaining[action], self._updated_at[action] = remaining, max(before, now)
        return remaining >= 0


@dataclass(slots=True)
class BufferBudget:
    """Buffer space for unread request bodies, shared by all connections. Above `capacity_bytes` no credit for the
    connection windows is returned until handlers have read some."""

    capacity_bytes: int
    used_bytes: int = 0
    credit_withheld: bool = False  # whether a connection withholds credit

    @property
    def full(self) -> bool:
        """Whether connections must withhold credit."""
        return self.used_bytes > self.capacity_bytes
