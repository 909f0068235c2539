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
    """The table of one exporter, as it is written."""

    address: str
    every_s: Annotated[float, msgspec.Meta(gt=0, lt=86400)] = 10.0
    prefix: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,60}$")] = "ochrespan"


@dataclass(frozen=True, slots=True)
class Sink:
    """Where an exporter sends, and how often."""

    address: tuple[str, int]
    every: timedelta
    prefix: str


@dataclass(frozen=True, slots=True)
class Metrics:
    """The exporters that are set up."""

    graphite: Sink | None = None
    collectd: Sink | None = None


def read(tables: Mapping[str, Any], settings: api.Settings, faults: Faults, earlier: Mapping[str, Any]) -> Metrics:
    """The checked sections; faults are collected in `faults`."""
    return Metrics(**{name: _sink(f"[{name}]", value, faults) for name, value in tables.items()})


def _sink(place: str, value: Any, faults: Faults) -> Sink | None:
    told = read_table(SinkTable, value, place, faults)
    if told is None:
        return None
    return Sink(read_address(told.address, f"{place} address", faults), timedelta(seconds=told.every_s), told.prefix)
