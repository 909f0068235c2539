"""Reports changes of leadership to a callback and to the log; logs how many failures a shard tolerates."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ochrespan.raft.replica import Replica

from .applier import run_callback

log = logging.getLogger(__name__)


class LeadershipReporter:
    """Compares the state of each replica with its last report, and reports changes.

    Attributes:
        on_leadership_changed: Called with the shard and whether this process leads it, after each change.
    """

    def __init__(self) -> None:
        self.on_leadership_changed: Callable[[int, bool], None] = lambda *_: None
        self._led_shards: set[int] = set()
        self._failures_tolerated: dict[int, int | None] = {}  # as last reported, by shard

    def report_leadership(self, shard: int, replica: Replica) -> None:
        """Reports that this process has gained or lost the leadership of a shard."""
        leads = replica.is_leader
        if leads == (shard in self._led_shards):
            return
        if leads:
            self._led_shards.add(shard)
        else:
            self._led_shards.discard(shard)
        log.info("leadership changed shard=%d leads=%s term=%d", shard, leads, replica.state.term)
        run_callback(self.on_leadership_changed, shard, leads)

    def report_failures_tolerated(self, shard: int, replica: Replica) -> None:
        """Logs that the number of voters that may fail has changed, for a shard that is led here."""
        tolerated = replica.failures_tolerated
        if tolerated == self._failures_tolerated.get(shard):
            return
        self._failures_tolerated[shard] = tolerated
        if tolerated is not None:
            log.info(
                "failures tolerated changed shard=%d failures_tolerated=%d voters=%d",
                shard,
                tolerated,
                len(replica.state.configuration.voters),
            )
