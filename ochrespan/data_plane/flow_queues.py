"""The queues of one service: flow queues, and the scheduler queue that LexAS fills and ARR takes requests from."""

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

MAX_SCANNED = 4  # requests per flow that are tried, so that one whose server is full does not block those behind it


@dataclass(slots=True, eq=False)
class Job:
    """A request from its submission to its final response."""

    request: Request
    flow: Flow
    units: float  # charged to the flow
    prompt: Prompt
    is_promoted: bool = False  # into the scheduler queue
    promoted_at: float = 0.0
    is_waiting: bool = True  # queued, not in flight
    is_done: bool = False
    attempts: int = 0
    servers_reached: int = 0  # servers that may have received the request
    may_have_run: bool = False
    response_started: bool = False  # the first chunk of a response has arrived
    tried_server_ids: list[str] = field(default_factory=list)
    server: ServerState | None = None  # the server of the attempt in flight

    @property
    def is_idempotent(self) -> bool:
        return self.request.safe or self.request.resumable


Queues = dict[Flow, deque[Job]]


class FlowQueues:
    """Requests that wait for a server of one service."""

    def __init__(self) -> None:
        self._flow_queues: Queues = {}
        self._scheduler_queues: Queues = {}  # the scheduler queue, by flow
        self._max_usage = 0.0

    def __bool__(self) -> bool:
        return bool(self._flow_queues or self._scheduler_queues)

    def add(self, job: Job, at_front: bool = False) -> None:
        """Queues a request of its flow; one that was promoted before, such as a retry, goes to the scheduler queue."""
        queue = (self._scheduler_queues if job.is_promoted else self._flow_queues).setdefault(job.flow, deque())
        (queue.appendleft if at_front else queue.append)(job)

    def charge(self, now: float, job: Job) -> None:
        """Adds the units of a request to the usage of its flow, once per request, and marks it as promoted."""
        if not job.is_promoted:
            job.is_promoted, job.promoted_at = True, now
            job.flow.normalized_usage += job.units / job.flow.weight
            self._max_usage = max(self._max_usage, job.flow.normalized_usage)

    def promote(self, now: float, queue_length: int) -> None:
        """LexAS: moves requests into the scheduler queue, up to `queue_length`, lowest normalized usage first."""
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
        """ARR: yields the promoted requests by the rank of their flows, at most MAX_SCANNED of each flow."""
        for first_job in sorted(_first_jobs(self._scheduler_queues), key=lambda first_job: rank(first_job.flow)):
            for job in islice(self._scheduler_queues[first_job.flow], MAX_SCANNED):
                if job.is_waiting:
                    yield job

    def remove(self, job: Job) -> None:
        """Removes a request from the scheduler queue."""
        self._scheduler_queues[job.flow].remove(job)


def _first_jobs(queues: Queues) -> Iterator[Job]:
    """Yields the first queued request of each flow; removes finished requests and empty queues on the way."""
    for flow, queue in list(queues.items()):
        while queue and not queue[0].is_waiting:
            queue.popleft()
        if queue:
            yield queue[0]
        else:
            del queues[flow]
