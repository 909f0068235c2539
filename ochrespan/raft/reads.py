"""Confirmed reads: a leader serves a read once a majority has confirmed its leadership since the read began.

Source: Ongaro, "Consensus: Bridging Theory and Practice", section 6.4 (ReadIndex).
"""

from __future__ import annotations

from typing import Any, NamedTuple

from .leader import LeaderReplication
from .state import ReplicaState

# Minimum interval before reads start another round of heartbeats while the last one is not confirmed.
READ_HEARTBEAT_INTERVAL_S = 0.02


class PendingRead(NamedTuple):
    """A read that waits for its confirmation."""

    stamp: float  # of the leader's clock when the read began: a majority has to repeat this one or a later one
    commit_index: int  # of the leader when the read began; has to be applied
    token: Any  # identifies the read to the caller


class ConfirmedReads:
    """The reads of one leader that wait for a majority, in the order in which they began."""

    def __init__(self, state: ReplicaState, replication: LeaderReplication) -> None:
        self._state = state
        self._replication = replication
        self._pending_reads: list[PendingRead] = []

    def add(self, token: Any) -> None:
        """Begins a read; the caller has checked that this replica leads."""
        self._pending_reads.append(PendingRead(self._state.stamp(), self._state.commit_index, token))

    def take_all(self) -> list[Any]:
        """Tokens of all pending reads: leadership has ended, so they will not be confirmed here."""
        tokens = [read.token for read in self._pending_reads]
        self._pending_reads = []
        return tokens

    def take_confirmed(self) -> list[Any]:
        """Tokens of reads that a majority has confirmed and whose state is applied."""
        if not self._pending_reads:
            return []
        confirmed_stamp = self._replication.quorum_stamp()
        applied_index = self._state.applied_index
        ready: list[Any] = []
        pending: list[PendingRead] = []
        for read in self._pending_reads:
            if read.stamp <= confirmed_stamp and read.commit_index <= applied_index:
                ready.append(read.token)
            else:
                pending.append(read)
        self._pending_reads = pending
        return ready

    def request_confirmation(self) -> None:
        """Sends a round of heartbeats if the newest read is not covered by the last one."""
        replication = self._replication
        if not self._pending_reads or self._pending_reads[-1].stamp <= replication.last_broadcast_stamp:
            return
        is_confirmed = replication.quorum_stamp() >= replication.last_broadcast_stamp
        waited_s = self._state.now - replication.last_broadcast_stamp
        if is_confirmed or waited_s > READ_HEARTBEAT_INTERVAL_S:
            replication.broadcast_heartbeat()
