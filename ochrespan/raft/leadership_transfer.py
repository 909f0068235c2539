"""Planned transfer of leadership: the successor gets the rest of the log, then is told to campaign at once.

Source: Ongaro, "Consensus: Bridging Theory and Practice", section 3.10.
"""

from __future__ import annotations

from .leader import LeaderReplication
from .messages import TimeoutNow
from .state import ReplicaState


class LeadershipTransfer:
    """One attempt at a time. While it is in progress the leader accepts no proposals; it times out by itself."""

    def __init__(self, state: ReplicaState, replication: LeaderReplication) -> None:
        self._state = state
        self._replication = replication
        self.reset()

    @property
    def in_progress(self) -> bool:
        """Whether an attempt was started and has not timed out."""
        return self._state.now < self._deadline

    @property
    def is_successor_notified(self) -> bool:
        """Whether the successor was told to campaign: it may lead from now on, whatever this leader hears."""
        return self.in_progress and self._timeout_now_sent

    @property
    def was_attempted(self) -> bool:
        """Whether an attempt was made in this term, and not cleared."""
        return self._target != 0

    def reset(self) -> None:
        """A new term: whatever was attempted is over."""
        self._target = 0
        self._deadline = float("-inf")
        self._timeout_now_sent = False

    def clear_attempt(self) -> None:
        """The reason for a transfer is gone; one that is in progress goes on."""
        if not self.in_progress:
            self._target = 0

    def start(self, target: int = 0) -> None:
        """Begins an attempt, unless one is in progress.

        Args:
            target: Replica id of the successor. Where it is 0 or not eligible, the eligible voter with the highest
                match index among those heard from lately is chosen; without one nothing happens.
        """
        if self.in_progress:
            return
        eligible = [voter for voter, progress in self._replication.voters_by_match_index() if progress.eligible]
        self._target = target if target in eligible else next(iter(eligible), 0)
        self._timeout_now_sent = False
        if self._target:
            self._deadline = self._state.now + self._state.timing.leadership_transfer_s
            self.advance()

    def advance(self) -> None:
        """Tells the successor to campaign once it has the complete log."""
        progress = self._replication.progress.get(self._target)
        if not self.in_progress or self._timeout_now_sent or not progress:
            return
        if progress.match_index >= self._state.log.last_index:
            self._timeout_now_sent = True
            self._state.send(self._target, TimeoutNow(self._state.term))
