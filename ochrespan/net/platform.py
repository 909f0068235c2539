"""The platform's protocol: parses a request, has it served by chunk servers, and writes the response."""

from __future__ import annotations

import asyncio
import logging
import re
from contextlib import aclosing
from datetime import timedelta

import aiohttp
from multidict import CIMultiDict

from ..exchange import BadBody, Exchange, Reply
from ..logs import bind
from ..requests import Claim, Failed, NotCovered, OverBudget, Refused, Request, Unacceptable
from ..subsystem import CoreComponents
from .chunk_client import ResponseRemainder, UpstreamRequest, UpstreamResponse, serve
from .request_bodies import BODY_MEMORY_DIVISOR, Body, BodyBufferBudget, BodyReceiver, BufferedBody

log = logging.getLogger(__name__)

REQUEST_PATH = re.compile(r"/[^?#]*?([0-9a-fA-F]{16})/([0-9a-fA-F]{16})(?:\?[^#]*)?")
TRACE_ID = re.compile(r"[\x21-\x7e]{1,128}")
INTEGER = re.compile(r"-?[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # requests with bodies up to this size are handled once complete
CLIENT_WRITE_TIMEOUT = timedelta(seconds=10)  # without progress of a client that reads a streamed response
# Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1), those that this front reads or sets
# itself, and those that could request less than the complete response.
NOT_FORWARDED = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "authorization",
        "content-length",
        "content-type",
        "expect",
        "host",
        "x-expires-in-ms",
        "x-io",
        "x-plan",
        "x-qos",
        "x-second-try",
        "x-trace-id",
        "accept-encoding",
        "content-encoding",
        "if-match",
        "if-modified-since",
        "if-none-match",
        "if-range",
        "if-unmodified-since",
        "range",
        "priority",
    ]
)


class MalformedRequest(ValueError):
    """The client's request is invalid."""


def single_header(request: Exchange, name: str) -> str:
    """Returns the header's value, empty if missing. A repeated header is ambiguous, and raises MalformedRequest."""
    values = request.headers.getall(name, [])
    if len(values) > 1:
        raise MalformedRequest(f"{name} is there more than once")
    return values[0] if values else ""


def parse_number(text: str, name: str, pattern: re.Pattern[str] = INTEGER) -> float:
    if not pattern.fullmatch(text):
        raise MalformedRequest(f"{name} is no such figure")
    return float(text)


def parse_request(request: Exchange) -> Request:
    """Parses the platform's headers into a request for the broker."""
    path_match = REQUEST_PATH.fullmatch(request.target)
    if request.method not in ("GET", "PUT") or path_match is None:
        raise MalformedRequest("not a GET or PUT of a volume's data")
    if not TRACE_ID.fullmatch(single_header(request, "X-Trace-Id")):
        raise MalformedRequest("X-Trace-Id is missing or no id")
    if request.method == "PUT" and not request.has_length:
        raise MalformedRequest("a PUT without a length")
    if request.method == "GET" and request.has_body:
        raise MalformedRequest("a GET with a body")
    items = [item.strip().partition("=")[::2] for item in single_header(request, "X-IO").split(",")]
    parameters = dict(items)
    if len(parameters) < len(items):
        raise MalformedRequest("X-IO says something twice")
    time_left_ms = parse_number(single_header(request, "X-Expires-In-Ms"), "X-Expires-In-Ms")
    hosts = parse_number(parameters.get("hosts", "0"), "hosts")
    if time_left_ms < 0 or hosts < 0:
        raise MalformedRequest("a figure is below 0")
    return Request(
        volume=path_match[1],
        key=path_match[2],
        cls=single_header(request, "X-Qos"),
        plan=single_header(request, "X-Plan"),
        time_left=timedelta(milliseconds=time_left_ms),
        units=parse_number(parameters.get("units", "1"), "units", DECIMAL),
        shard=int(parse_number(parameters.get("shard", "-1"), "shard")),
        hosts=int(hosts),
    )


def parse_claim(request: Exchange) -> Claim:
    """Returns the request's bearer token (RFC 6750, section 2.1); without one, its volume may identify the contract."""
    scheme, _, token = single_header(request, "Authorization").partition(" ")
    return Claim(token=token.strip() if scheme.lower() == "bearer" else "")


def forwarded_headers(request: Exchange) -> CIMultiDict[str]:
    """Returns the headers to forward unchanged to the chunk server; they include the idempotency key."""
    connection_options = {
        name.strip().lower() for line in request.headers.getall("Connection", []) for name in line.split(",")
    }
    return CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if (lower_name := name.lower()) not in NOT_FORWARDED
        and lower_name not in connection_options
        and value.isascii()
    )


