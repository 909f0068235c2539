"""The settings, read once for both hosts: the simulator's flat fields, or the same names nested in JSON."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from . import interface as api

NS = 1_000_000_000

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
# the figures of a load report, as the settings and both wires name them, and as we do
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
    """A line that cannot be read."""


def pairs(parts: Iterable[str]) -> Fields:
    """The name=value parts of a line."""
    found: Fields = {}
    for part in parts:
        name, mark, value = part.partition("=")
        if not mark or not name:
            raise Malformed(f"'{part}' is not name=value")
        found[name] = value
    return found


def text(fields: Fields, name: str) -> str:
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


def maybe(fields: Fields, name: str, scale: float = 1.0) -> float | None:
    return number(fields, name) / scale if name in fields else None


def told(fields: Fields, name: str) -> float | None:
    """A figure that the event can do without: what cannot be read is left out."""
    try:
        return number(fields, name)
    except Malformed:
        return None


def seconds(fields: Fields, name: str, default: float | None = None) -> float:
    return number(fields, name, default) / NS


def flag(fields: Fields, name: str) -> bool:
    return fields.get(name, "") in ("1", "true", "True")


def read_settings(got: Fields) -> api.Settings:
    """The first message as settings; absent parts stay absent."""
    classes, plans = {}, {}
    for i in range(int(number(got, "Classes.count", 0))):
        at = f"Classes.{i}."
        name = text(got, at + "Name")
        deadline = seconds(got, at + "DeadlineNs", 0)
        classes[name] = api.RequestClass(
            name=name,
            aim=seconds(got, at + "ObjectiveNs", deadline * NS),
            deadline=deadline,
            worth=number(got, at + "Value", 1),
            late_share=number(got, at + "LateShare", 0),
            effect=EFFECTS.get(got.get(at + "Effect", ""), api.Effect.UNSAFE),
            group=GROUPS.get(got.get(at + "Group", ""), api.Group.CELL),
            window=seconds(got, at + "WindowNs", 0),
            in_order=flag(got, at + "Sequential"),
        )
    for i in range(int(number(got, "Contracts.count", 0))):
        at = f"Contracts.{i}."
        name = text(got, at + "Name")
        plans[name] = api.Plan(
            name=name,
            rate=number(got, at + "Nominal", 0),
            weight=number(got, at + "Weight", 1),
            price=number(got, at + "Price", 1),
            reserve=number(got, at + "Reserve", 0),
            limit=number(got, at + "Limit", 0),
            limit_burst=number(got, at + "MostAtOnce", 0),
        )
    return api.Settings(
        seed=int(number(got, "InitSeed", 0)),
        heads=max(1, int(number(got, "Balancers", 1))),
        shards=max(1, int(number(got, "Extra.SlotsTotal", 1))),
        zone=got.get("Locality", ""),
        classes=classes,
        plans=plans,
        step=seconds(got, "StepNs", 0),
        list_on_request=got.get("Discovery") == "on_request",
        ask_within=maybe(got, "Obligations.AskWithinNs", NS),
        can_cancel=flag(got, "Limits.Cancel"),
        can_probe=flag(got, "Limits.Probing"),
        second_copies=flag(got, "Limits.SecondCopies"),
        advises_pause=flag(got, "Limits.RetryAfter"),
        max_attempts=int(number(got, "Limits.MaxAttempts", 1)),
        max_pause=seconds(got, "Limits.MaxRetryAfterNs", 0),
        connect_timeout=seconds(got, "Limits.ConnectTimeoutNs", 0),
        report_in_answers=got.get("Report.How") == "answers",
        mean_units=number(got, "Extra.UsualUnits", 1),
        most_units=number(got, "Extra.MostUnits", 1),
        share_worth=number(got, "Extra.ShareWorth", 1),
        spare_worth=number(got, "Extra.SpareWorth", 1),
        cold_units=maybe(got, "Extra.YoungLimit"),
        start_capacity=maybe(got, "Obligations.StartCapacity"),
        fall_multiple=maybe(got, "Obligations.FallMultiple"),
        warm_up=maybe(got, "Obligations.WarmUpNs", NS),
        overload_window=maybe(got, "Obligations.OverloadForNs", NS),
        key_rest=maybe(got, "Obligations.KeyRestNs", NS),
        extra_free=maybe(got, "Obligations.SpareAttempts"),
        extra_share=maybe(got, "Obligations.RepeatRatio"),
        extra_window=maybe(got, "Obligations.RatioSpanNs", NS),
    )


@dataclass(frozen=True, slots=True)
class Links:
    """What the settings say of connections and of the front's place; the decisions do not need it."""

    connect_timeout: timedelta
    idle: timedelta  # chunk servers close what was idle for so long
    rank: int = 0  # this front's number among all
    shards: int = 1


def read_links(got: Fields) -> Links:
    return Links(
        connect_timeout=timedelta(seconds=seconds(got, "Limits.ConnectTimeoutNs", NS)),
        idle=timedelta(seconds=seconds(got, "Limits.KeepaliveNs", 15 * NS)),
        rank=int(number(got, "Rank", 0)),
        shards=int(number(got, "Extra.SlotsTotal", 1)),
    )


def flatten(nested: dict[str, Any], at: str = "") -> Fields:
    """Nested settings as the simulator's paths: lists of objects counted, plain values joined."""
    found: Fields = {}
    for name, value in nested.items():
        path = at + name
        if isinstance(value, dict):
            found |= flatten(value, path + ".")
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            found[path + ".count"] = str(len(value))
            for i, item in enumerate(value):
                found |= flatten(item, f"{path}.{i}.")
        elif isinstance(value, list):
            found[path] = ",".join(map(str, value))
        elif value is not None:
            found[path] = str(value)
    return found
