"""Client of chunk servers: one attempt and its outcome, and the loop of attempts for a request."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..broker import Broker
from ..logs import bind
from ..requests import Attempt, Counts, Final, Outcome, Request, Status
from .client_session import SEND_PROGRESS, SendProgress, StartNotAllowed
from .discovery import Directory
from .load_reports import ELSEWHERE_HEADER, LOAD_HEADER, LogSampler, parse_load_report, parse_units
from .request_bodies import StreamedBody
from .responses import READ_SIZE_BYTES, MalformedResponse, UnusableConnection

log = logging.getLogger(__name__)

# Up to this size, an attempt is measured at the last byte of its response, and a truncated response can be retried.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
MAX_COMPLETE_RESPONSE_BYTES = 1 << 20  # limit for responses that are validated as a whole, or are errors
UNKNOWN_LENGTH_WAIT = timedelta(seconds=0.1)  # from the first byte, for the end of a response of unknown length
READ_TIMEOUT = timedelta(seconds=5)  # without a byte from the chunk server in a streamed response


@dataclass(slots=True)
class UpstreamRequest:
    """A request to chunk servers, the same for each attempt."""

    method: str
    target: str  # path and query, undecoded
    body: bytes | StreamedBody = b""
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    accepted_statuses: frozenset[int] = frozenset({200})  # statuses that count as success
    is_valid: Callable[[UpstreamResponse], bool] = lambda upstream_response: True  # checks a complete response
    may_stream: bool = False  # whether a long response may be streamed


class ResponseRemainder:
    """The part of a response that has not been read yet."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.length = response.content_length  # of the complete body in bytes, if declared

    async def segments(self) -> AsyncIterator[bytes]:
        """Yields received bytes, and reads no further while the consumer waits. Raises aiohttp's error or TimeoutError
        if the response is truncated."""
        while True:
            async with asyncio.timeout(READ_TIMEOUT.total_seconds()):
                segment = await self._response.content.readany()
            if not segment:
                return
            yield segment

    def close(self) -> None:
        """Closes the connection, which cannot be reused after an incomplete response."""
        self._response.close()


@dataclass(slots=True)
class UpstreamResponse:
    """A response of a chunk server: complete, or its first bytes and the remainder."""

    status: int
    body: bytes
    headers: dict[str, str]
    remainder: ResponseRemainder | None = None


def _lower_case_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.headers.items()}


