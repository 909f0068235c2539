"""Byte ranges and conditional requests according to RFC 9110."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, datetime
from email.utils import format_datetime, parsedate_to_datetime
from enum import Enum

RANGE = re.compile(r"bytes=\s*(\d*)\s*-\s*(\d*)\s*", re.IGNORECASE)


class RangeNotSatisfiable(ValueError):
    """The range contains no byte of the object."""


class ConditionResult(Enum):
    """Result of evaluating the conditions of a read; the value is the HTTP status."""

    PROCEED = 200
    NOT_MODIFIED = 304
    FAILED = 412


def parse_range(header: str | None, size: int) -> tuple[int, int] | None:
    """Begin and exclusive end of the range. None: send the complete object, since there is no range, there are several,
    or the syntax or unit is not supported."""
    range_match = RANGE.fullmatch(header.strip()) if header else None
    if range_match is None or not (range_match[1] or range_match[2]):
        return None
    if not range_match[1]:
        begin, end = size - min(size, int(range_match[2])), size
    else:
        begin, end = int(range_match[1]), min(size, int(range_match[2]) + 1) if range_match[2] else size
        if range_match[2] and int(range_match[2]) < int(range_match[1]):
            return None  # an invalid range is ignored
    if begin >= end:
        raise RangeNotSatisfiable
    return begin, end


def format_http_date(at: datetime) -> str:
    """Formats a time as an HTTP date, truncated to seconds."""
    return format_datetime(at.astimezone(UTC).replace(microsecond=0), usegmt=True)


def parse_http_date(header: str | None) -> datetime | None:
    """Parses an HTTP date; None if it is invalid, since RFC 9110 requires invalid dates to be ignored."""
    if not header:
        return None
    try:
        at = parsedate_to_datetime(header)
    except (TypeError, ValueError, IndexError):
        return None
    return at if at.tzinfo else at.replace(tzinfo=UTC)


def etag_matches(header: str, etag: str) -> bool:
    """Whether a list of ETags contains this one or `*`."""
    tags = [tag.strip().removeprefix("W/").strip('"') for tag in header.split(",")]
    return "*" in tags or etag in tags


def evaluate(headers: Mapping[str, str], etag: str, modified: datetime) -> ConditionResult:
    """Evaluates the conditions of a read; ETag conditions take precedence over date conditions."""
    modified = modified.replace(microsecond=0)
    if (header := headers.get("If-Match")) is not None:
        if not etag_matches(header, etag):
            return ConditionResult.FAILED
    elif (at := parse_http_date(headers.get("If-Unmodified-Since"))) is not None and modified > at:
        return ConditionResult.FAILED
    if (header := headers.get("If-None-Match")) is not None:
        if etag_matches(header, etag):
            return ConditionResult.NOT_MODIFIED
    elif (at := parse_http_date(headers.get("If-Modified-Since"))) is not None and modified <= at:
        return ConditionResult.NOT_MODIFIED
    return ConditionResult.PROCEED


def range_applies(headers: Mapping[str, str], etag: str, modified: datetime) -> bool:
    """Whether If-Range permits the range; if not, the complete object is sent."""
    header = headers.get("If-Range")
    if header is None:
        return True
    if (at := parse_http_date(header)) is not None:
        return modified.replace(microsecond=0) == at
    return header.strip().strip('"') == etag and not header.startswith("W/")
