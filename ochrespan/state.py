"""Records of a front's scheduling state, for `policy/`. They hold no decisions and no tuned constants."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from . import interface as api
from .flow_state import FlowState
from .sliding_sum import SlidingSum


@dataclass(slots=True)
class TokenBucket:
    """A token bucket; tokens are units of work, the rate is per second."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> float:
        """Adds the tokens that are due by now; returns all tokens."""
        self.tokens = min(self.burst, self.tokens + self.rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.tokens

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Changes rate and burst. Tokens up to now come at the old rate, or at the new one if the old was 0."""
        if self.rate and rate != self.rate:
            self.refill(now)
        self.rate, self.burst = rate, burst


@dataclass(slots=True, eq=False)
class Volume:
    """A volume under one plan, with its token buckets in this front."""

    plan: api.Plan
    reserve: TokenBucket  # this front's fraction of the volume's reserve, shared by its flows
    limit: TokenBucket | None  # likewise for its limit; None: unlimited


@dataclass(slots=True, eq=False)
class Flow(FlowState):
    """The requests of one volume in one class."""

    volume: Volume
    weight: float  # of the plan


@dataclass(slots=True, eq=False)
class Job:
    """An open request. Times are points on the scheduler's clock, in seconds."""

    req: api.Request
    cls: api.RequestClass
    flow: Flow
    accepted_at: float
    target_at: float  # latency target: a request that cannot be answered by then is ended
    response_deadline: float = inf  # the final response is sent by then
    promoted: bool = False  # from its flow queue into the scheduler queue
    done: bool = False  # no further decision, though attempts may be in flight
    attempts: int = 0
    in_flight: dict[int, float] = field(default_factory=dict)  # attempt number -> time sent
    # zone, shard and time sent of the first attempt that may have run
    first_possible_execution: tuple[str, int, float] | None = None


Queues = dict[Flow, deque[Job]]


@dataclass(slots=True, eq=False)
class ShardQueues:
    """Waiting requests of one shard: its flow queues and its segment of the scheduler queue."""

    waiting: Queues = field(default_factory=dict)  # flow queues
    ready: Queues = field(default_factory=dict)  # promoted requests


@dataclass(slots=True, eq=False)
class Node:
    """What this front has learnt about one node. Times in seconds."""

    entry: api.NodeEntry
    usable: bool = True
    window: float = 0.0  # maximum of `in_flight`, adapted to the latencies
    in_flight: int = 0  # attempts
    unit_time: dict[str, float] = field(default_factory=dict)  # by request class: estimated lowest latency per unit
    queue_wait: float = 0.0  # in the node's queue: moving average as of queue_wait_at
    queue_wait_at: float = 0.0
    last_answered_sent_at: float = 0.0  # time sent of the latest answered attempt
    failures: float = 0.0  # consecutive, of attempts sent after the previous failure was known
    failed_at: float = 0.0
    debt_units: float = 0.0  # while cold: units sent that the budget has not repaid yet, as of debt_at
    debt_at: float = 0.0
    sent_units: SlidingSum = field(default_factory=SlidingSum)  # units by time sent, for the cold budget


class KeyQueues(dict[str, deque[Job]]):
    """Requests by key; those of one key run one at a time, in order of arrival."""

    def enqueue(self, job: Job) -> bool:
        """Adds a request; returns whether it may run at once."""
        queue = self.setdefault(job.req.key, deque())
        queue.append(job)
        return len(queue) == 1

    def release(self, key: str) -> list[Job]:
        """Drops finished requests from the beginning of the key's queue; returns those that may run now."""
        queue, unblocked = self.get(key), []
        while queue and queue[0].done and not queue[0].in_flight:
            queue.popleft()
            unblocked.extend(list(queue)[:1])
        if not queue:
            self.pop(key, None)
        return unblocked


@dataclass(slots=True, eq=False)
class NodeTable:
    """The listed nodes, and the usable ones by shard. An update costs only as much as the entries it changes."""

    nodes: dict[str, Node] = field(default_factory=dict)
    by_shard: dict[int, list[Node]] = field(default_factory=dict)  # usable nodes only
    unusable: dict[str, None] = field(default_factory=dict)  # a set, in order
    usable_cache: list[Node] | None = None  # None: to be computed

    def update(self, node_list: api.NodeList, new_node: Callable[[api.NodeEntry, Node | None], Node]) -> list[int]:
        """Applies a list; `new_node` makes the record of a new or restarted node. Returns the changed shards."""
        changed_shards: dict[int, list[Node]] = {}
        if node_list.kind is not api.ListKind.DELTA:
            for node in self.nodes.values():
                node.usable = False  # nodes missing in a complete list are gone
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
        """Drops unusable nodes that have no attempt in flight."""
        for name in [name for name in self.unusable if self.nodes[name].usable or not self.nodes[name].in_flight]:
            del self.unusable[name]
            if not self.nodes[name].usable:
                del self.nodes[name]
