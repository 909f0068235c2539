"""Reads the contracts from the operator's file and validates them against the settings and each other."""

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
from .terms import Budget, Contract, ContractRegistry, Reserve, Terms


@dataclass(frozen=True, slots=True)
class Contracts:
    """The validated contracts of the operator's file."""

    registry: ContractRegistry
    platform: bool  # whether requests in the platform's protocol need a contract


def read(tables_: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]) -> Contracts:
    """Builds the contract registry from the tables of organisations, teams and services. Adds errors to `faults`."""
    entry = ContractsTable(platform="open")  # teams without a [contracts] table apply to the object API only
    if "contracts" in tables_:
        entry = read_table(ContractsTable, tables_["contracts"], "[contracts]", faults) or entry
    builder = RegistryBuilder(entry, settings, faults)
    for location, organisation in read_tables(
        OrganisationTable, tables_.get("organisation", []), "organisation", faults
    ):
        builder.add_organisation(location, organisation)
    teams = read_tables(TeamTable, tables_.get("team", []), "team", faults)
    services = read_tables(ServiceTable, tables_.get("service", []), "service", faults)
    parents = {service.team for _, service in services}
    for location, team in teams:
        builder.add_team(location, team, team.name in parents)
    for location, service in services:
        builder.add_service(location, service)
    builder.check_reserves()
    return Contracts(builder.registry, entry.platform == "contracts")


