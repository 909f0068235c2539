"""The list of chunk servers: a stored list at the start, then updates from discovery by long polling."""

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

# A change counts as delivered 6 s after discovery publishes it, or 2 s after the end of a call's wait. A stalled watch
# is detected after WATCH_CALL_TIMEOUT, which leaves 1.5 s, and the time of a drain, for a new one. The first call of a
# watch may wait in discovery's queue for up to 2 s, so its long poll is shorter; later calls are not queued.
WATCH_CALL_TIMEOUT = timedelta(seconds=4.5)  # from the start of a call to the end of its response
# how long discovery may hold a call open until there is a change
LONG_POLL_WAIT, FIRST_LONG_POLL_WAIT = timedelta(seconds=4), timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=2)
LIST_CALL_TIMEOUT = timedelta(seconds=2.5)  # for a complete list, which is no long poll
# between calls without changes; discovery ends a watch after a gap of 200 ms
MIN_CALL_INTERVAL = timedelta(milliseconds=100)
MAX_LIST_BYTES = 4 << 20
MAX_LOGGED_PHASES = 8  # limit of unknown phases that are logged, once each
NO_SHARD = -1  # the `cell` of a server without a shard
STATES_BY_PHASE = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


class BadList(ValueError):
    """Discovery's response is invalid."""


def parse_member(entry: Any, path: str) -> tuple[Node, str]:
    """Parses one member of a list into the node and its address; `path` is its location in the list, for errors."""

    def invalid(name: str, allowed: str) -> BadList:
        return BadList(f"{path}.{name}: found {str(entry.get(name))[:60]!r}, allowed: {allowed}")

    def read_number(name: str, default: float, minimum: float) -> float:
        try:
            value = float(default if entry.get(name) is None else entry[name])
        except (TypeError, ValueError, OverflowError):
            raise invalid(name, "a number") from None
        if not math.isfinite(value) or value < minimum:
            raise invalid(name, f"a finite number from {minimum:g} up")
        return value

    if not isinstance(entry, dict):
        raise BadList(f"{path}: found {str(entry)[:60]!r}, allowed: an object")
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
        # a server in an unknown phase gets no new requests
        state=STATES_BY_PHASE.get(str(entry.get("phase", "up")), NodeState.DRAINING),
        started_at=started_at,
        zone=str(entry.get("locality", "")),
        weight=read_number("size", 1.0, 0.0),
    )
    return node, str(entry.get("host_port", ""))


def parse_list(listing: Any) -> tuple[bool, int, list[tuple[Node, str]]]:
    """Returns whether the list is complete, its revision, and its members. Raises BadList at the first error."""
    if not isinstance(listing, dict):
        raise BadList(f"the list: found {str(listing)[:60]!r}, allowed: an object")
    for name, kind, allowed in (
        ("revision", int, "a whole number"),
        ("complete", bool, "true or false"),
        ("members", list, "a list"),
    ):
        if not isinstance(listing.get(name), kind):
            raise BadList(f"{name}: found {str(listing.get(name))[:60]!r}, allowed: {allowed}")
    members = [parse_member(entry, f"members[{i}]") for i, entry in enumerate(listing["members"])]
    if listing["complete"]:  # a delta may hold successive changes of one member; a complete list must not
        members_by_id: dict[str, tuple[Node, str]] = {}
        for i, member in enumerate(members):
            if members_by_id.setdefault(member[0].id, member) != member:
                raise BadList(
                    f"members[{i}].id: found {member[0].id!r} twice with different contents, allowed: one entry per id"
                )
    return listing["complete"], listing["revision"], members


class Directory:
    """The current list of chunk servers with their addresses: updated by the watch, read by the chunk client."""

    def __init__(self, suspended: SuspendedServers | None = None) -> None:
        self._suspended = suspended or SuspendedServers()
        self.addresses: dict[str, str] = {}
        self.shards: dict[
            int, list[str]
        ] = {}  # ids of ready servers, by shard, for the object API, which places data itself
        self._nodes: dict[str, Node] = {}
        self.revision: int | None = None
        self._unknown_phases: set[str] = set()  # those already logged

    def is_usable(self, node: str) -> bool:
        """Whether a new attempt may be sent to this server now; that may have changed since the scheduler chose it."""
        entry = self._nodes.get(node)
        usable = entry is None or self._suspended.effective_entry(entry).state is NodeState.READY
        return node in self.addresses and usable

    def is_listed(self, server: str) -> bool:
        """Whether the list contains this chunk server."""
        return server in self._nodes

    def nodes(self) -> list[Node]:
        """The list for the scheduler: servers that an operator has suspended are draining."""
        return [self._suspended.effective_entry(node) for node in self._nodes.values()]

    def apply(self, listing: Any) -> tuple[ListKind, list[Node]]:
        """Applies a list from discovery, completely or not at all. Raises InvalidList."""
        complete, revision, members = parse_list(listing)
        for entry in listing["members"]:
            phase = str(entry.get("phase", "up"))[:32]
            if (
                phase not in STATES_BY_PHASE
                and phase not in self._unknown_phases
                and len(self._unknown_phases) < MAX_LOGGED_PHASES
            ):
                self._unknown_phases.add(phase)  # one line per phase, of a limited number of phases
                log.warning("a phase that is not known is taken as draining", extra={"phase": phase})
        if complete:
            self._nodes = {}
        for node, address in members:
            self._nodes[node.id] = node
            if address:
                self.addresses[node.id] = address
            # New servers get new ids all day, so removed ones must not accumulate. An attempt about to be sent to a
            # removed one finds no address, and is not executed.
            if node.state is NodeState.GONE:
                del self._nodes[node.id]
        self.addresses = {i: a for i, a in self.addresses.items() if i in self._nodes}
        self._group_by_shard()
        if not complete and self.revision is not None and revision < self.revision:
            log.warning(
                "revision of discovery went back; requesting the complete list",
                extra={"place": "revision", "found": revision, "allowed": f"at least {self.revision}"},
            )
            revision = None  # the delta counts from the restart of discovery; earlier changes may be missing
        self.revision = revision
        return (ListKind.FULL if complete else ListKind.DELTA), [
            self._suspended.effective_entry(node) for node, _ in members
        ]

    def refresh(self) -> list[Node]:
        """Regroups the servers by shard after a change of the suspended ones, and returns the complete list."""
        self._group_by_shard()
        return self.nodes()

    def _group_by_shard(self) -> None:
        self.shards = {}
        for node in self.nodes():
            if node.state is NodeState.READY:
                self.shards.setdefault(node.shard, []).append(node.id)


