"""What a router knows of one server: what is out there, how long its answers take, and the window they lead."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from ..policy.window import LEAST, narrowed, widened
from .decisions import Server
from .server_health import Health

WINDOW_START = 4.0  # requests, where the router's part of the server is no less
HEADROOM = 2.0  # multiple of an even part of the capacity that one router may use: demand is not even
SMOOTH = 0.25  # part of a new answer in smoothed figures
WAIT_MEMORY = 1.0  # s, after which a wait that was seen is believed by 1/e
QUEUE_SEEN, NO_QUEUE = 0.35, 0.15  # parts of the aim beyond the best latency that narrow, and still widen, a window
COLD_COST = 2.0  # multiple of a request's load while a server is cold
LEAST_PACE = 1e-4  # s for a unit of work, where nothing is known
FULL_FOR = 0.05  # s for which a server that said it is full is left alone
KEPT_FOR = 30.0  # s that a prefix is believed to stay in a server's memory unused
MOST_KEPT = 4096  # prefixes remembered for one server


@dataclass(slots=True)
class Attempt:
    """A request that is out at a server."""

    sent_at: float
    route: str
    work: float  # units to be done before the first piece
    load: float  # what it adds to the server's load until its first piece
    running_load: float  # and from then on
    expected: float  # s to the first piece at an idle server
    answered: bool = False


@dataclass(slots=True, eq=False)
class ServerState:
    """One server as this router sees it."""

    server: Server
    cap: float  # requests, the most that this router may have out here
    window: float = LEAST
    health: Health = field(default_factory=Health)
    out: dict[str, Attempt] = field(default_factory=dict)
    load: float = 0.0  # of what is out
    wait: float = 0.0  # s, beyond the best latency, smoothed, as of seen_at
    seen_at: float = 0.0
    best: dict[str, float] = field(default_factory=dict)  # s, by route: about the least time for a unit of work
    kept: dict[str, float] = field(default_factory=dict)  # shared prefixes sent here, and when last
    full_until: float = 0.0  # it said that it is full

    def set_share(self, routers: int) -> None:
        """The window's cap: this router's part of the capacity, with headroom, and never beyond the capacity."""
        capacity = max(1, self.server.capacity)
        self.cap = max(LEAST, min(capacity, HEADROOM * capacity / max(1, routers)))
        self.window = min(self.window, self.cap)

    def has_room(self, now: float) -> bool:
        if now < self.full_until or self.health.is_ejected(now):
            return False
        return len(self.out) < (1 if self.health.on_trial() else int(self.window))

    def may_overflow(self, now: float) -> bool:
        """Whether a request beyond the window may go here: within the capacity, and by no sign in trouble."""
        healthy = now >= self.full_until and not self.health.is_ejected(now) and not self.health.on_trial()
        return healthy and len(self.out) < self.server.capacity

    def rejected(self, now: float) -> None:
        """It is full: that was not run, and its window was too wide."""
        self.full_until = now + FULL_FOR
        self.window = max(LEAST, self.window / 2)

    def queue_wait(self, now: float) -> float:
        """How long a new request would wait: what the last answers told, or what the oldest unanswered one tells."""
        wait = self.wait * exp((self.seen_at - now) / WAIT_MEMORY)
        for attempt in self.out.values():
            if not attempt.answered:
                return max(wait, now - attempt.sent_at - attempt.expected)
        return wait

    def pace(self) -> float:
        """About the least time for a unit of work, 0 until the first answer."""
        return min(self.best.values(), default=0.0)

    def expected_wait(self, now: float, work: float) -> float:
        """Time to the first piece of a request with this much work, as far as this router can tell."""
        slow = COLD_COST if now < self.server.cold_until else 1.0
        return slow * (self.load + work) * max(self.pace(), LEAST_PACE) + self.queue_wait(now)

    def keeps(self, key: str, now: float) -> bool:
        """Whether a shared prefix was sent here recently enough to be in memory still."""
        return now - self.kept.get(key, -KEPT_FOR) < KEPT_FOR

    def keep(self, key: str, now: float) -> None:
        if len(self.kept) >= MOST_KEPT:
            self.kept.clear()
        self.kept[key] = now

    def sent(self, request_id: str, attempt: Attempt) -> None:
        self.out[request_id] = attempt
        self.load += attempt.load

    def answered(self, now: float, request_id: str, latency: float, aim: float) -> None:
        """The first piece of an attempt has come: its latency leads the window."""
        attempt = self.out.get(request_id)
        if attempt is None or attempt.answered:
            return
        attempt.answered = True
        self.load += attempt.running_load - attempt.load
        pace = latency / attempt.work
        best = self.best.get(attempt.route, pace)
        self.best[attempt.route] = best + (SMOOTH if pace < best else SMOOTH / 10) * (pace - best)
        excess = max(0.0, latency - attempt.expected)
        keep = (1 - SMOOTH) * exp((self.seen_at - now) / WAIT_MEMORY)
        self.wait, self.seen_at = keep * self.wait + (1 - keep) * excess, now
        if excess > QUEUE_SEEN * aim:
            self.window = narrowed(self.window)
        elif excess <= NO_QUEUE * aim and len(self.out) + 1 >= int(self.window):
            self.window = widened(self.window, self.cap)

    def ended(self, request_id: str) -> Attempt | None:
        attempt = self.out.pop(request_id, None)
        if attempt is not None:
            self.load -= attempt.running_load if attempt.answered else attempt.load
            if not self.out:
                self.load = 0.0  # rounding must not add up
        return attempt
