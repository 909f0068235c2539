"""Detects instances whose heartbeats time out, at the leader of their shard.

Pure: the time is an argument, in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

TIMEOUT_HEARTBEATS = 3.5
TIMEOUT_SLACK_S = 1.0
MAX_CHECK_GAP_S = 1.0  # if checks are further apart, this process may have missed heartbeats: all time-outs restart
MASS_EXPIRY_FRACTION = 0.5  # if more than this fraction expires at once, the leader or its network is likely at fault
MASS_EXPIRY_MIN_INSTANCES = 3
MASS_EXPIRY_TIMEOUTS = 2.0  # instances then expire only after this many time-outs


def heartbeat_timeout_s(heartbeat_s: float) -> float:
    """Returns the seconds without a heartbeat after which an instance expires, for a heartbeat interval in seconds."""
    return TIMEOUT_HEARTBEATS * heartbeat_s + TIMEOUT_SLACK_S


class HeartbeatMonitor:
    """Records the last heartbeat of each instance of one shard while this process leads the shard."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._started_at: float | None = None  # None while this process does not lead the shard
        self._checked_at = 0.0
        self._last_heartbeat_at: dict[str, float] = {}
        self._sequences: dict[str, int] = {}

    def start(self, now: float) -> None:
        """Starts on becoming leader: every instance gets the full time-out, as the former leader got its heartbeats."""
        self._started_at = now
        self._checked_at = now
        self._last_heartbeat_at.clear()
        self._sequences.clear()

    def stop(self) -> None:
        """Stops on losing leadership: no instance expires until the next `start`."""
        self._started_at = None

    def record(self, instance_id: str, sequence: int, now: float) -> None:
        """Records a heartbeat, unless its sequence number is lower than that of an earlier one."""
        if sequence >= self._sequences.get(instance_id, 0):
            self._sequences[instance_id] = sequence
            self._last_heartbeat_at[instance_id] = now

    def forget(self, instance_id: str) -> None:
        """Drops the heartbeats of an instance that is no longer registered."""
        self._last_heartbeat_at.pop(instance_id, None)
        self._sequences.pop(instance_id, None)

    def check_expired(self, registered: Iterable[str], now: float) -> list[str]:
        """Returns the registered instances without a heartbeat for the full time-out; records the time of this check.

        Has to be called at intervals below `MAX_CHECK_GAP_S`. If most instances seem expired at once, a fault of this
        process or its network is more likely than one of every server: they expire after `MASS_EXPIRY_TIMEOUTS`
        time-outs.
        """
        gap = now - self._checked_at
        self._checked_at = now
        if self._started_at is None:
            return []
        if gap > MAX_CHECK_GAP_S:
            self._started_at = now
        ages = {each: now - max(self._last_heartbeat_at.get(each, 0.0), self._started_at) for each in registered}
        expired = [each for each, age in ages.items() if age > self._timeout_s]
        if len(expired) >= MASS_EXPIRY_MIN_INSTANCES and len(expired) > MASS_EXPIRY_FRACTION * len(ages):
            return [each for each in expired if ages[each] > MASS_EXPIRY_TIMEOUTS * self._timeout_s]
        return expired
