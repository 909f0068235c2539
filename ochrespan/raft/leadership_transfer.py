"""Planned transfer of leadership: the successor gets the rest of the log, then `TimeoutNow`, and campaigns at once.

TimeoutNow may be delayed without limit, and the election that it starts ignores the lease of the leader that sent it.
That election is always for the term after the leader's. So a leader that has sent TimeoutNow never leads in its term
again: where the successor does not take over in time, it campaigns in the next term itself, in which the message has no
effect.

Source: Ongaro, "Consensus: Bridging Theory and Practice", section 3.10.
"""

from __future__ import annotations

from .leader import LeaderReplication
from .messages import TimeoutNow
from .state import ReplicaState


class LeadershipTransfer:
    """One attempt at a time. While it is in progress the leader accepts no proposals.

    An attempt that has not sent TimeoutNow yet times out, and leadership continues. One that has sent it ends with the
    leader's term.
    """

    def __init__(self, state: ReplicaState, replication: LeaderReplication) -> None:
        self._state = state
        self._replication = replication
        self.reset()

    @property
    def in_progress(self) -> bool:
        """Whether an attempt was started and has neither timed out nor been ended by a new term."""
        return self._timeout_now_sent or self._state.now < self._deadline

    @property
    def is_successor_notified(self) -> bool:
        """Whether TimeoutNow was sent: the successor may lead from then on, whatever messages this leader receives."""
        return self._timeout_now_sent

    @property
    def has_successor_failed(self) -> bool:
        """Whether TimeoutNow was sent and the successor has not taken over in time."""
        return self._timeout_now_sent and self._state.now >= self._deadline

    @property
    def was_attempted(self) -> bool:
        """Whether an attempt was made in this term, and not cleared."""
        return self._target != 0

    def reset(self) -> None:
        """Ends any attempt, since a new term has begun."""
        self._target = 0
        self._deadline = float("-inf")
        self._timeout_now_sent = False

    def clear_attempt(self) -> None:
        """Clears a past attempt, since there is no reason for a transfer any more; one in progress continues."""
        if not self.in_progress:
            self._target = 0

    def start(self, target: int = 0) -> None:
        """Begins an attempt, unless one is in progress.

        Args:
            target: Replica id of the successor. Where it is 0 or not eligible, the eligible voter with the highest
                match index among those in contact lately is chosen; without one nothing happens.
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
        """Sends TimeoutNow to the successor once it has the complete log."""
        progress = self._replication.progress.get(self._target)
        if not self.in_progress or self._timeout_now_sent or not progress:
            return
        if progress.match_index >= self._state.log.last_index:
            self._timeout_now_sent = True
            self._state.send(self._target, TimeoutNow(self._state.term))
