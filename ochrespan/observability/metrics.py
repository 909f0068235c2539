"""A process's figures in one registry, rendered in the text exposition format that Prometheus and its kin read.

https://prometheus.io/docs/instrumenting/exposition_formats/ (text format, version 0.0.4)
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_NAME = re.compile(r"[a-zA-Z_][a-zA-Z0-9_]*")
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})

LabelValues = tuple[str, ...]


@dataclass(slots=True)
class Counter:
    """A sum that only grows, by the values of its labels."""

    values: dict[LabelValues, float] = field(default_factory=dict)

    def add(self, *labels: str, amount: float = 1.0) -> None:
        """Counts `amount` under these values of the labels."""
        self.values[labels] = self.values.get(labels, 0.0) + amount


@dataclass(frozen=True, slots=True)
class _Family:
    kind: str
    help_text: str
    label_names: tuple[str, ...]
    read: Callable[[], Mapping[LabelValues, float]]


class MetricsRegistry:
    """The figures of a process by name. A name stands for one figure."""

    def __init__(self) -> None:
        self._families: dict[str, _Family] = {}

    def counter(self, name: str, help_text: str, *label_names: str) -> Counter:
        """A new counter; without labels it is told as 0 from the start."""
        counter = Counter({} if label_names else {(): 0.0})
        self._add(name, _Family("counter", help_text, label_names, lambda: counter.values))
        return counter

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """A figure that is read when it is asked for."""
        self._add(name, _Family("gauge", help_text, (), lambda: {(): read()}))

    def gauges(
        self, name: str, help_text: str, label_names: tuple[str, ...], read: Callable[[], Mapping[LabelValues, float]]
    ) -> None:
        """A figure for each value of its labels, read when it is asked for."""
        self._add(name, _Family("gauge", help_text, label_names, read))

    def render(self) -> str:
        """All figures, in the order in which they were added."""
        lines = []
        for name, family in self._families.items():
            lines.append(f"# HELP {name} {family.help_text}")
            lines.append(f"# TYPE {name} {family.kind}")
            for labels, value in sorted(family.read().items()):
                lines.append(f"{name}{_labels(family.label_names, labels)} {_number(value)}")
        return "\n".join(lines) + "\n"

    def _add(self, name: str, family: _Family) -> None:
        for each in (name, *family.label_names):
            if not _NAME.fullmatch(each):
                raise ValueError(f"found {each!r}, allowed letters, digits and underscores")
        if name in self._families:
            raise ValueError(f"there is a figure {name!r} already")
        self._families[name] = family


def _labels(names: tuple[str, ...], values: LabelValues) -> str:
    if not names:
        return ""
    pairs = (f'{name}="{value.translate(_ESCAPES)}"' for name, value in zip(names, values, strict=True))
    return "{" + ",".join(pairs) + "}"


def _number(value: float) -> str:
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return str(int(value)) if value == int(value) else repr(float(value))
