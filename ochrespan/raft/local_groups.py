"""The replicas of a process and its identity: the state that the protocols between processes share."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ochrespan.common.addresses import Address

from .bootstrap import Bootstrap
from .membership_config import Member
from .replica import Replica
from .state import PersistentState, ReplicaSettings, Timing


class LocalGroups:
    """One replica of each group, the identity they share, and the messages for other processes."""

    def __init__(
        self,
        bootstrap: Bootstrap,
        durable: dict[int, PersistentState],
        random_source: random.Random,
        timing: Timing,
        now: float,
    ) -> None:
        self.bootstrap = bootstrap
        self.timing = timing
        self.outbox: list[tuple[Address, int, Any]] = []  # address, replica id (0: unknown), message
        # Whether the leader of a group may accept commands, given which initial members have joined (see `opening`)
        self.may_accept_commands: Callable[[Replica], bool] = lambda _replica: True
        self._random = random_source
        self.replicas = {group: self._create_replica(group, state, now) for group, state in durable.items()}

    @property
    def has_no_entries(self) -> bool:
        """Whether no log has an entry, so that no acknowledged command can be on this disk only."""
        return all(not replica.state.log.last_index for replica in self.replicas.values())

    @property
    def has_commands(self) -> bool:
        """Whether a log has, or had, a command with content: the cluster has been opened for commands."""
        return any(replica.state.log.has_commands for replica in self.replicas.values())

    @property
    def has_acknowledged_nothing(self) -> bool:
        """Whether this cluster cannot have acknowledged a command: the groups here have neither marker nor command."""
        return all(
            replica.state.log.marker_index is None and not replica.state.log.has_commands
            for replica in self.replicas.values()
        )

    @property
    def has_voted(self) -> bool:
        """Whether a replica has entered a term, so that it may have voted."""
        return any(replica.state.term for replica in self.replicas.values())

    @property
    def has_commits(self) -> bool:
        """Whether a group is known to have committed entries."""
        return any(replica.state.commit_index for replica in self.replicas.values())

    def members(self) -> list[Member]:
        """The voters of all groups; one appears once for each group."""
        return [
            member for replica in self.replicas.values() for member in replica.state.configuration.members().values()
        ]

    def send(self, address: Address, to: int, message: Any) -> None:
        """Queues a message for another process; `to` is its replica id, 0 if unknown."""
        if address != self.bootstrap.settings.address:
            self.outbox.append((address, to, message))

    def abandon_bootstrap(self, now: float) -> None:
        """Leaves a cluster that has acknowledged no command: continues with empty replicas under a new id."""
        self.bootstrap.abandon()
        for group in self.replicas:
            self.replicas[group] = self._create_replica(group, PersistentState(), now)

    def _create_replica(self, group: int, durable: PersistentState, now: float) -> Replica:
        min_voters = 2 * self.bootstrap.settings.fault_tolerance + 1
        replica_id = self.bootstrap.identity.replica_id
        replica = Replica(ReplicaSettings(group, replica_id, min_voters, self.timing), durable, self._random, now)
        replica.may_accept_commands = lambda: self.may_accept_commands(replica)
        return replica
