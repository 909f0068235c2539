"""The router's side of the change feed: follows one controller at a time and keeps a FleetTable current.

The client leaves a controller that sends nothing, whose groups lost their quorum, that lags behind others or that
belongs to another cluster. It accepts a lower offset of a shard only if the shard has a new log. While no controller
can be reached, the router keeps using the last table.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Collection, Mapping
from time import monotonic

import gevent

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.replication.groups import MAX_QUORUM_AGE_S
from ochrespan.control_plane.shards import CONFIG_SHARD
from ochrespan.transport.codec import MessageError
from ochrespan.transport.tcp import ConnectionClosedError

from .controller_choice import ControllerChoice
from .draft_table import DraftTable
from .errors import ControllerLagsError, LeaveControllerError, OtherClusterError, QuorumLostError
from .messages import FeedDelta, FeedSnapshot, Freshness, Subscribe, are_different_clusters, max_duration_s
from .progress import FeedProgress, ProgressRecorder
from .router_count import RouterCountFilter
from .subscription import Subscription
from .table import FleetChange, FleetTable
from .table_publisher import OnChange, TablePublisher

log = logging.getLogger(__name__)


MAX_LAG_S = 0.4  # a controller that has lagged behind others for longer is left
MIN_STAY_S = 5.0  # with a controller before each attempt to move to one in the router's own zone
MISSING_FEED_WARNING_S = 2.0  # without a current feed before a warning is logged
MISSING_FEED_WARNING_INTERVAL_S = 5.0


class FeedClient:
    """Follows the feed in a greenlet of its own, between `start` and `stop`.

    Args:
        node: The router's node name.
        zone: The router's zone.
        seeds: The controllers that the settings name.
        on_change: Called with each new table and what differs from the one before.

    Attributes:
        controller: The followed controller while its feed is known to be current; None otherwise.
        leaders: By shard, the leader that the feed named last.
    """

    def __init__(self, node: str, zone: str, seeds: list[Address], on_change: OnChange | None = None) -> None:
        self.controller: Address | None = None
        self.leaders: dict[int, Address] = {}
        self._node_name = node
        self._zone = zone
        self._choice = ControllerChoice(node, zone, seeds)
        self._draft = DraftTable()
        self._on_change = on_change
        self._publisher = TablePublisher(self._draft, self._table_published)
        self._progress = ProgressRecorder(node, monotonic())
        self._next_warning_at = 0.0
        self._cluster = 0  # id of the table's cluster, 0 before the first; only a restart of the router changes it
        self._router_count = RouterCountFilter()
        self._member_count = 0  # routers that membership finds alive
        self._greenlet: gevent.Greenlet | None = None
        self._preparation: gevent.Greenlet | None = None
        self._prepared: Subscription | None = None  # at a nearer controller, to be followed next
        self._prepare_after = 0.0  # no subscription is prepared before this time

    @property
    def table(self) -> FleetTable | None:
        """The published table; None until a configuration and the state of every shard have arrived."""
        return self._publisher.table

    def progress(self) -> FeedProgress:
        """Version, offsets and followed controller at this moment, with their ages."""
        return self._progress.progress(monotonic())

    def start(self) -> None:
        """Starts to follow a controller."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops following; the table remains available."""
        gevent.killall([each for each in (self._greenlet, self._preparation) if each is not None])
        if self._prepared is not None:
            self._prepared.close()
            self._prepared = None
        self._publisher.stop()

    def seeds_changed(self, seeds: list[Address]) -> None:
        """Sets the seeds that the settings name now."""
        self._choice.set_seeds(seeds)

    def members_changed(self, routers: Collection[str], controllers: Mapping[Address, str]) -> None:
        """Takes the processes that membership finds alive; `controllers` maps addresses to zones."""
        self._member_count = len(routers)
        self._choice.add(controllers)
        self._set_router_count(self._member_count, self._draft.table.router_rank)

    def _run(self) -> None:
        while True:
            try:
                self._follow_next()
            except Exception:  # noqa: BLE001 - whatever fails, the router would keep its table for good without a feed
                log.exception("feed failed, continuing")
                self._set_not_current()
            if self._prepared is None:
                gevent.sleep(self._choice.retry_delay_s(monotonic(), random.random()))

    def _follow_next(self) -> None:
        prepared, self._prepared = self._prepared, None
        address = self._choice.best(monotonic()) if prepared is None else prepared.address
        if address is not None:
            self._try_to_follow(address, prepared)

    def _try_to_follow(self, address: Address, prepared: Subscription | None) -> None:
        """Follows a controller until its feed ends or another subscription is prepared; logs why a feed has ended."""
        try:
            self._follow(address, prepared)
            return
        except LeaveControllerError as reason:
            log.info("feed left controller=%s reason=%r", format_address(address), str(reason))
        except (OSError, ConnectionClosedError, MessageError) as error:
            log.info("feed connection lost controller=%s error=%r", format_address(address), str(error))
        self._set_not_current()
        self._publisher.publish_changes()
        self._publisher.publish_first_unconfirmed()
        self._warn_of_missing_feed(address)

    def _follow(self, address: Address, prepared: Subscription | None) -> None:
        """Reads the feed of a controller; returns when a subscription at one in the router's own zone is prepared.

        Raises:
            LeaveControllerError: The controller should not be followed further.
            OSError: No connection could be opened.
            ConnectionClosedError: The connection was lost or timed out.
            MessageError: A message was malformed.
        """
        subscription = prepared
        try:
            subscription = subscription or self._subscribe(address)
            self._read(subscription)
        except Exception:
            self._choice.record_failure(address, monotonic(), random.random())
            raise
        finally:
            if subscription is not None:
                subscription.close()

    def _subscribe(self, address: Address) -> Subscription:
        request = Subscribe(self._node_name, self._zone, dict(self._draft.offsets), self._cluster)
        return Subscription.open(address, self._choice.connect_timeout_s(address), request)

    def _read(self, subscription: Subscription) -> None:
        self._prepare_after = monotonic() + MIN_STAY_S
        while self._prepared is None:
            received = subscription.receive()
            if isinstance(received, FeedDelta):
                self._draft.apply_delta(received, monotonic())
            elif isinstance(received, FeedSnapshot):
                self._draft.apply_snapshot(received, monotonic())
            elif isinstance(received, Freshness):
                self._take_freshness(received, subscription.address)
                self._prepare_nearer(subscription.address)
            self._progress.record_offsets(self._draft.offsets, monotonic())
            if not subscription.has_message:  # changes of all messages received so far are published together
                self._publisher.publish_changes()

    def _prepare_nearer(self, followed: Address) -> None:
        """Subscribes to a nearer controller in another greenlet, while the feed of the followed one is read on."""
        now = monotonic()
        is_preparing = self._preparation is not None and not self._preparation.dead
        if is_preparing or now < self._prepare_after or (nearer := self._choice.nearer(followed, now)) is None:
            return
        self._prepare_after = now + MIN_STAY_S
        self._preparation = gevent.spawn(self._prepare, nearer)

    def _prepare(self, address: Address) -> None:
        """Subscribes to a controller and waits for its first message: a listed controller may be out of reach."""
        subscription = None
        try:
            subscription = self._subscribe(address)
            subscription.wait_for_message()
            self._prepared, subscription = subscription, None
        except (OSError, ConnectionClosedError, MessageError) as error:
            self._choice.record_failure(address, monotonic(), random.random())
            log.info("nearer controller not followed controller=%s error=%r", format_address(address), str(error))
        finally:
            if subscription is not None:
                subscription.close()

    def _take_freshness(self, freshness: Freshness, address: Address) -> None:
        """Applies a freshness message, and decides by it whether the controller's feed is current.

        Raises:
            LeaveControllerError: The feed is not current, and another controller's may be.
        """
        if are_different_clusters(self._cluster, freshness.cluster):
            raise OtherClusterError(freshness.cluster, self._cluster)
        quorum_age_s = max_duration_s(freshness.quorum_ages)
        has_quorum = quorum_age_s <= MAX_QUORUM_AGE_S
        self._draft.advance_offsets(freshness, has_quorum, address, monotonic())
        self.leaders = {shard: (leader[0], leader[1]) for shard, leader in freshness.leaders.items()}
        self._take_controllers(freshness, has_quorum)
        if not has_quorum:
            self._set_not_current()
            if self._choice.is_other_available(address, monotonic()):
                raise QuorumLostError(quorum_age_s)
            self._publisher.publish_first_unconfirmed()
            return
        if (lag_s := max_duration_s(freshness.lags)) > MAX_LAG_S:
            raise ControllerLagsError(lag_s)
        self._set_current(address)
        self._cluster = self._cluster or freshness.cluster
        self._choice.record_success(address)
        if freshness.router_count:
            self._set_router_count(max(self._member_count, freshness.router_count), freshness.router_rank)
        self._publisher.publish_first()

    def _take_controllers(self, freshness: Freshness, has_quorum: bool) -> None:
        """Takes the listed controllers; a sender without a quorum may be cut off from others that are alive."""
        zones = {(ip, port): zone for ip, port, zone in freshness.controllers}
        if has_quorum:
            self._choice.update(zones, monotonic())
        else:
            self._choice.add(zones)

    def _set_router_count(self, reported: int, rank: int) -> None:
        now = monotonic()
        self._draft.set_router_count(self._router_count.update(reported, now), rank, now)

    def _set_current(self, address: Address) -> None:
        self.controller = address
        now = monotonic()
        without_feed_s = self._progress.seconds_without_feed(now)
        if self._progress.record_current(address, now):
            log.info(
                "feed followed controller=%s version=%d offset=%d without_feed_s=%.1f",
                format_address(address), self._draft.table.version, self._config_offset(), without_feed_s,
            )  # fmt: skip

    def _set_not_current(self) -> None:
        self.controller = None
        self._progress.record_not_current(monotonic())

    def _warn_of_missing_feed(self, tried: Address) -> None:
        """Logs that no feed has been current for some time, while that lasts."""
        now = monotonic()
        without_feed_s = self._progress.seconds_without_feed(now)
        if without_feed_s < MISSING_FEED_WARNING_S or now < self._next_warning_at:
            return
        self._next_warning_at = now + MISSING_FEED_WARNING_INTERVAL_S
        log.warning(
            "no current feed without_feed_s=%.1f version=%d offset=%d tried=%s",
            without_feed_s, self._draft.table.version, self._config_offset(), format_address(tried),
        )  # fmt: skip

    def _config_offset(self) -> int:
        return self._draft.offsets.get(CONFIG_SHARD, 0)

    def _table_published(self, table: FleetTable, change: FleetChange) -> None:
        if self._on_change is not None:
            self._on_change(table, change)
        self._progress.record_version(table.version, monotonic())
