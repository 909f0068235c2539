"""Messages between the replicas of one group (Raft's RPCs, each request and each response a message of its own).

They are plain data: `ochrespan.control_plane.replication.raft_wire` defines their wire format.

`stamp` is a strictly increasing time, in seconds, of the sending leader's steady clock. A response repeats the stamp
of the message that it responds to, so a leader knows how recent the agreement of its majority is without any clock but
its own.

Source: Ongaro, "Consensus: Bridging Theory and Practice", figure 3.1 (AppendEntries, RequestVote), 3.10 (TimeoutNow),
5.3 (InstallSnapshot) and 9.6 (pre-vote). Heartbeats are messages of their own here instead of empty appends.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """The content of a log entry: a command of the state machine, or a configuration of the group."""

    COMMAND = 0
    CONFIGURATION = 1


@dataclass(slots=True, frozen=True)
class Entry:
    """One entry of a group's log; its index follows from its position."""

    term: int
    kind: int
    data: bytes


@dataclass(slots=True)
class RequestVote:
    """A candidate's request for a vote in `term`.

    With `pre_vote` it only asks whether the vote would be granted, and changes nothing at the receiver.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    leadership_transfer: bool  # the leader itself has requested this election, so its lease is no reason to reject


@dataclass(slots=True)
class RequestVoteResponse:
    """Whether the vote, or the pre-vote, is granted."""

    term: int
    granted: bool
    pre_vote: bool


@dataclass(slots=True)
class AppendEntries:
    """Entries that follow `previous_index`."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int  # the leader's commit index
    stamp: float


@dataclass(slots=True)
class AppendEntriesResponse:
    """`index`: where accepted, the last index that is now persisted here; where rejected, the index to try next."""

    term: int
    accepted: bool
    index: int
    stamp: float  # repeated from the leader's message


@dataclass(slots=True)
class Heartbeat:
    """The leader is alive, and `commit` may be applied; the receiver's log is known to match up to there."""

    term: int
    commit: int
    stamp: float
    seconds_since_quorum: float  # seconds since the leader last knew that it had a majority


@dataclass(slots=True)
class HeartbeatResponse:
    """The follower is alive; also sent, with the newer term, to a leader of an older term."""

    term: int
    stamp: float  # repeated from the leader's message
    eligible: bool  # whether it may lead: its disk keeps up with the writes


@dataclass(slots=True)
class InstallSnapshot:
    """A chunk of the leader's snapshot up to `index`, at `offset` of `size` bytes."""

    term: int
    index: int
    index_term: int
    configuration: bytes
    offset: int
    size: int
    data: bytes
    stamp: float


@dataclass(slots=True)
class InstallSnapshotResponse:
    """`offset`: bytes of the snapshot at `index` that have arrived without a gap."""

    term: int
    index: int
    offset: int
    stamp: float  # repeated from the leader's message


@dataclass(slots=True)
class TimeoutNow:
    """The leader transfers its leadership to the receiver, which campaigns at once."""

    term: int


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | Heartbeat
    | HeartbeatResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)
