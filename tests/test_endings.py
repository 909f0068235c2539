"""A front that is told to end: under requests, in every phase, with deadlines of any length."""

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
from ochrespan.net.guard import MOST_AHEAD, State
from ochrespan.net.http1 import Http1Server
from ochrespan.net.listener import Listener
from ochrespan.shutdown_schedule import shutdown_schedule

from .front_harness import MAX_RUNS, MS, FrontHarness, free_port, run_scenario, run_timed_scenario, wait_until
from .test_guard import raw
from .test_objects import OPERATOR


@pytest.mark.parametrize(
    ("longest", "killed"), [(0.1, 0.8), (0.42, 1.12), (0.76, 1.46), (0.85, 1.55), (3, 3.7), (15, 3.7)]
)
def test_the_phases_follow_each_other_before_the_platform_kills(longest, killed):
    ending = shutdown_schedule([timedelta(seconds=0.05), timedelta(seconds=longest)])
    assert ending.kill_at == timedelta(seconds=killed)
    assert ending.close_connections_from < ending.answer_deadline < ending.exit_at < ending.kill_at
    assert timedelta(seconds=0.4) < ending.accept_until <= ending.exit_at
    assert ending.kill_at - ending.exit_at > timedelta(seconds=0.15)
    if longest >= 0.85:
        spans = [ending.kill_at - at for at in (ending.close_connections_from, ending.answer_deadline, ending.exit_at)]
        assert spans == [timedelta(seconds=s) for s in (0.75, 0.4, 0.3)] and ending.accept_until == timedelta(
            seconds=0.8
        )


def test_where_all_deadlines_are_short_all_is_answered_and_over_before_the_kill():
    """A request that stood behind a silent server had its answer 1.15 s after SIGTERM; SIGKILL may come at 1.12."""
    classes = [{"Name": "read", "ObjectiveNs": 410 * MS, "DeadlineNs": 420 * MS, "Effect": "free", "Group": "all"}]

    async def story():
        async with FrontHarness(1, Classes=classes) as world:
            world.nodes[0].default_response = "any"
            began = time.monotonic()
            world.stop()
            await asyncio.sleep(began + 0.4 - time.monotonic())
            assert (await world.send_request("late", left="420"))[0] == 200  # over a new connection
            world.nodes[0].default_response = "stall"
            await asyncio.sleep(began + 0.76 - time.monotonic())
            assert (await world.send_request("last", left="420"))[0] == 503
            assert time.monotonic() - began < 1.12
            assert await asyncio.wait_for(world.process.wait(), 20) == 0
            assert time.monotonic() - began < 1.12

    run_timed_scenario(story)


@pytest.mark.parametrize("cancel", [True, False])
def test_what_the_module_gives_up_at_the_end_is_answered_then_also_where_attempts_may_not_be_cancelled(cancel):
    """It waited for its attempt's own time, which ended after SIGKILL may come."""

    async def story():
        async with FrontHarness(1, Limits__Cancel=cancel) as world:
            world.nodes[0].default_response = "any"
            kept = await asyncio.open_connection("127.0.0.1", world.port)
            began = time.monotonic()
            world.stop()
            for at, wanted in ((1.0, b"200"), (2.5, b"503")):
                await asyncio.sleep(began + at - time.monotonic())
                kept[1].write(raw("GET"))
                head = await asyncio.wait_for(kept[0].readuntil(b"\r\n\r\n"), 5)
                assert head.startswith(b"HTTP/1.1 " + wanted)
                if wanted == b"200":
                    await kept[0].readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r")[0]))
                world.nodes[0].default_response = "stall"
            assert time.monotonic() - began < 3.6  # SIGKILL may come at 3.7
            assert await asyncio.wait_for(world.process.wait(), 20) == 0

    run_scenario(story())


