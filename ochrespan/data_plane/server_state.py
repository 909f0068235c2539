"""What a router knows of one server: what is out there, how long it would keep a request waiting, and its window."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from ..policy.window import LEAST, narrowed, widened
from .decisions import Server
from .server_health import Health

LEAST_START, MOST_START = 8.0, 16.0  # requests: a window starts with an even part of the capacity between these
HEADROOM = 4.0  # multiple of an even part of the capacity that one router may use: demand is not even
SMOOTH = 0.25  # part of a new answer in the smoothed wait
WAIT_MEMORY = 1.0  # s, after which a wait that was seen is believed by 1/e
QUEUE_SEEN, NO_QUEUE = 1.0, 0.25  # parts of the aim beyond the expected latency that narrow, and still widen, a window
COLD_COST = 2.0  # multiple of a request's time while a server is cold
FULL_FOR = 0.05  # s for which a server that said it is full is left alone
RESTING = 4.0  # s that a connection is taken to stay open unused
KEPT_FOR = 30.0  # s that a prefix is believed to stay in a server's memory unused
MOST_KEPT = 4096  # prefixes remembered for one server


@dataclass(slots=True)
class Attempt:
    """A request that is out at a server."""

    sent_at: float
    route: str
    cost: float  # of reading its prompt, as `prefill_times.token_cost` has it
    expected: float  # s to the first piece, once the server has turned to it
    wait: float  # s that it was expected to wait before
    answered: bool = False


@dataclass(slots=True, eq=False)
class ServerState:
    """One server as this router sees it."""

    server: Server
    cap: float = 0.0  # requests, the most that this router may have out here
    window: float = 0.0
    health: Health = field(default_factory=Health)
    out: dict[str, Attempt] = field(default_factory=dict)
    free_at: float = 0.0  # when it will have read all prompts that this router has sent
    wait: float = 0.0  # s, beyond what was expected, smoothed, as of seen_at
    seen_at: float = 0.0
    kept: dict[str, float] = field(default_factory=dict)  # shared prefixes sent here, and when last
    full_until: float = 0.0  # it said that it is full
    connections: int = 0  # that are taken to be open
    used_at: float = 0.0  # when one of them was last used
    heard_at: float = 0.0  # when it last said anything

    def set_share(self, routers: int) -> None:
        """The window's cap: this router's part of the capacity, with headroom, and never beyond the capacity."""
        capacity = max(1, self.server.capacity)
        self.cap = max(LEAST, min(capacity, HEADROOM * capacity / max(1, routers)))
        if not self.window:
            self.window = min(MOST_START, max(LEAST_START, capacity / max(1, routers)))
        self.window = min(self.window, self.cap)

    def is_healthy(self, now: float) -> bool:
        return not self.health.is_ejected(now)

    def has_room(self, now: float) -> bool:
        if now < self.full_until or self.health.is_ejected(now):
            return False
        return len(self.out) < (1 if self.health.on_trial() else int(self.window))

    def may_overflow(self, now: float) -> bool:
        """Whether a request beyond the window may go here: within the capacity, and by no sign in trouble."""
        healthy = now >= self.full_until and not self.health.is_ejected(now) and not self.health.on_trial()
        return healthy and len(self.out) < self.server.capacity

    def is_half_taken(self, routers: int) -> bool:
        """Whether half of its places are taken, if the other routers have as much out here as this one."""
        return 2 * len(self.out) * max(1, routers) >= self.server.capacity

    def rejected(self, now: float) -> None:
        """It is full: that was not run, and its window was too wide."""
        self.full_until = now + FULL_FOR
        self.window = max(LEAST, self.window / 2)

    def queue_wait(self, now: float) -> float:
        """How long a new request would wait: by what is out, by the last answers, or by the oldest unanswered one."""
        wait = max(self.free_at - now, 0.0) + self.wait * exp((self.seen_at - now) / WAIT_MEMORY)
        for attempt in self.out.values():
            if not attempt.answered:
                return max(wait, now - attempt.sent_at - attempt.wait - attempt.expected)
        return wait

    def has_connection(self, now: float) -> bool:
        """Whether a connection is likely to be at rest here."""
        return self.connections > len(self.out) and now - self.used_at < RESTING

    def slowness(self, now: float) -> float:
        return COLD_COST if now < self.server.slow_start_ends_at else 1.0

    def keeps(self, key: str, now: float) -> bool:
        """Whether a shared prefix was sent here recently enough to be in memory still."""
        return now - self.kept.get(key, -KEPT_FOR) < KEPT_FOR

    def sent(self, now: float, request_id: str, attempt: Attempt, reading: float, key: str) -> None:
        """A request has been sent here, whose prompt takes `reading` seconds to read."""
        if not self.has_connection(now):
            self.connections = len(self.out) + 1
        self.out[request_id] = attempt
        self.used_at = now
        self.free_at = max(now, self.free_at) + reading
        if key:
            if len(self.kept) >= MOST_KEPT:
                self.kept.clear()
            self.kept[key] = now

    def answered(self, now: float, request_id: str, latency: float, aim: float) -> None:
        """The first piece of an attempt has come: its latency leads the window."""
        attempt = self.out[request_id]
        attempt.answered = True
        self.heard_at = now
        excess = max(0.0, latency - attempt.expected - attempt.wait)
        keep = (1 - SMOOTH) * exp((self.seen_at - now) / WAIT_MEMORY)
        self.wait, self.seen_at = keep * self.wait + (1 - keep) * excess, now
        queue = latency - attempt.expected
        if queue > QUEUE_SEEN * aim:
            self.window = narrowed(self.window)
        elif queue <= NO_QUEUE * aim and len(self.out) + 1 >= int(self.window):
            self.window = widened(self.window, self.cap)
        if not any(not other.answered for other in self.out.values()):
            self.free_at = now  # all that was sent is read

    def ended(self, now: float, request_id: str) -> Attempt | None:
        attempt = self.out.pop(request_id, None)
        self.used_at = now
        if not self.out:
            self.free_at = 0.0
        return attempt
