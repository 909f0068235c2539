"""Admission control: checks that a contract covers a request and that its budgets suffice, before scheduling.

`admit` returns a `Grant` that reserves the request's maximum cost, retries included; `NotCovered`, which is permanent;
or `OverBudget`, with the time until a retry can succeed. When budgets run low, a grant may reserve fewer attempts than
the settings allow; each further retry must then be paid for by `extend` before it is sent. Every grant is completed
once, with the actual cost: unit budgets are charged for each attempt that may have run, attempt budgets for each
attempt sent.

Internal amounts and times are integers (`fixed_point.py`); `now` is Unix time in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping

from . import authorization
from .allocation import MIN_WAIT_US, AllocationRequest, ExceededLimit, allocate
from .fixed_point import to_micros, to_pico
from .grants import AdmissionRequest, Allocation, Grant, NotCovered, OverBudget
from .levels import Level
from .terms import Contract, ContractRegistry
from .tree import LevelTree

__all__ = ["Admission", "AdmissionRequest", "Grant", "NotCovered", "OverBudget"]


class Admission:
    """The accounts of one front process under the contracts in force."""

    def __init__(self, registry: ContractRegistry, now: float) -> None:
        self._tree = LevelTree(registry, now)
        self.levels = self._tree.levels  # by path; the empty path is the installation
        self.unattributed_refusals: dict[str, int] = {}  # by rule; requests without a known contract

    @property
    def registry(self) -> ContractRegistry:
        """The contracts in force."""
        return self._tree.registry

    def replace(self, registry: ContractRegistry, now: float) -> None:
        """Puts a new registry in force. Granted, held and spent amounts carry over by level path."""
        self._tree.replace(registry, now)

    def advance(self, now: float) -> None:
        """Runs all timers that are due."""
        self._tree.advance(now)

    def set_scales(self, scales: Mapping[str, float]) -> None:
        """Sets this front's multiples of the even fraction of contracts' budgets, by path, for the next `replace`."""
        self._tree.scales = dict(scales)

    def rescale(self, path: str, scale: float, now: float) -> None:
        """Sets this front's multiple of the even fraction of one contract's budgets, effective at once."""
        self._tree.rescale(path, scale, now)

    # ---- authorization ----

    def identify(self, request: AdmissionRequest) -> Contract | NotCovered:
        """Finds the contract of a request; see `authorization.identify`."""
        return authorization.identify(self.registry, request)

    def check_coverage(self, contract: Contract, request: AdmissionRequest, now: float) -> NotCovered | None:
        """Returns why a contract does not cover the request, or None if it does."""
        return authorization.check_coverage(contract, request, now)

    # ---- requests ----

    def admit(
        self, now: float, request: AdmissionRequest, started_under: Contract | None = None
    ) -> Grant | NotCovered | OverBudget:
        """Admits or refuses a request.

        `started_under` is the contract that admitted earlier requests of the same operation: the operation may finish
        even if that contract, or a class or token of it, has been withdrawn since.
        """
        contract = started_under or self.identify(request)
        if isinstance(contract, NotCovered):
            return self._count_not_covered(contract)
        leaf = self.levels.get(contract.path)
        if leaf is None:
            removed = NotCovered("withdrawn", contract.path, "the contract is there no longer")
            return self._count_not_covered(removed)
        if started_under is None and (refusal := self.check_coverage(contract, request, now)) is not None:
            return self._count_not_covered(refusal)
        result = self._grant(contract, leaf, to_pico(request.units), to_micros(now))
        match result:
            case Grant():
                leaf.count("admitted")
                leaf.earn_extra_attempt()
            case OverBudget():
                leaf.count(f"over-budget.{result.rule}")
            case NotCovered():
                self._count_not_covered(result)
        return result

    def _count_not_covered(self, refusal: NotCovered) -> NotCovered:
        if level := self.levels.get(refusal.team) if refusal.team else None:
            level.count(f"not-covered.{refusal.rule}")
        else:
            self.unattributed_refusals[refusal.rule] = self.unattributed_refusals.get(refusal.rule, 0) + 1
        return refusal

    def _grant(self, contract: Contract, leaf: Level, attempt_cost: int, now: int) -> Grant | NotCovered | OverBudget:
        path = list(leaf.self_and_ancestors())
        allocation_request = AllocationRequest(contract, leaf, path[1:], attempt_cost, self.registry.max_attempts, now)
        for level in path:
            if level.max_open is not None and level.open >= level.max_open:
                return allocation_request.refusal(level, ExceededLimit("open", MIN_WAIT_US))
        allocation = allocate(allocation_request, self._tree.timers)
        if not isinstance(allocation, Allocation):
            return allocation
        grant = Grant(contract, leaf, path, attempt_cost)
        for level in path:
            level.open += 1
        grant.add(allocation)
        return grant

    def extend(self, now: float, grant: Grant) -> bool:
        """Adds one attempt to a grant whose attempts are used up; False if the budgets do not allow it."""
        if grant.completed:
            return False
        allocation_request = AllocationRequest(
            grant.contract, grant.leaf, grant.levels_from_leaf[1:], grant.attempt_cost, 1, to_micros(now)
        )
        allocation = allocate(allocation_request, self._tree.timers, grant.extra_bucket)
        if not isinstance(allocation, Allocation):
            grant.leaf.count("retry-unpaid")
            return False
        grant.add(allocation)
        return True

    def complete(self, now: float, grant: Grant, sent: int, ran: int) -> None:
        """Completes a grant: `sent` attempts were sent, of which `ran` may have run. Further calls have no effect.

        A request that sent more attempts than were reserved is charged for all: its buckets go below 0 and refill.
        """
        if grant.completed:
            return
        grant.completed = True
        at = to_micros(now)
        self._tree.advance(now)
        grant.release(sent, ran, at)
        grant.leaf.count("ended")