class Idle:
    """Connections of a listener of which nothing is known but their state."""

    def __init__(self) -> None:
        self.made: list[asyncio.Protocol] = []

    def connection(self, moved):
        class One(asyncio.Protocol):
            state, since, transport, closing = State.BUSY, 0.0, None, False

            def connection_made(self, transport):
                self.transport = transport
                moved(self)

            def connection_lost(self, exc):
                self.state = State.CLOSED
                moved(self)

        self.made.append(One())
        return self.made[-1]

    async def shutdown(self, timeout):
        pass


def crowd(port: int, number: int) -> list[socket.socket]:
    return [socket.create_connection(("127.0.0.1", port), 5) for _ in range(number)]


def test_all_that_has_come_by_the_end_of_accepting_is_taken_in_the_step_that_closes():
    """16 were; the kernel reset the others, and requests on them."""

    async def story():
        port, listener = free_port(), Listener(Idle(), 1000)
        await listener.open(("127.0.0.1", port))
        clients = crowd(port, 60)  # without a turn of the loop: all of them wait in the kernel
        assert listener.stop_accepting() and listener.connections == 60
        await listener.shutdown(timedelta())
        for client in clients:
            client.close()

    run_scenario(story())


def test_what_waits_for_room_at_the_end_of_accepting_is_taken_once_there_is_some():
    async def story():
        port, server = free_port(), Idle()
        listener = Listener(server, 2)
        await listener.open(("127.0.0.1", port))
        clients = crowd(port, 3)
        assert not listener.stop_accepting() and listener.connections == 2
        await wait_until(lambda: len(server.made) == 2 and all(one.transport for one in server.made))
        clients[0].close()
        server.made[0].transport.abort()
        await wait_until(lambda: listener.stop_accepting(), 3)
        await wait_until(lambda: len(server.made) == 3 and listener.connections == 2, 3)
        await listener.shutdown(timedelta())

    run_scenario(story())


async def served(body: bytes, port: int, go: asyncio.Event | None = None) -> tuple[Listener, list[str]]:
    asked: list[str] = []

    async def handler(exchange) -> Reply:
        asked.append(exchange.target)
        if go is not None:
            await go.wait()
        return Reply(200, body)

    listener = Listener(Http1Server(handler, 65536), 100)
    await listener.open(("127.0.0.1", port))
    return listener, asked


GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


def test_a_connection_is_at_work_until_its_client_has_taken_the_answer():
    """It was between requests as soon as the answer was with the transport: a drain or a spared place cut it off."""

    async def story():
        size, port = 16 << 20, free_port()
        listener, _ = await served(bytes(size), port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.3)
        assert listener.occupied and [guard.state for guard in listener._states] == [State.WRITING]
        await reader.readexactly(size)
        await wait_until(lambda: not listener.occupied)
        assert [guard.state for guard in listener._states] == [State.QUIET]
        writer.close()
        await listener.shutdown(timedelta())

    run_scenario(story())


def test_a_request_that_nobody_has_read_yet_counts_as_at_work():
    async def story():
        port = free_port()
        listener, asked = await served(b"x", port)
        client = socket.create_connection(("127.0.0.1", port), 5)
        await wait_until(lambda: listener.connections == 1 and not listener._arriving)
        assert not listener.occupied
        client.sendall(GET)  # without a turn of the loop
        assert listener.occupied and not asked
        await wait_until(lambda: asked and not listener.occupied)
        client.close()
        await listener.shutdown(timedelta())

    run_scenario(story())


