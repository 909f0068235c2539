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

    def __init__(self, core: ReplicaState) -> None:
        self._core = core
        self._chunks = bytearray()
        self._chunks_of: tuple[int, int] = (0, 0)  # term and index of the snapshot that is arriving

    def append(self, leader: int, message: AppendEntries) -> None:
        core, log = self._core, self._core.log
        known_term = log.term_at(message.previous_index)
        if message.previous_index < log.first_index - 1:
            core.send_when_durable(leader, AppendEntriesResponse(core.term, True, core.commit_index, message.stamp))
            return
        if known_term != message.previous_term:
            core.send(leader, AppendEntriesResponse(core.term, False, self._retry_index(message), message.stamp))
            return
        log.merge(message.previous_index, message.entries)
        last = message.previous_index + len(message.entries)
        core.commit_index = max(core.commit_index, min(message.commit, last))
        core.send_when_durable(leader, AppendEntriesResponse(core.term, True, last, message.stamp))

    def heartbeat(self, leader: int, message: Heartbeat) -> None:
        core = self._core
        core.commit_index = max(core.commit_index, min(message.commit, core.log.last_index))
        core.last_quorum_at = max(core.last_quorum_at, core.now - message.seconds_since_quorum)
        core.send(leader, HeartbeatResponse(core.term, message.stamp, not core.withholding_votes))

    def chunk(self, leader: int, message: InstallSnapshot) -> None:
        core = self._core
        if message.index <= core.commit_index:
            core.send_when_durable(leader, AppendEntriesResponse(core.term, True, core.commit_index, message.stamp))
            return
        if self._chunks_of != (message.term, message.index):
            self._chunks_of, self._chunks = (message.term, message.index), bytearray()
        if message.offset == len(self._chunks):
            self._chunks += message.data
        if len(self._chunks) < message.size:
            core.send(leader, InstallSnapshotResponse(core.term, message.index, len(self._chunks), message.stamp))
            return
        data, self._chunks, self._chunks_of = bytes(self._chunks), bytearray(), (0, 0)
        configuration = MembershipConfig.from_bytes(message.configuration)
        core.install(Snapshot(message.index, message.index_term, configuration, data))
        core.send_when_durable(leader, AppendEntriesResponse(core.term, True, message.index, message.stamp))

    def _retry_index(self, message: AppendEntries) -> int:
        """Where the leader should try next: behind our end, or at the start of the term that differs."""
        log = self._core.log
        if message.previous_index > log.last_index:
            return log.last_index + 1
        conflicting, index = log.term_at(message.previous_index), message.previous_index
        while index > self._core.commit_index + 1 and log.term_at(index - 1) == conflicting:
            index -= 1
        return index
