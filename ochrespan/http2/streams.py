"""The open streams of one connection: flow-control credit, queued response bytes and frame scheduling."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field

from h2.errors import ErrorCodes
from h2.exceptions import ProtocolError

from .h2_adapter import ServerH2Connection
from .limits import BufferBudget
from .scheduling import FrameScheduler, Priority

MAX_BODY_FRAME_BYTES = 16 * 1024  # body bytes per frame


@dataclass(slots=True)
class StreamState:
    """One open stream."""

    priority: Priority
    pending: bytearray = field(default_factory=bytearray)  # queued response bytes
    response_complete: bool = False  # the end of the response is queued
    request_complete: bool = False  # the request body has been received completely
    unreturned_credit: int = 0  # request body bytes received, whose credit has not been returned


class StreamTable:
    """The accepted streams that have not ended, and the flow control of both directions."""

    def __init__(self, h2: ServerH2Connection, buffers: BufferBudget) -> None:
        self._h2, self._buffers = h2, buffers
        self._streams: dict[int, StreamState] = {}
        self._scheduler = FrameScheduler()
        self._withheld_credit = 0  # bytes of connection window not returned while buffers are full
        self.closed = False  # the connection has ended: no more credit is returned

    def __len__(self) -> int:
        return len(self._streams)

    def __contains__(self, stream: object) -> bool:
        return stream in self._streams

    def get(self, stream: int) -> StreamState | None:
        """The state of the stream; None if it is not open."""
        return self._streams.get(stream)

    def open(self, stream: int, priority: Priority, request_complete: bool) -> None:
        """Adds the stream of an accepted request; `request_complete`: it has no body."""
        self._streams[stream] = StreamState(priority, request_complete=request_complete)

    def close(self, stream: int) -> None:
        """Removes a stream and returns the credit of its unread body to the connection."""
        state = self._streams.pop(stream)
        self._scheduler.remove(stream)
        self._buffers.used_bytes -= state.unreturned_credit
        self.return_credit(state.unreturned_credit)

    def close_all(self) -> None:
        """Removes all streams; no more credit is returned to the peer."""
        self.closed = True
        for stream in list(self._streams):
            self.close(stream)

    # ---- request bodies ----

    def record_received(self, stream: int, credit: int) -> bool:
        """Accounts for received body bytes. Returns False if the stream is not open; its credit is then returned to the
        connection at once."""
        state = self._streams.get(stream)
        if state is None:
            self.return_credit(credit)
            return False
        state.unreturned_credit += credit
        self._buffers.used_bytes += credit
        return True

    def consume(self, stream: int, credit: int) -> None:
        """Returns credit for body bytes that were read: to the stream's window at once, to the connection's unless the
        buffers are full."""
        state = self._streams.get(stream)
        if state is None or not credit:
            return  # closing the stream released its credit
        state.unreturned_credit -= credit
        self._buffers.used_bytes -= credit
        if not state.request_complete:
            self._open_window(credit, stream)
        self.return_credit(credit)

    def return_credit(self, credit: int) -> None:
        """Returns credit to the connection window, or withholds it while the shared buffers are full."""
        self._withheld_credit += credit
        if self._withheld_credit and self._buffers.full:
            self._buffers.credit_withheld = True
        elif self._withheld_credit and not self.closed:
            withheld, self._withheld_credit = self._withheld_credit, 0
            self._open_window(withheld, 0)

    def _open_window(self, credit: int, stream: int) -> None:
        with suppress(ProtocolError, ValueError, KeyError):  # the stream has ended meanwhile
            self._h2.increment_flow_control_window(credit, stream or None)

    # ---- response bodies ----

    def pending_bytes(self, stream: int) -> int:
        """Queued bytes of the response body that have not been sent."""
        state = self._streams.get(stream)
        return len(state.pending) if state is not None else 0

    def add_data(self, stream: int, data: bytes, ended: bool) -> None:
        """Queues bytes of a response, or its end."""
        if (state := self._streams.get(stream)) is not None:
            state.pending += data
            state.response_complete = state.response_complete or ended
            self.schedule(stream)

    def change_priority(self, stream: int, priority: Priority) -> None:
        """Applies a priority update from the client and reschedules the stream."""
        if (state := self._streams.get(stream)) is not None:
            state.priority = priority
            self._scheduler.remove(stream)
            self.schedule(stream)

    def schedule(self, stream: int) -> None:
        """Schedules the stream if it has bytes to send and an open window, or only its end to send; else removes it."""
        state = self._streams.get(stream)
        if state is None:
            return
        if state.pending and self._window(stream) > 0 or (state.response_complete and not state.pending):
            self._scheduler.add(stream, state.priority)
        else:
            self._scheduler.remove(stream)

    def schedule_all(self) -> None:
        """Reschedules all streams after a change of the connection window or the initial window size."""
        for stream in tuple(self._streams):
            self.schedule(stream)

    def _window(self, stream: int) -> int:
        try:
            return self._h2.local_flow_control_window(stream)
        except ProtocolError:
            return 0

    @property
    def has_frame(self) -> bool:
        """Whether a body frame can be sent now."""
        return bool(len(self._scheduler))

    def send_frame(self) -> bool:
        """Passes one frame of the next scheduled stream to h2; False if none can be sent now."""
        while (stream := self._scheduler.next()) is not None:
            state = self._streams[stream]
            size = min(self._window(stream), len(state.pending), MAX_BODY_FRAME_BYTES, self._h2.max_outbound_frame_size)
            last = state.response_complete and size == len(state.pending)
            if size <= 0 and not last:
                self._scheduler.remove(stream)
                continue
            self._h2.send_data(stream, bytes(state.pending[:size]), end_stream=last)
            del state.pending[:size]
            if last:
                self.finish(stream)
            else:
                self.schedule(stream)
            return True
        return False

    def finish(self, stream: int) -> None:
        """Closes a stream whose response has been sent completely."""
        state = self._streams[stream]
        self.close(stream)
        if not state.request_complete:  # RFC 9113, section 8.1: asks the client to stop sending the request body
            self.send_reset(stream, ErrorCodes.NO_ERROR)

    def send_reset(self, stream: int, code: int) -> None:
        """Sends RST_STREAM with this code."""
        with suppress(ProtocolError):
            self._h2.reset_stream(stream, code)
