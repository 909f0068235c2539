"""The metrics of a process in one registry, rendered in the text exposition format of Prometheus.

https://prometheus.io/docs/instrumenting/exposition_formats/ (text format, version 0.0.4)
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_IDENTIFIER_PATTERN = re.compile(r"[a-zA-Z_][a-zA-Z0-9_]*")
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})

LabelValues = tuple[str, ...]


@dataclass(slots=True)
class Counter:
    """A monotonic sum for each combination of label values."""

    values: dict[LabelValues, float] = field(default_factory=dict)

    def add(self, *labels: str, amount: float = 1.0) -> None:
        """Adds `amount` to the sum of these label values, which are in the order of the label names."""
        self.values[labels] = self.values.get(labels, 0.0) + amount


@dataclass(frozen=True, slots=True)
class _Family:
    """A metric and `read`, which returns its values when the registry is rendered."""

    kind: str
    help_text: str
    label_names: tuple[str, ...]
    read: Callable[[], Mapping[LabelValues, float]]


class MetricsRegistry:
    """The metrics of a process by name. Each name is registered once; otherwise a ValueError is raised."""

    def __init__(self) -> None:
        self._families: dict[str, _Family] = {}

    def counter(self, name: str, help_text: str, *label_names: str) -> Counter:
        """Registers a counter. Without labels it is rendered as 0 from the start."""
        counter = Counter({} if label_names else {(): 0.0})
        self._register(name, _Family("counter", help_text, label_names, lambda: counter.values))
        return counter

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Registers a gauge without labels, whose value `read()` returns at each rendering."""
        self._register(name, _Family("gauge", help_text, (), lambda: {(): read()}))

    def gauges(
        self, name: str, help_text: str, label_names: tuple[str, ...], read: Callable[[], Mapping[LabelValues, float]]
    ) -> None:
        """Registers a gauge with labels; `read()` returns its values by label values at each rendering."""
        self._register(name, _Family("gauge", help_text, label_names, read))

    def render(self) -> str:
        """All metrics in the text format, in the order in which they were registered."""
        lines = []
        for name, family in self._families.items():
            lines.append(f"# HELP {name} {family.help_text}")
            lines.append(f"# TYPE {name} {family.kind}")
            for labels, value in sorted(family.read().items()):
                lines.append(f"{name}{_format_labels(family.label_names, labels)} {_format_number(value)}")
        return "\n".join(lines) + "\n"

    def _register(self, name: str, family: _Family) -> None:
        for identifier in (name, *family.label_names):
            if not _IDENTIFIER_PATTERN.fullmatch(identifier):
                raise ValueError(f"found {identifier!r}, allowed letters, digits and underscores")
        if name in self._families:
            raise ValueError(f"metric {name!r} is already registered")
        self._families[name] = family


def _format_labels(names: tuple[str, ...], values: LabelValues) -> str:
    if not names:
        return ""
    pairs = (f'{name}="{value.translate(_ESCAPES)}"' for name, value in zip(names, values, strict=True))
    return "{" + ",".join(pairs) + "}"


def _format_number(value: float) -> str:
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return str(int(value)) if value == int(value) else repr(float(value))
