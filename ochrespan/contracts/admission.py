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
from .allocation import LEAST_WAIT, Bound, Query, secure
from .fixed_point import micros, parts
from .grants import Demand, Funding, Grant, NotCovered, OverBudget
from .levels import Level
from .terms import Book, Contract
from .tree import LevelTree

__all__ = ["Admission", "Demand", "Grant", "NotCovered", "OverBudget"]


class Admission:
    """One front's accounts under one book at a time."""

    def __init__(self, book: Book, now: float) -> None:
        self._tree = LevelTree(book, now)
        self.levels = self._tree.levels  # by path; empty: the installation
        self.refused: dict[str, int] = {}  # not covered and of no contract, by rule

    @property
    def book(self) -> Book:
        """The contracts in force."""
        return self._tree.book

    def replace(self, book: Book, now: float) -> None:
        """A new book, from the next request on. What was granted, held and spent carries over, by name."""
        self._tree.replace(book, now)

    def advance(self, now: float) -> None:
        """What was due until now has happened."""
        self._tree.advance(now)

    def set_scales(self, scales: Mapping[str, float]) -> None:
        """By path: how many times its even part of a contract's budgets this front has, from the next change on."""
        self._tree.scale = dict(scales)

    def rescale(self, path: str, scale: float, now: float) -> None:
        """This front's part of a contract's budgets becomes so many times the even one, at once."""
        self._tree.rescale(path, scale, now)

    # ---- who ----

    def identify(self, demand: Demand) -> Contract | NotCovered:
        """The contract that a request comes under. A wrong token is told nothing of what others own."""
        return authorization.identify(self.book, demand)

    def covered(self, contract: Contract, demand: Demand, now: float) -> NotCovered | None:
        """Why a contract does not cover the request; None: it does."""
        return authorization.check(contract, demand, now)

    # ---- requests ----

    def admit(self, now: float, demand: Demand, vouched: Contract | None = None) -> Grant | NotCovered | OverBudget:
        """`vouched`: the contract under which earlier steps of the same work were taken; withdrawing it, or a class
        or token of it, lets that work end."""
        contract = vouched or self.identify(demand)
        if isinstance(contract, NotCovered):
            return self._count_not_covered(contract)
        leaf = self.levels.get(contract.path)
        if leaf is None:
            gone = NotCovered("withdrawn", contract.path, "the contract is there no longer")
            return self._count_not_covered(gone)
        if vouched is None and (why := self.covered(contract, demand, now)) is not None:
            return self._count_not_covered(why)
        verdict = self._grant(contract, leaf, parts(demand.units), micros(now))
        match verdict:
            case Grant():
                leaf.count("admitted")
                leaf.earn_attempt()
            case OverBudget():
                leaf.count(f"over-budget.{verdict.rule}")
            case NotCovered():
                self._count_not_covered(verdict)
        return verdict

    def _count_not_covered(self, why: NotCovered) -> NotCovered:
        if level := self.levels.get(why.team) if why.team else None:
            level.count(f"not-covered.{why.rule}")
        else:
            self.refused[why.rule] = self.refused.get(why.rule, 0) + 1
        return why

    def _grant(self, contract: Contract, leaf: Level, unit: int, now: int) -> Grant | NotCovered | OverBudget:
        path = list(leaf.up())
        query = Query(contract, leaf, path[1:], unit, self.book.most_attempts, now)
        for level in path:
            if level.most_open is not None and level.open >= level.most_open:
                return query.refusal(level, Bound("open", LEAST_WAIT))
        funding = secure(query, self._tree.timers)
        if not isinstance(funding, Funding):
            return funding
        grant = Grant(contract, leaf, path, unit)
        for level in path:
            level.open += 1
        grant.add(funding)
        return grant

    def extend(self, now: float, grant: Grant) -> bool:
        """One more attempt for a request that has used up what it held, if its budgets bear it."""
        if grant.settled:
            return False
        query = Query(grant.contract, grant.leaf, grant.path[1:], grant.units, 1, micros(now))
        funding = secure(query, self._tree.timers, grant.extra)
        if not isinstance(funding, Funding):
            grant.leaf.count("retry-unpaid")
            return False
        grant.add(funding)
        return True

    def settle(self, now: float, grant: Grant, sent: int, ran: int) -> None:
        """A request has ended, with so many attempts sent, of which so many may have run. Only the first call counts.

        A request that sent more than it held still pays for all: its buckets go below 0 and fill up again.
        """
        if grant.settled:
            return
        grant.settled = True
        at = micros(now)
        self._tree.advance(now)
        grant.release(sent, ran, at)
        grant.leaf.count("ended")
