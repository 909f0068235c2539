"""SIGHUP: a new configuration file under load, in the real program."""

import asyncio

import pytest
from aiohttp import web

from .world import World, play, until


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

        async with World(2) as world:
            node = world.nodes[0]
            node.always = "any"
            await until(lambda: world.calls)
            node.script.append("stall")
            held = asyncio.create_task(world.ask("t1"))
            await until(lambda: node.seen)
            old = len(world.calls)
            world.reload(discovery=await world.open_discovery(elsewhere))
            # the whole list first, as another service's revisions mean nothing here, then the watch again
            await until(lambda: calls == [None, "4"])
            assert not held.done() and any(node.out.values())  # the attempt is still out, on its connection
            world.nodes[1].phase = "draining"
            news.set()  # told by the new service alone
            await until(lambda: len(calls) > 2)
            assert (await world.ask("t2", shard=1, cls="brief", left="900"))[0] == 503
            node.released.set()
            assert (await held)[0] == 200 and node.copies == 0
            assert len(world.calls) == old

    play(story())


@pytest.mark.parametrize("text", [
    "{", "{}", "[]", '{"settings": {}, "listen": "127.0.0.1:1", "discovery": "nowhere"}'])
def test_a_bad_file_leaves_the_old_configuration_and_says_why(text):
    async def story():
        async with World(1) as world:
            world.nodes[0].always = "any"
            await until(lambda: world.calls)
            world.reload(text)
            await until(lambda: 'msg="the old configuration stays" why=' in world.log)
            world.tell(world.nodes[0], "up")
            await until(lambda: world.calls[-1][1] == "1")  # the old watch goes on
            assert (await world.ask("t1"))[0] == 200
            world.reload(name="other")
            await until(lambda: "only_by_restart=name" in world.log)
            world.stop()
            assert await asyncio.wait_for(world.process.wait(), 20) == 0

    play(story())
