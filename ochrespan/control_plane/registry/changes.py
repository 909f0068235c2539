"""What one command, or a batch of commands, changed in an instance shard."""

from __future__ import annotations

from dataclasses import dataclass

from .records import InstanceRecord


@dataclass(frozen=True, slots=True)
class InstancesChange:
    """A change of an instance shard: records that were added or replaced, and ids of removed instances."""

    upserted: tuple[InstanceRecord, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.upserted or self.removed)


NO_CHANGE = InstancesChange()
