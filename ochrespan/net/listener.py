"""Listening sockets whose connections stay under a bound."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from itertools import islice
from typing import Any

from aiohttp import web

RESERVE = 64  # descriptors for the rest: log, discovery, listeners, sinks, what is just being accepted
IDLE = timedelta(seconds=1)  # a connection that has been quiet for so long may be let go


class Listener(web.Server):
    """A server that lets its quietest connections go for each one beyond the most it should hold.

    At the limit of descriptors the kernel goes on accepting what the program can no longer take over: those
    requests would be lost. Only what is between requests is closed, and not what has just come: its first request
    may be here already, unread. (aiohttp's own `close` of an idle connection leaves it open and deaf.)
    """

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], most: int) -> None:
        super().__init__(self._tracked, handler_cancellation=True, access_log=None, auto_decompress=False)
        self._handler, self._most = handler, max(1, most)
        self._quiet: dict[Any, float] = {}  # connections between requests, the longest so first
        self._listener: asyncio.Server | None = None

    async def _tracked(self, request: web.BaseRequest) -> web.StreamResponse:
        self._quiet.pop(request.protocol, None)
        try:
            return await self._handler(request)
        finally:
            if request.transport is not None:
                self._quiet[request.protocol] = self._now()

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        excess = len(self.connections) - self._most
        if excess > 0:
            quiet = (held for held, since in self._quiet.items() if since < self._now() - IDLE.total_seconds())
            for oldest in list(islice(quiet, excess)):
                del self._quiet[oldest]
                oldest.force_close()
        self._quiet[handler] = self._now()

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        self._quiet.pop(handler, None)
        super().connection_lost(handler, exc)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def open(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self, *address, backlog=1024, reuse_address=True)

    def stop_accepting(self) -> None:
        if self._listener is not None:
            self._listener.close()
