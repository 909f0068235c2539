"""Reads tables of the operator's file into typed structs. Every fault is told, not only the first."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, TypeVar, get_args

import msgspec

from .config import BadConfig, split_address


class Table(msgspec.Struct, forbid_unknown_fields=True):
    """What all tables are."""


S = TypeVar("S", bound=Table)


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong, where, and what would be right."""

    location: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.location}: found {self.found}; allowed: {self.allowed}"


class Faults:
    """All that is wrong with one file."""

    def __init__(self, file: str) -> None:
        self.file, self.found = file, list[Fault]()

    def __bool__(self) -> bool:
        return bool(self.found)

    def add(self, location: str, found: object, allowed: str) -> None:
        self.found.append(Fault(location, found if isinstance(found, str) else repr(found), allowed))

    def check_choice(self, location: str, found: str, allowed: Collection[str]) -> bool:
        """Whether the name is one of those allowed."""
        if found in allowed:
            return True
        names = sorted(allowed)
        self.add(location, repr(found), " or ".join(map(repr, names)) if names else "no name: there are none")
        return False

    def raise_any(self) -> None:
        if self.found:
            raise BadConfig(*(f"{self.file}: {fault}" for fault in self.found))


def read_table(kind: type[S], value: Any, location: str, faults: Faults) -> S | None:
    """The table as a struct of that kind, or None with its faults told; unknown names are faults."""
    if not isinstance(value, dict):
        faults.add(location, value, "a table")
        return None
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        _explain(kind, value, location, faults)
        return None


def _explain(kind: type[Table], value: dict[str, Any], location: str, faults: Faults) -> None:
    """Every fault in the table: the library tells the first one only."""
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value.keys() - fields.keys():
        faults.add(f"{location} {name}", "an unknown name", ", ".join(sorted(fields)))
    for name, field in fields.items():
        if name not in value:
            if field.required:
                faults.add(f"{location} {name}", "nothing", _words(field.type))
        elif (inner := _inner(field.type)) is not None:
            read_table(inner, value[name], f"{location} {name}", faults)
        else:
            try:
                msgspec.convert(value[name], field.type)
            except msgspec.ValidationError as why:
                allowed = str(why).partition(" - at ")[0].removeprefix("Expected ").partition(", got ")[0]
                faults.add(f"{location} {name}", value[name], allowed.replace("`", ""))


def read_tables(kind: type[S], value: Any, name: str, faults: Faults) -> list[tuple[str, S]]:
    """The tables of an array, each with its place; a faulty one is left out."""
    if not isinstance(value, list):
        faults.add(f"[[{name}]]", value, "an array of tables")
        return []
    found = []
    for i, entry in enumerate(value):
        called = entry.get("name") if isinstance(entry, dict) else None
        location = f"[[{name}]] {called if isinstance(called, str) else i + 1}"
        if (read := read_table(kind, entry, location, faults)) is not None:
            found.append((location, read))
    return found


def read_address(text: str, location: str, faults: Faults) -> tuple[str, int]:
    try:
        return split_address(text)
    except BadConfig:
        faults.add(location, text, "host:port")
        return "", 0


def _inner(kind: Any) -> type[Table] | None:
    for one in (kind, *get_args(kind)):
        if isinstance(one, type) and issubclass(one, Table):
            return one
    return None


def _words(kind: Any) -> str:
    return getattr(kind, "__name__", str(kind)).replace("typing.", "")
