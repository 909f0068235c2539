"""Request bodies of the control interface as typed dictionaries, with their validation and parsing from JSON.

The checks here need only the document; `configuration` checks what depends on the current configuration. Fields ending
in `_ms` are in milliseconds. Unknown fields are accepted and stored, as they may belong to a later version of the
program.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from typing import Annotated, Any, NotRequired, TypedDict

from ochrespan.common.addresses import parse_address
from ochrespan.common.validation import (
    Check,
    Finding,
    Findings,
    ValidationError,
    add_finding,
    flag,
    integer,
    list_of,
    number,
    one_of,
    optional,
    show,
    text,
    typed_dict,
)

from .commands import DIGEST_BYTES

MAX_NESTING = 64  # levels in a document: every replica compares and packs it recursively, on any stack
MAX_ID_CHARACTERS = 200
_COUNT = integer()
_MILLISECONDS = number()
_NAME = text(1, 1024)
_DIGEST = re.compile(rf"[0-9a-f]{{{2 * DIGEST_BYTES}}}")
_PRINTABLE = re.compile(r"[\x21-\x7e]+")
_NOT_IN_HEADER = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")  # control characters and lone surrogates


def _path_prefix(value: Any, where: str, findings: Findings) -> None:
    if not isinstance(value, str) or not value.startswith("/") or not value.endswith("/"):
        add_finding(findings, where, show(value), "a path that begins and ends with a slash")


def _api_key(value: Any, where: str, findings: Findings) -> None:
    if not isinstance(value, str) or not _PRINTABLE.fullmatch(value):
        add_finding(findings, where, show(value), "a key of printable ASCII characters")


def _tenant_name(value: Any, where: str, findings: Findings) -> None:
    """Checks a name that is sent in a header field, as UTF-8."""
    before = findings.total
    _NAME(value, where, findings)
    if findings.total == before and (_NOT_IN_HEADER.search(value) or value != value.strip()):
        add_finding(findings, where, show(value), "a name without control characters, or spaces at its ends")


def _digest(value: Any, where: str, findings: Findings) -> None:
    if not isinstance(value, str) or not _DIGEST.fullmatch(value):
        add_finding(findings, where, show(value), f"{2 * DIGEST_BYTES} hexadecimal digits")


def _address(value: Any, where: str, findings: Findings) -> None:
    try:
        parse_address(value if isinstance(value, str) else "")
    except ValueError:
        add_finding(findings, where, show(value), "IP:PORT")


class TrafficSplit(TypedDict):
    """A service that receives a fraction of a route's requests, in proportion to its weight."""

    backend: Annotated[str, _NAME]
    weight: Annotated[float, number()]


class RouteDocument(TypedDict):
    """A route: a host and path prefix, and the service or services behind it."""

    name: Annotated[str, _NAME]
    hostname: Annotated[str, _NAME]
    path_prefix: Annotated[str, _path_prefix]
    route_type: NotRequired[Annotated[str, text()]]
    timeout_ms: NotRequired[Annotated[float, number(above=True)]]
    target_latency_ms: NotRequired[Annotated[float | None, optional(_MILLISECONDS)]]
    priority: NotRequired[Annotated[int | None, optional(_COUNT)]]
    backend: NotRequired[Annotated[str | None, optional(_NAME)]]
    traffic_split: NotRequired[Annotated[list[TrafficSplit] | None, optional(list_of(typed_dict(TrafficSplit)))]]
    max_retries: NotRequired[Annotated[int | None, optional(_COUNT)]]
    public: NotRequired[Annotated[bool | None, optional(flag)]]
    session_affinity: NotRequired[Annotated[bool | None, optional(flag)]]
    resumable: NotRequired[Annotated[bool | None, optional(flag)]]
    gap_aim_ms: NotRequired[Annotated[float | None, optional(_MILLISECONDS)]]


class ModelDocument(TypedDict):
    """A model that a server has loaded."""

    name: Annotated[str, text(0)]
    generation: NotRequired[Annotated[int | None, optional(_COUNT)]]


class RuntimeDocument(TypedDict, total=False):
    """What the servers of a service can hold and run at the same time."""

    capacity: NotRequired[Annotated[int | None, optional(_COUNT)]]
    kv_tokens: NotRequired[Annotated[float | None, optional(number())]]
    kv_bytes: NotRequired[Annotated[float | None, optional(number())]]
    link_mbps: NotRequired[Annotated[float | None, optional(number())]]
    stride: NotRequired[Annotated[float | None, optional(number())]]
    models: NotRequired[Annotated[list[ModelDocument] | None, optional(list_of(typed_dict(ModelDocument)))]]


