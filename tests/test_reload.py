"""SIGHUP: reloading the configuration file of a real front under load."""

import asyncio

import pytest
from aiohttp import web

from .front_harness import FrontHarness, free_port, run_scenario, wait_until


def test_reload_moves_the_discovery_watch_and_keeps_requests_and_connections():
    """Without a handler, SIGHUP ends the process with all of its requests."""

    async def scenario():
        calls, update_published = [], asyncio.Event()

        async def elsewhere(request: web.BaseRequest) -> web.Response:
            calls.append(request.query.get("after"))
            if len(calls) > 1:
                await update_published.wait()
            entries = [harness.entry(node) for node in harness.nodes]
            return web.json_response({"revision": 3 + len(calls), "complete": len(calls) == 1, "members": entries})

        async with FrontHarness(2) as harness:
            node = harness.nodes[0]
            node.default_response = "any"
            await wait_until(lambda: harness.calls)
            node.scripted_responses.append("stall")
            pending_request = asyncio.create_task(harness.send_request("t1"))
            await wait_until(lambda: node.received)
            old = len(harness.calls)
            harness.reload(discovery=await harness.open_discovery(elsewhere))
            # first the complete list, as the old revisions are not valid for another service; then the watch
            await wait_until(lambda: calls == [None, "4"])
            assert not pending_request.done() and any(node.in_flight.values())  # the attempt is still in flight
            harness.nodes[1].phase = "draining"
            update_published.set()  # by the new service only
            await wait_until(lambda: len(calls) > 2)
            assert (await harness.send_request("t2", shard=1, cls="brief", left="900"))[0] == 503
            node.released.set()
            assert (await pending_request)[0] == 200 and node.overlapping_attempts == 0
            assert len(harness.calls) == old

    run_scenario(scenario())


@pytest.mark.parametrize("text", ["{", "{}", "[]", '{"settings": {}, "listen": "127.0.0.1:1", "discovery": "nowhere"}'])
def test_invalid_file_keeps_the_previous_configuration_and_is_logged(text):
    async def scenario():
        async with FrontHarness(1) as harness:
            harness.nodes[0].default_response = "any"
            await wait_until(lambda: harness.calls)
            harness.reload(text)
            await wait_until(lambda: 'msg="reload failed; keeping the previous configuration" why=' in harness.log)
            harness.publish_state(harness.nodes[0], "up")
            await wait_until(lambda: harness.calls[-1][1] == "1")  # the watch of the previous configuration continues
            assert (await harness.send_request("t1"))[0] == 200
            harness.reload(name="other")
            await wait_until(lambda: "only_by_restart=name" in harness.log)
            harness.stop()
            assert await asyncio.wait_for(harness.process.wait(), 20) == 0

    run_scenario(scenario())


class StubDiscoveryServices:
    """Two stub discovery services that delay each response until the test sends it."""

    def __init__(self, harness: FrontHarness) -> None:
        self.harness, self.calls = harness, {"old": [], "new": []}
        self.requests: dict[str, list[web.BaseRequest]] = {"old": [], "new": []}

    def handler(self, name: str):
        async def handle(request: web.BaseRequest) -> web.Response:
            response = asyncio.get_running_loop().create_future()
            self.requests[name].append(request)
            self.calls[name].append((request.query.get("after"), response))
            return web.json_response(await response)

        return handle

    def open_watches(self, name: str) -> list[str | None]:
        """The requested revisions of the unanswered calls on open connections."""
        services = zip(self.requests[name], self.calls[name], strict=True)
        return [
            after for request, (after, response) in services if request.transport is not None and not response.done()
        ]

    def reply(self, name: str, revision: int, *phases: str, complete: bool = True) -> None:
        entries = [
            self.harness.entry(node) | {"phase": phase} for node, phase in zip(self.harness.nodes, phases, strict=False)
        ]
        self.calls[name][-1][1].set_result({"revision": revision, "complete": complete, "members": entries})

    async def wait_for_calls(self, name: str, number: int) -> None:
        await wait_until(lambda: len(self.calls[name]) >= number)


@pytest.mark.parametrize("moment", ["silent", "between retries", "twice", "crossing"])
def test_change_of_discovery_address_at_a_critical_moment_leaves_one_watch_at_the_new_address(moment):
    async def scenario():
        async with FrontHarness(2) as harness:
            services = StubDiscoveryServices(harness)
            old, new = [await harness.open_discovery(services.handler(name)) for name in ("old", "new")]
            nowhere = f"127.0.0.1:{free_port()}"
            if moment == "between retries":
                # each call fails at once, and the next one waits for a random backoff
                harness.reload(discovery=nowhere)
                await wait_until(lambda: "in_a_row=2" in harness.log)
            else:
                harness.reload(discovery=old)
                await services.wait_for_calls("old", 1)
                services.reply("old", 7, "up", "up")
                await services.wait_for_calls("old", 2)  # this call stays unanswered
            if (
                moment == "twice"
            ):  # to the new address, back, and to the new one again; a slow machine may act on some in between
                for where in (new, old, new):
                    harness.reload(discovery=where)
                    await wait_until(
                        lambda: f"discovery={where}" in harness.log.rsplit("configuration reloaded", 1)[-1]  # noqa: B023
                    )
                # the response does not matter: by then the ends of earlier discovery calls have been processed
                await harness.send_request("t0", shard=1)
                await wait_until(lambda: services.open_watches("new") and not services.open_watches("old"))
            else:
                harness.reload(discovery=new)
            if moment == "crossing":  # the old service answers during the change
                services.reply("old", 8, "draining", complete=False)
            await services.wait_for_calls("new", 1)
            before = len(services.calls["new"])
            assert before == 1 or (moment == "twice" and before == 2)
            # revisions of the old service are not valid at the new one
            assert {after for after, _ in services.calls["new"]} == {None}
            services.reply("new", 3, "up", "draining")
            await services.wait_for_calls("new", before + 1)
            assert services.calls["new"][-1][0] == "3" and services.open_watches("new") == ["3"]
            assert len(services.calls["old"]) <= 3
            for node in harness.nodes:
                node.default_response = "any"
            assert (await harness.send_request("t1"))[0] == 200  # according to the new list, not to the late response
            assert (await harness.send_request("t2", shard=1, cls="brief", left="900"))[0] == 503
            calls_to_old = len(services.calls["old"])
            await asyncio.sleep(0.5)
            assert len(services.calls["old"]) == calls_to_old and len(services.calls["new"]) == before + 1
            assert "Traceback" not in harness.log

    run_scenario(scenario())
