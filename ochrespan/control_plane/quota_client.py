"""A router's end of the quotas: takes tokens for requests out of grants of the tenants' owners.

`try_take` never waits. `take` asks the owner where the grants at hand do not suffice, and waits for a short time; a
tenant with many requests gets grants ahead of them, so that most requests need not wait. A request calls one of them.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

import gevent

from ..transport.rpc import CallFailed
from ..transport.tcp import Address
from .quota import GrantedTokens, QuotaBounds, TokenBucket, terms_for
from .quota_messages import Grant, GrantRequest, NotTheOwner
from .views import QuotaUnit, Tenant

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.4
SILENT_OWNER_PAUSE_S = 0.25  # an owner that did not answer is not asked again for this long
AHEAD_S = 0.2  # of a tenant's demand is asked for ahead
AHEAD_FROM_REQUESTS_PER_S = 10.0
DEMAND_WEIGHT = 0.5  # of the last second, in the mean of the demand
DEMAND_INTERVAL_S = 1.0
START_PART = 0.5  # of its sure share lies ready when a router starts


@dataclass(frozen=True, slots=True)
class Taken:
    """Whether a request may be sent; if not, when its client should come back."""

    allowed: bool
    retry_after_s: float = 0.0


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
        return self.tokens_per_s * AHEAD_S if self.requests_per_s >= AHEAD_FROM_REQUESTS_PER_S else 0.0


@dataclass(slots=True)
class _TenantState:
    sure: TokenBucket
    demand: _Demand
    granted: GrantedTokens = field(default_factory=GrantedTokens)
    asking_ahead: bool = False
    silent_until: float = 0.0


class QuotaClient:
    """`owner_of(tenant)` names the process to ask, `call(address, request, timeout)` asks it or raises CallFailed."""

    def __init__(
        self,
        router: str,
        bounds: QuotaBounds,
        owner_of: Callable[[str], Address | None],
        call: Callable[[Address, Any, float], Any],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._router = router
        self._bounds = bounds
        self._owner_of = owner_of
        self._call = call
        self._clock = clock
        self._states: dict[str, _TenantState] = {}

    def configure(self, tenants: Mapping[str, Tenant], router_count: int) -> None:
        """To be called when the tenants or the count of routers have changed."""
        now, share = self._clock(), 1 / max(1, router_count)
        limited = {name: tenant for name, tenant in tenants.items() if tenant.rate_per_s > 0}
        for name in self._states.keys() - limited.keys():
            del self._states[name]
        for name, tenant in limited.items():
            terms = terms_for(tenant.rate_per_s, tenant.burst, self._bounds)
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = _TenantState(TokenBucket(0.0, 0.0, now), _Demand(now))
                state.sure.level = START_PART * terms.sure_depth * share
            state.sure.change(terms.sure_rate * share, terms.sure_depth * share, now)

    def try_take(self, tenant: str, tokens: float, now: float) -> bool:
        """Takes the tokens out of the grants at hand; true for a tenant without a limit."""
        state = self._states.get(tenant)
        if state is None:
            return True
        state.demand.add(tokens, now)
        taken = state.granted.take(tokens, now)
        self._ask_ahead(tenant, state, now)
        return taken

    def take(self, tenant: str, tokens: float) -> Taken:
        """Takes the tokens, asking the owner if need be; where no owner answers, out of this router's sure share."""
        if self.try_take(tenant, tokens, self._clock()):
            return Taken(True)
        state = self._states[tenant]
        grant = self._ask(tenant, state, tokens, state.demand.wanted_ahead())
        now = self._clock()
        if state.granted.take(tokens, now):
            return Taken(True)
        if grant is None:
            return Taken(state.sure.take(tokens, now), min(1.0, state.sure.wait_for(tokens, now)))
        return Taken(False, grant.retry_after_s)

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
        reply = self._ask_owner(self._owner_of(tenant), request)
        if isinstance(reply, NotTheOwner) and reply.ip:
            reply = self._ask_owner((reply.ip, reply.port), request)
        if not isinstance(reply, Grant):
            state.silent_until = self._clock() + SILENT_OWNER_PAUSE_S
            return None
        state.granted.add(reply.tokens, asked_at, reply.epoch)
        return reply

    def _ask_owner(self, owner: Address | None, request: GrantRequest) -> Any:
        if owner is None:
            return None
        try:
            return self._call(owner, request, ANSWER_TIMEOUT_S)
        except CallFailed as error:
            log.info("no grant tenant=%s error=%r", request.tenant, str(error))
            return None


def cost_of(tenant: Tenant, token_usage: tuple[float, float] | None) -> float:
    """What a request counts for: its tokens, or 1 where the tenant's quota is in requests."""
    if tenant.unit is not QuotaUnit.TOKENS:
        return 1.0
    return tenant.plain_tokens if token_usage is None else sum(token_usage)
