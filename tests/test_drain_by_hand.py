"""Clients sent away by an operator, and taken back: the states, the connections, and beside SIGTERM."""

import asyncio
import time

import pytest

from ochrespan.lifecycle import Lifecycle, Phase

from .controlled_front import ControlledFront
from .front_harness import run_scenario, wait_until
from .test_guard import raw


def phases(*steps: str) -> list[Phase]:
    """The phase after each step, from a front that has just started."""
    lifecycle = Lifecycle()
    found = []
    for step in steps:
        match step:
            case "drain":
                lifecycle.deactivate()
            case "activate":
                lifecycle.activate()
            case _:
                lifecycle.advance(Phase(step))
        found.append(lifecycle.phase)
    return found


@pytest.mark.parametrize(
    ("steps", "last"),
    [
        (("ready", "drain"), Phase.INACTIVE),
        (("ready", "drain", "drain", "activate"), Phase.READY),
        (("ready", "drain", "activate", "activate", "drain"), Phase.INACTIVE),
        (("drain", "ready"), Phase.INACTIVE),
        (("drain", "activate", "ready"), Phase.READY),
        (("ready", "drain", "draining", "activate"), Phase.DRAINING),
        (("ready", "draining", "drain", "activate"), Phase.DRAINING),
        (("ready", "drain", "draining", "closing", "stopped"), Phase.STOPPED),
    ],
)
def test_operators_choose_between_ready_and_inactive_and_never_stop_an_end(steps, last):
    assert phases(*steps)[-1] is last


def test_activation_is_denied_once_the_program_ends():
    lifecycle = Lifecycle()
    lifecycle.advance(Phase.READY)
    lifecycle.advance(Phase.DRAINING)
    assert not lifecycle.activate()


def test_a_drained_front_says_no_ends_idle_connections_and_comes_back():
    async def story():
        async with ControlledFront(2) as world:
            slow = world.nodes[1]
            for node in world.nodes:
                node.default_response = "any"
            idle = await asyncio.open_connection("127.0.0.1", world.port)
            idle[1].write(raw("GET", **{"X-Trace-Id": "idle"}))
            await idle[0].readuntil(b"\r\n\r\n")
            silent = await asyncio.open_connection("127.0.0.1", world.port)
            slow.delay = 1.0
            busy = await asyncio.open_connection("127.0.0.1", world.port)
            busy[1].write(raw("GET", **{"X-Trace-Id": "busy", "X-IO": "units=2,shard=1,hosts=2"}))
            await wait_until(lambda: slow.received)
            began = time.monotonic()
            assert (await world.command("/v1/front/drain"))[0] == 200
            assert (await world.call("GET", "/up"))[0] != 200
            assert (await world.send_request("late"))[0] == 200  # new connections still come for a while
            for reader, _ in (idle, silent):
                await asyncio.wait_for(reader.read(), 2)  # to the end of the connection
            assert (await asyncio.wait_for(busy[0].read(), 3)).startswith(b"HTTP/1.1 200 ")  # served, and closed
            assert time.monotonic() - began < 2
            assert (await world.command("/v1/readyz", "GET"))[0] == 200  # it could serve
            assert (await world.command("/v1/front/activate"))[0] == 200
            assert (await world.call("GET", "/up"))[0] == 200
            assert (await world.send_request("back"))[0] == 200
            assert world.process.returncode is None

    run_scenario(story())


def test_drains_and_activations_in_quick_turn_end_as_the_last_says():
    async def story():
        async with ControlledFront(1) as world:
            for call in ("drain", "drain", "activate", "activate", "drain", "activate", "drain"):
                assert (await world.command(f"/v1/front/{call}"))[0] == 200
            assert (await world.call("GET", "/up"))[0] == 503
            assert (await world.command("/v1/front/activate"))[0] == 200
            await asyncio.sleep(1)
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            await asyncio.sleep(0.7)  # no drain is left that would end it
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()

    run_scenario(story())


def test_a_drained_front_ends_on_sigterm_and_cannot_be_activated_then():
    async def story():
        async with ControlledFront(1) as world:
            assert (await world.command("/v1/front/drain"))[0] == 200
            world.stop()
            await wait_until(lambda: "now=draining" in world.log)
            assert (await world.command("/v1/front/activate"))[0] == 409
            assert await asyncio.wait_for(world.process.wait(), 5) == 0

    run_scenario(story())


def test_a_drain_during_an_upgrade_is_of_its_process_alone():
    async def story():
        async with ControlledFront(1) as world:
            successor = await world.upgrade()
            await successor.ready()
            assert (await world.command("/v1/front/drain"))[0] == 200
            assert (await world.call("GET", "/up"))[0] == 200  # the new process takes what is new
            world.stop()
            assert await asyncio.wait_for(world.process.wait(), 5) == 0
            assert (await world.command("/v1/front/drain", port=successor.control))[0] == 200
            assert (await world.call("GET", "/up"))[0] == 503

    run_scenario(story())