class ChunkClient:
    """Sends attempts to chunk servers and classifies their outcomes."""

    def __init__(self, session: aiohttp.ClientSession, directory: Directory, counts: Counts | None = None) -> None:
        self._session, self._directory = session, directory
        self._counts = counts or Counts()
        self._log_sampler = LogSampler()

    async def send(
        self, attempt: Attempt, upstream_request: UpstreamRequest
    ) -> tuple[Outcome, UpstreamResponse | None]:
        """Makes the attempt: sends the request at most once, and returns the outcome with the response, if any."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        streamed_body = upstream_request.body if isinstance(upstream_request.body, StreamedBody) else None

        def on_written() -> None:
            nonlocal started_at
            self._counts.dispatches += 1
            if streamed_body is not None:
                started_at = loop.time()
                attempt.restart_timeout()

        progress = SendProgress(
            lambda: attempt.may_start and self._directory.is_usable(attempt.node), on_written, streamed_body
        )
        upstream_response = None
        try:
            async with attempt.time_limit():
                if streamed_body is not None:
                    attempt.suspend_timeout()
                upstream_response = await self._exchange(attempt, upstream_request, progress)
            status = self._status(upstream_response, upstream_request)
        except TimeoutError as error:
            # aiohttp enforces only the connect time-out; attempt.time_limit() ends the wait for a response
            connecting = isinstance(error, aiohttp.ConnectionTimeoutError) or not progress.written
            status = Status.CONNECT_FAILED if connecting else Status.TIMEOUT
            if attempt.revoked and connecting:  # cancelled by this front: no information about the chunk server
                status = Status.MOOT
            await progress.abandon()
        except asyncio.CancelledError:  # the client disconnected; aiohttp would first send the rest
            progress.abort()
            raise
        except StartNotAllowed:
            status = Status.MOOT
            await progress.abandon()
        except aiohttp.ClientConnectorError:
            status = Status.CONNECT_FAILED
        except MalformedResponse as error:
            # the server responded, but invalidly: an error, not a sign of overload; it may have executed the request
            status = Status.ERROR if progress.written else Status.CONNECT_FAILED
            if number := self._log_sampler.count("malformed response"):
                log.info("answer spoilt", extra={"node": attempt.node, "why": str(error), "number": number})
            await progress.abandon()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # a request that broke before its last byte was written was not executed; after that it may have been
            status = Status.RESET if progress.written else Status.CONNECT_FAILED
            log.debug("attempt failed: connection broke", extra={"node": attempt.node, "why": repr(error)})
            await progress.abandon()

        def report_invalid(location: str, found: str, allowed: str) -> None:
            if number := self._log_sampler.count(location):
                details = {
                    "node": attempt.node,
                    "place": location,
                    "found": found,
                    "allowed": allowed,
                    "number": number,
                }
                log.warning("left out of an answer", extra=details)

        headers = upstream_response.headers if upstream_response else {}
        outcome = Outcome(
            attempt,
            status,
            timedelta(seconds=loop.time() - started_at),
            streaming=upstream_response is not None and upstream_response.remainder is not None,
            load=parse_load_report(headers.get(LOAD_HEADER, ""), report_invalid),
            elsewhere=parse_units(headers.get(ELSEWHERE_HEADER, ""), report_invalid),
        )
        return outcome, upstream_response

    async def _exchange(
        self, attempt: Attempt, upstream_request: UpstreamRequest, progress: SendProgress
    ) -> UpstreamResponse:
        address = self._directory.addresses.get(attempt.node)
        if not address:
            raise aiohttp.ClientConnectionError("no address for the chunk server")
        SEND_PROGRESS.set(progress)
        time_left_ms = max(1, attempt.timeout // timedelta(milliseconds=1))
        headers = CIMultiDict(upstream_request.headers)
        headers["X-Expires-In-Ms"] = str(time_left_ms)
        if progress.body is not None and progress.body.length is not None:
            headers["Content-Length"] = str(progress.body.length)
        while True:
            try:
                response = await self._session.request(
                    upstream_request.method,
                    URL(f"http://{address}{upstream_request.target}", encoded=True),
                    data=progress.body.segments() if progress.body is not None else upstream_request.body or None,
                    headers=headers,
                    allow_redirects=False,
                    read_bufsize=READ_SIZE_BYTES,
                )
                break
            except UnusableConnection:  # nothing was sent; each retry removes a connection from the pool
                await progress.abandon()
        try:
            if not progress.written:  # responded to a partial request: the rest must not be sent
                upstream_response = await self._read_complete(response)
                await progress.abandon()
                if self._status(upstream_response, upstream_request) is not Status.FULL:
                    raise MalformedResponse("response before the request was completely sent")
                return upstream_response
            if upstream_request.may_stream and response.status in upstream_request.accepted_statuses:
                return await self._read_beginning(response)
            return await self._read_complete(response)  # raises if the body is truncated, which counts as a reset
        except BaseException:
            response.close()  # and the connection: it must not return to the pool
            raise

    @staticmethod
    async def _read_complete(response: aiohttp.ClientResponse) -> UpstreamResponse:
        body = bytearray()
        while segment := await response.content.readany():
            body += segment
            if len(body) > MAX_COMPLETE_RESPONSE_BYTES:
                raise MalformedResponse("the response's body exceeds MAX_COMPLETE_RESPONSE_BYTES")
        return UpstreamResponse(response.status, bytes(body), _lower_case_headers(response))

    @staticmethod
    async def _read_beginning(response: aiohttp.ClientResponse) -> UpstreamResponse:
        """Reads a short response completely, otherwise a prefix; one of unknown length is short if it ends soon."""
        body, complete = bytearray(), False
        fits_buffer = response.content_length is not None and response.content_length <= MAX_BUFFERED_RESPONSE_BYTES
        max_bytes = 0 if response.content_length is not None and not fits_buffer else MAX_BUFFERED_RESPONSE_BYTES
        with suppress(TimeoutError):
            async with asyncio.timeout(None) as timeout:
                while not complete and (fits_buffer or len(body) <= max_bytes):
                    segment = await response.content.readany()
                    complete = not segment
                    if not (body or fits_buffer):
                        timeout.reschedule(asyncio.get_running_loop().time() + UNKNOWN_LENGTH_WAIT.total_seconds())
                    body += segment
        return UpstreamResponse(
            response.status,
            bytes(body),
            _lower_case_headers(response),
            None if complete else ResponseRemainder(response),
        )

    @staticmethod
    def _status(upstream_response: UpstreamResponse, upstream_request: UpstreamRequest) -> Status:
        if upstream_response.status in upstream_request.accepted_statuses:
            return Status.OK if upstream_request.is_valid(upstream_response) else Status.ERROR
        if upstream_response.status in (503, 504) and upstream_response.headers.get("x-never-ran") == "1":
            return Status.FULL
        return Status.ERROR


async def serve(
    broker: Broker, client: ChunkClient, request: Request, upstream_request: UpstreamRequest
) -> UpstreamResponse | Final:
    """Makes attempts until the request has its final result. If the response is streamed, the caller forwards the
    remainder and reports its end to the broker."""
    streaming = False
    try:
        while True:
            attempt = await broker.pick(request)
            if not isinstance(attempt, Attempt):
                return attempt
            bind(request=request.id, team=request.team, attempt=attempt.number)
            outcome, upstream_response = await client.send(attempt, upstream_request)
            broker.report(outcome)
            if outcome.status is Status.OK and upstream_response is not None:
                streaming = upstream_response.remainder is not None
                return upstream_response
    finally:
        if not streaming:
            broker.abandon(request)  # no effect unless the client disconnected or an exception was raised
