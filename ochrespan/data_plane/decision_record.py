"""The record of decisions: what a router decided about one request and why, as one line of JSON.

Off by default. `decision_records` in the settings is the part of the requests that are recorded, from 0 (off) to 1
(whole). Requests are sampled by a hash of their id, so all routers and all runs sample alike. Where recording is off,
a request carries no record and each place that would note something looks at one field.
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

HOME = "home"  # the server that keeps the prompt's shared parts
MOVED = "moved"  # another one, since the wait at the home was worth more than reading the shared parts again
ANY = "any"  # the prompt has no shared parts, or none of their servers could be used


@dataclass(slots=True)
class AttemptRecord:
    """One send of the request. Times in milliseconds since the request arrived, but for those called `expected`."""

    server: str
    choice: str  # HOME, MOVED or ANY
    beyond_window: bool  # sent late, though the window was full
    kept: bool  # whether the server was taken to have the shared parts in memory
    promoted: float  # into the scheduler queue, by LexAS
    sent: float
    expected_reading: float  # to the first piece, once the server has turned to it
    expected_wait: float  # before that
    first: float | None = None  # the first piece of its answer
    ended: float | None = None
    outcome: str = ""


@dataclass(slots=True)
class DecisionRecord:
    """One request, from its arrival to its final answer. Times in milliseconds."""

    id: str
    arrived: float  # seconds since the epoch, by this machine's time of day
    route: str = ""
    service: str = ""
    tenant: str = ""
    priority: int = 0
    aim: float = 0.0
    deadline: float = 0.0
    tokens_in: int = 0
    tokens_out: int = 0
    shared: int = 0  # of tokens_in, in parts that other requests share
    prefix: str = ""  # the key of these parts
    quota_tokens: float = 0.0
    quota_asked: int = 0  # times that tokens were asked for
    quota_wait: float = 0.0
    attempts: list[AttemptRecord] = field(default_factory=list)
    last_event: float = 0.0  # when events were last passed on
    longest_pause: float = 0.0  # between two events that were passed on
    status: int = 0  # of the final answer; 0 where the client left or the connection was broken off
    retry_after: float | None = None  # s, where the answer named it
    ended: float = 0.0  # since the arrival

    def record_forwarded(self, since_arrival: float) -> None:
        """Events of a stream leave now."""
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
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self.sample_rate = sample_rate
        self._write = write or _logger().info
        self._clock = clock
        self._time_of_day = time_of_day

    def begin(self, request_id: str, arrived: float) -> DecisionRecord | None:
        """A record for a request that arrived at this time of the steady clock; None where it is not sampled."""
        if self.sample_rate <= 0.0 or zlib.crc32(request_id.encode("latin-1")) >= self.sample_rate * _HASH_RANGE:
            return None
        return DecisionRecord(request_id, self._time_of_day() - (self._clock() - arrived))

    def finish(self, record: DecisionRecord, arrived: float, status: int, retry_after: float | None = None) -> None:
        """The final answer has left, or the exchange is over without one: writes the record."""
        record.status, record.retry_after = status, retry_after
        record.ended = milliseconds(self._clock() - arrived)
        self._write(dumps(asdict(record), separators=(",", ":")))


def milliseconds(seconds: float) -> float:
    """To the microsecond, which keeps the lines short."""
    return round(seconds * _MS_PER_S, 3)


def _logger() -> logging.Logger:
    """Records go to standard output, apart from the logs and their bound on lines."""
    logger = logging.getLogger("ochrespan.decisions")
    if not logger.handlers:
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(logging.Formatter("%(message)s"))
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        logger.propagate = False
    return logger
