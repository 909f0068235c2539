"""Typed messages: codec, framed connections, RPC and datagrams over loopback."""

from dataclasses import dataclass

import gevent
import ormsgpack
import pytest
from gevent.event import AsyncResult, Event

from ochrespan.common.addresses import parse_address
from ochrespan.transport import codec, rpc, tcp, udp


@codec.message("test.echo")
@dataclass(slots=True)
class Echo:
    text: str
    extra: int = 7


def test_a_message_survives_encoding_and_decoding():
    assert codec.decode(codec.encode(Echo("a", 3))) == Echo("a", 3)


def test_missing_fields_take_their_defaults_and_unknown_ones_are_ignored():
    assert codec.decode(ormsgpack.packb(["test.echo", "a"])) == Echo("a", 7)
    assert codec.decode(ormsgpack.packb(["test.echo", "a", 1, "new field"])) == Echo("a", 1)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        ormsgpack.packb(3),
        ormsgpack.packb([]),
        ormsgpack.packb(["nobody"]),
        ormsgpack.packb(["test.echo"]),
        ormsgpack.packb([["test.echo"]]),
    ],
)
def test_bytes_that_are_no_message_raise_where_what_was_found_and_allowed(data):
    with pytest.raises(codec.MessageError) as caught:
        codec.decode(data)
    assert caught.value.where
    assert caught.value.found
    assert caught.value.allowed


