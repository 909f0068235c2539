"""Types, events, actions and settings of the front's scheduling decisions. This module decides nothing itself.

All times are in seconds: points of time on the caller's clock, or durations. Work is counted in units.
`Scheduler.handle(now, events)` in `policy/front.py` takes a list of events and returns a list of actions.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether and how the requests of a class may be repeated."""

    SAFE = "safe"  # may always be repeated or refused
    DEDUPLICATED_BY_KEY = "keyed"  # nodes of a `Group` drop repeats of the same key for a time
    UNSAFE = "unsafe"  # may be repeated only if it never ran


class Group(Enum):
    """Which nodes drop repeats of a request that is DEDUPLICATED_BY_KEY."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # may have run
    FULL = "full"  # never ran
    TIMEOUT = "timeout"  # may have run, or still run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # may have run, or still run
    CANCELLED = "cancelled"  # may have run, or still run
    MOOT = "moot"  # never sent
    UNKNOWN = "unknown"  # an unrecognized result: may have run, or still run


class NodeState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    DELTA = "delta"  # only the changed entries
    FULL = "full"  # the complete list; a node that is missing is gone
    CACHED = "cached"  # the complete list as last known; may be outdated
    FAILED = "failed"  # a call failed or the subscription broke; the known list stays in use
    MOVED = "moved"  # discovery has a new address; the old subscription stays until that is called, or breaks


# ---- settings ----


@dataclass(slots=True)
class RequestClass:
    """Requests with the same latency target and the same effect. The decisions do not use `late_value_fraction`."""

    name: str
    latency_target: float  # from arrival to response
    deadline: float  # the most time that a request of the class has
    value: float = 1.0  # of a request, relative to other classes
    late_value_fraction: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.CELL
    window: float = 0.0  # how long nodes drop repeats, if DEDUPLICATED_BY_KEY
    in_order: bool = False  # requests of one key run one at a time


@dataclass(slots=True)
class Plan:
    """What a volume is entitled to."""

    name: str
    rate: float = 0.0  # nominal; not used by the decisions
    weight: float = 1.0  # of its flows in the scheduler
    price: float = 1.0  # multiplies the value of its requests
    reserve: float = 0.0  # units a second
    limit: float = 0.0  # units a second; 0: no limit
    limit_burst: float = 0.0  # units


@dataclass(slots=True)
class Settings:
    """The settings of a front process at its start. None means that the rule or feature is absent."""

    seed: int = 0
    fronts: int = 1  # front processes in all
    shards: int = 1  # in all; 1: unknown, or data is not placed by shard
    zone: str = ""
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    tick: float = 0.0  # least time between two batches of events
    list_on_request: bool = False  # the list of nodes comes only when requested
    max_poll_interval: float | None = None  # between calls for the list; 0: updates count as received once available
    can_cancel: bool = False
    can_probe: bool = False
    second_copies: bool = False
    sends_retry_after: bool = False  # refusals tell the client when to retry
    max_attempts: int = 1  # of one request
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    report_in_responses: bool = False
    mean_units: float = 1.0  # of a request
    max_units: float = 1.0  # of a request
    unreserved_value: float = 1.0  # value of a request outside its volume's reserve, relative to one within
    spare_value: float = 1.0  # not used by the decisions
    slow_start_units: float | None = None  # that all fronts may send to a node that just started, per overload window
    start_capacity: float | None = None  # of a node that just started, as a fraction of its full capacity
    overload_multiple: float | None = None  # of a cold node's capacity: such a load for overload_window makes it fail
    warm_up: float | None = None  # time from start_capacity to full capacity, at most
    overload_window: float | None = None  # the time over which a load counts as overload
    key_cooldown: float | None = None  # a key waits this long after an attempt that may still run
    retry_budget_base: float | None = None  # attempts after the first: this number ...
    retry_budget_ratio: float | None = None  # ... plus this fraction of the accepted requests ...
    retry_budget_window: float | None = None  # ... within this time


# ---- events ----


@dataclass(slots=True)
class Request:
    id: str
    volume: str
    cls: str
    plan: str
    time_left: float  # until the client gives up
    units: float = 1.0
    shard: int = -1  # -1: a new object, any node may take it
    key: str = ""
    fronts: int = 0  # fronts that serve the volume; 0: unknown
    max_attempts: int = 0  # that are paid for; 0: as many as the settings allow


@dataclass(slots=True)
class Outcome:
    request_id: str
    attempt: int
    node: str
    status: Status
    latency: float
    closed: bool = False  # the request has ended
    report: dict[str, float] = field(default_factory=dict)  # load metrics of the node
    used_fraction: float | None = None  # of the volume's rate, used over all fronts in the last period
    units_elsewhere: float = 0.0  # units that the shard served to other fronts for the volume since its last response
    max_attempts: int = 0  # that are paid for by now; 0: unchanged


@dataclass(slots=True)
class Started:
    """A streamed response has begun; the request's deadline no longer applies."""

    request_id: str


@dataclass(slots=True)
class Gone:
    """The client disconnected; it needs no answer."""

    request_id: str


@dataclass(slots=True)
class Ending:
    """The process will end: every request, also later ones, gets its final answer by `at`."""

    at: float


@dataclass(slots=True)
class NodeEntry:
    id: str
    shard: int = -1
    state: NodeState = NodeState.READY
    started_at: float | None = None  # None: long ago
    zone: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class NodeList:
    kind: ListKind
    entries: list[NodeEntry] = field(default_factory=list)


@dataclass(slots=True)
class Timer:
    token: int


@dataclass(slots=True)
class ProbeResult:
    node: str
    status: Status
    latency: float
    report: dict[str, float] = field(default_factory=dict)


Event = Request | Outcome | Started | Gone | Ending | NodeList | Timer | ProbeResult


# ---- actions ----


@dataclass(slots=True)
class Send:
    request_id: str
    node: str
    timeout: float
    begin_within: float = math.inf  # a connection may take time to open; the attempt must not begin later


@dataclass(slots=True)
class Refuse:
    """Final answer: the client can safely retry."""

    request_id: str
    retry_after: float = 0.0  # 0: not told to the client


@dataclass(slots=True)
class Fail:
    """Final answer: the request may have run."""

    request_id: str


@dataclass(slots=True)
class Cancel:
    """Stops waiting for an attempt; its outcome still follows."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(slots=True)
class WatchList:
    """Subscribes to changes of the list of nodes."""


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | WatchList | Log
