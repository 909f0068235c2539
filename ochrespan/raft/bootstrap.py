"""How the groups of a deployment come to be, and how a replica with an empty disk finds them.

An id is drawn at random with an empty disk and ends with that disk, so it never comes back with another one. With
`bootstrap: true` the seeds are the founders. A founder marks its disk with their addresses, asks the others what they
hold, and the groups are formed in one of two ways:

- every founder says under its first address that its disk is empty, and most disks have the mark. An acknowledged
  order has entries on most disks, so more than may be lost would have to be empty;
- most founders are in the very first start of their disks and began within `MAX_START_SPREAD_S` of each other, and
  nobody knows of a group. This lets a first start go on without a founder that is late. One that began when a group
  might already have lived beside it, or that starts a second time, waits for the word of all.

A process without the mark forms nothing: that all whom it knows are empty does not prove that no fleet lives elsewhere.

Foundings that cross are settled by what their members hold. Entries of a log bind a process to its groups for good;
before the first entry it may go over to another founding, and gives its own up where another has commitments.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ochrespan.common.addresses import Address

from .cluster_messages import (
    NOT_FIRST_START,
    BootstrapProposal,
    JoinRequest,
    JoinResponse,
    cluster_id_of,
    proposed_members,
)
from .membership_config import Member, MembershipConfig

QUERY_INTERVAL_S = 0.25
BOOTSTRAP_QUERY_INTERVAL_S = 0.05  # while the groups are to be formed
MAX_START_SPREAD_S = 0.4  # founders of a first start begin within this time of each other
ALL_MEMBERS_WAIT_S = 0.1  # how long a founder waits for the word of all before that of most is enough
# how long all founders have to be without an entry before a founding that led to nothing is given up
ABANDON_AFTER_S = 1.5
# the same in a first start, where most founders are there and too few of them in this founding
ABANDON_FIRST_START_AFTER_S = 0.5
MAX_REPORT_AGE_S = 1.0  # an answer older than this says nothing


@dataclass(slots=True)
class Identity:
    """Who a process is in the groups: drawn with an empty disk, kept with it.

    Cluster 0: not taken in yet. `initial_members` is the mark of a first start.
    """

    replica_id: int
    cluster: int = 0
    initial_members: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class BootstrapSettings:
    address: Address
    seeds: tuple[Address, ...]
    bootstrap: bool
    fault_tolerance: int  # machines that may be lost at once


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What a process has last said of itself."""

    replica_id: int
    empty: bool
    blank: bool
    initial_members: tuple[Address, ...]
    began_at: float | None  # by the receiver's clock, where it is in the first life of its disk
    last_contact_at: float


def generate_replica_id(source: random.Random) -> int:
    """An id that no other disk has."""
    return source.getrandbits(62) + 1


