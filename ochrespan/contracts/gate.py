"""The contracts as the core's gate: the core's requests in, grants and refusals out, and what is told of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

import structlog

from .. import requests as core
from ..figures import Reading, plain
from . import admission
from .accounts import accounts, level_statistics
from .adaptive_quota import AdaptiveQuota
from .admission import Admission, Demand, Grant
from .terms import Contract, ContractRegistry

log = structlog.get_logger(__name__)

REFUSAL_LOG_INTERVAL_S = 5.0  # s between log lines of one team and rule: a surge must not fill the log
MAX_LOGGED_REFUSALS = 10_000  # teams and rules of which the last line is remembered


@dataclass(slots=True)
class LoggedRefusal:
    """When refusals of one team by one rule were last logged."""

    logged_at: float
    suppressed: int = 0  # refusals since then that were not told


class ContractGate:
    """`now` is Unix time in seconds, as the core's clock has it."""

    def __init__(self, registry: ContractRegistry, clock: Callable[[], float]) -> None:
        self.now = clock
        self.admission = Admission(registry, clock())
        self._logged_refusals: dict[tuple[str, str], LoggedRefusal] = {}
        self._quotas: dict[str, AdaptiveQuota] = {}
        self._configure_quotas()

    # ---- the core's side ----

    def admit(self, now: float, request: core.Request) -> Grant | core.NotCovered | core.OverBudget:
        """Admits one of the core's requests, or says why not."""
        claim = request.claim or core.Claim()
        demand = Demand(request.cls, request.units, request.plan, claim.token, request.volume, claim.bucket)
        result = self.admission.admit(now, demand, claim.contract)
        if isinstance(result, Grant):
            return result
        if isinstance(result, admission.OverBudget):
            if quota := self._quotas.get(result.team):
                quota.record_refusal()
            self._log_refusal(now, result.team, result.rule, level=result.level, wait_s=round(result.wait_s, 3))
            return core.OverBudget(result.rule, result.team, timedelta(seconds=result.wait_s))
        self._log_refusal(now, result.team, result.rule, why=result.reason)
        return core.NotCovered(result.rule, result.team, result.reason)

    def extend(self, now: float, grant: Grant) -> None:
        """Pays for one more attempt, if the budgets bear it."""
        self.admission.extend(now, grant)

    def settle(self, now: float, grant: Grant, sent: int, ran: int) -> None:
        """The end of what was admitted: so many attempts sent, so many of which may have run."""
        if quota := self._quotas.get(grant.team):
            quota.record_spent(ran * grant.units_per_attempt)
        self.admission.complete(now, grant, sent, ran)

    def heard(self, now: float, grant: Grant, units: float) -> None:
        """So many units of the request's volume were served through other fronts."""
        if quota := self._quotas.get(grant.team):
            quota.record_spent_elsewhere(units)

    def _log_refusal(self, now: float, team: str, rule: str, **fields: object) -> None:
        if len(self._logged_refusals) > MAX_LOGGED_REFUSALS:
            self._logged_refusals.clear()
        logged = self._logged_refusals.get((team, rule))
        if logged is not None and now - logged.logged_at < REFUSAL_LOG_INTERVAL_S:
            logged.suppressed += 1
            return
        log.info(
            "refused by contract", team=team or "-", rule=rule, untold=logged.suppressed if logged else 0, **fields
        )
        self._logged_refusals[team, rule] = LoggedRefusal(now)

    # ---- the operator's side ----

    def identify(self, token: str, bucket: str) -> Contract | core.NotCovered:
        """Whose work on a bucket it is, for fronts that need to know before they ask for anything."""
        result = self.admission.identify(Demand("", 0.0, token=token, bucket=bucket))
        return result if isinstance(result, Contract) else core.NotCovered(result.rule, result.team, result.reason)

    def covers(self, contract: Contract, cls: str) -> core.NotCovered | None:
        """Why a contract does not cover a class now; None: it does."""
        refusal = self.admission.check_coverage(contract, Demand(cls, 0.0), self.now())
        return refusal and core.NotCovered(refusal.rule, refusal.team, refusal.reason)

    def owner(self, bucket: str) -> str:
        """The name under which a bucket's data lies: its team's, whichever service writes it."""
        path = self.admission.registry.by_bucket[bucket]
        return self.admission.registry.levels[path].name

    def replace(self, registry: ContractRegistry) -> None:
        """A new book, checked: what was granted and spent carries over."""
        previous = set(self.admission.registry.contracts)
        self.admission.replace(registry, self.now())
        self._configure_quotas()
        log.info(
            "contracts read anew",
            contracts=len(registry.contracts),
            new=len(set(registry.contracts) - previous),
            gone=len(previous - set(registry.contracts)),
        )

    def _configure_quotas(self) -> None:
        registry, previous = self.admission.registry, self._quotas
        self._quotas = {}
        for path, contract in registry.contracts.items():
            rate = contract.terms.budget.units_per_s
            if contract.quota_mode == "heard" and rate is not None:
                self._quotas[path] = quota = previous.get(path) or AdaptiveQuota(rate, 1)
                quota.rate, quota.fronts = rate, max(1, contract.fronts or registry.fronts)
        self.admission.set_scales({path: quota.scale for path, quota in self._quotas.items()})

    def update_quotas(self) -> None:
        """Lets the parts move."""
        now = self.now()
        for path, quota in self._quotas.items():
            if (scale := quota.update(now)) is not None:
                self.admission.rescale(path, scale, now)

    def metric_samples(self) -> Iterator[Reading]:
        """Every account and count, for the exporters."""
        now = self.now()
        for account in accounts(self.admission, now):
            group = plain(f"contract-{account.path or 'installation'}")
            for name in ("granted", "spent", "held", "left"):
                # granted is what was let in less what did not fit: it may shrink, as what is left may
                yield Reading(group, f"{plain(account.budget)}_{name}", getattr(account, name), name == "spent")
        for level in level_statistics(self.admission, now):
            group = plain(f"contract-{level.path or 'installation'}")
            yield Reading(group, "open", level.open, False)
            yield Reading(group, "lent", level.lent, True)
            yield Reading(group, "borrowed", level.borrowed, False)
            for name, number in level.counts.items():
                yield Reading(group, plain(name), number, True)
        for rule, number in list(self.admission.unattributed_refusals.items()):
            yield Reading("contract-none", plain(f"not-covered.{rule}"), number, True)
