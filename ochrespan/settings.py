"""Parses settings for both hosts: flat `name=value` fields of the simulator, or the same names nested in JSON."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from . import interface as api

NS = 1_000_000_000

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.DEDUPLICATED_BY_KEY, "single_shot": api.Effect.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
# the metrics of a load report: names in the settings and both protocols -> names in this package
REPORT_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
Fields = dict[str, str]


class Malformed(ValueError):
    """A line or field that cannot be parsed."""


def parse_pairs(pairs: Iterable[str]) -> Fields:
    """Parses the name=value pairs of a line."""
    parsed: Fields = {}
    for pair in pairs:
        name, separator, value = pair.partition("=")
        if not separator or not name:
            raise Malformed(f"'{pair}' is not name=value")
        parsed[name] = value
    return parsed


def required_text(fields: Fields, name: str) -> str:
    if not fields.get(name):
        raise Malformed(f"{name} is missing")
    return fields[name]


def number(fields: Fields, name: str, default: float | None = None) -> float:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise Malformed(f"{name} is missing")
        return default
    try:
        result = float(value)
    except ValueError:
        raise Malformed(f"{name}={value} is not a number") from None
    if not math.isfinite(result):
        raise Malformed(f"{name}={value} is not finite")
    return result


def optional_number(fields: Fields, name: str, scale: float = 1.0) -> float | None:
    return number(fields, name) / scale if name in fields else None


def number_or_none(fields: Fields, name: str) -> float | None:
    """An optional number of an event; None if it is missing or cannot be parsed."""
    try:
        return number(fields, name)
    except Malformed:
        return None


def seconds(fields: Fields, name: str, default: float | None = None) -> float:
    return number(fields, name, default) / NS


def flag(fields: Fields, name: str) -> bool:
    return fields.get(name, "") in ("1", "true", "True")


def read_settings(fields: Fields) -> api.Settings:
    """The settings of the first message. Rules and features that it does not name stay None."""
    classes, plans = {}, {}
    for i in range(int(number(fields, "Classes.count", 0))):
        prefix = f"Classes.{i}."
        name = required_text(fields, prefix + "Name")
        deadline = seconds(fields, prefix + "DeadlineNs", 0)
        classes[name] = api.RequestClass(
            name=name,
            latency_target=seconds(fields, prefix + "ObjectiveNs", deadline * NS),
            deadline=deadline,
            value=number(fields, prefix + "Value", 1),
            late_value_fraction=number(fields, prefix + "LateShare", 0),
            effect=EFFECTS.get(fields.get(prefix + "Effect", ""), api.Effect.UNSAFE),
            group=GROUPS.get(fields.get(prefix + "Group", ""), api.Group.CELL),
            window=seconds(fields, prefix + "WindowNs", 0),
            in_order=flag(fields, prefix + "Sequential"),
        )
    for i in range(int(number(fields, "Contracts.count", 0))):
        prefix = f"Contracts.{i}."
        name = required_text(fields, prefix + "Name")
        plans[name] = api.Plan(
            name=name,
            rate=number(fields, prefix + "Nominal", 0),
            weight=number(fields, prefix + "Weight", 1),
            price=number(fields, prefix + "Price", 1),
            reserve=number(fields, prefix + "Reserve", 0),
            limit=number(fields, prefix + "Limit", 0),
            limit_burst=number(fields, prefix + "MostAtOnce", 0),
        )
    return api.Settings(
        seed=int(number(fields, "InitSeed", 0)),
        fronts=max(1, int(number(fields, "Balancers", 1))),
        shards=max(1, int(number(fields, "Extra.SlotsTotal", 1))),
        zone=fields.get("Locality", ""),
        classes=classes,
        plans=plans,
        tick=seconds(fields, "StepNs", 0),
        list_on_request=fields.get("Discovery") == "on_request",
        max_poll_interval=optional_number(fields, "Obligations.AskWithinNs", NS),
        can_cancel=flag(fields, "Limits.Cancel"),
        can_probe=flag(fields, "Limits.Probing"),
        second_copies=flag(fields, "Limits.SecondCopies"),
        sends_retry_after=flag(fields, "Limits.RetryAfter"),
        max_attempts=int(number(fields, "Limits.MaxAttempts", 1)),
        max_retry_after=seconds(fields, "Limits.MaxRetryAfterNs", 0),
        connect_timeout=seconds(fields, "Limits.ConnectTimeoutNs", 0),
        report_in_responses=fields.get("Report.How") == "answers",
        mean_units=number(fields, "Extra.UsualUnits", 1),
        max_units=number(fields, "Extra.MostUnits", 1),
        unreserved_value=number(fields, "Extra.ShareWorth", 1),
        spare_value=number(fields, "Extra.SpareWorth", 1),
        slow_start_units=optional_number(fields, "Extra.YoungLimit"),
        start_capacity=optional_number(fields, "Obligations.StartCapacity"),
        overload_multiple=optional_number(fields, "Obligations.FallMultiple"),
        warm_up=optional_number(fields, "Obligations.WarmUpNs", NS),
        overload_window=optional_number(fields, "Obligations.OverloadForNs", NS),
        key_cooldown=optional_number(fields, "Obligations.KeyRestNs", NS),
        retry_budget_base=optional_number(fields, "Obligations.SpareAttempts"),
        retry_budget_ratio=optional_number(fields, "Obligations.RepeatRatio"),
        retry_budget_window=optional_number(fields, "Obligations.RatioSpanNs", NS),
    )


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Settings of connections and of this front's position in the fleet, which the decisions do not need."""

    connect_timeout: timedelta
    idle_timeout: timedelta  # chunk servers close connections that were idle for this long
    rank: int = 0  # this front's number among all fronts
    shards: int = 1


def read_connection_settings(fields: Fields) -> ConnectionSettings:
    return ConnectionSettings(
        connect_timeout=timedelta(seconds=seconds(fields, "Limits.ConnectTimeoutNs", NS)),
        idle_timeout=timedelta(seconds=seconds(fields, "Limits.KeepaliveNs", 15 * NS)),
        rank=int(number(fields, "Rank", 0)),
        shards=int(number(fields, "Extra.SlotsTotal", 1)),
    )


def flatten(nested: dict[str, Any], prefix: str = "") -> Fields:
    """Nested settings as flat paths: lists of objects get a `.count` and numbered items, other lists are joined."""
    parsed: Fields = {}
    for name, value in nested.items():
        path = prefix + name
        if isinstance(value, dict):
            parsed |= flatten(value, path + ".")
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            parsed[path + ".count"] = str(len(value))
            for i, item in enumerate(value):
                parsed |= flatten(item, f"{path}.{i}.")
        elif isinstance(value, list):
            parsed[path] = ",".join(map(str, value))
        elif value is not None:
            parsed[path] = str(value)
    return parsed
