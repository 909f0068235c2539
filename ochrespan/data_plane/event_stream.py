"""Server-sent events: only complete ones are forwarded, and their ids must increase."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\n\r\n"
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?([0-9]{1,18})\r?(?=\n)")


class EventStream:
    """The forwarding state of one client's stream, across all servers that have served it."""

    __slots__ = ("last_id", "error", "_ids_consecutive", "_partial_event", "_resumed")

    def __init__(self) -> None:
        self.last_id: int | None = None
        self.error = ""  # why no more events of the current server may be forwarded
        self._ids_consecutive = True  # every id so far was its predecessor plus 1
        self._partial_event = b""
        self._resumed = False

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial_event)

    def start_continuation(self) -> None:
        """Prepares for bytes of another server, which must continue after `last_id`."""
        self.error = ""
        self._partial_event = b""
        self._resumed = self.last_id is not None

    def take_complete_events(self, data: bytes) -> bytes:
        """Returns the events that `data` completes, up to the first one that violates the order of ids."""
        if self._partial_event:
            data = self._partial_event + data
        end = len(data) if data.endswith(_EVENT_END) else _end_of_events(data, len(data))
        self._partial_event = data[end:]
        if len(self._partial_event) > MAX_EVENT_BYTES:
            self.error = "event too long"
        for match in _EVENT_ID.finditer(data, 0, end):
            if not self._accept_id(int(match[1])):
                return data[: _end_of_events(data, match.start() + 1)]
        return data[:end]

    def _accept_id(self, event_id: int) -> bool:
        last = self.last_id
        if last is not None and event_id != last + 1:
            if event_id <= last or (self._resumed and self._ids_consecutive):
                self.error = f"event {event_id} after event {last}"
                return False
            self._ids_consecutive = False
        self.last_id = event_id
        self._resumed = False
        return True


def _end_of_events(data: bytes, before: int) -> int:
    """Returns the end offset of the last event that ends at `before` or earlier."""
    end = 0
    for terminator in (_EVENT_END, _EVENT_END_CRLF):
        start = data.rfind(terminator, 0, before)
        if start >= 0:
            end = max(end, start + len(terminator))
    return end