@pytest.mark.parametrize("text", ["", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:x", "10.0.0.1:70000"])
def test_a_malformed_address_is_rejected(text):
    with pytest.raises(ValueError, match="IP:PORT"):
        parse_address(text)


@pytest.fixture
def server():
    server = rpc.RpcServer(("127.0.0.1", 0))
    server.start()
    yield server
    server.stop()


def test_concurrent_calls_get_their_own_responses(server):
    released = {"first": Event(), "second": Event()}

    def handle(request: Echo) -> Echo:
        released[request.text].wait()
        return Echo(request.text, 1)

    server.on_request(Echo, handle)
    caller = rpc.RpcClient(server.address)
    first = gevent.spawn(caller.call, Echo("first"), 5.0)
    second = gevent.spawn(caller.call, Echo("second"), 5.0)
    released["second"].set()
    assert second.get() == Echo("second", 1)
    released["first"].set()
    assert first.get() == Echo("first", 1)


def test_a_handler_that_raises_fails_its_call_and_the_connection_stays_open(server):
    server.on_request(Echo, lambda request: Echo(str(1 // request.extra), 0))
    caller = rpc.RpcClient(server.address)
    with pytest.raises(rpc.RpcError, match="ZeroDivisionError"):
        caller.call(Echo("a", 0), 5.0)
    assert caller.call(Echo("a", 1), 5.0) == Echo("1", 0)


def test_a_call_without_response_fails_at_its_timeout_or_when_its_connection_ends(server):
    connections = AsyncResult()
    server.on_push(Echo, lambda connection, _: connections.set(connection))
    server.on_request(Echo, lambda _: Event().wait())
    caller = rpc.RpcClient(server.address)
    with pytest.raises(rpc.RpcError):
        caller.call(Echo("a"), 0.05)
    waiting = gevent.spawn(caller.call, Echo("a"), 5.0)
    gevent.idle()
    caller._ensure_connected().send(Echo("push"))
    connections.get().close()
    with pytest.raises(rpc.RpcError):
        waiting.get()


def test_a_frame_with_a_too_large_length_ends_its_connection_alone(server):
    server.on_request(Echo, lambda request: request)
    raw = gevent.socket.create_connection(server.address)
    raw.sendall(b"\xff\xff\xff\xff")
    assert raw.recv(1) == b""
    assert rpc.RpcClient(server.address).call(Echo("a"), 5.0) == Echo("a")


def test_the_connection_to_a_peer_that_does_not_read_is_closed_at_a_full_queue(monkeypatch):
    monkeypatch.setattr(tcp, "MAX_QUEUED_BYTES", 1000)
    accepted = AsyncResult()
    ended = Event()

    def keep_open(connection: tcp.Connection) -> None:
        accepted.set(connection)
        ended.wait()

    listener = tcp.Listener(("127.0.0.1", 0), keep_open)
    listener.start()
    raw = gevent.socket.create_connection(listener.address)
    connection = accepted.get()
    with pytest.raises(tcp.ConnectionClosedError):
        for _ in range(3):
            connection.send(Echo("x" * 600))
    assert connection.closed
    ended.set()
    raw.close()
    listener.stop()


def test_datagrams_arrive_after_malformed_and_too_large_ones():
    received = AsyncResult()
    receiver = udp.DatagramEndpoint(("127.0.0.1", 0), lambda value, _peer: received.set(value))
    receiver.start()
    sender = udp.DatagramEndpoint(("127.0.0.1", 0), lambda _value, _peer: None)
    sender.start()
    raw = gevent.socket.socket(type=gevent.socket.SOCK_DGRAM)
    raw.sendto(b"garbage", receiver.address)
    sender.send(Echo("x" * 2000), receiver.address)
    sender.send(Echo("a"), receiver.address)
    assert received.get(timeout=5) == Echo("a")
    raw.close()
    receiver.stop()
    sender.stop()


# Lost, late and misdirected responses


def raw_server(serve):
    """A listener that runs `serve(connection)` for each connection, in place of an RpcServer."""
    listener = tcp.Listener(("127.0.0.1", 0), serve)
    listener.start()
    return listener


def test_a_timeout_within_a_frame_loses_no_byte_of_it():
    frame = codec.encode(Echo("whole"))
    half, go_on = Event(), Event()

    def serve(connection):
        data = len(frame).to_bytes(4, "big") + frame
        connection._socket.sendall(data[:7])
        half.set()
        go_on.wait()
        connection._socket.sendall(data[7:])
        connection.receive()

    listener = raw_server(serve)
    connection = tcp.dial(listener.address, 1.0)
    half.wait()
    with pytest.raises(TimeoutError):
        connection.receive(timeout=0.05)
    assert not connection.closed
    go_on.set()
    assert connection.receive(timeout=5.0) == Echo("whole")
    listener.stop()


def test_a_response_after_its_call_has_timed_out_completes_no_other_call():
    """The server responds to each call only once the next has arrived, to the earlier one first."""
    numbers = []

    def serve(connection):
        while True:
            call = connection.receive()
            numbers.append(call.number)
            if len(numbers) > 1:
                connection.send(rpc.RpcResponse(numbers[-2], codec.encode(Echo(f"for {numbers[-2]}"))))
                connection.send(rpc.RpcResponse(numbers[-1], codec.encode(Echo(f"for {numbers[-1]}"))))

    listener = raw_server(serve)
    caller = rpc.RpcClient(listener.address)
    with pytest.raises(rpc.RpcError):
        caller.call(Echo("first"), 0.05)
    assert caller.call(Echo("second"), 5.0) == Echo(f"for {numbers[1]}")
    listener.stop()


def test_the_end_of_a_connection_fails_no_call_of_its_successor():
    """The client notices the end of the old connection only after it has sent a call over the new one."""
    connections, respond = [], Event()

    def serve(connection):
        connections.append(connection)
        call = connection.receive()
        if len(connections) == 1:
            Event().wait()
        respond.wait()
        connection.send(rpc.RpcResponse(call.number, codec.encode(Echo("answered"))))
        connection.receive()

    listener = raw_server(serve)
    caller = rpc.RpcClient(listener.address)
    lost = gevent.spawn(caller.call, Echo("lost"), 5.0)
    while not connections:
        gevent.sleep(0.001)
    old = caller._connection
    caller._connection = None  # as if it were closed before its greenlet has noticed
    second = gevent.spawn(caller.call, Echo("second"), 5.0)
    while len(connections) < 2:
        gevent.sleep(0.001)
    old.close()
    gevent.sleep(0.01)
    respond.set()
    assert second.get() == Echo("answered")
    with pytest.raises(rpc.RpcError):
        lost.get()
    listener.stop()


def test_a_call_whose_connection_is_closed_after_it_was_read_is_sent_once(server):
    """It is unknown whether the call was executed, so only the caller may repeat it."""
    seen = []

    def serve(connection):
        seen.append(connection.receive())
        connection.close()

    listener = raw_server(serve)
    caller = rpc.RpcClient(listener.address)
    with pytest.raises(rpc.RpcError):
        caller.call(Echo("once"), 1.0)
    gevent.sleep(0.05)
    assert len(seen) == 1
    listener.stop()


def test_a_response_over_another_connection_is_ignored():
    """Numbers continue over connections, but a response counts only on the connection that carried the request."""
    caller = rpc.RpcClient(("127.0.0.1", 1))
    carrier, other, result = object(), object(), AsyncResult()
    caller._pending_calls[7] = rpc._PendingCall(carrier, result)
    caller._handle_response(other, rpc.RpcResponse(7, b""))
    assert not result.ready()
    caller._handle_response(carrier, rpc.RpcResponse(7, b""))
    assert result.ready()
