"""Answers of the control interface: a status and a JSON body, made where the decision falls and passed on unchanged."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ochrespan.common.validation import Finding
from ochrespan.transport import compact
from ochrespan.transport.codec import message

RETRY_AFTER_S = 0.2

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
    """A final answer to a call of the control interface; the body is packed by `compact`."""

    status: int
    packed_body: bytes

    @property
    def body(self) -> bytes:
        """The JSON text."""
        return compact.decompress(self.packed_body)


@message("cp.elsewhere")
@dataclass(slots=True)
class NotLeaderResponse:
    """This process does not lead the shard, and the call has left no trace."""


def json_response(status: int, document: Any) -> Response:
    """An answer with a JSON body."""
    return Response(status, compact.compress(json.dumps(document, ensure_ascii=False).encode()))


def findings_response(status: int, findings: Iterable[Finding]) -> Response:
    """An answer that names the findings."""
    return json_response(status, {"findings": [each.fields() for each in findings]})


def unavailable_response(where: str, found: str) -> Response:
    """No verdict: the caller asks again, here or elsewhere."""
    return findings_response(UNAVAILABLE, [Finding(where, found, "a replica group that can decide")])
