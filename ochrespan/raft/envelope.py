"""The unit that travels between two processes: the messages of several Raft groups together."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ochrespan.common.addresses import Address

PROCESS_GROUP = -1  # in place of a group's number: messages between processes


@dataclass(slots=True)
class Envelope:
    """All messages that one process sends to another in one step."""

    cluster_id: int  # 0: the sender belongs to no cluster yet
    sender: int  # replica id
    address: Address  # of the sender
    to: int  # replica id of the receiver; 0 if the sender doesn't know it
    frames: list[tuple[int, Any]] = field(default_factory=list)  # group (or PROCESS_GROUP) and message
