"""The server side of one HTTP/2 connection without I/O, built on h2.

`receive` takes the bytes from the peer and returns events; other methods send responses, return flow-control credit
and reset streams. Output has two parts: control frames, to be sent at once (`control_to_send`), and body frames, one
at a time as priorities and windows allow (`frame_to_send`). Times are seconds on the caller's clock. Every
`RequestStarted` ends exactly once: by a complete response, by `reset`, by `StreamAborted` or by `ConnectionEnded`.
"""

from __future__ import annotations

from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    PingAckReceived,
    PingReceived,
    PriorityUpdated,
    RemoteSettingsChanged,
    RequestReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
    UnknownFrameReceived,
    WindowUpdated,
)
from hyperframe.frame import GoAwayFrame

from .events import BodyEnded, BodyReceived, ConnectionEnded, ConnectionEvent, RequestStarted, StreamAborted
from .h2_adapter import ServerH2Connection, error_code_of
from .limits import BufferBudget, Limits, PeerAction, PeerBudget
from .scheduling import Priority, parse_priority
from .streams import StreamTable

MAX_STREAM_ID = 2**31 - 1  # RFC 9113, section 5.1.1
PRIORITY_UPDATE_FRAME = 0x10  # frame type: RFC 9218, section 7.1
MAX_PRIORITY_FIELD_BYTES = 256  # longer priority field values are truncated
DRAIN_PING = b"ochrdrai"
FIRST_FRAME_TYPE_END = 24 + 4  # bytes up to and including the type of the frame after the preface
SETTINGS_FRAME = 0x4  # frame type


