"""One set-up for all log lines: structlog over the logging module, key=value by default, JSON lines by choice.

A request's id, team and attempt are bound to every line that is written on its behalf (`about`).
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Iterator, MutableMapping
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

import structlog

FORMATS = ("key-value", "json")
FIRST = ["at", "level", "from", "msg", "request", "team", "attempt"]
NOTHING: dict[str, Any] = {}
_bound: ContextVar[dict[str, Any]] = ContextVar("bound", default=NOTHING)


def bind(**words: Any) -> None:
    """From here on in this task, lines carry these words; empty ones are left out."""
    _bound.set({name: value for name, value in words.items() if value != ""})


@contextmanager
def unbound() -> Iterator[None]:
    """For lines that are not of the request at hand."""
    token = _bound.set(NOTHING)
    try:
        yield
    finally:
        _bound.reset(token)


def _add_bound(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    for name, value in _bound.get().items():
        line.setdefault(name, value)
    return line


def _named(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Our names for what structlog calls event, logger and exception."""
    line["msg"] = line.pop("event", "")
    line["from"] = line.pop("logger", "")
    if "exception" in line:
        line["error"] = line.pop("exception")
    return line


def _plain(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Values as they may stand in key=value: none spreads over more than one line."""
    for name, value in line.items():
        if not isinstance(value, bool | int | float):
            words = str(value)
            line[name] = words.replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r")
    return line


def set_up(form: str = "", level: int = logging.INFO) -> None:
    """Lines go to standard error. `form`: one of FORMATS; empty: OCHRESPAN_LOG_FORMAT, or key-value."""
    form = form or os.environ.get("OCHRESPAN_LOG_FORMAT", "")
    steps: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
        structlog.processors.format_exc_info,
        _add_bound,
        _named,
    ]
    if form == "json":
        last: list[Any] = [structlog.processors.JSONRenderer(default=str)]
    else:
        last = [_plain, structlog.processors.LogfmtRenderer(key_order=FIRST, drop_missing=True, bool_as_flag=False)]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=steps, processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *last]
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    structlog.configure(
        processors=[*steps[:2], *steps[3:], structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
