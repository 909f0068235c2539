"""Logs of the fleet's programs: one event a line on standard error, bounded in rate, with a level set in service."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

DEFAULT_LEVEL = "INFO"
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE_FORMAT = "%(levelname)s %(name)s %(message)s"
BURST = 50  # lines of one kind at once
LINES_PER_S = 5.0  # of one kind, in the long run


class RateLimit(logging.Filter):
    """Lets through so many lines of one kind; the next one that passes tells how many were left out before it.

    Lines are of one kind when they come from the same call, with whatever values.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._kinds: dict[tuple[str, int], _Allowance] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        now = self._clock()
        allowance = self._kinds.setdefault((record.pathname, record.lineno), _Allowance(now))
        if not allowance.take(now):
            return False
        if allowance.left_out:
            record.msg = f"{record.msg} left_out={allowance.left_out}"
            allowance.left_out = 0
        return True


class _Allowance:
    """A token bucket, and the lines that it held back since one last passed."""

    __slots__ = ("left_out", "_tokens", "_filled_at")

    def __init__(self, now: float) -> None:
        self.left_out = 0
        self._tokens = float(BURST)
        self._filled_at = now

    def take(self, now: float) -> bool:
        self._tokens = min(float(BURST), self._tokens + LINES_PER_S * (now - self._filled_at))
        self._filled_at = now
        if self._tokens < 1.0:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True


def configure(level: str = DEFAULT_LEVEL) -> None:
    """Sets the process's logs up, once."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(LINE_FORMAT))
    handler.addFilter(RateLimit())
    logging.basicConfig(handlers=[handler], level=logging.INFO)
    set_level(level)


def set_level(level: str) -> None:
    """The least severe lines that are written from now on, one of LEVELS."""
    logging.getLogger().setLevel(level)
