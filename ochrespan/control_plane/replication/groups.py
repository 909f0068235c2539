"""The part of the replica host that the rest of the control plane depends on."""

from __future__ import annotations

from typing import Any, Protocol

from ochrespan.common.addresses import Address
from ochrespan.control_plane.shards import ALL_SHARDS

CALL_TIMEOUT_S = 0.9  # below the 1 s for which callers wait
MAX_QUORUM_AGE_S = 1.0  # a controller without contact to a majority for longer may send an outdated feed
# A leader whose majority responded within this time is still the only one: shorter than the shortest election time-out
# (leases, Raft dissertation, section 6.4.1)
LEASE_DURATION_S = 0.4


class ReplicaGroups(Protocol):
    """The replicated shards as their owners see them; `ReplicaHost` implements it."""

    def propose(self, shard: int, command: bytes, timeout: float) -> Any:
        """Returns the state machine's result once the command is committed; waits for up to `timeout` seconds.

        Raises:
            NotLeaderError: This process does not lead the shard; the command was not appended.
            OutcomeUnknownError: The command was appended, but is not known to be committed.
        """

    def read_barrier(self, shard: int, timeout: float) -> None:
        """Returns when the state here contains every acknowledged command; waits and raises like `propose`."""

    def leader(self, shard: int) -> Address | None:
        """Address of the shard's leader; None where this process does not know it."""

    def is_leader(self, shard: int) -> bool:
        """Whether this process leads the shard."""

    def cluster(self) -> int:
        """Id of the cluster that this process belongs to; 0 if it belongs to none or may still leave it."""

    def missing_initial_members(self) -> list[Address]:
        """The initial members that a shard led by this process awaits before it accepts commands."""

    def proceed_without_missing(self) -> None:
        """Lets shards led here accept commands without the missing initial members, until the process ends.

        To be called when an operator has confirmed that these members will not start.
        """

    def failures_tolerated(self, shard: int) -> int | None:
        """How many more of the shard's voters may fail while the others can commit; None if it is not led here."""

    def seconds_since_quorum(self, shard: int) -> float:
        """Seconds since this process last knew that the shard's group has a majority; infinite before recovery."""

    def lease_age_s(self, shard: int) -> float:
        """Seconds since a majority responded to this process as the shard's leader; infinite if it does not lead."""

    def applied_index(self, shard: int) -> int:
        """Index of the shard's last log entry that is applied here; 0 before recovery."""

    def voters(self, shard: int) -> set[Address]:
        """Addresses of the shard's voters that are known here."""

    def decline_leadership(self, duration_s: float) -> None:
        """Transfers leadership of all shards, and leads none for `duration_s` seconds unless no other process can.

        0 ends an earlier request.
        """

    def declines_leadership_for(self) -> float:
        """Seconds until the last `decline_leadership` request expires; 0 if there is none."""


def applied_offsets(groups: ReplicaGroups) -> dict[int, int]:
    """Index of the last applied log entry, by shard."""
    return {shard: groups.applied_index(shard) for shard in ALL_SHARDS}


def cluster_name(cluster: int) -> str:
    """A cluster id as 16 hexadecimal digits, as shown to operators; empty for 0, which stands for no cluster."""
    return f"{cluster:016x}" if cluster else ""
