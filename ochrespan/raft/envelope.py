"""The unit that travels between two processes: the messages of several Raft groups together."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ochrespan.common.addresses import Address

PROCESS_GROUP = -1  # in place of a group's number: messages between processes


@dataclass(slots=True)
class Envelope:
    """All that one process has for another at a moment. `to`: the receiver's replica id, 0 if it isn't known."""

    cluster: int
    sender: int
    address: Address
    to: int
    frames: list[tuple[int, Any]] = field(default_factory=list)
