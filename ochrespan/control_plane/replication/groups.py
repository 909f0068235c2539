"""The view of the replica host that the rest of the control plane depends on."""

from __future__ import annotations

from typing import Any, Protocol

from ochrespan.common.addresses import Address
from ochrespan.control_plane.shards import ALL_SHARDS

CALL_TIMEOUT_S = 0.9  # callers wait for a second
MAX_QUORUM_AGE_S = 1.0  # a feed whose controller has not heard of a majority for longer is not current
# a majority that answered so lately elects no other: shorter than the shortest election time-out
LEASE_DURATION_S = 0.4


class ReplicaGroups(Protocol):
    """The part of ReplicaHost that this package uses."""

    def propose(self, shard: int, command: bytes, timeout: float) -> Any: ...

    def read_barrier(self, shard: int, timeout: float) -> None: ...

    def leader(self, shard: int) -> Address | None: ...

    def is_leader(self, shard: int) -> bool: ...

    def cluster(self) -> int: ...

    def failures_tolerated(self, shard: int) -> int | None: ...

    def seconds_since_quorum(self, shard: int) -> float: ...

    def lease_age_s(self, shard: int) -> float: ...

    def applied_index(self, shard: int) -> int: ...

    def voters(self, shard: int) -> set[Address]: ...

    def decline_leadership(self, span_s: float) -> None: ...

    def declines_leadership_for(self) -> float: ...


def applied_offsets(groups: ReplicaGroups) -> dict[int, int]:
    """Up to where this process has applied the log of each shard."""
    return {shard: groups.applied_index(shard) for shard in ALL_SHARDS}


def cluster_name(cluster: int) -> str:
    """A cluster's number as people see it; empty for none."""
    return f"{cluster:016x}" if cluster else ""
