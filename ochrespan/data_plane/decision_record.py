"""Decision records: what a router decided about a request and why, written as one line of JSON per request.

Off by default. The setting `decision_records` is the fraction of requests to record, from 0 (none) to 1 (all). Requests
are sampled by a hash of their id, so that all routers and all runs sample the same ones. A request that is not sampled
carries no record, which costs one check of a field wherever something would be recorded.
"""

from __future__ import annotations

import logging
import sys
import time
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from json import dumps

_HASH_RANGE = 1 << 32
_MS_PER_S = 1000.0

HOME = "home"  # sent to the preferred server of the shared prefix
MOVED = "moved"  # sent elsewhere: waiting there was expected to cost more than another prefill of the prefix
ANY = "any"  # the prompt has no shared prefix, or none of its servers was usable


@dataclass(slots=True)
class AttemptRecord:
    """One attempt. Times are in milliseconds since the request arrived; those named `expected_*` are durations."""

    server: str
    choice: str  # HOME, MOVED or ANY
    beyond_window: bool  # sent although the window of the server was full, because the request was overdue
    kept: bool  # whether the server was assumed to have the shared prefix cached
    promoted: float  # when LexAS moved it into the scheduler queue
    sent: float
    expected_reading: float  # from the start of processing to the first chunk
    expected_wait: float  # in the queue of the server, before processing
    first: float | None = None  # first chunk of the response
    ended: float | None = None
    outcome: str = ""


@dataclass(slots=True)
class DecisionRecord:
    """One request, from its arrival to its final response. Times are in milliseconds unless noted."""

    id: str
    arrived: float  # seconds since the epoch, by the wall clock of this machine
    route: str = ""
    service: str = ""
    tenant: str = ""
    priority: int = 0
    aim: float = 0.0  # latency target to the first chunk
    deadline: float = 0.0  # since the arrival
    tokens_in: int = 0
    tokens_out: int = 0
    shared: int = 0  # tokens of tokens_in that belong to the shared prefix
    prefix: str = ""  # key of the shared prefix
    quota_tokens: float = 0.0  # requested from the quota of the tenant
    quota_asked: int = 0  # how often the tokens were requested
    quota_wait: float = 0.0  # until the quota was decided, since the arrival
    attempts: list[AttemptRecord] = field(default_factory=list)
    last_event: float = 0.0  # when events of the stream were last forwarded
    longest_pause: float = 0.0  # between two forwarded events
    status: int = 0  # of the final response; 0 if the client left or the connection was aborted
    retry_after: float | None = None  # s, if the response has a Retry-After
    ended: float = 0.0  # since the arrival

    def record_forwarded(self, since_arrival: float) -> None:
        """Records that events of the stream were forwarded to the client at this time."""
        now = milliseconds(since_arrival)
        if self.last_event:
            self.longest_pause = max(self.longest_pause, round(now - self.last_event, 3))
        self.last_event = now


class DecisionLog:
    """Samples requests and writes their records."""

    def __init__(
        self,
        sample_rate: float = 0.0,
        write: Callable[[str], object] | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.sample_rate = sample_rate
        self._write = write or _logger().info
        self._clock = clock
        self._wall_clock = wall_clock

    def begin(self, request_id: str, arrived_at: float) -> DecisionRecord | None:
        """Returns a record for a request that arrived at this monotonic time, or None if it is not sampled."""
        if self.sample_rate <= 0.0 or zlib.crc32(request_id.encode("latin-1")) >= self.sample_rate * _HASH_RANGE:
            return None
        return DecisionRecord(request_id, self._wall_clock() - (self._clock() - arrived_at))

    def finish(self, record: DecisionRecord, arrived_at: float, status: int, retry_after: float | None = None) -> None:
        """Writes the record, after the final response was sent or the exchange ended without one."""
        record.status, record.retry_after = status, retry_after
        record.ended = milliseconds(self._clock() - arrived_at)
        self._write(dumps(asdict(record), separators=(",", ":")))


def milliseconds(seconds: float) -> float:
    """Converts seconds to milliseconds, rounded to microseconds to keep the lines short."""
    return round(seconds * _MS_PER_S, 3)


def _logger() -> logging.Logger:
    """Returns the logger of the records: standard output, separate from the logs and their rate limit."""
    logger = logging.getLogger("ochrespan.decisions")
    if not logger.handlers:
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(logging.Formatter("%(message)s"))
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        logger.propagate = False
    return logger
