"""What the scheduler is told and what it answers: requests, servers, outcomes of attempts, actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .decision_record import DecisionRecord


@dataclass(slots=True)
class Request:
    """One try of a client, as the relay has read it."""

    id: str
    service: str
    tenant: str
    route: str
    priority: int  # 0 is the highest; the tenant's rank counts before the route's
    safe: bool  # may run more than once
    resumable: bool  # a stream that may be taken up at another server
    streaming: bool
    latency_target_s: float  # s from arrival to the first piece
    deadline: float  # on the steady clock: the client's, or the end of the route's timeout if that is sooner
    max_servers: int  # the most servers that this try may be sent to
    tokens_in: int = 0  # 0 where the request has no tokens
    tokens_out: int = 0
    prefix: tuple[tuple[str, int], ...] = ()  # parts of the prompt in order: id and tokens
    arrived_at: float = 0.0
    affinity_server_id: str = ""  # the server that keeps the shared parts, where that is known
    is_prefix_uncached: bool = False  # no server is known to have read the shared parts
    record: DecisionRecord | None = None  # where its decisions are recorded

    @property
    def shared_tokens(self) -> int:
        """Of the prompt's parts that other requests share: all but the last."""
        return sum(tokens for _, tokens in self.prefix[:-1])


@dataclass(slots=True)
class Server:
    """One incarnation of a server, as the routing table has it."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int  # requests worked on at the same time
    kv_tokens: int = 0  # memory for tokens, 0 where it is not known
    draining: bool = False
    slow_start_ends_at: float = 0.0
    max_connections: int = 0  # over all routers, 0 where it is not known


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED_STATUS = "failed status"  # the server's own failure, passed on to the client
    REJECTED_FULL = "rejected full"  # not run: the server says so
    MISDIRECTED = "misdirected"  # not run: another incarnation is at the address
    NOT_SENT = "not sent"  # not run: the connection failed before the last byte was written
    LOST = "lost"  # may have run: reset, closed or silent after that
    GARBLED = "garbled"  # may have run: the answer cannot be read
    TIMED_OUT = "timed out"  # may have run: `send_within` was over
    CANCELLED = "cancelled"  # the client has left


NEVER_RAN = frozenset({Outcome.REJECTED_FULL, Outcome.MISDIRECTED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to this server; the attempt has to end within `send_within` seconds."""

    request_id: str
    server_id: str
    attempt: int  # counts from 1
    priority: int  # for the `Priority` header, 0 to 9
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer 429 or 503: the request has not run, or may be repeated; `retry_after` in seconds."""

    request_id: str
    status: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer 502 or 504: the request may have run."""

    request_id: str
    status: int


Action = Send | Refuse | Fail
