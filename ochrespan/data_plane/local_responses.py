"""Responses that the router generates itself."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus

from .decisions import Fail, Refuse

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """A status with a line of text; `retry_after` (s) is set if the request was not executed and may be retried."""

    status: int
    text: str
    request_id: str | None = None
    retry_after: float | None = None

    def respond(self, start_response: StartResponse) -> Iterable[bytes]:
        """Returns the response as a WSGI result."""
        body = f"{self.text}\n".encode()
        headers = [("Content-Type", "text/plain; charset=utf-8"), ("Content-Length", str(len(body)))]
        if self.request_id is not None:
            headers.append(("X-Request-Id", self.request_id))
        if self.retry_after is not None:
            headers.append(("Retry-After", f"{max(self.retry_after, 0.0):.3f}"))
        start_response(f"{self.status} {HTTPStatus(self.status).phrase}", headers)
        return [body]


def quota_exceeded_response(request_id: str, retry_after: float) -> LocalResponse:
    """The response to a request that exceeds its tenant's quota."""
    return LocalResponse(HTTPStatus.TOO_MANY_REQUESTS, "over the tenant's quota", request_id, retry_after)


def response_for(decision: Refuse | Fail, request_id: str) -> LocalResponse:
    """The response for a request that the scheduler has refused or failed."""
    if isinstance(decision, Refuse):
        return LocalResponse(decision.status, "not run", request_id, decision.retry_after)
    return LocalResponse(decision.status, "no whole answer from a server", request_id)
