"""Metrics of the router: decisions about requests, and outcomes of attempts."""

from __future__ import annotations

from ochrespan.observability.metrics import MetricsRegistry

from .decisions import Action, Outcome

DECISION_NAMES = {"Send": "send", "Refuse": "refuse", "Fail": "fail"}


class RouterMetrics:
    """Counts the decisions of the scheduler and the outcomes of attempts."""

    def __init__(self, registry: MetricsRegistry) -> None:
        self.registry = registry
        self._decisions = registry.counter(
            "ochrespan_router_decisions_total", "Attempts sent, requests refused or failed.", "decision"
        )
        self._attempts = registry.counter(
            "ochrespan_router_attempts_total", "Ended attempts by how they ended.", "outcome"
        )

    def record_decision(self, action: Action) -> None:
        """Counts a decision of the scheduler."""
        self._decisions.add(DECISION_NAMES[type(action).__name__])

    def record_attempt_end(self, outcome: Outcome) -> None:
        """Counts the outcome of an attempt."""
        self._attempts.add(outcome.name.lower())
