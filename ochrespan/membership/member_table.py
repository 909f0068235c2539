"""The table of a fleet's members as one process knows it.

Updates about a member are ordered by its incarnation, which only the member itself increments, and then by state:
SUSPECT overrides ALIVE of the same incarnation, DEAD and LEFT override both (SWIM, 2002, section 4.2). A member that is
suspected or declared dead while it is alive refutes that with a higher incarnation.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from ochrespan.common.addresses import Address

from .gossip_queue import GossipQueue

# How long a member that is DEAD or LEFT stays in the table, so that a delayed update can't bring it back.
DEPARTED_RETENTION_S = 60.0


class MemberState(IntEnum):
    """State of a member; with equal incarnations the greater one overrides. The numbers are part of the wire format."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # a planned shutdown


@dataclass(frozen=True, slots=True)
class FleetMember:
    """A process of the fleet; `address` is where the other processes reach it."""

    address: Address
    role: str
    zone: str
    node: str


@dataclass(slots=True)
class MemberUpdate:
    """A message's report on one member. `suspected_by` is the `member_number` of the process that suspects it.

    The order of the fields is part of the wire format.
    """

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
        """Where the member is reached."""
        return (self.host, self.port)

    @property
    def member(self) -> FleetMember:
        """The member that the update is about."""
        return FleetMember(self.address, self.role, self.zone, self.node)


@dataclass(slots=True)
class MemberRecord:
    """A member, its state, and since when (seconds of the caller's clock) it has been in that state."""

    member: FleetMember
    state: MemberState
    incarnation: int
    state_since: float
    suspecting_members: set[int] = field(default_factory=set)

    @property
    def is_alive_or_suspect(self) -> bool:
        """A suspect counts as alive until its suspicion has timed out."""
        return self.state <= MemberState.SUSPECT


def member_number(address: Address) -> int:
    """A short number that identifies a process in `suspected_by`."""
    return zlib.crc32(f"{address[0]}:{address[1]}".encode())


