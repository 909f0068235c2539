"""The shards of the control state, and the mapping of names to them."""

from __future__ import annotations

import zlib

CONFIG_SHARD = 0
INSTANCE_SHARDS = 4
ALL_SHARDS = range(INSTANCE_SHARDS + 1)


def shard_of(service: str) -> int:
    """Returns the shard, 1 to INSTANCE_SHARDS, of a service's instances; also of a tenant, by its name."""
    return zlib.crc32(service.encode()) % INSTANCE_SHARDS + 1
