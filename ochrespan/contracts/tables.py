"""Schemas of the contracts' tables in the operator's file."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated, Literal

import msgspec

from ..sections import Table

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,59}$")]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0, lt=1e12)]
Weight = Annotated[float, msgspec.Meta(ge=0.001, le=1e6)]
Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
VolumeId = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{16}$")]
BucketName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]$")]
FrontCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Timestamp = Annotated[datetime, msgspec.Meta(tz=True)]


class ContractsTable(Table):
    """[contracts]: settings of the whole installation."""

    platform: Literal["contracts", "open"] = (
        "contracts"  # whether requests in the platform's protocol also need a contract
    )
    fronts: FrontCount | None = None
    capacity_units_per_s: PositiveNumber | None = None
    capacity_burst_units: PositiveNumber | None = None


class BudgetTable(Table):
    """Upper limits of one level, over all fronts."""

    units_per_s: PositiveNumber | None = None
    burst_units: PositiveNumber | None = None
    attempts_per_s: PositiveNumber | None = None
    burst_attempts: PositiveNumber | None = None
    open: Annotated[int, msgspec.Meta(ge=1)] | None = None
    units_per_hour: PositiveNumber | None = None
    units_per_day: PositiveNumber | None = None


class ReserveTable(Table):
    """Capacity reserved for its owner."""

    units_per_s: PositiveNumber
    burst_units: PositiveNumber | None = None


class LevelTable(Table, kw_only=True):
    """Fields of all levels."""

    name: Name
    weight: Weight = 1.0
    reserve: ReserveTable | None = None
    budget: BudgetTable | None = None


class OrganisationTable(LevelTable, kw_only=True):
    """[[organisation]]."""

    pass


class SenderTable(LevelTable, kw_only=True):
    """Fields of teams and services: identification, classes and validity."""

    classes: list[str] = []
    tokens_sha256: list[Sha256Hex] = []
    volumes: list[VolumeId] = []
    buckets: list[BucketName] = []
    begins: Timestamp | None = msgspec.field(default=None, name="from")
    until: Timestamp | None = None
    withdrawn: bool = False
    withdrawn_classes: list[str] = []
    attempts_per_request: Annotated[float, msgspec.Meta(ge=1, le=100)] | None = None
    fronts: FrontCount | None = None
    parts: Literal["even", "heard"] = "even"


class TeamTable(SenderTable, kw_only=True):
    """[[team]]."""

    plan: str
    organisation: str = ""
    read: str = ""  # request classes of the object API
    write: str = ""
    export: str = ""
    token_sha256: Sha256Hex | None = None  # older form of tokens_sha256, for one token


class ServiceTable(SenderTable, kw_only=True):
    """[[service]]."""

    team: str