class ServiceDocument(TypedDict):
    """A service that servers register for."""

    name: Annotated[str, _NAME]
    health_check: NotRequired[Annotated[str | None, optional(text(0))]]
    max_connections: NotRequired[Annotated[int | None, optional(_COUNT)]]
    protocol: NotRequired[Annotated[str | None, optional(text(0))]]
    tls: NotRequired[Annotated[bool | None, optional(flag)]]
    runtime: NotRequired[Annotated[RuntimeDocument | None, optional(typed_dict(RuntimeDocument))]]


class TenantDocument(TypedDict):
    """A tenant, its API keys and its quota; `rate_per_s` and `burst` are in requests or tokens, by `unit`."""

    name: Annotated[str, _tenant_name]
    api_keys: Annotated[list[str], list_of(_api_key)]
    priority: NotRequired[Annotated[int | None, optional(_COUNT)]]
    unit: NotRequired[Annotated[str | None, optional(text(0))]]
    plain_tokens: NotRequired[Annotated[float | None, optional(number())]]
    rate_per_s: NotRequired[Annotated[float | None, optional(number())]]
    burst: NotRequired[Annotated[float | None, optional(number())]]


class LimitsDocument(TypedDict, total=False):
    """Limits on the size of client requests, the time to receive a header, and the idle time of a connection."""

    max_header_bytes: NotRequired[Annotated[int | None, optional(integer(1))]]
    max_body_bytes: NotRequired[Annotated[int | None, optional(integer(0))]]
    header_timeout_ms: NotRequired[Annotated[float | None, optional(number(above=True))]]
    idle_timeout_ms: NotRequired[Annotated[float | None, optional(number(above=True))]]


_check_route_fields = typed_dict(RouteDocument)


def check_route(value: Any, where: str, findings: Findings) -> None:
    """Checks a route: its fields, and that it has at least one service and a total weight above 0.

    Args:
        value: The decoded JSON.
        where: The position of the value in the document, for findings.
        findings: Receives a finding for each fault.
    """
    before = findings.total
    _check_route_fields(value, where, findings)
    if findings.total > before:
        return
    split = value.get("traffic_split")
    if not split and value.get("backend") is None:
        add_finding(findings, f"{where}.backend", "nothing", "a service, or a traffic_split")
    elif split and sum(target["weight"] for target in split) <= 0:
        add_finding(findings, f"{where}.traffic_split", "weights that add up to 0", "a sum above 0")
    elif split is not None and not split:
        add_finding(findings, f"{where}.traffic_split", "an empty list", "at least one part")


def _uniquely_named(item: Check) -> Check:
    """Returns a check for a list whose items each pass `item` and have distinct names."""
    check_items = list_of(item)

    def check(value: Any, where: str, findings: Findings) -> None:
        before = findings.total
        check_items(value, where, findings)
        if findings.total > before:
            return
        positions: dict[str, int] = {}
        for position, entry in enumerate(value):
            first = positions.setdefault(entry["name"], position)
            if first != position:
                add_finding(
                    findings,
                    f"{where}[{position}].name",
                    f"{show(entry['name'])}, as in {where}[{first}]",
                    "a name of its own",
                )

    return check


_ROUTES = _uniquely_named(check_route)
_SERVICES = _uniquely_named(typed_dict(ServiceDocument))
_TENANTS = _uniquely_named(typed_dict(TenantDocument))
_LIMITS = typed_dict(LimitsDocument)
_NAMES = list_of(_NAME)


class ConfigurationDocument(TypedDict):
    """The body of `PUT /api/config`."""

    generation: Annotated[int, integer()]
    routes: Annotated[list[RouteDocument], _ROUTES]
    services: Annotated[list[ServiceDocument], _SERVICES]
    limits: NotRequired[Annotated[LimitsDocument, _LIMITS]]
    tenants: NotRequired[Annotated[list[TenantDocument] | None, optional(_TENANTS)]]


class Upserts(TypedDict, total=False):
    """Items to add, or to replace by name; limits are merged field by field."""

    routes: NotRequired[Annotated[list[RouteDocument], _ROUTES]]
    services: NotRequired[Annotated[list[ServiceDocument], _SERVICES]]
    tenants: NotRequired[Annotated[list[TenantDocument], _TENANTS]]
    limits: NotRequired[Annotated[LimitsDocument, _LIMITS]]


