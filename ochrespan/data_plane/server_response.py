"""A server's response, parsed by geventhttpclient and checked for its framing and its request id."""

from __future__ import annotations

from geventhttpclient.response import HTTPParseError, HTTPResponseParser

MISDIRECTED = 421
_HAS_NO_BODY = True
_MAY_HAVE_BODY = False


class MalformedResponse(Exception):
    """The received bytes are not a valid response to the request that was sent."""


class ServerResponse(HTTPResponseParser):
    """One response: its head, and the part of its body that has arrived and was not taken yet.

    geventhttpclient's own HTTPResponse would parse bytes after a complete response as a new one; here they make the
    connection unusable for further requests. Interim responses (1xx) are skipped, and so is a late response to another
    request that arrives in place of the expected one.
    """

    def __init__(self, method: str, request_id: str) -> None:
        super().__init__()
        self._is_head_request = method == "HEAD"
        self._request_id = request_id
        self.status = 0
        self.reason = ""
        self.headers: list[tuple[str, str]] = []
        self.headers_by_name: dict[str, str] = {}  # names in lower case; of duplicates, the last
        self.head_complete = False
        self.complete = False
        self.body = bytearray()
        self._desynchronized = False  # a response to another request, or extra bytes, arrived
        self._skipping_message = False
        self._keep_alive = False
        self._name = ""
        self._value: str | None = None

    def receive(self, data: bytes) -> None:
        """Parses the next bytes; raises MalformedResponse."""
        try:
            self.feed(data)
        except HTTPParseError as error:
            if not self.complete:
                raise MalformedResponse(str(error)) from error
            self._desynchronized = True

    def take_body(self) -> bytes:
        data = bytes(self.body)
        self.body.clear()
        return data

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self.complete and self._keep_alive and not self._desynchronized

    @property
    def not_executed(self) -> bool:
        """Whether the server states that it has not executed the request."""
        return "x-not-executed" in self.headers_by_name or self.get_code() == MISDIRECTED

    @property
    def is_event_stream(self) -> bool:
        return self.headers_by_name.get("content-type", "").partition(";")[0].strip().lower() == "text/event-stream"

    @property
    def keep_alive_s(self) -> float | None:
        """The server's announced keep-alive timeout, or None."""
        for parameter in self.headers_by_name.get("keep-alive", "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                return float(value)
        return None

    # Callbacks of HTTPResponseParser.

    def _on_message_begin(self) -> None:
        if self.complete:
            raise HTTPParseError("bytes after a complete response")

    def _on_status(self, reason: str) -> None:
        self.reason += reason

    def _on_header_field(self, text: str) -> None:
        if self._value is not None:
            self._add_header()
        self._name += text

    def _on_header_value(self, text: str) -> None:
        self._value = text if self._value is None else self._value + text

    def _on_headers_complete(self) -> bool:
        if self._name:
            self._add_header()
        status = self.get_code()
        if status < 200:
            self._skipping_message = True
            return _HAS_NO_BODY
        if self._is_for_another_request():
            self._skipping_message = self._desynchronized = True
        else:
            self.status = status
            self.head_complete = True
        return _HAS_NO_BODY if self._is_head_request else _MAY_HAVE_BODY

    def _on_body(self, data: bytearray) -> None:
        if not self._skipping_message:
            self.body += data

    def _on_message_complete(self) -> None:
        if self._skipping_message:
            self._reset()
            return
        self.complete = True
        self._keep_alive = self.should_keep_alive()

    def _is_for_another_request(self) -> bool:
        response_id = self.headers_by_name.get("x-request-id")
        if response_id is not None:
            return response_id != self._request_id
        if self.not_executed:  # a server that sheds load before parsing the request does not know the id
            return False
        raise HTTPParseError("response without X-Request-Id")

    def _add_header(self) -> None:
        value = self._value or ""
        self.headers.append((self._name, value))
        self.headers_by_name[self._name.lower()] = value
        self._name, self._value = "", None

    def _reset(self) -> None:
        self._skipping_message = False
        self.reason = ""
        self.headers.clear()
        self.headers_by_name.clear()
