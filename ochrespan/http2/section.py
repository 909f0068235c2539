"""The table [http2] of the operator's file."""

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
    """The table as it is written."""

    platform: str | None = None  # where the platform's requests are taken
    objects: str | None = None  # where the object API is
    streams: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 100
    headers_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 20)] = 16 * 1024
    stream_window_bytes: Bytes = 64 * 1024
    connection_window_bytes: Annotated[int, msgspec.Meta(ge=65_535, le=1 << 30)] = 1024 * 1024
    buffered_bytes: Bytes = 16 * 1024 * 1024
    patience_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 30.0


@dataclass(frozen=True, slots=True)
class Http2Config:
    """What the operator's file says of HTTP/2, checked."""

    listen: dict[str, tuple[str, int]]  # by the front that is served there
    limits: Limits
    max_buffered_bytes: int  # bytes of bodies that all connections together may hold
    stall_timeout: timedelta  # for a client that takes nothing of its answer


def read(
    tables: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]
) -> Http2Config | None:
    """The checked section; None where the table cannot be read. Faults are collected in `faults`."""
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