class Deletions(TypedDict, total=False):
    """Names of items and of limits to remove."""

    routes: NotRequired[Annotated[list[str], _NAMES]]
    services: NotRequired[Annotated[list[str], _NAMES]]
    tenants: NotRequired[Annotated[list[str], _NAMES]]
    limits: NotRequired[Annotated[list[str], _NAMES]]


class PatchDocument(TypedDict):
    """The body of `PATCH /api/config`."""

    generation: Annotated[int, integer()]
    upsert: NotRequired[Annotated[Upserts | None, optional(typed_dict(Upserts))]]
    delete: NotRequired[Annotated[Deletions | None, optional(typed_dict(Deletions))]]


class InstanceDocument(TypedDict):
    """The body of `PUT /api/instances/ID`."""

    backend: Annotated[str, _NAME]
    address: Annotated[str, _address]
    state: Annotated[str, one_of("ready", "draining")]
    sequence: NotRequired[Annotated[int, integer()]]
    zone: NotRequired[Annotated[str | None, optional(text(0))]]
    generation: NotRequired[Annotated[str | None, optional(text(0))]]
    capacity: NotRequired[Annotated[int | None, optional(_COUNT)]]
    cold_remaining_ms: NotRequired[Annotated[float | None, optional(_MILLISECONDS)]]
    phase: NotRequired[Annotated[str | None, optional(text(0))]]
    models: NotRequired[Annotated[list[ModelDocument] | None, optional(list_of(typed_dict(ModelDocument)))]]


class AcceptedCommandDocument(TypedDict):
    """A command that was accepted: its digest as hexadecimal digits, and the version that it created."""

    digest: Annotated[str, _digest]
    version: Annotated[int, _COUNT]


class BackupDocument(TypedDict):
    """The response body of `GET /api/config/backup`, and the request body of `PUT /api/config/backup`.

    `last_evicted_version` is the newest version whose command is not among `accepted_commands`, 0 if all are: a command
    that builds on an older version may or may not have been accepted.
    """

    configuration: Annotated[ConfigurationDocument, typed_dict(ConfigurationDocument)]
    accepted_commands: Annotated[list[AcceptedCommandDocument], list_of(typed_dict(AcceptedCommandDocument))]
    last_evicted_version: Annotated[int, _COUNT]


class LeadershipDocument(TypedDict):
    """The body of `PUT /api/leadership`: the seconds for which the controller declines leadership; 0 ends that."""

    decline_for_s: Annotated[float, number()]


class BootstrapDocument(TypedDict):
    """The body of `PUT /api/bootstrap`: an operator confirms that the missing initial members will not start."""

    proceed_without_missing: Annotated[bool, flag]


CHECK_BOOTSTRAP = typed_dict(BootstrapDocument)
CHECK_CONFIGURATION = typed_dict(ConfigurationDocument)
CHECK_PATCH = typed_dict(PatchDocument)
CHECK_INSTANCE = typed_dict(InstanceDocument)
CHECK_BACKUP = typed_dict(BackupDocument)
CHECK_LEADERSHIP = typed_dict(LeadershipDocument)


def _reject_constant(constant: str) -> Any:
    """Rejects NaN and the infinities, which `json` reads but RFC 8259 forbids."""
    raise ValueError(f"{constant} is no JSON number")


def _is_nested_too_deeply(document: Any) -> bool:
    """Whether the nesting exceeds MAX_NESTING; iterative, as the recursion limit left depends on the caller."""
    containers = [document]
    for _ in range(MAX_NESTING):
        containers = [
            value for container in containers for value in _values_of(container) if isinstance(value, dict | list)
        ]
        if not containers:
            return False
    return True


def _values_of(container: Any) -> Iterable[Any]:
    if isinstance(container, dict):
        return container.values()
    return container if isinstance(container, list) else ()


def read_json(body: bytes, check: Check) -> dict[str, Any]:
    """Parses and checks the JSON document in a request body.

    Args:
        body: The complete body.
        check: One of the `CHECK_` values of this module.

    Raises:
        ValidationError: The body is not valid JSON, or the document fails the check; findings are bounded.
    """
    try:
        document: dict[str, Any] = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise ValidationError([Finding("body", str(error) or "too deep a nesting", "a whole JSON document")]) from error
    findings = Findings()
    if _is_nested_too_deeply(document):
        add_finding(findings, "", "a deeper nesting", f"values nested at most {MAX_NESTING} deep")
        raise findings.error()
    check(document, "", findings)
    if findings:
        raise findings.error()
    return document
