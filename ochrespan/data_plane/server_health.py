"""Passive health checks: a server's health is derived from the outcomes of the attempts sent to it.

Consecutive failures eject a server for an exponentially growing time. After that it gets one request at a time until
one succeeds. At least half of the servers of a service stay in use, whatever the outcomes are.
"""

from __future__ import annotations

from dataclasses import dataclass

from .decisions import Outcome

EJECT_AFTER = 3.0  # consecutive weighted failures
FIRST_EJECTION_S = 1.0  # each further ejection in a row is twice as long
MAX_EJECTION_S = 16.0
MAX_EJECTED_FRACTION = 0.5  # of the servers of a service
FAILURE_WEIGHTS = {  # weight of one failure
    Outcome.NOT_SENT: EJECT_AFTER,  # nothing listens, or the connection cannot be established
    Outcome.MISDIRECTED: EJECT_AFTER,  # another incarnation has the address, and the routing table will be updated
    Outcome.LOST: 1.0,
    Outcome.GARBLED: 1.0,
    Outcome.TIMED_OUT: 1.0,
    Outcome.FAILED_STATUS: 0.5,  # the request itself may be the cause
}


@dataclass(slots=True)
class ServerHealth:
    """Failure counters and ejection state of one server."""

    failures: float = 0.0  # weighted, since the last success
    ejections: int = 0  # since the last success
    ejected_until: float = 0.0
    failed_at: float = 0.0  # time of the last counted failure

    def record_success(self) -> None:
        self.failures, self.ejections, self.ejected_until = 0.0, 0, 0.0

    def record_failure(self, now: float, outcome: Outcome, sent_at: float) -> None:
        """Counts a failure, unless the attempt was sent before the last counted failure and so shares its cause."""
        if sent_at < self.failed_at or outcome not in FAILURE_WEIGHTS:
            return
        self.failures, self.failed_at = self.failures + FAILURE_WEIGHTS[outcome], now
        if self.failures >= EJECT_AFTER:
            self.ejected_until = now + min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
            self.ejections += 1

    def is_ejected(self, now: float) -> bool:
        return now < self.ejected_until

    def is_on_probation(self) -> bool:
        """Returns whether the server was ejected and no request has succeeded since."""
        return self.ejections > 0
