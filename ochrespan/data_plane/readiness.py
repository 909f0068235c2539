"""The platform's question whether this router wants new connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from .own_answers import OwnAnswer, StartResponse

READY_PATH = "/api/readyz"


class ReadinessServer(WSGIServer):
    """Answers 200 while `is_ready` says so, else 503. The library's own handler does for a question a second."""

    def __init__(self, listener: Any, is_ready: Callable[[], bool]) -> None:
        environment = {"SERVER_NAME": "router"}  # else the library would look the name up
        super().__init__(listener, self._respond, log=None, error_log=None, environ=environment)
        self._is_ready = is_ready

    def _respond(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        if environ["PATH_INFO"] != READY_PATH or environ["REQUEST_METHOD"] != "GET":
            return OwnAnswer(404, f"found nothing, allowed GET {READY_PATH}").respond(start_response)
        answer = OwnAnswer(200, "ready") if self._is_ready() else OwnAnswer(503, "not ready")
        return answer.respond(start_response)
