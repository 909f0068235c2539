"""Quotas: the bound over all routers in any window, while owners change and some routers reach no owner."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan.control_plane.config.views import QuotaUnit, Tenant
from ochrespan.control_plane.owner_calls import NotOwnerResponse, OwnerClient
from ochrespan.control_plane.quota.allocation import (
    EQUAL_FRACTION,
    GRANT_LIFETIME_S,
    SEND_DELAY_S,
    GrantedTokens,
    QuotaBounds,
    TokenBucket,
    quota_bounds,
    terms_for,
)
from ochrespan.control_plane.quota.client import IDLE_TENANT_S, MIN_RETRY_S, QuotaClient, request_cost
from ochrespan.control_plane.quota.messages import Grant, GrantRequest
from ochrespan.control_plane.quota.owner import QuotaOwner
from ochrespan.control_plane.replication.groups import LEASE_DURATION_S
from ochrespan.control_plane.shards import ALL_SHARDS, shard_of
from ochrespan.transport.rpc import RpcError

BOUNDS = QuotaBounds(window_s=8.0, overshoot=0.1, slack=190_000.0)
OWNER, OTHER = ("10.0.0.1", 7500), ("10.0.0.2", 7500)


def limited(name="t", rate=71_430.0, burst=112_296.0, unit=QuotaUnit.TOKENS):
    return Tenant(name, ("k",), 0, unit, 200.0, rate, burst)


def max_in_a_window(spends, window):
    """The maximum number of tokens spent in any window of the given length."""
    spends = sorted(spends)
    most = total = first = 0
    for at, tokens in spends:
        total += tokens
        while spends[first][0] <= at - window:
            total -= spends[first][1]
            first += 1
        most = max(most, total)
    return most


def test_the_terms_admit_rate_and_burst_where_the_bound_leaves_headroom():
    terms = terms_for(71_430, 112_296, BOUNDS)
    assert terms.rate >= 71_430 and terms.depth >= 112_296 and terms.reserved > 71_430


@given(st.floats(0.1, 1e6), st.floats(0, 1e6), st.floats(1, 60), st.floats(0, 1), st.floats(0, 1e6))
@settings(deadline=None)
def test_the_terms_never_exceed_the_bound(rate, burst, window, overshoot, slack):
    bounds = QuotaBounds(window, overshoot, slack)
    terms = terms_for(rate, burst, bounds)
    granted = terms.rate * (window + GRANT_LIFETIME_S + SEND_DELAY_S) + terms.depth
    assert granted + terms.reserved <= bounds.allowed(rate, burst) * (1 + 1e-9)
    assert min(terms.rate, terms.depth, terms.reserved) >= 0


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class Groups:
    """Replica groups of one owner, whose leadership the test sets."""

    def __init__(self):
        self.age = 0.0
        self.leads = True

    def is_leader(self, shard):
        return self.leads

    def leader(self, shard):
        return OWNER if self.leads else OTHER

    def lease_age_s(self, shard):
        return self.age if self.leads else float("inf")


class Fleet:
    """Successive owners, and routers of which some are disconnected from the owner."""

    def __init__(self, tenant, routers, clock):
        self.tenant, self.clock = tenant, clock
        self.cut_off = set()
        self.owners = [self.new_owner()]
        self.clients = [
            QuotaClient(
                f"edge-{number}", BOUNDS, OwnerClient(lambda tenant: [OWNER], self.call_as(number)), clock, clock.sleep
            )
            for number in range(routers)
        ]
        for client in self.clients:
            client.configure({tenant.name: tenant}, routers)

    def new_owner(self):
        owner = QuotaOwner(Groups(), lambda name: self.tenant if name == self.tenant.name else None, BOUNDS, self.clock)
        for shard in ALL_SHARDS:
            owner.leadership_changed(shard, True)
        return owner

    def replace_owner(self):
        """Makes a new owner; the former one has lost its quorum, and its lease expired before the election."""
        self.owners[-1]._groups.age = LEASE_DURATION_S
        self.owners.append(self.new_owner())

    def call_as(self, number):
        def call(address, request, timeout):
            if number in self.cut_off:
                self.clock.now += 0.01
                raise RpcError("cut off")
            former = len(self.owners) > 1 and random.random() < 0.1
            reply = self.owners[-2 if former else -1].grant(request)
            if isinstance(reply, NotOwnerResponse):
                raise RpcError("no owner")
            return reply

        return call


@given(st.integers(0, 2**32), st.integers(1, 12))
@settings(max_examples=60, deadline=None)
def test_no_window_exceeds_the_bound_with_owners_that_change_and_unreachable_owners(seed, routers):
    draw = random.Random(seed)
    random.seed(seed)
    clock, tenant = Clock(), limited()
    fleet, spends, waiting = Fleet(tenant, routers, clock), [], []
    clock.now += 5.0
    for _ in range(600):
        clock.now += draw.expovariate(40)
        event = draw.random()
        if event < 0.01:
            fleet.replace_owner()
        elif event < 0.03:
            fleet.cut_off = set(draw.sample(range(routers), draw.randint(0, routers)))
        tokens = float(draw.choice((200, 1_790, 9_250, 17_300)))
        client = draw.choice(fleet.clients)
        taken = client.take("t", tokens)
        if taken.allowed and draw.random() < 0.2:
            waiting.append((clock.now + draw.uniform(0, 3.0), client, taken))
        elif taken.allowed:
            spends.append((clock.now + draw.uniform(0, SEND_DELAY_S), tokens))
        for until, client, taken in [each for each in waiting if each[0] <= clock.now]:
            waiting.remove((until, client, taken))
            if (taken := client.renew("t", taken)).allowed:
                spends.append((clock.now + draw.uniform(0, SEND_DELAY_S), taken.tokens))
    assert max_in_a_window(spends, BOUNDS.window_s) <= BOUNDS.allowed(tenant.rate_per_s, tenant.burst)


def test_a_tenant_within_its_rate_is_never_rejected():
    clock, tenant = Clock(), limited(rate=1000.0, burst=3000.0)
    fleet = Fleet(tenant, 4, clock)
    clock.now += 10.0
    for number in range(500):
        clock.now += 0.5
        assert fleet.clients[number % 4].take("t", 500.0).allowed


def test_a_rejection_says_when_to_retry():
    clock, tenant = Clock(), limited(rate=10.0, burst=5.0, unit=QuotaUnit.REQUESTS)
    fleet = Fleet(tenant, 1, clock)
    clock.now += 2 * BOUNDS.window_s
    while (taken := fleet.clients[0].take("t", 5.0)).allowed:
        pass
    assert MIN_RETRY_S <= taken.retry_after_s < 1
    clock.now += taken.retry_after_s
    assert fleet.clients[0].take("t", 5.0).allowed


def test_a_request_waits_for_tokens_that_accrue_shortly_instead_of_being_rejected():
    clock, tenant = Clock(), limited(rate=10.0, burst=5.0, unit=QuotaUnit.REQUESTS)
    fleet = Fleet(tenant, 1, clock)
    clock.now += 2 * BOUNDS.window_s
    while fleet.clients[0].take("t", 5.0).allowed:
        pass
    began = clock.now
    taken = [fleet.clients[0].take("t", 1.0).allowed for _ in range(20)]
    assert all(taken) and clock.now - began > 1.0


def test_no_owner_is_called_for_tenants_without_a_limit():
    def call(address, request, timeout):
        raise AssertionError("asked")

    client = QuotaClient("edge-1", BOUNDS, OwnerClient(lambda tenant: [OWNER], call))
    client.configure({"free": limited("free", rate=0.0)}, 3)
    assert client.take("free", 1e9).allowed and client.try_take("unknown", 1.0, 0.0)


def test_the_state_of_a_tenant_that_is_idle_or_lost_its_limit_is_dropped():
    clock = Clock()
    client = QuotaClient("edge-1", BOUNDS, OwnerClient(lambda tenant: [], lambda *call: None), clock, clock.sleep)
    tenants = {name: limited(name) for name in "abc"}
    client.configure(tenants, 2)
    assert not client._states
    client.take("a", 1.0)
    client.take("b", 1.0)
    clock.now += IDLE_TENANT_S / 2
    client.take("b", 1.0)
    clock.now += IDLE_TENANT_S / 2 + 1
    client.take("c", 1.0)
    assert set(client._states) == {"b", "c"}
    client.configure({**tenants, "b": limited("b", rate=0.0)}, 2)
    assert client.take("b", 1e9).allowed and set(client._states) == {"c"}


def test_a_new_router_count_applies_from_the_next_request_on():
    clock = Clock()
    client = QuotaClient("edge-1", BOUNDS, OwnerClient(lambda tenant: [], lambda *call: None), clock, clock.sleep)
    client.configure({"t": limited()}, 1)
    reserved_tokens = EQUAL_FRACTION * terms_for(limited().rate_per_s, limited().burst, BOUNDS).reserved
    assert client.take("t", 0.6 * reserved_tokens).allowed
    client.configure({"t": limited()}, 4)
    assert not client.take("t", 0.3 * reserved_tokens).allowed
    client.configure({"t": limited()}, 1)
    clock.now += 1.0
    assert client.take("t", 0.3 * reserved_tokens).allowed


def test_a_router_that_reaches_no_owner_spends_its_reserved_share_alone():
    clock, tenant = Clock(), limited()
    fleet = Fleet(tenant, 4, clock)
    fleet.cut_off = {0}
    spends = []
    for _ in range(2000):
        clock.now += 0.01
        if fleet.clients[0].take("t", 100.0).allowed:
            spends.append((clock.now, 100.0))
    reserved_tokens = EQUAL_FRACTION / 4 * terms_for(tenant.rate_per_s, tenant.burst, BOUNDS).reserved
    assert 0.9 * reserved_tokens < max_in_a_window(spends, BOUNDS.window_s) <= reserved_tokens


def test_a_router_calls_the_owner_that_another_controller_names():
    asked = []

    def call(address, request, timeout):
        asked.append(address)
        return NotOwnerResponse(*OTHER) if address == OWNER else Grant(request.needed, 0.0, 1)

    client = QuotaClient("edge-1", BOUNDS, OwnerClient(lambda tenant: [OWNER], call))
    client.configure({"t": limited()}, 1)
    assert client.take("t", 5.0).allowed and asked == [OWNER, OTHER]


def test_an_owner_without_a_lease_or_leadership_grants_nothing():
    groups, tenant = Groups(), limited()
    owner = QuotaOwner(groups, lambda name: tenant, BOUNDS)
    request = GrantRequest("t", "edge-1", 1.0, 0.0)
    assert isinstance(owner.grant(request), NotOwnerResponse)
    owner.leadership_changed(shard_of("t"), True)
    assert isinstance(owner.grant(request), Grant)
    groups.age = LEASE_DURATION_S
    assert isinstance(owner.grant(request), NotOwnerResponse)
    groups.age = 0.0
    owner.leadership_changed(shard_of("t"), False)
    assert isinstance(owner.grant(request), NotOwnerResponse)


def test_unused_tokens_go_back_only_to_the_owner_that_granted_them():
    granted = GrantedTokens()
    granted.add(10.0, requested_at=0.0, epoch=1)
    assert granted.take(4.0, now=GRANT_LIFETIME_S / 2)
    assert granted.available(GRANT_LIFETIME_S) == 0 and granted.take_unused() == 6.0
    granted.add(10.0, requested_at=2.0, epoch=1)
    granted.add(3.0, requested_at=2.1, epoch=2)
    assert granted.available(9.0) == 0 and granted.take_unused() == 3.0


def test_a_lower_limit_applies_from_the_next_grant_on():
    bucket = TokenBucket(100.0, 100.0, now=0.0, level=100.0)
    bucket.configure(1.0, 10.0, now=1.0)
    assert bucket.level == 10.0 and not bucket.take(11.0, now=1.0)
    assert bucket.wait_for(11.0, now=1.0) == 0.0 and not bucket.take(10.5, now=2.0)


@pytest.mark.parametrize("bounds", [{}, {"quota_window_s": "8"}, {"quota_slack": None}, {"quota_overshoot": True}])
def test_bounds_that_are_missing_or_no_numbers_take_the_strictest_default(bounds):
    assert quota_bounds(bounds) == QuotaBounds(8.0, 0.0, 0.0)


def test_a_request_counts_by_its_tokens_or_as_one():
    assert request_cost(limited(), (1460, 80)) == 1540
    assert request_cost(limited(), None) == 200
    assert request_cost(limited(unit=QuotaUnit.REQUESTS), (1460, 80)) == 1


def test_a_router_whose_owner_is_unreachable_continues_for_a_while_at_its_rate():
    clock, tenant = Clock(), limited()
    fleet = Fleet(tenant, 4, clock)
    clock.now += 5.0
    for _ in range(100):
        clock.now += 0.08
        assert fleet.clients[0].take("t", 4_000.0).allowed
    fleet.cut_off = {0}
    served = 0.0
    for _ in range(20):
        clock.now += 0.05
        served += 2_500.0 if fleet.clients[0].take("t", 2_500.0).allowed else 0.0
    assert served >= 30_000


def test_a_request_that_waited_renews_its_tokens_unless_they_are_still_valid():
    clock, tenant = Clock(), limited(rate=10.0, burst=5.0, unit=QuotaUnit.REQUESTS)
    fleet = Fleet(tenant, 2, clock)
    clock.now += 20.0
    client = fleet.clients[0]
    taken = client.take("t", 1.0)
    assert client.renew("t", taken) is taken
    bucket = fleet.owners[0]._buckets["t"]
    clock.now += SEND_DELAY_S + 0.1
    level = bucket.level
    renewed = client.renew("t", taken)
    assert renewed.allowed and renewed.taken_at == clock.now and renewed.is_valid(clock.now)
    assert bucket.level >= level
    free = client.take("unlimited", 1e9)
    assert client.renew("unlimited", free) is free


def test_where_the_owner_is_gone_another_controller_names_the_next_one():
    def call(address, request, timeout):
        if address == OWNER:
            raise RpcError("gone")
        return NotOwnerResponse(*OWNER) if address == OTHER else Grant(request.needed, 0.0, 1)

    third = ("10.0.0.3", 7500)
    client = QuotaClient("edge-1", BOUNDS, OwnerClient(lambda tenant: [OWNER, OTHER, third], call))
    client.configure({"t": limited()}, 1)
    assert client.take("t", 5.0).allowed


def test_tokens_of_a_request_that_was_not_sent_go_back_to_the_owner():
    clock, tenant = Clock(), limited(rate=10.0, burst=5.0, unit=QuotaUnit.REQUESTS)
    fleet = Fleet(tenant, 1, clock)
    clock.now += 20.0
    client = fleet.clients[0]
    for _ in range(100):
        taken = client.take("t", 10.0)
        assert taken.allowed
        client.release("t", taken)
    client.release("unlimited", client.take("unlimited", 1.0))


def test_a_new_owner_with_empty_buckets_leaves_routers_their_reserved_share():
    clock, tenant = Clock(), limited(rate=10_000.0, burst=16_000.0)
    fleet = Fleet(tenant, 9, clock)
    clock.now += 20.0
    fleet.replace_owner()
    assert [fleet.clients[number].take("t", 12_000.0).epoch for number in range(9)] == [None] * 9
    assert not fleet.clients[0].take("t", 12_000.0).allowed
    clock.now += 2 * BOUNDS.window_s
    taken = [fleet.clients[number].take("t", 12_000.0) for number in range(9)]
    assert any(each.epoch is not None for each in taken) and not all(each.allowed for each in taken)


@given(st.floats(1, 1e5), st.floats(0, 1e5), st.floats(0, 2e5))
@settings(deadline=None)
def test_the_bucket_covers_rate_and_burst_where_the_slack_leaves_headroom(rate, burst, slack):
    bounds = QuotaBounds(8.0, 0.1, slack)
    terms = terms_for(rate, burst, bounds)
    headroom = bounds.allowed(rate, burst) - rate * (8.0 + GRANT_LIFETIME_S + SEND_DELAY_S) - burst
    if headroom >= 0.25 * rate:
        assert terms.depth >= 0.99 * burst - 1e-6 and terms.rate >= rate
