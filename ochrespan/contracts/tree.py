"""One front's tree of levels for a contract registry, and the replacement of the registry on reload.

Granted, held and spent amounts carry over to a new registry by the levels' paths. Internal amounts and times are
integers (`fixed_point.py`); `now` is Unix time in seconds.
"""

from __future__ import annotations

from .borrowing import BorrowingPool, TimerQueue
from .fixed_point import pico_per_us, to_micros, to_pico
from .levels import Level
from .terms import ContractRegistry, Terms


class LevelTree:
    """All levels by path; the empty path is the installation."""

    def __init__(self, registry: ContractRegistry, now: float) -> None:
        self.levels: dict[str, Level] = {}
        self.scales: dict[str, float] = {}  # adaptive quotas by path: multiple of the even fraction
        self.registry = registry
        self._timers = TimerQueue()
        self._parent_paths: set[str] = set()  # paths of the levels that have children
        self.replace(registry, now)

    @property
    def timers(self) -> TimerQueue:
        """Timers for full reserves and for borrowers that become inactive."""
        return self._timers

    def advance(self, now: float) -> None:
        """Runs all timers that are due."""
        self._timers.run_due(to_micros(now))

    def rescale(self, path: str, scale: float, now: float) -> None:
        """Sets this front's multiple of the even fraction of one contract's budgets."""
        self.scales[path] = scale
        level = self.levels[path]
        level.apply_terms(level.terms, self._fraction(path), to_pico(self.registry.max_units), to_micros(now))

    # ---- replacing the registry ----

    def replace(self, registry: ContractRegistry, now: float) -> None:
        """Puts a new registry in force, from the next request on.

        If only some contracts changed, only their levels are updated: with thousands of contracts, updating all would
        block the front.
        """
        at = to_micros(now)
        self._timers.run_due(at)
        old, self.registry = self.registry, registry
        removed = [path for path in self.levels if path and path not in registry.levels]
        changed = [path for path in registry.levels if path not in self.levels or not _unchanged(old, registry, path)]
        rebuild = self._record_shape_and_check_rebuild(old, registry, changed)
        for path in self.levels if rebuild else [*removed, *changed]:
            if level := self.levels.get(path):
                level.withdraw_from_pool(at)  # at the old rates
        for path in removed:
            _adjust_reserved(self.levels.pop(path), -1)
        min_burst = to_pico(registry.max_units)
        for path in ["", *registry.levels] if rebuild else changed:
            self._apply_terms(path, min_burst, at)
            if not rebuild and registry.capacity is not None:
                self._configure_reserve(self.levels[path], min_burst, at)
        if rebuild:
            self._rebuild_funds(min_burst, at)
        self._set_pool_rates(at)

    def _record_shape_and_check_rebuild(self, old: ContractRegistry, new: ContractRegistry, changed: list[str]) -> bool:
        """Records which levels have children. Returns whether the installation's settings or the tree's shape have
        changed, so that all levels must be updated."""
        parent_paths = {terms.parent for terms in new.levels.values()} | {""}
        reshaped = parent_paths != self._parent_paths or any(path in parent_paths for path in changed)
        self._parent_paths = parent_paths
        return reshaped or _installation_settings(old) != _installation_settings(new)

    def _apply_terms(self, path: str, min_burst: int, at: int) -> None:
        """Applies the new registry's terms to one level, and creates it if it is new."""
        registry = self.registry
        terms = registry.levels.get(path) or Terms("", "installation")
        level = self.levels.get(path) or Level(terms)
        _adjust_reserved(level, -1)
        level.parent = self.levels[terms.parent] if path else None
        level.apply_terms(terms, self._fraction(path), min_burst, at)
        contract = registry.contracts.get(path)
        level.limit_extra_attempts(contract.attempts_per_request if contract else None, at)
        self.levels[path] = level

    def _fraction(self, path: str) -> float:
        """This front's fraction of a level's budgets."""
        contract = self.registry.contracts.get(path)
        fronts = (contract.fronts if contract else 0) or self.registry.fronts
        return self.scales.get(path, 1.0) / max(1, fronts)

    # ---- funds ----

    def _rebuild_funds(self, min_burst: int, at: int) -> None:
        """Recreates all pools and reserves; without a configured capacity of the installation, only removes them."""
        self._timers = TimerQueue()
        balances = {path: level.pool.balance for path, level in self.levels.items() if level.pool is not None}
        for level in self.levels.values():
            level.pool, level.borrower, level.lent_since, level.reserved_below, level.pool_rate = None, None, None, 0, 0
        for path, level in self.levels.items():
            if self.registry.capacity is None:
                level.reserve = None
            elif path in self._parent_paths:
                self._create_pool(level, balances.get(path, 0), min_burst, at)
            else:
                self._configure_reserve(level, min_burst, at)

    def _create_pool(self, level: Level, balance: int, min_burst: int, at: int) -> None:
        """Creates the pool of a level with children and deposits its earlier balance, as far as it fits."""
        capacity, fraction = self.registry.capacity, 1.0 / max(1, self.registry.fronts)
        assert capacity is not None
        burst = capacity.burst_units if capacity.burst_units is not None else capacity.units_per_s
        level.configure_funds(self._timers, fraction, min_burst, at, has_reserve=False)
        parent = level.parent.pool if level.parent else None
        level.pool = BorrowingPool(self._timers, max(min_burst, to_pico(burst * fraction)), at, parent, level.borrower)
        level.pool.deposit(min(balance, level.pool.burst))

    def _configure_reserve(self, level: Level, min_burst: int, at: int) -> None:
        level.configure_funds(self._timers, level.fraction, min_burst, at, has_reserve=True)
        _adjust_reserved(level, 1)

    def _set_pool_rates(self, at: int) -> None:
        """Sets the inflow of each pool: its level's rate beyond the children's reserves."""
        if self.registry.capacity is None:
            return
        own_rates, children = self.registry.reserved_rates()
        own_rates[""] = self.registry.capacity.units_per_s
        for path in self._parent_paths:
            level = self.levels[path]
            pool_rate = pico_per_us(max(0.0, own_rates[path] - children.get(path, 0.0)) / max(1, self.registry.fronts))
            if level.pool is not None and pool_rate != level.pool_rate:
                level.pool.change_rate(pool_rate - level.pool_rate, at)
                level.pool_rate = pool_rate


def _installation_settings(registry: ContractRegistry) -> tuple[object, ...]:
    """The installation-wide settings that affect every level."""
    return registry.capacity, registry.fronts, registry.max_units


def _unchanged(old: ContractRegistry, new: ContractRegistry, path: str) -> bool:
    """Whether the accounts of that level need no update."""
    if old.levels.get(path) != new.levels[path]:
        return False
    previous, now = old.contracts.get(path), new.contracts.get(path)
    if previous is None or now is None:
        return previous is now
    return (previous.fronts, previous.attempts_per_request) == (now.fronts, now.attempts_per_request)


def _adjust_reserved(level: Level, sign: int) -> None:
    """Adds a level's reserve rate to `reserved_below` of its ancestors (`sign` 1) or subtracts it (-1)."""
    if level.reserve is not None and level.parent is not None:
        for above in level.parent.self_and_ancestors():
            above.reserved_below += sign * level.reserve.rate
