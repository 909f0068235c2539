"""HTTP server for the platform's readiness probe, an operator's drain, the metrics and the progress of the feed."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, TypedDict

from gevent.pywsgi import WSGIServer

from ochrespan.common.validation import Finding, Findings, ValidationError, flag
from ochrespan.observability.metrics import CONTENT_TYPE, MetricsRegistry

from .local_responses import LocalResponse, StartResponse

READY_PATH = "/api/readyz"
METRICS_PATH = "/api/metrics"
READINESS_PATH = "/api/readiness"
FEED_PATH = "/api/feed"
MAX_BODY_BYTES = 1024

Environment = dict[str, Any]


class Readiness(TypedDict):
    """The body of a PUT request to READINESS_PATH."""

    drained: bool


class ReadinessServer(WSGIServer):
    """Responds 200 while `is_ready` returns True, else 503. gevent's handler suffices for one probe a second."""

    def __init__(
        self,
        listener: Any,
        is_ready: Callable[[], bool],
        set_drained: Callable[[bool], None],
        registry: MetricsRegistry,
        feed_document: Callable[[], dict[str, Any]],
    ) -> None:
        environment = {
            "SERVER_NAME": "router"
        }  # a fixed name, as gevent's WSGI server would otherwise look up the host name in DNS
        super().__init__(listener, self._respond, log=None, error_log=None, environ=environment)
        self._is_ready = is_ready
        self._set_drained = set_drained
        self._registry = registry
        self._feed_document = feed_document

    def _respond(self, environ: Environment, start_response: StartResponse) -> Iterable[bytes]:
        endpoint = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if endpoint == ("GET", READY_PATH):
            response = LocalResponse(200, "ready") if self._is_ready() else LocalResponse(503, "not ready")
            return response.respond(start_response)
        if endpoint == ("GET", METRICS_PATH):
            return _respond_with(start_response, HTTPStatus.OK, CONTENT_TYPE, self._registry.render())
        if endpoint == ("GET", FEED_PATH):
            return _respond_with_json(start_response, HTTPStatus.OK, self._feed_document())
        if endpoint == ("PUT", READINESS_PATH):
            return self._change(environ, start_response)
        allowed = f"GET {READY_PATH}, GET {METRICS_PATH}, GET {FEED_PATH}, PUT {READINESS_PATH}"
        return LocalResponse(404, f"found nothing, allowed {allowed}").respond(start_response)

    def _change(self, environ: Environment, start_response: StartResponse) -> Iterable[bytes]:
        try:
            requested = _read_readiness(environ)
        except ValidationError as error:
            findings = [each.fields() for each in error.findings]
            return _respond_with_json(start_response, HTTPStatus.BAD_REQUEST, {"findings": findings})
        self._set_drained(requested["drained"])
        return _respond_with_json(start_response, HTTPStatus.OK, requested)


def _read_readiness(environ: Environment) -> Readiness:
    body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    try:
        document = json.loads(body) if len(body) <= MAX_BODY_BYTES else None
    except ValueError as error:
        raise ValidationError([Finding("body", str(error), "a whole JSON document")]) from error
    findings = Findings()
    flag(document.get("drained") if isinstance(document, dict) else None, "drained", findings)
    if findings:
        raise findings.error()
    return Readiness(drained=document["drained"])


def _respond_with_json(start_response: StartResponse, status: HTTPStatus, document: Any) -> Iterable[bytes]:
    return _respond_with(start_response, status, "application/json", json.dumps(document))


def _respond_with(start_response: StartResponse, status: HTTPStatus, kind: str, text: str) -> Iterable[bytes]:
    body = text.encode()
    start_response(f"{status.value} {status.phrase}", [("Content-Type", kind), ("Content-Length", str(len(body)))])
    return [body]
