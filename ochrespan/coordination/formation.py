"""How the groups of a deployment come to be, and how a replica with an empty disk finds them.

The seeds form the groups when the whole deployment starts for the first time; each derives the same members from the
seeds alone. Later, an empty replica draws a new id and asks the seeds to be taken in. Empty replicas form the groups
anew only if every seed has said for a while that it is empty too, and if they are more than the machines that may be
lost: then nothing can have been acknowledged that is not lost already.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field

from .configuration import Configuration, Member
from .messages import Address

ASK_INTERVAL_S = 0.25
AGREEMENT_S = 4.0  # how long all seeds have to have been empty before the groups are formed again
FRESH_S = 1.0  # an answer older than this says nothing


@dataclass(slots=True)
class Join:
    """A replica asks whoever it reaches to be taken in as a learner of `groups`."""

    groups: list[int]
    empty: bool  # it has never belonged to a group


@dataclass(slots=True)
class JoinReply:
    empty: bool
    contacts: list[list]  # host and port of leaders and members


@dataclass(slots=True)
class Found:
    """All seeds are empty: the groups begin with these members (id, host, port)."""

    members: list[list]


@dataclass(slots=True)
class Leave:
    """The sender's process has begun its planned end."""


@dataclass(slots=True)
class Identity:
    """Who a process is in the groups: drawn with an empty disk, kept with it. Cluster 0: not taken in yet."""

    replica_id: int
    cluster: int = 0


@dataclass(frozen=True, slots=True)
class FormationSettings:
    address: Address
    seeds: tuple[Address, ...]
    bootstrap: bool
    tolerated: int  # machines that may be lost at once


def derived_members(seeds: tuple[Address, ...]) -> tuple[Member, ...]:
    """The first members, alike at every seed whatever the order of its list."""
    listed = sorted(set(seeds))
    text = ",".join(f"{host}:{port}" for host, port in listed)
    return tuple(Member(_hash(f"{text}|{host}:{port}"), (host, port)) for host, port in listed)


def cluster_of(members: tuple[Member, ...]) -> int:
    """A number that tells the groups of one founding from those of another."""
    return _hash(",".join(str(member.id) for member in sorted(members, key=lambda member: member.id)))


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big") >> 1 or 1


@dataclass(slots=True)
class Formation:
    """An empty replica's search for the groups."""

    settings: FormationSettings
    identity: Identity
    founders: tuple[Member, ...] = ()
    _empty_seen: dict[Address, tuple[int, float]] = field(default_factory=dict)  # id and time by address
    _agreed_since: float | None = None

    @classmethod
    def begin(cls, settings: FormationSettings, known: Identity | None, source: random.Random) -> Formation:
        """Continues as `known`, forms the first groups, or draws a new id."""
        if known is not None:
            return cls(settings, known)
        if settings.bootstrap and settings.address in settings.seeds:
            members = derived_members(settings.seeds)
            own = next(member for member in members if member.address == settings.address)
            return cls(settings, Identity(own.id, cluster_of(members)), members)
        return cls(settings, Identity(source.getrandbits(62) + 1))

    @property
    def empty(self) -> bool:
        return self.identity.cluster == 0

    def founding_configuration(self) -> Configuration:
        return Configuration.of(self.founders)

    def empty_seen(self, now: float, replica_id: int, address: Address) -> None:
        self._empty_seen[address] = (replica_id, now)

    def member_seen(self) -> None:
        """Somebody belongs to a group: it will take us in."""
        self._empty_seen.clear()
        self._agreed_since = None

    def proposal(self, now: float) -> Found | None:
        """The members of new groups, if all seeds are empty for long enough and this one has the lowest id."""
        settings, own = self.settings, self.settings.address
        fresh = {address: seen[0] for address, seen in self._empty_seen.items() if now - seen[1] < FRESH_S}
        fresh[own] = self.identity.replica_id
        agreed = all(seed in fresh for seed in settings.seeds) and len(fresh) > settings.tolerated
        if not self.empty or own not in settings.seeds or not agreed:
            self._agreed_since = None
            return None
        self._agreed_since = now if self._agreed_since is None else self._agreed_since
        lowest = min(fresh[seed] for seed in settings.seeds) == self.identity.replica_id
        if now - self._agreed_since < AGREEMENT_S or not lowest:
            return None
        return Found([[fresh[seed], *seed] for seed in sorted(set(settings.seeds))])

    def found(self, message: Found) -> bool:
        """Takes a founding in which this replica has its part; tells whether it did."""
        members = tuple(Member(replica_id, (host, port)) for replica_id, host, port in message.members)
        if not self.empty or not any(member.id == self.identity.replica_id for member in members):
            return False
        self.founders, self.identity = members, Identity(self.identity.replica_id, cluster_of(members))
        return True
