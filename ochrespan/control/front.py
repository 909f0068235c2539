"""Carries out the calls of the control address and answers them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from ..exchange import Exchange, Reply
from ..lifecycle import Lifecycle
from ..metric_samples import MetricSample
from ..suspension import SuspensionController, UnknownServer
from .commands import (
    ActivateFront,
    Command,
    DrainFront,
    ReadMetrics,
    ReadReadiness,
    ResumeServer,
    SuspendServer,
    UnknownPath,
    WrongMethod,
    read_command,
)
from .statsd import statsd_text

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 16 * 1024  # bytes of a call's body, which is read and ignored
MAX_CONNECTIONS = 24  # at once: no client can take them, and operators do not need more


class ControlFront:
    """One answer to each call; every answer ends its connection."""

    def __init__(
        self, lifecycle: Lifecycle, servers: SuspensionController, figures: Callable[[], Iterator[MetricSample]]
    ) -> None:
        self._lifecycle, self._servers, self._figures = lifecycle, servers, figures

    async def handle(self, request: Exchange) -> Reply:
        try:
            await request.read()
            reply = self._carry_out(read_command(request.method, request.target))
        except UnknownPath as why:
            reply = Reply.text(404, f"{why}\n")
        except WrongMethod as why:
            reply = Reply.text(405, f"{why}\n", {"Allow": why.allowed})
        except UnknownServer as why:
            reply = Reply.text(404, f"{why}\n")
        except Exception:
            log.exception("control call failed")
            reply = Reply(500)
        reply.close = True
        return reply

    def _carry_out(self, command: Command) -> Reply:
        match command:
            case ReadReadiness():
                return self._readiness()
            case ReadMetrics():
                return Reply.text(200, statsd_text(self._figures()))
            case SuspendServer(server):
                self._servers.suspend(server)
                return Reply.text(200, "suspended\n")
            case ResumeServer(server):
                self._servers.resume(server)
                return Reply.text(200, "resumed\n")
            case DrainFront():
                self._lifecycle.deactivate()
                return self._phase()
            case ActivateFront():
                if not self._lifecycle.activate():
                    return self._phase(409)
                return self._phase()

    def _readiness(self) -> Reply:
        return self._phase(200 if self._lifecycle.serving else 503)

    def _phase(self, status: int = 200) -> Reply:
        return Reply.text(status, f"{self._lifecycle.phase.value}\n")
