"""Reads tables of the operator's file into typed structs and reports all errors, not only the first."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, TypeVar, get_args

import msgspec

from .config import BadConfig, split_address


class Table(msgspec.Struct, forbid_unknown_fields=True):
    """Base of all tables: unknown fields are errors."""


S = TypeVar("S", bound=Table)


@dataclass(frozen=True, slots=True)
class Fault:
    """An error in the file: its location, the value found and the values allowed."""

    location: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.location}: found {self.found}; allowed: {self.allowed}"


class Faults:
    """Collects the errors in one file."""

    def __init__(self, file: str) -> None:
        self.file, self.entries = file, list[Fault]()

    def __bool__(self) -> bool:
        return bool(self.entries)

    def add(self, location: str, found: object, allowed: str) -> None:
        self.entries.append(Fault(location, found if isinstance(found, str) else repr(found), allowed))

    def check_choice(self, location: str, found: str, allowed: Collection[str]) -> bool:
        """Returns whether the name is allowed; records an error if not."""
        if found in allowed:
            return True
        names = sorted(allowed)
        self.add(location, repr(found), " or ".join(map(repr, names)) if names else "no name: there are none")
        return False

    def raise_any(self) -> None:
        if self.entries:
            raise BadConfig(*(f"{self.file}: {fault}" for fault in self.entries))


def read_table(struct_type: type[S], value: Any, location: str, faults: Faults) -> S | None:
    """Converts the table to a struct of that type. On errors, records all of them and returns None."""
    if not isinstance(value, dict):
        faults.add(location, value, "a table")
        return None
    try:
        return msgspec.convert(value, struct_type)
    except msgspec.ValidationError:
        _record_errors(struct_type, value, location, faults)
        return None


def _record_errors(struct_type: type[Table], value: dict[str, Any], location: str, faults: Faults) -> None:
    """Records every error in the table; msgspec reports only the first."""
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    for name in value.keys() - fields.keys():
        faults.add(f"{location} {name}", "an unknown name", ", ".join(sorted(fields)))
    for name, field in fields.items():
        if name not in value:
            if field.required:
                faults.add(f"{location} {name}", "nothing", _type_name(field.type))
        elif (nested := _nested_table(field.type)) is not None:
            read_table(nested, value[name], f"{location} {name}", faults)
        else:
            try:
                msgspec.convert(value[name], field.type)
            except msgspec.ValidationError as error:
                allowed = str(error).partition(" - at ")[0].removeprefix("Expected ").partition(", got ")[0]
                faults.add(f"{location} {name}", value[name], allowed.replace("`", ""))


def read_tables(struct_type: type[S], value: Any, name: str, faults: Faults) -> list[tuple[str, S]]:
    """Reads an array of tables; returns the valid ones, each with its location."""
    if not isinstance(value, list):
        faults.add(f"[[{name}]]", value, "an array of tables")
        return []
    valid_tables = []
    for i, entry in enumerate(value):
        entry_name = entry.get("name") if isinstance(entry, dict) else None
        location = f"[[{name}]] {entry_name if isinstance(entry_name, str) else i + 1}"
        if (converted := read_table(struct_type, entry, location, faults)) is not None:
            valid_tables.append((location, converted))
    return valid_tables


def read_address(text: str, location: str, faults: Faults) -> tuple[str, int]:
    try:
        return split_address(text)
    except BadConfig:
        faults.add(location, text, "host:port")
        return "", 0


def _nested_table(annotation: Any) -> type[Table] | None:
    for candidate in (annotation, *get_args(annotation)):
        if isinstance(candidate, type) and issubclass(candidate, Table):
            return candidate
    return None


def _type_name(annotation: Any) -> str:
    return getattr(annotation, "__name__", str(annotation)).replace("typing.", "")
