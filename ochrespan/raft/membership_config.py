"""The members of a group, and what a majority of them is.

A change passes through a joint configuration (Ongaro, "Consensus: Bridging Theory and Practice", section 4.3): while
`outgoing` is not empty, agreement takes a majority of `voters` and a majority of `outgoing`. A failed voter can then be
replaced by a caught-up replica with no other replicas than the alive voters, and at no moment do two majorities exist
that don't intersect.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ochrespan.common.addresses import Address


@dataclass(frozen=True, slots=True)
class Member:
    """A replica: an id that is generated with each empty disk, and the address of its process."""

    id: int
    address: Address


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The voters of a group, and those of the configuration being left, if a change is under way."""

    voters: tuple[Member, ...] = ()  # in the order of their ids
    outgoing: tuple[Member, ...] = ()  # empty unless a change is under way

    @classmethod
    def of(cls, members: Iterable[Member]) -> MembershipConfig:
        """The configuration with these voters, and no change under way."""
        return cls(tuple(sorted(members, key=lambda member: member.id)))

    @property
    def is_joint(self) -> bool:
        """Whether a change is under way."""
        return bool(self.outgoing)

    def members(self) -> dict[int, Member]:
        """Voters of either side by id."""
        return {member.id: member for member in (*self.outgoing, *self.voters)}

    def is_voter(self, replica_id: int) -> bool:
        """Whether a replica is a voter of either side."""
        return any(member.id == replica_id for member in (*self.voters, *self.outgoing))

    def has_majority(self, agreeing: Callable[[int], bool]) -> bool:
        """Whether the replicas for which `agreeing` is true are a majority; of each side, amid a change of voters."""
        return bool(self.voters) and all(
            2 * sum(agreeing(member.id) for member in side) > len(side) for side in (self.voters, self.outgoing) if side
        )

    def majority_value(self, value_of: Callable[[int], float]) -> float:
        """The largest value that a majority has reached; a majority of each side, while a change is under way."""
        reached = []
        for side in (self.voters, self.outgoing):
            if side:
                values = sorted((value_of(member.id) for member in side), reverse=True)
                reached.append(values[len(side) // 2])
        return min(reached)

    def enter_joint(self, voters: Iterable[Member]) -> MembershipConfig:
        """The joint configuration between this one and that of `voters`."""
        return MembershipConfig(MembershipConfig.of(voters).voters, self.voters)

    def leave_joint(self) -> MembershipConfig:
        """The configuration that follows this joint one."""
        return MembershipConfig(self.voters)

    def to_bytes(self) -> bytes:
        """The content of a configuration entry: JSON, both sides as lists of id, host and port."""
        sides = [[[member.id, *member.address] for member in side] for side in (self.voters, self.outgoing)]
        return json.dumps(sides, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> MembershipConfig:
        """Reads what `to_bytes` gives.

        Raises:
            ValueError: the content is not of that form.
            TypeError: a part of it is not a list.
        """
        voters, outgoing = (
            tuple(Member(replica_id, (host, port)) for replica_id, host, port in side) for side in json.loads(data)
        )
        return cls(voters, outgoing)
