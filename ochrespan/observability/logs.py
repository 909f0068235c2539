"""Logs of the fleet's programs: one event per line on standard error, rate-limited, with a level that can be changed.

A line is `LEVEL logger event text key=value ...`.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

DEFAULT_LEVEL = "INFO"
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE_FORMAT = "%(levelname)s %(name)s %(message)s"
BURST = 50  # lines of one call site at once
LINES_PER_S = 5.0  # of one call site, in the long run


class RateLimit(logging.Filter):
    """Limits the lines of each call site with a token bucket of BURST and LINES_PER_S.

    The first line that passes after dropped ones has their number as `left_out`.

    Args:
        clock: Seconds, monotonic.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._buckets: dict[tuple[str, int], _TokenBucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written; appends `left_out` to its text."""
        now = self._clock()
        bucket = self._buckets.setdefault((record.pathname, record.lineno), _TokenBucket(now))
        if not bucket.take_token(now):
            return False
        if bucket.dropped:
            record.msg = f"{record.msg} left_out={bucket.dropped}"
            bucket.dropped = 0
        return True


class _TokenBucket:
    """The tokens of one call site, and the number of lines that were dropped since one last passed."""

    __slots__ = ("dropped", "_tokens", "_filled_at")

    def __init__(self, now: float) -> None:
        self.dropped = 0
        self._tokens = float(BURST)
        self._filled_at = now

    def take_token(self, now: float) -> bool:
        """Takes a token and returns True, or counts a dropped line and returns False if there is none."""
        self._tokens = min(float(BURST), self._tokens + LINES_PER_S * (now - self._filled_at))
        self._filled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


def configure(level: str = DEFAULT_LEVEL) -> None:
    """Sets up the process's logs on standard error. Called once."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(LINE_FORMAT))
    handler.addFilter(RateLimit())
    logging.basicConfig(handlers=[handler], level=logging.INFO)
    set_level(level)


def set_level(level: str) -> None:
    """Sets the minimum level of the lines that are written from now on, one of LEVELS."""
    logging.getLogger().setLevel(level)
