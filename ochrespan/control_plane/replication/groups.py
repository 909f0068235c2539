"""The part of the replica host that the rest of the control plane depends on."""

from __future__ import annotations

from typing import Any, Protocol

from ochrespan.common.addresses import Address
from ochrespan.control_plane.shards import ALL_SHARDS

CALL_TIMEOUT_S = 0.9  # callers wait for a second
MAX_QUORUM_AGE_S = 1.0  # a controller without contact to a majority for longer serves no current feed
# A leader whose majority responded within this time is still the only one: shorter than the shortest election time-out
# (leases, Raft dissertation, section 6.4.1)
LEASE_DURATION_S = 0.4


class ReplicaGroups(Protocol):
    """The replicated shards as their owners see them; `ReplicaHost` implements it."""

    def propose(self, shard: int, command: bytes, timeout: float) -> Any:
        """The result of the command after its commitment; raises NotLeaderError or OutcomeUnknownError."""

    def read_barrier(self, shard: int, timeout: float) -> None:
        """Returns when the state here holds every acknowledged command; raises like `propose`."""

    def leader(self, shard: int) -> Address | None:
        """Address of the shard's leader, if it is known here."""

    def is_leader(self, shard: int) -> bool:
        """Whether this process leads the shard."""

    def cluster(self) -> int:
        """Number of the cluster that this process belongs to; 0 while it belongs to none that may have commands."""

    def missing_initial_members(self) -> list[Address]:
        """The initial members without which a shard that is led here accepts no commands yet."""

    def proceed_without_missing(self) -> None:
        """An operator says that the missing initial members will not come; this holds until the process ends."""

    def failures_tolerated(self, shard: int) -> int | None:
        """How many more voters may fail now, of a shard that is led here; None of another."""

    def seconds_since_quorum(self, shard: int) -> float:
        """Seconds since this process knew that the shard's group had a majority."""

    def lease_age_s(self, shard: int) -> float:
        """Seconds since a majority responded to this process as the leader; infinite where it does not lead."""

    def applied_index(self, shard: int) -> int:
        """Index of the last log entry that is applied here."""

    def voters(self, shard: int) -> set[Address]:
        """Addresses of the shard's voters, as far as they are known here."""

    def decline_leadership(self, duration_s: float) -> None:
        """Transfers what this process leads, and leads nothing for `duration_s` while others can; 0 ends that."""

    def declines_leadership_for(self) -> float:
        """Seconds for which `decline_leadership` still holds."""


def applied_offsets(groups: ReplicaGroups) -> dict[int, int]:
    """Index of the last applied log entry, by shard."""
    return {shard: groups.applied_index(shard) for shard in ALL_SHARDS}


def cluster_name(cluster: int) -> str:
    """A cluster's number in hexadecimal digits, as people see it; empty for none."""
    return f"{cluster:016x}" if cluster else ""
