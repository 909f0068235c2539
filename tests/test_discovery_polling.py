"""Poll schedules of a whole fleet, against a discovery that serves one call at a time, on a virtual clock."""

import heapq
import random
from collections import deque
from itertools import count

import pytest

from ochrespan.discovery_polling import PollSchedule

MAX_POLL_INTERVAL, CALL_TIMEOUT = 10.0, 2.0


class Fleet:
    """Discovery serves one call at a time, `cost` seconds each, and still works on calls that have timed out."""

    def __init__(self, fronts: int, cost: float) -> None:
        self.now, self.cost, self.busy_until = 100.0, cost, 100.0
        self.rng = random.Random(11)
        self.fronts, self.calls, self.failed, self.updated_at = fronts, 0, 0, [0.0] * fronts
        self.queue: deque[float] = deque()  # when each queued call will be finished
        self.available = True
        self.order = count()
        self.restart()

    def restart(self) -> None:
        rngs = [random.Random(self.rng.random()) for _ in range(self.fronts)]
        self.schedules = [PollSchedule(self.fronts, MAX_POLL_INTERVAL, rng, self.now) for rng in rngs]
        self.events = [
            (schedule.next_call_at, next(self.order), rank, "wake") for rank, schedule in enumerate(self.schedules)
        ]
        heapq.heapify(self.events)
        self.updated_at = [0.0] * self.fronts

    def schedule_event(self, at: float, rank: int, event: str) -> None:
        heapq.heappush(self.events, (at, next(self.order), rank, event))

    def call(self, rank: int) -> None:
        self.calls += 1
        self.busy_until = max(self.now, self.busy_until) + self.cost
        if not self.available:
            self.schedule_event(self.now, rank, "failed")
        elif self.busy_until - self.now > CALL_TIMEOUT:
            self.schedule_event(self.now + CALL_TIMEOUT, rank, "failed")
        else:
            self.schedule_event(self.busy_until, rank, "answered")

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, rank, event = heapq.heappop(self.events)
            schedule = self.schedules[rank]
            if event in ("update", "broken"):  # from the old address, unless this front has switched already
                if self.now < schedule.next_call_at < float("inf"):
                    schedule.answered() if event == "update" else schedule.failed(self.now)
            elif event == "failed":
                self.failed += 1
                schedule.failed(self.now)
            elif event == "answered":
                schedule.answered()
                self.updated_at[rank] = self.now
            elif schedule.due(self.now):
                self.call(rank)
                continue
            if event in ("answered", "failed") and schedule.next_call_at < float("inf"):
                self.schedule_event(schedule.next_call_at, rank, "wake")
        self.now = until

    def break_watches(self) -> None:
        for rank, schedule in enumerate(self.schedules):
            schedule.failed(self.now)
            self.schedule_event(schedule.next_call_at, rank, "wake")
        self.updated_at = [0.0] * self.fronts

    def move(self) -> None:
        """All learn a new address; the old watches deliver updates, and break before all fronts have switched."""
        for rank, schedule in enumerate(self.schedules):
            schedule.moved(self.now)
            self.schedule_event(schedule.next_call_at, rank, "wake")
            self.schedule_event(self.now + 0.2, rank, "update")
            self.schedule_event(self.now + 0.5, rank, "broken")
        self.updated_at = [0.0] * self.fronts

    @property
    def outdated(self) -> int:
        return sum(not at for at in self.updated_at)


@pytest.mark.parametrize(("fronts", "cost"), [(4, 0.1), (40, 0.12), (200, 0.03)])
def test_fronts_that_start_or_lose_their_watch_together_all_get_the_list_soon_with_few_calls(fronts, cost):
    fleet = Fleet(fronts, cost)
    fleet.run(15)
    assert not fleet.outdated and fleet.calls <= 2 * fronts, (fleet.outdated, fleet.calls)
    fleet.break_watches()
    before = fleet.calls
    fleet.run(15)
    assert not fleet.outdated and fleet.calls - before <= 2 * fronts, (fleet.outdated, fleet.calls)
    before = fleet.calls
    fleet.run(60)
    assert fleet.calls == before  # the watches stay open


@pytest.mark.parametrize(
    ("fronts", "cost", "within"), [(1, 0.1, 0.1), (40, 0.06, 3.0), (200, 0.012, 3.0), (200, 0.03, 20.0)]
)  # the last: more calls than discovery can serve in time
def test_a_move_of_discovery_spreads_the_calls_and_broken_watches_do_not_reschedule_them(fronts, cost, within):
    fleet = Fleet(fronts, cost)
    fleet.run(30)
    before, moved_at, failed = fleet.calls, fleet.now, fleet.failed
    fleet.move()
    fleet.run(20)
    assert not fleet.outdated and max(fleet.updated_at) <= moved_at + within + cost
    assert fleet.calls - before <= (fronts if within <= 3 else 3 * fronts)
    assert within > 3 or not fleet.failed - failed


@pytest.mark.parametrize(("fronts", "cost", "rate"), [(4, 0.1, 1.2), (40, 0.12, 0.4), (200, 0.03, 0.4)])
def test_a_discovery_outage_ends_without_an_overload_by_retries(fronts, cost, rate):
    fleet = Fleet(fronts, cost)
    fleet.available = False
    fleet.run(30)
    assert fleet.outdated == fronts and fleet.calls <= 30 * fronts * rate
    gaps = 30 * fronts / fleet.calls
    assert gaps < MAX_POLL_INTERVAL / 2  # without a call for so long, a change would count as received
    fleet.available, fleet.busy_until = True, fleet.now
    fleet.run(20)
    assert not fleet.outdated, fleet.outdated


def test_with_interval_zero_the_first_call_is_not_delayed_and_retries_come_soon():
    for rank in range(50):
        schedule, now = PollSchedule(200, 0.0, random.Random(rank), 100.0), 100.0
        assert schedule.due(now) and not schedule.due(now + 1000)
        for _ in range(12):
            schedule.failed(now)
            assert now < schedule.next_call_at <= now + 0.5
            now = schedule.next_call_at
            assert schedule.due(now)
        schedule.answered()
        schedule.moved(now)
        assert schedule.due(now)
