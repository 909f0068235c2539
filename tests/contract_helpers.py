"""Contract registries for tests, and a simulated front with its own clock."""

from __future__ import annotations

import heapq
import random

from ochrespan.contracts.admission import Admission, AdmissionRequest, Grant, NotCovered, OverBudget
from ochrespan.contracts.terms import Budget, Contract, ContractRegistry, Reserve, Terms, token_digest


def team(
    name: str,
    parent: str = "",
    *,
    reserve: float = 0.0,
    weight: float = 1.0,
    classes=("read",),
    tokens=(),
    volumes=(),
    per_request: float | None = None,
    **budget,
) -> tuple[Contract, tuple[str, ...]]:
    """A contract and the volumes that it owns."""
    others = {key: budget.pop(key) for key in ("withdrawn", "withdrawn_classes", "begins", "ends") if key in budget}
    terms = Terms(name, "team", parent, weight, Reserve(reserve), Budget(**budget))
    contract = Contract(
        terms,
        "gold",
        frozenset(classes),
        tokens=frozenset(map(token_digest, tokens)),
        volumes=frozenset(volumes),
        attempts_per_request=per_request,
        **others,
    )
    return contract, tuple(volumes) or (f"v-{name}",)


def make_registry(
    *teams,
    capacity: float | None = None,
    fronts: int = 1,
    max_units: float = 8.0,
    max_attempts: int = 3,
    levels: tuple[Terms, ...] = (),
) -> ContractRegistry:
    """A registry of these contracts; `levels` are added before them."""
    registry = ContractRegistry(Reserve(capacity) if capacity else None, fronts, max_units, max_attempts)
    for terms in levels:
        registry.levels[terms.path] = terms
    for contract, volumes in teams:
        registry.add(contract)
        registry.set_owner(contract.path, volumes, ())
    return registry


class SimulatedFront:
    """One front's admission control on a simulated clock. Requests of `run` complete after a fixed duration."""

    def __init__(self, registry: ContractRegistry, now: float = 1_000_000.0, seed: int = 1) -> None:
        self.now, self.admission, self.rng = now, Admission(registry, now), random.Random(seed)
        self.open: list[tuple[float, int, Grant]] = []
        self.count = 0

    def request(self, name: str, units: float = 2.0, **others) -> Grant | NotCovered | OverBudget:
        """Sends one request of that team."""
        demand = {"cls": "read", "volume": f"v-{name}"} | others
        return self.admission.admit(self.now, AdmissionRequest(units=units, **demand))

    def complete(self, grant: Grant, sent: int = 1, ran: int | None = None) -> None:
        """Completes an admitted request."""
        self.admission.complete(self.now, grant, sent, sent if ran is None else ran)

    def run(
        self,
        rates: dict[str, float],
        seconds: float,
        units: float = 2.0,
        duration: float = 0.05,
        attempts=lambda grant: 1,
    ) -> dict[str, float]:
        """Sends `rates` requests per second by team, at random times. Returns the admitted units per second."""
        got = dict.fromkeys(rates, 0.0)
        until, step = self.now + seconds, 0.002
        while self.now < until:
            self.now += step
            while self.open and self.open[0][0] <= self.now:
                _, _, grant = heapq.heappop(self.open)
                self.complete(grant, attempts(grant))
            for name, rate in rates.items():
                for _ in range(int(rate * step) + (self.rng.random() < rate * step % 1)):
                    result = self.request(name, units)
                    if isinstance(result, Grant):
                        got[name] += units
                        self.count += 1
                        heapq.heappush(self.open, (self.now + duration, self.count, result))
        return {name: amount / seconds for name, amount in got.items()}

    def check(self, open_: int | None = None) -> None:
        """Checks that all accounts balance, and optionally the number of open requests."""
        self.admission.advance(self.now)
        for level in self.admission.levels.values():
            for bucket in (level.units, level.attempts, level.extra_attempts, level.reserve):
                if bucket is not None:
                    assert bucket.granted == bucket.spent + bucket.held + bucket.left, level.path
                    assert bucket.left <= bucket.burst
            if level.pool is not None:
                pool = level.pool
                assert pool.received == pool.balance + pool.lent_out + pool.passed_to_parent + pool.discarded
                assert pool.unassigned >= 0 and pool.balance >= 0 and pool.rate >= 0, level.path
            assert level.open >= 0
        if open_ is not None:
            assert self.admission.levels[""].open == open_
