"""The control interface over HTTP: for the operator, for servers, and for the command line."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from gevent.pywsgi import WSGIServer

from ochrespan.common.addresses import Address
from ochrespan.common.validation import Check, Finding, ValidationError
from ochrespan.control_plane.config.commands import ConfigCommandKind, make_command
from ochrespan.control_plane.config.documents import (
    CHECK_CONFIGURATION,
    CHECK_INSTANCE,
    CHECK_LEADERSHIP,
    CHECK_PATCH,
    MAX_ID_CHARACTERS,
    read_json,
)
from ochrespan.control_plane.registry.records import record_of
from ochrespan.control_plane.responses import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    PRECONDITION_FAILED,
    RETRY_AFTER_S,
    UNAVAILABLE,
    Response,
    findings_response,
    json_response,
)
from ochrespan.observability.metrics import CONTENT_TYPE, MetricsRegistry

from .forwarding import ControlService

log = logging.getLogger(__name__)


MAX_BODY_BYTES = 8 * 1024 * 1024
CLUSTER_HEADER = "X-Fleet-Cluster"  # in an order: the fleet that it is meant for, as /api/status names it
CLUSTER_VARIABLE = "HTTP_X_FLEET_CLUSTER"
INSTANCES_PATH = "/api/instances/"
METRICS_PATH = "/api/metrics"

Environment = dict[str, Any]
Handler = Callable[[Environment], Response]


class BodyTooLargeError(Exception):
    """A request's body exceeds MAX_BODY_BYTES."""


class ControlApi:
    """The WSGI application. `status` gives the document of `/api/status`, `ready` whether `/api/readyz` says yes."""

    def __init__(
        self,
        service: ControlService,
        status: Callable[[], dict[str, Any]],
        ready: Callable[[], bool],
        registry: MetricsRegistry,
    ) -> None:
        self._service = service
        self._status = status
        self._ready = ready
        self._registry = registry
        self._routes: dict[str, dict[str, Handler]] = {
            "/api/config": {"GET": self._get_config, "PUT": self._put_config, "PATCH": self._patch_config},
            "/api/config/history": {"GET": self._get_history},
            "/api/leadership": {"PUT": self._put_leadership},
            "/api/readyz": {"GET": self._get_ready},
            "/api/status": {"GET": self._get_status},
        }
        self._instance_methods: dict[str, Handler] = {"PUT": self._put_instance, "DELETE": self._delete_instance}

    def __call__(self, environment: Environment, start_response: Callable[..., Any]) -> Iterable[bytes]:
        if (environment["REQUEST_METHOD"], environment["PATH_INFO"]) == ("GET", METRICS_PATH):
            return self._figures(start_response)
        answer = self._answer(environment)
        body = answer.body
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if answer.status == UNAVAILABLE:
            headers.append(("Retry-After", f"{RETRY_AFTER_S:g}"))
        start_response(f"{answer.status} {HTTPStatus(answer.status).phrase}", headers)
        return [body]

    def _figures(self, start_response: Callable[..., Any]) -> Iterable[bytes]:
        body = self._registry.render().encode()
        start_response("200 OK", [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))])
        return [body]

    def _answer(self, environment: Environment) -> Response:
        path, method = environment["PATH_INFO"], environment["REQUEST_METHOD"]
        methods = self._instance_methods if path.startswith(INSTANCES_PATH) else self._routes.get(path)
        if methods is None:
            allowed = ", ".join((*self._routes, METRICS_PATH, INSTANCES_PATH + "ID"))
            return findings_response(NOT_FOUND, [Finding("path", path, allowed)])
        handler = methods.get(method)
        if handler is None:
            return findings_response(METHOD_NOT_ALLOWED, [Finding("method", method, ", ".join(methods))])
        try:
            return handler(environment)
        except ValidationError as error:
            return findings_response(BAD_REQUEST, error.findings)
        except BodyTooLargeError:
            allowed = f"at most {MAX_BODY_BYTES} bytes"
            return findings_response(CONTENT_TOO_LARGE, [Finding("body", "a longer body", allowed)])

    def _get_config(self, environment: Environment) -> Response:
        return self._service.read_configuration()

    def _put_config(self, environment: Environment) -> Response:
        return self._order(ConfigCommandKind.REPLACE, CHECK_CONFIGURATION, environment)

    def _patch_config(self, environment: Environment) -> Response:
        return self._order(ConfigCommandKind.PATCH, CHECK_PATCH, environment)

    def _order(self, kind: ConfigCommandKind, check: Check, environment: Environment) -> Response:
        wanted, own = environment.get(CLUSTER_VARIABLE, ""), self._service.cluster_name()
        if wanted and own and wanted != own:
            return findings_response(PRECONDITION_FAILED, [Finding(CLUSTER_HEADER, wanted, f"{own}, or none")])
        version, body = _read_version(environment), _read_body(environment)
        return self._service.order(make_command(kind, version, read_json(body, check), _now_ms()))

    def _get_history(self, environment: Environment) -> Response:
        return self._service.read_history()

    def _put_leadership(self, environment: Environment) -> Response:
        wanted = read_json(_read_body(environment), CHECK_LEADERSHIP)
        return self._service.decline_leadership(wanted["decline_for_s"])

    def _put_instance(self, environment: Environment) -> Response:
        instance_id = _read_instance_id(environment)
        return self._service.report(record_of(instance_id, read_json(_read_body(environment), CHECK_INSTANCE)))

    def _delete_instance(self, environment: Environment) -> Response:
        return self._service.ended(_read_instance_id(environment))

    def _get_ready(self, environment: Environment) -> Response:
        return json_response(OK if self._ready() else UNAVAILABLE, {})

    def _get_status(self, environment: Environment) -> Response:
        return json_response(OK, self._status())


def serve_api(address: Address, application: ControlApi) -> WSGIServer:
    """A server that is started and answers on `address`."""
    server = WSGIServer(address, application, log=None, error_log=log)
    server.start()
    return server


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _read_version(environment: Environment) -> int:
    given = environment.get("HTTP_IF_MATCH", "")
    bare = given.strip().removeprefix("W/").strip('"')
    if not bare.isascii() or not bare.isdigit():
        raise ValidationError([Finding("If-Match", json.dumps(given), "the version that the change builds on")])
    return int(bare)


def _read_body(environment: Environment) -> bytes:
    declared = environment.get("CONTENT_LENGTH") or ""
    if declared.isdigit() and int(declared) > MAX_BODY_BYTES:
        raise BodyTooLargeError
    try:
        body = environment["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except OSError as error:
        raise ValidationError([Finding("body", str(error), "the whole body")]) from error
    if len(body) > MAX_BODY_BYTES:
        raise BodyTooLargeError
    if declared.isdigit() and len(body) < int(declared):
        raise ValidationError([Finding("body", f"{len(body)} bytes", f"{declared} bytes, as announced")])
    return body


def _read_instance_id(environment: Environment) -> str:
    path = environment["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")  # WSGI gives bytes as Latin-1
    instance_id = path.removeprefix(INSTANCES_PATH)
    if not 0 < len(instance_id) <= MAX_ID_CHARACTERS or "/" in instance_id or not instance_id.isprintable():
        allowed = f"1 to {MAX_ID_CHARACTERS} printable characters without a slash"
        raise ValidationError([Finding("path", json.dumps(instance_id), allowed)])
    return instance_id
