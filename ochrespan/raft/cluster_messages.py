"""Messages between processes that concern all of their groups: bootstrap, joining and planned leave.

Their wire format is defined by `control_plane.replication.raft_wire`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from ochrespan.common.addresses import Address

from .membership_config import Member

NOT_FIRST_START = -1.0  # in place of an age: the process has been started before with the disk that it uses


@dataclass(slots=True)
class JoinRequest:
    """A replica asks a process to add it as a learner to `groups`, and reports the state of its disk."""

    groups: list[int]
    is_unbootstrapped: bool  # the disk has never belonged to a cluster
    has_no_entries: bool = False  # the logs of all groups are empty
    initial_members: tuple[Address, ...] = ()  # as recorded on the disk; empty where none are recorded
    age_s: float = NOT_FIRST_START  # seconds since the first start with this disk


@dataclass(slots=True)
class JoinResponse:
    """The response to a `JoinRequest`: further processes to contact, and the state of the responder's own disk."""

    is_unbootstrapped: bool
    contacts: tuple[Address, ...]  # members of the groups that the sender asked for
    has_no_entries: bool = False
    initial_members: tuple[Address, ...] = ()
    age_s: float = NOT_FIRST_START
    has_commits: bool = False  # a group of the responder has a commit index above 0


@dataclass(slots=True)
class BootstrapProposal:
    """Every group of the deployment begins with these voters."""

    members: tuple[Member, ...]
    has_voted: bool = False  # the sender has entered a term, so it may have voted in an election of these groups


@dataclass(slots=True)
class ClusterInUse:
    """The sender's cluster may have acknowledged commands; sent to processes of another cluster."""


@dataclass(slots=True)
class LeaveNotice:
    """The sender's process has begun its planned shutdown."""


def cluster_id_of(members: Iterable[Member]) -> int:
    """The id of the cluster that these initial members form: never 0, and 63 bits at most.

    It depends only on the replica ids, in any order, so each member computes the same one.
    """
    listed = ",".join(str(member_id) for member_id in sorted(member.id for member in members))
    return int.from_bytes(hashlib.sha256(listed.encode()).digest()[:8], "big") >> 1 or 1
