"""Log lines as key=value pairs."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime

STANDARD = set(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def quoted(value: object) -> str:
    words = str(value)
    return words if words and not set(words) & set(' "=\n\t\\') else json.dumps(words)


class KeyValueFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        at = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        fields: dict[str, object] = {"at": at, "level": record.levelname.lower(), "from": record.name}
        fields["msg"] = record.getMessage()
        fields |= {k: v for k, v in vars(record).items() if k not in STANDARD}
        if record.exc_info:
            fields["error"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={quoted(value)}" for name, value in fields.items())


def set_up(level: int = logging.INFO) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
