"""The controller's side of the change feed: sends each applied change, encoded once, to every subscribed router."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import monotonic
from typing import Any

import gevent

from ochrespan.common.addresses import Address
from ochrespan.control_plane.config.state_machine import CommandResult
from ochrespan.control_plane.registry.changes import InstancesChange
from ochrespan.control_plane.replication.groups import MAX_QUORUM_AGE_S, ReplicaGroups, applied_offsets
from ochrespan.control_plane.replication.lag_detector import LagDetector
from ochrespan.control_plane.shards import ALL_SHARDS
from ochrespan.transport.codec import encode
from ochrespan.transport.rpc import RpcServer
from ochrespan.transport.tcp import Connection, ConnectionClosedError

from .live_routers import LiveRouters
from .messages import (
    FRESHNESS_INTERVAL_S,
    FeedDelta,
    Freshness,
    Subscribe,
    are_different_clusters,
    max_duration_s,
    pack_configuration_change,
    pack_instances_change,
)
from .shard_history import ShardHistory
from .shard_snapshots import ShardSnapshots

log = logging.getLogger(__name__)


BATCH_INTERVAL_S = 0.02  # changes of a shard's instances within this time are sent as one
NO_QUORUM_INTERVAL_S = 0.04  # between freshness messages without a quorum, so that routers learn of a new one soon


@dataclass(eq=False, slots=True)
class Subscriber:
    """A router that subscribes to the feed."""

    node: str
    connection: Connection


class FeedServer:
    """Serves the feed; `applied` and `restored` have to be called in the order of each shard's log.

    Args:
        groups: The Raft groups of this process.
        snapshots: The encoded states of the shards.
        live_routers: Receives the subscribers; determines the position of each.
        lag_detector: How far this controller is behind others.
        controllers: Returns the present controllers with their zones.
    """

    def __init__(
        self,
        groups: ReplicaGroups,
        snapshots: ShardSnapshots,
        live_routers: LiveRouters,
        lag_detector: LagDetector,
        controllers: Callable[[], Iterable[tuple[Address, str]]],
    ) -> None:
        self._groups = groups
        self._snapshots = snapshots
        self._live_routers = live_routers
        self._lag_detector = lag_detector
        self._controllers = controllers
        self._histories = {shard: ShardHistory() for shard in ALL_SHARDS}
        self._subscribers: dict[Connection, Subscriber] = {}

    def register(self, rpc_server: RpcServer) -> None:
        """Serves subscriptions."""
        rpc_server.on_push(Subscribe, self.subscribe)

    def run(self) -> None:
        """Sends freshness messages until the greenlet is killed."""
        while True:
            has_quorum = max_duration_s(self.send_freshness().quorum_ages) <= MAX_QUORUM_AGE_S
            gevent.sleep(FRESHNESS_INTERVAL_S if has_quorum else NO_QUORUM_INTERVAL_S)

    def applied(self, shard: int, index: int, result: Any) -> None:
        """Sends the change that an applied command made, at once or with the next batch.

        Nothing is sent while the shard is restoring: the snapshot that is sent afterwards contains the change.

        Args:
            shard: The shard that the command belongs to.
            index: Its index in the shard's log.
            result: What the shard's state machine returned for it.
        """
        history = self._histories[shard]
        if isinstance(result, InstancesChange):
            self._snapshots.record_change(result)
            if result and not history.is_restoring:
                self._add_to_batch(shard, index, result)
        elif isinstance(result, CommandResult) and result.change is not None and not history.is_restoring:
            self._send_change(shard, index, pack_configuration_change(result.change))

    def restored(self, shard: int) -> None:
        """Sends the full state of a shard that was replaced by a snapshot, once its offset is known."""
        self._histories[shard].is_restoring = True
        # In a new greenlet, as a starting replica host restores its machines before it knows an applied index.
        gevent.spawn(self._finish_restore, shard)

    def subscribe(self, connection: Connection, request: Subscribe) -> None:
        """Sends a router the changes that it missed, then all further ones; rejects a router of another cluster."""
        if are_different_clusters(request.cluster, self._groups.cluster()):
            log.warning(
                "feed subscription rejected, other cluster node=%s cluster=%d own_cluster=%d",
                request.node, request.cluster, self._groups.cluster(),
            )  # fmt: skip
            connection.close()
            return
        subscriber = Subscriber(request.node, connection)
        for shard in self._histories:
            self._finish_restore(shard)
            self._send_batch(shard)
            for encoded in self._missed_messages(shard, request.offsets.get(shard, 0)):
                self._send(subscriber, encoded)
        if connection.closed:
            return
        self._subscribers[connection] = subscriber
        self._update_live_routers()
        log.info("feed subscribed node=%s subscribers=%d", request.node, len(self._subscribers))
        self._send(subscriber, encode(self._freshness_for(subscriber, self._freshness())))

    def send_freshness(self) -> Freshness:
        """Sends one round of freshness messages; drops subscribers whose connections are closed."""
        for connection in [each for each in self._subscribers if each.closed]:
            self._drop(connection)
        # Routers take all changes up to the offsets in a freshness message as received, so what is pending goes first.
        for shard in self._histories:
            self._finish_restore(shard)
            self._send_batch(shard)
        self._update_live_routers()
        freshness = self._freshness()
        for subscriber in list(self._subscribers.values()):
            self._send(subscriber, encode(self._freshness_for(subscriber, freshness)))
        return freshness

    def _add_to_batch(self, shard: int, index: int, change: InstancesChange) -> None:
        """Sends a change at once if no batch was sent within BATCH_INTERVAL_S; otherwise with the next batch."""
        history = self._histories[shard]
        is_first = not history.batch
        history.batch.add(index, change)
        if not is_first:
            return
        delay_s = history.batch_sent_at + BATCH_INTERVAL_S - monotonic()
        if delay_s > 0:
            gevent.spawn_later(delay_s, self._send_batch, shard)
        else:
            self._send_batch(shard)

    def _send_batch(self, shard: int) -> None:
        history = self._histories[shard]
        if history.batch:
            history.batch_sent_at = monotonic()
            self._send_change(shard, history.batch.offset, pack_instances_change(history.batch.take()))

    def _send_change(self, shard: int, offset: int, body: bytes) -> None:
        history = self._histories[shard]
        encoded = encode(FeedDelta(shard, history.last, offset, body))
        history.add(offset, encoded)
        self._send_to_all(encoded)

    def _finish_restore(self, shard: int) -> None:
        history = self._histories[shard]
        if not history.is_restoring:
            return
        history.restart(self._groups.applied_index(shard))
        if self._subscribers:
            self._send_to_all(self._snapshots.encoded(shard))

    def _missed_messages(self, shard: int, offset: int) -> list[bytes]:
        """The encoded messages for a router that has the state at `offset`, 0 for none: changes or a snapshot."""
        missed = self._histories[shard].since(offset) if offset else None
        return [self._snapshots.encoded(shard)] if missed is None else missed

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

    def _update_live_routers(self) -> None:
        nodes = {subscriber.node for subscriber in self._subscribers.values()}
        self._live_routers.update_subscribers(nodes, monotonic())

    def _send_to_all(self, encoded: bytes) -> None:
        for subscriber in list(self._subscribers.values()):
            self._send(subscriber, encoded)

    def _send(self, subscriber: Subscriber, encoded: bytes) -> None:
        try:
            subscriber.connection.send_encoded(encoded)
        except ConnectionClosedError as error:
            log.info("feed subscriber lost node=%s error=%r", subscriber.node, str(error))
            self._drop(subscriber.connection)

    def _drop(self, connection: Connection) -> None:
        self._subscribers.pop(connection, None)
