"""A follower's side of replication: entries, heartbeats and snapshots of the group's leader."""

from __future__ import annotations

from .log import Snapshot
from .membership_config import MembershipConfig
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    Heartbeat,
    HeartbeatResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from .state import ReplicaState


class Follower:
    """Handles the messages of the current term's leader; the caller has checked term and sender."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._received = bytearray()  # contiguous chunks of the snapshot in transfer
        self._snapshot_key: tuple[int, int] = (0, 0)  # term and index of the snapshot that is being received

    def receive_entries(self, leader: int, message: AppendEntries) -> None:
        """Appends entries that continue this log; otherwise responds with the index that the leader should try next."""
        state = self._state
        log = state.log
        known_term = log.term_at(message.previous_index)
        if message.previous_index < log.first_index - 1:
            # Compacted here, so committed: the leader may continue after the commit index.
            state.send_when_persisted(
                leader, AppendEntriesResponse(state.term, True, state.commit_index, message.stamp)
            )
            return
        if known_term != message.previous_term:
            state.send(leader, AppendEntriesResponse(state.term, False, self._retry_index(message), message.stamp))
            return
        log.merge(message.previous_index, message.entries)
        last = message.previous_index + len(message.entries)
        state.commit_index = max(state.commit_index, min(message.commit, last))
        state.send_when_persisted(leader, AppendEntriesResponse(state.term, True, last, message.stamp))

    def receive_heartbeat(self, leader: int, message: Heartbeat) -> None:
        """Advances the commit index, which the leader has bounded by this follower's match index."""
        state = self._state
        state.commit_index = max(state.commit_index, min(message.commit, state.log.last_index))
        state.last_quorum_at = max(state.last_quorum_at, state.now - message.seconds_since_quorum)
        state.send(leader, HeartbeatResponse(state.term, message.stamp, not state.withholding_votes))

    def receive_snapshot_chunk(self, leader: int, message: InstallSnapshot) -> None:
        """Collects a snapshot's chunks and installs it when it is complete.

        A chunk after a gap is dropped; the response has the offset from which the leader has to resend. The snapshot
        is acknowledged as entries are, once it is persisted.
        """
        state = self._state
        if message.index <= state.commit_index:
            state.send_when_persisted(
                leader, AppendEntriesResponse(state.term, True, state.commit_index, message.stamp)
            )
            return
        if self._snapshot_key != (message.term, message.index):
            self._snapshot_key = (message.term, message.index)
            self._received = bytearray()
        if message.offset == len(self._received):
            self._received += message.data
        if len(self._received) < message.size:
            state.send(leader, InstallSnapshotResponse(state.term, message.index, len(self._received), message.stamp))
            return
        data = bytes(self._received)
        self._received = bytearray()
        self._snapshot_key = (0, 0)
        configuration = MembershipConfig.from_bytes(message.configuration)
        state.install(Snapshot(message.index, message.index_term, configuration, data))
        state.send_when_persisted(leader, AppendEntriesResponse(state.term, True, message.index, message.stamp))

    def _retry_index(self, message: AppendEntries) -> int:
        """The index to try next: after the end of this log, or where the conflicting term begins in it."""
        log = self._state.log
        if message.previous_index > log.last_index:
            return log.last_index + 1
        index = message.previous_index
        conflicting_term = log.term_at(index)
        while index > self._state.commit_index + 1 and log.term_at(index - 1) == conflicting_term:
            index -= 1
        return index
