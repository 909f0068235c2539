"""The contracts as the core's gate: the core's requests in, grants and refusals out, and what is told of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

import structlog

from .. import requests as core
from ..metric_samples import MetricSample, metric_safe_name
from . import admission
from .accounts import accounts, figures
from .admission import Admission, Demand, Grant
from .front_share import FrontShare
from .terms import Book, Contract

log = structlog.get_logger(__name__)

NOTICE_INTERVAL = 5.0  # s between log lines of one team and rule: a surge must not fill the log
MAX_NOTICES = 10_000  # teams and rules of which the last line is remembered


@dataclass(slots=True)
class LastNotice:
    """When refusals of one team by one rule were last logged."""

    at: float
    since: int = 0  # refusals since then that were not told


class ContractGate:
    """`now` is Unix time in seconds, as the core's clock has it."""

    def __init__(self, book: Book, clock: Callable[[], float]) -> None:
        self.now = clock
        self.admission = Admission(book, clock())
        self._notices: dict[tuple[str, str], LastNotice] = {}
        self._parts: dict[str, FrontShare] = {}
        self._set_parts()

    # ---- the core's side ----

    def admit(self, now: float, request: core.Request) -> Grant | core.NotCovered | core.OverBudget:
        """Admits one of the core's requests, or says why not."""
        claim = request.claim or core.Claim()
        demand = Demand(request.cls, request.units, request.plan, claim.token, request.volume, claim.bucket)
        got = self.admission.admit(now, demand, claim.contract)
        if isinstance(got, Grant):
            return got
        if isinstance(got, admission.OverBudget):
            if part := self._parts.get(got.team):
                part.note_refused()
            self._tell(now, got.team, got.rule, level=got.level, wait_s=round(got.wait, 3))
            return core.OverBudget(got.rule, got.team, timedelta(seconds=got.wait))
        self._tell(now, got.team, got.rule, why=got.words)
        return core.NotCovered(got.rule, got.team, got.words)

    def extend(self, now: float, hold: Grant) -> None:
        """Pays for one more attempt, if the budgets bear it."""
        self.admission.extend(now, hold)

    def release(self, now: float, hold: Grant, sent: int, ran: int) -> None:
        """The end of what was admitted: so many attempts sent, so many of which may have run."""
        if part := self._parts.get(hold.team):
            part.note_spent(ran * hold.unit_figure)
        self.admission.settle(now, hold, sent, ran)

    def record_usage_elsewhere(self, now: float, hold: Grant, units: float) -> None:
        """So many units of the request's volume were served through other fronts."""
        if part := self._parts.get(hold.team):
            part.note_heard(units)

    def _tell(self, now: float, team: str, rule: str, **words: object) -> None:
        if len(self._notices) > MAX_NOTICES:
            self._notices.clear()
        told = self._notices.get((team, rule))
        if told is not None and now - told.at < NOTICE_INTERVAL:
            told.since += 1
            return
        log.info("refused by contract", team=team or "-", rule=rule, untold=told.since if told else 0, **words)
        self._notices[team, rule] = LastNotice(now)

    # ---- the operator's side ----

    def identify(self, token: str, bucket: str) -> Contract | core.NotCovered:
        """Whose work on a bucket it is, for fronts that need to know before they ask for anything."""
        got = self.admission.identify(Demand("", 0.0, token=token, bucket=bucket))
        return got if isinstance(got, Contract) else core.NotCovered(got.rule, got.team, got.words)

    def covers(self, contract: Contract, cls: str) -> core.NotCovered | None:
        """Why a contract does not cover a class now; None: it does."""
        why = self.admission.covered(contract, Demand(cls, 0.0), self.now())
        return why and core.NotCovered(why.rule, why.team, why.words)

    def owner(self, bucket: str) -> str:
        """The name under which a bucket's data lies: its team's, whichever service writes it."""
        path = self.admission.book.by_bucket[bucket]
        return self.admission.book.levels[path].name

    def replace(self, book: Book) -> None:
        """A new book, checked: what was granted and spent carries over."""
        was = set(self.admission.book.contracts)
        self.admission.replace(book, self.now())
        self._set_parts()
        log.info(
            "contracts read anew",
            contracts=len(book.contracts),
            new=len(set(book.contracts) - was),
            gone=len(was - set(book.contracts)),
        )

    def _set_parts(self) -> None:
        book, was = self.admission.book, self._parts
        self._parts = {}
        for path, contract in book.contracts.items():
            rate = contract.terms.budget.units_per_s
            if contract.parts == "heard" and rate is not None:
                self._parts[path] = part = was.get(path) or FrontShare(rate, 1)
                part.rate, part.fronts = rate, max(1, contract.fronts or book.fronts)
        self.admission.set_scales({path: part.scale for path, part in self._parts.items()})

    def step(self) -> None:
        """Lets the parts move."""
        now = self.now()
        for path, part in self._parts.items():
            if (scale := part.step(now)) is not None:
                self.admission.rescale(path, scale, now)

    def readings(self) -> Iterator[MetricSample]:
        """Every account and count, for the exporters."""
        now = self.now()
        for account in accounts(self.admission, now):
            group = metric_safe_name(f"contract-{account.path or 'installation'}")
            for name in ("granted", "spent", "held", "left"):
                # granted is what was let in less what did not fit: it may shrink, as what is left may
                yield MetricSample(
                    group, f"{metric_safe_name(account.budget)}_{name}", getattr(account, name), name == "spent"
                )
        for level in figures(self.admission, now):
            group = metric_safe_name(f"contract-{level.path or 'installation'}")
            yield MetricSample(group, "open", level.open, False)
            yield MetricSample(group, "lent", level.lent, True)
            yield MetricSample(group, "borrowed", level.borrowed, False)
            for name, number in level.counts.items():
                yield MetricSample(group, metric_safe_name(name), number, True)
        for rule, number in list(self.admission.refused.items()):
            yield MetricSample("contract-none", metric_safe_name(f"not-covered.{rule}"), number, True)
