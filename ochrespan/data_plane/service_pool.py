"""One service at one router: its servers, queues and retry budget, and what the ends of requests tell of servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from .decisions import Outcome, Server
from .flow_queues import FlowQueues
from .placement import Placement
from .retry_budget import RetryBudget
from .server_health import MAX_EJECTED_FRACTION
from .server_state import Attempt, ServerState

RESPONSE_TIMEOUT_S = 1.5  # s without a word after which a client that leaves says something about the server
OUTCOMES_WITHOUT_RESPONSE = frozenset(
    {Outcome.NOT_SENT, Outcome.TIMED_OUT, Outcome.CANCELLED}
)  # outcomes without a server's word


@dataclass(slots=True, eq=False)
class ServicePool:
    """One service."""

    budget: RetryBudget
    placement: Placement
    listed: list[Server] = field(default_factory=list)
    routers: int = 0
    servers: dict[str, ServerState] = field(default_factory=dict)
    usable: list[ServerState] = field(default_factory=list)  # those that are not draining
    queues: FlowQueues = field(default_factory=FlowQueues)

    def set_servers(self, listed: list[Server], routers: int) -> None:
        """The whole table of the service; one that has not changed costs no more than looking."""
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
        self.usable = [state for state in servers.values() if not state.server.draining]
        self.placement.set_servers(self.usable)

    def set_router_count(self, routers: int) -> None:
        """This router's part of every server, after another count of routers."""
        self.routers = routers
        for state in self.servers.values():
            state.set_router_count(routers)

    def record_outcome(self, now: float, server: ServerState, outcome: Outcome, attempt: Attempt) -> None:
        """What the end of an attempt tells of its server."""
        if outcome not in OUTCOMES_WITHOUT_RESPONSE:
            server.last_response_at = now
        if outcome is Outcome.DONE:
            server.health.record_success()
        elif outcome is Outcome.REJECTED_FULL:
            server.record_rejection(now)
        elif self.can_eject(now):
            server.health.record_failure(now, outcome, attempt.sent_at)

    def record_abandoned(self, now: float, server: ServerState, attempt: Attempt | None) -> None:
        """A client has left: a server that has said nothing to anyone since it was asked may be gone."""
        if attempt is None or attempt.has_responded or server.last_response_at >= attempt.sent_at:
            return
        if now - attempt.sent_at > RESPONSE_TIMEOUT_S and self.can_eject(now):
            server.health.record_failure(now, Outcome.TIMED_OUT, attempt.sent_at)

    def can_eject(self, now: float) -> bool:
        """The floor: so many servers of a service stay in use, whatever their requests' ends say."""
        ejected = sum(server.health.is_ejected(now) for server in self.usable)
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(self.usable)
