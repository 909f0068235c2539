"""The shutdown of a front: under load, in every phase, with deadlines of any length."""

import asyncio
import os
import signal
import socket
import struct
import sys
import time
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

import pytest

from ochrespan.exchange import Reply
from ochrespan.net.client_connection import MAX_PIPELINED_BYTES, ConnectionState
from ochrespan.net.http1 import Http1Server
from ochrespan.net.listener import Listener
from ochrespan.shutdown_schedule import shutdown_schedule

from .front_harness import MAX_RUNS, MS, FrontHarness, free_port, run_scenario, run_timed_scenario, wait_until
from .test_client_connections import raw_request
from .test_objects import OPERATOR


@pytest.mark.parametrize(
    ("longest", "killed"), [(0.1, 0.8), (0.42, 1.12), (0.76, 1.46), (0.85, 1.55), (3, 3.7), (15, 3.7)]
)
def test_shutdown_phases_are_in_order_and_end_before_sigkill(longest, killed):
    schedule = shutdown_schedule([timedelta(seconds=0.05), timedelta(seconds=longest)])
    assert schedule.kill_at == timedelta(seconds=killed)
    assert schedule.close_connections_from < schedule.response_deadline < schedule.exit_at < schedule.kill_at
    assert timedelta(seconds=0.4) < schedule.accept_until <= schedule.exit_at
    assert schedule.kill_at - schedule.exit_at > timedelta(seconds=0.15)
    if longest >= 0.85:
        spans = [
            schedule.kill_at - at
            for at in (schedule.close_connections_from, schedule.response_deadline, schedule.exit_at)
        ]
        assert spans == [timedelta(seconds=s) for s in (0.75, 0.4, 0.3)] and schedule.accept_until == timedelta(
            seconds=0.8
        )


def test_with_short_deadlines_all_requests_are_answered_before_sigkill():
    """With fixed spans, a request at a stalled server was answered 1.15 s after SIGTERM; SIGKILL may come at 1.12."""
    classes = [{"Name": "read", "ObjectiveNs": 410 * MS, "DeadlineNs": 420 * MS, "Effect": "free", "Group": "all"}]

    async def scenario():
        async with FrontHarness(1, Classes=classes) as harness:
            harness.nodes[0].default_response = "any"
            began = time.monotonic()
            harness.stop()
            await asyncio.sleep(began + 0.4 - time.monotonic())
            assert (await harness.send_request("late", left="420"))[0] == 200  # over a new connection
            harness.nodes[0].default_response = "stall"
            await asyncio.sleep(began + 0.76 - time.monotonic())
            assert (await harness.send_request("last", left="420"))[0] == 503
            assert time.monotonic() - began < 1.12
            assert await asyncio.wait_for(harness.process.wait(), 20) == 0
            assert time.monotonic() - began < 1.12

    run_timed_scenario(scenario)


@pytest.mark.parametrize("cancel", [True, False])
def test_request_failed_by_the_scheduler_in_shutdown_is_answered_at_once_even_without_cancellation(cancel):
    """Waiting for the timeout of its attempt would last until after the earliest SIGKILL."""

    async def scenario():
        async with FrontHarness(1, Limits__Cancel=cancel) as harness:
            harness.nodes[0].default_response = "any"
            open_connection = await asyncio.open_connection("127.0.0.1", harness.port)
            began = time.monotonic()
            harness.stop()
            for at, wanted in ((1.0, b"200"), (2.5, b"503")):
                await asyncio.sleep(began + at - time.monotonic())
                open_connection[1].write(raw_request("GET"))
                head = await asyncio.wait_for(open_connection[0].readuntil(b"\r\n\r\n"), 5)
                assert head.startswith(b"HTTP/1.1 " + wanted)
                if wanted == b"200":
                    await open_connection[0].readexactly(
                        int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
                    )
                harness.nodes[0].default_response = "stall"
            assert time.monotonic() - began < 3.6  # SIGKILL may come at 3.7
            assert await asyncio.wait_for(harness.process.wait(), 20) == 0

    run_scenario(scenario())


