"""Fakes of the replica groups: they commit commands in memory at once, or lose them if the test requests it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from ochrespan.common.addresses import Address
from ochrespan.control_plane.replication.errors import NotLeaderError, OutcomeUnknownError
from ochrespan.control_plane.replication.state_machine import StateMachine
from ochrespan.control_plane.shards import ALL_SHARDS
from ochrespan.transport.rpc import RpcServer


class SharedLog:
    """The logs of all shards, shared by all members."""

    def __init__(self) -> None:
        self.commands: dict[int, list[bytes]] = {shard: [] for shard in ALL_SHARDS}
        self.leaders: dict[int, Address | None] = dict.fromkeys(ALL_SHARDS)
        self.members: dict[Address, InMemoryGroups] = {}


class InMemoryGroups:
    """A member of every group; a command is committed as soon as it is proposed to the leader.

    `lose_commands` and `lose_results_after_commit` count the next proposals that fail with OutcomeUnknownError, before
    or after the command is committed.
    """

    def __init__(self, machines: dict[int, StateMachine], log: SharedLog | None = None) -> None:
        self.machines = machines
        self.log = log or SharedLog()
        self.applied: dict[int, int] = dict.fromkeys(ALL_SHARDS, 0)
        self.quorum_ages: dict[int, float] = dict.fromkeys(ALL_SHARDS, 0.0)
        self.on_applied: list[Callable[[int, int, bytes, Any], None]] = []
        self.on_restored: list[Callable[[int], None]] = []
        self.on_leadership_changed: list[Callable[[int, bool], None]] = []
        self.lose_results_after_commit = 0
        self.declined_for_s = 0.0
        self.cluster_number = 0
        self.tolerated: int | None = 1
        self.missing: list[Address] = []
        self.lose_commands = 0
        self.call_server = RpcServer(("127.0.0.1", 0))
        self.call_server.start()
        self.log.members[self.call_server.address] = self

    def cluster(self) -> int:
        return self.cluster_number

    def missing_initial_members(self) -> list[Address]:
        return self.missing

    def proceed_without_missing(self) -> None:
        self.missing = []

    def failures_tolerated(self, shard: int) -> int | None:
        return self.tolerated if self.is_leader(shard) else None

    @property
    def address(self) -> Address:
        return self.call_server.address

    def lead(self, *shards: int) -> None:
        """Makes this member the leader of the given shards, or of all shards."""
        for shard in shards or ALL_SHARDS:
            before = self.log.leaders[shard]
            self.log.leaders[shard] = self.address
            if before is not None:
                self.log.members[before].notify_leadership(shard, False)
            self.notify_leadership(shard, True)

    def notify_leadership(self, shard: int, is_leader: bool) -> None:
        for callback in self.on_leadership_changed:
            callback(shard, is_leader)

    def propose(self, shard: int, command: bytes, timeout: float) -> Any:
        gevent.sleep(0)
        if not self.is_leader(shard):
            raise NotLeaderError(self.leader(shard))
        if self.lose_commands:
            self.lose_commands -= 1
            raise OutcomeUnknownError("lost before it was appended")
        self.log.commands[shard].append(command)
        for member in self.log.members.values():
            if member is not self:
                member.catch_up(shard)
        result = self.catch_up(shard)
        if self.lose_results_after_commit:
            self.lose_results_after_commit -= 1
            raise OutcomeUnknownError("committed, but the response was lost")
        return result

    def catch_up(self, shard: int) -> Any:
        """Applies the commands that this member has not applied yet, and returns the result of the last one."""
        result = None
        for command in self.log.commands[shard][self.applied[shard] :]:
            self.applied[shard] += 1
            result = self.machines[shard].apply(self.applied[shard], command)
            for callback in self.on_applied:
                callback(shard, self.applied[shard], command, result)
        return result

    def read_barrier(self, shard: int, timeout: float) -> None:
        if not self.is_leader(shard):
            raise NotLeaderError(self.leader(shard))

    def leader(self, shard: int) -> Address | None:
        return self.log.leaders[shard]

    def is_leader(self, shard: int) -> bool:
        return self.log.leaders[shard] == self.address

    def seconds_since_quorum(self, shard: int) -> float:
        return self.quorum_ages[shard]

    def lease_age_s(self, shard: int) -> float:
        return self.quorum_ages[shard] if self.is_leader(shard) else float("inf")

    def applied_index(self, shard: int) -> int:
        return self.applied[shard]

    def voters(self, shard: int) -> set[Address]:
        return set(self.log.members)

    def decline_leadership(self, duration_s: float) -> None:
        self.declined_for_s = duration_s
        others = [address for address in self.log.members if address != self.address]
        if duration_s and others:
            led = [shard for shard in ALL_SHARDS if self.is_leader(shard)]
            if led:
                self.log.members[others[0]].lead(*led)

    def declines_leadership_for(self) -> float:
        return self.declined_for_s

    def stop(self) -> None:
        self.call_server.stop()
