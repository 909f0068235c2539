"""The controller process: replicates every shard of the control state, serves the control interface and the feed."""

from __future__ import annotations

import logging

import gevent
from gevent.pywsgi import WSGIServer

from ochrespan.common.addresses import Address
from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.api.handlers import serve_api
from ochrespan.control_plane.control_state import ControlState
from ochrespan.control_plane.controller import ControllerCollaborators, ControllerNode, ControllerSettings
from ochrespan.control_plane.quota.allocation import quota_bounds
from ochrespan.control_plane.replication.host import ReplicaHost
from ochrespan.control_plane.replication.state_machine import HostSettings
from ochrespan.membership.agent import CONTROLLER_ROLE, MembershipAgent, membership_settings
from ochrespan.membership.peer_addresses import peer_address, seed_peer_addresses

from .process import run_process
from .settings import Settings, listen_address

log = logging.getLogger(__name__)

DEFAULT_HEARTBEAT_MS = 1000.0
DEFAULT_DISK_MB = 128
STOP_TIMEOUT_S = 2.0


def control_address(settings: Settings) -> Address:
    """The address that the control interface listens on; raises ValidationError."""
    return listen_address(settings, "control")


def host_settings(settings: Settings) -> HostSettings:
    """The part of the settings that the replicas need; raises ValidationError."""
    data_dir = settings.get("data_dir")
    if not data_dir:
        raise ValidationError([Finding("data_dir", "nothing", "a folder for the replicas")])
    return HostSettings(
        address=peer_address(settings),
        seeds=tuple(seed_peer_addresses(settings)),
        data_dir=data_dir,
        disk_mb=int(settings.get("limits", {}).get("disk_mb") or DEFAULT_DISK_MB),
        bootstrap=settings.get("bootstrap", False),
        fault_tolerance=settings.get("fault_tolerance", {}).get("machines", 0),
        node=settings["node"],
    )


class Controller:
    """One controller process: replicas, control interface, feed and membership.

    Raises:
        ValidationError: the settings are not usable for a controller.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._control_address = control_address(settings)
        self._http: WSGIServer | None = None
        state = ControlState()
        self._host = ReplicaHost(host_settings(settings), state.machines)
        self._node = ControllerNode(
            ControllerSettings(
                node=settings["node"],
                zone=settings["zone"],
                address=peer_address(settings),
                heartbeat_s=settings.get("heartbeat_ms", DEFAULT_HEARTBEAT_MS) / 1000,
                quota_bounds=quota_bounds(settings.get("bounds", {})),
            ),
            ControllerCollaborators(
                groups=self._host,
                state=state,
                call_server=self._host.call_server,
                seeds=lambda: seed_peer_addresses(self._settings),
            ),
        )
        self._membership = MembershipAgent(membership_settings(settings, CONTROLLER_ROLE), self._members_changed)
        self._host.on_applied = self._node.applied
        self._host.on_restored = self._node.restored
        self._host.on_leadership_changed = self._node.leadership_changed

    def start(self) -> None:
        """Starts the replicas, joins the membership, and opens the control interface."""
        self._host.start()
        self._node.start()
        self._membership.start()
        self._http = serve_api(self._control_address, self._node.api)

    def settings_changed(self, settings: Settings) -> None:
        """Applies changed seeds; every other setting takes effect at the next start."""
        self._settings = settings
        seeds = seed_peer_addresses(settings)
        self._host.add_seeds(seeds)
        self._membership.seeds_changed(seeds)

    def stop(self) -> None:
        """Transfers leadership and stops, within STOP_TIMEOUT_S; the exit of the process ends what still runs then."""
        with gevent.Timeout(STOP_TIMEOUT_S, False):
            self._membership.stop()
            self._node.stop()
            if self._http is not None:
                self._http.close()
            self._host.stop()

    def _members_changed(self) -> None:
        self._node.members_changed(self._membership.routers(), self._membership.controllers())


def run() -> int:
    """Runs a controller until SIGTERM; returns the exit status."""
    return run_process(Controller, log)
