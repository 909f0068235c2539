"""The controller's end of the change feed: sends each applied change, encoded once, to every router that subscribed."""

from __future__ import annotations

import bisect
import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

import gevent

from ochrespan.common.addresses import Address
from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.config.state_machine import CommandResult, ConfigurationStateMachine
from ochrespan.control_plane.registry.change_batch import ChangeBatch
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.registry.slow_start import SlowStartTimes
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication.groups import MAX_QUORUM_AGE_S, ReplicaGroups, applied_offsets
from ochrespan.control_plane.replication.lag_detector import LagDetector
from ochrespan.control_plane.shards import ALL_SHARDS, CONFIG_SHARD
from ochrespan.transport.codec import encode
from ochrespan.transport.rpc import RpcServer
from ochrespan.transport.tcp import Connection, ConnectionClosedError

from .live_routers import LiveRouters
from .messages import (
    FRESHNESS_INTERVAL_S,
    FeedDelta,
    FeedSnapshot,
    Freshness,
    Subscribe,
    are_different_clusters,
    max_duration_s,
    pack_configuration_change,
    pack_instances_change,
)

log = logging.getLogger(__name__)


HISTORY_BYTES = 4 * 1024 * 1024
HISTORY_CHANGES = 4096
SNAPSHOT_CACHE_TTL_S = 1.0
BATCH_INTERVAL_S = 0.02  # changes of a shard's instances that come closer together travel as one
WAITING_INTERVAL_S = 0.04  # between messages while readers wait for a majority


@dataclass(slots=True)
class ShardHistory:
    """The recent changes of a shard, encoded; `start` is the offset from which they lead on without a gap."""

    start: int = 0
    last: int = 0  # the offset of the latest change
    restored: bool = False  # the state has jumped, and its new offset is not known yet
    changes: deque[tuple[int, bytes]] = field(default_factory=deque)
    size: int = 0
    batch: ChangeBatch = field(default_factory=ChangeBatch)  # what is not among the changes yet
    batch_started_at: float = float("-inf")  # when it was last sent

    def add(self, offset: int, encoded: bytes) -> None:
        """Appends a change and drops the oldest ones beyond the bounds."""
        self.changes.append((offset, encoded))
        self.size += len(encoded)
        self.last = offset
        while self.size > HISTORY_BYTES or len(self.changes) > HISTORY_CHANGES:
            self.start, dropped = self.changes.popleft()
            self.size -= len(dropped)

    def restart(self, offset: int) -> None:
        """Forgets all changes: the state jumped to `offset`."""
        self.changes.clear()
        self.batch.take()
        self.size = 0
        self.start = self.last = offset
        self.restored = False

    def since(self, offset: int) -> list[bytes] | None:
        """The changes after `offset`, or None where they do not reach back so far."""
        if offset < self.start:
            return None
        first = bisect.bisect_right(self.changes, offset, key=lambda change: change[0])
        return [encoded for _, encoded in list(self.changes)[first:]]


@dataclass(eq=False, slots=True)
class Subscriber:
    """A router that reads the feed."""

    node: str
    connection: Connection


