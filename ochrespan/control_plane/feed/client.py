"""The router's end of the change feed: keeps a FleetTable current from one controller at a time.

The client leaves a controller that is silent, whose groups lost their majority or that belongs to another fleet, and
never takes a lower offset of a shard in one life. While no controller can be reached the last table stays.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Collection, Mapping
from time import monotonic

import gevent

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.shards import ALL_SHARDS, CONFIG_SHARD, shard_of
from ochrespan.transport.codec import MessageError
from ochrespan.transport.tcp import Connection, ConnectionClosedError, dial

from .controller_choice import ControllerChoice
from .messages import (
    FeedDelta,
    FeedSnapshot,
    Freshness,
    Subscribe,
    are_different_clusters,
    max_duration_s,
    unpack_configuration_change,
    unpack_instances_change,
)
from .router_count import RouterCountFilter
from .table import (
    NO_DIFFERENCE,
    FleetChange,
    FleetTable,
    with_configuration_change,
    with_instances_change,
    with_routers,
    with_whole_configuration,
    with_whole_shard,
)

log = logging.getLogger(__name__)


FEED_TIMEOUT_S = 1.2
MAX_QUORUM_AGE_S = 1.0
MAX_LAG_S = 0.4
# a controller whose offsets are lower for so long, and that lags behind nobody, has another log
LOG_RESET_CONFIRM_S = 4.0
INCOMPLETE_TABLE_WAIT_S = 3.0  # a first table of doubtful age is taken after this long without a better one
PUBLISH_PAUSE_FACTOR = 20.0  # multiple of the time that taking up a table took, before the next one is told
MAX_PUBLISH_PAUSE_S = 0.2
MIN_STAY_S = 5.0  # before a move to a controller that is merely nearer

OnChange = Callable[[FleetTable, FleetChange], None]


class LeaveControllerError(Exception):
    """Another controller serves better."""


class FeedClient:
    """`table` is None until a first complete state with a configuration has arrived."""

    def __init__(self, node: str, zone: str, seeds: list[Address], on_change: OnChange | None = None) -> None:
        self.table: FleetTable | None = None
        self.controller: Address | None = None  # the one that is followed, while it is known to be current
        self.leaders: dict[int, Address] = {}  # of each shard, as last told
        self.on_change = on_change
        self._node = node
        self._zone = zone
        self._choice = ControllerChoice(node, zone, seeds)
        self._draft = FleetTable()  # what is known, also before it is good enough to serve by
        self._untold = NO_DIFFERENCE  # between the table and the draft
        self._cluster = 0  # the fleet whose state it has; a restart of the router forgets it
        self._offsets: dict[int, int] = {}
        self._lower_since: dict[int, float] = {}  # by shard, since when controllers have had lower offsets
        self._count = RouterCountFilter()
        self._members = 0  # routers that membership holds for living
        self._complete_since: float | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._publish_from = 0.0  # no table is told before
        self._late_publish: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to follow a controller."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends; the table stays."""
        for greenlet in (self._greenlet, self._late_publish):
            if greenlet is not None:
                greenlet.kill()

    def seeds_changed(self, seeds: list[Address]) -> None:
        """The settings name other seeds."""
        self._choice.add_seeds(seeds)

    def members_changed(self, routers: Collection[str], controllers: Mapping[Address, str]) -> None:
        """Membership holds these processes for living; `controllers` gives the zone of each."""
        self._members = len(routers)
        self._choice.told(controllers, monotonic())
        self._take_count(self._members, self._draft.router_rank)

    def _run(self) -> None:
        while True:
            address = self._choice.best(monotonic())
            try:
                self._follow(address)
            except LeaveControllerError as reason:
                log.info("feed left controller=%s reason=%r", format_address(address), str(reason))
            except (OSError, ConnectionClosedError, MessageError) as error:
                log.info("feed lost controller=%s error=%r", format_address(address), str(error))
            self.controller = None
            self._publish_changes()
            self._publish_after_patience()
            gevent.sleep(self._choice.pause(monotonic(), random.random()))

    def _follow(self, address: Address) -> None:
        connection = None
        try:
            connection = dial(address, self._choice.connect_timeout(address))
            connection.set_idle_timeout(FEED_TIMEOUT_S)
            connection.send(Subscribe(self._node, self._zone, dict(self._offsets), self._cluster))
            self._read(address, connection, since=monotonic())
        except (OSError, ConnectionClosedError, MessageError, LeaveControllerError):
            self._choice.failed(address, monotonic(), random.random())
            raise
        finally:
            if connection is not None:
                connection.close()

    def _read(self, address: Address, connection: Connection, since: float) -> None:
        while True:
            received = connection.receive()
            if isinstance(received, FeedDelta):
                self._take_delta(received)
            elif isinstance(received, FeedSnapshot):
                self._take_snapshot(received)
            elif isinstance(received, Freshness):
                self._take_freshness(received, address)
                if monotonic() - since > MIN_STAY_S and self._choice.is_nearer_than(address, monotonic()):
                    return
            if not connection.has_message:
                self._publish_changes()

    def _take_delta(self, delta: FeedDelta) -> None:
        offset = self._offsets.get(delta.shard)
        if offset is None or delta.previous > offset:
            raise LeaveControllerError(f"gap in shard {delta.shard}: {delta.previous} after {offset}")
        if delta.offset <= offset:
            return
        if delta.shard == CONFIG_SHARD:
            change = with_configuration_change(self._draft, unpack_configuration_change(delta.body))
        else:
            change = with_instances_change(self._draft, unpack_instances_change(delta.body), monotonic())
        self._offsets[delta.shard] = delta.offset
        self._draft_changed(*change)

    def _take_snapshot(self, snapshot: FeedSnapshot) -> None:
        shard = snapshot.shard
        if snapshot.offset < self._offsets.get(shard, 0):
            return
        if shard == CONFIG_SHARD:
            change = with_whole_configuration(self._draft, unpack_configuration_change(snapshot.body))
        else:
            services = [service for service in self._draft.instances if shard_of(service) == shard]
            whole = unpack_instances_change(snapshot.body)
            change = with_whole_shard(self._draft, whole, services, monotonic())
        self._offsets[shard] = snapshot.offset
        self._draft_changed(*change)

    def _take_freshness(self, freshness: Freshness, address: Address) -> None:
        if are_different_clusters(self._cluster, freshness.cluster):
            raise LeaveControllerError(f"it belongs to another fleet, {freshness.cluster} in place of {self._cluster}")
        self._take_offsets(freshness, address)
        self.leaders = {shard: (leader[0], leader[1]) for shard, leader in freshness.leaders.items()}
        self._choice.told({(ip, port): zone for ip, port, zone in freshness.controllers}, monotonic())
        if (age := max_duration_s(freshness.quorum_ages)) > MAX_QUORUM_AGE_S:
            self.controller = None
            if self._choice.another_has_rested(address, monotonic()):
                raise LeaveControllerError(f"no majority for {age:.1f} s")
            self._publish_after_patience()
            return
        if (lag := max_duration_s(freshness.lags)) > MAX_LAG_S:
            raise LeaveControllerError(f"behind other controllers for {lag:.1f} s")
        self.controller = address
        self._cluster = self._cluster or freshness.cluster
        self._choice.succeeded(address)
        if freshness.router_count:
            self._take_count(max(self._members, freshness.router_count), freshness.router_rank)
        if self.table is None and self._is_complete():
            self._publish(_everything(self._draft))

    def _take_count(self, routers: int, rank: int) -> None:
        count = self._count.told(routers, monotonic())
        self._draft_changed(*with_routers(self._draft, count, rank))

    def _take_offsets(self, freshness: Freshness, address: Address) -> None:
        """Nothing was missed up to the offsets told. Where the log began anew, the shard is read from its beginning."""
        now, is_current = monotonic(), max_duration_s(freshness.quorum_ages) <= MAX_QUORUM_AGE_S
        for shard, offset in freshness.offsets.items():
            known = self._offsets.get(shard)
            if known is None or offset >= known:
                self._lower_since.pop(shard, None)
                if known is not None:
                    self._offsets[shard] = offset
            elif (
                is_current
                and not freshness.lags.get(shard)
                and now - self._lower_since.setdefault(shard, now) > LOG_RESET_CONFIRM_S
            ):
                del self._offsets[shard], self._lower_since[shard]
                raise LeaveControllerError(f"shard {shard} has another log at {format_address(address)}")

    def _draft_changed(self, draft: FleetTable, change: FleetChange) -> None:
        self._draft = draft
        self._untold |= change
        if self._complete_since is None and self._is_complete():
            self._complete_since = monotonic()

    def _is_complete(self) -> bool:
        return self._draft.version > 0 and all(shard in self._offsets for shard in ALL_SHARDS)

    def _publish_after_patience(self) -> None:
        since = self._complete_since
        if self.table is None and since is not None and monotonic() - since > INCOMPLETE_TABLE_WAIT_S:
            self._publish(_everything(self._draft))

    def _publish_changes(self) -> None:
        """Tells all changes of the messages that arrived together at once, or later those of a busy time together."""
        if self.table is None or self.table is self._draft:
            return
        pause = self._publish_from - monotonic()
        if pause <= 0:
            self._publish(self._untold)
        elif not self._late_publish:
            self._late_publish = gevent.spawn_later(pause, self._publish_late)

    def _publish_late(self) -> None:
        self._late_publish = None
        self._publish_changes()

    def _publish(self, change: FleetChange) -> None:
        self.table, self._untold = self._draft, NO_DIFFERENCE
        if self.on_change is None:
            return
        began = monotonic()
        try:
            self.on_change(self._draft, change)
        except Exception:
            log.exception("feed change not taken version=%d", self._draft.version)
            self._untold = change  # to be told again with the next one
        now = monotonic()
        self._publish_from = now + min(MAX_PUBLISH_PAUSE_S, PUBLISH_PAUSE_FACTOR * (now - began))


def _everything(table: FleetTable) -> FleetChange:
    view = table.configuration
    return FleetChange(
        version=True,
        routes=frozenset(view.routes),
        services=frozenset(view.services),
        tenants=frozenset(view.tenants),
        limits=True,
        instances=frozenset(table.instances),
        routers=True,
    )
