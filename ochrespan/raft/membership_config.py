"""The members of a group, and what a majority of them is.

A change passes through a joint configuration: while `outgoing` is not empty, agreement takes a majority of `voters` and
a majority of `outgoing`. An exchange of one dead voter for a caught-up replica then needs no other replica than the
living voters, and at no moment do two majorities exist that don't intersect.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ochrespan.common.addresses import Address


@dataclass(frozen=True, slots=True)
class Member:
    """A replica: an id that is drawn anew with each empty disk, and the address of its process."""

    id: int
    address: Address


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The voters of a group, and those of the configuration being left, if a change is under way."""

    voters: tuple[Member, ...] = ()
    outgoing: tuple[Member, ...] = field(default=())

    @classmethod
    def of(cls, members: Iterable[Member]) -> MembershipConfig:
        return cls(tuple(sorted(members, key=lambda member: member.id)))

    @property
    def joint(self) -> bool:
        return bool(self.outgoing)

    def members(self) -> dict[int, Member]:
        """Voters of either side by id."""
        return {member.id: member for member in (*self.outgoing, *self.voters)}

    def is_voter(self, replica_id: int) -> bool:
        return any(member.id == replica_id for member in (*self.voters, *self.outgoing))

    def has_majority(self, agreeing: Callable[[int], bool]) -> bool:
        """Whether the replicas for which `agreeing` holds decide for the group."""
        return bool(self.voters) and all(
            2 * sum(agreeing(member.id) for member in side) > len(side) for side in (self.voters, self.outgoing) if side
        )

    def majority_value(self, value_of: Callable[[int], float]) -> float:
        """The largest value that a majority has reached."""
        reached = []
        for side in (self.voters, self.outgoing):
            if side:
                values = sorted((value_of(member.id) for member in side), reverse=True)
                reached.append(values[len(side) // 2])
        return min(reached)

    def towards(self, voters: Iterable[Member]) -> MembershipConfig:
        """The joint configuration that leads from this one to `voters`."""
        return MembershipConfig(MembershipConfig.of(voters).voters, self.voters)

    def settled(self) -> MembershipConfig:
        """The configuration after a change has ended."""
        return MembershipConfig(self.voters)

    def to_bytes(self) -> bytes:
        sides = [[[member.id, *member.address] for member in side] for side in (self.voters, self.outgoing)]
        return json.dumps(sides, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> MembershipConfig:
        voters, outgoing = (
            tuple(Member(replica_id, (host, port)) for replica_id, host, port in side) for side in json.loads(data)
        )
        return cls(voters, outgoing)
