"""Validation of documents and settings: all faults are collected with their paths, then reported together.

A `Check` is a function that appends the faults of a value to a list of findings, and never raises. The functions here
build checks: `text`, `integer` and `number` for bounds, `list_of`, `map_of` and `optional` from the check of an item,
and `typed_dict(SomeTypedDict)` from the annotations of a TypedDict, whose fields carry their checks as
`Annotated[type, check]`. Fields that a TypedDict doesn't name are allowed, as a newer version may send them.

The texts of the findings are part of the control interface.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, NotRequired, get_args, get_origin, get_type_hints

MAX_FINDINGS = 100  # of one document; further ones are dropped
MAX_SHOWN_CHARACTERS = 60
MAX_INTEGER = 2**53  # up to here a JSON reader that takes numbers as doubles is exact


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a document.

    Attributes:
        where: The path of the value, such as `services[0].name`; empty for the document itself.
        found: A short rendering of what was found there.
        allowed: What is allowed there.
    """

    where: str
    found: str
    allowed: str

    def fields(self) -> dict[str, str]:
        """The finding as a JSON object, for responses."""
        return {"where": self.where, "found": self.found, "allowed": self.allowed}

    def __str__(self) -> str:
        return f"{self.where}: found {self.found}, allowed {self.allowed}"


class Findings(list[Finding]):
    """Collects the findings of several checks. Only the first MAX_FINDINGS are retained.

    Attributes:
        total: How many were added, also beyond MAX_FINDINGS; checks that depend on earlier ones compare this number.
    """

    def __init__(self) -> None:
        super().__init__()
        self.total = 0

    @property
    def is_full(self) -> bool:
        """Whether further findings are only counted: their texts need not be built."""
        return len(self) >= MAX_FINDINGS

    def error(self) -> ValidationError:
        """The error that reports the findings, and how many there were."""
        return ValidationError(self, self.total)


Check = Callable[[Any, str, Findings], None]
"""`check(value, where, findings)` appends the faults of `value`, whose path in its document is `where`."""


class ValidationError(ValueError):
    """A document, or a settings file, with at least one finding.

    Attributes:
        findings: The findings, or the first of them.
        total: How many there were.
    """

    def __init__(self, findings: Sequence[Finding], total: int = 0) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)
        self.total = max(total, len(self.findings))


def show(value: Any) -> str:
    """A short rendering of a value for a finding."""
    if isinstance(value, dict):
        return f"a map with {len(value)} fields"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."


def add_finding(findings: Findings, where: str, found: Any, allowed: str) -> None:
    """Adds a finding, unless there are MAX_FINDINGS already. `found` is a text, or the value that was found."""
    findings.total += 1
    if not findings.is_full:
        findings.append(Finding(where, found if isinstance(found, str) else show(found), allowed))


def text(minimum: int = 1, maximum: int = 4096) -> Check:
    """Checks for a string of `minimum` to `maximum` characters."""
    allowed = f"a string of {minimum} to {maximum} characters"

    def check(value: Any, where: str, findings: Findings) -> None:
        """Adds a finding unless the value is a string of an allowed length."""
        if not isinstance(value, str) or not minimum <= len(value) <= maximum:
            add_finding(findings, where, show(value), allowed)

    return check


def one_of(*choices: str) -> Check:
    """Checks for one of the given strings."""
    allowed = "one of " + ", ".join(choices)

    def check(value: Any, where: str, findings: Findings) -> None:
        """Adds a finding unless the value is one of the choices."""
        if not isinstance(value, str) or value not in choices:
            add_finding(findings, where, show(value), allowed)

    return check


def integer(minimum: int = 0, maximum: int = MAX_INTEGER) -> Check:
    """Checks for an integer of `minimum` to `maximum`; true and false are not accepted."""
    allowed = f"a whole number of {minimum} to {maximum}"

    def check(value: Any, where: str, findings: Findings) -> None:
        """Adds a finding unless the value is an integer in the allowed range."""
        if type(value) is not int or not minimum <= value <= maximum:
            add_finding(findings, where, show(value), allowed)

    return check


def number(minimum: float = 0.0, above: bool = False, maximum: float = MAX_INTEGER) -> Check:
    """Checks for a finite number of at least `minimum`, or above it, and at most `maximum`."""
    allowed = f"a number {'above' if above else 'of at least'} {minimum:g}"
    if maximum != MAX_INTEGER:
        allowed += f" and at most {maximum:g}"

    def check(value: Any, where: str, findings: Findings) -> None:
        """Adds a finding unless the value is a finite number in the allowed range."""
        finite = type(value) is int or (type(value) is float and math.isfinite(value))
        if not finite or not minimum <= value <= maximum or (above and value == minimum):
            add_finding(findings, where, show(value), allowed)

    return check


def flag(value: Any, where: str, findings: Findings) -> None:
    """A check for true or false."""
    if type(value) is not bool:
        add_finding(findings, where, show(value), "true or false")


def optional(check: Check) -> Check:
    """Checks for what `check` allows, or null."""

    def check_unless_null(value: Any, where: str, findings: Findings) -> None:
        """Adds the findings of a value that is not null."""
        if value is not None:
            check(value, where, findings)

    return check_unless_null


def list_of(item: Check, minimum: int = 0) -> Check:
    """Checks for a list of at least `minimum` items, all of which pass `item`."""

    def check(value: Any, where: str, findings: Findings) -> None:
        """Adds the findings of the list and of each item."""
        if not isinstance(value, list) or len(value) < minimum:
            add_finding(findings, where, show(value), "a list" if not minimum else f"a list of at least {minimum}")
            return
        for position, entry in enumerate(value):
            item(entry, f"{where}[{position}]", findings)

    return check


def map_of(item: Check) -> Check:
    """Checks for a JSON object whose values pass `item`."""

    def check(value: Any, where: str, findings: Findings) -> None:
        """Adds the findings of the object and of each of its values."""
        if not isinstance(value, dict):
            add_finding(findings, where, show(value), "a map")
            return
        for key, entry in value.items():
            item(entry, f"{where}.{key}", findings)

    return check


def typed_dict(dict_type: type) -> Check:
    """Checks for a JSON object with the required fields of a TypedDict, each of which passes the check it carries."""
    checks: dict[str, Check] = {}
    required: list[str] = []
    for name, hint in get_type_hints(dict_type, include_extras=True).items():
        if get_origin(hint) is NotRequired:
            hint = get_args(hint)[0]
        else:
            required.append(name)
        if get_origin(hint) is Annotated:
            checks[name] = get_args(hint)[1]

    def check(value: Any, where: str, findings: Findings) -> None:
        """Adds the findings of the object, of its missing fields and of those it has."""
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
