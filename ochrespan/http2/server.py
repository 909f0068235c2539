"""The HTTP/2 server of one port: its connections, their shared buffers, and draining."""

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

SHUTDOWN_POLL_INTERVAL = timedelta(seconds=0.01)  # for connections that are still open


class Http2Server:
    """Creates the connections of one port and drains them at shutdown."""

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
        """`max_body_bytes` limits a request body that is read completely; None: no limit. `latency_targets_s`, by
        class, set the default urgency. A stream without send progress is reset after `stall_timeout`."""
        self.handler, self.max_body_bytes, self.lifecycle = handler, max_body_bytes, lifecycle
        self.limits, self.buffers, self.stall_timeout = limits, buffers, stall_timeout
        self._priorities = {
            cls: Priority(urgency_of(latency_target_s)) for cls, latency_target_s in latency_targets_s.items()
        }
        self.connections: set[Http2Connection] = set()
        self.draining = False

    def create_connection(self, on_state_change: Callable[[Any], None]) -> Http2Connection:
        """Creates a connection; `on_state_change` is called on every state change, including CLOSED."""
        return Http2Connection(self, on_state_change)

    def priority(self, exchange: Http2Exchange) -> Priority:
        """Priority of a request without a priority field, by the latency target of its class."""
        return self._priorities.get(exchange.headers.get("x-qos", ""), Priority(incremental=True))

    def release_credit(self) -> None:
        """Lets connections return withheld credit once the shared buffers have capacity."""
        if self.buffers.credit_withheld and not self.buffers.full:
            self.buffers.credit_withheld = False
            for connection in self.connections:
                connection.release_credit()

    async def follow_lifecycle(self) -> None:
        """Drains all connections when the process drains, and sends the final GOAWAY when it closes."""
        await self.lifecycle.reached(Phase.DRAINING)
        self.draining = True
        for connection in list(self.connections):
            connection.drain()
        await self.lifecycle.reached(Phase.CLOSING)
        for connection in list(self.connections):
            connection.finish_drain()

    async def shutdown(self, timeout: timedelta) -> None:
        """Closes all connections and waits up to `timeout` for them to end."""
        for connection in list(self.connections):
            connection.expire()
        deadline = asyncio.get_running_loop().time() + timeout.total_seconds()
        while self.connections and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL.total_seconds())
