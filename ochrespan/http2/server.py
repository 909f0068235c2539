"""The HTTP/2 server of one port: its connections, what they share, and its drain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from ..exchange import Handler
from ..lifecycle import Lifecycle, Phase
from .exchange import Http2Exchange
from .limits import BufferBudget, Limits
from .protocol import Http2Connection
from .scheduling import Priority, urgency_of

SHUTDOWN_POLL_INTERVAL = timedelta(seconds=0.01)  # between looks at whether the last connection is gone


class Http2Server:
    """Makes the connections of one port, and tells them of a drain."""

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int | None,
        lifecycle: Lifecycle,
        limits: Limits,
        buffers: BufferBudget,
        stall_timeout: timedelta,
        latency_targets_s: Mapping[str, float],
    ) -> None:
        """`most_body`: bytes of a request read whole. `aims`: seconds, by class, for the default urgency.
        `stall_timeout`: for a client that takes nothing of its answer."""
        self.handler, self.max_body_bytes, self.lifecycle = handler, max_body_bytes, lifecycle
        self.limits, self.buffers, self.stall_timeout = limits, buffers, stall_timeout
        self._priorities = {
            cls: Priority(urgency_of(latency_target_s)) for cls, latency_target_s in latency_targets_s.items()
        }
        self.connections: set[Http2Connection] = set()
        self.draining = False

    def connection(self, on_state_change: Callable[[Any], None]) -> Http2Connection:
        """A connection; `on_state` hears of each new state, and of the end."""
        return Http2Connection(self, on_state_change)

    def priority(self, exchange: Http2Exchange) -> Priority:
        """For a request whose client said nothing of it: by its class's aim."""
        return self._priorities.get(exchange.headers.get("x-qos", ""), Priority(incremental=True))

    def release_credit(self) -> None:
        """Room for more bodies: connections whose credit was held back may open their windows."""
        if self.buffers.credit_withheld and not self.buffers.full:
            self.buffers.credit_withheld = False
            for connection in self.connections:
                connection.release_credit()

    async def follow_lifecycle(self) -> None:
        """Tells all clients once the program drains."""
        await self.lifecycle.reached(Phase.DRAINING)
        self.draining = True
        for connection in list(self.connections):
            connection.drain()
        await self.lifecycle.reached(Phase.CLOSING)
        for connection in list(self.connections):
            connection.finish_drain()

    async def shutdown(self, timeout: timedelta) -> None:
        """Ends all connections, and waits for that so long at the most."""
        for connection in list(self.connections):
            connection.expire()
        deadline = asyncio.get_running_loop().time() + timeout.total_seconds()
        while self.connections and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL.total_seconds())
