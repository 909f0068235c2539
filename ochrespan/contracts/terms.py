"""Records of contracts. `section.py` reads them from a file, `levels.py` enforces them.

Rates are units or attempts per second, over all fronts together; times are Unix seconds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf


@dataclass(frozen=True, slots=True)
class Budget:
    """Upper limits of one level; None: no limit. A burst is the maximum that can accumulate."""

    units_per_s: float | None = None
    burst_units: float | None = None  # None: one second of the rate
    attempts_per_s: float | None = None
    burst_attempts: float | None = None
    open: int | None = None  # concurrent requests
    units_per_hour: float | None = None
    units_per_day: float | None = None


@dataclass(frozen=True, slots=True)
class Reserve:
    """Capacity reserved for its owner, and lent to others while unused."""

    units_per_s: float = 0.0
    burst_units: float | None = None


@dataclass(frozen=True, slots=True)
class Terms:
    """Terms of one level: the installation, an organisation, a team, or a service of a team."""

    name: str
    kind: str
    parent: str = ""  # path of the parent level; empty: the installation
    weight: float = 1.0
    reserve: Reserve = Reserve()
    budget: Budget = Budget()

    @property
    def path(self) -> str:
        """The names from the top down, separated by slashes."""
        return f"{self.parent}/{self.name}" if self.parent else self.name


@dataclass(frozen=True, slots=True)
class Contract:
    """What one team or service may send; `terms` has the limits."""

    terms: Terms
    plan: str
    classes: frozenset[str]
    withdrawn_classes: frozenset[str] = frozenset()
    tokens: frozenset[str] = frozenset()  # SHA-256 in hex; several during a token rotation
    volumes: frozenset[str] = frozenset()  # if not empty, it may use no others
    begins: float = -inf
    ends: float = inf
    withdrawn: bool = False
    attempts_per_request: float | None = None  # on average; 1.0: no retries
    fronts: int = 0  # fronts that serve it; 0: the installation's number
    quota_mode: str = "even"  # "even" or "heard"; see `adaptive_quota.py`
    read: str = ""  # request classes of the object API; `export` is for reads of many chunks
    write: str = ""
    export: str = ""

    @property
    def path(self) -> str:
        """The path of its level."""
        return self.terms.path


def token_digest(token: str) -> str:
    """The form in which a registry stores a token."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclass(slots=True)
class ContractRegistry:
    """All contracts of an installation, validated: tokens, volumes and buckets are unique."""

    capacity: Reserve | None = None  # capacity of the servers, from which reserves are taken; None: no lending
    fronts: int = 1
    max_units: float = 1.0  # per request
    max_attempts: int = 1  # per request, from the settings
    levels: dict[str, Terms] = field(default_factory=dict)  # by path, parents before children
    contracts: dict[str, Contract] = field(default_factory=dict)  # by path
    by_token: dict[str, Contract] = field(default_factory=dict)
    by_volume: dict[str, str] = field(default_factory=dict)  # path of the owner: a contract, or a team with services
    by_bucket: dict[str, str] = field(default_factory=dict)

    def add(self, contract: Contract) -> None:
        """Adds a contract and its level. Levels without a contract go into `levels` directly, after their parent."""
        self.levels[contract.path] = contract.terms
        self.contracts[contract.path] = contract
        self.by_token.update(dict.fromkeys(contract.tokens, contract))

    def set_owner(self, path: str, volumes: Iterable[str], buckets: Iterable[str]) -> None:
        """Sets the level of that path as owner of volumes and buckets."""
        self.by_volume.update(dict.fromkeys(volumes, path))
        self.by_bucket.update(dict.fromkeys(buckets, path))

    def reserved_rates(self) -> tuple[dict[str, float], dict[str, float]]:
        """Reserved units per second, by path: of each level, and of all its children together. A level without a
        reserve of its own counts with the sum of its children's."""
        own_rates: dict[str, float] = {}
        children: dict[str, float] = {}
        for path, terms in reversed(self.levels.items()):
            own_rates[path] = terms.reserve.units_per_s or children.get(path, 0.0)
            children[terms.parent] = children.get(terms.parent, 0.0) + own_rates[path]
        return own_rates, children
