"""Spreads the leaders of the groups over their voters."""

from __future__ import annotations

from .local_groups import LocalGroups

MIN_STABLE_S = 5.0  # a voter in contact for this long may be made leader of the groups that it should lead
TRANSFER_INTERVAL_S = 1.0


class LeaderBalancer:
    """Transfers groups led here to the voters that should lead them: group n to voter n modulo their number."""

    def __init__(self, local_groups: LocalGroups, now: float) -> None:
        self._local_groups = local_groups
        self._next_transfer_at = now

    def tick(self, now: float) -> None:
        """Transfers one group at most every TRANSFER_INTERVAL_S."""
        if now >= self._next_transfer_at:
            self._next_transfer_at = now + TRANSFER_INTERVAL_S
            self._transfer_one(now)

    def _transfer_one(self, now: float) -> None:
        """Transfers one group to the voter that should lead it, if that voter has been stable for MIN_STABLE_S."""
        for replica in self._local_groups.replicas.values():
            state = replica.state
            voters = state.configuration.voters
            if not replica.is_leader or state.is_preferred_leader or state.configuration.is_joint or not voters:
                continue
            progress = replica.replication.progress.get(voters[state.group % len(voters)].id)
            if progress is None or not progress.eligible:
                continue
            stable_since = max(state.leader_since or now, progress.stable_since)
            if now - stable_since > MIN_STABLE_S and progress.match_index >= state.commit_index:
                replica.transfer_leadership(now, progress.member.id)
                return
