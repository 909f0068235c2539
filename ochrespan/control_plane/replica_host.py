"""The seam to the replica groups: state machines above, a host that replicates their commands below."""

from __future__ import annotations

from typing import Any, Protocol


class StateMachine(Protocol):
    """The state of one shard, changed by committed commands alone."""

    def apply(self, index: int, command: bytes) -> Any: ...

    def snapshot(self) -> bytes: ...

    def restore(self, data: bytes) -> None: ...


class NoVerdict(Exception):
    """A command that may or may not be applied."""


class NotLeader(Exception):
    """A command that was surely not appended, as this process does not lead the shard."""

    def __init__(self, leader: Any = None) -> None:
        super().__init__(f"leader {leader}")
        self.leader = leader
