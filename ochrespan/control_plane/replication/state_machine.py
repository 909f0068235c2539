"""What a user of the replica host provides: a state machine for each shard, and the host's settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from ochrespan.common.addresses import Address


class StateMachine(Protocol):
    """A shard's state. `apply` has to be deterministic: every replica applies the same commands."""

    def apply(self, index: int, command: bytes) -> Any:
        """Carries out a committed command; the result goes to its proposer."""

    def snapshot(self) -> bytes:
        """The complete state in its stored form."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a replica host. Addresses are the IP and the first port of `port_range` of a process.

    Attributes:
        address: Where the other processes of the fleet reach this one.
        seeds: Processes that are queried for the groups.
        data_dir: Folder of the store.
        disk_mb: Size of the disk in MiB.
        bootstrap: Whether this process may be an initial member of a new cluster.
        fault_tolerance: Machines that may fail at once without loss of data.
        node: Name for the log.
    """

    address: Address
    seeds: tuple[Address, ...]
    data_dir: str
    disk_mb: int
    bootstrap: bool
    fault_tolerance: int
    node: str = ""
