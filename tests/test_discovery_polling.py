"""The plan of list calls of a whole fleet, before a discovery that takes calls in turn, on a virtual clock."""

import heapq
import random
from collections import deque
from itertools import count

import pytest

from ochrespan.discovery_polling import Asking

WITHIN, PATIENCE = 10.0, 2.0


class Fleet:
    """Discovery takes calls in turn, `cost` seconds each, and works through those that have failed meanwhile too."""

    def __init__(self, heads: int, cost: float) -> None:
        self.now, self.cost, self.busy_until = 100.0, cost, 100.0
        self.lot = random.Random(11)
        self.heads, self.calls, self.failed, self.lists = heads, 0, 0, [0.0] * heads
        self.queue: deque[float] = deque()  # when each call in the queue will be done with
        self.up = True
        self.order = count()
        self.restart()

    def restart(self) -> None:
        lots = [random.Random(self.lot.random()) for _ in range(self.heads)]
        self.plans = [Asking(self.heads, WITHIN, lot, self.now) for lot in lots]
        self.events = [(plan.at, next(self.order), rank, "look") for rank, plan in enumerate(self.plans)]
        heapq.heapify(self.events)
        self.lists = [0.0] * self.heads

    def later(self, at: float, rank: int, what: str) -> None:
        heapq.heappush(self.events, (at, next(self.order), rank, what))

    def call(self, rank: int) -> None:
        self.calls += 1
        self.busy_until = max(self.now, self.busy_until) + self.cost
        if not self.up:
            self.later(self.now, rank, "failed")
        elif self.busy_until - self.now > PATIENCE:
            self.later(self.now + PATIENCE, rank, "failed")
        else:
            self.later(self.busy_until, rank, "told")

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, rank, what = heapq.heappop(self.events)
            plan = self.plans[rank]
            if what in ("news", "broken"):  # of the old address, unless it has gone over already
                if self.now < plan.at < float("inf"):
                    plan.told() if what == "news" else plan.failed(self.now)
            elif what == "failed":
                self.failed += 1
                plan.failed(self.now)
            elif what == "told":
                plan.told()
                self.lists[rank] = self.now
            elif plan.due(self.now):
                self.call(rank)
                continue
            if what in ("told", "failed") and plan.at < float("inf"):
                self.later(plan.at, rank, "look")
        self.now = until

    def break_watches(self) -> None:
        for rank, plan in enumerate(self.plans):
            plan.failed(self.now)
            self.later(plan.at, rank, "look")
        self.lists = [0.0] * self.heads

    def move(self) -> None:
        """All are told of another address; the old one's watches have news, and break before all have gone over."""
        for rank, plan in enumerate(self.plans):
            plan.moved(self.now)
            self.later(plan.at, rank, "look")
            self.later(self.now + 0.2, rank, "news")
            self.later(self.now + 0.5, rank, "broken")
        self.lists = [0.0] * self.heads

    @property
    def unheard(self) -> int:
        return sum(not at for at in self.lists)


@pytest.mark.parametrize(("heads", "cost"), [(4, 0.1), (40, 0.12), (200, 0.03)])
def test_heads_that_start_or_lose_their_watch_at_once_all_hear_soon_and_ask_seldom(heads, cost):
    fleet = Fleet(heads, cost)
    fleet.run(15)
    assert not fleet.unheard and fleet.calls <= 2 * heads, (fleet.unheard, fleet.calls)
    fleet.break_watches()
    before = fleet.calls
    fleet.run(15)
    assert not fleet.unheard and fleet.calls - before <= 2 * heads, (fleet.unheard, fleet.calls)
    before = fleet.calls
    fleet.run(60)
    assert fleet.calls == before  # the watches stand


@pytest.mark.parametrize(
    ("heads", "cost", "soon"), [(1, 0.1, 0.1), (40, 0.06, 3.0), (200, 0.012, 3.0), (200, 0.03, 20.0)]
)  # the last: more than it can take in time
def test_a_move_of_discovery_is_no_rush_of_all_heads_and_a_watch_that_breaks_changes_no_lot(heads, cost, soon):
    fleet = Fleet(heads, cost)
    fleet.run(30)
    before, moved_at, failed = fleet.calls, fleet.now, fleet.failed
    fleet.move()
    fleet.run(20)
    assert not fleet.unheard and max(fleet.lists) <= moved_at + soon + cost
    assert fleet.calls - before <= (heads if soon <= 3 else 3 * heads)
    assert soon > 3 or not fleet.failed - failed


@pytest.mark.parametrize(("heads", "cost", "rate"), [(4, 0.1, 1.2), (40, 0.12, 0.4), (200, 0.03, 0.4)])
def test_a_discovery_that_goes_away_and_returns_is_not_kept_down_by_the_calls_of_all(heads, cost, rate):
    fleet = Fleet(heads, cost)
    fleet.up = False
    fleet.run(30)
    assert fleet.unheard == heads and fleet.calls <= 30 * heads * rate
    gaps = 30 * heads / fleet.calls
    assert gaps < WITHIN / 2  # a change would count as told where nobody asks
    fleet.up, fleet.busy_until = True, fleet.now
    fleet.run(20)
    assert not fleet.unheard, fleet.unheard


def test_where_news_counts_as_told_at_once_the_first_call_waits_for_nothing_and_repeats_come_soon():
    for rank in range(50):
        plan, now = Asking(200, 0.0, random.Random(rank), 100.0), 100.0
        assert plan.due(now) and not plan.due(now + 1000)
        for _ in range(12):
            plan.failed(now)
            assert now < plan.at <= now + 0.5
            now = plan.at
            assert plan.due(now)
        plan.told()
        plan.moved(now)
        assert plan.due(now)
