"""Which shard of the control state a name belongs to."""

from __future__ import annotations

import zlib

CONFIG_SHARD = 0
INSTANCE_SHARDS = 4
ALL_SHARDS = range(INSTANCE_SHARDS + 1)


def shard_of(service: str) -> int:
    """The shard, 1 to INSTANCE_SHARDS, that holds the instances of `service`."""
    return zlib.crc32(service.encode()) % INSTANCE_SHARDS + 1
