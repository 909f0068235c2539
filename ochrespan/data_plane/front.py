"""The WSGI application for clients: reads a complete request, resolves its route and tenant, starts its exchange."""

from __future__ import annotations

import itertools
import logging
import re
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from gevent.event import Event

from ochrespan.control_plane.quota.client import request_cost

from .client_connection import ClientConnection, ReadLimits
from .decision_record import DecisionRecord, milliseconds
from .decisions import Request
from .exchange import Exchange, ExchangeContext
from .local_responses import LocalResponse, StartResponse, quota_exceeded_response
from .placement import shared_prefix
from .quota_admission import QuotaAdmission, QuotaReservation, Quotas
from .request_head import BAD_REQUEST, ClientDisconnected, RequestHead, RequestRefused
from .routing_table import RouteEntry, RoutingTable
from .server_request import ServerRequest

if TYPE_CHECKING:
    from ochrespan.control_plane.config.views import Tenant
    from ochrespan.control_plane.prefix_placement.messages import PrefixPlacement

log = logging.getLogger(__name__)

CONNECTION_KEY, HEAD_KEY = "ochrespan.connection", "ochrespan.head"  # keys in the WSGI environment
DEFAULT_LIMITS = ReadLimits(16 * 1024, 4 * 1024 * 1024, 3.0, 15.0)
FIRST_TABLE_WAIT_S = 1.0  # maximum wait for the first routing table
FIRST_TABLE_WAIT_FRACTION = 0.2  # of the request's timeout; limits the same wait
NOT_READY_RETRY_AFTER_S = 0.3
STALE_RETRY_AFTER_S = 0.5
MIN_SHARED_TOKENS = 1000  # shorter shared prefixes are cheap to prefill on any server
ROUTE_PRIORITY_LEVELS = 1000  # a tenant's priority takes precedence over its route's
# Maximum wait for quota tokens, of the latency target and of the timeout: a late response would waste the tokens.
TOKEN_WAIT_TARGET_FRACTION = 0.25
TOKEN_WAIT_TIMEOUT_FRACTION = 0.35
RESPONSE_GRACE_S = 0.5  # after a request's deadline, to finish writing its response
MAX_DEADLINE_MS = 24 * 3600 * 1000.0
_MILLISECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
_TOKEN_USAGE = re.compile(r"([0-9]{1,12}), ?([0-9]{1,12})")
_PROMPT_SEGMENT = re.compile(r"([0-9A-Fa-f]{1,32}):([0-9]{1,12})")


class PrefixLocator(Protocol):
    """The part of `control_plane.prefix_placement.client.PrefixPlacementClient` used here; calls may block briefly."""

    def locate(self, service: str, prefix: str, tokens: float) -> PrefixPlacement: ...


@dataclass(slots=True)
class AdmittedRequest:
    """A request that may be served once its body has been received."""

    request_id: str  # the client's `X-Request-Id`; `request.id` is local to this router
    request: Request
    ticket: QuotaReservation | None


