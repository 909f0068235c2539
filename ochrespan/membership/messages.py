"""Messages of SWIM membership; `updates` travels along with probes and their answers."""

from __future__ import annotations

from dataclasses import dataclass

from .member_table import MemberUpdate


@dataclass(slots=True)
class Ping:
    number: int
    updates: list[MemberUpdate]


@dataclass(slots=True)
class Ack:
    number: int
    updates: list[MemberUpdate]


@dataclass(slots=True)
class Nack:
    """The helper has no answer from the member that it was asked to probe; the helper itself is well."""

    number: int


@dataclass(slots=True)
class PingRequest:
    number: int
    host: str
    port: int
    updates: list[MemberUpdate]


@dataclass(slots=True)
class Sync:
    """All that the sender knows, in several messages; `answer` asks for the same in return."""

    answer: bool
    updates: list[MemberUpdate]


SwimMessage = Ping | Ack | Nack | PingRequest | Sync
