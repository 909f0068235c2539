"""When the owner of a shard last heard of each instance, and which of them it may take for dead. Pure: time is an
argument, in seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable

TIMEOUT_HEARTBEATS = 3.5
TIMEOUT_SLACK_S = 1.0
MAX_CHECK_GAP_S = 1.0  # a watcher that was itself away for longer begins anew
MASS_EXPIRY_FRACTION = 0.5  # more than this share silent at once points to the watcher, or to its links
MASS_EXPIRY_MIN_INSTANCES = 3
MASS_EXPIRY_TIMEOUTS = 2.0


def heartbeat_timeout_s(heartbeat_s: float) -> float:
    """How long an instance may be silent."""
    return TIMEOUT_HEARTBEATS * heartbeat_s + TIMEOUT_SLACK_S


class HeartbeatMonitor:
    """The last report of each instance of one shard, kept while this process owns the shard."""

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._listening_since: float | None = None
        self._checked_at = 0.0
        self._heard_at: dict[str, float] = {}
        self._sequences: dict[str, int] = {}

    def begin(self, now: float) -> None:
        """This process has become the owner: everyone gets the whole time-out."""
        self._listening_since = self._checked_at = now
        self._heard_at.clear()
        self._sequences.clear()

    def end(self) -> None:
        """This process is the owner no more."""
        self._listening_since = None

    def heard(self, instance_id: str, sequence: int, now: float) -> None:
        """Notes a report, unless it is older than the last."""
        if sequence >= self._sequences.get(instance_id, 0):
            self._sequences[instance_id] = sequence
            self._heard_at[instance_id] = now

    def forget(self, instance_id: str) -> None:
        """The instance is no longer registered."""
        self._heard_at.pop(instance_id, None)
        self._sequences.pop(instance_id, None)

    def expired(self, registered: Iterable[str], now: float) -> list[str]:
        """Instances that were silent for the whole time-out while this process listened."""
        gap, self._checked_at = now - self._checked_at, now
        if self._listening_since is None:
            return []
        if gap > MAX_CHECK_GAP_S:
            self._listening_since = now
        ages = {each: now - max(self._heard_at.get(each, 0.0), self._listening_since) for each in registered}
        silent = [each for each, age in ages.items() if age > self._timeout]
        if len(silent) >= MASS_EXPIRY_MIN_INSTANCES and len(silent) > MASS_EXPIRY_FRACTION * len(ages):
            return [each for each in silent if ages[each] > MASS_EXPIRY_TIMEOUTS * self._timeout]
        return silent
