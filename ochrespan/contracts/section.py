"""Reads the contracts from the operator's file and checks them against the settings and each other."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import inf
from typing import Any

from .. import interface as api
from ..sections import Faults, read_table, read_tables
from .tables import (
    BudgetTable,
    ContractsTable,
    LevelTable,
    OrganisationTable,
    SenderTable,
    ServiceTable,
    TeamTable,
)
from .terms import Book, Budget, Contract, Reserve, Terms


@dataclass(frozen=True, slots=True)
class Contracts:
    """What the operator's file says of contracts, checked."""

    book: Book
    platform: bool  # whether requests in the platform's protocol need a contract


def read(tables_: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]) -> Contracts:
    """The book of contracts; faults are collected in `faults`."""
    told = ContractsTable(platform="open")  # teams alone are the object API's
    if "contracts" in tables_:
        told = read_table(ContractsTable, tables_["contracts"], "[contracts]", faults) or told
    reader = Reader(told, settings, faults)
    for place, organisation in read_tables(OrganisationTable, tables_.get("organisation", []), "organisation", faults):
        reader.organisation(place, organisation)
    teams = read_tables(TeamTable, tables_.get("team", []), "team", faults)
    services = read_tables(ServiceTable, tables_.get("service", []), "service", faults)
    parents = {service.team for _, service in services}
    for place, team in teams:
        reader.team(place, team, team.name in parents)
    for place, service in services:
        reader.service(place, service)
    reader.check_reserves()
    return Contracts(reader.book, told.platform == "contracts")