class FeedServer:
    """To be told of every applied command and every restored snapshot, in the order of each shard's log."""

    def __init__(
        self,
        groups: ReplicaGroups,
        configuration: ConfigurationStateMachine,
        instances: Mapping[int, InstanceStateMachine],
        live_routers: LiveRouters,
        lag: LagDetector,
        controllers: Callable[[], Iterable[tuple[Address, str]]],
    ) -> None:
        self._groups = groups
        self._configuration = configuration
        self._instances = instances
        self._live_routers = live_routers
        self._lag_detector = lag
        self._cold = SlowStartTimes()
        self._packed: dict[int, tuple[int, float, bytes]] = {}  # by shard, an encoded snapshot, its offset and time
        self._controllers = controllers
        self._histories = {shard: ShardHistory() for shard in ALL_SHARDS}
        self._subscribers: dict[Connection, Subscriber] = {}

    def register(self, call_server: RpcServer) -> None:
        """Takes subscriptions on the port for other processes of the fleet."""
        call_server.on_push(Subscribe, self.subscribe)

    def applied(self, shard: int, index: int, result: Any) -> None:
        """Sends what an applied command changed, soon: a snapshot that is about to be sent holds the change."""
        history = self._histories[shard]
        if isinstance(result, InstancesChange):
            self._cold.note(result, monotonic())
            if result and not history.restored:
                self._add_to_batch(shard, index, result)
        elif isinstance(result, CommandResult) and result.change is not None and not history.restored:
            self._send_change(shard, index, pack_configuration_change(result.change))

    def _add_to_batch(self, shard: int, index: int, change: InstancesChange) -> None:
        """A change that comes alone is sent at once; others right behind it wait for each other."""
        history = self._histories[shard]
        is_first = not history.batch
        history.batch.add(index, change)
        if is_first:
            pause = history.batch_started_at + BATCH_INTERVAL_S - monotonic()
            if pause > 0:
                gevent.spawn_later(pause, self._send_batch, shard)
            else:
                self._send_batch(shard)

    def _send_batch(self, shard: int) -> None:
        history = self._histories[shard]
        if history.batch:
            history.batch_started_at = monotonic()
            self._send_change(shard, history.batch.offset, pack_instances_change(history.batch.take()))

    def _send_change(self, shard: int, offset: int, body: bytes) -> None:
        history = self._histories[shard]
        encoded = encode(FeedDelta(shard, history.last, offset, body))
        history.add(offset, encoded)
        for subscriber in list(self._subscribers.values()):
            self._send(subscriber, encoded)

    def restored(self, shard: int) -> None:
        """Sends the whole state of a shard that has jumped ahead by a snapshot, once its offset is known."""
        self._histories[shard].restored = True
        gevent.spawn(self._settle, shard)

    def _settle(self, shard: int) -> None:
        history = self._histories[shard]
        if not history.restored:
            return
        offset = self._groups.applied_index(shard)
        history.restart(offset)
        if self._subscribers:
            encoded = self._snapshot(shard)
            for subscriber in list(self._subscribers.values()):
                self._send(subscriber, encoded)

    def subscribe(self, connection: Connection, request: Subscribe) -> None:
        """Brings a router up to date, and sends it all changes from now on; one of another fleet gets nothing."""
        if are_different_clusters(request.cluster, self._groups.cluster()):
            log.warning("feed refused node=%s cluster=%d own=%d", request.node, request.cluster, self._groups.cluster())
            connection.close()
            return
        subscriber = Subscriber(request.node, connection)
        for shard, history in self._histories.items():
            self._settle(shard)
            self._send_batch(shard)
            for encoded in self._missed(shard, history, request.offsets.get(shard, 0)):
                self._send(subscriber, encoded)
        if connection.closed:
            return
        self._subscribers[connection] = subscriber
        self._take_census()
        log.info("feed subscribed node=%s routers=%d", request.node, len(self._subscribers))
        self._send(subscriber, encode(self._freshness_for(subscriber, self._freshness())))

    def run(self) -> None:
        """Tells the subscribers how fresh the feed is until the greenlet is killed."""
        while True:
            is_fresh = max_duration_s(self.send_freshness().quorum_ages) <= MAX_QUORUM_AGE_S
            gevent.sleep(FRESHNESS_INTERVAL_S if is_fresh else WAITING_INTERVAL_S)

    def send_freshness(self) -> Freshness:
        """One round of freshness messages; connections that have ended are dropped."""
        for connection in [each for each in self._subscribers if each.closed]:
            self._drop(connection)
        for shard in self._histories:  # offsets are told below: all that they cover has to be sent before
            self._send_batch(shard)
        self._take_census()
        freshness = self._freshness()
        for subscriber in list(self._subscribers.values()):
            self._send(subscriber, encode(self._freshness_for(subscriber, freshness)))
        return freshness

    def _missed(self, shard: int, history: ShardHistory, offset: int) -> list[bytes]:
        missed = history.since(offset) if offset else None
        if missed is not None:
            return missed
        return [self._snapshot(shard)]

    def _snapshot(self, shard: int) -> bytes:
        """The encoded state of a shard; many readers that come at once get the same bytes."""
        offset, now = self._groups.applied_index(shard), monotonic()
        packed_offset, packed_at, encoded = self._packed.get(shard, (-1, 0.0, b""))
        if packed_offset != offset or now - packed_at > SNAPSHOT_CACHE_TTL_S:
            encoded = encode(FeedSnapshot(shard, offset, self._packed_state(shard, now)))
            self._packed[shard] = (offset, now, encoded)
        return encoded

    def _packed_state(self, shard: int, now: float) -> bytes:
        if shard == CONFIG_SHARD:
            return pack_configuration_change(change_to(Configuration(), self._configuration.current.document()))
        records = self._instances[shard].records.values()
        return pack_instances_change(InstancesChange(tuple(self._cold.aged(record, now) for record in records)))

    def _freshness(self) -> Freshness:
        offsets = applied_offsets(self._groups)
        return Freshness(
            lags=self._lag_detector.lags(offsets, monotonic()),
            quorum_ages={shard: self._groups.seconds_since_quorum(shard) for shard in ALL_SHARDS},
            offsets=offsets,
            controllers=[[ip, port, zone] for (ip, port), zone in self._controllers()],
            router_count=0,
            router_rank=0,
            cluster=self._groups.cluster(),
            leaders={shard: list(leader) for shard in ALL_SHARDS if (leader := self._groups.leader(shard))},
        )

    def _freshness_for(self, subscriber: Subscriber, freshness: Freshness) -> Freshness:
        position = self._live_routers.position_of(subscriber.node, monotonic())
        freshness.router_count = position.count
        freshness.router_rank = position.rank
        return freshness

    def _take_census(self) -> None:
        self._live_routers.update_subscribers(
            {subscriber.node for subscriber in self._subscribers.values()}, monotonic()
        )

    def _send(self, subscriber: Subscriber, encoded: bytes) -> None:
        try:
            subscriber.connection.send_encoded(encoded)
        except ConnectionClosedError as error:
            log.info("feed reader lost node=%s error=%r", subscriber.node, str(error))
            self._drop(subscriber.connection)

    def _drop(self, connection: Connection) -> None:
        self._subscribers.pop(connection, None)
