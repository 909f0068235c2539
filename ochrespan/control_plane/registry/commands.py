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
    """Removes an incarnation that has ended; no later report registers it again."""

    id: str


@message("cp.expire")
@dataclass(slots=True)
class ExpireInstances:
    """Expires incarnations whose heartbeats have timed out.

    `sequences` maps each id to the sequence number of its record at the leader's check. An incarnation whose record has
    another sequence number by now has reported since and does not expire.
    """

    sequences: dict[str, int]
