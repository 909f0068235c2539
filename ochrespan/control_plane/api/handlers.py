"""The control interface over HTTP (WSGI): for operators, for servers, and for the command line.

Requests are parsed and validated here and carried out by `forwarding.ControlService`.
"""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, TypeVar

import gevent
from gevent.pywsgi import WSGIServer

from ochrespan.common.addresses import Address
from ochrespan.common.validation import Check, Finding, ValidationError
from ochrespan.control_plane.config.commands import (
    ConfigCommand,
    ConfigCommandKind,
    RestoreCommand,
    make_command,
    make_restore_command,
)
from ochrespan.control_plane.config.documents import (
    CHECK_BACKUP,
    CHECK_BOOTSTRAP,
    CHECK_CONFIGURATION,
    CHECK_INSTANCE,
    CHECK_LEADERSHIP,
    CHECK_PATCH,
    MAX_ID_CHARACTERS,
    read_json,
)
from ochrespan.control_plane.registry.records import record_from_document
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
    unavailable_response,
)
from ochrespan.observability.metrics import CONTENT_TYPE, MetricsRegistry

from .errors import BodyTooLargeError
from .forwarding import ControlService

log = logging.getLogger(__name__)


MAX_BODY_BYTES = 8 * 1024 * 1024
MIN_BACKGROUND_BYTES = 64 * 1024  # shorter bodies are checked in a few milliseconds, without a thread
CLUSTER_HEADER = "X-Fleet-Cluster"  # of a configuration command: the cluster it is meant for, as in /api/status
CLUSTER_VARIABLE = "HTTP_X_FLEET_CLUSTER"  # that header in a WSGI environment (PEP 3333)
INSTANCES_PATH = "/api/instances/"
METRICS_PATH = "/api/metrics"

Environment = dict[str, Any]
Handler = Callable[[Environment], Response]
Command = TypeVar("Command", ConfigCommand, RestoreCommand)


class ControlApi:
    """The WSGI application.

    Args:
        service: Carries out the requests.
        status: Returns the document of `/api/status`.
        is_ready: Returns whether `/api/readyz` responds with 200.
        registry: The metrics of `/api/metrics`.
    """

    def __init__(
        self,
        service: ControlService,
        status: Callable[[], dict[str, Any]],
        is_ready: Callable[[], bool],
        registry: MetricsRegistry,
    ) -> None:
        self._service = service
        self._status = status
        self._is_ready = is_ready
        self._registry = registry
        self._routes: dict[str, dict[str, Handler]] = {
            "/api/bootstrap": {"PUT": self._put_bootstrap},
            "/api/config": {"GET": self._get_config, "PUT": self._put_config, "PATCH": self._patch_config},
            "/api/config/backup": {"GET": self._get_backup, "PUT": self._put_backup},
            "/api/config/history": {"GET": self._get_history},
            "/api/leadership": {"PUT": self._put_leadership},
            "/api/readyz": {"GET": self._get_ready},
            "/api/status": {"GET": self._get_status},
        }
        self._instance_methods: dict[str, Handler] = {"PUT": self._put_instance, "DELETE": self._delete_instance}

    def __call__(self, environment: Environment, start_response: Callable[..., Any]) -> Iterable[bytes]:
        """Responds to one request (PEP 3333)."""
        if (environment["REQUEST_METHOD"], environment["PATH_INFO"]) == ("GET", METRICS_PATH):
            return self._respond_with_metrics(start_response)
        response = self._handle(environment)
        body = response.body
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if response.status == UNAVAILABLE:
            headers.append(("Retry-After", f"{RETRY_AFTER_S:g}"))
        start_response(f"{response.status} {HTTPStatus(response.status).phrase}", headers)
        return [body]

    def _respond_with_metrics(self, start_response: Callable[..., Any]) -> Iterable[bytes]:
        body = self._registry.render().encode()
        start_response("200 OK", [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))])
        return [body]

    def _handle(self, environment: Environment) -> Response:
        path: str = environment["PATH_INFO"]
        method: str = environment["REQUEST_METHOD"]
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
            return findings_response(BAD_REQUEST, error.findings, error.total)
        except BodyTooLargeError as error:
            allowed = f"at most {error.max_bytes} bytes"
            return findings_response(CONTENT_TOO_LARGE, [Finding("body", "a longer body", allowed)])

    def _get_config(self, _environment: Environment) -> Response:
        return self._service.read_configuration()

    def _put_config(self, environment: Environment) -> Response:
        return self._submit(ConfigCommandKind.REPLACE, CHECK_CONFIGURATION, environment)

    def _patch_config(self, environment: Environment) -> Response:
        return self._submit(ConfigCommandKind.PATCH, CHECK_PATCH, environment)

    def _submit(self, kind: ConfigCommandKind, check: Check, environment: Environment) -> Response:
        """Submits a configuration command, unless its header names another cluster than this controller's."""
        if rejection := self._reject_other_cluster(environment):
            return rejection
        version = _read_version(environment)
        body = _read_body(environment)
        return self._service.submit(_in_background(body, lambda: _read_command(kind, version, body, check)))

    def _reject_other_cluster(self, environment: Environment) -> Response | None:
        """Returns the error response to a command for another cluster than this controller's; None if it may proceed.

        A controller that does not know its cluster yet, or may still leave it, can neither accept nor reject a command
        for a named cluster: it responds with 503.
        """
        intended_cluster = environment.get(CLUSTER_VARIABLE, "")
        own_cluster = self._service.cluster_name()
        if not intended_cluster or intended_cluster == own_cluster:
            return None
        if not own_cluster:
            return unavailable_response(CLUSTER_HEADER, "a controller that has no cluster yet")
        return findings_response(
            PRECONDITION_FAILED, [Finding(CLUSTER_HEADER, intended_cluster, f"{own_cluster}, or none")]
        )

    def _get_backup(self, _environment: Environment) -> Response:
        return self._service.read_backup()

    def _put_backup(self, environment: Environment) -> Response:
        """Restores a backup into a cluster that has no configuration yet; otherwise the response is a 412."""
        if rejection := self._reject_other_cluster(environment):
            return rejection
        body = _read_body(environment)
        return self._service.submit(_in_background(body, lambda: _read_restore_command(body)))

    def _get_history(self, _environment: Environment) -> Response:
        return self._service.read_history()

    def _put_leadership(self, environment: Environment) -> Response:
        document = read_json(_read_body(environment), CHECK_LEADERSHIP)
        return self._service.decline_leadership(document["decline_for_s"])

    def _put_bootstrap(self, environment: Environment) -> Response:
        document = read_json(_read_body(environment), CHECK_BOOTSTRAP)
        if not document["proceed_without_missing"]:
            raise ValidationError([Finding("proceed_without_missing", "false", "true")])
        return self._service.proceed_without_missing_members()

    def _put_instance(self, environment: Environment) -> Response:
        instance_id = _read_instance_id(environment)
        document = read_json(_read_body(environment), CHECK_INSTANCE)
        return self._service.report_instance(record_from_document(instance_id, document))

    def _delete_instance(self, environment: Environment) -> Response:
        return self._service.remove_instance(_read_instance_id(environment))

    def _get_ready(self, _environment: Environment) -> Response:
        return json_response(OK if self._is_ready() else UNAVAILABLE, {})

    def _get_status(self, _environment: Environment) -> Response:
        return json_response(OK, self._status())