class MemberTable:
    """Merges updates about members and hands out those that are to be disseminated.

    Attributes:
        own_member: This process as a member. It has no record.
        incarnation: This process's own incarnation.
        is_leaving: Whether this process has announced its planned shutdown.
        records: The other members.
        has_changed: Whether the set of alive members has changed since the flag was cleared.
        has_refuted: Whether this process has refuted a suspicion or its death since the flag was cleared.
    """

    def __init__(self, own_member: FleetMember) -> None:
        self.own_member = own_member
        self.incarnation = 0
        self.is_leaving = False
        self.records: dict[Address, MemberRecord] = {}
        self.has_changed = True
        self.has_refuted = False
        self._gossip = GossipQueue()
        self._announce_self()

    def alive_members(self) -> list[MemberRecord]:
        """The other members that are alive or suspected."""
        return [record for record in self.records.values() if record.is_alive_or_suspect]

    def merge(self, now: float, update: MemberUpdate) -> None:
        """Applies an update if it overrides the state known here, and queues it for dissemination in that case."""
        address = update.address
        if address == self.own_member.address:
            self._merge_about_self(update)
            return
        record = self.records.get(address)
        state = MemberState(update.state)
        if record is None:
            self._add(now, update, state)
        elif (update.incarnation, state) > (record.incarnation, record.state):
            self._override(now, record, update, state)
        elif state is MemberState.SUSPECT is record.state and update.incarnation == record.incarnation:
            self._add_suspecting_member(record, update.suspected_by)

    def suspect(self, now: float, address: Address) -> None:
        """Records that this process suspects a member."""
        record = self.records.get(address)
        if record is not None and record.state is MemberState.ALIVE:
            self.merge(now, self._update_about(record, MemberState.SUSPECT, member_number(self.own_member.address)))
        elif record is not None and record.state is MemberState.SUSPECT:
            self._add_suspecting_member(record, member_number(self.own_member.address))

    def declare_dead(self, now: float, address: Address) -> None:
        """Declares a member dead whose suspicion has timed out."""
        if record := self.records.get(address):
            self.merge(now, self._update_about(record, MemberState.DEAD))

    def leave(self) -> None:
        """Announces the planned shutdown of this process."""
        self.is_leaving = True
        self.incarnation += 1
        self._announce_self()

    def remove_departed(self, now: float) -> None:
        """Drops the members that have been DEAD or LEFT for longer than DEPARTED_RETENTION_S."""
        for address, record in list(self.records.items()):
            if not record.is_alive_or_suspect and now - record.state_since > DEPARTED_RETENTION_S:
                del self.records[address]
                self._gossip.discard(address)

    def own_update(self) -> MemberUpdate:
        """The update that this process sends about itself."""
        state = MemberState.LEFT if self.is_leaving else MemberState.ALIVE
        own_member = self.own_member
        return MemberUpdate(
            *own_member.address, own_member.role, own_member.zone, own_member.node, state, self.incarnation
        )

    def update_for(self, address: Address) -> MemberUpdate | None:
        """The update about another member as known here; None where it isn't in the table."""
        record = self.records.get(address)
        return self._update_for_record(record) if record else None

    def next_updates(self, count: int) -> list[MemberUpdate]:
        """At most `count` updates to piggyback on a message, the least transmitted first."""
        updates = []
        for address in self._gossip.take(count, len(self.records)):
            update = self.own_update() if address == self.own_member.address else self.update_for(address)
            if update is not None:
                updates.append(update)
        return updates

    def all_updates(self) -> list[MemberUpdate]:
        """The full table, this process first."""
        return [self.own_update(), *(self._update_for_record(record) for record in self.records.values())]

    def _add(self, now: float, update: MemberUpdate, state: MemberState) -> None:
        suspecting_members = {update.suspected_by} if state is MemberState.SUSPECT else set()
        self.records[update.address] = MemberRecord(update.member, state, update.incarnation, now, suspecting_members)
        self._gossip.push(update.address)
        self.has_changed |= state <= MemberState.SUSPECT

    def _override(self, now: float, record: MemberRecord, update: MemberUpdate, state: MemberState) -> None:
        was_alive = record.is_alive_or_suspect
        old_member = record.member
        record.member = update.member
        record.state = state
        record.incarnation = update.incarnation
        record.state_since = now
        record.suspecting_members = {update.suspected_by} if state is MemberState.SUSPECT else set()
        self._gossip.push(update.address)
        self.has_changed |= was_alive != record.is_alive_or_suspect or old_member != record.member

    def _add_suspecting_member(self, record: MemberRecord, suspected_by: int) -> None:
        """Counts another suspecting process, and disseminates that: it shortens the suspicion time-out everywhere."""
        if suspected_by not in record.suspecting_members:
            record.suspecting_members.add(suspected_by)
            self._gossip.push(record.member.address)

    def _merge_about_self(self, update: MemberUpdate) -> None:
        """Refutes a false update about this process with a higher incarnation.

        Such an update comes from a suspicion, from a declared death, or from an earlier process at this address.
        """
        current = self.own_update()
        is_wrong = update.state != current.state or update.member != self.own_member
        if update.incarnation > self.incarnation or (update.incarnation == self.incarnation and is_wrong):
            self.has_refuted |= update.state in (MemberState.SUSPECT, MemberState.DEAD)
            self.incarnation = update.incarnation + 1
            self._announce_self()

    def _announce_self(self) -> None:
        self._gossip.push(self.own_member.address)

    def _update_for_record(self, record: MemberRecord) -> MemberUpdate:
        return self._update_about(record, record.state, next(iter(record.suspecting_members), 0))

    @staticmethod
    def _update_about(record: MemberRecord, state: MemberState, suspected_by: int = 0) -> MemberUpdate:
        member = record.member
        return MemberUpdate(
            *member.address, member.role, member.zone, member.node, state, record.incarnation, suspected_by
        )
