"""A router's view of one server: the requests in flight, the expected queueing time, and the congestion window."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from ..policy.window import MIN_WINDOW, narrowed, widened
from .decisions import Server
from .server_health import ServerHealth

# requests; a window starts at an equal fraction of the capacity per router, within these bounds
MIN_INITIAL_WINDOW, MAX_INITIAL_WINDOW = 8.0, 16.0
HEADROOM = 4.0  # equal fractions of the capacity that one router may use at most: demand is uneven
WAIT_SMOOTHING = 0.25  # weight of a new observation in the smoothed wait
WAIT_DECAY_S = 1.0  # time constant of the exponential decay of an observed wait
# queueing time over the latency target above which a window narrows, and up to which it widens
NARROW_WAIT_FRACTION, WIDEN_WAIT_FRACTION = 1.0, 0.25
SLOW_START_FACTOR = 2.0  # service time during slow start, over the usual one
FULL_BACKOFF_S = 0.05  # pause after a server has answered that it is full
IDLE_CONNECTION_S = 4.0  # time for which an idle connection is assumed to stay open
PREFIX_CACHE_TTL_S = 30.0  # time for which an unused prefix is assumed to stay cached
MAX_CACHED_PREFIXES = 4096  # prefixes tracked per server


@dataclass(slots=True)
class Attempt:
    """An attempt in flight at a server."""

    sent_at: float
    route: str
    prefill_cost: float  # of the prompt, in the unit of `prefill_times.compute_prefill_cost`
    expected_prefill_s: float  # from the start of processing to the first chunk
    expected_wait_s: float  # in the queue of the server, before processing
    has_responded: bool = False


@dataclass(slots=True, eq=False)
class ServerState:
    """State of one server at this router."""

    server: Server
    window_cap: float = 0.0  # requests, upper bound of the window
    window: float = 0.0  # requests that this router may have in flight here
    health: ServerHealth = field(default_factory=ServerHealth)
    in_flight: dict[str, Attempt] = field(default_factory=dict)
    prefill_done_at: float = 0.0  # when the prefills of all prompts sent by this router are expected to be done
    excess_wait_s: float = 0.0  # smoothed wait beyond the expected one, as of excess_wait_at
    excess_wait_at: float = 0.0
    cached_prefixes: dict[str, float] = field(default_factory=dict)  # when each shared prefix was last sent here
    full_until: float = 0.0  # end of the pause after the server answered that it is full
    open_connections: int = 0  # estimated number
    connection_used_at: float = 0.0  # when a connection was last used
    last_response_at: float = 0.0  # when the server last sent any response

    def set_router_count(self, routers: int) -> None:
        """Caps the window at this router's equal fraction of the capacity times HEADROOM, at most the capacity."""
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
        """Returns whether a request beyond the window may be sent here: healthy, and within the capacity."""
        healthy = now >= self.full_until and not self.health.is_ejected(now) and not self.health.is_on_probation()
        return healthy and len(self.in_flight) < self.server.capacity

    def is_half_used(self, routers: int) -> bool:
        """Returns whether half of the capacity is used, assuming equal numbers in flight from all routers."""
        return 2 * len(self.in_flight) * max(1, routers) >= self.server.capacity

    def record_rejection(self, now: float) -> None:
        """Pauses the server and halves its window: it answered that it is full, without executing the request."""
        self.full_until = now + FULL_BACKOFF_S
        self.window = max(MIN_WINDOW, self.window / 2)

    def queue_wait(self, now: float) -> float:
        """Estimates how long a new request would wait, in seconds.

        This is the remaining prefill of the requests in flight plus the decayed excess wait of recent responses, or the
        delay of the oldest attempt without a response, if that is longer.
        """
        wait_s = max(self.prefill_done_at - now, 0.0) + self.excess_wait_s * exp(
            (self.excess_wait_at - now) / WAIT_DECAY_S
        )
        for attempt in self.in_flight.values():
            if not attempt.has_responded:
                return max(wait_s, now - attempt.sent_at - attempt.expected_wait_s - attempt.expected_prefill_s)
        return wait_s

    def has_connection(self, now: float) -> bool:
        """Returns whether an idle connection to the server is likely to be open."""
        return self.open_connections > len(self.in_flight) and now - self.connection_used_at < IDLE_CONNECTION_S

    def slow_start_factor(self, now: float) -> float:
        return SLOW_START_FACTOR if now < self.server.slow_start_ends_at else 1.0

    def has_cached(self, prefix_key: str, now: float) -> bool:
        """Returns whether a shared prefix was sent here recently enough to be cached still."""
        return now - self.cached_prefixes.get(prefix_key, -PREFIX_CACHE_TTL_S) < PREFIX_CACHE_TTL_S

    def record_send(self, now: float, request_id: str, attempt: Attempt, prefill_s: float, prefix_key: str) -> None:
        """Records an attempt sent here, whose prompt takes `prefill_s` seconds to prefill."""
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
        """Records the first chunk of an attempt, and adjusts the excess wait and the window to its latency."""
        attempt = self.in_flight[request_id]
        attempt.has_responded = True
        self.last_response_at = now
        excess_s = max(0.0, latency_s - attempt.expected_prefill_s - attempt.expected_wait_s)
        retained = (1 - WAIT_SMOOTHING) * exp((self.excess_wait_at - now) / WAIT_DECAY_S)
        self.excess_wait_s, self.excess_wait_at = retained * self.excess_wait_s + (1 - retained) * excess_s, now
        queueing_s = latency_s - attempt.expected_prefill_s
        if queueing_s > NARROW_WAIT_FRACTION * latency_target_s:
            self.window = narrowed(self.window)
        elif queueing_s <= WIDEN_WAIT_FRACTION * latency_target_s and len(self.in_flight) + 1 >= int(self.window):
            self.window = widened(self.window, self.window_cap)
        if not any(not other.has_responded for other in self.in_flight.values()):
            self.prefill_done_at = now  # all prompts in flight are prefilled

    def record_end(self, now: float, request_id: str) -> Attempt | None:
        attempt = self.in_flight.pop(request_id, None)
        self.connection_used_at = now
        if not self.in_flight:
            self.prefill_done_at = 0.0
        return attempt