def test_who_sends_more_ahead_than_is_kept_gets_the_present_answer_and_then_an_error():
    """What was above the bound was left out in the middle, and the rest read as if it were whole."""

    async def story():
        port, go = free_port(), asyncio.Event()
        listener, asked = await served(b"x", port, go)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET)
        await wait_until(lambda: asked)
        writer.write(b"PUT /b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (MOST_AHEAD + 9))
        writer.write(bytes(MOST_AHEAD + 9))
        guard = next(iter(listener._states))
        await wait_until(lambda: len(guard._ahead) > MOST_AHEAD)
        go.set()
        got = await asyncio.wait_for(reader.read(), 10)
        assert got.count(b"HTTP/1.1 ") == 2 and b"HTTP/1.1 400 " in got and "/b" not in asked
        writer.close()
        await listener.shutdown(timedelta())

    run_scenario(story())


@pytest.mark.parametrize("name", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_a_signal_before_its_handler_stands_is_heard_later(name, tmp_path):
    """SIGTERM and SIGINT ended the program as it started, with a status of their own or a traceback."""

    async def story():
        async with FrontHarness(1) as world:
            pipe = tmp_path / "config.json"
            os.mkfifo(pipe)
            env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
            env |= {"BALANCER_CONFIG": str(pipe), "BALANCER_LISTEN": f"127.0.0.1:{free_port()}"}
            front = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ochrespan", env=env, stderr=asyncio.subprocess.PIPE
            )
            writer = await asyncio.to_thread(open, pipe, "w")  # comes back once the front begins to read
            front.send_signal(name)
            # what is read at SIGHUP is a plain file: the reader of the pipe has it open already
            Path(tmp_path, "next.json").write_text(world.config.read_text())
            os.replace(tmp_path / "next.json", pipe)
            writer.write(world.config.read_text())
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

    run_scenario(story())


def test_signals_in_each_phase_of_a_drain_change_nothing():
    async def story():
        async with FrontHarness(1) as world:
            world.nodes[0].default_response = "any"
            kept = await asyncio.open_connection("127.0.0.1", world.port)
            world.stop()
            for phase in ("draining", "closing", "stopped"):
                await wait_until(lambda: f"now={phase}" in world.log)  # noqa: B023
                for name in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
                    if world.process.returncode is None:
                        world.process.send_signal(name)
                if phase == "draining":
                    kept[1].write(raw("GET"))
                    assert (await kept[0].readline()).startswith(b"HTTP/1.1 200 ")
            assert await asyncio.wait_for(world.process.wait(), 20) == 0
            assert "Traceback" not in world.log

    run_scenario(story())


@pytest.mark.parametrize(("reset", "size"), [(True, 64 << 20), (False, 700_000)])
def test_an_upload_whose_client_leaves_while_its_body_waits_is_taken_back(reset, size):
    """Nobody reads while a body waits to be taken, so nobody heard that its client had left."""

    async def story():
        async with FrontHarness(2, OPERATOR) as world:
            for node in world.nodes:
                node.default_response = "stall"
            client = socket.create_connection(("127.0.0.1", world.object_port), 5)
            client.setblocking(False)
            client.send(b"PUT /photos/a HTTP/1.1\r\nHost: x\r\nContent-Length: 99000000\r\n\r\n")
            loop = asyncio.get_running_loop()
            with suppress(TimeoutError):  # until nothing more is taken; a FIN has to get through behind it
                await asyncio.wait_for(loop.sock_sendall(client, bytes(size)), 0.7)
            await wait_until(lambda: any(any(node.in_flight.values()) for node in world.nodes))
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
            gone = time.monotonic()
            await wait_until(lambda: not any(any(node.in_flight.values()) for node in world.nodes), 0.6)
            seen = sum(len(node.received) for node in world.nodes)
            await asyncio.sleep(max(0.0, gone + 0.3 - time.monotonic()))
            for node in world.nodes:
                node.released.set()
            await asyncio.sleep(0.5)
            assert sum(len(node.received) for node in world.nodes) == seen

    run_timed_scenario(story)


def test_a_story_of_spans_is_played_again_only_where_the_machine_did_not_keep_time():
    played = []

    def story(late: float):
        async def fails():
            played.append(late)
            await asyncio.sleep(0.03)
            time.sleep(late)  # the machine does nothing else meanwhile
            await asyncio.sleep(0.03)
            raise AssertionError("planted")

        return fails

    with pytest.raises(AssertionError, match="planted"):
        run_timed_scenario(story(0.0))
    assert len(played) == 1
    with pytest.raises(AssertionError, match="runs failed"):
        run_timed_scenario(story(0.2))
    assert len(played) == 1 + MAX_RUNS
