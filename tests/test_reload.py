"""SIGHUP: a new configuration file under load, in the real program."""

import asyncio

import pytest
from aiohttp import web

from .front_harness import FrontHarness, free_port, run_scenario, wait_until


def test_a_reload_moves_the_watch_and_keeps_requests_and_connections():
    """SIGHUP had no handler: it ended the program with all that it held."""

    async def story():
        calls, news = [], asyncio.Event()

        async def elsewhere(request: web.BaseRequest) -> web.Response:
            calls.append(request.query.get("after"))
            if len(calls) > 1:
                await news.wait()
            entries = [world.entry(node) for node in world.nodes]
            return web.json_response({"revision": 3 + len(calls), "complete": len(calls) == 1, "members": entries})

        async with FrontHarness(2) as world:
            node = world.nodes[0]
            node.default_response = "any"
            await wait_until(lambda: world.calls)
            node.scripted_responses.append("stall")
            held = asyncio.create_task(world.send_request("t1"))
            await wait_until(lambda: node.received)
            old = len(world.calls)
            world.reload(discovery=await world.open_discovery(elsewhere))
            # the whole list first, as another service's revisions mean nothing here, then the watch again
            await wait_until(lambda: calls == [None, "4"])
            assert not held.done() and any(node.in_flight.values())  # the attempt is still out, on its connection
            world.nodes[1].phase = "draining"
            news.set()  # told by the new service alone
            await wait_until(lambda: len(calls) > 2)
            assert (await world.send_request("t2", shard=1, cls="brief", left="900"))[0] == 503
            node.released.set()
            assert (await held)[0] == 200 and node.overlapping_attempts == 0
            assert len(world.calls) == old

    run_scenario(story())


@pytest.mark.parametrize("text", ["{", "{}", "[]", '{"settings": {}, "listen": "127.0.0.1:1", "discovery": "nowhere"}'])
def test_a_bad_file_leaves_the_old_configuration_and_says_why(text):
    async def story():
        async with FrontHarness(1) as world:
            world.nodes[0].default_response = "any"
            await wait_until(lambda: world.calls)
            world.reload(text)
            await wait_until(lambda: 'msg="reload failed; keeping the previous configuration" why=' in world.log)
            world.publish_state(world.nodes[0], "up")
            await wait_until(lambda: world.calls[-1][1] == "1")  # the old watch goes on
            assert (await world.send_request("t1"))[0] == 200
            world.reload(name="other")
            await wait_until(lambda: "only_by_restart=name" in world.log)
            world.stop()
            assert await asyncio.wait_for(world.process.wait(), 20) == 0

    run_scenario(story())


class Services:
    """Two discoveries that hold each call until the test answers it."""

    def __init__(self, world: FrontHarness) -> None:
        self.world, self.calls = world, {"old": [], "new": []}
        self.requests: dict[str, list[web.BaseRequest]] = {"old": [], "new": []}

    def handler(self, name: str):
        async def handle(request: web.BaseRequest) -> web.Response:
            answer = asyncio.get_running_loop().create_future()
            self.requests[name].append(request)
            self.calls[name].append((request.query.get("after"), answer))
            return web.json_response(await answer)

        return handle

    def watches(self, name: str) -> list[str | None]:
        """The revisions that the calls name whose connections stand and which are not answered."""
        both = zip(self.requests[name], self.calls[name], strict=True)
        return [after for request, (after, answer) in both if request.transport is not None and not answer.done()]

    def reply(self, name: str, revision: int, *phases: str, complete: bool = True) -> None:
        entries = [
            self.world.entry(node) | {"phase": phase} for node, phase in zip(self.world.nodes, phases, strict=False)
        ]
        self.calls[name][-1][1].set_result({"revision": revision, "complete": complete, "members": entries})

    async def asked(self, name: str, number: int) -> None:
        await wait_until(lambda: len(self.calls[name]) >= number)


@pytest.mark.parametrize("moment", ["silent", "between retries", "twice", "crossing"])
def test_a_move_of_discovery_in_a_narrow_moment_ends_with_one_watch_at_the_new_address(moment):
    async def story():
        async with FrontHarness(2) as world:
            both = Services(world)
            old, new = [await world.open_discovery(both.handler(name)) for name in ("old", "new")]
            nowhere = f"127.0.0.1:{free_port()}"
            if moment == "between retries":
                world.reload(discovery=nowhere)  # each call fails at once, and the next waits by lot
                await wait_until(lambda: "in_a_row=2" in world.log)
            else:
                world.reload(discovery=old)
                await both.asked("old", 1)
                both.reply("old", 7, "up", "up")
                await both.asked("old", 2)  # and that is not answered: it is silent
            if moment == "twice":  # there and back, and there again; a slow machine carries some of it out between
                for where in (new, old, new):
                    world.reload(discovery=where)
                    await wait_until(lambda: f"discovery={where}" in world.log.rsplit("configuration reloaded", 1)[-1])  # noqa: B023
                await world.send_request(
                    "t0", shard=1
                )  # whatever the answer: ends of calls before it have come in here by now
                await wait_until(lambda: both.watches("new") and not both.watches("old"))
            else:
                world.reload(discovery=new)
            if moment == "crossing":  # the old one answers in the moment of the move
                both.reply("old", 8, "draining", complete=False)
            await both.asked("new", 1)
            before = len(both.calls["new"])
            assert before == 1 or (moment == "twice" and before == 2)
            assert {after for after, _ in both.calls["new"]} == {None}  # what the old one counted means nothing here
            both.reply("new", 3, "up", "draining")
            await both.asked("new", before + 1)
            assert both.calls["new"][-1][0] == "3" and both.watches("new") == ["3"]
            assert len(both.calls["old"]) <= 3
            for node in world.nodes:
                node.default_response = "any"
            assert (await world.send_request("t1"))[0] == 200  # as the new list says, whatever crossed it
            assert (await world.send_request("t2", shard=1, cls="brief", left="900"))[0] == 503
            asked = len(both.calls["old"])
            await asyncio.sleep(0.5)
            assert len(both.calls["old"]) == asked and len(both.calls["new"]) == before + 1
            assert "Traceback" not in world.log

    run_scenario(story())
