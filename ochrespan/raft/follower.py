"""A follower's side of replication: appends, heartbeats and snapshots of the group's leader."""

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
    """Takes what the leader of the current term sends; the caller has checked term and sender."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._chunks = bytearray()
        self._chunks_of: tuple[int, int] = (0, 0)  # term and index of the snapshot that is arriving

    def append(self, leader: int, message: AppendEntries) -> None:
        state, log = self._state, self._state.log
        known_term = log.term_at(message.previous_index)
        if message.previous_index < log.first_index - 1:
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

    def heartbeat(self, leader: int, message: Heartbeat) -> None:
        state = self._state
        state.commit_index = max(state.commit_index, min(message.commit, state.log.last_index))
        state.last_quorum_at = max(state.last_quorum_at, state.now - message.seconds_since_quorum)
        state.send(leader, HeartbeatResponse(state.term, message.stamp, not state.withholding_votes))

    def chunk(self, leader: int, message: InstallSnapshot) -> None:
        state = self._state
        if message.index <= state.commit_index:
            state.send_when_persisted(
                leader, AppendEntriesResponse(state.term, True, state.commit_index, message.stamp)
            )
            return
        if self._chunks_of != (message.term, message.index):
            self._chunks_of, self._chunks = (message.term, message.index), bytearray()
        if message.offset == len(self._chunks):
            self._chunks += message.data
        if len(self._chunks) < message.size:
            state.send(leader, InstallSnapshotResponse(state.term, message.index, len(self._chunks), message.stamp))
            return
        data, self._chunks, self._chunks_of = bytes(self._chunks), bytearray(), (0, 0)
        configuration = MembershipConfig.from_bytes(message.configuration)
        state.install(Snapshot(message.index, message.index_term, configuration, data))
        state.send_when_persisted(leader, AppendEntriesResponse(state.term, True, message.index, message.stamp))

    def _retry_index(self, message: AppendEntries) -> int:
        """Where the leader should try next: behind our end, or at the start of the term that differs."""
        log = self._state.log
        if message.previous_index > log.last_index:
            return log.last_index + 1
        conflicting, index = log.term_at(message.previous_index), message.previous_index
        while index > self._state.commit_index + 1 and log.term_at(index - 1) == conflicting:
            index -= 1
        return index
