"""Parsing of the response headers with load reports and with units served elsewhere. Invalid values are dropped."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..settings import REPORT_NAMES

LOAD_HEADER, ELSEWHERE_HEADER = "endpoint-load-metrics", "x-served-elsewhere"
MAX_VALUE, MAX_UTILIZATION = 1e6, 10.0  # beyond any real load; one larger value would distort the smoothed metrics
OnInvalid = Callable[[str, str, str], None]  # location, found value, allowed values


class LogSampler:
    """Limits log lines for repeated events: of each kind, the 1st, 2nd, 4th, 8th ... is logged, with its count."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}  # by kind; kinds are fixed texts of this program, never input from a peer

    def count(self, kind: str) -> int | None:
        """Counts an event and returns its number if it is to be logged."""
        number = self._counts[kind] = self._counts.get(kind, 0) + 1
        return None if number & (number - 1) else number

    def reset(self, kind: str) -> None:
        """Ends the series: the next event of this kind is the first again."""
        self._counts.pop(kind, None)


def parse_number(location: str, text: str, maximum: float, on_invalid: OnInvalid) -> float | None:
    """Parses a number from 0 to `maximum`; passes any other value to `on_invalid` and returns None."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if 0 <= number <= maximum:
        return number
    on_invalid(location, text[:60], f"a number from 0 to {maximum:g}")
    return None


def parse_load_report(value: str, on_invalid: OnInvalid) -> dict[str, float]:
    """Returns the values of a load report by internal name; values not named in the settings are not checked."""
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
    """Returns the units; 0 if the header is missing or invalid."""
    return (parse_number(ELSEWHERE_HEADER, value, MAX_VALUE, on_invalid) or 0.0) if value else 0.0
