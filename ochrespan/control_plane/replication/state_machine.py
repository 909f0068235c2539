"""The interface that the state machine of a shard implements, and the settings of a replica host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from ochrespan.common.addresses import Address


class StateMachine(Protocol):
    """The replicated state of a shard. `apply` has to be deterministic: every replica applies the same commands."""

    def apply(self, index: int, command: bytes) -> Any:
        """Applies the committed command at log index `index`; the result is returned to the proposer."""

    def snapshot(self) -> bytes:
        """Encodes the complete state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot, which `snapshot` has encoded."""


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a replica host. Addresses are the IP and the first port of `port_range` of a process.

    Attributes:
        address: Where the other processes of the fleet reach this one.
        seeds: Addresses of processes that are queried for the existing groups.
        data_dir: Folder of the store.
        disk_mb: Size of the disk in MiB.
        bootstrap: Whether this process may be an initial member of a new cluster.
        fault_tolerance: How many machines may fail at the same time without loss of data.
        node: Node name, used in log lines only.
    """

    address: Address
    seeds: tuple[Address, ...]
    data_dir: str
    disk_mb: int
    bootstrap: bool
    fault_tolerance: int
    node: str = ""