class StubServer:
    """A server whose connections do nothing; the listener sees only their state."""

    def __init__(self) -> None:
        self.made: list[asyncio.Protocol] = []

    def create_connection(self, moved):
        class One(asyncio.Protocol):
            state, since, transport, closing = ConnectionState.BUSY, 0.0, None, False

            def connection_made(self, transport):
                self.transport = transport
                moved(self)

            def connection_lost(self, exc):
                self.state = ConnectionState.CLOSED
                moved(self)

        self.made.append(One())
        return self.made[-1]

    async def shutdown(self, timeout):
        pass


def connect_many(port: int, number: int) -> list[socket.socket]:
    return [socket.create_connection(("127.0.0.1", port), 5) for _ in range(number)]


def test_stop_accepting_takes_all_connections_from_the_backlog():
    """If only 16 connections are accepted, the kernel resets the others and loses the requests on them."""

    async def scenario():
        port, listener = free_port(), Listener(StubServer(), 1000)
        await listener.open(("127.0.0.1", port))
        clients = connect_many(port, 60)  # the event loop does not run: all are in the kernel's backlog
        assert listener.stop_accepting() and listener.connections == 60
        await listener.shutdown(timedelta())
        for client in clients:
            client.close()

    run_scenario(scenario())


def test_connections_over_the_limit_at_the_end_of_accepting_are_accepted_later():
    async def scenario():
        port, server = free_port(), StubServer()
        listener = Listener(server, 2)
        await listener.open(("127.0.0.1", port))
        clients = connect_many(port, 3)
        assert not listener.stop_accepting() and listener.connections == 2
        await wait_until(lambda: len(server.made) == 2 and all(one.transport for one in server.made))
        clients[0].close()
        server.made[0].transport.abort()
        await wait_until(lambda: listener.stop_accepting(), 3)
        await wait_until(lambda: len(server.made) == 3 and listener.connections == 2, 3)
        await listener.shutdown(timedelta())

    run_scenario(scenario())


async def open_listener(body: bytes, port: int, may_respond: asyncio.Event | None = None) -> tuple[Listener, list[str]]:
    handled: list[str] = []

    async def handler(exchange) -> Reply:
        handled.append(exchange.target)
        if may_respond is not None:
            await may_respond.wait()
        return Reply(200, body)

    listener = Listener(Http1Server(handler, 65536), 100)
    await listener.open(("127.0.0.1", port))
    return listener, handled


GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


def test_connection_is_occupied_until_its_client_has_read_the_response():
    """If it counts as idle once the transport has the response, a drain or an eviction truncates the response."""

    async def scenario():
        size, port = 16 << 20, free_port()
        listener, _ = await open_listener(bytes(size), port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.3)
        assert listener.has_open_requests and [connection.state for connection in listener._states] == [
            ConnectionState.WRITING
        ]
        await reader.readexactly(size)
        await wait_until(lambda: not listener.has_open_requests)
        assert [connection.state for connection in listener._states] == [ConnectionState.IDLE]
        writer.close()
        await listener.shutdown(timedelta())

    run_scenario(scenario())


def test_connection_with_an_unread_request_is_occupied():
    async def scenario():
        port = free_port()
        listener, handled = await open_listener(b"x", port)
        client = socket.create_connection(("127.0.0.1", port), 5)
        await wait_until(lambda: listener.connections == 1 and not listener._accepting)
        assert not listener.has_open_requests
        client.sendall(GET)  # the event loop has not read it yet
        assert listener.has_open_requests and not handled
        await wait_until(lambda: handled and not listener.has_open_requests)
        client.close()
        await listener.shutdown(timedelta())

    run_scenario(scenario())


