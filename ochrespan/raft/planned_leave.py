"""The planned shutdown of a process: standbys replace its voters, and its leaderships are transferred."""

from __future__ import annotations

from .cluster_messages import LeaveNotice
from .local_groups import LocalGroups
from .state import Role

LEAVE_INTERVAL_S = 0.1
MAX_REPLACEMENT_S = 0.4  # a leader that shuts down waits no longer than this for a standby to become a voter


class PlannedLeave:
    """Repeats the notice of a shutdown that has begun, until the process ends."""

    def __init__(self, local_groups: LocalGroups) -> None:
        self._local_groups = local_groups
        self._next_notice_at = float("inf")
        self._transfer_at = float("inf")

    def tick(self, now: float) -> None:
        """Repeats the notice where one is due."""
        if now >= self._next_notice_at:
            self.send_notices(now)

    def send_notices(self, now: float) -> None:
        """Begins the shutdown, or continues it.

        Where this process leads, a standby becomes a voter before leadership is transferred, as the successor has no
        learners of its own yet. Where another process leads, it gets a notice; that is repeated, as it may be lost or
        the leader may change.
        """
        self._next_notice_at = now + LEAVE_INTERVAL_S
        self._transfer_at = min(self._transfer_at, now + MAX_REPLACEMENT_S)
        own_id = self._local_groups.bootstrap.identity.replica_id
        for replica in self._local_groups.replicas.values():
            leader = replica.leader
            if leader and leader.id != own_id:
                self._local_groups.send(leader.address, leader.id, LeaveNotice())
            elif replica.state.role is Role.LEADER:
                replica.leave(now, own_id)
                if now >= self._transfer_at or not replica.reconfiguration.standbys():
                    replica.transfer_leadership(now)
