"""Whether a controller may lead: not while its disk is too slow, nor while an operator has declined leadership.

Pure: the time is an argument, in seconds of the monotonic clock.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

# An operator's request to decline leadership ends once any shard has had no leader for this long: a shard without a
# leader commits nothing, which is worse than one that is led here.
MAX_LEADERLESS_S = 3.0


@dataclass(slots=True)
class LeaderEligibility:
    """The conditions under which this process may not lead: a slow disk, or an operator's request."""

    _declines_until: float = 0.0
    _leaderless_since: float | None = None
    _is_disk_slow: bool = False

    def decline(self, now: float, duration_s: float) -> None:
        """Records an operator's request to lead no shard for `duration_s` seconds; 0 ends an earlier request."""
        self._declines_until = now + duration_s
        self._leaderless_since = None
        log.info("leadership declined by an operator duration_s=%g", duration_s)

    def declines_for(self, now: float) -> float:
        """Seconds until the operator's request expires; 0 if there is none."""
        return max(0.0, self._declines_until - now)

    def check_votes_withheld(self, now: float, is_disk_slow: bool, has_leaders: bool) -> bool:
        """Whether this process has to transfer its leadership, and neither vote nor stand in elections.

        Also logs when the disk becomes slow or healthy, and ends an operator's request while a shard has no leader.

        Args:
            now: Seconds of the monotonic clock.
            is_disk_slow: The disk rejects writes, or one takes too long.
            has_leaders: The leader of every shard is known here.
        """
        if is_disk_slow != self._is_disk_slow:
            self._is_disk_slow = is_disk_slow
            log.warning("disk too slow, leadership withheld" if is_disk_slow else "disk healthy, leadership allowed")
        if self.declines_for(now):
            self._end_request_if_leaderless(now, has_leaders)
        return is_disk_slow or self.declines_for(now) > 0

    def _end_request_if_leaderless(self, now: float, has_leaders: bool) -> None:
        """Ends the request once no leader was known for longer than an election takes: no other process can lead."""
        if has_leaders:
            self._leaderless_since = None
        elif self._leaderless_since is None:
            self._leaderless_since = now
        elif now - self._leaderless_since > MAX_LEADERLESS_S:
            self._declines_until = now
            log.warning("leadership allowed again, a shard has no leader leaderless_s=%g", MAX_LEADERLESS_S)
