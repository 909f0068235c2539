"""Discovery's list of chunk servers: the known one at the start, then a watch while the broker wants it."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from typing import Any

import aiohttp

from ..broker import Broker
from ..metric_samples import TargetCounts
from ..requests import ListKind, Node, NodeState
from ..suspension import SuspendedServers
from .load_reports import LogSampler

log = logging.getLogger(__name__)

# What discovery has to tell counts as told 6 s later, or 2 s after the end of a call's wait. A watch that has fallen
# silent is known by HEARD, so that the new one has 1.5 s and the time of a drain. The first call of a watch may
# stand in discovery's queue, which takes 2 s at most, so it waits for less; those that follow stand in none.
WATCH_CALL_TIMEOUT = timedelta(seconds=4.5)  # from a call to the end of its answer
LONG_POLL_WAIT, FIRST_LONG_POLL_WAIT = (
    timedelta(seconds=4),
    timedelta(seconds=2),
)  # how long discovery may hold a call open
CONNECT_TIMEOUT = timedelta(seconds=2)
LIST_CALL_TIMEOUT = timedelta(seconds=2.5)  # for a list that discovery does not hold back
MIN_CALL_INTERVAL = timedelta(milliseconds=100)  # least time between calls that bring nothing; a watch stands 200 ms
MAX_LIST_BYTES = 4 << 20  # bytes
MAX_LOGGED_PHASES = 8  # words for phases that are not known, each told once
NO_SHARD = -1  # the cell of a server that holds no shard
STATES_BY_PHASE = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


class InvalidList(ValueError):
    """Discovery's answer cannot be read."""


def read_node(entry: Any, path: str) -> tuple[Node, str]:
    """One member of a list; `at` says where it stands."""

    def invalid(name: str, allowed: str) -> InvalidList:
        return InvalidList(f"{path}.{name}: found {str(entry.get(name))[:60]!r}, allowed: {allowed}")

    def read_number(name: str, default: float, minimum: float) -> float:
        try:
            value = float(default if entry.get(name) is None else entry[name])
        except (TypeError, ValueError, OverflowError):
            raise invalid(name, "a number") from None
        if not math.isfinite(value) or value < minimum:
            raise invalid(name, f"a finite number from {minimum:g} up")
        return value

    if not isinstance(entry, dict):
        raise InvalidList(f"{path}: found {str(entry)[:60]!r}, allowed: an object")
    if not isinstance(entry.get("id"), str) or not entry["id"]:
        raise invalid("id", "a name")
    shard = read_number("cell", NO_SHARD, NO_SHARD)
    if not shard.is_integer():
        raise invalid("cell", f"a whole number from {NO_SHARD} up")
    up_since_ms = read_number("up_since_ms", 0.0, 0.0)
    try:
        started_at = datetime.fromtimestamp(up_since_ms / 1000, UTC) if up_since_ms > 0 else None
    except (OverflowError, ValueError, OSError):
        raise invalid("up_since_ms", "Unix time in milliseconds") from None
    node = Node(
        id=entry["id"],
        shard=int(shard),
        # a phase that is not known gets nothing new
        state=STATES_BY_PHASE.get(str(entry.get("phase", "up")), NodeState.DRAINING),
        started_at=started_at,
        zone=str(entry.get("locality", "")),
        weight=read_number("size", 1.0, 0.0),
    )
    return node, str(entry.get("host_port", ""))


def read_list(listing: Any) -> tuple[bool, int, list[tuple[Node, str]]]:
    """Whether it is complete, its revision, and its members; the first fault is told by its place."""
    if not isinstance(listing, dict):
        raise InvalidList(f"the list: found {str(listing)[:60]!r}, allowed: an object")
    for name, kind, allowed in (
        ("revision", int, "a whole number"),
        ("complete", bool, "true or false"),
        ("members", list, "a list"),
    ):
        if not isinstance(listing.get(name), kind):
            raise InvalidList(f"{name}: found {str(listing.get(name))[:60]!r}, allowed: {allowed}")
    nodes_read = [read_node(entry, f"members[{i}]") for i, entry in enumerate(listing["members"])]
    if listing["complete"]:  # changes may tell of one twice, in turn; a whole list has one word for each
        members: dict[str, tuple[Node, str]] = {}
        for i, member in enumerate(nodes_read):
            if members.setdefault(member[0].id, member) != member:
                raise InvalidList(f"members[{i}].id: found {member[0].id!r} twice with different words, allowed: once")
    return listing["complete"], listing["revision"], nodes_read


