"""Chunk servers taken out by hand: the set, its file, and the real program over lists, restarts and drains."""

import asyncio
import logging
from datetime import UTC, datetime

import pytest

from ochrespan.net.discovery import Directory
from ochrespan.requests import Node, NodeState
from ochrespan.suspension import (
    FILE_NAME,
    RESUMED_RETENTION_S,
    BadSuspensionFile,
    SuspendedServers,
    SuspensionFile,
    dump,
    parse,
)

from .controlled_front import ControlledFront
from .front_harness import run_scenario, wait_until
from .test_discovery import GOOD, listing


class Clock:
    def __init__(self) -> None:
        self.now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


def test_two_suspensions_need_one_resume():
    suspended = SuspendedServers()
    suspended.suspend("a")
    suspended.suspend("a")
    assert "a" in suspended
    suspended.resume("a")
    assert "a" not in suspended


def test_a_suspended_server_drains_whatever_the_list_says_and_a_removed_one_stays_removed():
    suspended = SuspendedServers()
    suspended.suspend("a")
    assert suspended.effective_entry(Node("a", state=NodeState.READY)).state is NodeState.DRAINING
    assert suspended.effective_entry(Node("a", state=NodeState.GONE)).state is NodeState.GONE
    assert suspended.effective_entry(Node("b")) == Node("b")


def test_a_resumed_server_counts_as_just_started_until_the_list_tells_of_its_start():
    clock = Clock()
    suspended = SuspendedServers(clock=clock)
    suspended.suspend("a")
    clock.now += 30
    suspended.resume("a")
    back = datetime.fromtimestamp(clock.now, UTC)
    assert suspended.effective_entry(Node("a")).started_at == back
    before = datetime.fromtimestamp(clock.now - 60, UTC)
    assert suspended.effective_entry(Node("a", started_at=before)).started_at == back
    meanwhile = datetime.fromtimestamp(clock.now - 10, UTC)
    assert suspended.effective_entry(Node("a", started_at=meanwhile)).started_at == meanwhile


def test_a_list_or_a_change_lifts_no_suspension():
    suspended = SuspendedServers()
    directory = Directory(suspended)
    directory.apply(listing(GOOD))
    suspended.suspend("n1")
    for told in (listing(GOOD), listing(GOOD | {"up_since_ms": 99_000}, complete=False)):
        _, nodes = directory.apply(told)
        assert [node.state for node in nodes] == [NodeState.DRAINING]
        assert not directory.takes("n1") and not directory.shards
    suspended.resume("n1")
    assert [node.state for node in directory.relisted()] == [NodeState.READY]
    assert directory.takes("n1") and directory.shards == {3: ["n1"]}


def test_the_set_passes_through_its_file_in_both_directions(tmp_path):
    clock = Clock()
    first = SuspendedServers(SuspensionFile(tmp_path), clock)
    first.suspend("a")
    second = SuspendedServers(SuspensionFile(tmp_path), clock)
    assert "a" in second and not second.refresh()
    second.suspend("b")
    first.suspend("c")  # from what it knows and what the other wrote meanwhile
    assert all(server in first for server in "abc")
    assert second.refresh() and "c" in second
    second.resume("a")
    assert first.refresh() and "a" not in first


def test_what_was_resumed_long_ago_is_forgotten(tmp_path):
    clock = Clock()
    suspended = SuspendedServers(SuspensionFile(tmp_path), clock)
    suspended.suspend("a")
    suspended.resume("a")
    clock.now += RESUMED_RETENTION_S + 1
    suspended.suspend("b")
    assert list(parse((tmp_path / FILE_NAME).read_text())) == ["b"]


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "null",
        '{"version": 2, "servers": []}',
        '{"version": 1}',
        '{"version": 1, "servers": [7]}',
        '{"version": 1, "servers": [{"id": "", "since": 1, "resumed": null}]}',
        '{"version": 1, "servers": [{"id": "a", "since": "long ago", "resumed": null}]}',
        '{"version": 1, "servers": [{"id": "a", "since": 1}]}',
    ],
)
def test_a_corrupt_or_half_file_is_told_and_ignored_and_the_next_change_replaces_it(text, tmp_path, caplog):
    with pytest.raises(BadSuspensionFile):
        parse(text)
    (tmp_path / FILE_NAME).write_text(text)
    with caplog.at_level(logging.ERROR):
        suspended = SuspendedServers(SuspensionFile(tmp_path))
    assert "a" not in suspended and [record.message for record in caplog.records]
    suspended.suspend("b")
    assert "b" in SuspendedServers(SuspensionFile(tmp_path))


def test_a_corrupt_file_does_not_lift_what_is_known(tmp_path):
    suspended = SuspendedServers(SuspensionFile(tmp_path))
    suspended.suspend("a")
    (tmp_path / FILE_NAME).write_text(dump(parse((tmp_path / FILE_NAME).read_text()))[:-5])
    assert not suspended.refresh() and "a" in suspended


def test_where_nothing_can_be_written_the_suspension_still_holds_here(tmp_path, caplog):
    suspended = SuspendedServers(SuspensionFile(tmp_path / "missing"))
    suspended.suspend("a")
    assert "a" in suspended and "not saved" in caplog.text


def test_the_program_sends_nothing_to_a_suspended_server_and_uses_it_again_once_resumed():
    async def story():
        async with ControlledFront(2) as world:
            for node in world.nodes:
                node.default_response = "any"
            assert (await world.send_request("t0"))[0] == 200
            assert await world.suspend("s-0") == 200 and await world.suspend("s-0") == 200
            seen = len(world.nodes[0].received)
            assert (await world.send_request("t1"))[0] == 503
            world.nodes[0].up_since_ms = 1  # it restarts, and the list says that it is up
            world.publish_state(world.nodes[0], "up")
            await asyncio.sleep(0.3)
            assert (await world.send_request("t2"))[0] == 503 and len(world.nodes[0].received) == seen
            assert await world.resume("s-0") == 200
            assert (await world.send_request("t3"))[0] == 200 and len(world.nodes[0].received) == seen + 1
            assert await world.resume("s-0") == 200  # it is used already

    run_scenario(story())


def test_a_server_that_leaves_the_list_while_suspended_comes_back_suspended():
    async def story():
        async with ControlledFront(1) as world:
            world.nodes[0].default_response = "any"
            assert await world.suspend("s-0") == 200
            world.publish_state(world.nodes[0], "removed")
            await asyncio.sleep(0.3)
            assert (await world.metrics())["targets"] == 0
            world.publish_state(world.nodes[0], "up")
            await wait_until(lambda: len(world.calls) > 2)
            await asyncio.sleep(0.3)
            found = await world.metrics()
            assert (found["targets"], found["targets_disabled"]) == (1, 1)
            assert (await world.send_request("t1"))[0] == 503
            assert await world.resume("s-0") == 200
            assert (await world.send_request("t2"))[0] == 200

    run_scenario(story())
