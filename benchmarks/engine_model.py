"""A model of inference engines: continuous batching, chunked prefill, and a prefix cache with LRU eviction.

An engine works in steps. A step generates one token for each running request and prefills up to one chunk of the
admitted prompts, in order of priority. Leading segments of a prompt that are in the cache are not prefilled again.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import inf

REPEAT_WINDOW_S = 10.0  # a repeated prefill of a segment counts if its last use is more recent than this


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Capacities and speeds of an engine."""

    batch: int = 64  # requests that are prefilled or generated concurrently
    queue: int = 192  # maximum of queued requests; further ones are rejected
    step_s: float = 0.00455
    step_s_per_request: float = 0.000181
    prompt_tokens_per_s: float = 61_400.0
    attention_pair_s: float = 0.525e-9  # for each pair of a prompt token and a token before it (attention)
    prefill_chunk_tokens: int = 1024  # maximum of prompt tokens prefilled in one step
    first_event_s: float = 0.09  # from the end of the prefill to the first event
    tokens_per_event: int = 4
    cache_capacity_tokens: int = 496_097


@dataclass(slots=True, eq=False)
class Work:
    """A request at an engine."""

    id: str
    segments: tuple[tuple[str, int], ...]
    tokens_out: int
    priority: int
    arrived_at: float
    remaining_prefill_tokens: int = 0
    prefilled_tokens: int = 0  # prompt tokens that were prefilled or found in the cache
    generated_tokens: int = 0


@dataclass(slots=True)
class EngineCounts:
    """Counters of an engine."""

    prefill_tokens: int = 0
    cached_tokens: int = 0  # shared prompt tokens found in the cache
    repeated_prefill_tokens: int = (
        0  # shared prompt tokens prefilled though some engine used them within REPEAT_WINDOW_S
    )
    rejected: int = 0
    max_queue_length: int = 0


@dataclass(slots=True, eq=False)
class Engine:
    """One engine. `on_first_event` and `on_end` are called with the time and the request's id."""

    parameters: EngineParameters
    on_first_event: Callable[[float, str], None]
    on_end: Callable[[float, str], None]
    speed: float = 1.0
    now: float = 0.0
    queue: list[tuple[int, int, Work]] = field(default_factory=list)
    prefilling: list[tuple[int, int, Work]] = field(default_factory=list)  # heap by priority, then arrival
    running: dict[str, Work] = field(default_factory=dict)
    last_used_at: dict[str, float] = field(default_factory=dict)  # by segment, at any engine
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)  # tokens by segment, least recently used first
    cache_used_tokens: int = 0
    counts: EngineCounts = field(default_factory=EngineCounts)
    sequence: count = field(default_factory=count)

    def offer(self, now: float, work: Work) -> bool:
        """Queues a request; returns False if the queue is full."""
        if len(self.queue) >= self.parameters.queue:
            self.counts.rejected += 1
            return False
        if not self.busy:
            self.now = now
        heapq.heappush(self.queue, (work.priority, next(self.sequence), work))
        self.counts.max_queue_length = max(self.counts.max_queue_length, len(self.queue))
        return True

    def cancel(self, request_id: str) -> None:
        """Removes a request whose connection was closed."""
        self.queue = [entry for entry in self.queue if entry[2].id != request_id]
        self.prefilling = [entry for entry in self.prefilling if entry[2].id != request_id]
        heapq.heapify(self.queue)
        heapq.heapify(self.prefilling)
        self.running.pop(request_id, None)

    @property
    def busy(self) -> bool:
        return bool(self.queue or self.prefilling or self.running)

    def step(self) -> float:
        """Simulates one step; returns the time of its end."""
        self._admit()
        duration_s = self.parameters.step_s + self.parameters.step_s_per_request * len(self.running)
        completed = self._prefill_chunk()
        duration_s += completed[0]
        self.now += duration_s / self.speed
        self._generate_tokens()
        for work in completed[1]:
            self.running[work.id] = work
            self.on_first_event(self.now + self.parameters.first_event_s, work.id)
        return self.now

    def _admit(self) -> None:
        while self.queue and len(self.prefilling) + len(self.running) < self.parameters.batch:
            priority, sequence, work = heapq.heappop(self.queue)
            work.prefilled_tokens = self._count_cached(work.segments)
            work.remaining_prefill_tokens = max(1, sum(tokens for _, tokens in work.segments) - work.prefilled_tokens)
            heapq.heappush(self.prefilling, (priority, sequence, work))

    def _count_cached(self, segments: tuple[tuple[str, int], ...]) -> int:
        """The tokens of the leading segments that are in the cache; updates counters and last uses of all segments."""
        cached_tokens, leading = 0, True
        for number, (name, tokens) in enumerate(segments):
            shared = number + 1 < len(segments)
            leading = leading and name in self.cache
            if leading:
                cached_tokens += tokens
                self.counts.cached_tokens += tokens
                self.cache.move_to_end(name)
            elif shared and self.now - self.last_used_at.get(name, -inf) < REPEAT_WINDOW_S:
                self.counts.repeated_prefill_tokens += tokens
            self.last_used_at[name] = self.now
        return cached_tokens

    def _prefill_chunk(self) -> tuple[float, list[Work]]:
        """Prefills up to one chunk; returns the duration in seconds and the requests whose prefill is complete."""
        chunk_left, duration_s, completed = self.parameters.prefill_chunk_tokens, 0.0, []
        while chunk_left and self.prefilling:
            work = self.prefilling[0][2]
            tokens = min(chunk_left, work.remaining_prefill_tokens)
            pairs = tokens * (work.prefilled_tokens + tokens / 2)
            duration_s += tokens / self.parameters.prompt_tokens_per_s + pairs * self.parameters.attention_pair_s
            work.remaining_prefill_tokens, work.prefilled_tokens, chunk_left = (
                work.remaining_prefill_tokens - tokens,
                work.prefilled_tokens + tokens,
                chunk_left - tokens,
            )
            self.counts.prefill_tokens += tokens
            if not work.remaining_prefill_tokens:
                heapq.heappop(self.prefilling)
                self._add_to_cache(work.segments)
                completed.append(work)
        return duration_s, completed

    def _add_to_cache(self, segments: tuple[tuple[str, int], ...]) -> None:
        for name, tokens in segments:
            if name not in self.cache:
                self.cache_used_tokens += tokens
            self.cache[name] = tokens
            self.cache.move_to_end(name)
        while self.cache_used_tokens > self.parameters.cache_capacity_tokens and len(self.cache) > 1:
            self.cache_used_tokens -= self.cache.popitem(last=False)[1]

    def _generate_tokens(self) -> None:
        for work in list(self.running.values()):
            work.generated_tokens += 1
            if work.generated_tokens >= work.tokens_out:
                del self.running[work.id]
                self.on_end(self.now + self.parameters.first_event_s, work.id)
