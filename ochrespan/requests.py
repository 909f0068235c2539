"""Requests, attempts, outcomes and final answers, independent of the client protocol and of the scheduler."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Protocol

from .interface import ListKind, NodeState, Status

__all__ = [
    "Attempt",
    "Claim",
    "Counts",
    "Failed",
    "Final",
    "AdmissionGate",
    "Reservation",
    "ListKind",
    "Node",
    "NodeState",
    "NotCovered",
    "Outcome",
    "OverBudget",
    "Refused",
    "Request",
    "Status",
    "Unacceptable",
    "Usage",
]


@dataclass(frozen=True, slots=True)
class Claim:
    """What a client presents to identify its contract; empty fields are absent."""

    token: str = ""
    bucket: str = ""
    contract: Any = None  # the contract that the gate found in an earlier step of the same operation


@dataclass(slots=True, eq=False)
class Request:
    """A client request that a front has accepted; it gets exactly one final answer."""

    volume: str
    cls: str
    plan: str
    time_left: timedelta
    units: float = 1.0
    shard: int = -1
    key: str = ""
    hosts: int = 0
    claim: Claim | None = None  # None: no contract is needed
    replayable: bool = True  # whether the complete body is available for another attempt
    id: str = ""  # assigned by the broker, for log lines
    team: str = ""  # the contract's path, after admission


class Unacceptable(ValueError):
    """The plan or class is not defined, the shard is below -1, or the units are not above 0 and at most `max_units`."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one chunk server; `time_limit` ends it at its timeout, or early when it is revoked."""

    request: Request
    number: int
    node: str
    timeout: timedelta
    begin_within: timedelta | None = None  # latest start of sending, counted from the scheduling decision
    revoked: bool = False
    _timeout_scope: asyncio.Timeout | None = None
    _decided_at: float = field(default_factory=time.monotonic)

    @property
    def may_start(self) -> bool:
        late = self.begin_within is not None and time.monotonic() - self._decided_at > self.begin_within.total_seconds()
        return not (self.revoked or late)

    @asynccontextmanager
    async def time_limit(self) -> AsyncIterator[None]:
        """Applies the timeout to the body of the context; raises TimeoutError at its end or on revocation."""
        if self.revoked:
            raise TimeoutError
        try:
            async with asyncio.timeout(self.timeout.total_seconds()) as self._timeout_scope:
                yield
        finally:
            self._timeout_scope = None

    def suspend_timeout(self) -> None:
        """Suspends the timeout while a long body is being sent: it bounds the wait for the response."""
        if self._timeout_scope is not None and not self.revoked and not self._timeout_scope.expired():
            self._timeout_scope.reschedule(None)

    def restart_timeout(self) -> None:
        """Starts the full timeout again from now."""
        if self._timeout_scope is not None and not self.revoked and not self._timeout_scope.expired():
            self._timeout_scope.reschedule(asyncio.get_running_loop().time() + self.timeout.total_seconds())

    def revoke(self) -> None:
        self.revoked = True
        # rescheduling an expired timeout raises an error, which would lose the scheduler's following actions
        if self._timeout_scope is not None and not self._timeout_scope.expired():
            self._timeout_scope.reschedule(asyncio.get_running_loop().time())


@dataclass(frozen=True, slots=True)
class Refused:
    """Final: the request may be retried, after `retry_after` where it is set."""

    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Final: the request may have been executed or not."""


@dataclass(frozen=True, slots=True)
class NotCovered:
    """Final: no contract allows the request; a retry will not help."""

    rule: str
    team: str = ""
    message: str = ""


@dataclass(frozen=True, slots=True)
class OverBudget:
    """Final: the contract's budget does not cover the request now, but will after `retry_after`."""

    rule: str
    team: str
    retry_after: timedelta


Final = Refused | Failed | NotCovered | OverBudget


class Reservation(Protocol):
    """The part of the budgets that an admitted request has reserved."""

    @property
    def attempts(self) -> int:
        """The number of attempts that are reserved."""

    @property
    def plan(self) -> str: ...

    @property
    def team(self) -> str: ...


class AdmissionGate(Protocol):
    """Admission control in front of the scheduler; `now` is Unix time in seconds."""

    def admit(self, now: float, request: Request) -> Reservation | NotCovered | OverBudget: ...

    def extend(self, now: float, reservation: Reservation) -> None:
        """Reserves one more attempt, if the budgets allow it."""

    def release(self, now: float, reservation: Reservation, sent: int, ran: int) -> None:
        """Ends a reservation: `sent` attempts were sent, `ran` of them may have been executed."""

    def record_usage_elsewhere(self, now: float, reservation: Reservation, units: float) -> None:
        """Takes the units of the request's volume that were served through other fronts."""


@dataclass(slots=True)
class Outcome:
    attempt: Attempt
    status: Status
    latency: timedelta
    streaming: bool = False  # successful, body still being forwarded: `Broker.finish` follows
    load: dict[str, float] = field(default_factory=dict)
    elsewhere: float = 0.0


@dataclass(slots=True)
class Node:
    """An entry in the list of chunk servers."""

    id: str
    shard: int = -1
    state: NodeState = NodeState.READY
    started_at: datetime | None = None
    zone: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class Usage:
    """Counters of one plan in one class; the field names become metric names."""

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    units: float = 0.0  # of served requests
    waited: timedelta = timedelta()  # sum of the times from acceptance to success


@dataclass(slots=True)
class Counts:
    """Counters since the start of the process, for the metrics exporters."""

    attempts: int = 0
    dispatches: int = 0  # attempts that were sent completely
    not_covered: int = 0  # requests refused at admission: not covered by a contract ...
    over_budget: int = 0  # ... or over their budget
    outcomes: dict[Status, int] = field(default_factory=lambda: dict.fromkeys(Status, 0))
    usage: dict[tuple[str, str], Usage] = field(default_factory=dict)  # by (plan, class)
