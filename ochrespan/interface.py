"""Types, events, actions and settings of the decision module. No choice is made here.

All times are in seconds: points of time on the caller's clock, or lengths. `Scheduler.handle(now, events)` in
`policy/front.py` takes a list of events and returns a list of actions.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # repeat and refuse at will
    KEYED = "keyed"  # a group of nodes drops repeats for a while
    UNSAFE = "unsafe"  # repeat only what never ran


class Group(Enum):
    """The nodes that drop repeats of one keyed request."""

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
    UNKNOWN = "unknown"  # a word that is not known: may have run, or still run


class NodeState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    DELTA = "delta"  # only the changed entries
    FULL = "full"  # the whole list; a node that is missing is gone
    CACHED = "cached"  # the whole list as it was last known; may be old
    FAILED = "failed"  # a call failed or the subscription broke; the old list stays
    MOVED = "moved"  # discovery is to be asked elsewhere; the old subscription stands until then, or breaks


# ---- settings ----


@dataclass(slots=True)
class RequestClass:
    name: str
    latency_target: float
    deadline: float
    value: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.CELL
    window: float = 0.0  # how long repeats of a keyed request are dropped
    in_order: bool = False


@dataclass(slots=True)
class Plan:
    name: str
    rate: float = 0.0
    weight: float = 1.0
    price: float = 1.0
    reserve: float = 0.0  # units a second
    limit: float = 0.0  # units a second; 0: no limit
    limit_burst: float = 0.0


@dataclass(slots=True)
class Settings:
    """What a head is told at its start. None means that the rule or feature is absent."""

    seed: int = 0
    fronts: int = 1
    shards: int = 1  # in all; 1: not told, or data has no place of its own
    zone: str = ""
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    tick: float = 0.0  # least time between batches
    list_on_request: bool = False
    max_poll_interval: float | None = (
        None  # how long a head may go without asking; 0: what it could hear counts as told
    )
    can_cancel: bool = False
    can_probe: bool = False
    second_copies: bool = False
    sends_retry_after: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    report_in_answers: bool = False
    mean_units: float = 1.0
    max_units: float = 1.0
    share_value: float = 1.0
    spare_value: float = 1.0
    cold_units: float | None = None
    start_capacity: float | None = None
    overload_multiple: float | None = None  # of what a cold node can do, for the overload window: it falls over
    warm_up: float | None = None
    overload_window: float | None = None
    key_cooldown: float | None = None
    retry_budget_base: float | None = None  # attempts beyond the first: so many ...
    retry_budget_ratio: float | None = None  # ... and this share of the requests taken ...
    retry_budget_window: float | None = None  # ... in this time


# ---- events ----


@dataclass(slots=True)
class Request:
    id: str
    volume: str
    cls: str
    plan: str
    time_left: float
    units: float = 1.0
    shard: int = -1  # -1: a new object, any node may take it
    key: str = ""
    fronts: int = 0  # heads through which the volume works; 0: not told
    max_attempts: int = 0  # that are paid for; 0: as many as the settings allow


@dataclass(slots=True)
class Outcome:
    request_id: str
    attempt: int
    node: str
    status: Status
    latency: float
    closed: bool = False  # the request is over
    report: dict[str, float] = field(default_factory=dict)
    used_fraction: float | None = None  # what the volume got everywhere in a finished period, part of its rate
    units_elsewhere: float = 0.0  # units this shard served for the volume through others since its last answer
    max_attempts: int = 0  # that are paid for by now; 0: as the request said


@dataclass(slots=True)
class Started:
    """A streamed answer has begun; its deadline no longer runs."""

    request_id: str


@dataclass(slots=True)
class Gone:
    """The client left; no answer is owed."""

    request_id: str


@dataclass(slots=True)
class Ending:
    """The head is about to end: by then every request has its final answer."""

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
    begin_within: float = math.inf  # a connection may take its time: not to be begun later


@dataclass(slots=True)
class Refuse:
    """Final: trying again is harmless."""

    request_id: str
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final: promises nothing."""

    request_id: str


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt; its outcome still comes."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(slots=True)
class WatchList:
    """Ask for the changes of the list from now on."""


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | WatchList | Log
