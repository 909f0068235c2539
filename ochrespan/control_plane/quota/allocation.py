"""The arithmetic of token quotas over many routers. Pure: the time is an argument, in seconds of a monotonic clock.

The owner of a tenant grants tokens from a token bucket, and a router spends a grant within the grant's lifetime. In any
window of W seconds the routers together spend at most the sum of (1) the tokens that the owner granted within
W + GRANT_LIFETIME_S + SEND_DELAY_S seconds, and (2) the reserved tokens, which routers spend while no owner responds.
`terms_for` chooses the bucket and the reserved tokens so that the sum does not exceed
`(rate * W + burst) * (1 + overshoot) + slack`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

GRANT_LIFETIME_S = 0.5
SEND_DELAY_S = 0.3  # the maximum time from taking the tokens of a request to its arrival at an instance
RESERVED_FRACTION = 0.8  # of the headroom between the bound and the tenant's rate and burst
RATE_FRACTION = 0.5  # of the overshoot: the bucket's rate exceeds the tenant's by up to this much
MIN_WAIT_S = 0.001
PREFETCH_FRACTION = 0.25  # of a bucket's level: at most this much is granted ahead of requests
# This fraction of the reserved tokens is divided equally among the routers, so that each share covers a complete
# request. The rest is divided in proportion to the tokens that each router was granted recently.
EQUAL_FRACTION = 0.8
_MIN_MAX_GRANTED = 1e-9  # avoids a division by zero for a tenant without a rate and a burst


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far the tokens spent in a window may exceed a tenant's rate and burst.

    Attributes:
        window_s: The length of the window in seconds.
        overshoot: The permitted excess as a fraction of `rate * window_s + burst`.
        slack: A further permitted excess, in tokens.
    """

    window_s: float
    overshoot: float
    slack: float

    def allowed(self, rate: float, burst: float) -> float:
        """The maximum number of tokens that all routers together may spend in any window."""
        return (rate * self.window_s + burst) * (1 + self.overshoot) + self.slack


def quota_bounds(bounds: Mapping[str, Any]) -> QuotaBounds:
    """Reads the quota bounds from the `bounds` of the settings; missing or non-numeric values get strict defaults."""

    def number(name: str, default: float) -> float:
        """The bound of that name if it is a number, else the default."""
        value = bounds.get(name, default)
        return float(value) if type(value) in (int, float) else default

    return QuotaBounds(number("quota_window_s", 8.0), number("quota_overshoot", 0.0), number("quota_slack", 0.0))


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The token bucket of a tenant at its owner, and the tokens reserved for routers that reach no owner.

    Attributes:
        rate: Of the bucket, in tokens per second.
        depth: Of the bucket, in tokens.
        reserved: Reserved tokens that all routers together may spend in any window.
        window_s: The length of the window in seconds.
    """

    rate: float
    depth: float
    reserved: float
    window_s: float

    @property
    def max_granted(self) -> float:
        """The maximum number of tokens that the owner grants in any window."""
        return self.rate * self.window_s + self.depth


def terms_for(rate: float, burst: float, bounds: QuotaBounds) -> QuotaTerms:
    """Chooses terms that keep the bound, and that admit the full rate and burst if the headroom covers the delays.

    Args:
        rate: Of the tenant, in tokens per second.
        burst: Of the tenant, in tokens.
        bounds: The bounds of the fleet.
    """
    allowed = bounds.allowed(rate, burst)
    granting_s = bounds.window_s + GRANT_LIFETIME_S + SEND_DELAY_S
    headroom = max(0.0, allowed - rate * granting_s - burst)
    reserved = RESERVED_FRACTION * headroom
    raised_rate = rate * (1 + RATE_FRACTION * bounds.overshoot)
    bucket_rate = max(0.0, min(raised_rate, (allowed - reserved - burst) / granting_s))
    depth = allowed - reserved - bucket_rate * granting_s
    return QuotaTerms(bucket_rate, max(0.0, depth), reserved, bounds.window_s)


class TokenBucket:
    """A token bucket: tokens accrue at `rate` per second up to `depth`."""

    def __init__(self, rate: float, depth: float, now: float, level: float = 0.0) -> None:
        self.rate = rate
        self.depth = depth
        self.level = min(level, depth)
        self._refilled_at = now

    def refill(self, now: float) -> None:
        """Adds the tokens that accrued since the last call."""
        if now > self._refilled_at:
            self.level = min(self.depth, self.level + self.rate * (now - self._refilled_at))
            self._refilled_at = now

    def configure(self, rate: float, depth: float, now: float) -> None:
        """Sets the rate and the depth from `now` on."""
        self.refill(now)
        self.rate = rate
        self.depth = depth
        self.level = min(self.level, depth)

    def take(self, tokens: float, now: float, allow_debt: bool = False) -> bool:
        """Takes the tokens if there are enough; returns whether there were.

        Args:
            tokens: How many to take.
            now: The present time.
            allow_debt: Whether more than `depth` tokens may be taken from a full bucket, to a negative level:
                otherwise a request larger than the depth could never be served.
        """
        self.refill(now)
        if self.level < (min(tokens, self.depth) if allow_debt else tokens):
            return False
        self.level -= tokens
        return True

    def take_prefetch(self, tokens: float, now: float) -> float:
        """Takes up to `tokens`, but at most PREFETCH_FRACTION of the level; returns how many were taken."""
        self.refill(now)
        taken = max(0.0, min(tokens, PREFETCH_FRACTION * self.level))
        self.level -= taken
        return taken

    def put_back(self, tokens: float) -> None:
        """Returns tokens that were taken and will certainly not be spent."""
        self.level = min(self.depth, self.level + tokens)

    def wait_for(self, tokens: float, now: float) -> float:
        """Seconds until the tokens have accrued if nothing else is taken; infinite where the rate is zero."""
        self.refill(now)
        missing = min(tokens, self.depth) - self.level
        if missing <= 0:
            return 0.0
        return MIN_WAIT_S + missing / self.rate if self.rate > 0 else float("inf")


class SlidingWindowSum:
    """The sum of the amounts added within the last `span_s` seconds."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._entries: deque[tuple[float, float]] = deque()  # time and amount, the oldest first
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at the time `now`."""
        self._entries.append((now, amount))
        self._sum += amount

    def total(self, now: float) -> float:
        """The sum at the time `now`."""
        while self._entries and now - self._entries[0][0] > self._span_s:
            self._sum -= self._entries.popleft()[1]
        if not self._entries:
            self._sum = 0.0  # drops the rounding errors
        return self._sum


class ReservedShare:
    """A router's share of a tenant's reserved tokens.

    It is spent while no owner responds, and while the owner is so new that its bucket, empty at first, has not filled.
    The shares of all routers add up to at most 1: EQUAL_FRACTION is divided equally, the rest in proportion to the
    tokens that each router was granted recently.

    Attributes:
        terms: The tenant's terms.
        per_router_fraction: 1 divided by the number of live routers.
    """

    def __init__(self, terms: QuotaTerms) -> None:
        self.terms = terms
        self.per_router_fraction = 0.0
        self._granted = SlidingWindowSum(terms.window_s)
        self._spent = SlidingWindowSum(terms.window_s + SEND_DELAY_S)

    def record_grant(self, tokens: float, now: float) -> None:
        """Counts tokens that the owner granted to this router."""
        self._granted.add(tokens, now)

    def take(self, tokens: float, now: float) -> bool:
        """Spends the tokens if this router's share still covers them; returns whether it does."""
        granted_fraction = min(1.0, self._granted.total(now) / max(self.terms.max_granted, _MIN_MAX_GRANTED))
        fraction = EQUAL_FRACTION * self.per_router_fraction + (1 - EQUAL_FRACTION) * granted_fraction
        if self._spent.total(now) + tokens > fraction * self.terms.reserved:
            return False
        self._spent.add(tokens, now)
        return True


