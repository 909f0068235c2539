"""The platform's protocol: reads a request, loops pick, send and report, writes the answer."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from datetime import timedelta

from aiohttp import web

from ..broker import Broker, Failed, Refused, Request
from ..lifecycle import Lifecycle
from .chunks import ChunkClient, Message, serve

log = logging.getLogger(__name__)

PATH = re.compile(r"/.*?([0-9a-fA-F]{16})/([0-9a-fA-F]{16})(?:\?.*)?")
MOST_BODY = 64 * 1024


class Malformed(ValueError):
    """The client's request cannot be read."""


def figure(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise Malformed(f"{name} is not a number") from None
    if not math.isfinite(value):
        raise Malformed(f"{name} is not finite")
    return value


def read_request(request: web.BaseRequest) -> Request:
    """The core's request in the platform's headers."""
    headers = request.headers
    found = PATH.fullmatch(request.raw_path)
    if request.method not in ("GET", "PUT") or found is None:
        raise Malformed("not a GET or PUT of a volume's data")
    if not headers.get("X-Trace-Id") or not headers.get("X-Qos"):
        raise Malformed("X-Trace-Id or X-Qos is missing")
    extras = dict(part.strip().partition("=")[::2] for part in headers.get("X-IO", "").split(","))
    left = figure(headers.get("X-Expires-In-Ms", ""), "X-Expires-In-Ms")
    units = figure(extras.get("units", "1"), "units")
    if units <= 0 or not -1e9 < left < 1e9:
        raise Malformed("a figure is out of range")
    return Request(
        volume=found[1],
        key=found[2],
        cls=headers["X-Qos"],
        plan=headers.get("X-Plan", ""),
        time_left=timedelta(milliseconds=left),
        units=units,
        shard=int(figure(extras.get("shard", "-1"), "shard")),
        hosts=int(figure(extras.get("hosts", "0"), "hosts")),
    )


async def read_body(request: web.BaseRequest) -> bytes:
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > MOST_BODY:
        raise Malformed("the body is too long")
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    try:
        body = await request.read()
    except (web.HTTPRequestEntityTooLarge, web.RequestPayloadError) as why:
        raise Malformed("the body is too long or cannot be read") from why
    if len(body) > MOST_BODY:
        raise Malformed("the body is too long")
    return body


def retry_after(pause: timedelta) -> str:
    return f"{pause.total_seconds():.3f}"


class PlatformFront:
    def __init__(self, broker: Broker, chunks: ChunkClient, lifecycle: Lifecycle) -> None:
        self._broker, self._chunks, self._lifecycle = broker, chunks, lifecycle

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """One final answer to whatever arrives, also when something of ours breaks."""
        with self._lifecycle.work():
            try:
                response = await self._answer(request)
            except Malformed as why:
                response = web.Response(status=400, text=f"{why}\n")
                response.force_close()  # what follows on this connection may be the rest of the garbage
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("request failed")
                response = web.Response(status=500)
            if self._lifecycle.ending:
                response.force_close()  # only after the whole answer
            return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.raw_path == "/up":
            return web.Response(status=200 if self._lifecycle.ready else 503)
        taken = read_request(request)
        body = await read_body(request)
        headers = {"X-Trace-Id": request.headers["X-Trace-Id"]}
        message = Message(request.method, request.raw_path, body, headers)
        if body:
            message.headers["Content-Type"] = request.headers.get("Content-Type", "application/octet-stream")
        match await serve(self._broker, self._chunks, taken, message):
            case Refused(pause):
                return web.Response(status=503, headers={"Retry-After": retry_after(pause)} if pause else {})
            case Failed():
                return web.Response(status=502)
            case answer:
                return web.Response(status=200, body=answer.body)
