"""Publishes a router's table to its data plane: changes of a burst together, within a bounded fraction of the time."""

from __future__ import annotations

import logging
from collections.abc import Callable
from time import monotonic

import gevent

from .draft_table import DraftTable
from .table import NO_CHANGE, FleetChange, FleetTable, full_change

log = logging.getLogger(__name__)


UNCONFIRMED_TABLE_WAIT_S = 3.0  # from a complete draft to a first table that no controller with a quorum has confirmed
PUBLISH_INTERVAL_FACTOR = (
    20.0  # the time until the next table, as a multiple of the time that the data plane took for it
)
MAX_PUBLISH_INTERVAL_S = 0.2

OnChange = Callable[[FleetTable, FleetChange], None]


class TablePublisher:
    """Calls `on_change` with each new table and its difference from the previous one.

    Args:
        draft: The table that is built from the feed.
        on_change: The data plane's callback, or None.

    Attributes:
        table: The last published table; None before the first.
        on_change: The data plane's callback, or None.
        paused_until: No table is published before this time, in seconds of the monotonic clock.
    """

    def __init__(self, draft: DraftTable, on_change: OnChange | None) -> None:
        self.table: FleetTable | None = None
        self.on_change = on_change
        self.paused_until = 0.0
        self._draft = draft
        self._delayed: gevent.Greenlet | None = None

    def stop(self) -> None:
        """Cancels a delayed publication; the last published table remains."""
        if self._delayed is not None:
            self._delayed.kill()

    def publish_first(self) -> None:
        """Publishes the draft if it is complete and no table was published yet."""
        if self.table is None and self._draft.is_complete():
            self._publish(full_change(self._draft.table))

    def publish_first_unconfirmed(self) -> None:
        """Publishes a first table that no controller with a quorum has confirmed.

        Waits until the draft has been complete for UNCONFIRMED_TABLE_WAIT_S.

        A router without a table rejects every request, so a table that may be out of date is better than none.
        """
        complete_since = self._draft.complete_since
        if (
            self.table is None
            and complete_since is not None
            and monotonic() - complete_since > UNCONFIRMED_TABLE_WAIT_S
        ):
            self._publish(full_change(self._draft.table))

    def publish_changes(self) -> None:
        """Publishes the changes since the last table, now or at `paused_until`."""
        if self.table is None or self.table is self._draft.table:
            return
        delay_s = self.paused_until - monotonic()
        if delay_s <= 0:
            self._publish(self._draft.unpublished)
        elif not self._delayed:
            self._delayed = gevent.spawn_later(delay_s, self.publish_delayed)

    def publish_delayed(self) -> None:
        """Publishes the changes that were delayed until `paused_until`."""
        self._delayed = None
        self.publish_changes()

    def _publish(self, change: FleetChange) -> None:
        self.table = self._draft.table
        self._draft.unpublished = NO_CHANGE
        if self.on_change is None:
            return
        started_at = monotonic()
        try:
            self.on_change(self._draft.table, change)
        except Exception:  # noqa: BLE001 - a fault of the data plane must not end the feed; the change is published again
            log.exception("table update failed version=%d", self._draft.table.version)
            self._draft.unpublished = change  # published again together with the next change
        now = monotonic()
        self.paused_until = now + min(MAX_PUBLISH_INTERVAL_S, PUBLISH_INTERVAL_FACTOR * (now - started_at))
