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

MAX_SCANNED = 4  # requests of a flow that are looked at: one whose server is full does not hold up the others


@dataclass(slots=True, eq=False)
class Job:
    """A request until its end."""

    request: Request
    flow: Flow
    units: float
    prompt: Prompt
    is_promoted: bool = False
    promoted_at: float = 0.0
    is_waiting: bool = True  # waits for a send
    is_done: bool = False
    attempts: int = 0
    servers_reached: int = 0  # that it reached, as far as they may have seen it
    may_have_run: bool = False
    response_started: bool = False  # a part of an answer has come
    tried_server_ids: list[str] = field(default_factory=list)
    server: ServerState | None = None  # where it is out

    @property
    def is_idempotent(self) -> bool:
        return self.request.safe or self.request.resumable


Queues = dict[Flow, deque[Job]]


class FlowQueues:
    """What waits for the servers of one service."""

    def __init__(self) -> None:
        self._flow_queues: Queues = {}
        self._scheduler_queues: Queues = {}  # the scheduler queue
        self._max_usage = 0.0

    def __bool__(self) -> bool:
        return bool(self._flow_queues or self._scheduler_queues)

    def add(self, job: Job, at_front: bool = False) -> None:
        """Into its flow's queue; what was promoted once stays in the scheduler queue."""
        queue = (self._scheduler_queues if job.is_promoted else self._flow_queues).setdefault(job.flow, deque())
        (queue.appendleft if at_front else queue.append)(job)

    def charge(self, now: float, job: Job) -> None:
        """Counts a request's units as allocated to its flow, once."""
        if not job.is_promoted:
            job.is_promoted, job.promoted_at = True, now
            job.flow.normalized_usage += job.units / job.flow.weight
            self._max_usage = max(self._max_usage, job.flow.normalized_usage)

    def promote(self, now: float, queue_length: int) -> None:
        """LexAS: gates flow queues into the scheduler queue of this length."""
        if not self._flow_queues:
            return
        flows = list(self._flow_queues)
        lift_lagging(flows, self._max_usage)
        threshold = upper_threshold(flows)
        queued = sum(len(queue) for queue in self._scheduler_queues.values())
        while candidates := [
            job
            for job in _first_jobs(self._flow_queues)
            if not is_gated(job.flow.normalized_usage, threshold, queued, queue_length)
        ]:
            job = min(candidates, key=lambda first_job: first_job.flow.normalized_usage)
            self._flow_queues[job.flow].popleft()
            self.charge(now, job)
            self.add(job)
            queued += 1

    def in_arr_order(self) -> Iterator[Job]:
        """ARR: promoted requests, those of the flow with the smallest (a + 1) / delta first."""
        for first_job in sorted(_first_jobs(self._scheduler_queues), key=lambda first_job: rank(first_job.flow)):
            for job in islice(self._scheduler_queues[first_job.flow], MAX_SCANNED):
                if job.is_waiting:
                    yield job

    def remove(self, job: Job) -> None:
        """Out of the scheduler queue."""
        self._scheduler_queues[job.flow].remove(job)


def _first_jobs(queues: Queues) -> Iterator[Job]:
    """The first request of each flow that still waits; what is over leaves."""
    for flow, queue in list(queues.items()):
        while queue and not queue[0].is_waiting:
            queue.popleft()
        if queue:
            yield queue[0]
        else:
            del queues[flow]
