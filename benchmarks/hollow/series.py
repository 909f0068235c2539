"""A figure measured at several sizes of the fleet, and how it grows with the size."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

SMALLEST_VALUE = 1e-12  # in place of zero, which has no logarithm


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Line:
    """The least-squares line through the points; `r2` is the part of the variance that it explains."""

    start: float
    slope: float
    r2: float

    def at(self, size: float) -> float:
        """The value that the line gives at a size."""
        return self.start + self.slope * size


@dataclass(frozen=True, slots=True)
class Series:
    """One figure over the sizes at which it was measured."""

    name: str
    unit: str
    size_unit: str
    points: tuple[Point, ...]

    @classmethod
    def of(cls, name: str, unit: str, size_unit: str, pairs: Iterable[tuple[float, float]]) -> Series:
        """A series of (size, value) pairs."""
        return cls(name, unit, size_unit, tuple(Point(size, value) for size, value in pairs))

    def line(self) -> Line:
        """The straight line that fits best."""
        return fit_line([point.size for point in self.points], [point.value for point in self.points])

    def exponent(self) -> float:
        """The power of the size with which the value grows: 0 for a constant, 1 for a straight line."""
        logs = [(math.log(point.size), math.log(max(point.value, SMALLEST_VALUE))) for point in self.points]
        return fit_line([size for size, _ in logs], [value for _, value in logs]).slope

    def text(self, target: float | None = None) -> str:
        """One line of a report; `target` is the size for which the straight line is drawn on."""
        values = "  ".join(f"{point.size:g}: {point.value:.4g}" for point in self.points)
        told = f"{self.name} [{self.unit} by {self.size_unit}]  {values}"
        if len(self.points) < 2:
            return told
        line = self.line()
        told += f"  | {line.start:.4g} + {line.slope:.4g} n, R2 {line.r2:.3f}, grows as n^{self.exponent():.2f}"
        return told if target is None else f"{told}, at {target:g}: {line.at(target):.4g}"


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """The least-squares line; flat where all sizes are the same."""
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    together = sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True))
    slope = together / spread if spread else 0.0
    start = mean_value - slope * mean_size
    variance = sum((value - mean_value) ** 2 for value in values)
    left = sum((value - start - slope * size) ** 2 for size, value in zip(sizes, values, strict=True))
    return Line(start, slope, 1.0 - left / variance if variance else 1.0)
