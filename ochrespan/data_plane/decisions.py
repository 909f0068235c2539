"""Inputs and outputs of the scheduler: requests, servers, outcomes of attempts, actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .decision_record import DecisionRecord


@dataclass(slots=True)
class Request:
    """One request of a client, as parsed by the front. A retry by the client is a new request."""

    id: str
    service: str
    tenant: str
    route: str
    priority: int  # 0 is the highest; ordered by the tenant's rank, then the route's
    safe: bool  # idempotent: may be executed more than once
    resumable: bool  # a stream that may be resumed at another server
    streaming: bool
    latency_target_s: float  # from arrival to the first chunk of the response
    deadline: float  # monotonic time: the client's deadline, or the end of the route's timeout if that is earlier
    max_servers: int  # highest number of servers that this request may reach
    tokens_in: int = 0  # 0 if the request has no token counts
    tokens_out: int = 0
    prefix: tuple[tuple[str, int], ...] = ()  # segments of the prompt in order: id and number of tokens
    arrived_at: float = 0.0  # monotonic time
    affinity_server_id: str = ""  # the server assigned to the shared prefix; empty if unknown
    is_prefix_uncached: bool = False  # no server is known to have the shared prefix cached
    record: DecisionRecord | None = None  # None if the request is not sampled

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared prefix: all segments of the prompt but the last."""
        return sum(tokens for _, tokens in self.prefix[:-1])


@dataclass(slots=True)
class Server:
    """One incarnation of a server, as listed in the routing table."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int  # concurrent requests
    kv_tokens: int = 0  # size of the KV cache in tokens, 0 if unknown
    draining: bool = False
    slow_start_ends_at: float = 0.0
    max_connections: int = 0  # over all routers, 0 if unknown


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED_STATUS = "failed status"  # an error of the server itself, forwarded to the client
    REJECTED_FULL = "rejected full"  # not executed: the server answered that it is full
    MISDIRECTED = "misdirected"  # not executed: another incarnation listens at the address
    NOT_SENT = "not sent"  # not executed: the connection failed before the last byte of the request was written
    LOST = "lost"  # may have executed: reset, closed or no data after the request was written
    GARBLED = "garbled"  # may have executed: the response is malformed
    TIMED_OUT = "timed out"  # may have executed: no end within `Send.timeout_s`
    CANCELLED = "cancelled"  # the client disconnected


NEVER_RAN = frozenset({Outcome.REJECTED_FULL, Outcome.MISDIRECTED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to this server; the attempt has to end within `timeout_s` seconds."""

    request_id: str
    server_id: str
    attempt: int  # counts from 1
    priority: int  # for the `Priority` header, 0 to 9
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Respond with 429 or 503: the request was not executed, or may be retried; `retry_after` is in seconds."""

    request_id: str
    status: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Respond with 502 or 504: the request may have been executed."""

    request_id: str
    status: int


Action = Send | Refuse | Fail
