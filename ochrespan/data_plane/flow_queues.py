"""The queues of one service: flow queues, and its part of the scheduler queue, which LexAS gates and ARR picks from."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from ..policy.arr import rank
from ..policy.gating import is_gated, lift_lagging, upper_threshold
from .decisions import Request
from .flows import Flow
from .placement import Prompt
from .server_state import ServerState

SCANNED = 4  # requests of a flow that are looked at: one whose server is full does not hold up the others


@dataclass(slots=True, eq=False)
class Job:
    """A request until its end."""

    request: Request
    flow: Flow
    units: float
    prompt: Prompt
    promoted: bool = False
    promoted_at: float = 0.0
    held: bool = True  # waits for a send
    done: bool = False
    attempts: int = 0
    servers: int = 0  # that it reached, as far as they may have seen it
    may_have_run: bool = False
    started: bool = False  # a part of an answer has come
    tried: list[str] = field(default_factory=list)
    server: ServerState | None = None  # where it is out

    @property
    def is_idempotent(self) -> bool:
        return self.request.safe or self.request.resumable


Queues = dict[Flow, deque[Job]]


class FlowQueues:
    """What waits for the servers of one service."""

    def __init__(self) -> None:
        self._waiting: Queues = {}
        self._ready: Queues = {}  # the scheduler queue
        self._eta_top = 0.0

    def __bool__(self) -> bool:
        return bool(self._waiting or self._ready)

    def add(self, job: Job, first: bool = False) -> None:
        """Into its flow's queue; what was promoted once stays in the scheduler queue."""
        queue = (self._ready if job.promoted else self._waiting).setdefault(job.flow, deque())
        (queue.appendleft if first else queue.append)(job)

    def charge(self, now: float, job: Job) -> None:
        """Counts a request's units as allocated to its flow, once."""
        if not job.promoted:
            job.promoted, job.promoted_at = True, now
            job.flow.eta += job.units / job.flow.weight
            self._eta_top = max(self._eta_top, job.flow.eta)

    def promote(self, now: float, length: int) -> None:
        """LexAS: gates flow queues into the scheduler queue of this length."""
        if not self._waiting:
            return
        flows = list(self._waiting)
        lift_lagging(flows, self._eta_top)
        t_max = upper_threshold(flows)
        ready = sum(len(queue) for queue in self._ready.values())
        while heads := [job for job in _heads(self._waiting) if not is_gated(job.flow.eta, t_max, ready, length)]:
            job = min(heads, key=lambda head: head.flow.eta)
            self._waiting[job.flow].popleft()
            self.charge(now, job)
            self.add(job)
            ready += 1

    def in_turn(self) -> Iterator[Job]:
        """ARR: promoted requests, those of the flow with the smallest (a + 1) / delta first."""
        for head in sorted(_heads(self._ready), key=lambda head: rank(head.flow)):
            for job in islice(self._ready[head.flow], SCANNED):
                if job.held:
                    yield job

    def remove(self, job: Job) -> None:
        """Out of the scheduler queue."""
        self._ready[job.flow].remove(job)


def _heads(queues: Queues) -> Iterator[Job]:
    """The first request of each flow that still waits; what is over leaves."""
    for flow, queue in list(queues.items()):
        while queue and not queue[0].held:
            queue.popleft()
        if queue:
            yield queue[0]
        else:
            del queues[flow]