class Front:
    """Serves requests by the current routing table, which is immutable. `is_fresh` tells whether it is up to date."""

    def __init__(
        self,
        context: ExchangeContext,
        is_fresh: Callable[[], bool],
        quotas: Quotas | None = None,
        prefix_locator: PrefixLocator | None = None,
    ) -> None:
        self._context = context
        self._is_fresh = is_fresh
        self._prefix_locator = prefix_locator
        self._tickets = QuotaAdmission(quotas) if quotas is not None else None
        self._request_ids = itertools.count(1)
        self.table: RoutingTable | None = None
        self._first_table = Event()

    def set_first_table(self, table: RoutingTable) -> None:
        """Starts serving requests, including those that are waiting for the first table."""
        self.table = table
        self._first_table.set()

    @property
    def limits(self) -> ReadLimits:
        """The limits of the current configuration, or the defaults before the first one."""
        return self.table.limits if self.table is not None else DEFAULT_LIMITS

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        client: ClientConnection = environ[CONNECTION_KEY]
        head: RequestHead = environ[HEAD_KEY]
        arrived = time.monotonic()
        try:
            admission = self._admit(client, head, arrived)  # queries the quota owner while the body arrives
        except RequestRefused:
            client.read_body(head, self.limits)
            raise
        body = self._read_body(client, head, admission)
        if isinstance(admission, LocalResponse):
            return admission.respond(start_response)
        server_request = ServerRequest(head, admission.request_id, body, admission.request.tenant or None)
        return Exchange(self._context, client, admission.request, server_request, admission.ticket).respond(
            start_response
        )

    def _read_body(
        self, client: ClientConnection, head: RequestHead, admission: AdmittedRequest | LocalResponse
    ) -> bytes:
        """Reads the complete body; abandons an admitted request if that fails."""
        try:
            return client.read_body(head, self.limits)
        except BaseException:
            if isinstance(admission, AdmittedRequest):
                self._abandon(admission)
            raise

    def _abandon(self, admitted: AdmittedRequest) -> None:
        """Releases the tokens and finishes the record of a request that will not be sent."""
        if admitted.ticket is not None:
            admitted.ticket.release()
        self._finish_record(admitted.request, status=0)

    def _admit(self, client: ClientConnection, head: RequestHead, arrived: float) -> AdmittedRequest | LocalResponse:
        if self.table is None:
            max_wait_s = FIRST_TABLE_WAIT_FRACTION * _deadline_ms(head) / 1000
            self._first_table.wait(min(FIRST_TABLE_WAIT_S, max_wait_s))
        table = self.table
        request_id = _single_value(head, "x-request-id")
        if request_id is None:
            raise RequestRefused(BAD_REQUEST, "X-Request-Id", "nothing", "one id")
        if table is None:
            return LocalResponse(503, "no configuration yet", request_id, NOT_READY_RETRY_AFTER_S)
        entry = table.find(head.host, head.path)
        if entry is None:
            return self._deny(404, "no such route", request_id)
        tenant = None
        if table.has_tenants:
            key = _single_value(head, "x-credential")
            tenant = table.tenant_of(key) if key is not None else None
            if tenant is None and not entry.route.public:
                return self._deny(401, "a key that is not known" if key else "no key", request_id)
        usage = _token_usage(head)
        request = self._build_request(head, request_id, entry, tenant, usage or (0, 0), arrived)
        request.record = self._start_record(request_id, request)
        client.write_deadline = request.deadline + RESPONSE_GRACE_S
        ticket = None
        if tenant is not None and self._tickets is not None:
            ticket = self._take_tokens(client, request, request_cost(tenant, usage))
            if not ticket.is_valid:
                return quota_exceeded_response(request_id, ticket.retry_after_s)
        self._locate_prefix_owner(request)
        return AdmittedRequest(request_id, request, ticket)

    def _start_record(self, request_id: str, request: Request) -> DecisionRecord | None:
        """Starts the decision record of a request; None if it is not sampled."""
        record = self._context.decision_log.begin(request_id, request.arrived_at)
        if record is None:
            return None
        record.route, record.service, record.tenant = request.route, request.service, request.tenant
        record.priority, record.tokens_in, record.tokens_out = request.priority, request.tokens_in, request.tokens_out
        record.aim, record.deadline = (
            milliseconds(request.latency_target_s),
            milliseconds(request.deadline - request.arrived_at),
        )
        if request.prefix:
            record.shared, record.prefix = request.shared_tokens, shared_prefix(request.prefix)
        return record

    def _take_tokens(self, client: ClientConnection, request: Request, tokens: float) -> QuotaReservation:
        """Returns a valid or denied ticket; raises ClientDisconnected, with the record finished, on a disconnect."""
        try:
            ticket = self._tickets.take(client, request.tenant, tokens, _wait_for_tokens_until(request))
        except ClientDisconnected:
            self._finish_record(request, status=0)
            raise
        self._record_quota(request, ticket)
        return ticket

    def _finish_record(self, request: Request, status: int, retry_after: float | None = None) -> None:
        """Finishes the record of a request that ends before its exchange starts."""
        if request.record is not None:
            self._context.decision_log.finish(request.record, request.arrived_at, status, retry_after)

    def _record_quota(self, request: Request, ticket: QuotaReservation) -> None:
        """Records how the tokens were obtained; a refusal finishes the record."""
        record = request.record
        if record is None:
            return
        record.quota_tokens, record.quota_asked = ticket.tokens, ticket.request_count
        record.quota_wait = milliseconds(time.monotonic() - request.arrived_at)
        if not ticket.is_valid:
            self._finish_record(request, HTTPStatus.TOO_MANY_REQUESTS, ticket.retry_after_s)

    def _locate_prefix_owner(self, request: Request) -> None:
        """Sets the server that caches the shared prefix of the prompt, if the prefix is long enough for a look-up."""
        shared = request.shared_tokens
        if self._prefix_locator is not None and shared >= MIN_SHARED_TOKENS:
            placement = self._prefix_locator.locate(request.service, shared_prefix(request.prefix), shared)
            request.affinity_server_id, request.is_prefix_uncached = (
                placement.instance,
                placement.is_new or not placement.instance,
            )

    def _deny(self, status: int, text: str, request_id: str) -> LocalResponse:
        """Returns a denial, or 503 with a retry time if the table may be out of date."""
        if self._is_fresh():
            return LocalResponse(status, text, request_id)
        return LocalResponse(503, f"{text}, as far as is known", request_id, STALE_RETRY_AFTER_S)

    def _build_request(
        self,
        head: RequestHead,
        request_id: str,
        entry: RouteEntry,
        tenant: Tenant | None,
        tokens: tuple[int, int],
        arrived: float,
    ) -> Request:
        route = entry.route
        streaming = route.route_type == "streaming"
        timeout_ms = min(route.timeout_ms, _deadline_ms(head))
        latency_target_ms = route.target_latency_ms or route.timeout_ms
        return Request(
            id=str(next(self._request_ids)),
            service=entry.service_for(request_id),
            tenant=tenant.name if tenant else "",
            route=route.name,
            priority=(tenant.priority * ROUTE_PRIORITY_LEVELS if tenant else 0) + route.priority,
            safe=route.route_type == "safe",
            resumable=streaming and route.resumable,
            streaming=streaming,
            latency_target_s=latency_target_ms / 1000,
            deadline=arrived + timeout_ms / 1000,
            max_servers=max(1, route.max_retries),
            tokens_in=tokens[0],
            tokens_out=tokens[1],
            prefix=_prompt_prefix(head) if route.session_affinity else (),
            arrived_at=arrived,
        )


