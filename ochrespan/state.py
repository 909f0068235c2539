"""What a head remembers: plain records for `policy/`. No choice and no tuned value is kept here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from . import interface as api
from .flow_state import FlowState
from .sliding_sum import SlidingSum


@dataclass(slots=True)
class Store:
    """A token bucket."""

    rate: float
    burst: float
    level: float
    at: float

    def have(self, now: float) -> float:
        self.level = min(self.burst, self.level + self.rate * max(0.0, now - self.at))
        self.at = now
        return self.level

    def resize(self, rate: float, burst: float, now: float) -> None:
        """From now on; what has come in until now came at the old rate, or at this one if there was none."""
        if self.rate and rate != self.rate:
            self.have(now)
        self.rate, self.burst = rate, burst


@dataclass(slots=True, eq=False)
class Volume:
    plan: api.Plan
    reserve: Store  # this head's part of the volume's reserve; its flows share it
    limit: Store | None  # likewise of its limit


@dataclass(slots=True, eq=False)
class Flow(FlowState):
    """A volume in one class."""

    volume: Volume
    weight: float


@dataclass(slots=True, eq=False)
class Job:
    """A request in our hands."""

    req: api.Request
    cls: api.RequestClass
    flow: Flow
    taken_at: float
    aim_at: float
    end_at: float = inf
    promoted: bool = False
    done: bool = False
    attempts: int = 0
    out: dict[int, float] = field(default_factory=dict)  # attempt -> sent at
    ran: tuple[str, int, float] | None = None  # zone, shard, sent at of the first attempt that may have run


Queues = dict[Flow, deque[Job]]


@dataclass(slots=True, eq=False)
class Lane:
    """What is held for one shard: its flow queues and its part of the scheduler queue."""

    waiting: Queues = field(default_factory=dict)
    ready: Queues = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Node:
    entry: api.NodeEntry
    usable: bool = True
    window: float = 0.0
    out: int = 0  # attempts
    best: dict[str, float] = field(default_factory=dict)  # by class: about the least latency of a unit's work
    wait: float = 0.0  # in its queue, smoothed, as of seen_at
    seen_at: float = 0.0
    answered_to: float = 0.0  # when the latest attempt was sent that it answered
    fails: float = 0.0  # in a row, each sent after the last was known
    failed_at: float = 0.0
    unpaid: float = 0.0  # while cold: units of the last send, as far as they are not paid for by waiting
    paid_at: float = 0.0  # up to when they are
    sent: SlidingSum = field(default_factory=SlidingSum)  # units


class Turns(dict[str, deque[Job]]):
    """Requests by key; those of one key follow each other in turn of arrival."""

    def join(self, job: Job) -> bool:
        """Whether it is this request's turn at once."""
        turn = self.setdefault(job.req.key, deque())
        turn.append(job)
        return len(turn) == 1

    def pass_on(self, key: str) -> list[Job]:
        """Drops what is over; returns the requests whose turn has come by that."""
        turn, following = self.get(key), []
        while turn and turn[0].done and not turn[0].out:
            turn.popleft()
            following.extend(list(turn)[:1])
        if not turn:
            self.pop(key, None)
        return following


@dataclass(slots=True, eq=False)
class NodeTable:
    """The nodes that were told of, and the usable ones by shard; a change costs no more than what it touches."""

    nodes: dict[str, Node] = field(default_factory=dict)
    by_shard: dict[int, list[Node]] = field(default_factory=dict)  # the usable ones
    leaving: dict[str, None] = field(default_factory=dict)  # nodes that are not usable
    everywhere: list[Node] | None = None  # all usable ones; None: to be looked up

    def update(self, got: api.NodeList, begin: Callable[[api.NodeEntry, Node | None], Node]) -> list[int]:
        """Takes a list in; `begin` makes the record of a node's new life. Returns the shards it touches."""
        moved: dict[int, list[Node]] = {}
        if got.kind is not api.ListKind.DELTA:
            for node in self.nodes.values():
                node.usable = False  # what a complete list does not name is gone
            moved = {shard: [] for shard in self.by_shard}
            self.leaving.update(dict.fromkeys(self.nodes))
        for entry in got.entries:
            node = self.nodes.get(entry.id)
            if node is not None:
                moved.setdefault(node.entry.shard, [])
            if node is None or entry.started_at != node.entry.started_at:
                node = self.nodes[entry.id] = begin(entry, node)
            node.entry, node.usable = entry, entry.state is api.NodeState.READY
            moved.setdefault(entry.shard, []).append(node)
            self.leaving.update({} if node.usable else {entry.id: None})
        for shard, fresh in moved.items():
            there = [n for n in self.by_shard.pop(shard, ()) if self.nodes.get(n.entry.id) is n]
            if live := [n for n in dict.fromkeys(there + fresh) if n.usable and n.entry.shard == shard]:
                self.by_shard[shard] = live
        self.everywhere = None
        return list(moved)

    def usable(self) -> list[Node]:
        if self.everywhere is None:
            self.everywhere = [node for node in self.nodes.values() if node.usable]
        return self.everywhere

    def forget_gone(self) -> None:
        """Drops the nodes that are not usable and have nothing out."""
        for name in [name for name in self.leaving if self.nodes[name].usable or not self.nodes[name].out]:
            del self.leaving[name]
            if not self.nodes[name].usable:
                del self.nodes[name]
