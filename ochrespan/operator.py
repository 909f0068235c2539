"""The operator's file: the object API with its teams, and the exporters. All of it is off without the file."""

from __future__ import annotations

import dataclasses
import re
import tomllib
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

from . import interface as api
from .config import BadConfig, split_address

BUCKET = re.compile(r"[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]")


@dataclass(frozen=True, slots=True)
class Team:
    """A team's contract: its plan, and the classes under which its requests run."""

    name: str
    plan: str
    read: str
    write: str
    export: str  # reads of many chunks
    buckets: tuple[str, ...]
    token_sha256: str = ""  # of the bearer token; empty: none is asked for


@dataclass(frozen=True, slots=True)
class Objects:
    listen: tuple[str, int]
    export_from: int  # bytes from which a read runs as an export
    least_part: int  # bytes of every part of an upload but the last
    patience: timedelta  # for a client that stops sending
    teams: dict[str, Team]  # by bucket


@dataclass(frozen=True, slots=True)
class Sink:
    """Where an exporter sends, and how often."""

    address: tuple[str, int]
    every: timedelta
    prefix: str


@dataclass(slots=True)
class Operator:
    objects: Objects | None = None
    plans: dict[str, api.Plan] = field(default_factory=dict)  # of teams with a budget of their own
    graphite: Sink | None = None
    collectd: Sink | None = None


class Table:
    """A table of the file that names what is wrong in it, unknown names included."""

    def __init__(self, at: str, values: Any) -> None:
        if not isinstance(values, dict):
            raise BadConfig(f"{at} is not a table")
        self.at, self.values, self.known = at, values, set[str]()

    def get(self, name: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        self.known.add(name)
        value = self.values.get(name, default)
        if value is None:
            raise BadConfig(f"{self.at}: {name} is missing")
        if not isinstance(value, kind) or isinstance(value, bool):
            raise BadConfig(f"{self.at}: {name} = {value!r} has the wrong type")
        return value

    def positive(self, name: str, default: float | None = None) -> float:
        value = self.get(name, (int, float), default)
        if not 0 < value < 1e12:
            raise BadConfig(f"{self.at}: {name} must be above 0")
        return value

    def names(self, name: str) -> tuple[str, ...]:
        values = self.get(name, list)
        if not values or not all(isinstance(value, str) for value in values):
            raise BadConfig(f"{self.at}: {name} must list names")
        return tuple(values)

    def done(self) -> None:
        if unknown := set(self.values) - self.known:
            raise BadConfig(f"{self.at}: not known: {', '.join(sorted(unknown))}")


def load(path: Path, settings: api.Settings) -> Operator:
    """Reads the file and checks it against the settings: a wrong name stops the start, not a request."""
    try:
        told = Table(str(path), tomllib.loads(path.read_text()))
    except (OSError, ValueError) as why:
        raise BadConfig(f"{path}: {why}") from why
    operator = Operator()
    if "objects" in told.values:
        table = Table("[objects]", told.get("objects", dict))
        teams: dict[str, Team] = {}
        for i, entry in enumerate(told.get("team", list)):
            _team(Table(f"[[team]] {i + 1}", entry), settings, teams, operator.plans)
        operator.objects = Objects(
            listen=split_address(table.get("listen", str)),
            export_from=int(table.positive("export_from_bytes", 1024 * 1024)),
            least_part=int(table.positive("least_part_bytes", 5 * 1024 * 1024)),
            patience=timedelta(seconds=table.positive("patience_s", 30)),
            teams=teams,
        )
        table.done()
    operator.graphite = _sink(told, "graphite")
    operator.collectd = _sink(told, "collectd")
    told.done()
    return operator


def _sink(told: Table, name: str) -> Sink | None:
    if name not in told.values:
        return None
    table = Table(f"[{name}]", told.get(name, dict))
    sink = Sink(
        address=split_address(table.get("address", str)),
        every=timedelta(seconds=table.positive("every_s", 10)),
        prefix=table.get("prefix", str, "ochrespan"),
    )
    if not re.fullmatch(r"[A-Za-z0-9_.-]{1,60}", sink.prefix):
        raise BadConfig(f"[{name}]: prefix must be letters, digits, dots, dashes")
    table.done()
    return sink


def _team(table: Table, settings: api.Settings, teams: dict[str, Team], plans: dict[str, api.Plan]) -> None:
    team = Team(
        name=table.get("name", str),
        plan=table.get("plan", str),
        read=table.get("read", str),
        write=table.get("write", str),
        export=table.get("export", str, table.values.get("read", "")),
        buckets=table.names("buckets"),
        token_sha256=table.get("token_sha256", str, ""),
    )
    for cls in (team.read, team.write, team.export):
        if cls not in settings.classes:
            raise BadConfig(f"{table.at}: class '{cls}' is not in the settings")
    if team.plan not in settings.plans:
        raise BadConfig(f"{table.at}: plan '{team.plan}' is not in the settings")
    if any(other.name == team.name for other in teams.values()):
        raise BadConfig(f"{table.at}: there is a team '{team.name}' already")
    if team.token_sha256 and not re.fullmatch(r"[0-9a-f]{64}", team.token_sha256):
        raise BadConfig(f"{table.at}: token_sha256 is not 64 hex digits")
    if "budget" in table.values:  # a plan of its own, so that the decisions hold it like any plan's limit
        budget = Table(f"{table.at} budget", table.get("budget", dict))
        rate = budget.positive("units_per_s")
        # every front holds its part of the budget, and a part must bear the largest request
        burst = max(budget.positive("burst_units", rate), 2 * settings.most_units * max(1, settings.heads))
        budget.done()
        plan = dataclasses.replace(
            settings.plans[team.plan], name=f"team-{team.name}", limit=rate, limit_burst=burst)
        plans[plan.name] = plan
        team = dataclasses.replace(team, plan=plan.name)
    table.done()
    for bucket in team.buckets:
        if bucket in teams or not BUCKET.fullmatch(bucket):
            raise BadConfig(f"{table.at}: bucket '{bucket}' is taken or not a bucket's name")
        teams[bucket] = team
