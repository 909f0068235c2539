"""Encodes a client's request for a server."""

from __future__ import annotations

from collections.abc import Iterable

from .request_head import RequestHead

_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
     "transfer-encoding", "upgrade", "expect"}
)  # fmt: skip
_SET_BY_ROUTER = frozenset(
    {"content-length", "x-credential", "x-tenant", "x-expect-instance", "x-deadline-ms", "priority", "last-event-id"}
)
_NOT_SENT = _HOP_BY_HOP | _SET_BY_ROUTER
_ALWAYS_FORWARDED = frozenset({"host", "x-request-id", "x-model", "x-token-usage", "x-prompt-prefix", "expect-version"})


class ServerRequest:
    """The bytes that all attempts of a request have in common, encoded once."""

    __slots__ = ("method", "request_id", "_prefix", "_body", "_last_event_id")

    def __init__(self, head: RequestHead, request_id: str, body: bytes, tenant: str | None) -> None:
        self.method = head.method
        self.request_id = request_id
        connection_options = _connection_options(head)
        lines = [f"{head.method} {head.target} HTTP/1.1"]
        last_event_id = None
        for name, value in head.headers:
            key = name.lower()
            if key == "last-event-id":
                last_event_id = value
            elif key not in _NOT_SENT and key not in connection_options:
                lines.append(f"{name}: {value}")
        if tenant is not None:
            lines.append(f"X-Tenant: {_as_header_value(tenant)}")
        if body or head.content_length is not None or head.chunked:
            lines.append(f"Content-Length: {len(body)}")
        self._prefix = "\r\n".join(lines)
        self._body = body
        self._last_event_id = last_event_id

    def encode(self, server_id: str, remaining_s: float, priority: int, last_event_id: int | None) -> bytes:
        """Encodes the request for one server; `last_event_id` overrides the client's own for a resumed stream."""
        resume_at = self._last_event_id if last_event_id is None else last_event_id
        resume_line = "" if resume_at is None else f"\r\nLast-Event-Id: {resume_at}"
        text = (
            f"{self._prefix}\r\nX-Expect-Instance: {server_id}\r\nX-Deadline-Ms: {max(1, int(remaining_s * 1000))}\r\n"
            f"Priority: {priority}{resume_line}\r\n\r\n"
        )
        return text.encode("latin-1") + self._body


def _as_header_value(text: str) -> str:
    """The UTF-8 bytes of a text as characters, since a request's head is encoded as latin-1."""
    return text.encode("utf-8", errors="replace").decode("latin-1")


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns the headers of a response without the hop-by-hop ones."""
    return [header for header in headers if header[0].lower() not in _HOP_BY_HOP]


def _connection_options(head: RequestHead) -> set[str]:
    options = {option.strip().lower() for value in head.values("connection") for option in value.split(",")}
    return options - _ALWAYS_FORWARDED
