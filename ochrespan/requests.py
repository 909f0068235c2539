"""The core's words: requests, attempts, outcomes and ends, whichever front they came through. No wire, no policy."""

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
    """By what a request says it is covered. Empty: not said."""

    token: str = ""
    bucket: str = ""
    contract: Any = None  # what the gate itself told of an earlier step of the same work


@dataclass(slots=True, eq=False)
class Request:
    """What a front has taken and owes one final answer."""

    volume: str
    cls: str
    plan: str
    time_left: timedelta
    units: float = 1.0
    shard: int = -1
    key: str = ""
    hosts: int = 0
    claim: Claim | None = None  # None: needs no contract
    repeatable: bool = True  # whether a second attempt could send all of it again
    id: str = ""  # the broker's, for the log
    team: str = ""  # the contract's path, once it is known


class Unacceptable(ValueError):
    """A request that names what the settings do not know, or asks for more than one request may."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One try at one node, for so long; `limited` ends it early when the broker takes it back."""

    request: Request
    number: int
    node: str
    timeout: timedelta
    begin_within: timedelta | None = None  # from when it was decided; later it must not begin any more
    revoked: bool = False
    _timeout_scope: asyncio.Timeout | None = None
    _decided_at: float = field(default_factory=time.monotonic)

    @property
    def may_start(self) -> bool:
        late = self.begin_within is not None and time.monotonic() - self._decided_at > self.begin_within.total_seconds()
        return not (self.revoked or late)

    @asynccontextmanager
    async def time_limit(self) -> AsyncIterator[None]:
        """A time limit round the exchange; TimeoutError when the front has to stop waiting."""
        if self.revoked:
            raise TimeoutError
        try:
            async with asyncio.timeout(self.timeout.total_seconds()) as self._timeout_scope:
                yield
        finally:
            self._timeout_scope = None

    def suspend_timeout(self) -> None:
        """Its time does not run while a long body is being sent: it is for the answer."""
        if self._timeout_scope is not None and not self.revoked and not self._timeout_scope.expired():
            self._timeout_scope.reschedule(None)

    def restart_timeout(self) -> None:
        """From now on it has all of its time."""
        if self._timeout_scope is not None and not self.revoked and not self._timeout_scope.expired():
            self._timeout_scope.reschedule(asyncio.get_running_loop().time() + self.timeout.total_seconds())

    def revoke(self) -> None:
        self.revoked = True
        # a limit that is just running out cannot be moved: the error would take the actions that follow with it
        if self._timeout_scope is not None and not self._timeout_scope.expired():
            self._timeout_scope.reschedule(asyncio.get_running_loop().time())


@dataclass(frozen=True, slots=True)
class Refused:
    """Final: trying again is harmless, after so long where that is told."""

    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Final: promises nothing."""


@dataclass(frozen=True, slots=True)
class NotCovered:
    """Final: no contract allows it, now or later."""

    rule: str
    team: str = ""
    message: str = ""


@dataclass(frozen=True, slots=True)
class OverBudget:
    """Final: the contract's budget does not bear it now; it will after so long."""

    rule: str
    team: str
    retry_after: timedelta


Final = Refused | Failed | NotCovered | OverBudget


class Reservation(Protocol):
    """What an admitted request holds of its budgets."""

    @property
    def attempts(self) -> int:
        """The most that are paid for."""

    @property
    def plan(self) -> str: ...

    @property
    def team(self) -> str: ...


class AdmissionGate(Protocol):
    """Admission before the decision module; `now` is Unix time in seconds."""

    def admit(self, now: float, request: Request) -> Reservation | NotCovered | OverBudget: ...

    def extend(self, now: float, reservation: Reservation) -> None:
        """Pays for one more attempt, if the budgets bear it."""

    def release(self, now: float, reservation: Reservation, sent: int, ran: int) -> None:
        """The end of what was admitted: so many attempts sent, so many of which may have run."""

    def record_usage_elsewhere(self, now: float, reservation: Reservation, units: float) -> None:
        """So many units of the request's volume were served through other fronts."""


@dataclass(slots=True)
class Outcome:
    attempt: Attempt
    status: Status
    latency: timedelta
    streaming: bool = False  # served, and still being passed on: `Broker.finish` follows
    load: dict[str, float] = field(default_factory=dict)
    elsewhere: float = 0.0


@dataclass(slots=True)
class Node:
    """An entry of the list of chunk servers."""

    id: str
    shard: int = -1
    state: NodeState = NodeState.READY
    started_at: datetime | None = None
    zone: str = ""
    weight: float = 1.0


@dataclass(slots=True)
class Usage:
    """What one plan has had in one class."""

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    units: float = 0.0  # served
    waited: timedelta = timedelta()  # from taken to served, summed


@dataclass(slots=True)
class Counts:
    """What has happened since the start, for the exporters."""

    attempts: int = 0
    dispatches: int = 0  # attempts that were written whole
    not_covered: int = 0  # refused before they were taken: no contract allows them ...
    over_budget: int = 0  # ... or not now
    outcomes: dict[Status, int] = field(default_factory=lambda: dict.fromkeys(Status, 0))
    usage: dict[tuple[str, str], Usage] = field(default_factory=dict)  # by plan and class
