"""SWIM membership with the refinements of Lifeguard: direct and indirect probes, suspicion, refutation, local health.

A process that misses answers, or finds itself suspected, doubts itself first: its local health multiplier stretches its
own time-outs, so a slow processor doesn't take the living for dead. A suspicion runs out sooner the more processes
share it.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from ochrespan.common.addresses import Address

from .member_table import FleetMember, MemberState, MemberTable, MemberUpdate
from .messages import Ack, Nack, Ping, PingRequest, SwimMessage, Sync

PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.2
HELPERS = 3
NACK_FRACTION = 0.8  # a helper says that it got no answer after this share of the time-out
MAX_HEALTH_MULTIPLIER = 8
SUSPICION_PERIODS = 3  # shortest suspicion in periods, times the logarithm of the fleet's size
SUSPICION_STRETCH = 4  # the longest suspicion against the shortest
PINGED_SUSPECTS = 2
UPDATES_PER_MESSAGE = 10
UPDATES_PER_SYNC = 10
CONTACT_INTERVAL_S = 1.0  # between messages to seeds that aren't known, and to the dead, who may be back
SYNC_INTERVAL_S = 15.0
# after the start of a whole fleet, news alone would take a while to reach all; doubles each time
INITIAL_SYNC_INTERVAL_S = 2.5
# a tick this late means that this process was held up: it judges nobody by the time that it missed
MAX_TICK_DELAY_S = 0.3


@dataclass(slots=True)
class _Probe:
    target: Address
    number: int
    ask_helpers_at: float
    ends_at: float
    nacks_due: int = 0
    asked: bool = False


@dataclass(slots=True)
class _Relayed:
    """A probe on behalf of another process."""

    origin: Address
    number: int
    nack_at: float
    ends_at: float
    nacked: bool = field(default=False)


class SwimProtocol:
    """One process's part. Feed it ticks (at `next_at`) and messages; take messages and the change of members out."""

    def __init__(self, own: FleetMember, seeds: tuple[Address, ...], source: random.Random, now: float) -> None:
        self.table = MemberTable(own)
        self.health = 0
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._random = source
        self._outbox: list[tuple[Address, SwimMessage]] = []
        self._numbers = 0
        self._probe: _Probe | None = None
        self._relayed: dict[int, _Relayed] = {}
        self._order: list[Address] = []
        self._period_at = now
        self._contact_at = now
        self._sync_interval = INITIAL_SYNC_INTERVAL_S
        self._sync_at = now + INITIAL_SYNC_INTERVAL_S * source.uniform(0.5, 1.0)
        self._expected_tick = now

    @property
    def next_at(self) -> float:
        """When the next tick is needed."""
        times = [self._period_at, self._contact_at]
        if self._probe and not self._probe.asked:
            times.append(self._probe.ask_helpers_at)
        times += [relayed.nack_at for relayed in self._relayed.values() if not relayed.nacked]
        return min(times)

    def alive(self, role: str | None = None) -> list[FleetMember]:
        """This process and the members that aren't known to have ended, by address."""
        members = [record.member for record in self.table.alive_members()]
        if not self.table.leaving:
            members.append(self.table.own)
        return sorted((member for member in members if role in (None, member.role)), key=lambda member: member.address)

    def take_messages(self) -> list[tuple[Address, SwimMessage]]:
        messages, self._outbox = self._outbox, []
        return messages

    def take_changed(self) -> bool:
        changed, self.table.changed = self.table.changed, False
        return changed

    def seeds_changed(self, seeds: tuple[Address, ...]) -> None:
        """Other seeds hold from now on; the members that are known stay."""
        self._seeds = tuple(seed for seed in seeds if seed != self.table.own.address)

    def leave(self) -> None:
        """Tells some members of the planned end; the others learn it from them."""
        self.table.leave()
        for address in self._pick_others(HELPERS, exclude=None):
            self._send(address, Ping(self._next_number(), [self.table.own_update()]))

    def tick(self, now: float) -> None:
        if now - self._expected_tick > MAX_TICK_DELAY_S:
            self._excuse(now - self._expected_tick)
        if now >= self._contact_at:
            self._contact(now)
        self._drive_probe(now)
        self._drive_relayed(now)
        if now >= self._period_at:
            self._end_period(now)
        self._expected_tick = self.next_at

    def receive(self, now: float, peer: Address, message: SwimMessage) -> None:
        match message:
            case Ping():
                self._merge(now, message.updates)
                self._send(peer, Ack(message.number, self._updates_for(peer)))
            case Ack():
                self._merge(now, message.updates)
                self._acknowledged(message.number)
            case Nack():
                if self._probe and message.number == self._probe.number:
                    self._probe.nacks_due -= 1
            case PingRequest():
                self._merge(now, message.updates)
                self._relay(now, peer, message)
            case Sync():
                self._merge(now, message.updates)
                if message.answer:
                    self._sync_with(peer, answer=False)
        if self.table.refuted:
            self.table.refuted = False
            self._doubt_self(1)

    # Probing

    def _end_period(self, now: float) -> None:
        if self._probe is not None:
            self._failed(now, self._probe)
        self._judge_suspects(now)
        self.table.forget_ended(now)
        if now >= self._sync_at:
            self._sync_interval = min(SYNC_INTERVAL_S, 2 * self._sync_interval)
            self._sync_at = now + self._sync_interval * self._random.uniform(0.5, 1.0)
            for address in self._pick_others(1, exclude=None):
                self._sync_with(address, answer=True)
        self._period_at = now + PERIOD_S * (1 + self.health)
        target = self._next_target()
        if target is not None:
            number = self._next_number()
            self._probe = _Probe(target, number, now + PROBE_TIMEOUT_S * (1 + self.health), self._period_at)
            self._send(target, Ping(number, self._updates_for(target)))
        self._warn_suspects(target)

    def _warn_suspects(self, target: Address | None) -> None:
        """Pings some suspects besides, so that they hear of their suspicion and can refute it in time."""
        suspects = [
            record.member.address
            for record in self.table.alive_members()
            if record.state is MemberState.SUSPECT and record.member.address != target
        ]
        for address in self._random.sample(suspects, min(PINGED_SUSPECTS, len(suspects))):
            self._send(address, Ping(self._next_number(), self._updates_for(address)))

    def _drive_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None or probe.asked or now < probe.ask_helpers_at:
            return
        probe.asked = True
        helpers = self._pick_others(HELPERS, exclude=probe.target)
        probe.nacks_due = len(helpers)
        for helper in helpers:
            self._send(helper, PingRequest(probe.number, *probe.target, self._updates_for(helper)))

    def _failed(self, now: float, probe: _Probe) -> None:
        self._probe = None
        self.table.suspect(now, probe.target)
        self._doubt_self(probe.nacks_due)

    def _acknowledged(self, number: int) -> None:
        if self._probe is not None and number == self._probe.number:
            self._probe = None
            self.health = max(0, self.health - 1)
        elif relayed := self._relayed.pop(number, None):
            self._send(relayed.origin, Ack(relayed.number, []))

    def _relay(self, now: float, origin: Address, request: PingRequest) -> None:
        number = self._next_number()
        self._relayed[number] = _Relayed(origin, request.number, now + PROBE_TIMEOUT_S * NACK_FRACTION, now + PERIOD_S)
        target = (request.host, request.port)
        self._send(target, Ping(number, self._updates_for(target)))

    def _drive_relayed(self, now: float) -> None:
        for number, relayed in list(self._relayed.items()):
            if now >= relayed.nack_at and not relayed.nacked:
                relayed.nacked = True
                self._send(relayed.origin, Nack(relayed.number))
            if now >= relayed.ends_at:
                del self._relayed[number]

    def _judge_suspects(self, now: float) -> None:
        for record in self.table.alive_members():
            if record.state is MemberState.SUSPECT and now - record.since >= self._suspicion_s(
                len(record.suspecting_members)
            ):
                self.table.declare_dead(now, record.member.address)

    def _suspicion_s(self, suspecting_members: int) -> float:
        others = len(self.table.alive_members())
        shortest = SUSPICION_PERIODS * max(1.0, math.log10(others + 1)) * PERIOD_S * (1 + self.health / 2)
        expected = max(1, min(HELPERS, others - 1))
        share = min(1.0, math.log(max(1, suspecting_members)) / math.log(expected)) if expected > 1 else 1.0
        return shortest * (1 + (SUSPICION_STRETCH - 1) * (1 - share))

    def _next_target(self) -> Address | None:
        """Each living member once in a random order, then in another order."""
        for _ in range(2):
            while self._order:
                address = self._order.pop()
                record = self.table.records.get(address)
                if record is not None and record.is_alive_or_suspect:
                    return address
            self._order = [record.member.address for record in self.table.alive_members()]
            self._random.shuffle(self._order)
        return None

    # Health

    def _doubt_self(self, steps: int) -> None:
        self.health = min(MAX_HEALTH_MULTIPLIER, self.health + max(0, steps))

    def _excuse(self, held_up_s: float) -> None:
        """This process stood still: its probes and suspicions get the time that it missed."""
        self._doubt_self(1)
        self._period_at += held_up_s
        if self._probe is not None:
            self._probe.ask_helpers_at += held_up_s
            self._probe.ends_at += held_up_s
        for record in self.table.alive_members():
            record.since += held_up_s if record.state is MemberState.SUSPECT else 0.0

    # Messages

    def _contact(self, now: float) -> None:
        """Seeds that aren't known alive, and one of the dead: they may be there, or be back.

        One seed is asked for all it knows, the others are only told: the answer grows with the fleet.
        """
        self._contact_at = now + CONTACT_INTERVAL_S
        records = self.table.records
        unknown = [seed for seed in self._seeds if seed not in records or not records[seed].is_alive_or_suspect]
        dead = [
            address for address, record in records.items() if not record.is_alive_or_suspect and address not in unknown
        ]
        asked = self._random.sample(unknown, min(1, len(unknown)))
        for seed in unknown:
            self._send(seed, Sync(seed in asked, [self.table.own_update()]))
        for address in self._random.sample(dead, min(1, len(dead))):
            self._send(address, Sync(True, [self.table.own_update()]))

    def _sync_with(self, address: Address, answer: bool) -> None:
        updates = self.table.all_updates()
        for start in range(0, len(updates), UPDATES_PER_SYNC):
            self._send(address, Sync(answer and start == 0, updates[start : start + UPDATES_PER_SYNC]))

    def _updates_for(self, address: Address) -> list[MemberUpdate]:
        """News to travel along. A suspect hears of its suspicion first, so that it can refute it."""
        first = []
        record = self.table.records.get(address)
        if record is not None and record.state is not MemberState.ALIVE:
            first = [self.table.update_for(address)]
        return first + self.table.next_updates(UPDATES_PER_MESSAGE - len(first))

    def _merge(self, now: float, updates: list[MemberUpdate]) -> None:
        for item in updates:
            self.table.merge(now, item)

    def _pick_others(self, count: int, exclude: Address | None) -> list[Address]:
        others = [record.member.address for record in self.table.alive_members() if record.member.address != exclude]
        return self._random.sample(others, min(count, len(others)))

    def _next_number(self) -> int:
        self._numbers += 1
        return self._numbers

    def _send(self, address: Address, message: SwimMessage) -> None:
        self._outbox.append((address, message))
