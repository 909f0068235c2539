"""A server's health, judged by how the requests sent to it end.

Consecutive failures eject a server for a time that grows; it comes back by one request at a time until one succeeds.
A floor keeps at least half of a service's servers in use, whatever their requests' ends say.
"""

from __future__ import annotations

from dataclasses import dataclass

from .decisions import Outcome

EJECT_AFTER = 3.0  # weighted failures in a row
FIRST_EJECTION_S = 1.0  # s, the first; each further one is twice as long
MAX_EJECTION_S = 16.0  # s
MAX_EJECTED_FRACTION = 0.5  # part of a service's servers
FAILURE_WEIGHTS = {  # what one failure counts towards ejection
    Outcome.NOT_SENT: EJECT_AFTER,  # nothing listens, or no connection comes up
    Outcome.MISDIRECTED: EJECT_AFTER,  # another incarnation has the address; the table will follow
    Outcome.LOST: 1.0,
    Outcome.GARBLED: 1.0,
    Outcome.TIMED_OUT: 1.0,
    Outcome.FAILED_STATUS: 0.5,  # some requests fail anywhere
}


@dataclass(slots=True)
class ServerHealth:
    """What the ends of requests have told of one server."""

    failures: float = 0.0  # weighted, in a row
    ejections: int = 0  # in a row
    ejected_until: float = 0.0
    failed_at: float = 0.0

    def record_success(self) -> None:
        self.failures, self.ejections, self.ejected_until = 0.0, 0, 0.0

    def record_failure(self, now: float, outcome: Outcome, sent_at: float) -> None:
        """One trouble counts once, however many requests were out when it began."""
        if sent_at < self.failed_at or outcome not in FAILURE_WEIGHTS:
            return
        self.failures, self.failed_at = self.failures + FAILURE_WEIGHTS[outcome], now
        if self.failures >= EJECT_AFTER:
            self.ejected_until = now + min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
            self.ejections += 1

    def is_ejected(self, now: float) -> bool:
        return now < self.ejected_until

    def is_on_probation(self) -> bool:
        """Back from an ejection, and no request has succeeded yet."""
        return self.ejections > 0
