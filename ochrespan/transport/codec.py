"""Encoding of typed messages: a dataclass that is registered under a short tag becomes a msgpack array.

The first element is the tag, the others are the fields in order. A field that is missing at the end takes its default,
and further elements are ignored, so a process of a newer version may add fields at the end.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

import ormsgpack

from .errors import MessageError as MessageError  # the alias exports it

MessageType = TypeVar("MessageType", bound=type)

MAX_SHOWN_CHARACTERS = 40  # of an unknown tag, in the error

_types_by_tag: dict[str, type] = {}
_tags_by_type: dict[type, str] = {}
_field_names: dict[type, tuple[str, ...]] = {}


def message(tag: str) -> Callable[[MessageType], MessageType]:
    """Registers a dataclass as a message type.

    Args:
        tag: Names the type on the wire; unique in a process.

    Raises:
        ValueError: Another type has this tag. Raised when the dataclass is decorated.
    """

    def register(message_type: MessageType) -> MessageType:
        """Adds the class under the tag, which no other class may have."""
        if tag in _types_by_tag:
            raise ValueError(f"tag {tag!r} is registered for {_types_by_tag[tag].__name__} already")
        _types_by_tag[tag] = message_type
        _tags_by_type[message_type] = tag
        _field_names[message_type] = tuple(field.name for field in dataclasses.fields(message_type))
        return message_type

    return register


def encode(value: Any) -> bytes:
    """The bytes of a registered message. Field values: None, bool, int, float, str, bytes, lists, tuples and dicts."""
    message_type = type(value)
    fields = [getattr(value, name) for name in _field_names[message_type]]
    return ormsgpack.packb([_tags_by_type[message_type], *fields], option=ormsgpack.OPT_NON_STR_KEYS)


def decode(data: bytes) -> Any:
    """The message in `data`.

    Raises:
        MessageError: `data` is no msgpack array, its tag is not registered, or a field without default is missing.
    """
    try:
        elements = ormsgpack.unpackb(data, option=ormsgpack.OPT_NON_STR_KEYS)
    except ValueError as error:
        raise MessageError("message", str(error), "one msgpack value") from error
    if not isinstance(elements, list) or not elements or not isinstance(elements[0], str):
        raise MessageError("message", type(elements).__name__, "an array that begins with a tag")
    message_type = _types_by_tag.get(elements[0])
    if message_type is None:
        raise MessageError("message tag", repr(elements[0][:MAX_SHOWN_CHARACTERS]), "a registered tag")
    names = _field_names[message_type]
    try:
        return message_type(*elements[1 : 1 + len(names)])
    except TypeError as error:
        raise MessageError(f"message {elements[0]}", f"{len(elements) - 1} fields", f"{len(names)} fields") from error
