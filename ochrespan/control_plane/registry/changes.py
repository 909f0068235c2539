"""The change of an instance shard that one command made."""

from __future__ import annotations

from dataclasses import dataclass

from .records import InstanceRecord


@dataclass(frozen=True, slots=True)
class InstancesChange:
    """What a command changed: records added or replaced, and ids of instances removed."""

    upserted: tuple[InstanceRecord, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.upserted or self.removed)


NO_CHANGE = InstancesChange()
