"""Checks of a simulated run's history. Each raises `Violation` at the first event that breaks it."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ochrespan.control_plane.replication.groups import LEASE_DURATION_S
from ochrespan.raft.state import Role

if TYPE_CHECKING:
    from .node import Node
    from .world import World


class Violation(AssertionError):
    """A rule of the core is broken; `rule` names it."""

    def __init__(self, rule: str, told: str) -> None:
        super().__init__(f"{rule}: {told}")
        self.rule = rule


class Read:
    """A confirmed read: it has to hold all that was acknowledged before it began."""

    def __init__(self, checks: Checks, shard: int, node: Node) -> None:
        self._checks, self._shard, self._node, self._life = checks, shard, node, node.life
        self._owed = list(checks.acked[shard])

    def answered(self, now: float, commands: list[str]) -> None:
        missing = set(self._owed) - set(commands)
        if missing:
            raise Violation("stale read", f"at {now:.3f} shard {self._shard} lacks {sorted(missing)[:3]}")
        self._checks.reads += 1


class Checks:
    def __init__(self, world: World) -> None:
        self._world = world
        self.acked: dict[int, list[str]] = defaultdict(list)
        self.reads = 0
        self._newest_led: dict[int, int] = {}  # by shard, the newest term whose leader could answer
        self._leaders: dict[tuple[int, int], int] = {}
        self._entries: dict[tuple[int, int], bytes] = {}
        self._votes: dict[tuple[int, int, int], int] = {}
        self._applied: dict[tuple[str, int, int], int] = {}
        self._entry_applied: dict[tuple[str, int, int], int] = {}
        self._ids: dict[int, tuple] = {}  # replica id: the disk that it was drawn with
        self._clusters: dict[int, int] = {}  # by shard, the cluster that has acknowledged orders

    def started(self, node: Node) -> None:
        """An id belongs to one disk for good."""
        replica_id = node.table.id
        disk = (node.address, id(node.disk))
        if self._ids.setdefault(replica_id, disk) != disk:
            raise Violation("an id with two disks", f"{replica_id} at {node.address[0]}")

    def acknowledged(self, node: Node, shard: int, command: str) -> None:
        """One fleet answers the operators, whomever they ask."""
        cluster = node.table.bootstrap.identity.cluster_id
        if self._clusters.setdefault(shard, cluster) != cluster:
            raise Violation("two clusters", f"{node.address[0]} acknowledges {command} beside another fleet")
        self.acked[shard].append(command)

    def committed(self, node: Node, shard: int, index: int, digest: bytes) -> None:
        if self._entries.setdefault((shard, index), digest) != digest:
            raise Violation("two histories", f"shard {shard} index {index} at {node.address[0]}")
        key = (node.address[0], node.life, shard)
        if index <= self._entry_applied.get(key, 0):
            raise Violation("version going back", f"{key} from {self._entry_applied[key]} to {index}")
        self._entry_applied[key] = index

    def observe(self, node: Node) -> None:
        """After each step of a process."""
        for shard, replica in node.table.replicas.items():
            core = replica.core
            key = (node.address[0], node.life, shard)
            if core.applied_index < self._applied.get(key, 0):
                raise Violation("version going back", f"{key} from {self._applied[key]} to {core.applied_index}")
            self._applied[key] = core.applied_index
            if core.role is Role.LEADER:
                self._leads(node, shard, core.term)
            if replica.is_leader:
                self._holds_all_acked(node, shard)
                self._owns(node, shard)

    def _owns(self, node: Node, shard: int) -> None:
        """What is answered by the lease, without a round of messages, has one author at a time."""
        replica = node.table.replicas[shard]
        newest = self._newest_led[shard] = max(self._newest_led.get(shard, 0), replica.core.term)
        if replica.core.term < newest and replica.lease_age_s(self._world.now) <= LEASE_DURATION_S:
            raise Violation("two owners", f"{node.address[0]} in term {replica.core.term} of {newest}, shard {shard}")

    def vote(self, replica_id: int, address: str, shard: int, term: int, candidate: int) -> None:
        """An id votes once in a term; that it has one disk is checked when a process starts."""
        if self._votes.setdefault((shard, term, replica_id), candidate) != candidate:
            raise Violation("two votes of one term", f"{address} in term {term} of shard {shard}")

    def at_the_end(self, nodes: list[Node]) -> None:
        for shard, acked in self.acked.items():
            for node in nodes:
                missing = set(acked) - set(node.machines[shard].commands)
                if missing:
                    raise Violation("lost order", f"{node.address[0]} shard {shard} lacks {sorted(missing)[:3]}")

    def _leads(self, node: Node, shard: int, term: int) -> None:
        if self._leaders.setdefault((shard, term), node.table.id) != node.table.id:
            raise Violation("two leaders of one term", f"term {term} of shard {shard}, {node.address[0]}")

    def _holds_all_acked(self, node: Node, shard: int) -> None:
        """Cheap form: the commands a current leader has applied are no fewer than those acknowledged by it before."""
        replica = node.table.replicas[shard]
        newest_term = max(term for group, term in self._leaders if group == shard)
        if replica.core.term < newest_term:
            return
        lacking = len(self.acked[shard]) - len(node.machines[shard].commands)
        if lacking > 0:
            raise Violation("lost order", f"leader {node.address[0]} of shard {shard} lacks {lacking}")
