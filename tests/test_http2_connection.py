"""Tests of the connection object without a socket: scheduling, flow control, rate limits, draining, random frames."""

import pytest
from h2.config import H2Configuration
from h2.events import ConnectionTerminated, DataReceived, ResponseReceived, StreamEnded, StreamReset
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes, Settings
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ochrespan.http2.connection import Connection
from ochrespan.http2.events import BodyEnded, BodyReceived, ConnectionEnded, RequestStarted, StreamAborted
from ochrespan.http2.limits import ALLOWANCES, BufferBudget, Limits, PeerAction, PeerBudget
from ochrespan.http2.scheduling import LOWER_LEVEL_INTERVAL, FrameScheduler, Priority, parse_priority

from .h2client import _H2 as ClientH2
from .http2_cases import GET, PREFACE, frame

SMALL = Limits(max_streams=6, stream_window_bytes=1000, connection_window_bytes=65_535)


class Pair:
    """An h2 client and a server connection; `exchange_bytes` passes the bytes between them."""

    def __init__(self, limits: Limits = SMALL, buffers: BufferBudget | None = None, window: int = 65_535) -> None:
        self.now, self.buffers = 0.0, buffers or BufferBudget(1 << 20)
        self.server = Connection(limits, self.buffers, self.now)
        self.client = ClientH2(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.client.local_settings = Settings(client=True, initial_values={SettingCodes.INITIAL_WINDOW_SIZE: window})
        self.client.initiate_connection()
        self.events, self.client_events = [], []
        self.exchange_bytes()
        # a client that ignores the stream limit, so that the server has to refuse
        self.client.remote_settings[SettingCodes.MAX_CONCURRENT_STREAMS] = 100
        self.client.remote_settings.acknowledge()

    def exchange_bytes(self) -> None:
        for _ in range(4):
            self.events += self.server.receive(self.client.data_to_send(), self.now)
            out = self.server.control_to_send()
            while self.server.has_body_frame and (body := self.server.frame_to_send()):
                out += body
            self.client_events += self.client.receive_data(out)

    def start_request(self, body: bool = False, **fields: str) -> int:
        stream = self.client.get_next_available_stream_id()
        self.client.send_headers(stream, [*GET, *((k, v) for k, v in fields.items())], end_stream=not body)
        self.exchange_bytes()
        return stream

    def received_body(self, stream: int) -> bytes:
        return b"".join(e.data for e in self.client_events if isinstance(e, DataReceived) and e.stream_id == stream)


# ---- scheduling ----


@pytest.mark.parametrize(
    ("value", "wanted"),
    [
        ("", (3, False)),
        ("u=0", (0, False)),
        ("u=7, i", (7, True)),
        ("i", (3, True)),
        ("i=?0", (3, False)),
        ("i=?1,u=5", (5, True)),
        ("u=8", (3, False)),
        ("u=-1", (3, False)),
        ("u=x", (3, False)),
        ("u=2;a=1", (2, False)),
        ("u=1, u=4", (4, False)),
        ("nonsense", (3, False)),
        ("u=99999999999999999999", (3, False)),
    ],
)
def test_the_priority_field_is_parsed_according_to_rfc_9218(value, wanted):
    assert parse_priority(value, Priority()) == Priority(*wanted)


def test_frames_are_scheduled_by_urgency_and_stream_without_starvation():
    scheduler = FrameScheduler()
    for stream, urgency, incremental in ((9, 3, False), (5, 3, False), (7, 3, True), (11, 3, True), (1, 6, False)):
        scheduler.add(stream, Priority(urgency, incremental))
    got = [scheduler.next() for _ in range(800)]
    assert got.count(1) == 800 // LOWER_LEVEL_INTERVAL  # the stream of the less urgent level
    expected_count = (800 - 800 // LOWER_LEVEL_INTERVAL) / 2
    assert abs(got.count(5) - expected_count) <= 1 and abs(got.count(7) - got.count(11)) <= 1 and got.count(9) == 0
    scheduler.remove(5)
    assert 9 in [scheduler.next() for _ in range(3)]
    for stream in (7, 9, 11, 1):
        scheduler.remove(stream)
    assert scheduler.next() is None and len(scheduler) == 0


def test_an_urgent_response_overtakes_a_long_one_whose_window_is_closed():
    pair = Pair(window=20_000)
    long, urgent = pair.start_request(priority="u=5"), pair.start_request(priority="u=0")
    for stream in (long, urgent):
        pair.server.send_response_headers(stream, 200, [], False)
    pair.server.send_data(long, b"l" * 60_000, True)
    pair.exchange_bytes()
    assert len(pair.received_body(long)) == 20_000  # its window size
    pair.server.send_data(urgent, b"u" * 10_000, True)
    pair.exchange_bytes()
    assert pair.received_body(urgent) == b"u" * 10_000 and len(pair.received_body(long)) == 20_000
    pair.client.increment_flow_control_window(40_000, long)
    pair.client.increment_flow_control_window(40_000)
    pair.exchange_bytes()
    assert pair.received_body(long) == b"l" * 60_000 and pair.server.open_streams == 0


# ---- flow control ----


def test_credit_is_returned_when_the_body_is_read_and_not_before():
    pair = Pair()
    stream = pair.start_request(body=True)
    pair.client.send_data(stream, b"x" * 1000)
    pair.exchange_bytes()
    assert pair.client.local_flow_control_window(stream) == 0 and pair.buffers.used_bytes == 1000
    body = next(one for one in pair.events if isinstance(one, BodyReceived))
    pair.server.consume(stream, body.credit)
    pair.exchange_bytes()
    assert pair.client.local_flow_control_window(stream) == 1000 and pair.buffers.used_bytes == 0


def test_credit_is_withheld_while_the_shared_buffers_are_full():
    buffers = BufferBudget(1500)
    one, two = Pair(buffers=buffers), Pair(buffers=buffers)
    streams = []
    for pair in (one, two):
        for _ in range(2):
            stream = pair.start_request(body=True)
            pair.client.send_data(stream, b"x" * 1000)
            streams.append((pair, stream))
        pair.exchange_bytes()
    before = one.client.outbound_flow_control_window
    one.server.consume(streams[0][1], 1000)
    one.exchange_bytes()
    assert buffers.used_bytes == 3000 and one.client.outbound_flow_control_window == before  # still above the capacity
    two.server.consume(streams[2][1], 1000)
    two.server.consume(streams[3][1], 1000)
    one.server.release_credit()
    one.exchange_bytes()
    assert buffers.used_bytes == 1000 and one.client.outbound_flow_control_window == before + 1000


def test_credit_of_padding_and_of_data_for_refused_streams_is_returned():
    pair = Pair()
    taken = [pair.start_request(body=True) for _ in range(6)]
    stream = pair.client.get_next_available_stream_id()
    pair.client.send_headers(stream, GET)
    pair.client.send_data(stream, b"x" * 500)
    before = pair.client.outbound_flow_control_window
    pair.exchange_bytes()
    assert any(isinstance(e, StreamReset) and e.stream_id == stream and e.error_code == 7 for e in pair.client_events)
    assert pair.client.outbound_flow_control_window == before + 500 and pair.buffers.used_bytes == 0
    pair.client.send_data(taken[0], b"x" * 100, pad_length=200)
    pair.exchange_bytes()
    credit = [one.credit for one in pair.events if isinstance(one, BodyReceived)]
    assert credit == [301] and pair.buffers.used_bytes == 301
    pair.client.reset_stream(taken[0])
    pair.exchange_bytes()
    assert pair.buffers.used_bytes == 0 and StreamAborted(taken[0], 0) in pair.events


def test_a_response_before_the_end_of_the_body_resets_the_stream_with_no_error():
    pair = Pair()
    stream = pair.start_request(body=True)
    pair.server.send_response_headers(stream, 413, [], True)
    pair.exchange_bytes()
    ends = [e for e in pair.client_events if getattr(e, "stream_id", None) == stream]
    assert any(isinstance(e, ResponseReceived) for e in ends)
    assert [e.error_code for e in ends if isinstance(e, StreamReset)] == [0] and pair.server.open_streams == 0


# ---- rate limits ----


@pytest.mark.parametrize("action", list(PeerAction))
def test_each_action_has_its_own_burst_and_rate(action):
    budget, allowance = PeerBudget(), ALLOWANCES[action]
    assert all(budget.spend(action, 0.0) for _ in range(int(allowance.burst)))
    assert not budget.spend(action, 0.0)
    assert budget.spend(action, 2.1 / allowance.rate_per_s)
    assert all(budget.spend(other, 0.0) for other in PeerAction if other is not action)
    assert not budget.spend(action, -5.0)  # a clock that steps back refills nothing


# ---- draining ----


def test_a_drain_sends_two_goaways_and_accepts_streams_between_them():
    pair = Pair()
    first = pair.start_request()
    pair.server.drain()
    pair.server.drain()
    out = pair.server.control_to_send()
    between = pair.start_request()  # sent before the client receives the GOAWAY
    pair.client_events += pair.client.receive_data(out)
    pair.exchange_bytes()  # the client acknowledges the ping
    said = [(e.last_stream_id, e.error_code) for e in pair.client_events if isinstance(e, ConnectionTerminated)]
    assert said == [(2**31 - 1, 0), (between, 0)] and not pair.server.done
    late = pair.start_request()
    for stream in (first, between):
        pair.server.send_response_headers(stream, 200, [], True)
    pair.exchange_bytes()
    assert {e.stream_id for e in pair.client_events if isinstance(e, StreamEnded)} == {first, between}
    assert [e.error_code for e in pair.client_events if isinstance(e, StreamReset) and e.stream_id == late] == [7]
    assert pair.server.done and pair.server.end_event is None


# ---- random frames ----

FRAMES = st.tuples(st.integers(0, 12), st.binary(max_size=40), st.integers(0, 255), st.integers(0, 9))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(frames=st.lists(FRAMES, max_size=30), cuts=st.integers(1, 50), valid=st.booleans())
def test_random_frames_keep_events_and_buffers_consistent(frames, cuts, valid):
    data = PREFACE + frame(4) + b"".join(frame(kind, body, flags, stream) for kind, body, flags, stream in frames)
    if not valid:
        data = data[cuts:] + data[:cuts]
    buffers = BufferBudget(10_000)
    connection = Connection(SMALL, buffers, 0.0)
    open_: set[int] = set()
    for at in range(0, len(data), cuts):
        for event in connection.receive(data[at : at + cuts], at * 0.001):
            match event:
                case RequestStarted(stream):
                    assert stream not in open_
                    open_.add(stream)
                case StreamAborted(stream):
                    open_.remove(stream)
                case BodyReceived(stream) | BodyEnded(stream):
                    assert stream in open_
                case ConnectionEnded():
                    open_.clear()
        assert connection.open_streams == len(open_) <= SMALL.max_streams and 0 <= buffers.used_bytes <= 65_535
        connection.control_to_send()
    connection.lost()
    assert buffers.used_bytes == 0 and connection.open_streams == 0


class Streams(RuleBasedStateMachine):
    """State machine: a client that conforms to the RFC, responses in any order, and flow control in both directions."""

    def __init__(self) -> None:
        super().__init__()
        self.pair = Pair()
        self.sent: dict[int, bytes] = {}  # response bytes by stream
        self.completed: set[int] = set()
        self.unread: list[tuple[int, int]] = []
        self.seen = 0
        self.uploading: set[int] = set()

    def process_events(self) -> None:
        self.pair.now += 0.05
        self.pair.exchange_bytes()
        for event in self.pair.events[self.seen :]:
            assert not isinstance(event, ConnectionEnded)
            if isinstance(event, RequestStarted):
                self.sent[event.stream] = b""
            elif isinstance(event, BodyReceived):
                self.unread.append((event.stream, event.credit))
            elif isinstance(event, StreamAborted):
                self.sent.pop(event.stream)
        self.seen = len(self.pair.events)

    def open_now(self) -> list[int]:
        return [s for s in self.sent if self.pair.server.is_open(s) and s not in self.completed]

    @rule(body=st.booleans())
    def start_request(self, body):
        stream = self.pair.start_request(body)
        if body:
            self.uploading.add(stream)
        self.process_events()

    @precondition(lambda self: self.uploading & set(self.open_now()))
    @rule(data=st.data(), size=st.integers(0, 3000))
    def upload(self, data, size):
        stream = data.draw(st.sampled_from(sorted(self.uploading & set(self.open_now()))))
        size = min(size, self.pair.client.local_flow_control_window(stream))
        self.pair.client.send_data(stream, b"x" * size, end_stream=size % 2 == 1)
        if size % 2:
            self.uploading.discard(stream)
        self.process_events()

    @precondition(lambda self: self.unread)
    @rule()
    def read_body(self):
        self.pair.server.consume(*self.unread.pop(0))
        self.process_events()

    @precondition(lambda self: self.open_now())
    @rule(data=st.data(), size=st.integers(0, 90_000), ended=st.booleans())
    def send_response(self, data, size, ended):
        stream = data.draw(st.sampled_from(self.open_now()))
        if not self.sent[stream]:
            self.pair.server.send_response_headers(stream, 200, [], False)
        segment = bytes([stream % 256]) * (size + 1)
        self.sent[stream] += segment
        self.pair.server.send_data(stream, segment, ended)
        if ended:
            self.completed.add(stream)
        self.process_events()

    @rule(size=st.integers(1, 60_000))
    def credit(self, size):
        self.pair.client.increment_flow_control_window(size)
        for stream in list(self.sent):
            try:
                self.pair.client.increment_flow_control_window(size, stream)
            except (ProtocolError, ValueError, KeyError):
                continue
        self.process_events()

    @precondition(lambda self: self.open_now())
    @rule(data=st.data())
    def reset(self, data):
        stream = data.draw(st.sampled_from(self.open_now()))
        self.pair.client.reset_stream(stream)
        self.uploading.discard(stream)
        self.process_events()

    @invariant()
    def response_bytes_arrive_in_order_and_once(self):
        for stream, sent in self.sent.items():
            received = self.pair.received_body(stream)
            assert sent.startswith(received)
            if self.pair.server.is_open(stream):
                assert len(received) + self.pair.server.pending_bytes(stream) == len(sent)
            elif stream in self.completed:
                assert received == sent
        assert self.pair.server.open_streams <= SMALL.max_streams and self.pair.buffers.used_bytes >= 0


Streams.TestCase.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=25, deadline=None, phases=(Phase.explicit, Phase.generate)
)
TestStreams = Streams.TestCase
