"""The router's side of token quotas: takes tokens for requests from grants of the tenants' owners.

`take` is called when a request arrives. Where the unspent grants do not suffice, it requests a grant from the owner and
waits for a short time. While no owner responds, or while the owner is so new that its bucket, empty at first, has not
filled, the router spends its reserved share. For a tenant with many requests, grants are prefetched, so that most of
its requests do not wait.

The quota bound counts a request when it reaches its instance. A request that is sent more than SEND_DELAY_S after
`take` therefore has to call `renew` first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from time import monotonic

import gevent

from ochrespan.control_plane.config.views import QuotaUnit, Tenant
from ochrespan.control_plane.owner_calls import OwnerClient

from .allocation import SEND_DELAY_S, GrantedTokens, QuotaBounds, QuotaTerms, ReservedShare, terms_for
from .messages import Grant, GrantRequest

RESPONSE_TIMEOUT_S = 0.3
OWNER_BACKOFF_S = 0.1  # no owner of a tenant is called for this long after a call without a response
NO_OWNER_RETRY_S = 0.5
MIN_RETRY_S = 0.4  # other requests wait for the same tokens, so a client that retries at once is rejected again
MAX_WAIT_S = 0.12  # if the owner names a longer time until the tokens accrue, the request is rejected without a wait
PREFETCH_S = 0.2  # seconds of a tenant's demand that are prefetched
PREFETCH_MIN_REQUESTS_PER_S = 10.0
DEMAND_WEIGHT = 0.5  # of the last interval, in the moving average of the demand
DEMAND_INTERVAL_S = 1.0
IDLE_TENANT_S = 60.0  # without requests, after which the state of a tenant is dropped


@dataclass(frozen=True, slots=True)
class TokenReservation:
    """The result of taking the tokens of a request.

    Attributes:
        allowed: Whether the request may be sent.
        retry_after_s: If not allowed, the seconds after which the client should retry.
        tokens: The tokens taken; zero for a tenant without a limit.
        epoch: Epoch of the grant that the tokens were taken from; None for the reserved share and without a limit.
        taken_at: When the tokens were taken, in seconds of the monotonic clock.
    """

    allowed: bool
    retry_after_s: float = 0.0
    tokens: float = 0.0
    epoch: int | None = None
    taken_at: float = 0.0

    def is_valid(self, now: float) -> bool:
        """Whether the request may be sent now without renewing its tokens."""
        return self.tokens == 0.0 or now - self.taken_at <= SEND_DELAY_S


UNLIMITED = TokenReservation(True)


@dataclass(slots=True)
class _Demand:
    """Moving averages of the tokens and requests of a tenant at this router."""

    interval_started_at: float
    tokens: float = 0.0
    requests: int = 0
    tokens_per_s: float = 0.0
    requests_per_s: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        elapsed = now - self.interval_started_at
        if elapsed >= DEMAND_INTERVAL_S:
            self.tokens_per_s += DEMAND_WEIGHT * (self.tokens / elapsed - self.tokens_per_s)
            self.requests_per_s += DEMAND_WEIGHT * (self.requests / elapsed - self.requests_per_s)
            self.interval_started_at = now
            self.tokens = 0.0
            self.requests = 0
        self.tokens += tokens
        self.requests += 1

    def prefetch_tokens(self) -> float:
        return self.tokens_per_s * PREFETCH_S if self.requests_per_s >= PREFETCH_MIN_REQUESTS_PER_S else 0.0


@dataclass(slots=True)
class _TenantState:
    """What this router knows of one tenant's quota; `used_at` is the time of the latest request."""

    reserved: ReservedShare
    demand: _Demand
    used_at: float
    configure_count: int  # number of the `configure` call that set its terms and equal share
    granted: GrantedTokens = field(default_factory=GrantedTokens)
    is_prefetching: bool = False
    backoff_until: float = 0.0


