"""Drain and activation by an operator: the phases, the connections, and together with SIGTERM."""

import asyncio
import time

import pytest

from ochrespan.lifecycle import Lifecycle, Phase

from .controlled_front import ControlledFront
from .front_harness import run_scenario, wait_until
from .test_client_connections import raw_request


def phases(*steps: str) -> list[Phase]:
    """The phase after each step, beginning with a front that has just started."""
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
def test_operators_switch_between_ready_and_inactive_and_cannot_stop_a_shutdown(steps, last):
    assert phases(*steps)[-1] is last


def test_activation_is_refused_during_the_shutdown():
    lifecycle = Lifecycle()
    lifecycle.advance(Phase.READY)
    lifecycle.advance(Phase.DRAINING)
    assert not lifecycle.activate()


def test_drained_front_fails_health_checks_closes_idle_connections_and_can_be_activated():
    async def scenario():
        async with ControlledFront(2) as harness:
            slow = harness.nodes[1]
            for node in harness.nodes:
                node.default_response = "any"
            idle = await asyncio.open_connection("127.0.0.1", harness.port)
            idle[1].write(raw_request("GET", **{"X-Trace-Id": "idle"}))
            await idle[0].readuntil(b"\r\n\r\n")
            unused = await asyncio.open_connection("127.0.0.1", harness.port)
            slow.delay = 1.0
            busy = await asyncio.open_connection("127.0.0.1", harness.port)
            busy[1].write(raw_request("GET", **{"X-Trace-Id": "busy", "X-IO": "units=2,shard=1,hosts=2"}))
            await wait_until(lambda: slow.received)
            began = time.monotonic()
            assert (await harness.command("/v1/front/drain"))[0] == 200
            assert (await harness.call("GET", "/up"))[0] != 200
            assert (await harness.send_request("late"))[0] == 200  # new connections are still served for a while
            for reader, _ in (idle, unused):
                await asyncio.wait_for(reader.read(), 2)  # until closed
            assert (await asyncio.wait_for(busy[0].read(), 3)).startswith(b"HTTP/1.1 200 ")  # served, then closed
            assert time.monotonic() - began < 2
            assert (await harness.command("/v1/readyz", "GET"))[0] == 200  # still able to serve
            assert (await harness.command("/v1/front/activate"))[0] == 200
            assert (await harness.call("GET", "/up"))[0] == 200
            assert (await harness.send_request("back"))[0] == 200
            assert harness.process.returncode is None

    run_scenario(scenario())


def test_last_of_rapid_drains_and_activations_decides():
    async def scenario():
        async with ControlledFront(1) as harness:
            for call in ("drain", "drain", "activate", "activate", "drain", "activate", "drain"):
                assert (await harness.command(f"/v1/front/{call}"))[0] == 200
            assert (await harness.call("GET", "/up"))[0] == 503
            assert (await harness.command("/v1/front/activate"))[0] == 200
            await asyncio.sleep(1)
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            await asyncio.sleep(0.7)  # no earlier drain closes this connection
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()

    run_scenario(scenario())


def test_drained_front_ends_on_sigterm_and_cannot_be_activated_then():
    async def scenario():
        async with ControlledFront(1) as harness:
            assert (await harness.command("/v1/front/drain"))[0] == 200
            harness.stop()
            await wait_until(lambda: "now=draining" in harness.log)
            assert (await harness.command("/v1/front/activate"))[0] == 409
            assert await asyncio.wait_for(harness.process.wait(), 5) == 0

    run_scenario(scenario())


def test_drain_during_an_upgrade_affects_only_its_process():
    async def scenario():
        async with ControlledFront(1) as harness:
            successor = await harness.upgrade()
            await successor.ready()
            assert (await harness.command("/v1/front/drain"))[0] == 200
            assert (await harness.call("GET", "/up"))[0] == 200  # the new process accepts new connections
            harness.stop()
            assert await asyncio.wait_for(harness.process.wait(), 5) == 0
            assert (await harness.command("/v1/front/drain", port=successor.control))[0] == 200
            assert (await harness.call("GET", "/up"))[0] == 503

    run_scenario(scenario())
