"""The table of a fleet's members as one process knows it, and the queue of news about them.

News about a member is ordered by its incarnation, which the member alone raises, and then by state: a suspicion beats
the life of the same incarnation, an end beats both. Who is named suspected or dead while alive refutes it with a higher
incarnation.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from ochrespan.common.addresses import Address

TRANSMIT_FACTOR = 3  # a piece of news is sent this many times the logarithm of the fleet's size
FORGET_ENDED_AFTER_S = 60.0  # how long an ended member is remembered, so that old news can't bring it back


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # ended as planned


@dataclass(frozen=True, slots=True)
class FleetMember:
    """A process of the fleet; `address` is where the other processes reach it."""

    address: Address
    role: str
    zone: str
    node: str


@dataclass(slots=True)
class MemberUpdate:
    """What a message tells of one member. `suspected_by` is a number for the process that suspects it."""

    host: str
    port: int
    role: str
    zone: str
    node: str
    state: int
    incarnation: int
    suspected_by: int = 0

    @property
    def address(self) -> Address:
        return (self.host, self.port)


@dataclass(slots=True)
class MemberRecord:
    member: FleetMember
    state: MemberState
    incarnation: int
    since: float
    suspecting_members: set[int] = field(default_factory=set)

    @property
    def is_alive_or_suspect(self) -> bool:
        """A suspect counts as alive until its suspicion has run out."""
        return self.state <= MemberState.SUSPECT


def member_number(address: Address) -> int:
    return zlib.crc32(f"{address[0]}:{address[1]}".encode())


class MemberTable:
    """Merges news and hands out what should be told on."""

    def __init__(self, own: FleetMember) -> None:
        self.own = own
        self.incarnation = 0
        self.leaving = False
        self.records: dict[Address, MemberRecord] = {}
        self.changed = True  # the set of living members
        self.refuted = False  # somebody took this process for dead or suspected it
        self._queue: dict[Address, int] = {}  # times that the newest news about a member was sent
        self._announce_self()

    def alive_members(self) -> list[MemberRecord]:
        return [record for record in self.records.values() if record.is_alive_or_suspect]

    def merge(self, now: float, updates: MemberUpdate) -> None:
        if updates.address == self.own.address:
            self._merge_about_self(updates)
            return
        record = self.records.get(updates.address)
        state = MemberState(updates.state)
        if record is None:
            self._add(now, updates, state)
        elif (updates.incarnation, state) > (record.incarnation, record.state):
            self._update(now, record, updates, state)
        elif state is MemberState.SUSPECT is record.state and updates.incarnation == record.incarnation:
            self._add_suspecting_member(record, updates.suspected_by)

    def suspect(self, now: float, address: Address) -> None:
        record = self.records.get(address)
        if record is not None and record.state is MemberState.ALIVE:
            self.merge(now, self._update_about(record, MemberState.SUSPECT, member_number(self.own.address)))
        elif record is not None and record.state is MemberState.SUSPECT:
            self._add_suspecting_member(record, member_number(self.own.address))

    def declare_dead(self, now: float, address: Address) -> None:
        if record := self.records.get(address):
            self.merge(now, self._update_about(record, MemberState.DEAD))

    def leave(self) -> None:
        self.leaving = True
        self.incarnation += 1
        self._announce_self()

    def forget_ended(self, now: float) -> None:
        for address, record in list(self.records.items()):
            if not record.is_alive_or_suspect and now - record.since > FORGET_ENDED_AFTER_S:
                del self.records[address]
                self._queue.pop(address, None)

    def own_update(self) -> MemberUpdate:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        own = self.own
        return MemberUpdate(*own.address, own.role, own.zone, own.node, state, self.incarnation)

    def update_for(self, address: Address) -> MemberUpdate | None:
        record = self.records.get(address)
        return self._update_about(record, record.state, next(iter(record.suspecting_members), 0)) if record else None

    def next_updates(self, count: int) -> list[MemberUpdate]:
        """The news that were sent least often; each is dropped after enough sends."""
        limit = TRANSMIT_FACTOR * math.ceil(math.log2(len(self.records) + 2))
        chosen = sorted(self._queue, key=self._queue.__getitem__)[:count]
        taken = []
        for address in chosen:
            self._queue[address] += 1
            if self._queue[address] >= limit:
                del self._queue[address]
            updates = self.own_update() if address == self.own.address else self.update_for(address)
            if updates is not None:
                taken.append(updates)
        return taken

    def all_updates(self) -> list[MemberUpdate]:
        return [self.own_update(), *(self.update_for(address) for address in self.records)]

    def _add(self, now: float, updates: MemberUpdate, state: MemberState) -> None:
        member = FleetMember(updates.address, updates.role, updates.zone, updates.node)
        suspecting_members = {updates.suspected_by} if state is MemberState.SUSPECT else set()
        self.records[updates.address] = MemberRecord(member, state, updates.incarnation, now, suspecting_members)
        self._queue[updates.address] = 0
        self.changed |= state <= MemberState.SUSPECT

    def _update(self, now: float, record: MemberRecord, updates: MemberUpdate, state: MemberState) -> None:
        counted, member = record.is_alive_or_suspect, record.member
        record.member = FleetMember(updates.address, updates.role, updates.zone, updates.node)
        record.state, record.incarnation, record.since = state, updates.incarnation, now
        record.suspecting_members = {updates.suspected_by} if state is MemberState.SUSPECT else set()
        self._queue[updates.address] = 0
        self.changed |= counted != record.is_alive_or_suspect or member != record.member

    def _add_suspecting_member(self, record: MemberRecord, suspected_by: int) -> None:
        """A suspicion that more processes share is worth telling on again."""
        if suspected_by not in record.suspecting_members:
            record.suspecting_members.add(suspected_by)
            self._queue[record.member.address] = 0

    def _merge_about_self(self, updates: MemberUpdate) -> None:
        """An earlier life at this address, or a suspicion: this process is alive with a higher incarnation."""
        own = self.own_update()
        stale = updates.state != own.state or (updates.role, updates.zone, updates.node) != (
            own.role,
            own.zone,
            own.node,
        )
        if updates.incarnation > self.incarnation or updates.incarnation == self.incarnation and stale:
            self.refuted |= updates.state in (MemberState.SUSPECT, MemberState.DEAD)
            self.incarnation = updates.incarnation + 1
            self._announce_self()

    def _announce_self(self) -> None:
        self._queue[self.own.address] = 0

    @staticmethod
    def _update_about(record: MemberRecord, state: MemberState, suspected_by: int = 0) -> MemberUpdate:
        member = record.member
        return MemberUpdate(
            *member.address, member.role, member.zone, member.node, state, record.incarnation, suspected_by
        )
