"""Prints, as JSON, the fields and defaults of every message type that some module of the program registers.

It runs in a process of its own (`python -m tests.golden.registered_messages`), so that message types that tests
register are not among them.
"""

from __future__ import annotations

import dataclasses
import importlib
import json
import pkgutil

import ochrespan
from ochrespan.transport import codec


def import_all_modules() -> None:
    """Imports every module of the program except the entry points, which would run it."""
    for module in pkgutil.walk_packages(ochrespan.__path__, f"{ochrespan.__name__}."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def describe_field(field: dataclasses.Field) -> str:
    """The name of a field, with its default where it has one: `name` or `name=default`."""
    if field.default_factory is not dataclasses.MISSING:
        return f"{field.name}={field.default_factory()!r}"
    if field.default is not dataclasses.MISSING:
        return f"{field.name}={field.default!r}"
    return field.name


def describe_registered_messages() -> dict[str, list[str]]:
    """The fields of each registered message type in order, by tag."""
    return {
        tag: [describe_field(field) for field in dataclasses.fields(message_type)]
        for tag, message_type in sorted(codec._types_by_tag.items())
    }


if __name__ == "__main__":
    import_all_modules()
    print(json.dumps(describe_registered_messages()))
