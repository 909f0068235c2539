"""Responses of the control interface: an HTTP status and a JSON body.

The leader of a shard creates them, and the controller that received the request forwards them unchanged.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ochrespan.common.validation import Finding
from ochrespan.transport import compact
from ochrespan.transport.codec import message

RETRY_AFTER_S = 0.2  # in the Retry-After header of a 503 response

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
PRECONDITION_FAILED = 412
CONTENT_TOO_LARGE = 413
UNAVAILABLE = 503


@message("cp.answer")
@dataclass(slots=True)
class Response:
    """A final response to a request of the control interface; the body is compressed by `compact`."""

    status: int
    packed_body: bytes

    @property
    def body(self) -> bytes:
        """The JSON text, decompressed."""
        return compact.decompress(self.packed_body)


@message("cp.elsewhere")
@dataclass(slots=True)
class NotLeaderResponse:
    """This process does not lead the shard, and the request had no effect: the caller may try another controller."""


def json_response(status: int, document: Any) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, compact.compress(json.dumps(document, ensure_ascii=False).encode()))


def findings_response(status: int, findings: Iterable[Finding], total: int = 0) -> Response:
    """Returns a response whose body lists the findings, and `total` if that is more than are listed."""
    document: dict[str, Any] = {"findings": [finding.fields() for finding in findings]}
    if total > len(document["findings"]):
        document["findings_total"] = total
    return json_response(status, document)


def unavailable_response(where: str, found: str) -> Response:
    """Returns a 503: the outcome is unknown, and the caller may retry here or at another controller.

    Args:
        where: The subject of the request.
        found: The reason why the outcome is unknown.
    """
    return findings_response(UNAVAILABLE, [Finding(where, found, "a replica group that can decide")])
