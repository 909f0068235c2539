"""SWIM membership on a simulated network in virtual time: lost datagrams, killed, stalled and restarted processes."""

import heapq
import random

import pytest

from ochrespan.membership.member_table import FleetMember, MemberState, MemberTable, MemberUpdate
from ochrespan.membership.protocol import SwimProtocol

DELAY_S = 0.002


def address(number: int) -> tuple[str, int]:
    return (f"10.0.0.{number}", 7500)


def member(number: int) -> FleetMember:
    return FleetMember(address(number), "router", "hall-a", f"edge-{number}")


class Fleet:
    """Processes with a queue of events. A stalled process gets neither ticks nor messages until the stall ends."""

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.processes: dict[tuple[str, int], SwimProtocol] = {}
        self.stalled: set[tuple[str, int]] = set()
        self._events: list = []
        self._count = 0
        # time, declaring process and member, of running members that were declared dead
        self.falsely_dead: list[tuple[float, tuple[str, int], tuple[str, int]]] = []
        for number in range(1, size + 1):
            self.start(number)

    def start(self, number: int, seeds=(1, 2, 3)) -> SwimProtocol:
        process = SwimProtocol(member(number), tuple(map(address, seeds)), self.random, self.now)
        self.processes[address(number)] = process
        return process

    def kill(self, number: int) -> None:
        del self.processes[address(number)]

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            due = [process.next_tick_at for at, process in self.processes.items() if at not in self.stalled]
            next_tick = min(due, default=end)
            next_event = self._events[0][0] if self._events else end
            self.now = max(self.now, min(next_tick, next_event))
            if self.now >= end:
                self.now = end
                return
            self._step()

    def _step(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            _, _, to, sender, message = heapq.heappop(self._events)
            if to in self.stalled:
                self._post(to, sender, message, 0.05)
            elif to in self.processes:
                self.processes[to].receive(self.now, sender, message)
                self._collect(to)
        for at, process in list(self.processes.items()):
            if at not in self.stalled and process.next_tick_at <= self.now:
                process.tick(self.now)
                self._collect(at)

    def _collect(self, sender) -> None:
        for to, message in self.processes[sender].take_messages():
            if self.random.random() >= self.loss:
                self._post(to, sender, message, DELAY_S * self.random.uniform(0.5, 2.0))
        known = self.processes[sender].table.records
        self.falsely_dead += [
            (self.now, sender, at)
            for at, record in known.items()
            if record.state is MemberState.DEAD and at in self.processes
        ]

    def _post(self, to, sender, message, delay: float) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, to, sender, message))

    def views(self) -> list[set]:
        return [{known.address for known in process.alive()} for process in self.processes.values()]

    def agreed(self) -> bool:
        return all(view == set(self.processes) for view in self.views())


@pytest.mark.parametrize("seed", range(5))
def test_all_processes_know_each_other_soon_after_the_start(seed):
    fleet = Fleet(12, seed)
    fleet.run(4.0)
    assert fleet.agreed()


def test_a_large_fleet_that_starts_at_once_knows_itself_within_seconds():
    fleet = Fleet(150, 1)
    fleet.run(8.0)
    assert fleet.agreed()


@pytest.mark.parametrize("seed", range(10))
def test_a_fifth_of_the_datagrams_lost_declare_nobody_dead(seed):
    fleet = Fleet(12, seed, loss=0.2)
    fleet.run(90.0)
    assert fleet.agreed()
    assert fleet.falsely_dead == []


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_killed_processes_are_known_to_all_within_seconds(seed, loss):
    fleet = Fleet(12, seed, loss)
    fleet.run(10.0)
    fleet.kill(5)
    fleet.kill(9)
    fleet.run(20.0 if loss else 12.0)
    assert fleet.agreed()


def test_a_planned_shutdown_is_known_to_all_at_once():
    fleet = Fleet(12, 1)
    fleet.run(5.0)
    leaving = fleet.processes[address(5)]
    leaving.leave()
    fleet._collect(address(5))
    fleet.run(0.05)
    fleet.kill(5)
    fleet.run(2.5)
    assert fleet.agreed()


@pytest.mark.parametrize("seed", range(5))
def test_a_process_that_was_stalled_degrades_its_local_health_and_declares_nobody_dead(seed):
    fleet = Fleet(12, seed)
    fleet.run(10.0)
    fleet.stalled.add(address(4))
    fleet.run(1.2)
    fleet.stalled.clear()
    fleet.run(0.3)
    assert fleet.processes[address(4)].local_health_multiplier > 0
    fleet.run(20.0)
    assert fleet.agreed()
    assert {declared_by for _, declared_by, _ in fleet.falsely_dead if declared_by == address(4)} == set()


@pytest.mark.parametrize("seed", range(3))
def test_a_process_is_back_at_its_address_and_another_at_a_new_one(seed):
    fleet = Fleet(12, seed)
    fleet.run(5.0)
    fleet.kill(2)
    fleet.kill(7)
    fleet.run(15.0)
    fleet.start(2, seeds=(1, 3))
    fleet.start(13, seeds=(4, 5, 6))
    fleet.run(8.0)
    assert fleet.agreed()


def test_two_halves_that_declared_each_other_dead_find_each_other_again():
    fleet = Fleet(6, 1)
    fleet.run(5.0)
    half = {address(number) for number in (4, 5, 6)}
    collect = fleet._post
    fleet._post = lambda to, sender, message, delay: (
        collect(to, sender, message, delay) if (to in half) == (sender in half) else None
    )
    fleet.run(30.0)
    assert fleet.views()[0] == set(fleet.processes) - half
    fleet._post = collect
    fleet.run(15.0)
    assert fleet.agreed()


def update(state: MemberState, incarnation: int, number: int = 2) -> MemberUpdate:
    return MemberUpdate(*address(number), "router", "hall-a", f"edge-{number}", state, incarnation)


def test_updates_are_ordered_by_incarnation_and_then_by_state():
    table = MemberTable(member(1))
    for state, incarnation, is_alive_or_suspect in [
        (MemberState.ALIVE, 1, True),
        (MemberState.DEAD, 1, False),
        (MemberState.ALIVE, 1, False),
        (MemberState.SUSPECT, 1, False),
        (MemberState.ALIVE, 2, True),
        (MemberState.SUSPECT, 1, True),
        (MemberState.LEFT, 2, False),
        (MemberState.SUSPECT, 2, False),
    ]:
        table.merge(0.0, update(state, incarnation))
        assert table.records[address(2)].is_alive_or_suspect is is_alive_or_suspect


def test_a_suspected_process_refutes_with_a_higher_incarnation():
    table = MemberTable(member(1))
    table.merge(0.0, update(MemberState.SUSPECT, 4, number=1))
    assert (table.incarnation, table.has_refuted) == (5, True)
    assert table.own_update().state == MemberState.ALIVE
