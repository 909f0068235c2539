"""A model of model servers: batches, prompts read in pieces between tokens, and memory with least-recently-used parts.

An engine works in steps. A step makes one token for each running request and reads up to a piece of the prompts that
wait, the more urgent first. What the memory keeps of a prompt's leading parts is not read again.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import inf

AGAIN_S = 10.0  # a part that is read again so soon after its last use is priced


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """What a server's engine does in which time."""

    batch: int = 64  # requests at once
    queue: int = 192  # requests that wait; beyond that they are turned away
    step_s: float = 0.00455
    step_s_per_request: float = 0.000181
    prompt_tokens_per_s: float = 61_400.0
    pair_s: float = 0.525e-9  # for each pair of a prompt's token with one before it
    piece: int = 1024  # prompt tokens read in one step
    first_s: float = 0.09  # from the last prompt token to the first piece
    event_tokens: int = 4  # in one event of a stream
    memory_tokens: int = 496_097


@dataclass(slots=True, eq=False)
class Work:
    """A request at an engine."""

    id: str
    parts: tuple[tuple[str, int], ...]
    tokens_out: int
    priority: int
    arrived: float
    unread: int = 0  # prompt tokens that are still to be read
    done: int = 0  # prompt tokens that are read or were kept
    made: int = 0  # tokens


@dataclass(slots=True)
class EngineCounts:
    """What an engine has done so far."""

    read: int = 0  # prompt tokens
    kept: int = 0  # shared prompt tokens found in memory
    read_again: int = 0  # shared prompt tokens that some engine has read before and used a short time ago
    rejected: int = 0
    longest_queue: int = 0


@dataclass(slots=True, eq=False)
class Engine:
    """One server. `on_first` and `on_end` are called with the request's id and the time."""

    figures: EngineFigures
    on_first: Callable[[float, str], None]
    on_end: Callable[[float, str], None]
    speed: float = 1.0
    now: float = 0.0
    queue: list[tuple[int, int, Work]] = field(default_factory=list)
    reading: list[tuple[int, int, Work]] = field(default_factory=list)  # by urgency, then in turn
    running: dict[str, Work] = field(default_factory=dict)
    last_use: dict[str, float] = field(default_factory=dict)  # of parts, at any engine
    memory: OrderedDict[str, int] = field(default_factory=OrderedDict)  # parts by last use: tokens
    memory_used: int = 0
    counts: EngineCounts = field(default_factory=EngineCounts)
    turn: count = field(default_factory=count)

    def offer(self, now: float, work: Work) -> bool:
        """Takes a request; False where the queue is full."""
        if len(self.queue) >= self.figures.queue:
            self.counts.rejected += 1
            return False
        if not self.busy:
            self.now = now
        heapq.heappush(self.queue, (work.priority, next(self.turn), work))
        self.counts.longest_queue = max(self.counts.longest_queue, len(self.queue))
        return True

    def drop(self, request_id: str) -> None:
        """The request's connection was closed."""
        self.queue = [entry for entry in self.queue if entry[2].id != request_id]
        self.reading = [entry for entry in self.reading if entry[2].id != request_id]
        heapq.heapify(self.queue)
        heapq.heapify(self.reading)
        self.running.pop(request_id, None)

    @property
    def busy(self) -> bool:
        return bool(self.queue or self.reading or self.running)

    def step(self) -> float:
        """Works one step; returns when it is over."""
        self._admit()
        took = self.figures.step_s + self.figures.step_s_per_request * len(self.running)
        ready = self._read_piece()
        took += ready[0]
        self.now += took / self.speed
        self._make_tokens()
        for work in ready[1]:
            self.running[work.id] = work
            self.on_first(self.now + self.figures.first_s, work.id)
        return self.now

    def _admit(self) -> None:
        while self.queue and len(self.reading) + len(self.running) < self.figures.batch:
            priority, turn, work = heapq.heappop(self.queue)
            work.done = self._kept(work.parts)
            work.unread = max(1, sum(tokens for _, tokens in work.parts) - work.done)
            heapq.heappush(self.reading, (priority, turn, work))

    def _kept(self, parts: tuple[tuple[str, int], ...]) -> int:
        """Tokens of the leading parts that are in memory; their use is noted."""
        kept, leading = 0, True
        for number, (name, tokens) in enumerate(parts):
            shared = number + 1 < len(parts)
            leading = leading and name in self.memory
            if leading:
                kept += tokens
                self.counts.kept += tokens
                self.memory.move_to_end(name)
            elif shared and self.now - self.last_use.get(name, -inf) < AGAIN_S:
                self.counts.read_again += tokens
            self.last_use[name] = self.now
        return kept

    def _read_piece(self) -> tuple[float, list[Work]]:
        """Reads up to one piece; returns how long that takes and what is wholly read by then."""
        left, took, ready = self.figures.piece, 0.0, []
        while left and self.reading:
            work = self.reading[0][2]
            tokens = min(left, work.unread)
            pairs = tokens * (work.done + tokens / 2)
            took += tokens / self.figures.prompt_tokens_per_s + pairs * self.figures.pair_s
            work.unread, work.done, left = work.unread - tokens, work.done + tokens, left - tokens
            self.counts.read += tokens
            if not work.unread:
                heapq.heappop(self.reading)
                self._keep(work.parts)
                ready.append(work)
        return took, ready

    def _keep(self, parts: tuple[tuple[str, int], ...]) -> None:
        for name, tokens in parts:
            if name not in self.memory:
                self.memory_used += tokens
            self.memory[name] = tokens
            self.memory.move_to_end(name)
        while self.memory_used > self.figures.memory_tokens and len(self.memory) > 1:
            self.memory_used -= self.memory.popitem(last=False)[1]

    def _make_tokens(self) -> None:
        for work in list(self.running.values()):
            work.made += 1
            if work.made >= work.tokens_out:
                del self.running[work.id]
                self.on_end(self.now + self.figures.first_s, work.id)
