"""What answers tell beside their body: load reports and units served elsewhere. What is nonsense is left out."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..settings import REPORT_NAMES

LOAD_HEADER, ELSEWHERE_HEADER = "endpoint-load-metrics", "x-served-elsewhere"
MAX_VALUE, MAX_UTILIZATION = (
    1e6,
    10.0,
)  # no front has to do with more; one such figure would spoil all that is smoothed from it
OnInvalid = Callable[[str, str, str], None]  # where, what was found, what is allowed


class LogSampler:
    """Of what may come again and again, the 1st, 2nd, 4th, 8th ... of a kind are worth a line, with their number."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}  # by kind: words of ours, never a peer's

    def count(self, kind: str) -> int | None:
        """Its number if it is worth a line."""
        number = self._counts[kind] = self._counts.get(kind, 0) + 1
        return None if number & (number - 1) else number

    def reset(self, kind: str) -> None:
        """It has ended: the next one is the first again."""
        self._counts.pop(kind, None)


def parse_number(location: str, text: str, maximum: float, on_invalid: OnInvalid) -> float | None:
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if 0 <= number <= maximum:
        return number
    on_invalid(location, text[:60], f"a number from 0 to {maximum:g}")
    return None


def parse_load_report(value: str, on_invalid: OnInvalid) -> dict[str, float]:
    """The figures of a load report under our names; those that the settings do not name may be anything."""
    values = {}
    for item in value.removeprefix("TEXT").split(",") if value else ():
        name, separator, text = item.strip().partition("=")
        if name in REPORT_NAMES:
            name_here = REPORT_NAMES[name]
            number = parse_number(
                f"{LOAD_HEADER}.{name}", text, MAX_UTILIZATION if name_here == "util" else MAX_VALUE, on_invalid
            )
            if number is not None:
                values[name_here] = number
        elif not separator:
            on_invalid(LOAD_HEADER, value[:60], "TEXT name=figure, ...")
    return values


def parse_units(value: str, on_invalid: OnInvalid) -> float:
    """Left out means none."""
    return (parse_number(ELSEWHERE_HEADER, value, MAX_VALUE, on_invalid) or 0.0) if value else 0.0
