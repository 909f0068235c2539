"""A router's end of the quotas: takes tokens for requests out of grants of the tenants' owners.

`take` is called when a request comes; where the grants at hand do not suffice it asks the owner, and waits for a short
time. Where none answers, or where the owner is new and began with an empty bucket, the router spends its part of the
sure share. A tenant with many requests gets grants ahead of them, so that most requests need not wait. A request that
is sent later than SEND_DELAY_S after that calls `renew` first, since its tokens count when it reaches its server.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from time import monotonic

import gevent

from ochrespan.common.addresses import Address
from ochrespan.control_plane.config.views import QuotaUnit, Tenant
from ochrespan.control_plane.owner_calls import Call, call_owner

from .allocation import SEND_DELAY_S, GrantedTokens, QuotaBounds, QuotaTerms, ReservedShare, terms_for
from .messages import Grant, GrantRequest

RESPONSE_TIMEOUT_S = 0.3
OWNER_BACKOFF_S = 0.1  # where no owner answered, none is asked again for this long
NO_OWNER_RETRY_S = 0.5
MIN_RETRY_S = 0.4  # others wait for the same tokens, so a client that comes back at once is refused again
MAX_WAIT_S = 0.12  # for tokens that the owner will have by then
PREFETCH_S = 0.2  # of a tenant's demand is asked for ahead
PREFETCH_MIN_REQUESTS_PER_S = 10.0
DEMAND_WEIGHT = 0.5  # of the last second, in the mean of the demand
DEMAND_INTERVAL_S = 1.0
IDLE_TENANT_S = 60.0  # after which nothing is kept of a tenant


@dataclass(frozen=True, slots=True)
class TokenReservation:
    """Whether a request may be sent; if not, when its client should come back."""

    allowed: bool
    retry_after_s: float = 0.0
    tokens: float = 0.0
    epoch: int | None = None  # of the grant; None for the sure share, and for tenants without a limit
    at: float = 0.0

    def holds(self, now: float) -> bool:
        """Whether the request may be sent now without renewing its tokens."""
        return self.tokens == 0.0 or now - self.at <= SEND_DELAY_S


UNLIMITED = TokenReservation(True)


@dataclass(slots=True)
class _Demand:
    """What requests of a tenant asked for here, as means over seconds."""

    began: float
    tokens: float = 0.0
    requests: int = 0
    tokens_per_s: float = 0.0
    requests_per_s: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        elapsed = now - self.began
        if elapsed >= DEMAND_INTERVAL_S:
            self.tokens_per_s += DEMAND_WEIGHT * (self.tokens / elapsed - self.tokens_per_s)
            self.requests_per_s += DEMAND_WEIGHT * (self.requests / elapsed - self.requests_per_s)
            self.began, self.tokens, self.requests = now, 0.0, 0
        self.tokens += tokens
        self.requests += 1

    def wanted_ahead(self) -> float:
        return self.tokens_per_s * PREFETCH_S if self.requests_per_s >= PREFETCH_MIN_REQUESTS_PER_S else 0.0


@dataclass(slots=True)
class _TenantState:
    reserved: ReservedShare
    demand: _Demand
    used_at: float
    configured: int  # the number of the configuration that its terms and share are of
    granted: GrantedTokens = field(default_factory=GrantedTokens)
    asking_ahead: bool = False
    silent_until: float = 0.0


class QuotaClient:
    """`ask_at(tenant)` names the processes to ask in turn: the owner as far as it is known, and who may know better.

    `call(address, request, timeout)` asks one of them, or raises RpcError.
    """

    def __init__(
        self,
        router: str,
        bounds: QuotaBounds,
        ask_at: Callable[[str], Sequence[Address]],
        call: Call,
        clock: Callable[[], float] = monotonic,
        pause: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self._pause = pause
        self._router = router
        self._bounds = bounds
        self._ask_at = ask_at
        self._call = call
        self._clock = clock
        self._tenants: Mapping[str, Tenant] = {}
        self._router_count = 1
        self._configured = 0
        self._states: dict[str, _TenantState] = {}  # of tenants that were lately served
        self._swept_at = clock()

    def configure(self, tenants: Mapping[str, Tenant], router_count: int) -> None:
        """The tenants or the count of routers have changed. What is kept of a tenant follows at its next use."""
        self._tenants, self._router_count = tenants, max(1, router_count)
        self._configured += 1

    def _state_of(self, name: str) -> _TenantState | None:
        """What is kept of a tenant, under the terms in force; None where it has no limit."""
        tenant, now = self._tenants.get(name), self._clock()
        if tenant is None or tenant.rate_per_s <= 0:
            self._states.pop(name, None)
            return None
        state = self._states.get(name)
        if state is None:
            self._forget_idle(now)
            state = _TenantState(ReservedShare(self._terms_of(tenant)), _Demand(now), now, 0)
            self._states[name] = state
        if state.configured != self._configured:
            state.configured = self._configured
            state.reserved.terms, state.reserved.equal_share = self._terms_of(tenant), 1 / self._router_count
        state.used_at = now
        return state

    def _terms_of(self, tenant: Tenant) -> QuotaTerms:
        return terms_for(tenant.rate_per_s, tenant.burst, self._bounds)

    def _forget_idle(self, now: float) -> None:
        """Grants have long expired and spending has left its window when a tenant was idle for so long."""
        idle_s = max(IDLE_TENANT_S, 2 * self._bounds.window_s)
        if now - self._swept_at > idle_s:
            self._swept_at = now
            self._states = {name: state for name, state in self._states.items() if now - state.used_at <= idle_s}

    def try_take(self, tenant: str, tokens: float, now: float) -> bool:
        """Takes the tokens out of the grants at hand without waiting; true for a tenant without a limit."""
        state = self._state_of(tenant)
        if state is None:
            return True
        state.demand.add(tokens, now)
        taken = state.granted.take(tokens, now)
        self._ask_ahead(tenant, state, now)
        return taken

    def take(self, tenant: str, tokens: float) -> TokenReservation:
        """Takes the tokens, asking the owner if need be; where no owner answers, out of this router's sure share."""
        now = self._clock()
        if self.try_take(tenant, tokens, now):
            return self._taken(tenant, tokens, now)
        return self._take_by_asking(tenant, tokens)

    def renew(self, tenant: str, taken: TokenReservation) -> TokenReservation:
        """Takes the tokens of a request anew that has not been sent: nothing changes if they still hold."""
        state = self._state_of(tenant)
        if state is None or taken.holds(self._clock()):
            return taken
        self.release(tenant, taken)
        return self._take_by_asking(tenant, taken.tokens)

    def release(self, tenant: str, taken: TokenReservation) -> None:
        """The request was surely not sent, and will not be: its tokens go back to the owner with the next request."""
        state = self._state_of(tenant)
        if state is not None and taken.epoch is not None:
            state.granted.give_back(taken.tokens, taken.epoch)

    def _take_by_asking(self, tenant: str, tokens: float) -> TokenReservation:
        """Waits where the owner will have the tokens shortly, since a refusal would cost the client more."""
        taken = self._take_once(tenant, tokens)
        if not taken.allowed and taken.retry_after_s <= MAX_WAIT_S:
            self._pause(taken.retry_after_s)
            taken = self._take_once(tenant, tokens)
        return taken if taken.allowed else replace(taken, retry_after_s=max(taken.retry_after_s, MIN_RETRY_S))

    def _take_once(self, tenant: str, tokens: float) -> TokenReservation:
        state = self._state_of(tenant)
        if state is None:
            return UNLIMITED  # the limit was lifted meanwhile
        grant = self._ask(tenant, state, tokens, state.demand.wanted_ahead())
        now = self._clock()
        if state.granted.take(tokens, now):
            return self._taken(tenant, tokens, now)
        has_settled = grant is not None and grant.owner_age_s >= self._bounds.window_s
        if not has_settled and state.reserved.take(tokens, now):
            return TokenReservation(True, 0.0, tokens, None, now)
        return TokenReservation(False, NO_OWNER_RETRY_S if grant is None else grant.retry_after_s)

    def _taken(self, tenant: str, tokens: float, now: float) -> TokenReservation:
        state = self._state_of(tenant)
        return UNLIMITED if state is None else TokenReservation(True, 0.0, tokens, state.granted.epoch, now)

    def _ask_ahead(self, tenant: str, state: _TenantState, now: float) -> None:
        wanted = state.demand.wanted_ahead()
        if wanted and not state.asking_ahead and state.granted.available(now) < wanted / 2:
            state.asking_ahead = True
            gevent.spawn(self._fetch_ahead, tenant, state, wanted)

    def _fetch_ahead(self, tenant: str, state: _TenantState, wanted: float) -> None:
        try:
            self._ask(tenant, state, 0.0, wanted)
        finally:
            state.asking_ahead = False

    def _ask(self, tenant: str, state: _TenantState, needed: float, ahead: float) -> Grant | None:
        """Adds what the owner grants; None where no owner answered."""
        asked_at = self._clock()
        if asked_at < state.silent_until:
            return None
        left_over = state.granted.take_left_over()
        request = GrantRequest(tenant, self._router, needed, ahead, left_over, state.granted.epoch)
        grant = call_owner(self._call, self._ask_at(tenant), request, Grant, RESPONSE_TIMEOUT_S, f"tenant={tenant}")
        if grant is None:
            state.silent_until = self._clock() + OWNER_BACKOFF_S
            return None
        state.granted.add(grant.tokens, asked_at, grant.epoch)
        state.reserved.granted(grant.tokens, asked_at)
        return grant


def request_cost(tenant: Tenant, token_usage: tuple[float, float] | None) -> float:
    """What a request counts for: its tokens, or 1 where the tenant's quota is in requests."""
    if tenant.unit is not QuotaUnit.TOKENS:
        return 1.0
    return tenant.plain_tokens if token_usage is None else sum(token_usage)
