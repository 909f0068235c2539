"""Which routers are live, from membership and the feeds' readers, and which controllers there are."""

from __future__ import annotations

import bisect
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

from .messages import Presence, are_different_clusters

log = logging.getLogger(__name__)


REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 0.8
STARTUP_SETTLE_S = 2.0  # a controller that has just started does not know of most routers yet
REPORT_TTL_S = 3.5  # a router that moves between controllers stays counted


@dataclass(frozen=True, slots=True)
class _Report:
    routers: frozenset[str]
    zone: str
    at: float


class LiveRouters:
    """The live routers: those of this controller and those that other controllers have told of lately."""

    def __init__(self, started: float) -> None:
        self._settled_at = started + STARTUP_SETTLE_S
        self._own: dict[str, float] = {}  # when each router was last among this controller's readers
        self._reports: dict[Address, _Report] = {}
        self._members: frozenset[str] = frozenset()
        self._sorted: list[str] = []

    def members(self, routers: Iterable[str]) -> None:
        """Notes the routers that membership holds for living; `own` counts them from its next call on."""
        self._members = frozenset(routers)

    def own(self, routers: Iterable[str], now: float) -> None:
        """Notes the routers that read this controller's feed now."""
        self._own.update(dict.fromkeys(routers, now))
        self._own = {router: at for router, at in self._own.items() if now - at < REPORT_TTL_S}
        self._reports = {peer: each for peer, each in self._reports.items() if now - each.at < REPORT_TTL_S}
        self._sorted = sorted(self._members.union(self._own, *(report.routers for report in self._reports.values())))

    def told(self, presence: Presence, now: float) -> None:
        """Notes another controller's report."""
        report = _Report(frozenset(presence.routers), presence.zone, now)
        self._reports[(presence.ip, presence.port)] = report

    def readers(self) -> list[str]:
        """The routers of this controller."""
        return list(self._own)

    def routers(self) -> list[str]:
        """All live routers by name."""
        return list(self._sorted)

    def controllers(self) -> list[tuple[Address, str]]:
        """The other controllers that have reported lately, and their zones."""
        return [(address, report.zone) for address, report in self._reports.items()]

    def place_of(self, router: str, now: float) -> tuple[int, int]:
        """How many routers are live, or 0 if that is not known yet, and how many come before this one by name."""
        if now < self._settled_at:
            return 0, 0
        rank = bisect.bisect_left(self._sorted, router)
        known = rank < len(self._sorted) and self._sorted[rank] == router
        return len(self._sorted) + (0 if known else 1), rank


class PresenceReporter:
    """Tells the other controllers twice a second of this one, of its routers and of its offsets."""

    def __init__(
        self,
        address: Address,
        zone: str,
        groups: ReplicaGroups,
        live_routers: LiveRouters,
        lag: LagDetector,
        peers: PeerClients,
        others: Callable[[], Iterable[Address]],
    ) -> None:
        self._address = address
        self._zone = zone
        self._groups = groups
        self._live_routers = live_routers
        self._lag_detector = lag
        self._peers = peers
        self._others = others

    def register(self, call_server: RpcServer) -> None:
        """Takes the reports of other controllers."""
        call_server.on_request(Presence, self._answer)

    def run(self) -> None:
        """Reports until the greenlet is killed."""
        while True:
            for other in self._others():
                if other != self._address:
                    gevent.spawn(self._report_to, other)
            gevent.sleep(REPORT_INTERVAL_S)

    def _answer(self, presence: Presence) -> Presence:
        self._told(presence)
        return self._own_presence()

    def _report_to(self, other: Address) -> None:
        try:
            reply = self._peers.call(other, self._own_presence(), REPORT_TIMEOUT_S)
        except RpcError as error:
            log.debug("presence not told peer=%s error=%s", other, error)
            return
        if isinstance(reply, Presence):
            self._told(reply)

    def _told(self, presence: Presence) -> None:
        if are_different_clusters(presence.cluster, self._groups.cluster()):
            return
        now = monotonic()
        self._live_routers.told(presence, now)
        self._lag_detector.record_offsets(presence.offsets, applied_offsets(self._groups), now)

    def _own_presence(self) -> Presence:
        return Presence(
            *self._address,
            self._zone,
            self._live_routers.readers(),
            applied_offsets(self._groups),
            self._groups.cluster(),
        )
