"""What one exchange with a chunk server counts as."""

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
UNREADABLE_SIZE = 32 << 20  # far more than the kernel takes for a peer that does not read


@pytest.mark.parametrize(("size", "expected"), [(UNREADABLE_SIZE, Status.CONNECT_FAILED), (100, Status.RESET)])
def test_a_break_before_the_last_byte_was_written_never_ran(size, expected):
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


def test_a_connection_that_never_comes_up_counts_as_not_connected():
    async def scenario():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            sockets = [socket.socket() for _ in range(4)]  # its backlog: what comes later waits for ever
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
def test_a_connection_is_not_used_once_it_was_idle_for_a_good_part_of_the_limit(idle_timeout, expected):
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


def test_idle_connections_count_and_the_one_that_rested_longest_goes_first():
    """With more chunk servers than descriptors for them, the idle ones took those of clients."""

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
                await asyncio.sleep(0.02)  # what is closed has gone
                open_count = sum(is_open(sock) for node in nodes for sock in node.connection_sockets)
                assert open_count == min(4, number + 1)
            last_attempt = Attempt(request, 18, nodes[5].id, timedelta(seconds=5))  # the oldest of the four
            assert (await client.send(last_attempt, UpstreamRequest("GET", "/x")))[0].status is Status.OK
        assert [node.connections for node in nodes] == [2] * 9

    run_scenario(scenario())


def test_an_attempt_taken_back_before_it_began_sends_nothing():
    async def scenario():
        async with open_session(CONNECTIONS, 10) as session:
            attempt = Attempt(Request("v", "read", "gold", timedelta(seconds=5)), 0, "n", timedelta(seconds=5))
            attempt.revoke()
            outcome, _ = await ChunkClient(session, Directory()).send(attempt, UpstreamRequest("GET", "/x"))
        assert outcome.status is Status.MOOT  # it never ran

    run_scenario(scenario())


def test_an_attempt_can_be_taken_back_while_its_limit_runs_out():
    """It raised within the core, which then dropped the module's other actions: those requests got no answer."""

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


def test_an_abandoned_attempt_is_closed_before_the_next_can_be_sent():
    """The next attempt went out in the same turn of the loop, with the old connection still open."""

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
def test_what_comes_between_two_requests_answers_neither(is_read, body):
    """aiohttp keeps it for the next request; unseen in the kernel it would be read as that one's answer."""
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
        # the names are those of the settings' Report.Columns; under others every figure was dropped
        ("TEXT concurrent=7, depth=2, load_share=0.61", {"inflight": 7, "queue": 2, "util": 0.61}, []),
        ("TEXT depth=nan, load_share=, odd=x, tps=1e999,=", {}, [".depth", ".load_share", ".tps"]),
        ("TEXT depth=-1, load_share=1e300, concurrent=3", {"inflight": 3}, [".depth", ".load_share"]),
        ("\x80 noise", {}, [""]),
        ("", {}, []),
    ],
)
def test_load_reports_are_read_as_far_as_they_can_be_and_the_rest_is_told_by_place(value, values, faults):
    reported = []
    assert parse_load_report(value, lambda *fault: reported.append(fault)) == values
    assert [where.removeprefix("endpoint-load-metrics") for where, _, _ in reported] == faults
    assert all(found is not None and allowed for _, found, allowed in reported)


@pytest.mark.parametrize(
    ("value", "units", "faults"),
    [("3.5", 3.5, 0), ("", 0, 0), ("-4", 0, 1), ("nan", 0, 1), ("1e999", 0, 1), ("x" * 9999, 0, 1)],
)
def test_units_served_elsewhere_that_are_nonsense_are_none(value, units, faults):
    reported = []
    assert parse_units(value, lambda *fault: reported.append(fault)) == units
    assert len(reported) == faults and all(len(found) <= 60 for _, found, _ in reported)


def test_nonsense_beside_answers_harms_none_of_them_and_writes_few_lines(caplog):
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
        lines = [
            record
            for record in caplog.records
            if record.getMessage() == "ignoring an invalid value in a response header"
        ]
        assert [(line.place, line.number) for line in lines[:2]] == [
            ("endpoint-load-metrics.depth", 1),
            ("x-served-elsewhere", 1),
        ]
        assert len(lines) == 2 * 6  # the 1st, 2nd, 4th ... 32nd of each

    run_scenario(scenario())


class ManualChunkServer:
    """A chunk server that takes a connection, or bytes of one, only when the test says so."""

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
        """All that ever comes."""
        received = b""
        with suppress(ConnectionError):
            while some := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 1 << 20), 8):
                received += some
        return received


def attempt_at(seconds: float = 8.0) -> Attempt:
    return Attempt(Request("v", "once", "gold", timedelta(seconds=9)), 0, "n", timedelta(seconds=seconds))


@pytest.mark.parametrize("size", [UNREADABLE_SIZE, 200_000])
def test_of_a_request_that_was_partly_written_nothing_more_leaves_after_its_client_went(size):
    """aiohttp closes a cancelled connection once all is written: the chunk server got it whole, and ran it.
    The smaller one fits the kernel's buffer: there it would go on without us."""

    async def scenario():
        server = ManualChunkServer()
        async with open_session(CONNECTIONS, 10) as session:
            task = asyncio.create_task(
                ChunkClient(session, server.directory).send(attempt_at(), UpstreamRequest("PUT", "/x", bytes(size)))
            )
            sock = await server.accept()
            await asyncio.get_running_loop().sock_recv(sock, 10)  # it has begun
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await asyncio.sleep(0)
            assert len(await server.read_rest(sock)) < size - 10

    run_scenario(scenario())


@pytest.mark.parametrize("revoked", [False, True])
def test_an_attempt_whose_last_byte_was_not_written_in_its_time_never_ran(revoked):
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
def test_what_is_told_while_a_connection_comes_up_is_looked_at_before_the_first_byte(phase, body):
    """A connection that came up late began a send long after its chunk server was told to drain."""

    async def scenario():
        server = ManualChunkServer(backlog=0)
        async with open_session(ConnectionSettings(timedelta(seconds=8), timedelta(seconds=15)), 10) as session:
            first = socket.socket()  # fills the backlog: whoever comes now waits until it has been taken
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
def test_an_attempt_that_has_to_begin_by_a_time_does_not_begin_later(begin_within_s, expected, body):
    """A repeat of a keyed request left in time; its connection came up after the time in which it is known as one."""

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
def test_an_answer_to_half_a_request_ends_it_and_its_other_half_never_leaves(head, expected):
    """The front waited for the chunk server to take the rest, until the attempt's time was up."""

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
def test_an_answer_without_a_length_is_whole_when_its_connection_ends_and_not_when_it_is_reset(
    ending, connection_header, rest_of_body, expected, is_read
):
    """All of them counted as errors, also the good ones."""

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
            if is_read:  # the front has it all before the end comes
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
def test_a_kept_connection_that_breaks_in_the_first_write_took_nothing(when, expected, body, monkeypatch):
    """With a body, it counted as reset: of a class that may not be repeated the request failed."""

    async def scenario():
        server, connections = ManualChunkServer(), []

        def reset_connection():
            connections[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connections[0].close()

        def has_event(transport, what):  # between the look into the socket and the write
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
