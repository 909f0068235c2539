"""How long a service's servers need to a first piece: learnt from the first pieces that this router has seen.

A prompt's tokens are read one after the other, and each costs the more the longer the prompt before it is. To that
comes what every request needs, which short prompts tell; long ones tell the pace. Both follow the shortest times
seen, since a time that was longer tells of a queue.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PACE = 1 / 60_000  # s for a prompt token, before anything is known
DOUBLE_AT = 40_000.0  # tokens before a token that double what it costs
SHORT, LONG = 2_000, 4_000  # token costs up to which a prompt tells the base, and from which it tells the pace
LEAST_BASE = 0.001  # s
SMOOTH = 0.25  # part of a new time that is shorter than the estimate
RISE = 0.02  # part of a new time that is longer
MOST_RISE = 2.0  # multiple of the estimate that a new time counts at the most


def token_cost(before: int, unread: int) -> float:
    """What reading `unread` tokens after `before` others costs, in tokens at the start of a prompt."""
    return unread * (1.0 + (before + unread / 2) / DOUBLE_AT)


@dataclass(slots=True)
class ReadingTimes:
    """Estimates for one service."""

    pace: float = PACE
    base: dict[str, float] = field(default_factory=dict)  # s, by route, beside reading

    def expected(self, route: str, cost: float, unknown: float) -> float:
        """Time to the first piece at an idle server; `unknown` is its base before the first answer."""
        return self.base.get(route, unknown) + self.pace * cost

    def observe(self, route: str, cost: float, latency: float) -> None:
        """A first piece came after `latency`, of a prompt whose reading cost that many tokens."""
        base = self.base.get(route)
        if base is None:
            self.base[route] = max(LEAST_BASE, latency - self.pace * cost)
        elif cost <= SHORT:
            self.base[route] = _towards(base, max(LEAST_BASE, latency - self.pace * cost))
        elif cost >= LONG and latency > base:
            self.pace = _towards(self.pace, (latency - base) / cost)
        else:
            self.base[route] = min(base, max(LEAST_BASE, latency))


def _towards(estimate: float, seen: float) -> float:
    seen = min(max(seen, 0.5 * estimate), MOST_RISE * estimate)
    return estimate + (SMOOTH if seen < estimate else RISE) * (seen - estimate)
