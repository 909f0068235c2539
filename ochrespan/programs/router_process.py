"""The router: serves clients of the fleet by the table that the controllers feed it."""

from __future__ import annotations

import logging
import random
import signal
import socket

import gevent
from gevent.event import Event

from ochrespan.common.addresses import Address, parse_address
from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.feed.client import FeedClient
from ochrespan.control_plane.feed.table import FleetChange, FleetTable
from ochrespan.control_plane.prefix_placement.client import PrefixPlacementClient
from ochrespan.control_plane.quota.router_setup import configure_quotas, owner_client_for, quota_client_for
from ochrespan.membership.agent import ROUTER_ROLE, MembershipAgent, membership_settings
from ochrespan.membership.peer_addresses import seed_peer_addresses
from ochrespan.observability import logs
from ochrespan.transport.peer_clients import PeerClients

from ..data_plane.router_node import DrainTimes, MachineLimits, RouterNode
from ..data_plane.scheduler import Scheduler
from .settings import DEFAULT_DECISION_RECORDS, Settings, SettingsFile, bound, secure_peers, settings_path

log = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 78
DEFAULT_GRACE_S = 8.0
DEFAULT_MEMORY_MB = 256
BYTES_PER_MB = 1_000_000


def listen_address(settings: Settings, name: str) -> Address:
    """Where the router listens for clients (`front`) or for the platform (`ready`); raises ValidationError."""
    if name not in settings["listen"]:
        raise ValidationError([Finding(f"listen.{name}", "nothing", "IP:PORT")])
    return parse_address(settings["listen"][name])


class Router:
    """The parts of one router process."""

    def __init__(self, settings: Settings, listener: socket.socket | None = None) -> None:
        scheduler = Scheduler(
            settings["zone"],
            random.SystemRandom().getrandbits(32),
            bound(settings, "retry_budget_ratio", 0.2),
            bound(settings, "budget_slack", 0),
            bound(settings, "budget_window_s", 10),
        )
        limits = settings.get("limits", {})
        granted = MachineLimits(
            limits.get("max_fds", MachineLimits.descriptors),
            int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB),
        )
        self._settings = settings
        self._feed = FeedClient(settings["node"], settings["zone"], seed_peer_addresses(settings), self._table_changed)
        self._membership = MembershipAgent(membership_settings(settings, ROUTER_ROLE), self._members_changed)
        owners = owner_client_for(self._feed, PeerClients())
        self._quotas = quota_client_for(settings["node"], settings.get("bounds", {}), owners)
        homes = PrefixPlacementClient(owners, scheduler.is_usable)
        self._node = RouterNode(
            _listener_at(listen_address(settings, "front"), listener),
            listen_address(settings, "ready"),
            granted,
            scheduler,
            self._quotas,
            homes,
            table_is_fresh=lambda: self._feed.controller is not None,
        )
        self._set_records(settings)

    def _set_records(self, settings: Settings) -> None:
        self._node.decision_log.share = settings.get("decision_records", DEFAULT_DECISION_RECORDS)

    def start(self) -> None:
        """Begins to listen and to follow the feed."""
        self._node.start()
        self._feed.start()
        self._membership.start()

    def _members_changed(self) -> None:
        self._feed.members_changed(self._membership.routers(), self._membership.controllers())

    def _table_changed(self, table: FleetTable, change: FleetChange) -> None:
        if change.tenants or change.routers:
            configure_quotas(self._quotas, table)
        self._node.table_changed(table, change)

    def settings_changed(self, settings: Settings) -> None:
        """Takes over what may change while the process runs."""
        self._settings = settings
        self._set_records(settings)
        seeds = seed_peer_addresses(settings)
        self._feed.seeds_changed(seeds)
        self._membership.seeds_changed(seeds)

    def stop(self) -> None:
        """Ends what runs within the platform's grace, and then the feed."""
        self._node.drain(DrainTimes.within(bound(self._settings, "grace_s", DEFAULT_GRACE_S)))
        self._membership.stop()
        self._feed.stop()


def run(listener: socket.socket | None = None) -> int:
    """Runs a router until SIGTERM; `listener` is its open address for clients, where there is one already."""
    logs.configure()
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    router: Router | None = None

    def settings_changed(settings: Settings) -> None:
        if router is not None:
            router.settings_changed(settings)

    try:
        settings_file = SettingsFile(settings_path(), settings_changed)
        secure_peers(settings_file.current)
        router = Router(settings_file.current, listener)
    except ValidationError as error:
        for finding in error.findings:
            log.error("settings refused where=%r found=%r allowed=%r", finding.where, finding.found, finding.allowed)
        return EXIT_BAD_SETTINGS
    gevent.signal_handler(signal.SIGHUP, settings_file.reload)
    router.start()
    gevent.spawn(settings_file.watch)
    ended.wait()
    router.stop()
    return 0


def _listener_at(address: Address, listener: socket.socket | None) -> Address | socket.socket:
    """The open socket where it is at this address: the settings may have changed since it was opened."""
    if listener is not None and listener.getsockname() == address:
        return listener
    if listener is not None:
        listener.close()
    return address
