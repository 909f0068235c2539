"""The msgpack form of SWIM messages."""

from __future__ import annotations

from dataclasses import dataclass

from ochrespan.membership import messages as swim_messages
from ochrespan.transport.codec import message

from .member_table import News
from .messages import SwimMessage


@message("swim")
@dataclass(slots=True)
class SwimDatagram:
    """Kind of message, its plain fields, and its news as rows."""

    kind: int
    fields: list
    news: list[list]


_KINDS: tuple[type, ...] = (
    swim_messages.Ping,
    swim_messages.Ack,
    swim_messages.Nack,
    swim_messages.PingRequest,
    swim_messages.Sync,
)
_news_fields = tuple(News.__dataclass_fields__)


def pack(value: SwimMessage) -> SwimDatagram:
    names = [name for name in value.__dataclass_fields__ if name != "news"]
    rows = [[getattr(item, name) for name in _news_fields] for item in getattr(value, "news", [])]
    return SwimDatagram(_KINDS.index(type(value)), [getattr(value, name) for name in names], rows)


def unpack(datagram: SwimDatagram) -> SwimMessage:
    """Raises ValueError, TypeError or IndexError where the datagram is malformed."""
    kind = _KINDS[datagram.kind]
    news = [News(*row[: len(_news_fields)]) for row in datagram.news]
    return kind(*datagram.fields) if kind is swim_messages.Nack else kind(*datagram.fields, news)
