"""The arithmetic of quotas over many routers. Pure: time is an argument, in seconds of the steady clock.

The owner of a tenant grants tokens out of a bucket, and a router spends a grant within the grant's lifetime. In a
window of W seconds the routers together spend at most what the owner granted in the W seconds and the lifetime before,
and the sure shares of routers that had no owner to ask. `terms_for` chooses the bucket and the sure share so that the
sum stays within `(rate * W + burst) * (1 + overshoot) + slack`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

GRANT_LIFETIME_S = 0.5
SEND_DELAY_S = 0.3  # from the moment when tokens are taken to the arrival of the request at a server
RESERVED_FRACTION = 0.8  # of what the bound leaves above rate and burst
RATE_FRACTION = 0.5  # of the overshoot that goes into the rate
MIN_WAIT_S = 0.001
PREFETCH_FRACTION = 0.25  # of the bucket's level: at most this much is granted for requests that have not come yet
# of the sure share is dealt evenly, as a part has to hold a whole request; the rest by past grants
EQUAL_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far the tokens spent in a window may exceed a tenant's rate and burst."""

    window_s: float
    overshoot: float
    slack: float

    def allowed(self, rate: float, burst: float) -> float:
        """The most that all routers together may spend in any window."""
        return (rate * self.window_s + burst) * (1 + self.overshoot) + self.slack


def quota_bounds(figures: Mapping[str, Any]) -> QuotaBounds:
    """The bounds as the settings name them."""

    def figure(name: str, default: float) -> float:
        value = figures.get(name)
        return float(value) if type(value) in (int, float) else default

    return QuotaBounds(figure("quota_window_s", 8.0), figure("quota_overshoot", 0.0), figure("quota_slack", 0.0))


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """A tenant's bucket at its owner, and the sure share, which routers spend that reach no owner."""

    rate: float
    depth: float
    reserved: float  # in any window, over all routers
    window_s: float

    @property
    def most_granted(self) -> float:
        """The most that the owner grants in any window."""
        return self.rate * self.window_s + self.depth


def terms_for(rate: float, burst: float, bounds: QuotaBounds) -> QuotaTerms:
    """Terms that keep the bound, and admit all of rate and burst where the bound leaves room for the lifetimes."""
    allowed = bounds.allowed(rate, burst)
    granting_s = bounds.window_s + GRANT_LIFETIME_S + SEND_DELAY_S
    room = max(0.0, allowed - rate * granting_s - burst)
    reserved = RESERVED_FRACTION * room
    raised = rate * (1 + RATE_FRACTION * bounds.overshoot)
    owner_rate = max(0.0, min(raised, (allowed - reserved - burst) / granting_s))
    depth = allowed - reserved - owner_rate * granting_s
    return QuotaTerms(owner_rate, max(0.0, depth), reserved, bounds.window_s)


class TokenBucket:
    """Tokens that come at a rate, up to a depth."""

    def __init__(self, rate: float, depth: float, now: float, level: float = 0.0) -> None:
        self.rate = rate
        self.depth = depth
        self.level = min(level, depth)
        self._at = now

    def refill(self, now: float) -> None:
        """Adds what came since the last call."""
        if now > self._at:
            self.level = min(self.depth, self.level + self.rate * (now - self._at))
            self._at = now

    def change(self, rate: float, depth: float, now: float) -> None:
        """Other figures from now on."""
        self.refill(now)
        self.rate, self.depth = rate, depth
        self.level = min(self.level, depth)

    def take(self, tokens: float, now: float, on_credit: bool = False) -> bool:
        """Takes the tokens if they are there; on credit, a full bucket also gives more than its depth."""
        self.refill(now)
        if self.level < (min(tokens, self.depth) if on_credit else tokens):
            return False
        self.level -= tokens
        return True

    def take_up_to(self, tokens: float, now: float) -> float:
        """Takes at most PREFETCH_FRACTION of the level."""
        self.refill(now)
        taken = max(0.0, min(tokens, PREFETCH_FRACTION * self.level))
        self.level -= taken
        return taken

    def put_back(self, tokens: float) -> None:
        """Tokens that were taken and surely will not be spent."""
        self.level = min(self.depth, self.level + tokens)

    def wait_for(self, tokens: float, now: float) -> float:
        """Seconds until the tokens will be there, if nobody else takes any."""
        self.refill(now)
        missing = min(tokens, self.depth) - self.level
        if missing <= 0:
            return 0.0
        return MIN_WAIT_S + missing / self.rate if self.rate > 0 else float("inf")


class SlidingWindowSum:
    """The sum of what was added within the last seconds."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._parts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount that counts from now on."""
        self._parts.append((now, amount))
        self._sum += amount

    def total(self, now: float) -> float:
        """The present sum."""
        while self._parts and now - self._parts[0][0] > self._span_s:
            self._sum -= self._parts.popleft()[1]
        if not self._parts:
            self._sum = 0.0
        return self._sum


class ReservedShare:
    """What a router may spend of a tenant's tokens where no owner answers, or one that began with an empty bucket.

    The routers' parts add up to one at most: most is dealt evenly, the rest by what each was granted lately.
    """

    def __init__(self, terms: QuotaTerms) -> None:
        self.terms = terms
        self.equal_share = 0.0
        self._granted = SlidingWindowSum(terms.window_s)
        self._spent = SlidingWindowSum(terms.window_s + SEND_DELAY_S)

    def granted(self, tokens: float, now: float) -> None:
        """The owner has granted tokens to this router."""
        self._granted.add(tokens, now)

    def take(self, tokens: float, now: float) -> bool:
        """Spends the tokens if this router's part has them left."""
        most = max(self.terms.most_granted, 1e-9)
        learned = min(1.0, self._granted.total(now) / most)
        part = EQUAL_FRACTION * self.equal_share + (1 - EQUAL_FRACTION) * learned
        if self._spent.total(now) + tokens > part * self.terms.reserved:
            return False
        self._spent.add(tokens, now)
        return True


@dataclass(slots=True)
class _UnspentGrant:
    tokens: float
    expires_at: float
    epoch: int


class GrantedTokens:
    """The unspent grants of one tenant at a router, the oldest first."""

    def __init__(self) -> None:
        self._grants: deque[_UnspentGrant] = deque()
        self._left_over = 0.0  # expired unspent, to be told to the owner that granted it
        self.epoch = 0  # names the ownership under which the latest grant was given

    def add(self, tokens: float, asked_at: float, epoch: int) -> None:
        """A grant; its lifetime counts from when it was asked for, which is before it was given."""
        if epoch != self.epoch:
            self.epoch, self._left_over = epoch, 0.0
        if tokens > 0:
            self._grants.append(_UnspentGrant(tokens, asked_at + GRANT_LIFETIME_S, epoch))

    def give_back(self, tokens: float, epoch: int) -> None:
        """Tokens that were taken out of a grant, and surely will not be spent."""
        if epoch == self.epoch:
            self._left_over += tokens

    def available(self, now: float) -> float:
        """Tokens that may be spent now."""
        while self._grants and self._grants[0].expires_at <= now:
            expired = self._grants.popleft()
            if expired.epoch == self.epoch:
                self._left_over += expired.tokens
        return sum(grant.tokens for grant in self._grants)

    def take(self, tokens: float, now: float) -> bool:
        """Spends the tokens if they are there."""
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

    def take_left_over(self) -> float:
        """What expired unspent since the last call."""
        left_over, self._left_over = self._left_over, 0.0
        return left_over
