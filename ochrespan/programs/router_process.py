"""The router process: forwards clients' requests to instances, by the table received from a controller's feed."""

from __future__ import annotations

import logging
import random
import socket

from ochrespan.common.addresses import Address
from ochrespan.control_plane.feed.client import FeedClient
from ochrespan.control_plane.feed.table import FleetChange, FleetTable
from ochrespan.control_plane.prefix_placement.client import PrefixPlacementClient
from ochrespan.control_plane.quota.router_setup import configure_quotas, owner_client_for, quota_client_for
from ochrespan.membership.agent import ROUTER_ROLE, MembershipAgent, membership_settings
from ochrespan.membership.peer_addresses import seed_peer_addresses
from ochrespan.transport.peer_clients import PeerClients

from ..data_plane.router_node import DrainTimes, MachineLimits, RouterNode
from ..data_plane.scheduler import Scheduler
from .process import run_process
from .settings import DEFAULT_DECISION_RECORDS, Settings, bound_value, listen_address

log = logging.getLogger(__name__)

DEFAULT_GRACE_S = 8.0
DEFAULT_MEMORY_MB = 256
DEFAULT_RETRY_BUDGET_RATIO = 0.2
DEFAULT_BUDGET_SLACK = 0
DEFAULT_BUDGET_WINDOW_S = 10
BYTES_PER_MB = 1_000_000
SEED_BITS = 32


class Router:
    """One router process: data plane, feed client, quota client and membership.

    Args:
        settings: the settings file as read at the start of the process.
        listener: the listening socket for clients if it is open already; the router takes ownership of it.

    Raises:
        ValidationError: the settings are not usable for a router.
    """

    def __init__(self, settings: Settings, listener: socket.socket | None = None) -> None:
        self._settings = settings
        scheduler = _create_scheduler(settings)
        self._feed = FeedClient(settings["node"], settings["zone"], seed_peer_addresses(settings), self._table_changed)
        self._membership = MembershipAgent(membership_settings(settings, ROUTER_ROLE), self._members_changed)
        owners = owner_client_for(self._feed, PeerClients())
        self._quota_client = quota_client_for(settings["node"], settings.get("bounds", {}), owners)
        prefix_placements = PrefixPlacementClient(owners, scheduler.is_usable)
        self._node = RouterNode(
            listener_or_address(listen_address(settings, "front"), listener),
            listen_address(settings, "ready"),
            _machine_limits(settings),
            scheduler,
            self._quota_client,
            prefix_placements,
            table_is_fresh=lambda: self._feed.controller is not None,
            feed_progress=self._feed.progress,
        )
        self._set_decision_sampling(settings)

    def start(self) -> None:
        """Opens the listeners, subscribes to the feed, and joins the membership."""
        self._node.start()
        self._feed.start()
        self._membership.start()

    def settings_changed(self, settings: Settings) -> None:
        """Applies the seeds, the grace period and the sampling of decisions; the rest needs a restart."""
        self._settings = settings
        self._set_decision_sampling(settings)
        seeds = seed_peer_addresses(settings)
        self._feed.seeds_changed(seeds)
        self._membership.seeds_changed(seeds)

    def stop(self) -> None:
        """Drains requests within the platform's grace period; the feed stops after that, so the table stays current."""
        self._node.drain(DrainTimes.within(bound_value(self._settings, "grace_s", DEFAULT_GRACE_S)))
        self._membership.stop()
        self._feed.stop()

    def _set_decision_sampling(self, settings: Settings) -> None:
        self._node.decision_log.sample_rate = settings.get("decision_records", DEFAULT_DECISION_RECORDS)

    def _members_changed(self) -> None:
        self._feed.members_changed(self._membership.routers(), self._membership.controllers())

    def _table_changed(self, table: FleetTable, change: FleetChange) -> None:
        if change.tenants or change.routers:
            configure_quotas(self._quota_client, table)
        self._node.table_changed(table, change)


def run(listener: socket.socket | None = None) -> int:
    """Runs a router until SIGTERM.

    Args:
        listener: the listening socket for clients if it is open already.

    Returns:
        The exit status.
    """
    return run_process(lambda settings: Router(settings, listener), log)


def listener_or_address(address: Address, listener: socket.socket | None) -> Address | socket.socket:
    """The open listener if it is bound to `address`; otherwise closes it and returns the address.

    The settings file may have changed between the opening of the listener and the validated read.
    """
    if listener is not None and listener.getsockname() == address:
        return listener
    if listener is not None:
        listener.close()
    return address


def _create_scheduler(settings: Settings) -> Scheduler:
    return Scheduler(
        settings["zone"],
        random.SystemRandom().getrandbits(SEED_BITS),
        bound_value(settings, "retry_budget_ratio", DEFAULT_RETRY_BUDGET_RATIO),
        bound_value(settings, "budget_slack", DEFAULT_BUDGET_SLACK),
        bound_value(settings, "budget_window_s", DEFAULT_BUDGET_WINDOW_S),
    )


def _machine_limits(settings: Settings) -> MachineLimits:
    limits = settings.get("limits", {})
    return MachineLimits(
        limits.get("max_fds", MachineLimits.descriptors),
        int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB),
    )