class Directory:
    """Where the chunk servers listen; the watch keeps it, the client reads it."""

    def __init__(self, suspended: SuspendedServers | None = None) -> None:
        self._suspended = suspended or SuspendedServers()
        self.addresses: dict[str, str] = {}
        self.shards: dict[int, list[str]] = {}  # what runs, by shard, for fronts that place data themselves
        self._nodes: dict[str, Node] = {}
        self.revision: int | None = None
        self._unknown_phases: set[str] = set()  # phases that are not known

    def is_usable(self, node: str) -> bool:
        """Whether something new may be sent there, as of now: an attempt may have waited since it was decided."""
        entry = self._nodes.get(node)
        usable = entry is None or self._suspended.effective_entry(entry).state is NodeState.READY
        return node in self.addresses and usable

    def is_listed(self, server: str) -> bool:
        """Whether the list names it."""
        return server in self._nodes

    def nodes(self) -> list[Node]:
        """The list as the decisions are to see it: what is suspended by hand drains."""
        return [self._suspended.effective_entry(node) for node in self._nodes.values()]

    def apply(self, listing: Any) -> tuple[ListKind, list[Node]]:
        """Takes in one of discovery's lists, whole or not at all."""
        complete, revision, nodes_read = read_list(listing)
        for entry in listing["members"]:
            phase = str(entry.get("phase", "up"))[:32]
            if (
                phase not in STATES_BY_PHASE
                and phase not in self._unknown_phases
                and len(self._unknown_phases) < MAX_LOGGED_PHASES
            ):
                self._unknown_phases.add(phase)  # one line for each word, and not for any number of words
                log.warning("a phase that is not known is taken as draining", extra={"phase": phase})
        if complete:
            self._nodes = {}
        for node, address in nodes_read:
            self._nodes[node.id] = node
            if address:
                self.addresses[node.id] = address
            if node.state is NodeState.GONE:  # new ones come under new ids all day: nothing of the old may stay.
                del self._nodes[node.id]  # An attempt just on its way there finds no address, and never ran.
        self.addresses = {i: a for i, a in self.addresses.items() if i in self._nodes}
        self._group_by_shard()
        if not complete and self.revision is not None and revision < self.revision:
            log.warning(
                "discovery counts anew: the whole list is asked for",
                extra={"place": "revision", "found": revision, "allowed": f"at least {self.revision}"},
            )
            revision = None  # changes since another service's beginning; others may have been before them
        self.revision = revision
        return (ListKind.FULL if complete else ListKind.DELTA), [
            self._suspended.effective_entry(node) for node, _ in nodes_read
        ]

    def refresh(self) -> list[Node]:
        """The whole list after a change of what is suspended."""
        self._group_by_shard()
        return self.nodes()

    def _group_by_shard(self) -> None:
        self.shards = {}
        for node in self.nodes():
            if node.state is NodeState.READY:
                self.shards.setdefault(node.shard, []).append(node.id)


