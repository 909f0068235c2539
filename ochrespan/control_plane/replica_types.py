"""What a user of the replica host gives and gets: settings, state machines and errors."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from ..transport.tcp import Address, format_address


class StateMachine(Protocol):
    """A shard's state. `apply` has to be deterministic."""

    def apply(self, index: int, command: bytes) -> Any:
        """Carries a committed command out; the result goes to its proposer."""

    def snapshot(self) -> bytes: ...

    def restore(self, data: bytes) -> None: ...


class NoVerdict(Exception):
    """The command may or may not be applied: the leader was lost, time ran out, or there is no quorum."""


class NotLeader(Exception):
    """The command was surely not appended here. `leader`: who may lead, if known."""

    def __init__(self, leader: Address | None) -> None:
        super().__init__(f"the leader is {format_address(leader) if leader else 'unknown'}")
        self.leader = leader


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Addresses are those for other processes of the fleet: the IP and the first port of `port_range`."""

    address: Address
    seeds: tuple[Address, ...]
    data_dir: str
    disk_mb: int
    bootstrap: bool
    tolerated_machines: int  # machine losses at once that lose nothing
    node: str = ""
