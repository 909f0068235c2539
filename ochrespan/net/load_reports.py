"""What answers tell beside their body: load reports and units served elsewhere. What is nonsense is left out."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..settings import REPORT_NAMES

LOAD, ELSEWHERE = "endpoint-load-metrics", "x-served-elsewhere"
MOST, MOST_BUSY = 1e6, 10.0  # no front has to do with more; one such figure would spoil all that is smoothed from it
Tell = Callable[[str, str, str], None]  # where, what was found, what is allowed


class Repeats:
    """Of what may come again and again, the 1st, 2nd, 4th, 8th ... of a kind are worth a line, with their number."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}  # by kind: words of ours, never a peer's

    def count(self, kind: str) -> int | None:
        """Its number if it is worth a line."""
        number = self._counts[kind] = self._counts.get(kind, 0) + 1
        return None if number & (number - 1) else number

    def over(self, kind: str) -> None:
        """It has ended: the next one is the first again."""
        self._counts.pop(kind, None)


def read_figure(where: str, text: str, most: float, tell: Tell) -> float | None:
    try:
        figure = float(text)
    except ValueError:
        figure = math.nan
    if 0 <= figure <= most:
        return figure
    tell(where, text[:60], f"a number from 0 to {most:g}")
    return None


def read_load(value: str, tell: Tell) -> dict[str, float]:
    """The figures of a load report under our names; those that the settings do not name may be anything."""
    found = {}
    for part in value.removeprefix("TEXT").split(",") if value else ():
        name, mark, text = part.strip().partition("=")
        if name in REPORT_NAMES:
            ours = REPORT_NAMES[name]
            figure = read_figure(f"{LOAD}.{name}", text, MOST_BUSY if ours == "util" else MOST, tell)
            if figure is not None:
                found[ours] = figure
        elif not mark:
            tell(LOAD, value[:60], "TEXT name=figure, ...")
    return found


def read_units(value: str, tell: Tell) -> float:
    """Left out means none."""
    return (read_figure(ELSEWHERE, value, MOST, tell) or 0.0) if value else 0.0
