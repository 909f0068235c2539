"""The events of a stream: only whole ones are passed on, and their ids have to rise."""

from __future__ import annotations

import re

from .server_answer import AnswerGarbled

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"
_EVENT_END_WITH_RETURN = b"\r\n\r\n"
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?([0-9]{1,18})\r?(?=\n)")


class EventStream:
    """What has been passed on of one stream, over all servers that it was taken up at."""

    __slots__ = ("last_id", "_even_steps", "_pending", "_resumed")

    def __init__(self) -> None:
        self.last_id: int | None = None
        self._even_steps = True  # every id so far was the one before plus 1
        self._pending = b""
        self._resumed = False

    @property
    def within_event(self) -> bool:
        """Whether a part of an event has come that was not passed on."""
        return bool(self._pending)

    def take_up(self) -> None:
        """The next bytes come from another server, which continues behind `last_id`."""
        self._pending = b""
        self._resumed = self.last_id is not None

    def whole_events(self, data: bytes) -> bytes:
        """The events that are whole now that `data` has come; raises AnswerGarbled."""
        if self._pending:
            data = self._pending + data
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            end = data.rfind(_EVENT_END_WITH_RETURN) + len(_EVENT_END_WITH_RETURN)
            if end < len(_EVENT_END_WITH_RETURN):
                end = 0
        if end == len(data):
            self._pending = b""
        else:
            data, self._pending = data[:end], data[end:]
            if len(self._pending) > MAX_EVENT_BYTES:
                raise AnswerGarbled("an event that does not end")
        for event_id in _EVENT_ID.findall(data):
            self._check(int(event_id))
        return data

    def _check(self, event_id: int) -> None:
        last = self.last_id
        if last is not None and event_id != last + 1:
            if event_id <= last or (self._resumed and self._even_steps):
                raise AnswerGarbled(f"event {event_id} behind event {last}")
            self._even_steps = False
        self.last_id = event_id
        self._resumed = False
