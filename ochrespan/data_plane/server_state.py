"""What a router knows of one server: what is out there, how long it would keep a request waiting, and its window."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from ..policy.window import MIN_WINDOW, narrowed, widened
from .decisions import Server
from .server_health import ServerHealth

# requests; a window starts at an equal fraction of the capacity per router, within these bounds
MIN_INITIAL_WINDOW, MAX_INITIAL_WINDOW = 8.0, 16.0
HEADROOM = 4.0  # multiple of an even part of the capacity that one router may use: demand is not even
WAIT_SMOOTHING = 0.25  # part of a new answer in the smoothed wait
WAIT_DECAY_S = 1.0  # s, after which a wait that was seen is believed by 1/e
# queueing time over the latency target above which a window narrows, and up to which it widens
NARROW_WAIT_FRACTION, WIDEN_WAIT_FRACTION = 1.0, 0.25
SLOW_START_FACTOR = 2.0  # multiple of a request's time while a server is cold
FULL_BACKOFF_S = 0.05  # s for which a server that said it is full is left alone
IDLE_CONNECTION_S = 4.0  # s that a connection is taken to stay open unused
PREFIX_CACHE_TTL_S = 30.0  # s that a prefix is believed to stay in a server's memory unused
MAX_CACHED_PREFIXES = 4096  # prefixes remembered for one server


@dataclass(slots=True)
class Attempt:
    """A request that is out at a server."""

    sent_at: float
    route: str
    prefill_cost: float  # of reading its prompt, as `prefill_times.token_cost` has it
    expected_prefill_s: float  # s to the first piece, once the server has turned to it
    expected_wait_s: float  # s that it was expected to wait before
    has_responded: bool = False


@dataclass(slots=True, eq=False)
class ServerState:
    """One server as this router sees it."""

    server: Server
    window_cap: float = 0.0  # requests, the most that this router may have out here
    window: float = 0.0
    health: ServerHealth = field(default_factory=ServerHealth)
    in_flight: dict[str, Attempt] = field(default_factory=dict)
    prefill_done_at: float = 0.0  # when it will have read all prompts that this router has sent
    excess_wait_s: float = 0.0  # s, beyond what was expected, smoothed, as of seen_at
    excess_wait_at: float = 0.0
    cached_prefixes: dict[str, float] = field(default_factory=dict)  # shared prefixes sent here, and when last
    full_until: float = 0.0  # it said that it is full
    open_connections: int = 0  # that are taken to be open
    connection_used_at: float = 0.0  # when one of them was last used
    last_response_at: float = 0.0  # when it last said anything

    def set_router_count(self, routers: int) -> None:
        """The window's cap: this router's part of the capacity, with headroom, and never beyond the capacity."""
        capacity = max(1, self.server.capacity)
        self.window_cap = max(MIN_WINDOW, min(capacity, HEADROOM * capacity / max(1, routers)))
        if not self.window:
            self.window = min(MAX_INITIAL_WINDOW, max(MIN_INITIAL_WINDOW, capacity / max(1, routers)))
        self.window = min(self.window, self.window_cap)

    def is_healthy(self, now: float) -> bool:
        return not self.health.is_ejected(now)

    def has_capacity(self, now: float) -> bool:
        if now < self.full_until or self.health.is_ejected(now):
            return False
        return len(self.in_flight) < (1 if self.health.is_on_probation() else int(self.window))

    def can_exceed_window(self, now: float) -> bool:
        """Whether a request beyond the window may go here: within the capacity, and by no sign in trouble."""
        healthy = now >= self.full_until and not self.health.is_ejected(now) and not self.health.is_on_probation()
        return healthy and len(self.in_flight) < self.server.capacity

    def is_half_used(self, routers: int) -> bool:
        """Whether half of its places are taken, if the other routers have as much out here as this one."""
        return 2 * len(self.in_flight) * max(1, routers) >= self.server.capacity

    def record_rejection(self, now: float) -> None:
        """It is full: that was not run, and its window was too wide."""
        self.full_until = now + FULL_BACKOFF_S
        self.window = max(MIN_WINDOW, self.window / 2)

    def queue_wait(self, now: float) -> float:
        """How long a new request would wait: by what is out, by the last answers, or by the oldest unanswered one."""
        wait = max(self.prefill_done_at - now, 0.0) + self.excess_wait_s * exp(
            (self.excess_wait_at - now) / WAIT_DECAY_S
        )
        for attempt in self.in_flight.values():
            if not attempt.has_responded:
                return max(wait, now - attempt.sent_at - attempt.expected_wait_s - attempt.expected_prefill_s)
        return wait

    def has_connection(self, now: float) -> bool:
        """Whether a connection is likely to be at rest here."""
        return self.open_connections > len(self.in_flight) and now - self.connection_used_at < IDLE_CONNECTION_S

    def slow_start_factor(self, now: float) -> float:
        return SLOW_START_FACTOR if now < self.server.slow_start_ends_at else 1.0

    def has_cached(self, prefix_key: str, now: float) -> bool:
        """Whether a shared prefix was sent here recently enough to be in memory still."""
        return now - self.cached_prefixes.get(prefix_key, -PREFIX_CACHE_TTL_S) < PREFIX_CACHE_TTL_S

    def record_send(self, now: float, request_id: str, attempt: Attempt, prefill_s: float, prefix_key: str) -> None:
        """A request has been sent here, whose prompt takes `reading` seconds to read."""
        if not self.has_connection(now):
            self.open_connections = len(self.in_flight) + 1
        self.in_flight[request_id] = attempt
        self.connection_used_at = now
        self.prefill_done_at = max(now, self.prefill_done_at) + prefill_s
        if prefix_key:
            if len(self.cached_prefixes) >= MAX_CACHED_PREFIXES:
                self.cached_prefixes.clear()
            self.cached_prefixes[prefix_key] = now

    def record_first_chunk(self, now: float, request_id: str, latency_s: float, latency_target_s: float) -> None:
        """The first piece of an attempt has come: its latency leads the window."""
        attempt = self.in_flight[request_id]
        attempt.has_responded = True
        self.last_response_at = now
        excess = max(0.0, latency_s - attempt.expected_prefill_s - attempt.expected_wait_s)
        retained = (1 - WAIT_SMOOTHING) * exp((self.excess_wait_at - now) / WAIT_DECAY_S)
        self.excess_wait_s, self.excess_wait_at = retained * self.excess_wait_s + (1 - retained) * excess, now
        queue = latency_s - attempt.expected_prefill_s
        if queue > NARROW_WAIT_FRACTION * latency_target_s:
            self.window = narrowed(self.window)
        elif queue <= WIDEN_WAIT_FRACTION * latency_target_s and len(self.in_flight) + 1 >= int(self.window):
            self.window = widened(self.window, self.window_cap)
        if not any(not other.has_responded for other in self.in_flight.values()):
            self.prefill_done_at = now  # all that was sent is read

    def record_end(self, now: float, request_id: str) -> Attempt | None:
        attempt = self.in_flight.pop(request_id, None)
        self.connection_used_at = now
        if not self.in_flight:
            self.prefill_done_at = 0.0
        return attempt
