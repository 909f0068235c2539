"""One front's tree of levels under a book of contracts, and how a new book is put in force.

What was granted, held and spent carries over a change of the book, by the levels' paths. Amounts and times inside are
whole numbers (`fixed_point.py`); `now` is Unix time in seconds.
"""

from __future__ import annotations

from .borrowing import LendingPool, TimerQueue
from .fixed_point import micros, parts, rate
from .levels import Level
from .terms import Book, Terms


class LevelTree:
    """All levels by path; the empty path is the installation."""

    def __init__(self, book: Book, now: float) -> None:
        self.levels: dict[str, Level] = {}
        self.scale: dict[str, float] = {}  # by path: this front's part of a contract that adapts it
        self.book = book
        self._timers = TimerQueue()
        self._inner: set[str] = set()  # the paths of levels that hold others together
        self.replace(book, now)

    @property
    def timers(self) -> TimerQueue:
        """What is due at a point of time: filled reserves, children that no longer ask."""
        return self._timers

    def advance(self, now: float) -> None:
        """What was due until now has happened."""
        self._timers.run(micros(now))

    def rescale(self, path: str, scale: float, now: float) -> None:
        """This front's part of a contract's budgets becomes so many times the even one."""
        self.scale[path] = scale
        level = self.levels[path]
        level.take_terms(level.terms, self._part(path), parts(self.book.most_units), micros(now))

    # ---- a new book ----

    def replace(self, book: Book, now: float) -> None:
        """A new book, from the next request on.

        Where only some contracts changed, only these are touched: thousands of others must not stop the front.
        """
        at = micros(now)
        self._timers.run(at)
        old, self.book = self.book, book
        gone = [path for path in self.levels if path and path not in book.levels]
        changed = [path for path in book.levels if path not in self.levels or not _same(old, book, path)]
        whole = self._concerns_all(old, book, changed)
        for path in self.levels if whole else [*gone, *changed]:
            if level := self.levels.get(path):
                level.end_lending(at)  # at the old rates
        for path in gone:
            _count_reserve(self.levels.pop(path), -1)
        least = parts(book.most_units)
        for path in ["", *book.levels] if whole else changed:
            self._take_terms(path, least, at)
            if not whole and book.capacity is not None:
                self._fund_leaf(self.levels[path], least, at)
        if whole:
            self._fund_all(least, at)
        self._set_flows(at)

    def _concerns_all(self, old: Book, new: Book, changed: list[str]) -> bool:
        """Whether the installation's figures or the tree's shape have changed, so that every level is set anew."""
        inner = {terms.parent for terms in new.levels.values()} | {""}
        reshaped = inner != self._inner or any(path in inner for path in changed)
        self._inner = inner
        return reshaped or _figures(old) != _figures(new)

    def _take_terms(self, path: str, least: int, at: int) -> None:
        """The new book's terms for one level, which is made where it is new."""
        book = self.book
        terms = book.levels.get(path) or Terms("", "installation")
        level = self.levels.get(path) or Level(terms)
        _count_reserve(level, -1)
        level.parent = self.levels[terms.parent] if path else None
        level.take_terms(terms, self._part(path), least, at)
        contract = book.contracts.get(path)
        level.limit_attempts(contract.attempts_per_request if contract else None, at)
        self.levels[path] = level

    def _part(self, path: str) -> float:
        """Which part of a level's budgets is this front's."""
        contract = self.book.contracts.get(path)
        fronts = (contract.fronts if contract else 0) or self.book.fronts
        return self.scale.get(path, 1.0) / max(1, fronts)

    # ---- funds ----

    def _fund_all(self, least: int, at: int) -> None:
        """Pools and reserves anew, where the installation says what its servers bear."""
        self._timers = TimerQueue()
        stocks = {path: level.pool.stock for path, level in self.levels.items() if level.pool is not None}
        for level in self.levels.values():
            level.pool, level.share, level.lending_since, level.reserved, level.flow = None, None, None, 0, 0
        for path, level in self.levels.items():
            if self.book.capacity is None:
                level.reserve = None
            elif path in self._inner:
                self._fund_inner(level, stocks.get(path, 0), least, at)
            else:
                self._fund_leaf(level, least, at)

    def _fund_inner(self, level: Level, stock: int, least: int, at: int) -> None:
        """A level with children holds a pool, which keeps what it had as far as that fits."""
        capacity, part = self.book.capacity, 1.0 / max(1, self.book.fronts)
        assert capacity is not None
        burst = capacity.burst_units if capacity.burst_units is not None else capacity.units_per_s
        level.fund(self._timers, part, least, at, owns=False)
        parent = level.parent.pool if level.parent else None
        level.pool = LendingPool(self._timers, max(least, parts(burst * part)), at, parent, level.share)
        level.pool.deposit(min(stock, level.pool.burst))

    def _fund_leaf(self, level: Level, least: int, at: int) -> None:
        level.fund(self._timers, level.part, least, at, owns=True)
        _count_reserve(level, 1)

    def _set_flows(self, at: int) -> None:
        """What flows into each pool by itself: what its level has beyond its children's reserves."""
        if self.book.capacity is None:
            return
        own, children = self.book.assured()
        own[""] = self.book.capacity.units_per_s
        for path in self._inner:
            level = self.levels[path]
            flow = rate(max(0.0, own[path] - children.get(path, 0.0)) / max(1, self.book.fronts))
            if level.pool is not None and flow != level.flow:
                level.pool.change_rate(flow - level.flow, at)
                level.flow = flow


def _figures(book: Book) -> tuple[object, ...]:
    """The installation's own figures, on which every level's depend."""
    return book.capacity, book.fronts, book.most_units


def _same(old: Book, new: Book, path: str) -> bool:
    """Whether the accounts of that level can stay as they are."""
    if old.levels.get(path) != new.levels[path]:
        return False
    was, now = old.contracts.get(path), new.contracts.get(path)
    if was is None or now is None:
        return was is now
    return (was.fronts, was.attempts_per_request) == (now.fronts, now.attempts_per_request)


def _count_reserve(level: Level, sign: int) -> None:
    """Adds a level's reserve to what is reserved below the levels above it, or takes it out."""
    if level.reserve is not None and level.parent is not None:
        for above in level.parent.up():
            above.reserved += sign * level.reserve.rate
