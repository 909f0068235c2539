"""The platform's protocol: reads a request, loops pick, send and report, writes the answer."""

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
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # bytes of a body with which a request is handled once it is whole
CLIENT_WRITE_TIMEOUT = timedelta(seconds=10)  # for a client to take some of an answer that is passed on as it comes
# what goes no further: the connection's own (RFC 9110, section 7.6.1), what this front reads or tells itself, and what
# would ask for less than the whole answer
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
    """The client's request cannot be read."""


def single_header(request: Exchange, name: str) -> str:
    """The header's value; a header that is there twice says nothing for certain."""
    values = request.headers.getall(name, [])
    if len(values) > 1:
        raise MalformedRequest(f"{name} is there more than once")
    return values[0] if values else ""


def parse_number(text: str, name: str, pattern: re.Pattern[str] = INTEGER) -> float:
    if not pattern.fullmatch(text):
        raise MalformedRequest(f"{name} is no such figure")
    return float(text)


def read_request(request: Exchange) -> Request:
    """The core's request in the platform's headers."""
    found = REQUEST_PATH.fullmatch(request.target)
    if request.method not in ("GET", "PUT") or found is None:
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
        volume=found[1],
        key=found[2],
        cls=single_header(request, "X-Qos"),
        plan=single_header(request, "X-Plan"),
        time_left=timedelta(milliseconds=time_left_ms),
        units=parse_number(parameters.get("units", "1"), "units", DECIMAL),
        shard=int(parse_number(parameters.get("shard", "-1"), "shard")),
        hosts=int(hosts),
    )


def read_claim(request: Exchange) -> Claim:
    """What the request says it is covered by (RFC 6750, section 2.1); its volume may say enough."""
    scheme, _, token = single_header(request, "Authorization").partition(" ")
    return Claim(token=token.strip() if scheme.lower() == "bearer" else "")


def forwarded_headers(request: Exchange) -> CIMultiDict[str]:
    """The headers that are for the chunk server, as they came: what makes a repeat known there is one of them."""
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
    def __init__(self, core: CoreComponents) -> None:
        self._core, self._lifecycle = core, core.lifecycle
        self._open_trace_ids: set[str] = set()  # the ids of the requests in hand
        self._body_budget = BodyBufferBudget(core.config.memory // BODY_MEMORY_DIVISOR)

    async def handle(self, request: Exchange) -> Reply | None:
        """One final answer to whatever arrives, also when something of ours breaks."""
        bind()  # the last request's words, on a connection that clients keep
        with self._lifecycle.track_request():
            try:
                reply = await self._route(request)
            except (MalformedRequest, Unacceptable) as error:
                reply = Reply.text(400, f"{error}\n", close=True)  # whoever sends such things may as well start anew
            except BadBody as error:
                reply = Reply.text(error.status, f"{error}\n", close=True)
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("request failed")
                reply = Reply(500)
            if reply is not None:  # only after the whole answer; what is left of a body is not read
                reply.close = reply.close or self._lifecycle.closing or not request.body_ended
            return reply

    async def _route(self, request: Exchange) -> Reply | None:
        if request.target == "/up":
            return Reply(200 if self._lifecycle.ready else 503)
        core_request = read_request(request)
        if self._core.govern_platform:
            core_request.claim = read_claim(request)
        trace_id = request.headers["X-Trace-Id"]
        if (
            trace_id in self._open_trace_ids
        ):  # answers could not be told apart, and the other is not this client's to touch
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
        core_request.repeatable = isinstance(body, BufferedBody)
        payload = body.data if isinstance(body, BufferedBody) else body
        upstream_request = UpstreamRequest(
            request.method, request.target, payload, forwarded_headers(request), may_stream=True
        )
        upstream_request.headers["X-Trace-Id"] = trace_id
        if payload:
            upstream_request.headers["Content-Type"] = request.headers.get("Content-Type", "application/octet-stream")
        match await serve(self._core.broker, self._core.client, core_request, upstream_request):
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
        """An answer that goes out as it comes; one that breaks ends its connection, so that its client can tell."""
        broker = self._core.broker
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
            broker.abandon(core_request)  # nothing to do unless its client left

    @staticmethod
    async def _write(request: Exchange, segment: bytes) -> None:
        async with asyncio.timeout(CLIENT_WRITE_TIMEOUT.total_seconds()):
            await request.write(segment)
