"""What a user of the replica host provides: a state machine for each shard, and the host's settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from ochrespan.common.addresses import Address


class StateMachine(Protocol):
    """A shard's state. `apply` has to be deterministic."""

    def apply(self, index: int, command: bytes) -> Any:
        """Carries a committed command out; the result goes to its proposer."""

    def snapshot(self) -> bytes: ...

    def restore(self, data: bytes) -> None: ...


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Addresses are those for other processes of the fleet: the IP and the first port of `port_range`."""

    address: Address
    seeds: tuple[Address, ...]
    data_dir: str
    disk_mb: int
    bootstrap: bool
    fault_tolerance: int  # machine losses at once that lose nothing
    node: str = ""
