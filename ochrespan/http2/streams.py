"""The open streams of one connection: their credit, the bytes of answers that wait, and whose frame goes out next."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field

from h2.errors import ErrorCodes
from h2.exceptions import ProtocolError

from .h2_adapter import ServerH2Connection
from .limits import BufferBudget
from .scheduling import FrameScheduler, Priority

MAX_BODY_FRAME_BYTES = 16 * 1024  # bytes of a body that go out in one turn


@dataclass(slots=True)
class StreamState:
    """One open stream."""

    priority: Priority
    pending: bytearray = field(default_factory=bytearray)  # bytes of the answer that wait
    response_complete: bool = False  # the answer's last byte is pending
    request_complete: bool = False  # the request's body is whole
    credit: int = 0  # of the body, not given back yet


class StreamTable:
    """Streams that have been taken and not ended, and the flow control of both directions."""

    def __init__(self, h2: ServerH2Connection, buffers: BufferBudget) -> None:
        self._h2, self._buffers = h2, buffers
        self._streams: dict[int, StreamState] = {}
        self._scheduler = FrameScheduler()
        self._withheld_credit = 0  # credit of the connection that is held back
        self.closed = False  # the connection is over: no more credit goes out

    def __len__(self) -> int:
        return len(self._streams)

    def __contains__(self, stream: object) -> bool:
        return stream in self._streams

    def get(self, stream: int) -> StreamState | None:
        """The stream's state; None: it is not open."""
        return self._streams.get(stream)

    def open(self, stream: int, priority: Priority, request_complete: bool) -> None:
        """A request was taken; `read_all`: it has no body."""
        self._streams[stream] = StreamState(priority, request_complete=request_complete)

    def close(self, stream: int) -> None:
        """Forgets a stream; the credit of what nobody has read goes back."""
        state = self._streams.pop(stream)
        self._scheduler.remove(stream)
        self._buffers.used_bytes -= state.credit
        self.return_credit(state.credit)

    def close_all(self) -> None:
        """Forgets every stream."""
        self.closed = True
        for stream in list(self._streams):
            self.close(stream)

    # ---- bodies of requests ----

    def record_received(self, stream: int, credit: int) -> bool:
        """Bytes of a body came. False: the stream is not open, and the connection's window is the peer's again."""
        state = self._streams.get(stream)
        if state is None:
            self.return_credit(credit)
            return False
        state.credit += credit
        self._buffers.used_bytes += credit
        return True

    def consume(self, stream: int, credit: int) -> None:
        """So much of a body was read: the stream's window opens again, the connection's when there is room."""
        state = self._streams.get(stream)
        if state is None or not credit:
            return  # what it held was let go with it
        state.credit -= credit
        self._buffers.used_bytes -= credit
        if not state.request_complete:
            self._open_window(credit, stream)
        self.return_credit(credit)

    def return_credit(self, credit: int) -> None:
        """Opens the connection's window, unless the front's buffers are full: then the credit is held back."""
        self._withheld_credit += credit
        if self._withheld_credit and self._buffers.full:
            self._buffers.credit_withheld = True
        elif self._withheld_credit and not self.closed:
            withheld, self._withheld_credit = self._withheld_credit, 0
            self._open_window(withheld, 0)

    def _open_window(self, credit: int, stream: int) -> None:
        with suppress(ProtocolError, ValueError, KeyError):  # it has ended meanwhile
            self._h2.increment_flow_control_window(credit, stream or None)

    # ---- bodies of answers ----

    def pending(self, stream: int) -> int:
        """Bytes of its answer that have not gone out."""
        state = self._streams.get(stream)
        return len(state.pending) if state is not None else 0

    def add_data(self, stream: int, data: bytes, ended: bool) -> None:
        """Further bytes of an answer, or its end."""
        if (state := self._streams.get(stream)) is not None:
            state.pending += data
            state.response_complete = state.response_complete or ended
            self.schedule(stream)

    def change_priority(self, stream: int, priority: Priority) -> None:
        """The client has changed its mind in the middle of an answer."""
        if (state := self._streams.get(stream)) is not None:
            state.priority = priority
            self._scheduler.remove(stream)
            self.schedule(stream)

    def schedule(self, stream: int) -> None:
        """Whether a stream is in the turn: it has bytes, or an end, and a window for them."""
        state = self._streams.get(stream)
        if state is None:
            return
        if state.pending and self._window(stream) > 0 or (state.response_complete and not state.pending):
            self._scheduler.add(stream, state.priority)
        else:
            self._scheduler.remove(stream)

    def schedule_all(self) -> None:
        """The connection's window or the initial one has changed, and with it every stream's."""
        for stream in tuple(self._streams):
            self.schedule(stream)

    def _window(self, stream: int) -> int:
        try:
            return self._h2.local_flow_control_window(stream)
        except ProtocolError:
            return 0

    @property
    def has_frame(self) -> bool:
        """Whether a body's frame could go out now."""
        return bool(len(self._scheduler))

    def send_frame(self) -> bool:
        """Gives h2 one frame of the stream whose turn it is; False: none may go out now."""
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
        """The whole answer is out."""
        state = self._streams[stream]
        self.close(stream)
        if not state.request_complete:  # RFC 9113, section 8.1: the rest of the body is not wanted
            self.send_reset(stream, ErrorCodes.NO_ERROR)

    def send_reset(self, stream: int, code: int) -> None:
        """Tells the peer that a stream ends with this code."""
        with suppress(ProtocolError):
            self._h2.reset_stream(stream, code)