class RegistryBuilder:
    """Builds the registry; faulty entries are reported and left out."""

    def __init__(self, entry: ContractsTable, settings: api.Settings, faults: Faults) -> None:
        self._settings, self._faults = settings, faults
        capacity = None
        if entry.capacity_units_per_s is not None:
            capacity = Reserve(entry.capacity_units_per_s, entry.capacity_burst_units)
        elif entry.capacity_burst_units is not None:
            faults.add("[contracts] capacity_units_per_s", "nothing", "a rate beside capacity_burst_units")
        fronts = entry.fronts or max(1, settings.fronts)
        self.registry = ContractRegistry(capacity, fronts, settings.max_units, max(1, settings.max_attempts))
        self._locations: dict[str, str] = {}  # of each level in the file, by path
        self._teams: dict[str, tuple[str, TeamTable]] = {}  # path and table, by team name
        self._owners: dict[tuple[str, str], str] = {}  # owner's path by kind (token, volume, bucket) and name

    # ---- levels ----

    def add_organisation(self, location: str, entry: OrganisationTable) -> None:
        """Adds one organisation."""
        self._add_level(location, self._make_terms(location, entry, "organisation", ""))

    def add_team(self, location: str, entry: TeamTable, has_services: bool) -> None:
        """Adds one team. A team with services has no contract of its own."""
        if entry.name in self._teams:
            self._faults.add(f"{location} name", entry.name, "a name that no other team has")
            return
        if entry.organisation and entry.organisation not in self.registry.levels:
            known = [path for path, terms in self.registry.levels.items() if terms.kind == "organisation"]
            self._faults.check_choice(f"{location} organisation", entry.organisation, known)
            return
        self._faults.check_choice(f"{location} plan", entry.plan, self._settings.plans)
        if entry.token_sha256 is not None:
            entry.tokens_sha256 = [*entry.tokens_sha256, entry.token_sha256]
        class_by_purpose = {name: value for name in ("read", "write", "export") if (value := getattr(entry, name))}
        for name, cls in class_by_purpose.items():
            self._faults.check_choice(f"{location} {name}", cls, entry.classes or self._settings.classes)
        entry.classes = entry.classes or list(class_by_purpose.values())
        for name in ("read", "write") if entry.buckets or class_by_purpose else ():
            if name not in class_by_purpose:
                self._faults.add(f"{location} {name}", "nothing", "a class, for a team of the object API")
        entry.export = entry.export or entry.read
        terms = self._make_terms(location, entry, "team", entry.organisation)
        if not self._add_level(location, terms):
            return
        self._teams[entry.name] = terms.path, entry
        self._register_owner(location, terms.path, entry)
        if has_services:
            if entry.tokens_sha256:
                self._faults.add(f"{location} tokens_sha256", "tokens", "none: its services have their own")
            self._check_classes(location, entry.classes, self._settings.classes)
        else:
            self._add_contract(location, terms, entry, entry)

    def add_service(self, location: str, entry: ServiceTable) -> None:
        """Adds one service of a team."""
        if entry.team not in self._teams:
            self._faults.check_choice(f"{location} team", entry.team, self._teams)
            return
        path, team = self._teams[entry.team]
        entry.classes = entry.classes or list(team.classes)
        self._check_classes(location, entry.classes, team.classes)
        terms = self._make_terms(location, entry, "service", path)
        if self._add_level(location, terms):
            self._register_owner(location, terms.path, entry)
            entry.volumes = [*entry.volumes, *team.volumes]
            self._add_contract(location, terms, entry, team, bool(entry.buckets or team.buckets))

    def _add_level(self, location: str, terms: Terms) -> bool:
        if terms.path in self.registry.levels:
            self._faults.add(f"{location} name", terms.path, "a name that nothing beside it has")
            return False
        self.registry.levels[terms.path] = terms
        self._locations[terms.path] = location
        return True

    def _make_terms(self, location: str, entry: LevelTable, kind: str, parent: str) -> Terms:
        reserve, budget = Reserve(), Budget()
        if entry.reserve is not None:
            reserve = Reserve(entry.reserve.units_per_s, entry.reserve.burst_units)
            if self.registry.capacity is None:
                self._faults.add(f"{location} reserve", "a reserve", "one only beside [contracts] capacity_units_per_s")
            self._check_largest_request(f"{location} reserve burst_units", reserve.burst_units)
        if entry.budget is not None:
            budget = Budget(**{name: getattr(entry.budget, name) for name in BudgetTable.__struct_fields__})
            self._check_budget(location, budget, reserve, kind)
        return Terms(entry.name, kind, parent, entry.weight, reserve, budget)

    def _check_budget(self, location: str, budget: Budget, reserve: Reserve, kind: str) -> None:
        for burst, rate in (("burst_units", "units_per_s"), ("burst_attempts", "attempts_per_s")):
            if getattr(budget, burst) is not None and getattr(budget, rate) is None:
                self._faults.add(f"{location} budget {rate}", "nothing", f"a rate beside {burst}")
        for name in ("burst_units", "units_per_hour", "units_per_day"):
            self._check_largest_request(f"{location} budget {name}", getattr(budget, name))
        if budget.units_per_s is not None and reserve.units_per_s > budget.units_per_s:
            self._faults.add(
                f"{location} reserve units_per_s",
                reserve.units_per_s,
                f"at most its budget of {budget.units_per_s:g} units a second",
            )

    def _check_largest_request(self, location: str, value: float | None) -> None:
        """Each front gets its fraction of the value; a fraction below the largest request would never admit that."""
        minimum = self.registry.max_units * self.registry.fronts
        if value is not None and value < minimum:
            self._faults.add(
                location, value, f"at least {minimum:g}: the largest request at each of {self.registry.fronts} fronts"
            )

    # ---- contracts of teams and services ----

    def _add_contract(
        self, location: str, terms: Terms, entry: SenderTable, team: TeamTable, buckets: bool | None = None
    ) -> None:
        self._check_classes(location, entry.classes, self._settings.classes)
        for cls in entry.withdrawn_classes:
            self._faults.check_choice(f"{location} withdrawn_classes", cls, entry.classes)
        if entry.begins is not None and entry.until is not None and entry.begins >= entry.until:
            self._faults.add(f"{location} until", entry.until.isoformat(), f"a time after {entry.begins.isoformat()}")
        if not (entry.tokens_sha256 or entry.volumes or entry.buckets or buckets):
            self._faults.add(location, "nothing that it is known by", "tokens_sha256, volumes or buckets")
        for token in entry.tokens_sha256:
            self._check_unique(f"{location} tokens_sha256", "token", token, terms.path)
        self.registry.add(
            Contract(
                terms,
                team.plan,
                frozenset(entry.classes),
                frozenset(entry.withdrawn_classes),
                frozenset(entry.tokens_sha256),
                frozenset(name.lower() for name in entry.volumes),
                begins=entry.begins.timestamp() if entry.begins else -inf,
                ends=entry.until.timestamp() if entry.until else inf,
                withdrawn=entry.withdrawn or team.withdrawn,
                attempts_per_request=entry.attempts_per_request or team.attempts_per_request,
                fronts=entry.fronts or team.fronts or 0,
                quota_mode=entry.parts,
                read=team.read,
                write=team.write,
                export=team.export,
            )
        )

    def _check_classes(self, location: str, classes: list[str], allowed: Collection[str]) -> None:
        if not classes:
            self._faults.add(f"{location} classes", "nothing", "at least one of " + ", ".join(sorted(allowed)))
        for cls in classes:
            self._faults.check_choice(f"{location} classes", cls, allowed)

    def _register_owner(self, location: str, path: str, entry: SenderTable) -> None:
        volumes = [name.lower() for name in entry.volumes]
        for volume in volumes:
            self._check_unique(f"{location} volumes", "volume", volume, path)
        for bucket in entry.buckets:
            self._check_unique(f"{location} buckets", "bucket", bucket, path)
        self.registry.set_owner(path, volumes, entry.buckets)

    def _check_unique(self, location: str, kind: str, name: str, path: str) -> None:
        if (owner := self._owners.get((kind, name))) is not None:
            self._faults.add(location, name, f"a {kind} that {owner} does not have already")
        self._owners[kind, name] = path

    # ---- checks across levels ----

    def check_reserves(self) -> None:
        """Checks that each level's own reserve and its budgets cover the reserves below it."""
        registry = self.registry
        _, children_rates = registry.reserved_rates()
        for path, terms in [("", Terms("", "installation")), *registry.levels.items()]:
            if not (children := children_rates.get(path, 0.0)):
                continue
            location = self._locations.get(path, "[contracts]")
            own = registry.capacity.units_per_s if not path and registry.capacity else terms.reserve.units_per_s
            if children > own and (own or not path):
                self._faults.add(
                    f"{location} {'reserve' if path else 'capacity'}_units_per_s",
                    own,
                    f"at least {children:g}, the reserves below it",
                )
            for name, seconds in (("units_per_s", 1), ("units_per_hour", 3600), ("units_per_day", 86400)):
                limit = getattr(terms.budget, name)
                if limit is not None and limit < children * seconds:
                    self._faults.add(
                        f"{location} budget {name}", limit, f"at least {children * seconds:g}, the reserves below it"
                    )