@dataclass(slots=True)
class _UnspentGrant:
    """The tokens of a grant that have not been spent, usable until `expires_at`."""

    tokens: float
    expires_at: float
    epoch: int


class GrantedTokens:
    """The unspent grants of one tenant at a router, the oldest first.

    Attributes:
        epoch: Identifies the owner's period of ownership in which the latest grant was given.
    """

    def __init__(self) -> None:
        self._grants: deque[_UnspentGrant] = deque()
        self._unused_tokens = 0.0  # to be returned to the owner of `epoch`
        self.epoch = 0

    def add(self, tokens: float, requested_at: float, epoch: int) -> None:
        """Adds a grant; its lifetime starts when it was requested, which is safe as the owner granted it later."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._unused_tokens = 0.0
        if tokens > 0:
            self._grants.append(_UnspentGrant(tokens, requested_at + GRANT_LIFETIME_S, epoch))

    def put_back(self, tokens: float, epoch: int) -> None:
        """Returns tokens that were taken from a grant of `epoch` and will certainly not be spent."""
        if epoch == self.epoch:
            self._unused_tokens += tokens

    def available(self, now: float) -> float:
        """Drops expired grants and returns the number of tokens that may be spent now."""
        while self._grants and self._grants[0].expires_at <= now:
            expired = self._grants.popleft()
            if expired.epoch == self.epoch:
                self._unused_tokens += expired.tokens
        return sum(grant.tokens for grant in self._grants)

    def take(self, tokens: float, now: float) -> bool:
        """Spends the tokens if there are enough; returns whether there were."""
        if self.available(now) < tokens:
            return False
        while tokens > 0 and self._grants:
            oldest = self._grants[0]
            spent = min(tokens, oldest.tokens)
            oldest.tokens -= spent
            tokens -= spent
            if oldest.tokens <= 0:
                self._grants.popleft()
        return True

    def take_unused(self) -> float:
        """Returns the number of tokens that expired or were put back since the last call."""
        unused = self._unused_tokens
        self._unused_tokens = 0.0
        return unused