def test_client_that_pipelines_more_than_the_buffer_gets_the_current_response_and_then_an_error():
    """Dropping the bytes above the limit would leave a gap, and the rest would be parsed as if it were complete."""

    async def scenario():
        port, may_respond = free_port(), asyncio.Event()
        listener, handled = await open_listener(b"x", port, may_respond)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET)
        await wait_until(lambda: handled)
        writer.write(b"PUT /b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (MAX_PIPELINED_BYTES + 9))
        writer.write(bytes(MAX_PIPELINED_BYTES + 9))
        connection = next(iter(listener._states))
        await wait_until(lambda: len(connection._pipelined) > MAX_PIPELINED_BYTES)
        may_respond.set()
        got = await asyncio.wait_for(reader.read(), 10)
        assert got.count(b"HTTP/1.1 ") == 2 and b"HTTP/1.1 400 " in got and "/b" not in handled
        writer.close()
        await listener.shutdown(timedelta())

    run_scenario(scenario())


@pytest.mark.parametrize("name", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signal_before_its_handler_is_installed_is_handled_later(name, tmp_path):
    """Unblocked, SIGTERM and SIGINT end a starting process with another exit status or a traceback."""

    async def scenario():
        async with FrontHarness(1) as harness:
            pipe = tmp_path / "config.json"
            os.mkfifo(pipe)
            env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
            env |= {"BALANCER_CONFIG": str(pipe), "BALANCER_LISTEN": f"127.0.0.1:{free_port()}"}
            front = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ochrespan", env=env, stderr=asyncio.subprocess.PIPE
            )
            writer = await asyncio.to_thread(open, pipe, "w")  # returns when the front opens the pipe
            front.send_signal(name)
            # SIGHUP reads a regular file: the first reader already has the pipe open
            Path(tmp_path, "next.json").write_text(harness.config.read_text())
            os.replace(tmp_path / "next.json", pipe)
            writer.write(harness.config.read_text())
            writer.close()
            if name is signal.SIGHUP:
                log = b""
                while b"configuration reloaded" not in log or b"now=ready" not in log:
                    line = await asyncio.wait_for(front.stderr.readline(), 20)
                    assert line, log
                    log += line
                front.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(front.communicate(), 20)
            assert front.returncode == 0 and b"now=stopped" in log and b"Traceback" not in log

    run_scenario(scenario())


def test_signals_during_the_shutdown_have_no_effect():
    async def scenario():
        async with FrontHarness(1) as harness:
            harness.nodes[0].default_response = "any"
            open_connection = await asyncio.open_connection("127.0.0.1", harness.port)
            harness.stop()
            for phase in ("draining", "closing", "stopped"):
                await wait_until(lambda: f"now={phase}" in harness.log)  # noqa: B023
                for name in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
                    if harness.process.returncode is None:
                        harness.process.send_signal(name)
                if phase == "draining":
                    open_connection[1].write(raw_request("GET"))
                    assert (await open_connection[0].readline()).startswith(b"HTTP/1.1 200 ")
            assert await asyncio.wait_for(harness.process.wait(), 20) == 0
            assert "Traceback" not in harness.log

    run_scenario(scenario())


@pytest.mark.parametrize(("reset", "size"), [(True, 64 << 20), (False, 700_000)])
def test_upload_is_cancelled_if_its_client_disconnects_while_its_body_is_blocked(reset, size):
    """Reading is paused while a body waits for the chunk server, so the disconnect is not seen by a read."""

    async def scenario():
        async with FrontHarness(2, OPERATOR) as harness:
            for node in harness.nodes:
                node.default_response = "stall"
            client = socket.create_connection(("127.0.0.1", harness.object_port), 5)
            client.setblocking(False)
            client.send(b"PUT /photos/a HTTP/1.1\r\nHost: x\r\nContent-Length: 99000000\r\n\r\n")
            loop = asyncio.get_running_loop()
            with suppress(TimeoutError):  # until the buffers are full; the FIN arrives behind the data
                await asyncio.wait_for(loop.sock_sendall(client, bytes(size)), 0.7)
            await wait_until(lambda: any(any(node.in_flight.values()) for node in harness.nodes))
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
            gone = time.monotonic()
            await wait_until(lambda: not any(any(node.in_flight.values()) for node in harness.nodes), 0.6)
            seen = sum(len(node.received) for node in harness.nodes)
            await asyncio.sleep(max(0.0, gone + 0.3 - time.monotonic()))
            for node in harness.nodes:
                node.released.set()
            await asyncio.sleep(0.5)
            assert sum(len(node.received) for node in harness.nodes) == seen

    run_timed_scenario(scenario)


def test_timed_scenario_is_repeated_only_if_the_timers_of_the_machine_were_late():
    runs = []

    def scenario(blocked_s: float):
        async def fails():
            runs.append(blocked_s)
            await asyncio.sleep(0.03)
            time.sleep(blocked_s)  # blocks the event loop
            await asyncio.sleep(0.03)
            raise AssertionError("planted")

        return fails

    with pytest.raises(AssertionError, match="planted"):
        run_timed_scenario(scenario(0.0))
    assert len(runs) == 1
    with pytest.raises(AssertionError, match="runs failed"):
        run_timed_scenario(scenario(0.2))
    assert len(runs) == 1 + MAX_RUNS
