"""Whether a controller may lead: not while its disk is in trouble, nor for a time that an operator asked for. Pure."""

from __future__ import annotations

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)


MAX_LEADERLESS_S = 3.0  # of any shard, after which an operator's request gives way: somebody has to lead


@dataclass(slots=True)
class LeaderEligibility:
    """Times are seconds of the steady clock."""

    _declines_until: float = 0.0
    _leaderless_since: float | None = None
    _disk_in_trouble: bool = False

    def decline(self, now: float, span_s: float) -> None:
        """An operator wants this process to lead nothing for so long; 0 ends an earlier wish."""
        self._declines_until = now + span_s
        self._leaderless_since = None
        log.info("leadership declined by an operator for_s=%g", span_s)

    def declines_for(self, now: float) -> float:
        """Seconds for which an operator's wish still holds."""
        return max(0.0, self._declines_until - now)

    def withholds_votes(self, now: float, disk_in_trouble: bool, has_leaders: bool) -> bool:
        """Whether to lead nothing now; `has_leaders`: every shard's leader is known."""
        if disk_in_trouble != self._disk_in_trouble:
            self._disk_in_trouble = disk_in_trouble
            log.warning("disk in trouble, handing over" if disk_in_trouble else "disk keeps up again")
        if self.declines_for(now):
            self._watch_leaders(now, has_leaders)
        return disk_in_trouble or self.declines_for(now) > 0

    def _watch_leaders(self, now: float, has_leaders: bool) -> None:
        if has_leaders:
            self._leaderless_since = None
        elif self._leaderless_since is None:
            self._leaderless_since = now
        elif now - self._leaderless_since > MAX_LEADERLESS_S:
            self._declines_until = now
            log.warning("leadership accepted again: a shard has had no leader for_s=%g", MAX_LEADERLESS_S)
