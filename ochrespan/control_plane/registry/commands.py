"""Commands of an instance shard's log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrespan.transport.codec import message


@message("cp.register")
@dataclass(slots=True)
class RegisterInstance:
    """A new incarnation, or a change of one: the fields of its record."""

    record: dict[str, Any]


@message("cp.remove")
@dataclass(slots=True)
class RemoveInstance:
    """An incarnation has ended."""

    id: str


@message("cp.expire")
@dataclass(slots=True)
class ExpireInstances:
    """Incarnations that were silent, each with the sequence number of its record when that was found."""

    sequences: dict[str, int]
