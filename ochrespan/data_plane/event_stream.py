"""The events of a stream: only whole ones are passed on, and their ids have to rise."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\n\r\n"
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?([0-9]{1,18})\r?(?=\n)")


class EventStream:
    """What has been passed on of one stream, over all servers that it was taken up at."""

    __slots__ = ("last_id", "error", "_ids_consecutive", "_pending", "_resumed")

    def __init__(self) -> None:
        self.last_id: int | None = None
        self.error = ""  # why nothing more of this server's events may be passed on
        self._ids_consecutive = True  # every id so far was the one before plus 1
        self._pending = b""
        self._resumed = False

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event has come that was not passed on."""
        return bool(self._pending)

    def start_continuation(self) -> None:
        """The next bytes come from another server, which continues behind `last_id`."""
        self.error = ""
        self._pending = b""
        self._resumed = self.last_id is not None

    def take_complete_events(self, data: bytes) -> bytes:
        """The events that are whole now that `data` has come, up to the first one that may not be passed on."""
        if self._pending:
            data = self._pending + data
        end = len(data) if data.endswith(_EVENT_END) else _end_of_events(data, len(data))
        self._pending = data[end:]
        if len(self._pending) > MAX_EVENT_BYTES:
            self.error = "an event that does not end"
        for match in _EVENT_ID.finditer(data, 0, end):
            if not self._follows(int(match[1])):
                return data[: _end_of_events(data, match.start() + 1)]
        return data[:end]

    def _follows(self, event_id: int) -> bool:
        last = self.last_id
        if last is not None and event_id != last + 1:
            if event_id <= last or (self._resumed and self._ids_consecutive):
                self.error = f"event {event_id} behind event {last}"
                return False
            self._ids_consecutive = False
        self.last_id = event_id
        self._resumed = False
        return True


def _end_of_events(data: bytes, before: int) -> int:
    """The end of the last event that ends at `before` or earlier."""
    end = 0
    for terminator in (_EVENT_END, _EVENT_END_CRLF):
        start = data.rfind(terminator, 0, before)
        if start >= 0:
            end = max(end, start + len(terminator))
    return end
