"""The wire form of SWIM messages: one registered msgpack message for all kinds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrespan.transport.codec import message

from .errors import MalformedMessageError
from .member_table import MemberUpdate
from .messages import Ack, Nack, Ping, PingRequest, SwimMessage, Sync


@message("swim")
@dataclass(slots=True)
class SwimDatagram:
    """The kind of a message, its fields other than `updates`, and its updates as rows of field values."""

    kind: int
    fields: list[Any]
    updates: list[list[Any]]


_KINDS: tuple[type, ...] = (Ping, Ack, Nack, PingRequest, Sync)  # the position is the number on the wire
_update_fields = tuple(MemberUpdate.__dataclass_fields__)


def pack(value: SwimMessage) -> SwimDatagram:
    """The wire form of a message."""
    names = [name for name in value.__dataclass_fields__ if name != "updates"]
    rows = [[getattr(update, name) for name in _update_fields] for update in getattr(value, "updates", [])]
    return SwimDatagram(_KINDS.index(type(value)), [getattr(value, name) for name in names], rows)


def unpack(datagram: SwimDatagram) -> SwimMessage:
    """The message of a datagram. Further fields of an update, from a newer version, are ignored.

    Raises:
        MalformedMessageError: The kind is unknown, or the fields don't fit it.
    """
    try:
        kind = _KINDS[datagram.kind]
        updates = [MemberUpdate(*row[: len(_update_fields)]) for row in datagram.updates]
        return kind(*datagram.fields) if kind is Nack else kind(*datagram.fields, updates)
    except (ValueError, TypeError, IndexError, AttributeError) as error:  # AttributeError: a message of another type
        raise MalformedMessageError(repr(error)) from error