class QuotaClient:
    """Takes tokens for the requests of one router.

    Args:
        router: The node name of the router.
        bounds: The quota bounds of the fleet.
        owners: Calls the owners of tenants.
        clock: The present time in seconds, monotonic.
        sleep: Pauses the calling greenlet for some seconds.
    """

    def __init__(
        self,
        router: str,
        bounds: QuotaBounds,
        owners: OwnerClient,
        clock: Callable[[], float] = monotonic,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self._router = router
        self._bounds = bounds
        self._owners = owners
        self._clock = clock
        self._sleep = sleep
        self._tenants: Mapping[str, Tenant] = {}
        self._router_count = 1
        self._configure_count = 0
        self._states: dict[str, _TenantState] = {}  # of tenants with recent requests
        self._idle_dropped_at = clock()

    def configure(self, tenants: Mapping[str, Tenant], router_count: int) -> None:
        """Sets the tenants and the number of live routers. The state of a tenant is updated at its next use."""
        self._tenants = tenants
        self._router_count = max(1, router_count)
        self._configure_count += 1

    def try_take(self, tenant: str, tokens: float, now: float) -> bool:
        """Takes the tokens from unspent grants without waiting; returns whether it did, True without a limit."""
        state = self._state_of(tenant)
        if state is None:
            return True
        state.demand.add(tokens, now)
        is_taken = state.granted.take(tokens, now)
        self._prefetch(tenant, state, now)
        return is_taken

    def take(self, tenant: str, tokens: float) -> TokenReservation:
        """Takes the tokens of a request that has arrived; may wait a short time for the owner's response."""
        now = self._clock()
        if self.try_take(tenant, tokens, now):
            return self._reservation(tenant, tokens, now)
        return self._take_from_owner(tenant, tokens)

    def renew(self, tenant: str, reservation: TokenReservation) -> TokenReservation:
        """Takes the tokens of an unsent request again if its reservation is no longer valid."""
        state = self._state_of(tenant)
        if state is None or reservation.is_valid(self._clock()):
            return reservation
        self.release(tenant, reservation)
        return self._take_from_owner(tenant, reservation.tokens)

    def release(self, tenant: str, reservation: TokenReservation) -> None:
        """Returns the tokens of a request that will certainly not be sent, with the next grant request to the owner.

        Tokens of the reserved share are not returned.
        """
        state = self._state_of(tenant)
        if state is not None and reservation.epoch is not None:
            state.granted.put_back(reservation.tokens, reservation.epoch)

    def _state_of(self, name: str) -> _TenantState | None:
        """The state of a tenant, updated to the current configuration; None if the tenant has no limit."""
        tenant = self._tenants.get(name)
        now = self._clock()
        if tenant is None or tenant.rate_per_s <= 0:
            self._states.pop(name, None)
            return None
        state = self._states.get(name)
        if state is None:
            self._drop_idle(now)
            state = _TenantState(ReservedShare(self._terms_of(tenant)), _Demand(now), now, 0)
            self._states[name] = state
        if state.configure_count != self._configure_count:
            state.configure_count = self._configure_count
            state.reserved.terms = self._terms_of(tenant)
            state.reserved.per_router_fraction = 1 / self._router_count
        state.used_at = now
        return state

    def _terms_of(self, tenant: Tenant) -> QuotaTerms:
        return terms_for(tenant.rate_per_s, tenant.burst, self._bounds)

    def _drop_idle(self, now: float) -> None:
        """Drops the state of tenants idle for so long that their grants and their window of spending have expired."""
        idle_s = max(IDLE_TENANT_S, 2 * self._bounds.window_s)
        if now - self._idle_dropped_at > idle_s:
            self._idle_dropped_at = now
            self._states = {name: state for name, state in self._states.items() if now - state.used_at <= idle_s}

    def _take_from_owner(self, tenant: str, tokens: float) -> TokenReservation:
        """Requests a grant; retries once if the tokens accrue within MAX_WAIT_S, as the client's retry takes longer."""
        reservation = self._take_once(tenant, tokens)
        if not reservation.allowed and reservation.retry_after_s <= MAX_WAIT_S:
            self._sleep(reservation.retry_after_s)
            reservation = self._take_once(tenant, tokens)
        if reservation.allowed:
            return reservation
        return replace(reservation, retry_after_s=max(reservation.retry_after_s, MIN_RETRY_S))

    def _take_once(self, tenant: str, tokens: float) -> TokenReservation:
        state = self._state_of(tenant)
        if state is None:
            return UNLIMITED  # the limit was lifted while the request waited
        grant = self._request_grant(tenant, state, tokens, state.demand.prefetch_tokens())
        now = self._clock()
        if state.granted.take(tokens, now):
            return self._reservation(tenant, tokens, now)
        # A newer owner's bucket began empty within this window, so that it may reject a tenant that keeps to its rate.
        has_owner_granted_for_a_window = grant is not None and grant.owner_age_s >= self._bounds.window_s
        if not has_owner_granted_for_a_window and state.reserved.take(tokens, now):
            return TokenReservation(True, 0.0, tokens, None, now)
        return TokenReservation(False, NO_OWNER_RETRY_S if grant is None else grant.retry_after_s)

    def _reservation(self, tenant: str, tokens: float, now: float) -> TokenReservation:
        state = self._state_of(tenant)
        return UNLIMITED if state is None else TokenReservation(True, 0.0, tokens, state.granted.epoch, now)

    def _prefetch(self, tenant: str, state: _TenantState, now: float) -> None:
        """Requests a grant in a new greenlet if less than half of the tokens to prefetch are available."""
        tokens = state.demand.prefetch_tokens()
        if tokens and not state.is_prefetching and state.granted.available(now) < tokens / 2:
            state.is_prefetching = True
            gevent.spawn(self._request_prefetch, tenant, state, tokens)

    def _request_prefetch(self, tenant: str, state: _TenantState, tokens: float) -> None:
        try:
            self._request_grant(tenant, state, 0.0, tokens)
        finally:
            state.is_prefetching = False

    def _request_grant(self, tenant: str, state: _TenantState, needed: float, ahead: float) -> Grant | None:
        """Requests a grant and adds its tokens; returns None if no owner responded or in the back-off after that."""
        requested_at = self._clock()
        if requested_at < state.backoff_until:
            return None
        unused = state.granted.take_unused()
        request = GrantRequest(tenant, self._router, needed, ahead, unused, state.granted.epoch)
        grant = self._owners.request(tenant, request, Grant, RESPONSE_TIMEOUT_S, f"tenant={tenant}")
        if grant is None:
            state.backoff_until = self._clock() + OWNER_BACKOFF_S
            return None
        state.granted.add(grant.tokens, requested_at, grant.epoch)
        state.reserved.record_grant(grant.tokens, requested_at)
        return grant


def request_cost(tenant: Tenant, token_usage: tuple[float, float] | None) -> float:
    """The tokens that a request takes of its tenant's quota; 1 where the quota is in requests.

    Args:
        tenant: The tenant of the request.
        token_usage: The numbers of prompt and response tokens that the client declared; None if it declared none.
    """
    if tenant.unit is not QuotaUnit.TOKENS:
        return 1.0
    return tenant.plain_tokens if token_usage is None else sum(token_usage)
