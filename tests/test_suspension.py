"""Suspended chunk servers: the set, its file, and a real front with list updates and restarts."""

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
from .test_discovery import MEMBER, listing


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


def test_suspended_server_is_draining_whatever_the_list_says_and_removed_server_stays_removed():
    suspended = SuspendedServers()
    suspended.suspend("a")
    assert suspended.effective_entry(Node("a", state=NodeState.READY)).state is NodeState.DRAINING
    assert suspended.effective_entry(Node("a", state=NodeState.GONE)).state is NodeState.GONE
    assert suspended.effective_entry(Node("b")) == Node("b")


def test_resumed_server_counts_as_just_started_until_the_list_has_its_new_start():
    clock = Clock()
    suspended = SuspendedServers(clock=clock)
    suspended.suspend("a")
    clock.now += 30
    suspended.resume("a")
    resumed_at = datetime.fromtimestamp(clock.now, UTC)
    assert suspended.effective_entry(Node("a")).started_at == resumed_at
    before = datetime.fromtimestamp(clock.now - 60, UTC)
    assert suspended.effective_entry(Node("a", started_at=before)).started_at == resumed_at
    meanwhile = datetime.fromtimestamp(clock.now - 10, UTC)
    assert suspended.effective_entry(Node("a", started_at=meanwhile)).started_at == meanwhile


def test_neither_a_full_list_nor_a_delta_ends_a_suspension():
    suspended = SuspendedServers()
    directory = Directory(suspended)
    directory.apply(listing(MEMBER))
    suspended.suspend("n1")
    for update in (listing(MEMBER), listing(MEMBER | {"up_since_ms": 99_000}, complete=False)):
        _, nodes = directory.apply(update)
        assert [node.state for node in nodes] == [NodeState.DRAINING]
        assert not directory.is_usable("n1") and not directory.shards
    suspended.resume("n1")
    assert [node.state for node in directory.refresh()] == [NodeState.READY]
    assert directory.is_usable("n1") and directory.shards == {3: ["n1"]}


def test_two_processes_share_the_set_through_its_file(tmp_path):
    clock = Clock()
    first = SuspendedServers(SuspensionFile(tmp_path), clock)
    first.suspend("a")
    second = SuspendedServers(SuspensionFile(tmp_path), clock)
    assert "a" in second and not second.refresh()
    second.suspend("b")
    first.suspend("c")  # merges its own set with what the other process wrote
    assert all(server in first for server in "abc")
    assert second.refresh() and "c" in second
    second.resume("a")
    assert first.refresh() and "a" not in first


def test_records_of_servers_resumed_long_ago_are_dropped(tmp_path):
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
def test_corrupt_or_truncated_file_is_logged_and_ignored_and_replaced_by_the_next_change(text, tmp_path, caplog):
    with pytest.raises(BadSuspensionFile):
        parse(text)
    (tmp_path / FILE_NAME).write_text(text)
    with caplog.at_level(logging.ERROR):
        suspended = SuspendedServers(SuspensionFile(tmp_path))
    assert "a" not in suspended and [record.message for record in caplog.records]
    suspended.suspend("b")
    assert "b" in SuspendedServers(SuspensionFile(tmp_path))


def test_corrupt_file_does_not_end_known_suspensions(tmp_path):
    suspended = SuspendedServers(SuspensionFile(tmp_path))
    suspended.suspend("a")
    (tmp_path / FILE_NAME).write_text(dump(parse((tmp_path / FILE_NAME).read_text()))[:-5])
    assert not suspended.refresh() and "a" in suspended


def test_suspension_applies_in_this_process_if_the_file_cannot_be_written(tmp_path, caplog):
    suspended = SuspendedServers(SuspensionFile(tmp_path / "missing"))
    suspended.suspend("a")
    assert "a" in suspended and "not kept" in caplog.text


def test_the_program_sends_nothing_to_a_suspended_server_and_uses_it_again_once_resumed():
    async def scenario():
        async with ControlledFront(2) as harness:
            for node in harness.nodes:
                node.default_response = "any"
            assert (await harness.send_request("t0"))[0] == 200
            assert await harness.suspend("s-0") == 200 and await harness.suspend("s-0") == 200
            seen = len(harness.nodes[0].received)
            assert (await harness.send_request("t1"))[0] == 503
            harness.nodes[0].up_since_ms = 1  # restarted, and listed as up
            harness.publish_state(harness.nodes[0], "up")
            await asyncio.sleep(0.3)
            assert (await harness.send_request("t2"))[0] == 503 and len(harness.nodes[0].received) == seen
            assert await harness.resume("s-0") == 200
            assert (await harness.send_request("t3"))[0] == 200 and len(harness.nodes[0].received) == seen + 1
            assert await harness.resume("s-0") == 200  # idempotent

    run_scenario(scenario())


def test_server_that_is_removed_and_listed_again_is_still_suspended():
    async def scenario():
        async with ControlledFront(1) as harness:
            harness.nodes[0].default_response = "any"
            assert await harness.suspend("s-0") == 200
            harness.publish_state(harness.nodes[0], "removed")
            await asyncio.sleep(0.3)
            assert (await harness.metrics())["targets"] == 0
            harness.publish_state(harness.nodes[0], "up")
            await wait_until(lambda: len(harness.calls) > 2)
            await asyncio.sleep(0.3)
            found = await harness.metrics()
            assert (found["targets"], found["targets_disabled"]) == (1, 1)
            assert (await harness.send_request("t1"))[0] == 503
            assert await harness.resume("s-0") == 200
            assert (await harness.send_request("t2"))[0] == 200

    run_scenario(scenario())
