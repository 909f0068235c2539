"""Reports between controllers: zone, subscribed routers and applied offsets of the reporting controller."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import monotonic

import gevent

from ochrespan.common.addresses import Address
from ochrespan.control_plane.replication.groups import ReplicaGroups, applied_offsets
from ochrespan.control_plane.replication.lag_detector import LagDetector
from ochrespan.transport.peer_clients import PeerClients
from ochrespan.transport.rpc import RpcError, RpcServer

from .live_routers import LiveRouters
from .messages import ControllerReport, are_different_clusters

log = logging.getLogger(__name__)


REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 0.8


@dataclass(frozen=True, slots=True)
class PresenceState:
    """The state that a controller reports to others, and that their reports update."""

    groups: ReplicaGroups
    live_routers: LiveRouters
    lag_detector: LagDetector


class PresenceReporter:
    """Exchanges reports with every other controller twice a second.

    Args:
        address: Address of this controller.
        zone: Zone of this controller.
        state: The state that is reported and updated.
        peers: Calls other controllers.
        controllers: Returns the addresses of the present controllers; this one may be among them.
    """

    def __init__(
        self,
        address: Address,
        zone: str,
        state: PresenceState,
        peers: PeerClients,
        controllers: Callable[[], Iterable[Address]],
    ) -> None:
        self._address = address
        self._zone = zone
        self._groups = state.groups
        self._live_routers = state.live_routers
        self._lag_detector = state.lag_detector
        self._peers = peers
        self._controllers = controllers

    def register(self, rpc_server: RpcServer) -> None:
        """Serves the reports of other controllers."""
        rpc_server.on_request(ControllerReport, self._receive)

    def run(self) -> None:
        """Reports until the greenlet is killed."""
        while True:
            for controller in self._controllers():
                if controller != self._address:
                    gevent.spawn(self._report_to, controller)
            gevent.sleep(REPORT_INTERVAL_S)

    def _receive(self, report: ControllerReport) -> ControllerReport:
        self._record(report)
        return self._own_report()

    def _report_to(self, controller: Address) -> None:
        try:
            response = self._peers.call(controller, self._own_report(), REPORT_TIMEOUT_S)
        except RpcError as error:
            log.debug("controller report failed peer=%s error=%s", controller, error)
            return
        if isinstance(response, ControllerReport):
            self._record(response)

    def _record(self, report: ControllerReport) -> None:
        if are_different_clusters(report.cluster, self._groups.cluster()):
            return
        now = monotonic()
        self._live_routers.record_report(report, now)
        self._lag_detector.record_offsets(report.offsets, applied_offsets(self._groups), now)

    def _own_report(self) -> ControllerReport:
        return ControllerReport(
            *self._address,
            self._zone,
            self._live_routers.subscribers(),
            applied_offsets(self._groups),
            self._groups.cluster(),
        )
