"""The object API's table of the operator's file: [objects]. Teams and their buckets are the contracts'."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from .. import interface as api
from ..sections import Faults, Table, read_address, read_table

Bytes = Annotated[int, msgspec.Meta(gt=0, lt=1 << 50)]


class ObjectsTable(Table):
    """The table as it is written."""

    listen: str
    export_from_bytes: Bytes = 1024 * 1024
    least_part_bytes: Bytes = 5 * 1024 * 1024
    patience_s: Annotated[float, msgspec.Meta(gt=0, lt=86400)] = 30.0


@dataclass(frozen=True, slots=True)
class ObjectsConfig:
    """What the operator's file says of the object API, checked."""

    listen: tuple[str, int]
    export_threshold_bytes: int  # bytes from which a read runs as an export
    min_part_bytes: int  # bytes of every part of an upload but the last
    idle_timeout: timedelta  # for a client that stops sending


def read(
    tables: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]
) -> ObjectsConfig | None:
    """The checked section; None where the table cannot be read. Faults are collected in `faults`."""
    table = read_table(ObjectsTable, tables["objects"], "[objects]", faults)
    contracts = earlier.get("contracts")
    if contracts is None or not contracts.registry.by_bucket:
        faults.add("[[team]] buckets", "nothing", "at least one team with a bucket, for [objects]")
    if table is None:
        return None
    return ObjectsConfig(
        read_address(table.listen, "[objects] listen", faults),
        table.export_from_bytes,
        table.least_part_bytes,
        timedelta(seconds=table.patience_s),
    )
