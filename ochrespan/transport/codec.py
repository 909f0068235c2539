"""Encoding of typed messages: a dataclass that is registered under a short tag becomes an ormsgpack array.

The first element is the tag, the others are the fields in order. A field that is missing at the end takes its default,
and further elements are ignored, so a process of a newer version may add fields at the end.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

import ormsgpack

MessageType = TypeVar("MessageType", bound=type)

_types_by_tag: dict[str, type] = {}
_tags_by_type: dict[type, str] = {}
_field_names: dict[type, tuple[str, ...]] = {}


class MessageError(ValueError):
    """Bytes that are no message: where the fault lies, what was found and what is allowed."""

    def __init__(self, where: str, found: str, allowed: str) -> None:
        super().__init__(f"{where}: found {found}, allowed {allowed}")
        self.where, self.found, self.allowed = where, found, allowed


def message(tag: str) -> Callable[[MessageType], MessageType]:
    """Registers a dataclass as a message type under `tag`, which has to be unique."""

    def register(message_type: MessageType) -> MessageType:
        if tag in _types_by_tag:
            raise ValueError(f"tag {tag!r} stands for {_types_by_tag[tag].__name__} already")
        _types_by_tag[tag] = message_type
        _tags_by_type[message_type] = tag
        _field_names[message_type] = tuple(field.name for field in dataclasses.fields(message_type))
        return message_type

    return register


def encode(value: Any) -> bytes:
    """The bytes of a registered message. Field values: None, bool, int, float, str, bytes, lists, tuples and maps."""
    message_type = type(value)
    fields = [getattr(value, name) for name in _field_names[message_type]]
    return ormsgpack.packb([_tags_by_type[message_type], *fields], option=ormsgpack.OPT_NON_STR_KEYS)


def decode(data: bytes) -> Any:
    """The message in `data`; raises MessageError."""
    try:
        parts = ormsgpack.unpackb(data, option=ormsgpack.OPT_NON_STR_KEYS)
    except ValueError as error:
        raise MessageError("message", str(error), "one msgpack value") from error
    if not isinstance(parts, list) or not parts or not isinstance(parts[0], str):
        raise MessageError("message", type(parts).__name__, "an array that begins with a tag")
    message_type = _types_by_tag.get(parts[0])
    if message_type is None:
        raise MessageError("message tag", repr(parts[0][:40]), "a registered tag")
    names = _field_names[message_type]
    try:
        return message_type(*parts[1 : 1 + len(names)])
    except TypeError as error:
        raise MessageError(f"message {parts[0]}", f"{len(parts) - 1} fields", f"{len(names)} fields") from error
