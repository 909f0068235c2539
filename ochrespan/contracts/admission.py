"""Whether a request is covered by a contract and paid for, before the decision module sees it.

`admit` answers with a `Grant` that holds what the request may cost at most, attempts included, with `NotCovered`
(for good) or with `OverBudget` (until a told time). A grant may hold fewer attempts than the settings allow where its
budgets run low; then each repeat is paid for by `extend` before it is sent, or not sent. Every grant is settled once,
with what the request did cost: a unit budget pays each attempt that may have run, an attempt budget each one sent.

Amounts and times inside are whole numbers (`fixed_point.py`); `now` is Unix time in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping

from . import authorization
from .allocation import MIN_WAIT_US, AllocationRequest, ExceededLimit, allocate
from .fixed_point import to_micros, to_pico
from .grants import Allocation, Demand, Grant, NotCovered, OverBudget
from .levels import Level
from .terms import Contract, ContractRegistry
from .tree import LevelTree

__all__ = ["Admission", "Demand", "Grant", "NotCovered", "OverBudget"]


class Admission:
    """One front's accounts under one book at a time."""

    def __init__(self, registry: ContractRegistry, now: float) -> None:
        self._tree = LevelTree(registry, now)
        self.levels = self._tree.levels  # by path; empty: the installation
        self.unattributed_refusals: dict[str, int] = {}  # not covered and of no contract, by rule

    @property
    def registry(self) -> ContractRegistry:
        """The contracts in force."""
        return self._tree.registry

    def replace(self, registry: ContractRegistry, now: float) -> None:
        """A new book, from the next request on. What was granted, held and spent carries over, by name."""
        self._tree.replace(registry, now)

    def advance(self, now: float) -> None:
        """What was due until now has happened."""
        self._tree.advance(now)

    def set_scales(self, scales: Mapping[str, float]) -> None:
        """By path: how many times its even part of a contract's budgets this front has, from the next change on."""
        self._tree.scales = dict(scales)

    def rescale(self, path: str, scale: float, now: float) -> None:
        """This front's part of a contract's budgets becomes so many times the even one, at once."""
        self._tree.rescale(path, scale, now)

    # ---- who ----

    def identify(self, demand: Demand) -> Contract | NotCovered:
        """The contract that a request comes under. A wrong token is told nothing of what others own."""
        return authorization.identify(self.registry, demand)

    def check_coverage(self, contract: Contract, demand: Demand, now: float) -> NotCovered | None:
        """Why a contract does not cover the request; None: it does."""
        return authorization.check_coverage(contract, demand, now)

    # ---- requests ----

    def admit(
        self, now: float, demand: Demand, started_under: Contract | None = None
    ) -> Grant | NotCovered | OverBudget:
        """`vouched`: the contract under which earlier steps of the same work were taken; withdrawing it, or a class
        or token of it, lets that work end."""
        contract = started_under or self.identify(demand)
        if isinstance(contract, NotCovered):
            return self._count_not_covered(contract)
        leaf = self.levels.get(contract.path)
        if leaf is None:
            removed = NotCovered("withdrawn", contract.path, "the contract is there no longer")
            return self._count_not_covered(removed)
        if started_under is None and (refusal := self.check_coverage(contract, demand, now)) is not None:
            return self._count_not_covered(refusal)
        result = self._grant(contract, leaf, to_pico(demand.units), to_micros(now))
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
        """One more attempt for a request that has used up what it held, if its budgets bear it."""
        if grant.completed:
            return False
        allocation_request = AllocationRequest(
            grant.contract, grant.leaf, grant.path[1:], grant.attempt_cost, 1, to_micros(now)
        )
        allocation = allocate(allocation_request, self._tree.timers, grant.extra_bucket)
        if not isinstance(allocation, Allocation):
            grant.leaf.count("retry-unpaid")
            return False
        grant.add(allocation)
        return True

    def complete(self, now: float, grant: Grant, sent: int, ran: int) -> None:
        """A request has ended, with so many attempts sent, of which so many may have run. Only the first call counts.

        A request that sent more than it held still pays for all: its buckets go below 0 and fill up again.
        """
        if grant.completed:
            return
        grant.completed = True
        at = to_micros(now)
        self._tree.advance(now)
        grant.release(sent, ran, at)
        grant.leaf.count("ended")
