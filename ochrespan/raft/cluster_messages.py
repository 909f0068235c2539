"""Messages between processes that concern all of their groups: bootstrap, joining and planned leave."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .membership_config import Member

NOT_FIRST_START = -1.0  # in place of an age: the process is not in the first life of its disk


@dataclass(slots=True)
class JoinRequest:
    """A replica asks whoever it reaches to be taken in as a learner of `groups`, and says what it holds."""

    groups: list[int]
    empty: bool  # it has never belonged to a group
    blank: bool = False  # its logs have no entry
    initial_members: list[list] = field(default_factory=list)  # host and port of each, where its disk has the mark
    age_s: float = NOT_FIRST_START


@dataclass(slots=True)
class JoinResponse:
    empty: bool
    contacts: list[list]  # host and port of leaders and members
    blank: bool = False
    initial_members: list[list] = field(default_factory=list)
    age_s: float = NOT_FIRST_START
    settled: bool = False  # a group of the sender has commitments


@dataclass(slots=True)
class BootstrapProposal:
    """The groups begin with these members (id, host, port)."""

    members: list[list]
    voted: bool = False  # the sender has taken part in an election among them


@dataclass(slots=True)
class LeaveNotice:
    """The sender's process has begun its planned end."""


def cluster_id_of(members: Iterable[Member]) -> int:
    """A number that tells the groups of one founding from those of another."""
    listed = ",".join(str(member_id) for member_id in sorted(member.id for member in members))
    return int.from_bytes(hashlib.sha256(listed.encode()).digest()[:8], "big") >> 1 or 1


def proposed_members(message: BootstrapProposal) -> tuple[Member, ...]:
    """The members that a founding names."""
    return tuple(Member(replica_id, (host, port)) for replica_id, host, port in message.members)
