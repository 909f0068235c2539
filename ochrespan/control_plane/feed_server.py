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

from ..coordination.shards import ALL_SHARDS, CONFIG_SHARD
from ..transport.codec import encode
from ..transport.rpc import CallServer
from ..transport.tcp import Address, Connection, ConnectionClosed
from .configuration import Configuration, change_to
from .feed_messages import (
    FRESHNESS_INTERVAL_S,
    FeedDelta,
    FeedSnapshot,
    Freshness,
    Subscribe,
    pack_configuration_change,
    pack_instances_change,
)
from .instances import InstanceMachine, InstancesChange
from .orders import ConfigurationMachine, Verdict
from .owners import ReplicaGroups
from .presence import RouterCensus

log = logging.getLogger(__name__)

HISTORY_BYTES = 4 * 1024 * 1024
HISTORY_CHANGES = 4096


@dataclass(slots=True)
class ShardHistory:
    """The recent changes of a shard, encoded; `start` is the offset from which they lead on without a gap."""

    start: int = 0
    last: int = 0  # the offset of the latest change
    restored: bool = False  # the state has jumped, and its new offset is not known yet
    changes: deque[tuple[int, bytes]] = field(default_factory=deque)
    size: int = 0

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
        configuration: ConfigurationMachine,
        instances: Mapping[int, InstanceMachine],
        census: RouterCensus,
        controllers: Callable[[], Iterable[tuple[Address, str]]],
    ) -> None:
        self._groups = groups
        self._configuration = configuration
        self._instances = instances
        self._census = census
        self._controllers = controllers
        self._histories = {shard: ShardHistory() for shard in ALL_SHARDS}
        self._subscribers: dict[Connection, Subscriber] = {}

    def register(self, call_server: CallServer) -> None:
        """Takes subscriptions on the port for other processes of the fleet."""
        call_server.on_push(Subscribe, self.subscribe)

    def applied(self, shard: int, index: int, result: Any) -> None:
        """Sends what an applied command changed."""
        history = self._histories[shard]
        body = _packed_change(result)
        if body is None or history.restored:
            return  # a snapshot that is about to be sent holds the change
        encoded = encode(FeedDelta(shard, history.last, index, body))
        history.add(index, encoded)
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
            encoded = encode(self._snapshot(shard, offset))
            for subscriber in list(self._subscribers.values()):
                self._send(subscriber, encoded)

    def subscribe(self, connection: Connection, request: Subscribe) -> None:
        """Brings a router up to date, and sends it all changes from now on."""
        subscriber = Subscriber(request.node, connection)
        for shard, history in self._histories.items():
            self._settle(shard)
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
            gevent.sleep(FRESHNESS_INTERVAL_S)
            self.send_freshness()

    def send_freshness(self) -> None:
        """One round of freshness messages; connections that have ended are dropped."""
        for connection in [each for each in self._subscribers if each.closed]:
            self._drop(connection)
        self._take_census()
        freshness = self._freshness()
        for subscriber in list(self._subscribers.values()):
            self._send(subscriber, encode(self._freshness_for(subscriber, freshness)))

    def _missed(self, shard: int, history: ShardHistory, offset: int) -> list[bytes]:
        missed = history.since(offset) if offset else None
        if missed is not None:
            return missed
        return [encode(self._snapshot(shard, self._groups.applied_index(shard)))]

    def _snapshot(self, shard: int, offset: int) -> FeedSnapshot:
        if shard == CONFIG_SHARD:
            whole = change_to(Configuration(), self._configuration.current.document())
            return FeedSnapshot(shard, offset, pack_configuration_change(whole))
        records = tuple(self._instances[shard].records.values())
        return FeedSnapshot(shard, offset, pack_instances_change(InstancesChange(records)))

    def _freshness(self) -> Freshness:
        return Freshness(
            quorum_ages={shard: self._groups.quorum_age(shard) for shard in ALL_SHARDS},
            offsets={shard: self._groups.applied_index(shard) for shard in ALL_SHARDS},
            controllers=[[ip, port, zone] for (ip, port), zone in self._controllers()],
            router_count=0,
            router_rank=0,
            leaders={shard: list(leader) for shard in ALL_SHARDS if (leader := self._groups.leader(shard))},
        )

    def _freshness_for(self, subscriber: Subscriber, freshness: Freshness) -> Freshness:
        freshness.router_count, freshness.router_rank = self._census.place_of(subscriber.node)
        return freshness

    def _take_census(self) -> None:
        self._census.own({subscriber.node for subscriber in self._subscribers.values()}, monotonic())

    def _send(self, subscriber: Subscriber, encoded: bytes) -> None:
        try:
            subscriber.connection.send_encoded(encoded)
        except ConnectionClosed as error:
            log.info("feed reader lost node=%s error=%r", subscriber.node, str(error))
            self._drop(subscriber.connection)

    def _drop(self, connection: Connection) -> None:
        self._subscribers.pop(connection, None)


def _packed_change(result: Any) -> bytes | None:
    if isinstance(result, Verdict):
        return None if result.change is None else pack_configuration_change(result.change)
    if isinstance(result, InstancesChange):
        return pack_instances_change(result) if result else None
    return None