def serve_api(address: Address, application: ControlApi) -> WSGIServer:
    """Starts an HTTP server for the application; the caller closes it.

    Raises:
        OSError: The address cannot be bound.
    """
    server = WSGIServer(address, application, log=None, error_log=log)
    server.start()
    return server


def _in_background(body: bytes, read: Callable[[], Command]) -> Command:
    """Calls `read`, in a pool thread if the body is large, so that it does not delay Raft heartbeats."""
    if len(body) < MIN_BACKGROUND_BYTES:
        return read()

    def read_safely() -> Command | ValidationError:  # gevent prints exceptions that are raised in a thread
        try:
            return read()
        except ValidationError as error:
            return error

    result: Command | ValidationError = gevent.get_hub().threadpool.apply(read_safely)
    if isinstance(result, ValidationError):
        raise result
    return result


def _read_command(kind: ConfigCommandKind, version: int, body: bytes, check: Check) -> ConfigCommand:
    return make_command(kind, version, read_json(body, check), _now_ms())


def _read_restore_command(body: bytes) -> RestoreCommand:
    return make_restore_command(read_json(body, CHECK_BACKUP), _now_ms())


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _read_version(environment: Environment) -> int:
    """Returns the version in `If-Match`: a number, or an entity tag with quotes and `W/` (RFC 9110, section 8.8.3)."""
    header = environment.get("HTTP_IF_MATCH", "")
    digits = header.strip().removeprefix("W/").strip('"')
    if not digits.isascii() or not digits.isdigit():
        raise ValidationError([Finding("If-Match", json.dumps(header), "the version that the change builds on")])
    return int(digits)


def _read_body(environment: Environment) -> bytes:
    """Returns the complete request body; raises BodyTooLargeError, or ValidationError if it is truncated."""
    declared = environment.get("CONTENT_LENGTH") or ""
    if declared.isdigit() and int(declared) > MAX_BODY_BYTES:
        raise BodyTooLargeError(MAX_BODY_BYTES)
    try:
        body: bytes = environment["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except OSError as error:
        raise ValidationError([Finding("body", str(error), "the whole body")]) from error
    if len(body) > MAX_BODY_BYTES:
        raise BodyTooLargeError(MAX_BODY_BYTES)
    if declared.isdigit() and len(body) < int(declared):
        raise ValidationError([Finding("body", f"{len(body)} bytes", f"{declared} bytes, as announced")])
    return body


def _read_instance_id(environment: Environment) -> str:
    path: str = environment["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")  # WSGI gives bytes as Latin-1
    instance_id = path.removeprefix(INSTANCES_PATH)
    if not 0 < len(instance_id) <= MAX_ID_CHARACTERS or "/" in instance_id or not instance_id.isprintable():
        allowed = f"1 to {MAX_ID_CHARACTERS} printable characters without a slash"
        raise ValidationError([Finding("path", json.dumps(instance_id), allowed)])
    return instance_id
