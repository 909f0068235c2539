"""One service at one router: its servers, queues and retry budget, and the effect of outcomes on server health."""

from __future__ import annotations

from dataclasses import dataclass, field

from .decisions import Outcome, Server
from .flow_queues import FlowQueues
from .placement import Placement
from .retry_budget import RetryBudget
from .server_health import MAX_EJECTED_FRACTION
from .server_state import Attempt, ServerState

RESPONSE_TIMEOUT_S = 1.5  # time without any response after which a disconnecting client counts against the server
OUTCOMES_WITHOUT_RESPONSE = frozenset({Outcome.NOT_SENT, Outcome.TIMED_OUT, Outcome.CANCELLED})


@dataclass(slots=True, eq=False)
class ServicePool:
    """The servers, queues and retry budget of one service."""

    budget: RetryBudget
    placement: Placement
    listed: list[Server] = field(default_factory=list)  # as in the routing table
    routers: int = 0
    servers: dict[str, ServerState] = field(default_factory=dict)
    usable_servers: list[ServerState] = field(default_factory=list)  # not draining
    queues: FlowQueues = field(default_factory=FlowQueues)

    def set_servers(self, listed: list[Server], routers: int) -> None:
        """Replaces the servers of the service; an unchanged list costs one comparison."""
        if routers == self.routers and listed == self.listed:
            return
        self.listed, self.routers = listed, routers
        servers: dict[str, ServerState] = {}
        for server in listed:
            state = self.servers.get(server.id) or ServerState(server)
            state.server = server
            state.set_router_count(routers)
            servers[server.id] = state
        self.servers = servers
        self.usable_servers = [state for state in servers.values() if not state.server.draining]
        self.placement.set_servers(self.usable_servers)

    def set_router_count(self, routers: int) -> None:
        """Adjusts the windows of all servers to the number of routers."""
        self.routers = routers
        for state in self.servers.values():
            state.set_router_count(routers)

    def record_outcome(self, now: float, server: ServerState, outcome: Outcome, attempt: Attempt) -> None:
        """Updates the health of a server from the outcome of an attempt."""
        if outcome not in OUTCOMES_WITHOUT_RESPONSE:
            server.last_response_at = now
        if outcome is Outcome.DONE:
            server.health.record_success()
        elif outcome is Outcome.REJECTED_FULL:
            server.record_rejection(now)
        elif self.can_eject(now):
            server.health.record_failure(now, outcome, attempt.sent_at)

    def record_abandoned(self, now: float, server: ServerState, attempt: Attempt | None) -> None:
        """Counts an abandoned attempt as a time-out if the server has sent no response to anyone since its start."""
        if attempt is None or attempt.has_responded or server.last_response_at >= attempt.sent_at:
            return
        if now - attempt.sent_at > RESPONSE_TIMEOUT_S and self.can_eject(now):
            server.health.record_failure(now, Outcome.TIMED_OUT, attempt.sent_at)

    def can_eject(self, now: float) -> bool:
        """Returns whether one more server may be ejected without exceeding MAX_EJECTED_FRACTION."""
        ejected = sum(server.health.is_ejected(now) for server in self.usable_servers)
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(self.usable_servers)
