"""Typed messages: codec, framed connections, calls and datagrams over loopback."""

from dataclasses import dataclass

import gevent
import ormsgpack
import pytest
from gevent.event import AsyncResult, Event

from ochrespan.transport import codec, rpc, tcp, udp


@codec.message("test.echo")
@dataclass(slots=True)
class Echo:
    text: str
    extra: int = 7


def test_a_message_survives_the_way_there_and_back():
    assert codec.decode(codec.encode(Echo("a", 3))) == Echo("a", 3)


def test_a_message_of_another_version_is_read_as_far_as_it_is_known():
    assert codec.decode(ormsgpack.packb(["test.echo", "a"])) == Echo("a", 7)
    assert codec.decode(ormsgpack.packb(["test.echo", "a", 1, "new field"])) == Echo("a", 1)


@pytest.mark.parametrize("data", [b"", b"\xc1", ormsgpack.packb(3), ormsgpack.packb([]), ormsgpack.packb(["nobody"]),
                                  ormsgpack.packb(["test.echo"]), ormsgpack.packb([["test.echo"]])])
def test_bytes_that_are_no_message_are_told_by_place_found_and_allowed(data):
    with pytest.raises(codec.MessageError) as caught:
        codec.decode(data)
    assert caught.value.where and caught.value.found and caught.value.allowed


@pytest.mark.parametrize("text", ["", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:x", "10.0.0.1:70000"])
def test_a_malformed_address_is_refused(text):
    with pytest.raises(ValueError, match="IP:PORT"):
        tcp.parse_address(text)


@pytest.fixture
def server():
    server = rpc.CallServer(("127.0.0.1", 0))
    server.start()
    yield server
    server.stop()


def test_calls_under_way_at_once_get_their_own_replies(server):
    held = {"first": Event(), "second": Event()}

    def answer(request: Echo) -> Echo:
        held[request.text].wait()
        return Echo(request.text, 1)

    server.on_call(Echo, answer)
    caller = rpc.Caller(server.address)
    first = gevent.spawn(caller.call, Echo("first"), 5.0)
    second = gevent.spawn(caller.call, Echo("second"), 5.0)
    held["second"].set()
    assert second.get() == Echo("second", 1)
    held["first"].set()
    assert first.get() == Echo("first", 1)


def test_a_call_that_raises_fails_and_the_connection_goes_on(server):
    server.on_call(Echo, lambda request: Echo(str(1 // request.extra), 0))
    caller = rpc.Caller(server.address)
    with pytest.raises(rpc.CallFailed, match="ZeroDivisionError"):
        caller.call(Echo("a", 0), 5.0)
    assert caller.call(Echo("a", 1), 5.0) == Echo("1", 0)


def test_a_call_without_an_answer_fails_when_its_time_is_up_or_its_connection_ends(server):
    connections = AsyncResult()
    server.on_push(Echo, lambda connection, _: connections.set(connection))
    server.on_call(Echo, lambda _: Event().wait())
    caller = rpc.Caller(server.address)
    with pytest.raises(rpc.CallFailed):
        caller.call(Echo("a"), 0.05)
    waiting = gevent.spawn(caller.call, Echo("a"), 5.0)
    gevent.idle()
    caller._connected().send(Echo("push"))
    connections.get().close()
    with pytest.raises(rpc.CallFailed):
        waiting.get()


def test_a_frame_that_claims_to_be_huge_ends_its_connection_alone(server):
    server.on_call(Echo, lambda request: request)
    raw = gevent.socket.create_connection(server.address)
    raw.sendall(b"\xff\xff\xff\xff")
    assert raw.recv(1) == b""
    assert rpc.Caller(server.address).call(Echo("a"), 5.0) == Echo("a")


def test_a_peer_that_does_not_read_is_cut_off_instead_of_filling_memory(monkeypatch):
    monkeypatch.setattr(tcp, "MAX_QUEUED_BYTES", 1000)
    accepted = AsyncResult()
    ended = Event()

    def hold(connection: tcp.Connection) -> None:
        accepted.set(connection)
        ended.wait()

    listener = tcp.Listener(("127.0.0.1", 0), hold)
    listener.start()
    raw = gevent.socket.create_connection(listener.address)
    connection = accepted.get()
    with pytest.raises(tcp.ConnectionClosed):
        for _ in range(3):
            connection.send(Echo("x" * 600))
    assert connection.closed
    ended.set()
    raw.close()
    listener.stop()


def test_datagrams_arrive_and_garbage_ends_nothing():
    got = AsyncResult()
    receiver = udp.DatagramEndpoint(("127.0.0.1", 0), lambda value, peer: got.set(value))
    receiver.start()
    sender = udp.DatagramEndpoint(("127.0.0.1", 0), lambda value, peer: None)
    sender.start()
    raw = gevent.socket.socket(type=gevent.socket.SOCK_DGRAM)
    raw.sendto(b"garbage", receiver.address)
    sender.send(Echo("x" * 2000), receiver.address)
    sender.send(Echo("a"), receiver.address)
    assert got.get(timeout=5) == Echo("a")
    raw.close()
    receiver.stop()
    sender.stop()
