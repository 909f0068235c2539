"""The table [objects] of the operator configuration file. Teams and buckets are defined by the contracts."""

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
    """Schema of the table."""

    listen: str
    export_from_bytes: Bytes = 1024 * 1024
    least_part_bytes: Bytes = 5 * 1024 * 1024
    patience_s: Annotated[float, msgspec.Meta(gt=0, lt=86400)] = 30.0


@dataclass(frozen=True, slots=True)
class ObjectsConfig:
    """Validated configuration of the object API."""

    listen: tuple[str, int]
    export_threshold_bytes: int  # reads of at least this size use the export class
    min_part_bytes: int  # minimum for every part of an upload except the last
    idle_timeout: timedelta  # limit without body data from the client


def read(
    tables: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]
) -> ObjectsConfig | None:
    """Parses and validates the [objects] table; returns None if it violates the schema. Adds errors to `faults`."""
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
