"""What contracts say, as plain records. `section.py` reads them from a file, `levels.py` holds the accounts to them.

Rates are units or attempts a second, over all fronts together; times are Unix seconds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf


@dataclass(frozen=True, slots=True)
class Budget:
    """Upper bounds of one level; None: not bounded. A burst is the most that can be saved up."""

    units_per_s: float | None = None
    burst_units: float | None = None  # None: what a second brings
    attempts_per_s: float | None = None
    burst_attempts: float | None = None
    open: int | None = None  # requests at once
    units_per_hour: float | None = None
    units_per_day: float | None = None


@dataclass(frozen=True, slots=True)
class Reserve:
    """What is always there for its owner, and lent while it is not used."""

    units_per_s: float = 0.0
    burst_units: float | None = None


@dataclass(frozen=True, slots=True)
class Terms:
    """One level: the installation, an organisation, a team, or a service of a team."""

    name: str
    kind: str
    parent: str = ""  # the path of the level above; empty: the installation
    weight: float = 1.0
    reserve: Reserve = Reserve()
    budget: Budget = Budget()

    @property
    def path(self) -> str:
        """The names from the top down, with slashes."""
        return f"{self.parent}/{self.name}" if self.parent else self.name


@dataclass(frozen=True, slots=True)
class Contract:
    """What one team or service may send. `terms` says how much."""

    terms: Terms
    plan: str
    classes: frozenset[str]
    withdrawn_classes: frozenset[str] = frozenset()
    tokens: frozenset[str] = frozenset()  # SHA-256 in hex; more than one while they are being changed
    volumes: frozenset[str] = frozenset()  # if any, it may use no others
    begins: float = -inf
    ends: float = inf
    withdrawn: bool = False
    attempts_per_request: float | None = None  # on average; 1.0: no request is tried again
    fronts: int = 0  # fronts that serve it; 0: as many as the installation says
    quota_mode: str = "even"  # how fronts that share nothing part a budget: even or heard
    read: str = ""  # the classes of whole objects' requests: reads, writes, and reads of many chunks
    write: str = ""
    export: str = ""

    @property
    def path(self) -> str:
        """Its level's path."""
        return self.terms.path


def token_digest(token: str) -> str:
    """A token as the book knows it."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclass(slots=True)
class ContractRegistry:
    """All contracts of an installation, checked. Whoever is named here is named once."""

    capacity: Reserve | None = None  # what the servers bear, out of which reserves are made; None: no lending
    fronts: int = 1
    max_units: float = 1.0  # of one request
    max_attempts: int = 1  # of one request, by the settings
    levels: dict[str, Terms] = field(default_factory=dict)  # by path, a parent before its children
    contracts: dict[str, Contract] = field(default_factory=dict)  # by path
    by_token: dict[str, Contract] = field(default_factory=dict)
    by_volume: dict[str, str] = field(default_factory=dict)  # the owner's path: a contract, or a team with services
    by_bucket: dict[str, str] = field(default_factory=dict)

    def add(self, contract: Contract) -> None:
        """A level that sends. What only holds others together is put into `levels`, after its parent."""
        self.levels[contract.path] = contract.terms
        self.contracts[contract.path] = contract
        self.by_token.update(dict.fromkeys(contract.tokens, contract))

    def set_owner(self, path: str, volumes: Iterable[str], buckets: Iterable[str]) -> None:
        """These volumes and buckets belong to the level of that path."""
        self.by_volume.update(dict.fromkeys(volumes, path))
        self.by_bucket.update(dict.fromkeys(buckets, path))

    def reserved_rates(self) -> tuple[dict[str, float], dict[str, float]]:
        """Units a second that each level is promised, and that all its children are; without one of its own, a
        level is promised what its children are."""
        own_rates: dict[str, float] = {}
        children: dict[str, float] = {}
        for path, terms in reversed(self.levels.items()):
            own_rates[path] = terms.reserve.units_per_s or children.get(path, 0.0)
            children[terms.parent] = children.get(terms.parent, 0.0) + own_rates[path]
        return own_rates, children
