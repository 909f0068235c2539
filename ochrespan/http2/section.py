"""The table [http2] of the operator configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from .. import interface as api
from ..sections import Faults, Table, read_address, read_table
from .limits import Limits

Bytes = Annotated[int, msgspec.Meta(ge=16_384, le=1 << 30)]


class Http2Table(Table):
    """Schema of the table."""

    platform: str | None = None  # address for the requests of the platform
    objects: str | None = None  # address of the object API
    streams: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 100
    headers_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 20)] = 16 * 1024
    stream_window_bytes: Bytes = 64 * 1024
    connection_window_bytes: Annotated[int, msgspec.Meta(ge=65_535, le=1 << 30)] = 1024 * 1024
    buffered_bytes: Bytes = 16 * 1024 * 1024
    patience_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 30.0


@dataclass(frozen=True, slots=True)
class Http2Config:
    """Validated configuration of HTTP/2."""

    listen: dict[str, tuple[str, int]]  # by handler: platform, objects
    limits: Limits
    max_buffered_bytes: int  # unread request bodies of all connections
    stall_timeout: timedelta  # limit without progress in sending a response


def read(
    tables: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]
) -> Http2Config | None:
    """Parses and validates the [http2] table; returns None if it violates the schema. Adds each error to `faults`."""
    table = read_table(Http2Table, tables["http2"], "[http2]", faults)
    if table is None:
        return None
    listen = {
        name: read_address(address, f"[http2] {name}", faults)
        for name in ("platform", "objects")
        if (address := getattr(table, name)) is not None
    }
    if not listen:
        faults.add("[http2]", "no address", "platform, objects, or both")
    if "objects" in listen and "objects" not in earlier:
        faults.add("[http2] objects", table.objects, "an address only beside [objects]")
    limits = Limits(table.streams, table.headers_bytes, table.stream_window_bytes, table.connection_window_bytes)
    return Http2Config(listen, limits, table.buffered_bytes, timedelta(seconds=table.patience_s))