def _wait_for_tokens_until(request: Request) -> float:
    max_wait_s = TOKEN_WAIT_TIMEOUT_FRACTION * (request.deadline - request.arrived_at)
    return request.arrived_at + min(TOKEN_WAIT_TARGET_FRACTION * request.latency_target_s, max_wait_s)


def _single_value(head: RequestHead, name: str) -> str | None:
    values = head.values(name)
    if len(values) > 1:
        raise RequestRefused(BAD_REQUEST, name, f"{len(values)} headers", "one")
    return values[0] if values and values[0] else None


def _deadline_ms(head: RequestHead) -> float:
    text = _single_value(head, "x-deadline-ms")
    if text is None:
        return MAX_DEADLINE_MS
    if not _MILLISECONDS.fullmatch(text):
        raise RequestRefused(BAD_REQUEST, "X-Deadline-Ms", repr(text[:40]), "a number of milliseconds")
    return float(text)


def _token_usage(head: RequestHead) -> tuple[int, int] | None:
    text = _single_value(head, "x-token-usage")
    if text is None:
        return None
    match = _TOKEN_USAGE.fullmatch(text)
    if match is None:
        raise RequestRefused(BAD_REQUEST, "X-Token-Usage", repr(text[:40]), "two whole numbers, split by a comma")
    return int(match[1]), int(match[2])


def _prompt_prefix(head: RequestHead) -> tuple[tuple[str, int], ...]:
    text = _single_value(head, "x-prompt-prefix")
    if text is None:
        return ()
    segments = []
    for segment in text.split(","):
        match = _PROMPT_SEGMENT.fullmatch(segment.strip())
        if match is None:
            raise RequestRefused(BAD_REQUEST, "X-Prompt-Prefix", repr(segment[:40]), "ID:TOKENS, with the ID in hex")
        segments.append((match[1].lower(), int(match[2])))
    return tuple(segments)
