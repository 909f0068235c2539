"""The exporters' tables of the operator's file: [graphite] and [collectd]."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from .. import interface as api
from ..sections import Faults, Table, read_address, read_table


class SinkTable(Table):
    """Schema of the table of one exporter."""

    address: str
    every_s: Annotated[float, msgspec.Meta(gt=0, lt=86400)] = 10.0
    prefix: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,60}$")] = "ochrespan"


@dataclass(frozen=True, slots=True)
class Sink:
    """Address, interval and name prefix of an exporter."""

    address: tuple[str, int]
    every: timedelta
    prefix: str


@dataclass(frozen=True, slots=True)
class Metrics:
    """The configured exporters."""

    graphite: Sink | None = None
    collectd: Sink | None = None


def read(tables: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]) -> Metrics:
    """Parses and validates the exporters' tables, [graphite] and [collectd]. Adds each error to `faults`."""
    return Metrics(**{name: _sink(f"[{name}]", value, faults) for name, value in tables.items()})


def _sink(location: str, value: Any, faults: Faults) -> Sink | None:
    entry = read_table(SinkTable, value, location, faults)
    if entry is None:
        return None
    return Sink(
        read_address(entry.address, f"{location} address", faults), timedelta(seconds=entry.every_s), entry.prefix
    )
