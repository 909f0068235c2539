"""Estimates how long the servers of a service take to send the first chunk of a response.

An estimate is a base latency per route plus the prefill time of the prompt, both from latencies that this router
observed. A prompt token costs more the longer the prompt before it is. Short prompts determine the base latency, long
ones the prefill rate. Both follow the shortest latencies, since a longer one includes time in a queue.
"""

from __future__ import annotations

from dataclasses import dataclass, field

INITIAL_PREFILL_S_PER_COST_UNIT = 1 / 60_000  # before the first observation
DOUBLE_COST_AT_TOKENS = 40_000.0  # position in the prompt where a token costs twice as much as the first
# a prompt of at most the first cost updates the base latency, one of at least the second the prefill rate
SHORT_PROMPT_COST, LONG_PROMPT_COST = 2_000, 4_000
MIN_BASE_LATENCY_S = 0.001
DECREASE_SMOOTHING = 0.25  # weight of an observation below the estimate
INCREASE_SMOOTHING = 0.02  # weight of an observation above it, which may include queueing
MAX_INCREASE_RATIO = 2.0  # observations are capped at this multiple of the estimate


def compute_prefill_cost(cached_tokens: int, uncached_tokens: int) -> float:
    """Returns the total cost of prefilling the uncached tokens; the unit is the cost of the first token of a prompt."""
    return uncached_tokens * (1.0 + (cached_tokens + uncached_tokens / 2) / DOUBLE_COST_AT_TOKENS)


@dataclass(slots=True)
class PrefillTimes:
    """Latency estimates of one service."""

    prefill_s_per_cost_unit: float = INITIAL_PREFILL_S_PER_COST_UNIT  # the unit of `compute_prefill_cost`
    base_latency_s: dict[str, float] = field(default_factory=dict)  # by route, without the prefill

    def expected_latency_s(self, route: str, prefill_cost: float, default_base_s: float) -> float:
        """Returns the time to the first chunk at an idle server; the default applies before the first response."""
        return self.base_latency_s.get(route, default_base_s) + self.prefill_s_per_cost_unit * prefill_cost

    def observe(self, route: str, prefill_cost: float, latency_s: float) -> None:
        """Updates the estimates with the latency of a first chunk, for a prompt of this prefill cost."""
        base_latency_s = self.base_latency_s.get(route)
        if base_latency_s is None:
            self.base_latency_s[route] = max(
                MIN_BASE_LATENCY_S, latency_s - self.prefill_s_per_cost_unit * prefill_cost
            )
        elif prefill_cost <= SHORT_PROMPT_COST:
            self.base_latency_s[route] = _smoothed(
                base_latency_s, max(MIN_BASE_LATENCY_S, latency_s - self.prefill_s_per_cost_unit * prefill_cost)
            )
        elif prefill_cost >= LONG_PROMPT_COST and latency_s > base_latency_s:
            self.prefill_s_per_cost_unit = _smoothed(
                self.prefill_s_per_cost_unit, (latency_s - base_latency_s) / prefill_cost
            )
        else:
            self.base_latency_s[route] = min(base_latency_s, max(MIN_BASE_LATENCY_S, latency_s))


def _smoothed(estimate: float, sample: float) -> float:
    sample = min(max(sample, 0.5 * estimate), MAX_INCREASE_RATIO * estimate)
    return estimate + (DECREASE_SMOOTHING if sample < estimate else INCREASE_SMOOTHING) * (sample - estimate)
