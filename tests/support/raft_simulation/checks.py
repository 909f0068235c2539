"""Checks of a simulated run's history. Each raises `Violation` at the first event that breaks it."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ochrespan.control_plane.replication.groups import LEASE_DURATION_S
from ochrespan.raft.state import Role

if TYPE_CHECKING:
    from .node import Node
    from .world import World


class Violation(AssertionError):  # noqa: N818 - the model checkers' term for a broken rule
    """A run has broken a rule of the core; `rule` names it."""

    def __init__(self, rule: str, details: str) -> None:
        super().__init__(f"{rule}: {details}")
        self.rule = rule


class Read:
    """A linearizable read: it must see every command that was acknowledged before it began."""

    def __init__(self, checks: Checks, shard: int) -> None:
        self._checks = checks
        self._shard = shard
        self._expected = list(checks.acked[shard])

    def complete(self, now: float, commands: list[str]) -> None:
        """The read is confirmed and sees `commands`."""
        missing = set(self._expected) - set(commands)
        if missing:
            raise Violation("stale read", f"at {now:.3f} shard {self._shard} lacks {sorted(missing)[:3]}")
        self._checks.reads += 1


class Checks:
    """The history of a run, as far as the rules need it."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.acked: dict[int, list[str]] = defaultdict(list)
        self.reads = 0
        # Terms and indexes are counted per cluster; `acknowledged` checks that only one cluster acknowledges commands
        self._newest_led: dict[tuple[int, int], int] = {}  # by cluster and shard, the newest term of a usable leader
        self._leaders: dict[tuple[int, int, int], int] = {}  # by cluster, shard and term
        self._entries: dict[tuple[int, int, int], bytes] = {}  # by cluster, shard and index
        self._votes: dict[tuple[int, int, int], int] = {}
        self._applied: dict[tuple[str, int, int, int], int] = {}  # by address, incarnation, replica id and shard
        self._entry_applied: dict[tuple[str, int, int, int], int] = {}
        self._ids: dict[int, tuple] = {}  # by replica id, the address and the disk that it was first seen with
        self._clusters: dict[int, int] = {}  # by shard, the cluster that has acknowledged commands

    def started(self, node: Node) -> None:
        """A process has started: its replica id must never have been used with another disk."""
        replica_id = node.multi_raft.id
        disk = (node.address, id(node.disk))
        if self._ids.setdefault(replica_id, disk) != disk:
            raise Violation("an id with two disks", f"{replica_id} at {node.address[0]}")

    def acknowledged(self, node: Node, shard: int, command: str) -> None:
        """A command was acknowledged: only one cluster may acknowledge commands, at whichever machine."""
        cluster = node.multi_raft.bootstrap.identity.cluster_id
        if self._clusters.setdefault(shard, cluster) != cluster:
            raise Violation("two clusters", f"{node.address[0]} acknowledges {command} after another cluster did")
        self.acked[shard].append(command)

    def committed(self, node: Node, shard: int, index: int, digest: bytes) -> None:
        """An entry was committed: it must be the same on all machines, and each machine must apply entries in order."""
        cluster = node.multi_raft.bootstrap.identity.cluster_id
        if self._entries.setdefault((cluster, shard, index), digest) != digest:
            raise Violation("two histories", f"shard {shard} index {index} at {node.address[0]}")
        key = (node.address[0], node.incarnation, node.multi_raft.id, shard)
        if index <= self._entry_applied.get(key, 0):
            raise Violation("version going back", f"{key} from {self._entry_applied[key]} to {index}")
        self._entry_applied[key] = index

    def observe(self, node: Node) -> None:
        """Checks a process after each of its steps."""
        for shard, replica in node.multi_raft.replicas.items():
            state = replica.state
            key = (node.address[0], node.incarnation, node.multi_raft.id, shard)
            if state.applied_index < self._applied.get(key, 0):
                raise Violation("version going back", f"{key} from {self._applied[key]} to {state.applied_index}")
            self._applied[key] = state.applied_index
            if state.role is Role.LEADER:
                self._check_one_leader(node, shard, state.term)
            if replica.is_leader:
                self._check_leader_has_acked_commands(node, shard)
                self._check_one_owner(node, shard)

    def _check_one_owner(self, node: Node, shard: int) -> None:
        """At most one leader at a time has a valid lease, by which it responds without a round of messages."""
        replica = node.multi_raft.replicas[shard]
        key = (node.multi_raft.bootstrap.identity.cluster_id, shard)
        newest = self._newest_led[key] = max(self._newest_led.get(key, 0), replica.state.term)
        if replica.state.term < newest and replica.lease_age_s(self._world.now) <= LEASE_DURATION_S:
            raise Violation("two owners", f"{node.address[0]} in term {replica.state.term} of {newest}, shard {shard}")

    def quota_exceeded(self, tenant: str, tokens: float) -> None:
        """All machines together granted more of a tenant's tokens than its bucket holds."""
        raise Violation("quota granted twice", f"{tokens:.0f} tokens of {tenant} too many at {self._world.now:.3f}")

    def vote(self, replica_id: int, address: str, shard: int, term: int, candidate: int) -> None:
        """A replica id votes for one candidate in a term; `started` checks that the id has only one disk."""
        if self._votes.setdefault((shard, term, replica_id), candidate) != candidate:
            raise Violation("two votes of one term", f"{address} in term {term} of shard {shard}")

    def check_final_state(self, nodes: list[Node]) -> None:
        """At the end of a run, every machine must have applied every acknowledged command."""
        for shard, acked in self.acked.items():
            for node in nodes:
                missing = set(acked) - set(node.machines[shard].commands)
                if missing:
                    raise Violation("lost command", f"{node.address[0]} shard {shard} lacks {sorted(missing)[:3]}")

    def _check_one_leader(self, node: Node, shard: int, term: int) -> None:
        key = (node.multi_raft.bootstrap.identity.cluster_id, shard, term)
        if self._leaders.setdefault(key, node.multi_raft.id) != node.multi_raft.id:
            raise Violation("two leaders of one term", f"term {term} of shard {shard}, {node.address[0]}")

    def _check_leader_has_acked_commands(self, node: Node, shard: int) -> None:
        """The leader of the newest term has applied as many commands as were acknowledged (cheap: only counts)."""
        replica = node.multi_raft.replicas[shard]
        own_cluster = node.multi_raft.bootstrap.identity.cluster_id
        newest_term = max(term for cluster, group, term in self._leaders if (cluster, group) == (own_cluster, shard))
        if replica.state.term < newest_term or own_cluster != self._clusters.get(shard, own_cluster):
            return
        lacking = len(self.acked[shard]) - len(node.machines[shard].commands)
        if lacking > 0:
            raise Violation("lost command", f"leader {node.address[0]} of shard {shard} lacks {lacking}")