def open_session() -> aiohttp.ClientSession:
    """For the calls to discovery alone: its lists keep other bounds than chunk servers' answers."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=2, use_dns_cache=False),
        trust_env=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class Watch:
    """Calls discovery when the broker asks, and goes on calling for as long as the calls succeed."""

    def __init__(
        self,
        broker: Broker,
        directory: Directory,
        session: aiohttp.ClientSession,
        address: str,
        first_long_poll_wait: timedelta = FIRST_LONG_POLL_WAIT,
    ) -> None:
        self._first_long_poll_wait = first_long_poll_wait
        self._broker, self._directory, self._session = broker, directory, session
        self._address = self._next_address = address
        self._requested = asyncio.Event()
        self._calls_timeout: asyncio.Timeout | None = None  # round the calls that are under way
        self._address_changed = False
        self._list_received = asyncio.Event()
        self._failures = LogSampler()
        broker.on_watch_requested(self._on_watch_requested)

    def load_known_list(self, listing: Any) -> None:
        """The list as this front had it last; it may be old."""
        try:
            _, nodes = self._directory.apply(listing)
        except InvalidList as error:
            log.warning("the known list cannot be read", extra={"why": str(error)})
            nodes = []
        self._broker.update_servers(ListKind.CACHED, nodes)

    def is_listed(self, server: str) -> bool:
        """Whether the list names this chunk server."""
        return self._directory.is_listed(server)

    def target_counts(self) -> TargetCounts:
        """Chunk servers in the list, and those of them that get nothing new or are backed off from."""
        nodes, failing = self._directory.nodes(), self._broker.backing_off()
        avoided = [node for node in nodes if node.state is not NodeState.READY or node.id in failing]
        return TargetCounts(len(nodes), len(avoided))

    def resend_list(self) -> None:
        """Tells the broker the known list anew. It is no news of discovery's, so the plan of calls stays."""
        self._broker.update_servers(ListKind.CACHED, self._directory.refresh())

    def change_address(self, address: str) -> None:
        """Goes on at another address when the broker wants: soon, since the old one is about to close, but not in
        the moment in which all other fronts are told the same. The watch at the old one goes on until then."""
        if address != self._next_address:
            self._next_address = address
            self._broker.update_servers(ListKind.MOVED)

    def _on_watch_requested(self) -> None:
        self._requested.set()
        if (
            self._address != self._next_address
            and self._calls_timeout is not None
            and not self._calls_timeout.expired()
        ):
            self._address_changed = True
            self._calls_timeout.reschedule(asyncio.get_running_loop().time())

    async def wait_for_first_list(self, span: timedelta) -> None:
        """Waits for the first list, for so long."""
        with suppress(TimeoutError):
            async with asyncio.timeout(span.total_seconds()):
                await self._list_received.wait()

    async def run(self) -> None:
        while True:
            await self._requested.wait()
            if (
                self._address != self._next_address
            ):  # nodes and their connections stay, but what the revisions of the new
                self._address, self._directory.revision = self._next_address, None  # service count is not known
            try:
                async with asyncio.timeout(None) as self._calls_timeout:
                    await self._watch()
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                if self._address_changed:  # no failure: the broker still waits for an answer
                    continue
                if number := self._failures.count("in a row"):
                    log.info("watch ended", extra={"why": f"{type(error).__name__}: {error}", "in_a_row": number})
            except Exception:  # the list must go on whatever one answer did to us
                log.exception("watch failed")
            finally:
                self._calls_timeout, self._address_changed = None, False
            self._requested.clear()
            self._broker.update_servers(ListKind.FAILED)

    async def _watch(self) -> None:
        """Calls one after the other, each at once after the last: a gap of 200 ms would end the watch."""
        first, loop = True, asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            kind, nodes = self._directory.apply(
                await self._call(self._first_long_poll_wait if first else LONG_POLL_WAIT)
            )
            self._failures.reset("in a row")
            self._list_received.set()
            if first or nodes or kind is ListKind.FULL:
                self._broker.update_servers(kind, nodes)
            first = False
            if not nodes:  # a discovery that does not hold its calls must not be asked in a tight loop
                await asyncio.sleep(max(0.0, (started_at + MIN_CALL_INTERVAL.total_seconds()) - loop.time()))

    async def _call(self, long_poll_wait: timedelta) -> Any:
        query, timeout_span = {}, LIST_CALL_TIMEOUT
        # 0 is a revision like any other: taken for "none known" it made every call ask for the whole list at
        # once, over and over, until discovery turned all fronts away
        if self._directory.revision is not None:
            after, wait_ms = self._directory.revision, long_poll_wait // timedelta(milliseconds=1)
            query, timeout_span = {"after": str(after), "wait_ms": str(wait_ms)}, WATCH_CALL_TIMEOUT
        timeout = aiohttp.ClientTimeout(
            total=timeout_span.total_seconds(), sock_connect=CONNECT_TIMEOUT.total_seconds(), ceil_threshold=math.inf
        )  # aiohttp moves a longer time-out to the next whole second of its clock
        url = f"http://{self._address}/discovery/hosts"
        call = self._session.get(url, params=query, timeout=timeout, allow_redirects=False)
        async with call as response:
            if response.status != 200:
                raise InvalidList(f"status {response.status}")
            body = b""
            async for data in response.content.iter_any():
                body += data
                if len(body) > MAX_LIST_BYTES:
                    raise InvalidList("the list is too long")
            return json.loads(body)