def retry_after(delay: timedelta) -> str:
    return f"{delay.total_seconds():.3f}"


class PlatformFront:
    """The request handler of the platform's protocol."""

    def __init__(self, components: CoreComponents) -> None:
        self._components, self._lifecycle = components, components.lifecycle
        self._open_trace_ids: set[str] = set()  # of requests in progress
        self._body_budget = BodyBufferBudget(components.config.memory // BODY_MEMORY_DIVISOR)

    async def handle(self, request: Exchange) -> Reply | None:
        """Responds to every request, also after an internal error."""
        bind()  # clears the log fields of the previous request on a keep-alive connection
        with self._lifecycle.track_request():
            try:
                reply = await self._route(request)
            except (MalformedRequest, Unacceptable) as error:
                reply = Reply.text(400, f"{error}\n", close=True)  # a client that sends invalid requests can reconnect
            except BadBody as error:
                reply = Reply.text(error.status, f"{error}\n", close=True)
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("request failed with an internal error")
                reply = Reply(500)
            if reply is not None:  # closes after the response; the rest of the body is not read
                reply.close = reply.close or self._lifecycle.closing or not request.body_ended
            return reply

    async def _route(self, request: Exchange) -> Reply | None:
        if request.target == "/up":
            return Reply(200 if self._lifecycle.ready else 503)
        core_request = parse_request(request)
        if self._components.govern_platform:
            core_request.claim = parse_claim(request)
        trace_id = request.headers["X-Trace-Id"]
        if trace_id in self._open_trace_ids:  # the responses would be ambiguous; the open one may be another client's
            raise MalformedRequest("X-Trace-Id is that of an open request")
        self._open_trace_ids.add(trace_id)
        try:
            return await self._receive_and_serve(request, core_request, trace_id)
        finally:
            self._open_trace_ids.discard(trace_id)

    async def _receive_and_serve(self, request: Exchange, core_request: Request, trace_id: str) -> Reply | None:
        receiver = BodyReceiver(request, self._body_budget)
        try:
            if request.has_body and request.headers.get("Expect", "").lower() == "100-continue":
                await request.send_continue()
            body = await receiver.receive()
            return await self._serve(request, core_request, trace_id, body)
        finally:
            receiver.release()

    async def _serve(self, request: Exchange, core_request: Request, trace_id: str, body: Body) -> Reply | None:
        core_request.replayable = isinstance(body, BufferedBody)
        payload = body.data if isinstance(body, BufferedBody) else body
        upstream_request = UpstreamRequest(
            request.method, request.target, payload, forwarded_headers(request), may_stream=True
        )
        upstream_request.headers["X-Trace-Id"] = trace_id
        if payload:
            upstream_request.headers["Content-Type"] = request.headers.get("Content-Type", "application/octet-stream")
        match await serve(self._components.broker, self._components.client, core_request, upstream_request):
            case NotCovered(rule, _, reason):
                if rule == "token":
                    return Reply.text(401, f"{reason}\n", {"WWW-Authenticate": "Bearer"})
                return Reply.text(403, f"not covered: {rule}: {reason}\n")
            case OverBudget(rule, _, delay):
                return Reply.text(429, f"over budget: {rule}\n", {"Retry-After": retry_after(delay)})
            case Refused(delay):
                return Reply(503, headers={"Retry-After": retry_after(delay)} if delay else {})
            case Failed():
                return Reply(502)
            case UpstreamResponse(_, beginning, _, None):
                return Reply(200, beginning)
            case UpstreamResponse(_, beginning, _, remainder):
                await self._stream_response(request, core_request, beginning, remainder)
                return None

    async def _stream_response(
        self, request: Exchange, core_request: Request, beginning: bytes, remainder: ResponseRemainder
    ) -> None:
        """Streams a response to the client; if it breaks, aborts the connection so that the client notices."""
        broker = self._components.broker
        try:
            await request.start(200, {}, remainder.length, self._lifecycle.closing)
            async with aclosing(remainder.segments()) as segments:
                await self._write(request, beginning)
                async for segment in segments:
                    await self._write(request, segment)
            await request.finish()
            broker.finish(core_request, complete=True)
        except (aiohttp.ClientPayloadError, aiohttp.ClientConnectionError, TimeoutError, OSError) as error:
            log.info("answer broke off", extra={"why": repr(error)})
            broker.finish(core_request, complete=False)
            request.abort()
        finally:
            remainder.close()
            broker.abandon(core_request)  # no effect unless the client disconnected

    @staticmethod
    async def _write(request: Exchange, segment: bytes) -> None:
        async with asyncio.timeout(CLIENT_WRITE_TIMEOUT.total_seconds()):
            await request.write(segment)
