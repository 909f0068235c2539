"""Outcomes of attempts, as the client of chunk servers classifies them."""

import asyncio
import socket
import struct
import threading
from contextlib import suppress
from datetime import timedelta

import pytest

from ochrespan.broker import Attempt, Request, Status
from ochrespan.net import responses
from ochrespan.net.chunk_client import ChunkClient, UpstreamRequest
from ochrespan.net.client_session import open_session
from ochrespan.net.discovery import Directory
from ochrespan.net.load_reports import parse_load_report, parse_units
from ochrespan.net.responses import MAX_RESPONSE_BODY_BYTES
from ochrespan.settings import ConnectionSettings

from .front_harness import StubChunkServer, is_open, run_scenario

CONNECTIONS = ConnectionSettings(timedelta(seconds=0.5), timedelta(seconds=15))
UNREADABLE_SIZE = 32 << 20  # bytes; far more than the kernel buffers for a peer that does not read


@pytest.mark.parametrize(("size", "expected"), [(UNREADABLE_SIZE, Status.CONNECT_FAILED), (100, Status.RESET)])
def test_connection_lost_before_the_last_byte_was_written_counts_as_not_executed(size, expected):
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()
            await asyncio.sleep(0.2)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        directory = Directory()
        directory.addresses["n"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        request = Request("v", "read", "gold", timedelta(seconds=5))
        async with open_session(CONNECTIONS, 10) as session:
            attempt = Attempt(request, 0, "n", timedelta(seconds=5))
            message = UpstreamRequest("PUT", "/x", bytes(size))
            outcome, answer = await ChunkClient(session, directory).send(attempt, message)
        assert outcome.status is expected and answer is None

    run_scenario(scenario())


def test_connect_timeout_counts_as_connect_failed():
    async def scenario():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            sockets = [socket.socket() for _ in range(4)]  # fill the backlog, so that later connects do not complete
            for sock in sockets:
                sock.setblocking(False)
                sock.connect_ex(listener.getsockname())
            directory = Directory()
            directory.addresses["n"] = f"127.0.0.1:{listener.getsockname()[1]}"
            attempt = Attempt(Request("v", "read", "gold", timedelta(seconds=20)), 0, "n", timedelta(seconds=20))
            async with open_session(CONNECTIONS, 10) as session:
                outcome, _ = await ChunkClient(session, directory).send(attempt, UpstreamRequest("GET", "/x"))
            for sock in sockets:
                sock.close()
        assert outcome.status is Status.CONNECT_FAILED and outcome.latency < timedelta(seconds=10)

    run_scenario(scenario())


@pytest.mark.parametrize(("idle_timeout", "expected"), [(timedelta(seconds=1), 2), (timedelta(seconds=100), 1)])
def test_pooled_connection_is_not_reused_after_a_fraction_of_the_idle_timeout(idle_timeout, expected):
    async def scenario():
        node = StubChunkServer(0)
        node.default_response = "any"
        await node.start()
        directory = Directory()
        directory.addresses["n"] = node.address
        async with open_session(ConnectionSettings(timedelta(seconds=5), idle_timeout), 10) as session:
            for number in range(2):
                attempt = Attempt(Request("v", "r", "g", timedelta(seconds=5)), number, "n", timedelta(seconds=5))
                outcome, _ = await ChunkClient(session, directory).send(attempt, UpstreamRequest("GET", "/x"))
                assert outcome.status is Status.OK
                await asyncio.sleep(0.6)
        assert node.connections == expected

    run_scenario(scenario())


def test_idle_connections_count_against_the_limit_and_the_oldest_is_closed_first():
    """With more chunk servers than descriptors for them, idle connections used up the descriptors for clients."""

    async def scenario():
        nodes, directory = [StubChunkServer(i) for i in range(9)], Directory()
        for node in nodes:
            node.default_response = "any"
            await node.start()
            directory.addresses[node.id] = node.address
        request = Request("v", "r", "g", timedelta(seconds=5))
        async with open_session(CONNECTIONS, 4) as session:
            client = ChunkClient(session, directory)
            for number in range(18):
                attempt = Attempt(request, number, nodes[number % 9].id, timedelta(seconds=5))
                assert (await client.send(attempt, UpstreamRequest("GET", "/x")))[0].status is Status.OK
                await asyncio.sleep(0.02)  # lets closed connections disappear
                open_count = sum(is_open(sock) for node in nodes for sock in node.connection_sockets)
                assert open_count == min(4, number + 1)
            # the connection to this server is the oldest of the four
            last_attempt = Attempt(request, 18, nodes[5].id, timedelta(seconds=5))
            assert (await client.send(last_attempt, UpstreamRequest("GET", "/x")))[0].status is Status.OK
        assert [node.connections for node in nodes] == [2] * 9

    run_scenario(scenario())


def test_attempt_revoked_before_its_start_sends_nothing():
    async def scenario():
        async with open_session(CONNECTIONS, 10) as session:
            attempt = Attempt(Request("v", "read", "gold", timedelta(seconds=5)), 0, "n", timedelta(seconds=5))
            attempt.revoke()
            outcome, _ = await ChunkClient(session, Directory()).send(attempt, UpstreamRequest("GET", "/x"))
        assert outcome.status is Status.MOOT  # not executed

    run_scenario(scenario())


def test_attempt_can_be_revoked_while_its_timeout_expires():
    """revoke() raised in the broker, which dropped the scheduler's other actions; their requests got no response."""

    async def scenario():
        attempt = Attempt(Request("v", "read", "gold", timedelta(seconds=5)), 0, "n", timedelta(milliseconds=1))
        with pytest.raises(TimeoutError):
            async with attempt.time_limit():
                try:
                    await asyncio.sleep(10)
                except asyncio.CancelledError:
                    attempt.revoke()
                    raise
        assert attempt.revoked

    run_scenario(scenario())


def test_connection_of_an_abandoned_attempt_is_closed_before_the_next_attempt():
    """The next attempt was sent in the same turn of the event loop, while the old connection was still open."""

    async def scenario():
        connections = []
        server = await asyncio.start_server(lambda _, writer: connections.append(writer), "127.0.0.1", 0)
        directory = Directory()
        directory.addresses["n"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        request = Request("v", "read", "gold", timedelta(seconds=5))
        async with open_session(CONNECTIONS, 10) as session:
            attempt = Attempt(request, 0, "n", timedelta(seconds=0.3))
            client = ChunkClient(session, directory)
            outcome, _ = await client.send(attempt, UpstreamRequest("GET", "/x"))
            assert not is_open(connections[0].get_extra_info("socket"))
        assert outcome.status is Status.TIMEOUT

    run_scenario(scenario())


@pytest.mark.parametrize("body", [b"", b"some"])
@pytest.mark.parametrize("is_read", [True, False])
def test_unsolicited_response_between_two_requests_is_dropped(is_read, body):
    """aiohttp keeps it for the next request; still unread in the kernel, it would be taken for that one's response."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    first_received, surplus_sent = threading.Event(), threading.Event()

    def serve(listener):
        first, _ = listener.accept()
        first.recv(65536)
        first.sendall(answer + b"1")
        first_received.wait(10)
        first.sendall(answer + b"x")
        surplus_sent.set()
        second, _ = listener.accept()
        second.recv(65536)
        second.sendall(answer + b"2")
        first.close()
        second.close()

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(8)
            thread = threading.Thread(target=serve, args=(listener,))
            thread.start()
            directory = Directory()
            directory.addresses["n"] = f"127.0.0.1:{listener.getsockname()[1]}"
            async with open_session(CONNECTIONS, 10) as session:
                client, bodies, request = ChunkClient(session, directory), [], Request("v", "r", "g", timedelta(1))
                for number in range(2):
                    attempt = Attempt(request, number, "n", timedelta(seconds=5))
                    bodies.append((await client.send(attempt, UpstreamRequest("PUT", "/x", body)))[1].body)
                    first_received.set()
                    surplus_sent.wait(10)
                    if is_read:
                        await asyncio.sleep(0.1)
            assert bodies == [b"1", b"2"]
            thread.join(10)

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("value", "values", "faults"),
    [
        # names from the settings' Report.Columns; with other names every value was dropped
        ("TEXT concurrent=7, depth=2, load_share=0.61", {"inflight": 7, "queue": 2, "util": 0.61}, []),
        ("TEXT depth=nan, load_share=, odd=x, tps=1e999,=", {}, [".depth", ".load_share", ".tps"]),
        ("TEXT depth=-1, load_share=1e300, concurrent=3", {"inflight": 3}, [".depth", ".load_share"]),
        ("\x80 noise", {}, [""]),
        ("", {}, []),
    ],
)
def test_load_report_keeps_valid_values_and_reports_invalid_ones_by_location(value, values, faults):
    reported = []
    assert parse_load_report(value, lambda *fault: reported.append(fault)) == values
    assert [where.removeprefix("endpoint-load-metrics") for where, _, _ in reported] == faults
    assert all(found is not None and allowed for _, found, allowed in reported)


@pytest.mark.parametrize(
    ("value", "units", "faults"),
    [("3.5", 3.5, 0), ("", 0, 0), ("-4", 0, 1), ("nan", 0, 1), ("1e999", 0, 1), ("x" * 9999, 0, 1)],
)
def test_invalid_units_served_elsewhere_count_as_none(value, units, faults):
    reported = []
    assert parse_units(value, lambda *fault: reported.append(fault)) == units
    assert len(reported) == faults and all(len(found) <= 60 for _, found, _ in reported)


def test_invalid_response_headers_do_not_affect_responses_and_log_few_lines(caplog):
    async def scenario():
        node = StubChunkServer(0)
        await node.start()
        directory = Directory()
        directory.addresses["n"] = node.address
        body = (
            b"HTTP/1.1 200 X\r\nContent-Length: 2\r\nX-Served-Elsewhere: much\r\n"
            b"Endpoint-Load-Metrics: TEXT depth=-9, load_share=0.5\r\n\r\nok"
        )
        node.default_response = body
        request = Request("v", "read", "gold", timedelta(seconds=5))
        async with open_session(CONNECTIONS, 10) as session:
            client = ChunkClient(session, directory)
            for number in range(40):
                attempt = Attempt(request, number, "n", timedelta(seconds=5))
                outcome, answer = await client.send(attempt, UpstreamRequest("GET", "/x"))
                assert outcome.status is Status.OK and answer.body == b"ok"
                assert outcome.load == {"util": 0.5} and outcome.elsewhere == 0
        lines = [record for record in caplog.records if record.getMessage() == "left out of an answer"]
        assert [(line.place, line.number) for line in lines[:2]] == [
            ("endpoint-load-metrics.depth", 1),
            ("x-served-elsewhere", 1),
        ]
        assert len(lines) == 2 * 6  # the 1st, 2nd, 4th ... 32nd of each

    run_scenario(scenario())


class ManualChunkServer:
    """A chunk server that accepts connections and reads bytes only when the test requests it."""

    def __init__(self, backlog: int = 8) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.listener.setblocking(False)
        self.directory = Directory()
        self.set_phase("up")

    def set_phase(self, phase: str) -> None:
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        entry = {"id": "n", "host_port": address, "cell": 0, "phase": phase}
        self.directory.apply({"revision": 1, "complete": True, "members": [entry]})

    async def accept(self) -> socket.socket:
        return (await asyncio.get_running_loop().sock_accept(self.listener))[0]

    @staticmethod
    async def read_rest(sock: socket.socket) -> bytes:
        """Reads to the end of the connection."""
        received = b""
        with suppress(ConnectionError):
            while some := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 1 << 20), 8):
                received += some
        return received


def attempt_at(seconds: float = 8.0) -> Attempt:
    return Attempt(Request("v", "once", "gold", timedelta(seconds=9)), 0, "n", timedelta(seconds=seconds))


@pytest.mark.parametrize("size", [UNREADABLE_SIZE, 200_000])
def test_partly_written_request_is_not_continued_after_its_client_disconnected(size):
    """aiohttp closes a cancelled connection only after writing everything, so the chunk server executed the request.
    The smaller one fits into the kernel's buffer, which would be sent even after a close."""

    async def scenario():
        server = ManualChunkServer()
        async with open_session(CONNECTIONS, 10) as session:
            task = asyncio.create_task(
                ChunkClient(session, server.directory).send(attempt_at(), UpstreamRequest("PUT", "/x", bytes(size)))
            )
            sock = await server.accept()
            await asyncio.get_running_loop().sock_recv(sock, 10)  # sending has started
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await asyncio.sleep(0)
            assert len(await server.read_rest(sock)) < size - 10

    run_scenario(scenario())


@pytest.mark.parametrize("revoked", [False, True])
def test_attempt_not_completely_written_in_time_counts_as_not_executed(revoked):
    async def scenario():
        server = ManualChunkServer()
        async with open_session(CONNECTIONS, 10) as session:
            attempt = attempt_at(8 if revoked else 0.3)
            task = asyncio.create_task(
                ChunkClient(session, server.directory).send(
                    attempt, UpstreamRequest("PUT", "/x", bytes(UNREADABLE_SIZE))
                )
            )
            sock = await server.accept()
            await asyncio.get_running_loop().sock_recv(sock, 10)
            if revoked:
                attempt.revoke()
            outcome, _ = await task
            assert outcome.status is (Status.MOOT if revoked else Status.CONNECT_FAILED)
            assert len(await server.read_rest(sock)) < UNREADABLE_SIZE

    run_scenario(scenario())


@pytest.mark.parametrize("body", [b"", b"some"])
@pytest.mark.parametrize("phase", ["draining", "removed", "up"])
def test_phase_change_during_connect_is_checked_before_the_first_byte(phase, body):
    """After a slow connect, an attempt was sent long after its chunk server had started to drain."""

    async def scenario():
        server = ManualChunkServer(backlog=0)
        async with open_session(ConnectionSettings(timedelta(seconds=8), timedelta(seconds=15)), 10) as session:
            first = socket.socket()  # fills the backlog: the next connect waits until this one is accepted
            first.connect(server.listener.getsockname())
            task = asyncio.create_task(
                ChunkClient(session, server.directory).send(attempt_at(), UpstreamRequest("PUT", "/x", body))
            )
            await asyncio.sleep(0.1)
            assert not task.done()
            server.set_phase(phase)
            await server.accept()
            sock = await server.accept()
            if phase == "up":
                assert b"PUT /x " in await asyncio.get_running_loop().sock_recv(sock, 4096)
                sock.send(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            outcome, _ = await task
            assert outcome.status is (Status.OK if phase == "up" else Status.MOOT)
            if phase != "up":
                assert await server.read_rest(sock) == b""
            first.close()

    run_scenario(scenario())


@pytest.mark.parametrize("body", [b"", b"some"])
@pytest.mark.parametrize(("begin_within_s", "expected"), [(None, Status.OK), (8, Status.OK), (0.2, Status.MOOT)])
def test_attempt_does_not_start_after_its_latest_start_time(begin_within_s, expected, body):
    """A slow connect delayed a retry beyond the time in which the server recognises its idempotency key."""

    async def scenario():
        server = ManualChunkServer(backlog=0)
        async with open_session(ConnectionSettings(timedelta(seconds=8), timedelta(seconds=15)), 10) as session:
            first = socket.socket()
            first.connect(server.listener.getsockname())
            attempt = attempt_at()
            attempt.begin_within = timedelta(seconds=begin_within_s) if begin_within_s else None
            task = asyncio.create_task(
                ChunkClient(session, server.directory).send(attempt, UpstreamRequest("PUT", "/x", body))
            )
            await asyncio.sleep(0.3)
            await server.accept()
            sock = await server.accept()
            if expected is Status.OK:
                assert b"PUT /x " in await asyncio.get_running_loop().sock_recv(sock, 4096)
                sock.send(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            outcome, _ = await task
            assert outcome.status is expected
            assert expected is Status.OK or await server.read_rest(sock) == b""
            first.close()

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("head", "expected"),
    [(b"503 X\r\nX-Never-Ran: 1", Status.FULL), (b"200 X", Status.CONNECT_FAILED), (b"500 X", Status.CONNECT_FAILED)],
)
def test_response_to_a_partial_request_ends_it_and_the_rest_is_not_sent(head, expected):
    """The front waited for the chunk server to read the rest, until the attempt timed out."""

    async def scenario():
        server = ManualChunkServer()
        async with open_session(CONNECTIONS, 10) as session:
            task = asyncio.create_task(
                ChunkClient(session, server.directory).send(
                    attempt_at(), UpstreamRequest("PUT", "/x", bytes(UNREADABLE_SIZE))
                )
            )
            sock = await server.accept()
            await asyncio.get_running_loop().sock_recv(sock, 10)
            sock.send(b"HTTP/1.1 " + head + b"\r\nContent-Length: 0\r\n\r\n")
            outcome, _ = await asyncio.wait_for(task, 4)
            assert outcome.status is expected
            assert len(await server.read_rest(sock)) < UNREADABLE_SIZE

    run_scenario(scenario())


HEAD_UNTIL_CLOSE = b"HTTP/1.1 200 X\r\nConnection: %b\r\n\r\n"


@pytest.mark.parametrize("is_read", [True, False])
@pytest.mark.parametrize(
    ("ending", "connection_header", "rest_of_body", "expected"),
    [
        ("ended", b"close", b"", Status.OK),
        ("ended", b"x, Close", b"", Status.OK),
        ("reset", b"close", b"", Status.RESET),
        ("ended", b"keep-alive", b"", Status.ERROR),
        ("half", b"close", b"", Status.RESET),
        ("ended", b"close", b"x" * MAX_RESPONSE_BODY_BYTES, Status.ERROR),
    ],
)
def test_response_without_a_length_is_complete_on_close_and_not_on_reset(
    ending, connection_header, rest_of_body, expected, is_read
):
    """All of them counted as errors, also the valid ones."""

    async def scenario():
        server = ManualChunkServer()
        async with open_session(CONNECTIONS, 10) as session:
            task = asyncio.create_task(
                ChunkClient(session, server.directory).send(attempt_at(), UpstreamRequest("GET", "/x"))
            )
            sock = await server.accept()
            loop = asyncio.get_running_loop()
            await loop.sock_recv(sock, 4096)
            head = HEAD_UNTIL_CLOSE % connection_header
            with suppress(ConnectionError):
                await loop.sock_sendall(sock, head[:-2] if ending == "half" else head + b"some" + rest_of_body)
            if is_read:  # the front has read everything before the connection ends
                await asyncio.sleep(0.1)
            if ending == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            outcome, answer = await asyncio.wait_for(task, 4)
            assert outcome.status is expected
            if expected is Status.OK:
                assert answer.body == b"some"

    run_scenario(scenario())


@pytest.mark.parametrize("body", [b"", b"some"])
@pytest.mark.parametrize(("when", "expected"), [("in the write", Status.CONNECT_FAILED), ("after it", Status.RESET)])
def test_pooled_connection_that_breaks_in_the_first_write_has_sent_nothing(when, expected, body, monkeypatch):
    """With a body, it counted as reset, which failed requests of classes that must not be retried."""

    async def scenario():
        server, connections = ManualChunkServer(), []

        def reset_connection():
            connections[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connections[0].close()

        def has_event(transport, events):  # called between the check of the socket and the write
            if connections and when == "in the write":
                reset_connection()
            return False

        monkeypatch.setattr(responses, "has_event", has_event)
        async with open_session(CONNECTIONS, 10) as session:
            client, loop = ChunkClient(session, server.directory), asyncio.get_running_loop()
            first = asyncio.create_task(client.send(attempt_at(), UpstreamRequest("GET", "/x")))
            sock = await server.accept()
            await loop.sock_recv(sock, 4096)
            await loop.sock_sendall(sock, b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            assert (await first)[0].status is Status.OK
            connections.append(sock)
            second = asyncio.create_task(client.send(attempt_at(), UpstreamRequest("PUT", "/x", body)))
            if when == "after it":
                await loop.sock_recv(sock, 4096)
                reset_connection()
            assert (await second)[0].status is expected

    run_scenario(scenario())
