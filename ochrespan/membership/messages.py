"""Messages of SWIM membership. `updates` are piggybacked on probes and their acknowledgements.

The order of the fields is part of the wire format; `wire` defines the kinds and their numbers.
"""

from __future__ import annotations

from dataclasses import dataclass

from .member_table import MemberUpdate


@dataclass(slots=True)
class Ping:
    """A direct probe; the receiver replies with an `Ack` of the same sequence number."""

    sequence_number: int
    updates: list[MemberUpdate]


@dataclass(slots=True)
class Ack:
    """The sender is alive; if relayed for a `PingRequest`, the member named in that request is alive."""

    sequence_number: int
    updates: list[MemberUpdate]


@dataclass(slots=True)
class Nack:
    """The sender of an indirect probe has no acknowledgement from the probed member yet, but is itself healthy.

    Lifeguard's refinement: a missing Nack indicates that the requesting process itself may be the slow one.
    """

    sequence_number: int


@dataclass(slots=True)
class PingRequest:
    """Asks the receiver to probe the member at `host` and `port` on the sender's behalf: SWIM's `ping-req`."""

    sequence_number: int
    host: str
    port: int
    updates: list[MemberUpdate]


@dataclass(slots=True)
class Sync:
    """Anti-entropy: the sender's full table in several messages; `wants_reply` asks for the receiver's in return."""

    wants_reply: bool
    updates: list[MemberUpdate]


SwimMessage = Ping | Ack | Nack | PingRequest | Sync
