"""Messages between the replicas of one group. Plain data: how they are encoded is the transport's business.

`stamp` is a strictly increasing reading of the sending leader's steady clock; replies repeat it, so a leader knows how
recent the agreement of its majority is without any clock but its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """What a log entry holds: a command of the state machine, or a configuration of the group."""

    COMMAND = 0
    CONFIGURATION = 1


@dataclass(slots=True, frozen=True)
class Entry:
    """One entry of a group's log; its index follows from its place."""

    term: int
    kind: int
    data: bytes


@dataclass(slots=True)
class RequestVote:
    """Asks for a vote. `pre_vote` asks only whether a vote would be given and changes nothing at the receiver."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    leadership_transfer: bool  # the leader itself asked for this election, so its lease doesn't stand in the way


@dataclass(slots=True)
class RequestVoteResponse:
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
    commit: int
    stamp: float


@dataclass(slots=True)
class AppendEntriesResponse:
    """`index`: where accepted, the last index that is now durable here; where refused, where to try next."""

    term: int
    accepted: bool
    index: int
    stamp: float


@dataclass(slots=True)
class Heartbeat:
    term: int
    commit: int
    stamp: float
    seconds_since_quorum: float  # seconds since the leader knew that it had a majority


@dataclass(slots=True)
class HeartbeatResponse:
    term: int
    stamp: float
    eligible: bool  # whether it would lead: its disk keeps up


@dataclass(slots=True)
class InstallSnapshot:
    """A piece of the leader's snapshot up to `index`, at `offset` of `size` bytes."""

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
    """`offset`: bytes of the snapshot at `index` that have arrived."""

    term: int
    index: int
    offset: int
    stamp: float


@dataclass(slots=True)
class TimeoutNow:
    """The leader hands its leadership over to the receiver."""

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
