"""Admission of the core's requests by contract, with logging of refusals and metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

import structlog

from .. import requests as core
from ..metric_samples import MetricSample, metric_safe_name
from . import admission
from .accounts import accounts, level_statistics
from .adaptive_quota import AdaptiveQuota
from .admission import Admission, AdmissionRequest, Grant
from .terms import Contract, ContractRegistry

log = structlog.get_logger(__name__)

REFUSAL_LOG_INTERVAL_S = 5.0  # between log lines of one team and rule, so that a surge does not flood the log
MAX_LOGGED_REFUSALS = 10_000  # pairs of team and rule to remember


@dataclass(slots=True)
class LoggedRefusal:
    """The last log line about refusals of one team by one rule."""

    logged_at: float
    suppressed: int = 0  # refusals since then that were not logged


class ContractGate:
    """Admission control for the core. `now` is Unix time in seconds from the core's clock."""

    def __init__(self, registry: ContractRegistry, clock: Callable[[], float]) -> None:
        self.now = clock
        self.admission = Admission(registry, clock())
        self._logged_refusals: dict[tuple[str, str], LoggedRefusal] = {}
        self._quotas: dict[str, AdaptiveQuota] = {}
        self._configure_quotas()

    # ---- for the core ----

    def admit(self, now: float, request: core.Request) -> Grant | core.NotCovered | core.OverBudget:
        """Admits one of the core's requests, or returns the reason for refusal."""
        claim = request.claim or core.Claim()
        admission_request = AdmissionRequest(
            request.cls, request.units, request.plan, claim.token, request.volume, claim.bucket
        )
        result = self.admission.admit(now, admission_request, claim.contract)
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
        """Adds one attempt to the grant if the budgets allow it."""
        self.admission.extend(now, grant)

    def release(self, now: float, grant: Grant, sent: int, ran: int) -> None:
        """Completes a grant: `sent` attempts were sent, of which `ran` may have run."""
        if quota := self._quotas.get(grant.team):
            quota.record_spent(ran * grant.units_per_attempt)
        self.admission.complete(now, grant, sent, ran)

    def record_usage_elsewhere(self, now: float, grant: Grant, units: float) -> None:
        """Records units of the request's volume that were served by other fronts."""
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

    # ---- for other fronts and for reloads ----

    def identify(self, token: str, bucket: str) -> Contract | core.NotCovered:
        """Finds the contract for a token and a bucket, for fronts that need it before they send requests."""
        result = self.admission.identify(AdmissionRequest("", 0.0, token=token, bucket=bucket))
        return result if isinstance(result, Contract) else core.NotCovered(result.rule, result.team, result.reason)

    def covers(self, contract: Contract, cls: str) -> core.NotCovered | None:
        """Returns why a contract does not cover a class now, or None if it does."""
        refusal = self.admission.check_coverage(contract, AdmissionRequest(cls, 0.0), self.now())
        return refusal and core.NotCovered(refusal.rule, refusal.team, refusal.reason)

    def owner(self, bucket: str) -> str:
        """The name under which a bucket's data is stored: its team's, whichever service writes it."""
        path = self.admission.registry.by_bucket[bucket]
        return self.admission.registry.levels[path].name

    def replace(self, registry: ContractRegistry) -> None:
        """Puts a checked registry in force; granted and spent amounts carry over."""
        previous = set(self.admission.registry.contracts)
        self.admission.replace(registry, self.now())
        self._configure_quotas()
        log.info(
            "contracts reloaded",
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
        """Updates this front's adaptive quotas."""
        now = self.now()
        for path, quota in self._quotas.items():
            if (scale := quota.update(now)) is not None:
                self.admission.rescale(path, scale, now)

    def metric_samples(self) -> Iterator[MetricSample]:
        """Yields every account and count, for the exporters."""
        now = self.now()
        for account in accounts(self.admission, now):
            group = metric_safe_name(f"contract-{account.path or 'installation'}")
            for name in ("granted", "spent", "held", "left"):
                # not a counter: `granted` excludes overflow and can shrink, and so can `left`
                yield MetricSample(
                    group, f"{metric_safe_name(account.budget)}_{name}", getattr(account, name), name == "spent"
                )
        for level in level_statistics(self.admission, now):
            group = metric_safe_name(f"contract-{level.path or 'installation'}")
            yield MetricSample(group, "open", level.open, False)
            yield MetricSample(group, "lent", level.lent, True)
            yield MetricSample(group, "borrowed", level.borrowed, False)
            for name, number in level.counts.items():
                yield MetricSample(group, metric_safe_name(name), number, True)
        for rule, number in list(self.admission.unattributed_refusals.items()):
            yield MetricSample("contract-none", metric_safe_name(f"not-covered.{rule}"), number, True)
