"""The msgpack form of SWIM messages."""

from __future__ import annotations

from dataclasses import dataclass

from ochrespan.membership import messages as swim_messages
from ochrespan.transport.codec import message

from .member_table import MemberUpdate
from .messages import SwimMessage


@message("swim")
@dataclass(slots=True)
class SwimDatagram:
    """Kind of message, its plain fields, and its news as rows."""

    kind: int
    fields: list
    updates: list[list]


_KINDS: tuple[type, ...] = (
    swim_messages.Ping,
    swim_messages.Ack,
    swim_messages.Nack,
    swim_messages.PingRequest,
    swim_messages.Sync,
)
_update_fields = tuple(MemberUpdate.__dataclass_fields__)


def pack(value: SwimMessage) -> SwimDatagram:
    names = [name for name in value.__dataclass_fields__ if name != "updates"]
    rows = [[getattr(item, name) for name in _update_fields] for item in getattr(value, "updates", [])]
    return SwimDatagram(_KINDS.index(type(value)), [getattr(value, name) for name in names], rows)


def unpack(datagram: SwimDatagram) -> SwimMessage:
    """Raises ValueError, TypeError or IndexError where the datagram is malformed."""
    kind = _KINDS[datagram.kind]
    updates = [MemberUpdate(*row[: len(_update_fields)]) for row in datagram.updates]
    return kind(*datagram.fields) if kind is swim_messages.Nack else kind(*datagram.fields, updates)
