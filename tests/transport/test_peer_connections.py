"""Outgoing connections to peers over loopback: opened when needed, replaced after a time-out, dropped when idle."""

from dataclasses import dataclass

import gevent
import pytest
from gevent.queue import Queue

from ochrespan.transport import codec, peer_connections, tcp
from ochrespan.transport.peer_connections import PeerConnections
from tests.support.replica_hosts import free_port


@codec.message("test.note")
@dataclass(slots=True)
class NumberedMessage:
    number: int


class Peer:
    """A listener that records received messages and counts its connections."""

    def __init__(self, port: int = 0) -> None:
        self.received: Queue = Queue()
        self.connections = 0
        self._listener = tcp.Listener(("127.0.0.1", port), self._serve)
        self._listener.start()
        self.address = self._listener.address

    def stop(self) -> None:
        self._listener.stop()

    def next_number(self) -> int:
        return self.received.get(timeout=5.0).number

    def _serve(self, connection: tcp.Connection) -> None:
        self.connections += 1
        while True:
            self.received.put(connection.receive())


@pytest.fixture
def peer():
    peer = Peer()
    yield peer
    peer.stop()


@pytest.fixture
def connections():
    connections = PeerConnections()
    yield connections
    connections.close()


def test_messages_that_are_sent_while_the_connection_opens_arrive_in_order_over_one(peer, connections):
    for number in range(3):
        connections.send(peer.address, NumberedMessage(number))
    assert [peer.next_number() for _ in range(3)] == [0, 1, 2]
    assert peer.connections == 1


def test_the_newest_messages_alone_wait_for_a_connection(peer, connections):
    count = peer_connections.QUEUED_MESSAGES + 5
    for number in range(count):
        connections.send(peer.address, NumberedMessage(number))
    assert [peer.next_number() for _ in range(peer_connections.QUEUED_MESSAGES)] == list(range(5, count))


def test_a_peer_that_was_unreachable_gets_its_messages_after_the_backoff(connections):
    port = free_port()
    connections.send(("127.0.0.1", port), NumberedMessage(1))
    gevent.sleep(0.02)  # the attempt to connect has failed by now
    peer = Peer(port)
    gevent.sleep(peer_connections.DIAL_BACKOFF_S)
    connections.send(("127.0.0.1", port), NumberedMessage(2))
    assert [peer.next_number() for _ in range(2)] == [1, 2]
    peer.stop()


def test_a_connection_to_a_peer_that_sends_nothing_is_replaced_and_one_in_contact_stays(peer, connections, monkeypatch):
    monkeypatch.setattr(peer_connections, "PEER_TIMEOUT_S", 0.05)
    connections.send(peer.address, NumberedMessage(1))
    assert peer.next_number() == 1
    gevent.sleep(0.1)
    connections.record_contact(peer.address)
    connections.maintain()
    connections.send(peer.address, NumberedMessage(2))
    assert peer.next_number() == 2
    assert peer.connections == 1
    gevent.sleep(0.1)
    connections.maintain()
    connections.send(peer.address, NumberedMessage(3))
    assert peer.next_number() == 3
    assert peer.connections == 2


def test_a_connection_that_is_not_used_is_closed(peer, connections, monkeypatch):
    monkeypatch.setattr(peer_connections, "IDLE_CLOSE_S", 0.05)
    connections.send(peer.address, NumberedMessage(1))
    assert peer.next_number() == 1
    gevent.sleep(0.1)
    connections.maintain()
    connections.send(peer.address, NumberedMessage(2))
    assert peer.next_number() == 2
    assert peer.connections == 2