class Reader:
    """Puts the book together; what is wrong is told and left out."""

    def __init__(self, told: ContractsTable, settings: api.Settings, faults: Faults) -> None:
        self._settings, self._faults = settings, faults
        capacity = None
        if told.capacity_units_per_s is not None:
            capacity = Reserve(told.capacity_units_per_s, told.capacity_burst_units)
        elif told.capacity_burst_units is not None:
            faults.add("[contracts] capacity_units_per_s", "nothing", "a rate beside capacity_burst_units")
        fronts = told.fronts or max(1, settings.heads)
        self.book = Book(capacity, fronts, settings.most_units, max(1, settings.max_attempts))
        self._places: dict[str, str] = {}  # of each level, by path
        self._teams: dict[str, tuple[str, TeamTable]] = {}  # path and table, by name
        self._names: dict[tuple[str, str], str] = {}  # tokens, volumes and buckets, and who has them

    # ---- levels ----

    def organisation(self, place: str, told: OrganisationTable) -> None:
        """Takes one organisation."""
        self._level(place, self._terms(place, told, "organisation", ""))

    def team(self, place: str, told: TeamTable, has_services: bool) -> None:
        """Takes one team, which sends by itself unless it has services."""
        if told.name in self._teams:
            self._faults.add(f"{place} name", told.name, "a name that no other team has")
            return
        if told.organisation and told.organisation not in self.book.levels:
            known = [path for path, terms in self.book.levels.items() if terms.kind == "organisation"]
            self._faults.check_choice(f"{place} organisation", told.organisation, known)
            return
        self._faults.check_choice(f"{place} plan", told.plan, self._settings.plans)
        if told.token_sha256 is not None:
            told.tokens_sha256 = [*told.tokens_sha256, told.token_sha256]
        purposes = {name: value for name in ("read", "write", "export") if (value := getattr(told, name))}
        for name, cls in purposes.items():
            self._faults.check_choice(f"{place} {name}", cls, told.classes or self._settings.classes)
        told.classes = told.classes or list(purposes.values())
        for name in ("read", "write") if told.buckets or purposes else ():
            if name not in purposes:
                self._faults.add(f"{place} {name}", "nothing", "a class, for a team of the object API")
        told.export = told.export or told.read
        terms = self._terms(place, told, "team", told.organisation)
        if not self._level(place, terms):
            return
        self._teams[told.name] = terms.path, told
        self._own(place, terms.path, told)
        if has_services:
            if told.tokens_sha256:
                self._faults.add(f"{place} tokens_sha256", "tokens", "none: its services have their own")
            self._classes(place, told.classes, self._settings.classes)
        else:
            self._sender(place, terms, told, told)

    def service(self, place: str, told: ServiceTable) -> None:
        """Takes one service of a team."""
        if told.team not in self._teams:
            self._faults.check_choice(f"{place} team", told.team, self._teams)
            return
        path, team = self._teams[told.team]
        told.classes = told.classes or list(team.classes)
        self._classes(place, told.classes, team.classes)
        terms = self._terms(place, told, "service", path)
        if self._level(place, terms):
            self._own(place, terms.path, told)
            told.volumes = [*told.volumes, *team.volumes]
            self._sender(place, terms, told, team, bool(told.buckets or team.buckets))

    def _level(self, place: str, terms: Terms) -> bool:
        if terms.path in self.book.levels:
            self._faults.add(f"{place} name", terms.path, "a name that nothing beside it has")
            return False
        self.book.levels[terms.path] = terms
        self._places[terms.path] = place
        return True

    def _terms(self, place: str, told: LevelTable, kind: str, parent: str) -> Terms:
        reserve, budget = Reserve(), Budget()
        if told.reserve is not None:
            reserve = Reserve(told.reserve.units_per_s, told.reserve.burst_units)
            if self.book.capacity is None:
                self._faults.add(f"{place} reserve", "a reserve", "one only beside [contracts] capacity_units_per_s")
            self._bears(f"{place} reserve burst_units", reserve.burst_units)
        if told.budget is not None:
            budget = Budget(**{name: getattr(told.budget, name) for name in BudgetTable.__struct_fields__})
            self._budget(place, budget, reserve, kind)
        return Terms(told.name, kind, parent, told.weight, reserve, budget)

    def _budget(self, place: str, budget: Budget, reserve: Reserve, kind: str) -> None:
        for burst, rate in (("burst_units", "units_per_s"), ("burst_attempts", "attempts_per_s")):
            if getattr(budget, burst) is not None and getattr(budget, rate) is None:
                self._faults.add(f"{place} budget {rate}", "nothing", f"a rate beside {burst}")
        for name in ("burst_units", "units_per_hour", "units_per_day"):
            self._bears(f"{place} budget {name}", getattr(budget, name))
        if budget.units_per_s is not None and reserve.units_per_s > budget.units_per_s:
            self._faults.add(
                f"{place} reserve units_per_s",
                reserve.units_per_s,
                f"at most its budget of {budget.units_per_s:g} units a second",
            )

    def _bears(self, place: str, figure: float | None) -> None:
        """Every front holds its part of it, and a part that bears no whole request would refuse all for good."""
        least = self.book.most_units * self.book.fronts
        if figure is not None and figure < least:
            self._faults.add(
                place, figure, f"at least {least:g}: the largest request at each of {self.book.fronts} fronts"
            )

    # ---- senders ----

    def _sender(
        self, place: str, terms: Terms, told: SenderTable, team: TeamTable, buckets: bool | None = None
    ) -> None:
        self._classes(place, told.classes, self._settings.classes)
        for cls in told.withdrawn_classes:
            self._faults.check_choice(f"{place} withdrawn_classes", cls, told.classes)
        if told.begins is not None and told.until is not None and told.begins >= told.until:
            self._faults.add(f"{place} until", told.until.isoformat(), f"a time after {told.begins.isoformat()}")
        if not (told.tokens_sha256 or told.volumes or told.buckets or buckets):
            self._faults.add(place, "nothing that it is known by", "tokens_sha256, volumes or buckets")
        for token in told.tokens_sha256:
            self._once(f"{place} tokens_sha256", "token", token, terms.path)
        self.book.add(
            Contract(
                terms,
                team.plan,
                frozenset(told.classes),
                frozenset(told.withdrawn_classes),
                frozenset(told.tokens_sha256),
                frozenset(name.lower() for name in told.volumes),
                begins=told.begins.timestamp() if told.begins else -inf,
                ends=told.until.timestamp() if told.until else inf,
                withdrawn=told.withdrawn or team.withdrawn,
                attempts_per_request=told.attempts_per_request or team.attempts_per_request,
                fronts=told.fronts or team.fronts or 0,
                parts=told.parts,
                read=team.read,
                write=team.write,
                export=team.export,
            )
        )

    def _classes(self, place: str, told: list[str], allowed: Collection[str]) -> None:
        if not told:
            self._faults.add(f"{place} classes", "nothing", "at least one of " + ", ".join(sorted(allowed)))
        for cls in told:
            self._faults.check_choice(f"{place} classes", cls, allowed)

    def _own(self, place: str, path: str, told: SenderTable) -> None:
        volumes = [name.lower() for name in told.volumes]
        for volume in volumes:
            self._once(f"{place} volumes", "volume", volume, path)
        for bucket in told.buckets:
            self._once(f"{place} buckets", "bucket", bucket, path)
        self.book.own(path, volumes, told.buckets)

    def _once(self, place: str, what: str, name: str, path: str) -> None:
        if (owner := self._names.get((what, name))) is not None:
            self._faults.add(place, name, f"a {what} that {owner} does not have already")
        self._names[what, name] = path

    # ---- all together ----

    def check_reserves(self) -> None:
        """What is promised below a level must be there, and its long budgets must bear it."""
        book = self.book
        _, below = book.assured()
        for path, terms in [("", Terms("", "installation")), *book.levels.items()]:
            if not (children := below.get(path, 0.0)):
                continue
            place = self._places.get(path, "[contracts]")
            own = book.capacity.units_per_s if not path and book.capacity else terms.reserve.units_per_s
            if children > own and (own or not path):
                self._faults.add(
                    f"{place} {'reserve' if path else 'capacity'}_units_per_s",
                    own,
                    f"at least {children:g}, the reserves below it",
                )
            for name, seconds in (("units_per_s", 1), ("units_per_hour", 3600), ("units_per_day", 86400)):
                bound = getattr(terms.budget, name)
                if bound is not None and bound < children * seconds:
                    self._faults.add(
                        f"{place} budget {name}", bound, f"at least {children * seconds:g}, the reserves below it"
                    )
