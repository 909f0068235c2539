"""What a peer may do on one connection, and what ends it when it does more. No I/O; times in seconds.

Each kind of action that costs us work and a peer little has a budget of its own: a number at once, and a number a
second. What h2 finds against the RFC ends the connection with the RFC's code; what is within the RFC and beyond a
budget ends it with ENHANCE_YOUR_CALM (RFC 9113, section 10.5).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class PeerAction(Enum):
    """Things that a peer may do only so often."""

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
    """A token bucket: so many at once, refilled by so many a second."""

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
    """Sizes and counts of one connection."""

    max_streams: int = 100  # open at once; those beyond are refused
    max_header_bytes: int = 16 * 1024  # bytes of a request's fields, as RFC 9113, section 6.5.2 counts them
    stream_window_bytes: int = 64 * 1024  # bytes of a body that may come before the core reads any
    connection_window_bytes: int = 1024 * 1024
    max_pending_bytes: int = 64 * 1024  # bytes of an answer that wait in a stream before its writer has to
    max_control_bytes: int = 64 * 1024  # bytes of answers to control frames that the client has not read


@dataclass(slots=True)
class PeerBudget:
    """What one peer has left of each allowance."""

    allowances: dict[PeerAction, Allowance] = field(default_factory=lambda: ALLOWANCES)
    _remaining: dict[PeerAction, float] = field(default_factory=dict)
    _updated_at: dict[PeerAction, float] = field(default_factory=dict)

    def spend(self, action: PeerAction, now: float) -> bool:
        """Counts one action; whether it is still within its allowance."""
        allowance = self.allowances[action]
        remaining = self._remaining.get(action, allowance.burst)
        before = self._updated_at.get(action, now)
        since = max(0.0, now - before)
        remaining = min(allowance.burst, remaining + allowance.rate_per_s * since) - 1
        self._remaining[action], self._updated_at[action] = remaining, max(before, now)
        return remaining >= 0


@dataclass(slots=True)
class BufferBudget:
    """Bytes that a front's connections hold for bodies; beyond `capacity` windows stay shut until some are read."""

    capacity_bytes: int
    used_bytes: int = 0
    credit_withheld: bool = False  # whether some connection has held credit back

    @property
    def full(self) -> bool:
        """Whether no more credit may be given."""
        return self.used_bytes > self.capacity_bytes
