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
from .chunk_client import Answer, Message, Rest, serve
from .request_bodies import HELD_PART, Body, BodyBudget, HeldBody, Receiver

log = logging.getLogger(__name__)

PATH = re.compile(r"/[^?#]*?([0-9a-fA-F]{16})/([0-9a-fA-F]{16})(?:\?[^#]*)?")
TRACE = re.compile(r"[\x21-\x7e]{1,128}")
WHOLE = re.compile(r"-?[0-9]{1,9}")
FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MOST_WHOLE = 64 * 1024  # bytes of a body with which a request is handled once it is whole
TAKES = timedelta(seconds=10)  # for a client to take some of an answer that is passed on as it comes
# what goes no further: the connection's own (RFC 9110, section 7.6.1), what this front reads or tells itself, and what
# would ask for less than the whole answer
HERE = frozenset(
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


class Malformed(ValueError):
    """The client's request cannot be read."""


def one(request: Exchange, name: str) -> str:
    """The header's value; a header that is there twice says nothing for certain."""
    values = request.headers.getall(name, [])
    if len(values) > 1:
        raise Malformed(f"{name} is there more than once")
    return values[0] if values else ""


def figure(text: str, name: str, form: re.Pattern[str] = WHOLE) -> float:
    if not form.fullmatch(text):
        raise Malformed(f"{name} is no such figure")
    return float(text)


def read_request(request: Exchange) -> Request:
    """The core's request in the platform's headers."""
    found = PATH.fullmatch(request.target)
    if request.method not in ("GET", "PUT") or found is None:
        raise Malformed("not a GET or PUT of a volume's data")
    if not TRACE.fullmatch(one(request, "X-Trace-Id")):
        raise Malformed("X-Trace-Id is missing or no id")
    if request.method == "PUT" and not request.has_length:
        raise Malformed("a PUT without a length")
    if request.method == "GET" and request.has_body:
        raise Malformed("a GET with a body")
    parts = [part.strip().partition("=")[::2] for part in one(request, "X-IO").split(",")]
    extras = dict(parts)
    if len(extras) < len(parts):
        raise Malformed("X-IO says something twice")
    left = figure(one(request, "X-Expires-In-Ms"), "X-Expires-In-Ms")
    hosts = figure(extras.get("hosts", "0"), "hosts")
    if left < 0 or hosts < 0:
        raise Malformed("a figure is below 0")
    return Request(
        volume=found[1],
        key=found[2],
        cls=one(request, "X-Qos"),
        plan=one(request, "X-Plan"),
        time_left=timedelta(milliseconds=left),
        units=figure(extras.get("units", "1"), "units", FIGURE),
        shard=int(figure(extras.get("shard", "-1"), "shard")),
        hosts=int(hosts),
    )


def read_claim(request: Exchange) -> Claim:
    """What the request says it is covered by (RFC 6750, section 2.1); its volume may say enough."""
    scheme, _, token = one(request, "Authorization").partition(" ")
    return Claim(token=token.strip() if scheme.lower() == "bearer" else "")


def further(request: Exchange) -> CIMultiDict[str]:
    """The headers that are for the chunk server, as they came: what makes a repeat known there is one of them."""
    own = {name.strip().lower() for line in request.headers.getall("Connection", []) for name in line.split(",")}
    return CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if (low := name.lower()) not in HERE and low not in own and value.isascii()
    )


def retry_after(pause: timedelta) -> str:
    return f"{pause.total_seconds():.3f}"


class PlatformFront:
    def __init__(self, core: CoreComponents) -> None:
        self._core, self._lifecycle = core, core.lifecycle
        self._open: set[str] = set()  # the ids of the requests in hand
        self._budget = BodyBudget(core.config.memory // HELD_PART)

    async def handle(self, request: Exchange) -> Reply | None:
        """One final answer to whatever arrives, also when something of ours breaks."""
        bind()  # the last request's words, on a connection that clients keep
        with self._lifecycle.track_request():
            try:
                reply = await self._answer(request)
            except (Malformed, Unacceptable) as why:
                reply = Reply.text(400, f"{why}\n", close=True)  # whoever sends such things may as well start anew
            except BadBody as why:
                reply = Reply.text(why.status, f"{why}\n", close=True)
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("request failed")
                reply = Reply(500)
            if reply is not None:  # only after the whole answer; what is left of a body is not read
                reply.close = reply.close or self._lifecycle.closing or not request.body_ended
            return reply

    async def _answer(self, request: Exchange) -> Reply | None:
        if request.target == "/up":
            return Reply(200 if self._lifecycle.ready else 503)
        taken = read_request(request)
        if self._core.govern_platform:
            taken.claim = read_claim(request)
        trace = request.headers["X-Trace-Id"]
        if trace in self._open:  # answers could not be told apart, and the other is not this client's to touch
            raise Malformed("X-Trace-Id is that of an open request")
        self._open.add(trace)
        try:
            return await self._serve(request, taken, trace)
        finally:
            self._open.discard(trace)

    async def _serve(self, request: Exchange, taken: Request, trace: str) -> Reply | None:
        receiver = Receiver(request, self._budget)
        try:
            if request.has_body and request.headers.get("Expect", "").lower() == "100-continue":
                await request.send_continue()
            body = await receiver.receive()
            return await self._serve_with(request, taken, trace, body)
        finally:
            receiver.let_go()

    async def _serve_with(self, request: Exchange, taken: Request, trace: str, body: Body) -> Reply | None:
        taken.repeatable = isinstance(body, HeldBody)
        sent = body.data if isinstance(body, HeldBody) else body
        message = Message(request.method, request.target, sent, further(request), streams=True)
        message.headers["X-Trace-Id"] = trace
        if sent:
            message.headers["Content-Type"] = request.headers.get("Content-Type", "application/octet-stream")
        match await serve(self._core.broker, self._core.client, taken, message):
            case NotCovered(rule, _, words):
                if rule == "token":
                    return Reply.text(401, f"{words}\n", {"WWW-Authenticate": "Bearer"})
                return Reply.text(403, f"not covered: {rule}: {words}\n")
            case OverBudget(rule, _, pause):
                return Reply.text(429, f"over budget: {rule}\n", {"Retry-After": retry_after(pause)})
            case Refused(pause):
                return Reply(503, headers={"Retry-After": retry_after(pause)} if pause else {})
            case Failed():
                return Reply(502)
            case Answer(_, first, _, None):
                return Reply(200, first)
            case Answer(_, first, _, rest):
                await self._pass_on(request, taken, first, rest)
                return None

    async def _pass_on(self, request: Exchange, taken: Request, first: bytes, rest: Rest) -> None:
        """An answer that goes out as it comes; one that breaks ends its connection, so that its client can tell."""
        broker = self._core.broker
        try:
            await request.start(200, {}, rest.length, self._lifecycle.closing)
            async with aclosing(rest.pieces()) as pieces:
                await self._write(request, first)
                async for piece in pieces:
                    await self._write(request, piece)
            await request.finish()
            broker.finish(taken, complete=True)
        except (aiohttp.ClientPayloadError, aiohttp.ClientConnectionError, TimeoutError, OSError) as why:
            log.info("answer broke off", extra={"why": repr(why)})
            broker.finish(taken, complete=False)
            request.abort()
        finally:
            rest.close()
            broker.abandon(taken)  # nothing to do unless its client left

    @staticmethod
    async def _write(request: Exchange, piece: bytes) -> None:
        async with asyncio.timeout(TAKES.total_seconds()):
            await request.write(piece)
