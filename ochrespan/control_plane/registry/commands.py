"""Commands of an instance shard's log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrespan.transport.codec import message


@message("cp.register")
@dataclass(slots=True)
class RegisterInstance:
    """Registers an incarnation or updates it; `record` holds the fields of an `InstanceRecord`."""

    record: dict[str, Any]


@message("cp.remove")
@dataclass(slots=True)
class RemoveInstance:
    """Removes an incarnation that has ended, for good."""

    id: str


@message("cp.expire")
@dataclass(slots=True)
class ExpireInstances:
    """Expires incarnations that sent no heartbeat.

    `sequences` holds the sequence number that each one's record had when it was found expired: a newer record wins.
    """

    sequences: dict[str, int]
