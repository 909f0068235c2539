"""Planned hand-over of leadership: the successor gets the rest of the log, then is told to campaign at once."""

from __future__ import annotations

from .leader import LeaderReplication
from .messages import TimeoutNow
from .state import ReplicaState


class LeadershipTransfer:
    """One attempt at a time. While it is under way the leader takes no proposals; it ends after a while by itself."""

    def __init__(self, state: ReplicaState, replication: LeaderReplication) -> None:
        self._state, self._replication = state, replication
        self.reset()

    @property
    def under_way(self) -> bool:
        return self._state.now < self._until

    @property
    def is_given_away(self) -> bool:
        """The successor was told to campaign."""
        return self.under_way and self._told

    @property
    def tried(self) -> bool:
        """An attempt was made in this term, and not forgotten."""
        return self._target != 0

    def reset(self) -> None:
        self._target, self._until, self._told = 0, float("-inf"), False

    def forget(self) -> None:
        """The reason to hand over is gone."""
        if not self.under_way:
            self._target = 0

    def begin(self, target: int = 0) -> None:
        """Chooses `target`, or the voter that has most of the log, among those that are heard and willing."""
        if self.under_way:
            return
        eligible = [voter for voter, progress in self._replication.voters_by_match() if progress.eligible]
        self._target = target if target in eligible else next(iter(eligible), 0)
        self._told = False
        if self._target:
            self._until = self._state.now + self._state.timing.leadership_transfer_s
            self.drive()

    def drive(self) -> None:
        """Tells the successor to campaign once it has the whole log."""
        progress = self._replication.progress.get(self._target)
        if self.under_way and not self._told and progress and progress.match_index >= self._state.log.last_index:
            self._told = True
            self._state.send(self._target, TimeoutNow(self._state.term))
