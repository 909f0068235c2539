"""A small checker for typed dictionaries: every finding is collected with its place, then reported together.

A check is a function `(value, where, findings)`. `typed(SomeTypedDict)` derives one from the annotations of a
TypedDict, whose fields carry their checks as `Annotated[type, check]`. Unknown fields are allowed everywhere.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, NotRequired, get_args, get_origin, get_type_hints

MAX_FINDINGS = 100
MAX_SHOWN_CHARACTERS = 60
MAX_INTEGER = 2**53


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault: where it lies, what was found there, and what is allowed."""

    where: str
    found: str
    allowed: str

    def fields(self) -> dict[str, str]:
        """The finding as a map, for answers."""
        return {"where": self.where, "found": self.found, "allowed": self.allowed}

    def __str__(self) -> str:
        return f"{self.where}: found {self.found}, allowed {self.allowed}"


Findings = list[Finding]
Check = Callable[[Any, str, Findings], None]


class ValidationError(ValueError):
    """A document with at least one finding."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


def show(value: Any) -> str:
    """A short rendering of a value for a finding."""
    if isinstance(value, dict):
        return f"a map with {len(value)} fields"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."


def add_finding(findings: Findings, where: str, found: Any, allowed: str) -> None:
    """Adds a finding, unless there are MAX_FINDINGS of them already."""
    if len(findings) < MAX_FINDINGS:
        findings.append(Finding(where, found if isinstance(found, str) else show(found), allowed))


def text(smallest: int = 1, largest: int = 4096) -> Check:
    """A string of `smallest` to `largest` characters."""
    allowed = f"a string of {smallest} to {largest} characters"

    def check(value: Any, where: str, findings: Findings) -> None:
        if not isinstance(value, str) or not smallest <= len(value) <= largest:
            add_finding(findings, where, show(value), allowed)

    return check


def one_of(*choices: str) -> Check:
    """One of the given strings."""
    allowed = "one of " + ", ".join(choices)

    def check(value: Any, where: str, findings: Findings) -> None:
        if not isinstance(value, str) or value not in choices:
            add_finding(findings, where, show(value), allowed)

    return check


def integer(smallest: int = 0, largest: int = MAX_INTEGER) -> Check:
    """A whole number within bounds; true and false are none."""
    allowed = f"a whole number of {smallest} to {largest}"

    def check(value: Any, where: str, findings: Findings) -> None:
        if type(value) is not int or not smallest <= value <= largest:
            add_finding(findings, where, show(value), allowed)

    return check


def number(smallest: float = 0.0, above: bool = False, largest: float = MAX_INTEGER) -> Check:
    """A finite number of at least `smallest`, or above it, and at most `largest`."""
    allowed = f"a number {'above' if above else 'of at least'} {smallest:g}"
    if largest != MAX_INTEGER:
        allowed += f" and at most {largest:g}"

    def check(value: Any, where: str, findings: Findings) -> None:
        finite = type(value) is int or (type(value) is float and math.isfinite(value))
        if not finite or not smallest <= value <= largest or (above and value == smallest):
            add_finding(findings, where, show(value), allowed)

    return check


def flag(value: Any, where: str, findings: Findings) -> None:
    """True or false."""
    if type(value) is not bool:
        add_finding(findings, where, show(value), "true or false")


def optional(check: Check) -> Check:
    """What `check` allows, or null."""

    def check_unless_null(value: Any, where: str, findings: Findings) -> None:
        if value is not None:
            check(value, where, findings)

    return check_unless_null


def list_of(item: Check, smallest: int = 0) -> Check:
    """A list whose items pass `item`; an item that has a name is reported under it."""

    def check(value: Any, where: str, findings: Findings) -> None:
        if not isinstance(value, list) or len(value) < smallest:
            add_finding(findings, where, show(value), "a list" if not smallest else f"a list of at least {smallest}")
            return
        for position, entry in enumerate(value):
            item(entry, f"{where}[{position}]", findings)

    return check


def map_of(item: Check) -> Check:
    """A map from strings to what passes `item`."""

    def check(value: Any, where: str, findings: Findings) -> None:
        if not isinstance(value, dict):
            add_finding(findings, where, show(value), "a map")
            return
        for key, entry in value.items():
            item(entry, f"{where}.{key}", findings)

    return check


def typed(typed_dict: type) -> Check:
    """A map whose fields pass the checks that the TypedDict's annotations carry."""
    checks: dict[str, Check] = {}
    required: list[str] = []
    for name, hint in get_type_hints(typed_dict, include_extras=True).items():
        if get_origin(hint) is NotRequired:
            hint = get_args(hint)[0]
        else:
            required.append(name)
        if get_origin(hint) is Annotated:
            checks[name] = get_args(hint)[1]

    def check(value: Any, where: str, findings: Findings) -> None:
        if not isinstance(value, dict):
            add_finding(findings, where, show(value), "a map")
            return
        prefix = f"{where}." if where else ""
        for name in required:
            if name not in value:
                add_finding(findings, prefix + name, "nothing", "a value")
        for name, field in value.items():
            if name in checks:
                checks[name](field, prefix + name, findings)

    return check
