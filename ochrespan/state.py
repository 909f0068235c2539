"""What a head remembers: plain records for `policy/`. No choice and no tuned value is kept here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from . import interface as api
from .recent import Recent
from .share import Share


@dataclass(slots=True)
class TokenBucket:
    """A token bucket."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> float:
        self.tokens = min(self.burst, self.tokens + self.rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.tokens

    def resize(self, rate: float, burst: float, now: float) -> None:
        """From now on; what has come in until now came at the old rate, or at this one if there was none."""
        if self.rate and rate != self.rate:
            self.refill(now)
        self.rate, self.burst = rate, burst


@dataclass(slots=True, eq=False)
class Volume:
    plan: api.Plan
    reserve: TokenBucket  # this head's part of the volume's reserve; its flows share it
    limit: TokenBucket | None  # likewise of its limit


@dataclass(slots=True, eq=False)
class Flow(Share):
    """A volume in one class."""

    volume: Volume
    weight: float


@dataclass(slots=True, eq=False)
class Job:
    """A request in our hands."""

    req: api.Request
    cls: api.RequestClass
    flow: Flow
    accepted_at: float
    target_at: float
    answer_by: float = inf
    promoted: bool = False
    done: bool = False
    attempts: int = 0
    in_flight: dict[int, float] = field(default_factory=dict)  # attempt -> sent at
    first_possible_execution: tuple[str, int, float] | None = (
        None  # zone, shard, sent at of the first attempt that may have run
    )


Queues = dict[Flow, deque[Job]]


@dataclass(slots=True, eq=False)
class ShardQueues:
    """What is held for one shard: its flow queues and its part of the scheduler queue."""

    waiting: Queues = field(default_factory=dict)
    ready: Queues = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Node:
    entry: api.NodeEntry
    usable: bool = True
    window: float = 0.0
    in_flight: int = 0  # attempts
    unit_time: dict[str, float] = field(default_factory=dict)  # by class: about the least latency of a unit's work
    queue_wait: float = 0.0  # in its queue, smoothed, as of seen_at
    queue_wait_at: float = 0.0
    last_answered_sent_at: float = 0.0  # when the latest attempt was sent that it answered
    failures: float = 0.0  # in a row, each sent after the last was known
    failed_at: float = 0.0
    debt_units: float = 0.0  # while cold: units of the last send, as far as they are not paid for by waiting
    debt_at: float = 0.0  # up to when they are
    sent_units: Recent = field(default_factory=Recent)  # units


class KeyQueues(dict[str, deque[Job]]):
    """Requests by key; those of one key follow each other in turn of arrival."""

    def enqueue(self, job: Job) -> bool:
        """Whether it is this request's turn at once."""
        queue = self.setdefault(job.req.key, deque())
        queue.append(job)
        return len(queue) == 1

    def release(self, key: str) -> list[Job]:
        """Drops what is over; returns the requests whose turn has come by that."""
        queue, unblocked = self.get(key), []
        while queue and queue[0].done and not queue[0].in_flight:
            queue.popleft()
            unblocked.extend(list(queue)[:1])
        if not queue:
            self.pop(key, None)
        return unblocked


@dataclass(slots=True, eq=False)
class NodeTable:
    """The nodes that were told of, and the usable ones by shard; a change costs no more than what it touches."""

    nodes: dict[str, Node] = field(default_factory=dict)
    by_shard: dict[int, list[Node]] = field(default_factory=dict)  # the usable ones
    unusable: dict[str, None] = field(default_factory=dict)  # nodes that are not usable
    usable_cache: list[Node] | None = None  # all usable ones; None: to be looked up

    def update(self, node_list: api.NodeList, new_node: Callable[[api.NodeEntry, Node | None], Node]) -> list[int]:
        """Takes a list in; `new_node` makes the record of a node's new life. Returns the shards it touches."""
        changed_shards: dict[int, list[Node]] = {}
        if node_list.kind is not api.ListKind.DELTA:
            for node in self.nodes.values():
                node.usable = False  # what a complete list does not name is gone
            changed_shards = {shard: [] for shard in self.by_shard}
            self.unusable.update(dict.fromkeys(self.nodes))
        for entry in node_list.entries:
            node = self.nodes.get(entry.id)
            if node is not None:
                changed_shards.setdefault(node.entry.shard, [])
            if node is None or entry.started_at != node.entry.started_at:
                node = self.nodes[entry.id] = new_node(entry, node)
            node.entry, node.usable = entry, entry.state is api.NodeState.READY
            changed_shards.setdefault(entry.shard, []).append(node)
            self.unusable.update({} if node.usable else {entry.id: None})
        for shard, added in changed_shards.items():
            listed = [n for n in self.by_shard.pop(shard, ()) if self.nodes.get(n.entry.id) is n]
            if usable_nodes := [n for n in dict.fromkeys(listed + added) if n.usable and n.entry.shard == shard]:
                self.by_shard[shard] = usable_nodes
        self.usable_cache = None
        return list(changed_shards)

    def usable(self) -> list[Node]:
        if self.usable_cache is None:
            self.usable_cache = [node for node in self.nodes.values() if node.usable]
        return self.usable_cache

    def forget_gone(self) -> None:
        """Drops the nodes that are not usable and have nothing out."""
        for name in [name for name in self.unusable if self.nodes[name].usable or not self.nodes[name].in_flight]:
            del self.unusable[name]
            if not self.nodes[name].usable:
                del self.nodes[name]
