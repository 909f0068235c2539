"""The router's figures: decisions about requests, ends of attempts, and what is held."""

from __future__ import annotations

from ochrespan.observability.metrics import MetricsRegistry

from .decisions import Action, Outcome

DECISION_NAMES = {"Send": "send", "Refuse": "refuse", "Fail": "fail"}


class RouterMetrics:
    """Counts what the scheduler decides and how attempts end."""

    def __init__(self, registry: MetricsRegistry) -> None:
        self.registry = registry
        self._decisions = registry.counter(
            "ochrespan_router_decisions_total", "Attempts sent, requests refused or failed.", "decision"
        )
        self._attempts = registry.counter(
            "ochrespan_router_attempts_total", "Ended attempts by how they ended.", "outcome"
        )

    def record_decision(self, action: Action) -> None:
        """The scheduler decided about a request."""
        self._decisions.add(DECISION_NAMES[type(action).__name__])

    def record_attempt_end(self, outcome: Outcome) -> None:
        """An attempt ended."""
        self._attempts.add(outcome.name.lower())
