"""What a head remembers: plain records for `policy.py`. No choice and no tuned value is kept here."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from . import interface as api


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


@dataclass(slots=True)
class Recent:
    """What was added within a sliding span of time."""

    items: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now: float, amount: float) -> None:
        self.items.append((now, amount))

    def total(self, now: float, span: float) -> float:
        while self.items and self.items[0][0] <= now - span:
            self.items.popleft()
        return sum(amount for _, amount in self.items)


@dataclass(slots=True, eq=False)
class Volume:
    plan: api.Plan
    reserve: Store  # this head's part of the volume's reserve; its flows share it
    limit: Store | None  # likewise of its limit


@dataclass(slots=True, eq=False)
class Flow:
    """A volume in one class."""

    volume: Volume
    weight: float
    eta: float = 0.0  # units allocated over weight
    gain: float = 0.0
    a: int = 0  # sends since the last reset
    over: float = 0.0  # s, this round's latencies less their aims, summed: above 0 their mean missed the aim
    used_at: float = 0.0


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
    sent: Recent = field(default_factory=Recent)  # units