def open_session() -> aiohttp.ClientSession:
    """Returns a session only for discovery, whose responses have other limits than those of chunk servers."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=2, use_dns_cache=False),
        trust_env=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class Watch:
    """Watches discovery: starts when the broker requests it, and continues while the calls succeed."""

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
        self._calls_timeout: asyncio.Timeout | None = None  # of the current watch, to interrupt it
        self._address_changed = False
        self._list_received = asyncio.Event()
        self._failures = LogSampler()
        broker.on_watch_requested(self._on_watch_requested)

    def load_known_list(self, listing: Any) -> None:
        """Loads the list that this front stored last; it may be outdated."""
        try:
            _, nodes = self._directory.apply(listing)
        except BadList as error:
            log.warning("ignoring the stored list of chunk servers, which is invalid", extra={"why": str(error)})
            nodes = []
        self._broker.update_servers(ListKind.CACHED, nodes)

    def is_listed(self, server: str) -> bool:
        """Whether the list contains this chunk server."""
        return self._directory.is_listed(server)

    def target_counts(self) -> TargetCounts:
        """Counts the chunk servers in the list, and those that are not ready or in backoff."""
        nodes, failing = self._directory.nodes(), self._broker.backing_off()
        avoided = [node for node in nodes if node.state is not NodeState.READY or node.id in failing]
        return TargetCounts(len(nodes), len(avoided))

    def resend_list(self) -> None:
        """Passes the current list to the broker again, as cached so that it does not affect the calls to discovery."""
        self._broker.update_servers(ListKind.CACHED, self._directory.refresh())

    def change_address(self, address: str) -> None:
        """Sets another address of discovery, used from the broker's next request on. That is soon, as the old address
        will close, but spread over the fronts, which all get the change at once. The old watch goes on until then."""
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
        """Waits for the first server list from discovery, for at most `span`."""
        with suppress(TimeoutError):
            async with asyncio.timeout(span.total_seconds()):
                await self._list_received.wait()

    async def run(self) -> None:
        while True:
            await self._requested.wait()
            if self._address != self._next_address:  # keeps nodes and connections; revisions differ between services
                self._address, self._directory.revision = self._next_address, None
            try:
                async with asyncio.timeout(None) as self._calls_timeout:
                    await self._watch()
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                if self._address_changed:  # not a failure: the broker still waits for a list
                    continue
                if number := self._failures.count("in a row"):
                    log.info("watch ended", extra={"why": f"{type(error).__name__}: {error}", "in_a_row": number})
            except Exception:  # an unexpected error must not end the updates
                log.exception("watch of discovery failed unexpectedly")
            finally:
                self._calls_timeout, self._address_changed = None, False
            self._requested.clear()
            self._broker.update_servers(ListKind.FAILED)

    async def _watch(self) -> None:
        """Makes successive calls without a pause: discovery ends a watch after a gap of 200 ms."""
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
            if not nodes:  # discovery may respond at once instead of holding the call: avoids a tight loop
                await asyncio.sleep(max(0.0, (started_at + MIN_CALL_INTERVAL.total_seconds()) - loop.time()))

    async def _call(self, long_poll_wait: timedelta) -> Any:
        query, timeout_span = {}, LIST_CALL_TIMEOUT
        # 0 is a valid revision: treated as unknown, it made the front request the complete list in a loop until
        # discovery rejected all fronts
        if self._directory.revision is not None:
            after, wait_ms = self._directory.revision, long_poll_wait // timedelta(milliseconds=1)
            query, timeout_span = {"after": str(after), "wait_ms": str(wait_ms)}, WATCH_CALL_TIMEOUT
        # without ceil_threshold aiohttp would round longer time-outs up to a full second of its clock
        timeout = aiohttp.ClientTimeout(
            total=timeout_span.total_seconds(), sock_connect=CONNECT_TIMEOUT.total_seconds(), ceil_threshold=math.inf
        )
        url = f"http://{self._address}/discovery/hosts"
        call = self._session.get(url, params=query, timeout=timeout, allow_redirects=False)
        async with call as response:
            if response.status != 200:
                raise BadList(f"status {response.status}")
            body = b""
            async for data in response.content.iter_any():
                body += data
                if len(body) > MAX_LIST_BYTES:
                    raise BadList("the list exceeds MAX_LIST_BYTES")
            return json.loads(body)