class Bootstrap:
    """A process's part in the forming of the groups, and what it knows of the others' disks."""

    def __init__(
        self, settings: BootstrapSettings, identity: Identity, source: random.Random, began_at: float | None
    ) -> None:
        self.settings, self.identity = settings, identity
        self._random = source
        self._began_at = began_at  # None: this is not the first life of the disk
        self._holdings: dict[Address, PeerReport] = {}
        self._group_known = False
        self._formed_at = 0.0
        self._blank_since: float | None = None

    @classmethod
    def begin(cls, settings: BootstrapSettings, known: Identity | None, source: random.Random, now: float) -> Bootstrap:
        """Continues as `known`, or draws a new id; a founder's disk gets its mark."""
        initial_members = tuple(sorted(set(settings.seeds)))
        is_initial_member = settings.bootstrap and settings.address in initial_members
        if known is None:
            return cls(
                settings,
                Identity(generate_replica_id(source), 0, initial_members if is_initial_member else ()),
                source,
                now,
            )
        if is_initial_member and not known.cluster and not known.initial_members:
            known = Identity(known.replica_id, 0, initial_members)
        return cls(settings, known, source, None)

    @property
    def empty(self) -> bool:
        return self.identity.cluster == 0

    @property
    def is_initial_member(self) -> bool:
        """Whether this process still has to see the groups formed."""
        return self.empty and bool(self.identity.initial_members)

    def age(self, now: float) -> float:
        """Seconds since the disk was first used; NOT_FIRST_START where a group is known, so that no other counts it."""
        return NOT_FIRST_START if self._began_at is None or self._group_known else now - self._began_at

    def leader_seen(self) -> None:
        """A leader asks for another id at this address: a group lives, and this disk is not the first here."""
        self._group_known = True

    def heard(self, now: float, replica_id: int, address: Address, message: JoinRequest | JoinResponse) -> None:
        """A process has said what it holds."""
        initial_members = tuple((host, port) for host, port in message.initial_members)
        began_at = None if message.age_s < 0 else now - message.age_s
        self._holdings[address] = PeerReport(replica_id, message.empty, message.blank, initial_members, began_at, now)
        self._group_known |= not message.empty and not message.blank

    def proposal(self, now: float) -> BootstrapProposal | None:
        """The members of the first groups, if they may be formed now and this founder has the lowest address here."""
        initial_members, own = self.identity.initial_members, self.settings.address
        if not self.empty or own not in initial_members:
            return None
        empty = {
            address: holding
            for address, holding in self._fresh(now).items()
            if holding.empty and holding.initial_members in ((), initial_members)
        }
        empty[own] = PeerReport(self.identity.replica_id, True, True, initial_members, self._began_at, now)
        proposer = min(address for address, holding in empty.items() if holding.initial_members)
        if own != proposer or not (self._is_word_of_all(empty) or self._enough_for_first_start(now, empty)):
            return None
        ids = {
            address: empty[address].replica_id if address in empty else generate_replica_id(self._random)
            for address in initial_members
        }
        return BootstrapProposal([[ids[address], *address] for address in initial_members])

    def accepts(self, message: BootstrapProposal) -> bool:
        """Whether an empty process has its part in a founding."""
        return self.empty and any(replica_id == self.identity.replica_id for replica_id, _, _ in message.members)

    def accept(self, now: float, message: BootstrapProposal) -> MembershipConfig:
        """Becomes a member of the groups that begin."""
        members = proposed_members(message)
        self._formed_at = now
        self.identity = Identity(self.identity.replica_id, cluster_id_of(members), self.identity.initial_members)
        self._blank_since = None
        return MembershipConfig.of(members)

    def has_stalled(self, now: float, founding: Iterable[Member]) -> bool:
        """Whether a founding may be given up: to be asked by a member whose logs have no entry, while no leader comes.

        Either every founder has long been without an entry, or this is a first start whose founders are enough for
        another founding, while too few of the members of this one are there.
        """
        own = self.settings.address
        if own not in self.identity.initial_members:
            return False
        blank = {address: holding for address, holding in self._fresh(now).items() if holding.blank}
        blank[own] = PeerReport(
            self.identity.replica_id, False, True, self.identity.initial_members, self._began_at, now
        )
        if not self._is_word_of_all(blank):
            self._blank_since = None
        elif self._blank_since is None:
            self._blank_since = now
        if self._blank_since is not None and now - self._blank_since >= ABANDON_AFTER_S:
            return True
        members = list(founding)
        there = [member for member in members if self._is_there(now, blank.get(member.address), member)]
        is_stalled = now - self._formed_at >= ABANDON_FIRST_START_AFTER_S and 2 * len(there) <= len(members)
        return is_stalled and self._enough_for_first_start(now, blank)

    @staticmethod
    def _is_there(now: float, holding: PeerReport | None, member: Member) -> bool:
        """Whether a member of a founding was heard under its id a moment ago."""
        return (
            holding is not None
            and holding.replica_id == member.id
            and now - holding.last_contact_at < ABANDON_FIRST_START_AFTER_S
        )

    def abandon(self) -> None:
        """Leaves a founding that led to nothing, under a new id; the mark stays."""
        self.identity = Identity(generate_replica_id(self._random), 0, self.identity.initial_members)
        self._blank_since = None

    def _fresh(self, now: float) -> dict[Address, PeerReport]:
        """What the other founders have said lately."""
        return {
            address: holding
            for address, holding in self._holdings.items()
            if address in self.identity.initial_members and now - holding.last_contact_at < MAX_REPORT_AGE_S
        }

    def _is_word_of_all(self, holdings: Mapping[Address, PeerReport]) -> bool:
        """Whether every founder is among these, and most of them have the mark.

        One without it may have been killed before its first sync; several are machines that lost their disks, after
        others may have taken their places.
        """
        initial_members = self.identity.initial_members
        marked = sum(bool(holding.initial_members) for holding in holdings.values())
        return len(holdings) == len(initial_members) and 2 * marked > len(initial_members)

    def _enough_for_first_start(self, now: float, blank: Mapping[Address, PeerReport]) -> bool:
        """Whether most founders are here in a first start, and nobody knows of a group with entries."""
        if (
            self._group_known
            or self.age(now) < ALL_MEMBERS_WAIT_S
            or 2 * len(blank) <= len(self.identity.initial_members)
        ):
            return False
        began = [holding.began_at for holding in blank.values()]
        if any(began_at is None for began_at in began):
            return False
        return max(began) - min(began) <= MAX_START_SPREAD_S
