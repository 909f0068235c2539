"""The live routers of the fleet as a controller knows them. Pure: the time is an argument, in seconds, monotonic."""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from dataclasses import dataclass

from ochrespan.common.addresses import Address

from .messages import ControllerReport

STARTUP_WAIT_S = 2.0  # for this long after its start a controller reports no count, as it does not know most routers
REPORT_TTL_S = 3.5  # longer than a router takes to move between controllers, so that it is counted throughout


@dataclass(frozen=True, slots=True)
class RouterPosition:
    """A router's rank among the live routers in the order of their names, and their count; both 0 while unknown."""

    count: int
    rank: int


@dataclass(frozen=True, slots=True)
class _Report:
    """The latest report of another controller: the routers that subscribe to its feed."""

    routers: frozenset[str]
    zone: str
    received_at: float


class LiveRouters:
    """The routers that membership finds alive, or that subscribe to the feed of this or another controller."""

    def __init__(self, started_at: float) -> None:
        self._complete_from = started_at + STARTUP_WAIT_S
        self._subscribed_at: dict[str, float] = {}  # by router, when it last was among this controller's subscribers
        self._reports: dict[Address, _Report] = {}  # by controller
        self._members: frozenset[str] = frozenset()
        self._sorted: list[str] = []

    def set_members(self, routers: Iterable[str]) -> None:
        """Sets the routers that membership finds alive; they count from the next `update_subscribers` on."""
        self._members = frozenset(routers)

    def update_subscribers(self, routers: Iterable[str], now: float) -> None:
        """Records the present subscribers of this controller's feed, drops expired entries, and updates the count."""
        self._subscribed_at.update(dict.fromkeys(routers, now))
        self._subscribed_at = {
            router: subscribed_at
            for router, subscribed_at in self._subscribed_at.items()
            if now - subscribed_at < REPORT_TTL_S
        }
        self._reports = {
            peer: report for peer, report in self._reports.items() if now - report.received_at < REPORT_TTL_S
        }
        reported = (report.routers for report in self._reports.values())
        self._sorted = sorted(self._members.union(self._subscribed_at, *reported))

    def record_report(self, controller_report: ControllerReport, now: float) -> None:
        """Records the report of another controller."""
        report = _Report(frozenset(controller_report.routers), controller_report.zone, now)
        self._reports[(controller_report.ip, controller_report.port)] = report

    def subscribers(self) -> list[str]:
        """The recent subscribers of this controller's feed."""
        return list(self._subscribed_at)

    def routers(self) -> list[str]:
        """All live routers by name."""
        return list(self._sorted)

    def controllers(self) -> list[tuple[Address, str]]:
        """The other controllers that have reported recently, and their zones."""
        return [(address, report.zone) for address, report in self._reports.items()]

    def position_of(self, router: str, now: float) -> RouterPosition:
        """The position of a router; the count includes it even if it was not known before."""
        if now < self._complete_from:
            return RouterPosition(0, 0)
        rank = bisect.bisect_left(self._sorted, router)
        is_counted = rank < len(self._sorted) and self._sorted[rank] == router
        return RouterPosition(len(self._sorted) + (0 if is_counted else 1), rank)
