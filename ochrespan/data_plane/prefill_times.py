"""How long a service's servers need to a first piece: learnt from the first pieces that this router has seen.

A prompt's tokens are read one after the other, and each costs the more the longer the prompt before it is. To that
comes what every request needs, which short prompts tell; long ones tell the pace. Both follow the shortest times
seen, since a time that was longer tells of a queue.
"""

from __future__ import annotations

from dataclasses import dataclass, field

INITIAL_SECONDS_PER_TOKEN = 1 / 60_000  # s for a prompt token, before anything is known
DOUBLE_COST_AT_TOKENS = 40_000.0  # tokens before a token that double what it costs
SHORT_PROMPT_COST, LONG_PROMPT_COST = (
    2_000,
    4_000,
)  # token costs up to which a prompt tells the base, and from which it tells the pace
MIN_BASE_LATENCY_S = 0.001  # s
DECREASE_SMOOTHING = 0.25  # part of a new time that is shorter than the estimate
INCREASE_SMOOTHING = 0.02  # part of a new time that is longer
MAX_INCREASE_RATIO = 2.0  # multiple of the estimate that a new time counts at the most


def prefill_token_cost(cached_tokens: int, uncached_tokens: int) -> float:
    """What reading `unread` tokens after `before` others costs, in tokens at the start of a prompt."""
    return uncached_tokens * (1.0 + (cached_tokens + uncached_tokens / 2) / DOUBLE_COST_AT_TOKENS)


@dataclass(slots=True)
class PrefillTimes:
    """Estimates for one service."""

    seconds_per_token: float = INITIAL_SECONDS_PER_TOKEN
    base_latency_s: dict[str, float] = field(default_factory=dict)  # s, by route, beside reading

    def expected_latency_s(self, route: str, prefill_cost: float, default_base_s: float) -> float:
        """Time to the first piece at an idle server; `unknown` is its base before the first answer."""
        return self.base_latency_s.get(route, default_base_s) + self.seconds_per_token * prefill_cost

    def observe(self, route: str, prefill_cost: float, latency_s: float) -> None:
        """A first piece came after `latency`, of a prompt whose reading cost that many tokens."""
        base_latency_s = self.base_latency_s.get(route)
        if base_latency_s is None:
            self.base_latency_s[route] = max(MIN_BASE_LATENCY_S, latency_s - self.seconds_per_token * prefill_cost)
        elif prefill_cost <= SHORT_PROMPT_COST:
            self.base_latency_s[route] = _smoothed(
                base_latency_s, max(MIN_BASE_LATENCY_S, latency_s - self.seconds_per_token * prefill_cost)
            )
        elif prefill_cost >= LONG_PROMPT_COST and latency_s > base_latency_s:
            self.seconds_per_token = _smoothed(self.seconds_per_token, (latency_s - base_latency_s) / prefill_cost)
        else:
            self.base_latency_s[route] = min(base_latency_s, max(MIN_BASE_LATENCY_S, latency_s))


def _smoothed(estimate: float, sample: float) -> float:
    sample = min(max(sample, 0.5 * estimate), MAX_INCREASE_RATIO * estimate)
    return estimate + (DECREASE_SMOOTHING if sample < estimate else INCREASE_SMOOTHING) * (sample - estimate)
