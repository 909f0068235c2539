"""The platform's question whether this router wants new connections, and the router's figures for collectors."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from ..observability.registry import CONTENT_TYPE, Registry
from .own_answers import OwnAnswer, StartResponse

READY_PATH = "/api/readyz"
FIGURES_PATH = "/api/metrics"


class ReadinessServer(WSGIServer):
    """Answers 200 while `is_ready` says so, else 503. The library's own handler does for a question a second."""

    def __init__(self, listener: Any, is_ready: Callable[[], bool], registry: Registry) -> None:
        environment = {"SERVER_NAME": "router"}  # else the library would look the name up
        super().__init__(listener, self._respond, log=None, error_log=None, environ=environment)
        self._is_ready = is_ready
        self._registry = registry

    def _respond(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        asked = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if asked == ("GET", FIGURES_PATH):
            body = self._registry.render().encode()
            start_response("200 OK", [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))])
            return [body]
        if asked != ("GET", READY_PATH):
            return OwnAnswer(404, f"found nothing, allowed GET {READY_PATH}, {FIGURES_PATH}").respond(start_response)
        answer = OwnAnswer(200, "ready") if self._is_ready() else OwnAnswer(503, "not ready")
        return answer.respond(start_response)
