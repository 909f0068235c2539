"""Log configuration: structlog on top of the logging module, as key=value lines or as JSON lines.

Fields such as a request's id, team and attempt are added to every line logged in its task (`bind`).
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
LEADING_FIELDS = ["at", "level", "from", "msg", "request", "team", "attempt"]
NO_FIELDS: dict[str, Any] = {}
_bound: ContextVar[dict[str, Any]] = ContextVar("bound", default=NO_FIELDS)


def bind(**fields: Any) -> None:
    """Adds these fields to the following log lines of this task; empty values are omitted."""
    _bound.set({name: value for name, value in fields.items() if value != ""})


@contextmanager
def unbound() -> Iterator[None]:
    """Logs without the bound fields, for lines that are not about the current request."""
    token = _bound.set(NO_FIELDS)
    try:
        yield
    finally:
        _bound.reset(token)


def _add_bound(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    for name, value in _bound.get().items():
        line.setdefault(name, value)
    return line


def _rename_fields(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Renames structlog's event, logger and exception to msg, from and error."""
    line["msg"] = line.pop("event", "")
    line["from"] = line.pop("logger", "")
    if "exception" in line:
        line["error"] = line.pop("exception")
    return line


def _escape_values(_: Any, __: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Escapes line breaks and backslashes in values, so that each record is one line of key=value."""
    for name, value in line.items():
        if not isinstance(value, bool | int | float):
            text = str(value)
            line[name] = text.replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r")
    return line


def set_up(log_format: str = "", level: int = logging.INFO) -> None:
    """Configures logging to standard error. `log_format`: one of FORMATS; empty: from the environment."""
    log_format = log_format or os.environ.get("OCHRESPAN_LOG_FORMAT", "")
    processors: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
        structlog.processors.format_exc_info,
        _add_bound,
        _rename_fields,
    ]
    if log_format == "json":
        renderer: list[Any] = [structlog.processors.JSONRenderer(default=str)]
    else:
        renderer = [
            _escape_values,
            structlog.processors.LogfmtRenderer(key_order=LEADING_FIELDS, drop_missing=True, bool_as_flag=False),
        ]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=processors,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *renderer],
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    structlog.configure(
        processors=[*processors[:2], *processors[3:], structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
