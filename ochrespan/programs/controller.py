"""The controller: a replica of every shard of the control state, and the control interface and feed on top of it."""

from __future__ import annotations

import logging
import signal
import sys

import gevent
from gevent.event import Event

from ..control_plane.api import serve_api
from ..control_plane.checking import CheckFailed
from ..control_plane.controller_node import ControllerNode, ControlState
from ..control_plane.peer_addresses import peer_address, seed_peer_addresses
from ..control_plane.replica_host import HostSettings, ReplicaHost
from ..transport.tcp import parse_address
from .settings import Settings, SettingsFile, settings_path

log = logging.getLogger(__name__)

DEFAULT_HEARTBEAT_MS = 1000.0
STOP_TIMEOUT_S = 2.0
EXIT_BAD_SETTINGS = 78


class Controller:
    """The parts of one controller process."""

    def __init__(self, settings: Settings) -> None:
        state = ControlState()
        address = peer_address(settings)
        self._listen = parse_address(settings["listen"]["control"])
        self._host = ReplicaHost(HostSettings.from_settings(settings), state.machines)
        self._node = ControllerNode(
            node=settings["node"],
            zone=settings["zone"],
            address=address,
            heartbeat_s=settings.get("heartbeat_ms", DEFAULT_HEARTBEAT_MS) / 1000,
            groups=self._host,
            state=state,
            call_server=self._host.call_server,
            known_controllers=lambda: seed_peer_addresses(settings),
        )
        self._host.on_applied = self._node.applied
        self._host.on_restored = self._node.restored
        self._host.on_leadership = self._node.leadership_changed

    def start(self) -> None:
        """Begins to take part and to listen."""
        self._host.start()
        self._node.start()
        self._http = serve_api(self._listen, self._node.api)

    def stop(self) -> None:
        """Hands over leadership, and ends."""
        with gevent.Timeout(STOP_TIMEOUT_S, False):
            self._http.close()
            self._host.stop()


def main() -> int:
    """Runs a controller until SIGTERM."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s %(message)s")
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    try:
        settings_file = SettingsFile(settings_path(), lambda settings: None)
    except CheckFailed as error:
        for finding in error.findings:
            log.error("settings refused where=%r found=%r allowed=%r", finding.where, finding.found, finding.allowed)
        return EXIT_BAD_SETTINGS
    gevent.signal_handler(signal.SIGHUP, settings_file.reload)
    controller = Controller(settings_file.current)
    controller.start()
    gevent.spawn(settings_file.watch)
    ended.wait()
    controller.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