class Connection:
    """The state of one server connection."""

    def __init__(self, limits: Limits, buffers: BufferBudget, now: float, budget: PeerBudget | None = None) -> None:
        """`buffers` is shared by all connections; `budget` limits the actions of this peer."""
        self.limits = limits
        self._budget = budget or PeerBudget()
        self._h2 = ServerH2Connection(limits)
        self._streams = StreamTable(self._h2, buffers)
        self._last_accepted_stream = 0  # highest accepted stream id
        self._control_out = bytearray()  # GOAWAY frames, which bypass h2, and the output of h2 before them
        self._first_bytes = bytearray()  # received bytes until the type of the first frame is known
        self._draining = self._drained = False
        self.end_event: ConnectionEnded | None = None

    # ---- input ----

    @property
    def open_streams(self) -> int:
        """Number of accepted streams that have not ended."""
        return len(self._streams)

    def receive(self, data: bytes, now: float) -> list[ConnectionEvent]:
        """Processes received bytes and returns the events; none after the connection has ended."""
        if self.end_event:
            return []
        emitted: list[ConnectionEvent] = []
        if not self._begins_with_settings(data):
            self._end(ErrorCodes.PROTOCOL_ERROR, "the preface does not begin with settings", emitted)
            return emitted
        self._control_out += self._h2.data_to_send()
        try:
            events = self._h2.receive_data(data)
        except Exception as error:  # malformed input also raises exceptions other than ProtocolError in h2
            self._end(error_code_of(error), str(error) or type(error).__name__, emitted)
            return emitted
        for event in events:
            if self.end_event:
                break
            self._handle(event, now, emitted)
        return emitted

    def _begins_with_settings(self, data: bytes) -> bool:
        """Whether the first frame is SETTINGS; True as long as its type has not arrived."""
        if len(self._first_bytes) >= FIRST_FRAME_TYPE_END:
            return True
        self._first_bytes += data[: FIRST_FRAME_TYPE_END - len(self._first_bytes)]
        return len(self._first_bytes) < FIRST_FRAME_TYPE_END or self._first_bytes[-1] == SETTINGS_FRAME

    def _handle(self, event: Event, now: float, emitted: list[ConnectionEvent]) -> None:
        match event:
            case RequestReceived():
                self._on_request(event, now, emitted)
            case DataReceived():
                self._on_data(event, now, emitted)
            case StreamEnded() if (stream := self._streams.get(event.stream_id)) is not None:
                stream.request_complete = True
                emitted.append(BodyEnded(event.stream_id))
            case StreamReset():
                self._on_reset(event, now, emitted)
            case ConnectionTerminated():
                # open streams are still answered; they end only when the peer closes the connection
                self._draining = True
            case WindowUpdated():
                if self._within_budget(PeerAction.WINDOW_UPDATE, now, emitted):
                    self._reschedule(event.stream_id)
            case RemoteSettingsChanged():
                if self._within_budget(PeerAction.SETTINGS, now, emitted):
                    self._streams.schedule_all()
            case PingReceived():
                self._within_budget(PeerAction.PING, now, emitted)
            case PingAckReceived() if self._draining and event.ping_data == DRAIN_PING:
                self.finish_drain()
            case PriorityUpdated():
                self._within_budget(PeerAction.PRIORITY, now, emitted)
            case UnknownFrameReceived():
                self._on_unknown_frame(event, now, emitted)
            case TrailersReceived():
                pass  # trailers are ignored

    def _reschedule(self, stream: int) -> None:
        """Reschedules after a window update of a stream, or of the connection (stream 0)."""
        if stream:
            self._streams.schedule(stream)
        else:
            self._streams.schedule_all()

    def _within_budget(self, action: PeerAction, now: float, emitted: list[ConnectionEvent]) -> bool:
        """Counts an action of the peer; ends the connection if its budget is exceeded."""
        if self._budget.spend(action, now):
            return True
        self._end(ErrorCodes.ENHANCE_YOUR_CALM, f"too many {action.value}", emitted)
        return False

    def _on_request(self, event: RequestReceived, now: float, emitted: list[ConnectionEvent]) -> None:
        stream, ended = event.stream_id, event.stream_ended is not None
        if self._drained or len(self._streams) >= self.limits.max_streams:
            if self._drained or self._within_budget(PeerAction.REFUSED_STREAM, now, emitted):
                self._streams.send_reset(stream, ErrorCodes.REFUSED_STREAM)  # not processed: the client may retry
            return
        pseudo, fields = _split_fields(event)
        if ended and any(name == "content-length" and value != "0" for name, value in fields):
            if self._within_budget(
                PeerAction.FAULT, now, emitted
            ):  # RFC 9113, section 8.1.1; h2 checks it on DATA frames only
                self._streams.send_reset(stream, ErrorCodes.PROTOCOL_ERROR)
            return
        self._last_accepted_stream = max(self._last_accepted_stream, stream)
        priority = ", ".join(value for name, value in fields if name == "priority")
        self._streams.open(stream, parse_priority(priority, Priority()), request_complete=ended)
        emitted.append(RequestStarted(stream, pseudo.get(":method", ""), pseudo.get(":path", ""), fields, ended))

    def _on_data(self, event: DataReceived, now: float, emitted: list[ConnectionEvent]) -> None:
        credit = event.flow_controlled_length or 0
        if (
            not event.data
            and event.stream_ended is None
            and not self._within_budget(PeerAction.EMPTY_DATA, now, emitted)
        ):
            return
        if self._streams.record_received(event.stream_id, credit):
            emitted.append(BodyReceived(event.stream_id, bytes(event.data or b""), credit))

    def _on_reset(self, event: StreamReset, now: float, emitted: list[ConnectionEvent]) -> None:
        if not event.remote_reset:
            self._within_budget(PeerAction.FAULT, now, emitted)
        if event.stream_id in self._streams:
            self._streams.close(event.stream_id)
            emitted.append(StreamAborted(event.stream_id, int(event.error_code or 0)))
        if event.remote_reset and not self.end_event:
            self._within_budget(PeerAction.RESET, now, emitted)

    def _on_unknown_frame(self, event: UnknownFrameReceived, now: float, emitted: list[ConnectionEvent]) -> None:
        frame = event.frame
        if getattr(frame, "type", None) != PRIORITY_UPDATE_FRAME:
            self._within_budget(PeerAction.UNKNOWN_FRAME, now, emitted)
            return
        body = bytes(frame.body)
        if frame.stream_id != 0 or len(body) < 4:
            code = ErrorCodes.PROTOCOL_ERROR if frame.stream_id else ErrorCodes.FRAME_SIZE_ERROR
            self._end(code, "a malformed PRIORITY_UPDATE", emitted)
        elif self._within_budget(PeerAction.PRIORITY, now, emitted):
            stream = int.from_bytes(body[:4]) & MAX_STREAM_ID
            field = body[4 : 4 + MAX_PRIORITY_FIELD_BYTES].decode("ascii", "replace")
            self._streams.change_priority(stream, parse_priority(field, Priority()))

    # ---- output ----

    def default_priority(self, stream: int, priority: Priority) -> None:
        """Sets the priority of a request without a priority header field."""
        if (state := self._streams.get(stream)) is not None:
            state.priority = priority

    def consume(self, stream: int, credit: int) -> None:
        """Returns credit for body bytes that were read: to the stream's window at once, to the connection's if the
        shared buffers are not full."""
        self._streams.consume(stream, credit)

    def release_credit(self) -> None:
        """Returns withheld credit of the connection window, if the shared buffers have capacity."""
        self._streams.return_credit(0)

    def send_interim(self, stream: int, status: int) -> None:
        """Sends an interim response (1xx)."""
        if stream in self._streams:
            self._h2.send_headers(stream, [(":status", str(status))])

    def send_response_headers(self, stream: int, status: int, fields: list[tuple[str, str]], ended: bool) -> None:
        """Sends the header section of a response; `ended`: no body follows."""
        if stream not in self._streams or self.end_event:
            return
        self._h2.send_headers(stream, [(":status", str(status)), *fields], end_stream=ended)
        if ended:
            self._streams.finish(stream)

    def send_data(self, stream: int, data: bytes, ended: bool = False) -> None:
        """Queues bytes of a response body for `frame_to_send`."""
        if not self.end_event:
            self._streams.add_data(stream, data, ended)

    def pending_bytes(self, stream: int) -> int:
        """Queued bytes of a response body that have not been sent."""
        return self._streams.pending_bytes(stream)

    def is_open(self, stream: int) -> bool:
        """Whether the stream was accepted and has not ended."""
        return stream in self._streams

    def reset(self, stream: int, code: int = ErrorCodes.INTERNAL_ERROR) -> None:
        """Resets an open stream; the rest of its response is discarded."""
        if stream in self._streams:
            self._streams.close(stream)
            self._streams.send_reset(stream, code)

    @property
    def has_body_frame(self) -> bool:
        """Whether a body frame can be sent now."""
        return self._streams.has_frame

    def control_to_send(self) -> bytes:
        """Returns all pending output except response bodies."""
        out = bytes(self._control_out) + self._h2.data_to_send()
        self._control_out.clear()
        return out

    def frame_to_send(self) -> bytes:
        """Returns one body frame of the next scheduled stream; empty if none can be sent now."""
        return self._h2.data_to_send() if self._streams.send_frame() else b""

    # ---- termination ----

    def _end(self, code: int, reason: str, emitted: list[ConnectionEvent]) -> None:
        """Ends the connection with a GOAWAY of our own: that of h2 lacks our last accepted stream and in some cases the
        right error code."""
        if self.end_event is not None:
            return
        self.end_event = ConnectionEnded(int(code), reason)
        self._h2.clear_outbound_data_buffer()
        self._send_goaway(self._last_accepted_stream, code)
        self._streams.close_all()
        emitted.append(self.end_event)

    def lost(self) -> None:
        """The transport was closed: closes all streams and releases their buffers."""
        self._streams.close_all()
        self.end_event = self.end_event or ConnectionEnded(0, "transport closed")

    def drain(self) -> None:
        """Sends a GOAWAY that announces the drain, and a PING. The peer's acknowledgement triggers `finish_drain`."""
        if not self._draining and not self.end_event:
            self._draining = True
            self._send_goaway(MAX_STREAM_ID)
            self._h2.ping(DRAIN_PING)

    def finish_drain(self) -> None:
        """Sends the final GOAWAY with the last accepted stream; new streams are refused from now on."""
        if not self._drained and not self.end_event:
            self._drained = True
            self._send_goaway(self._last_accepted_stream)

    def _send_goaway(self, last: int, code: int = ErrorCodes.NO_ERROR) -> None:
        # bypasses h2, which ends the connection on GOAWAY; RFC 9113, section 6.8, allows several while streams continue
        self._control_out += self._h2.data_to_send()
        self._control_out += GoAwayFrame(stream_id=0, last_stream_id=last, error_code=int(code)).serialize()

    @property
    def done(self) -> bool:
        """Whether the connection has ended, or is drained with no open streams."""
        return self.end_event is not None or (self._drained and not len(self._streams))


def _split_fields(event: RequestReceived) -> tuple[dict[str, str], tuple[tuple[str, str], ...]]:
    """Splits pseudo-header fields from the others; adds a host field from :authority if there is none."""
    pseudo: dict[str, str] = {}
    fields: list[tuple[str, str]] = []
    for name, value in event.headers:
        if name.startswith(":"):
            pseudo[name] = value
        else:
            fields.append((name, value))
    if ":authority" in pseudo and not any(name == "host" for name, _ in fields):
        fields.insert(0, ("host", pseudo[":authority"]))
    return pseudo, tuple(fields)
