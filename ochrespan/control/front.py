"""Handles the operators' HTTP requests at the control address: readiness, metrics, draining and activating this
process, suspending and resuming chunk servers.
"""

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

MAX_BODY_BYTES = 16 * 1024  # the body of a request is read and ignored
MAX_CONNECTIONS = 24  # concurrent; reserved for operators, clients cannot use them


class ControlFront:
    """Answers each request with one response, which closes the connection."""

    def __init__(
        self, lifecycle: Lifecycle, servers: SuspensionController, metrics: Callable[[], Iterator[MetricSample]]
    ) -> None:
        self._lifecycle, self._servers, self._metrics = lifecycle, servers, metrics

    async def handle(self, request: Exchange) -> Reply:
        try:
            await request.read()
            reply = self._execute(read_command(request.method, request.target))
        except UnknownPath as error:
            reply = Reply.text(404, f"{error}\n")
        except WrongMethod as error:
            reply = Reply.text(405, f"{error}\n", {"Allow": error.allowed})
        except UnknownServer as error:
            reply = Reply.text(404, f"{error}\n")
        except Exception:
            log.exception("control call failed")
            reply = Reply(500)
        reply.close = True
        return reply

    def _execute(self, command: Command) -> Reply:
        match command:
            case ReadReadiness():
                return self._readiness()
            case ReadMetrics():
                return Reply.text(200, statsd_text(self._metrics()))
            case SuspendServer(server):
                self._servers.suspend(server)
                return Reply.text(200, "suspended\n")
            case ResumeServer(server):
                self._servers.resume(server)
                return Reply.text(200, "resumed\n")
            case DrainFront():
                self._lifecycle.deactivate()
                return self._phase_reply()
            case ActivateFront():
                if not self._lifecycle.activate():
                    return self._phase_reply(409)
                return self._phase_reply()

    def _readiness(self) -> Reply:
        return self._phase_reply(200 if self._lifecycle.serving else 503)

    def _phase_reply(self, status: int = 200) -> Reply:
        return Reply.text(status, f"{self._lifecycle.phase.value}\n")
