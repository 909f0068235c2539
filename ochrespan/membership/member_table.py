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

NEWS_FACTOR = 3  # a piece of news is sent this many times the logarithm of the fleet's size
FORGET_S = 60.0  # how long an ended member is remembered, so that old news can't bring it back


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
class News:
    """What a message tells of one member. `accuser` is a number for the process that suspects it."""

    host: str
    port: int
    role: str
    zone: str
    node: str
    state: int
    incarnation: int
    accuser: int = 0

    @property
    def address(self) -> Address:
        return (self.host, self.port)


@dataclass(slots=True)
class MemberRecord:
    member: FleetMember
    state: MemberState
    incarnation: int
    since: float
    accusers: set[int] = field(default_factory=set)

    @property
    def counts(self) -> bool:
        """A suspect counts as alive until its suspicion has run out."""
        return self.state <= MemberState.SUSPECT


def number_of(address: Address) -> int:
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

    def living(self) -> list[MemberRecord]:
        return [record for record in self.records.values() if record.counts]

    def merge(self, now: float, news: News) -> None:
        if news.address == self.own.address:
            self._hear_of_self(news)
            return
        record = self.records.get(news.address)
        state = MemberState(news.state)
        if record is None:
            self._add(now, news, state)
        elif (news.incarnation, state) > (record.incarnation, record.state):
            self._update(now, record, news, state)
        elif state is MemberState.SUSPECT is record.state and news.incarnation == record.incarnation:
            self._add_accuser(record, news.accuser)

    def suspect(self, now: float, address: Address) -> None:
        record = self.records.get(address)
        if record is not None and record.state is MemberState.ALIVE:
            self.merge(now, self._news(record, MemberState.SUSPECT, number_of(self.own.address)))
        elif record is not None and record.state is MemberState.SUSPECT:
            self._add_accuser(record, number_of(self.own.address))

    def declare_dead(self, now: float, address: Address) -> None:
        if record := self.records.get(address):
            self.merge(now, self._news(record, MemberState.DEAD))

    def leave(self) -> None:
        self.leaving = True
        self.incarnation += 1
        self._announce_self()

    def forget_ended(self, now: float) -> None:
        for address, record in list(self.records.items()):
            if not record.counts and now - record.since > FORGET_S:
                del self.records[address]
                self._queue.pop(address, None)

    def own_news(self) -> News:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        own = self.own
        return News(*own.address, own.role, own.zone, own.node, state, self.incarnation)

    def news_of(self, address: Address) -> News | None:
        record = self.records.get(address)
        return self._news(record, record.state, next(iter(record.accusers), 0)) if record else None

    def take_news(self, count: int) -> list[News]:
        """The news that were sent least often; each is dropped after enough sends."""
        limit = NEWS_FACTOR * math.ceil(math.log2(len(self.records) + 2))
        chosen = sorted(self._queue, key=self._queue.__getitem__)[:count]
        taken = []
        for address in chosen:
            self._queue[address] += 1
            if self._queue[address] >= limit:
                del self._queue[address]
            news = self.own_news() if address == self.own.address else self.news_of(address)
            if news is not None:
                taken.append(news)
        return taken

    def all_news(self) -> list[News]:
        return [self.own_news(), *(self.news_of(address) for address in self.records)]

    def _add(self, now: float, news: News, state: MemberState) -> None:
        member = FleetMember(news.address, news.role, news.zone, news.node)
        accusers = {news.accuser} if state is MemberState.SUSPECT else set()
        self.records[news.address] = MemberRecord(member, state, news.incarnation, now, accusers)
        self._queue[news.address] = 0
        self.changed |= state <= MemberState.SUSPECT

    def _update(self, now: float, record: MemberRecord, news: News, state: MemberState) -> None:
        counted, member = record.counts, record.member
        record.member = FleetMember(news.address, news.role, news.zone, news.node)
        record.state, record.incarnation, record.since = state, news.incarnation, now
        record.accusers = {news.accuser} if state is MemberState.SUSPECT else set()
        self._queue[news.address] = 0
        self.changed |= counted != record.counts or member != record.member

    def _add_accuser(self, record: MemberRecord, accuser: int) -> None:
        """A suspicion that more processes share is worth telling on again."""
        if accuser not in record.accusers:
            record.accusers.add(accuser)
            self._queue[record.member.address] = 0

    def _hear_of_self(self, news: News) -> None:
        """An earlier life at this address, or a suspicion: this process is alive with a higher incarnation."""
        own = self.own_news()
        stale = news.state != own.state or (news.role, news.zone, news.node) != (own.role, own.zone, own.node)
        if news.incarnation > self.incarnation or news.incarnation == self.incarnation and stale:
            self.refuted |= news.state in (MemberState.SUSPECT, MemberState.DEAD)
            self.incarnation = news.incarnation + 1
            self._announce_self()

    def _announce_self(self) -> None:
        self._queue[self.own.address] = 0

    @staticmethod
    def _news(record: MemberRecord, state: MemberState, accuser: int = 0) -> News:
        member = record.member
        return News(*member.address, member.role, member.zone, member.node, state, record.incarnation, accuser)
