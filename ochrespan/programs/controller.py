"""The controller: a replica of every shard of the control state, and the control interface and feed on top of it."""

from __future__ import annotations

import logging
import signal
import sys

import gevent
from gevent.event import Event

from ochrespan.common.addresses import Address, parse_address
from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.api.handlers import serve_api
from ochrespan.control_plane.control_state import ControlState
from ochrespan.control_plane.controller import ControllerCollaborators, ControllerNode, ControllerSettings
from ochrespan.control_plane.quota.allocation import quota_bounds
from ochrespan.control_plane.replication.host import ReplicaHost
from ochrespan.control_plane.replication.state_machine import HostSettings
from ochrespan.membership.agent import CONTROLLER_ROLE, MembershipAgent, membership_settings
from ochrespan.membership.peer_addresses import peer_address, seed_peer_addresses
from ochrespan.observability import logs

from .settings import Settings, SettingsFile, secure_peers, settings_path

log = logging.getLogger(__name__)

DEFAULT_HEARTBEAT_MS = 1000.0
DEFAULT_DISK_MB = 128
STOP_TIMEOUT_S = 2.0
EXIT_BAD_SETTINGS = 78


def control_address(settings: Settings) -> Address:
    """Where the control interface listens; raises ValidationError."""
    if "control" not in settings["listen"]:
        raise ValidationError([Finding("listen.control", "nothing", "IP:PORT")])
    return parse_address(settings["listen"]["control"])


def host_settings(settings: Settings) -> HostSettings:
    """What the replicas need of the settings; raises ValidationError."""
    if not settings.get("data_dir"):
        raise ValidationError([Finding("data_dir", "nothing", "a folder for the replicas")])
    return HostSettings(
        address=peer_address(settings),
        seeds=tuple(seed_peer_addresses(settings)),
        data_dir=settings["data_dir"],
        disk_mb=int(settings.get("limits", {}).get("disk_mb") or DEFAULT_DISK_MB),
        bootstrap=settings.get("bootstrap", False),
        fault_tolerance=settings.get("fault_tolerance", {}).get("machines", 0),
        node=settings["node"],
    )


class Controller:
    """The parts of one controller process."""

    def __init__(self, settings: Settings) -> None:
        state = ControlState()
        address = peer_address(settings)
        self._listen = control_address(settings)
        self._settings = settings
        self._host = ReplicaHost(host_settings(settings), state.machines)
        self._node = ControllerNode(
            ControllerSettings(
                node=settings["node"],
                zone=settings["zone"],
                address=address,
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
        self._host.on_leadership = self._node.leadership_changed

    def settings_changed(self, settings: Settings) -> None:
        """The settings file has changed: other seeds count at once, the rest at the next start."""
        self._settings = settings
        seeds = seed_peer_addresses(settings)
        self._host.add_seeds(seeds)
        self._membership.seeds_changed(seeds)

    def _members_changed(self) -> None:
        self._node.members_changed(self._membership.routers(), self._membership.controllers())

    def start(self) -> None:
        """Begins to take part and to listen."""
        self._host.start()
        self._node.start()
        self._membership.start()
        self._http = serve_api(self._listen, self._node.api)

    def stop(self) -> None:
        """Hands over leadership, and ends."""
        with gevent.Timeout(STOP_TIMEOUT_S, False):
            self._membership.stop()
            self._node.stop()
            self._http.close()
            self._host.stop()


def main() -> int:
    """Runs a controller until SIGTERM."""
    logs.configure()
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    try:
        settings_file = SettingsFile(settings_path())
        secure_peers(settings_file.current)
        controller = Controller(settings_file.current)
    except ValidationError as error:
        for finding in error.findings:
            log.error("settings refused where=%r found=%r allowed=%r", finding.where, finding.found, finding.allowed)
        return EXIT_BAD_SETTINGS
    settings_file.on_change = controller.settings_changed
    gevent.signal_handler(signal.SIGHUP, settings_file.reload)
    controller.start()
    gevent.spawn(settings_file.watch)
    ended.wait()
    controller.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
