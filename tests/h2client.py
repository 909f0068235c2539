"""HTTP/2 test client: concurrent streams on one connection, with controllable reading and credit."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    InformationalResponseReceived,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.settings import SettingCodes, Settings


@dataclass
class Response:
    """The response received on one stream."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    reset: int | None = None
    ended: bool = False
    interim: list[int] = field(default_factory=list)
    ends: int = 0  # number of stream ends; more than one is a fault
    done: asyncio.Event = field(default_factory=asyncio.Event)
    last_at: float = 0.0


class _H2(H2Connection):
    def _receive_goaway_frame(self, frame):
        state = self.state_machine.state  # accepted streams continue after a GOAWAY
        result = super()._receive_goaway_frame(frame)
        self.state_machine.state = state
        return result


class Client:
    """One client connection."""

    def __init__(self, port: int, window: int = 1 << 20) -> None:
        self.port, self.window = port, window
        self.streams: dict[int, Response] = {}
        self.withhold_credit: set[int] = set()  # streams whose received bytes are not acknowledged
        self.goaways: list[tuple[int, int]] = []  # last stream, code
        self.closed = asyncio.Event()
        self.reading_enabled = asyncio.Event()
        self.reading_enabled.set()
        self._credit = asyncio.Event()

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        self.h2 = _H2(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.h2.local_settings = Settings(client=True, initial_values={SettingCodes.INITIAL_WINDOW_SIZE: self.window})
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 26)
        self.flush()
        self.task = asyncio.create_task(self._read())
        return self

    async def __aexit__(self, *_) -> None:
        self.task.cancel()
        self.writer.transport.abort()

    def flush(self) -> None:
        """Writes the pending output of h2."""
        if data := self.h2.data_to_send():
            self.writer.write(data)

    async def _read(self) -> None:
        try:
            while True:
                await self.reading_enabled.wait()
                data = await self.reader.read(1 << 16)
                if not data:
                    break
                for event in self.h2.receive_data(data):
                    self._handle(event)
                self.flush()
        except ConnectionError:
            pass
        finally:
            for got in self.streams.values():
                got.done.set()
            self._credit.set()
            self.closed.set()

    def _handle(self, event) -> None:
        got = self.streams.get(getattr(event, "stream_id", 0))
        if isinstance(event, ConnectionTerminated):
            self.goaways.append((event.last_stream_id, int(event.error_code)))
        elif isinstance(event, WindowUpdated):
            self._credit.set()
        elif got is None:
            return
        elif isinstance(event, InformationalResponseReceived):
            got.interim.append(int(dict(event.headers)[":status"]))
        elif isinstance(event, ResponseReceived):
            got.headers = dict(event.headers)
            got.status = int(got.headers[":status"])
        elif isinstance(event, DataReceived):
            got.body += event.data
            got.last_at = asyncio.get_running_loop().time()
            if event.stream_id not in self.withhold_credit and event.flow_controlled_length:
                self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        elif isinstance(event, StreamReset):
            got.reset, got.ends = int(event.error_code), got.ends + (not got.ended)
            got.done.set()
        elif isinstance(event, StreamEnded):
            got.ended, got.ends = True, got.ends + 1
            got.last_at = asyncio.get_running_loop().time()
            got.done.set()

    def begin(self, method: str, path: str, headers: dict[str, str] | None = None, end: bool = True) -> int:
        """Sends the header section of a request and returns its stream id."""
        stream = self.h2.get_next_available_stream_id()
        self.streams[stream] = Response()
        fields = [(":method", method), (":scheme", "http"), (":authority", "front"), (":path", path)]
        self.h2.send_headers(stream, fields + [(k.lower(), v) for k, v in (headers or {}).items()], end_stream=end)
        self.flush()
        return stream

    async def send(self, stream: int, data: bytes, end: bool = True) -> None:
        """Sends a body as the flow-control windows allow."""
        offset = 0
        while offset < len(data) or (end and not data):
            window_bytes = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)
            if window_bytes <= 0:
                self._credit.clear()
                await self._credit.wait()
                if self.closed.is_set() or self.streams[stream].done.is_set():
                    return
                continue
            segment = data[offset : offset + window_bytes]
            offset += len(segment)
            self.h2.send_data(stream, segment, end_stream=end and offset >= len(data))
            self.flush()
            await self.writer.drain()
            if not data:
                return

    def reset(self, stream: int, code: int = 8) -> None:
        """Resets a stream; the default code is CANCEL."""
        self.h2.reset_stream(stream, code)
        self.flush()

    async def wait_response(self, stream: int) -> Response:
        """Waits until the stream has ended and returns its response."""
        got = self.streams[stream]
        await got.done.wait()
        return got

    async def call(self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None) -> Response:
        """Sends a complete request and returns its response."""
        stream = self.begin(method, path, headers, end=not body)
        if body:
            await self.send(stream, body)
        return await self.wait_response(stream)
