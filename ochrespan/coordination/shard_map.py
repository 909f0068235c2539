"""Which shard of the control state holds what."""

from __future__ import annotations

import zlib

CONFIG_SHARD = 0
SERVICE_SHARDS = 4
ALL_SHARDS = tuple(range(SERVICE_SHARDS + 1))


def shard_of(service: str) -> int:
    """The shard of a service's instances, by a hash of its name."""
    return zlib.crc32(service.encode()) % SERVICE_SHARDS + 1
