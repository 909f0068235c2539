"""One exchange with a chunk server, and what came of it."""

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
from .client_session import PROGRESS, Progress, Withdrawn
from .discovery import Directory
from .load_reports import ELSEWHERE, LOAD, Repeats, read_load, read_units
from .request_bodies import StreamedBody
from .responses import PIECE, Spoilt, Stale

log = logging.getLogger(__name__)

MOST_WHOLE = 64 * 1024  # bytes of an answer up to which it counts by its last byte, and a broken one is tried again
MOST_CHECKED = 1 << 20  # bytes of an answer that is needed whole, or that serves nothing
UNTOLD = timedelta(seconds=0.1)  # from the first byte, for an answer without a length to turn out short
SILENCE = timedelta(seconds=5)  # of a chunk server within an answer that is being passed on


@dataclass(slots=True)
class Message:
    """What goes to a chunk server, whichever attempt carries it."""

    method: str
    target: str  # path and query, as on the wire
    body: bytes | StreamedBody = b""
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    served: frozenset[int] = frozenset({200})  # the statuses that answer it
    check: Callable[[Answer], bool] = lambda answer: True  # whether a whole answer is what was asked for
    streams: bool = False  # whether a long answer may be passed on as it comes


class Rest:
    """What is still to come of an answer."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.length = response.content_length  # of the whole body, where it is told

    async def pieces(self) -> AsyncIterator[bytes]:
        """As they come; reading waits while whoever takes them does. Raises what breaks the answer."""
        while True:
            async with asyncio.timeout(SILENCE.total_seconds()):
                piece = await self._response.content.readany()
            if not piece:
                return
            yield piece

    def close(self) -> None:
        """A connection whose answer has not come whole is of no more use."""
        self._response.close()


@dataclass(slots=True)
class Answer:
    """An answer of a chunk server: whole, or its first bytes and the rest."""

    status: int
    body: bytes
    headers: dict[str, str]
    rest: Rest | None = None


def _headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.headers.items()}


class ChunkClient:
    def __init__(self, session: aiohttp.ClientSession, directory: Directory, counts: Counts | None = None) -> None:
        self._session, self._directory = session, directory
        self._counts = counts or Counts()
        self._odd = Repeats()

    async def send(self, attempt: Attempt, message: Message) -> tuple[Outcome, Answer | None]:
        """Makes the attempt: one message, at most one answer, never a second copy."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        streamed = message.body if isinstance(message.body, StreamedBody) else None

        def written() -> None:
            nonlocal began
            self._counts.dispatches += 1
            if streamed is not None:
                began = loop.time()
                attempt.restart_timeout()

        progress = Progress(lambda: attempt.may_start and self._directory.takes(attempt.node), written, streamed)
        answer = None
        try:
            async with attempt.time_limit():
                if streamed is not None:
                    attempt.suspend_timeout()
                answer = await self._exchange(attempt, message, progress)
            status = self._status(answer, message)
        except TimeoutError as why:
            # aiohttp's own time-out is the one for connecting; ours ends the wait for an answer
            connecting = isinstance(why, aiohttp.ConnectionTimeoutError) or not progress.written
            status = Status.CONNECT_FAILED if connecting else Status.TIMEOUT
            if attempt.revoked and connecting:  # by us: it tells nothing of the chunk server
                status = Status.MOOT
            await progress.abandon()
        except asyncio.CancelledError:  # its client has left: aiohttp would close the connection once all is written
            progress.cut()
            raise
        except Withdrawn:
            status = Status.MOOT
            await progress.abandon()
        except aiohttp.ClientConnectorError:
            status = Status.CONNECT_FAILED
        except Spoilt as why:
            # the node answers, though nothing that is of use: an error, which it may have run, and no sign of load
            status = Status.ERROR if progress.written else Status.CONNECT_FAILED
            if number := self._odd.count("spoilt"):
                log.info("answer spoilt", extra={"node": attempt.node, "why": str(why), "number": number})
            await progress.abandon()
        except (aiohttp.ClientError, OSError, ValueError) as why:
            # a break before the last byte was written never ran; after it, it may have
            status = Status.RESET if progress.written else Status.CONNECT_FAILED
            log.debug("attempt broke", extra={"node": attempt.node, "why": repr(why)})
            await progress.abandon()

        def nonsense(where: str, found: str, allowed: str) -> None:
            if number := self._odd.count(where):
                words = {"node": attempt.node, "place": where, "found": found, "allowed": allowed, "number": number}
                log.warning("left out of an answer", extra=words)

        headers = answer.headers if answer else {}
        outcome = Outcome(
            attempt,
            status,
            timedelta(seconds=loop.time() - began),
            streaming=answer is not None and answer.rest is not None,
            load=read_load(headers.get(LOAD, ""), nonsense),
            elsewhere=read_units(headers.get(ELSEWHERE, ""), nonsense),
        )
        return outcome, answer

    async def _exchange(self, attempt: Attempt, message: Message, progress: Progress) -> Answer:
        address = self._directory.addresses.get(attempt.node)
        if not address:
            raise aiohttp.ClientConnectionError("no address for the chunk server")
        PROGRESS.set(progress)
        wait = max(1, attempt.timeout // timedelta(milliseconds=1))
        headers = CIMultiDict(message.headers)
        headers["X-Expires-In-Ms"] = str(wait)
        if progress.body is not None and progress.body.length is not None:
            headers["Content-Length"] = str(progress.body.length)
        while True:
            try:
                response = await self._session.request(
                    message.method,
                    URL(f"http://{address}{message.target}", encoded=True),
                    data=progress.body.pieces() if progress.body is not None else message.body or None,
                    headers=headers,
                    allow_redirects=False,
                    read_bufsize=PIECE,
                )
                break
            except Stale:  # nothing was sent: no attempt yet; each takes one connection out of the pool
                await progress.abandon()
        try:
            if not progress.written:  # an answer to part of a request: its rest must not follow
                answer = await self._whole(response)
                await progress.abandon()
                if self._status(answer, message) is not Status.FULL:
                    raise Spoilt("an answer came before the request was whole")
                return answer
            if message.streams and response.status in message.served:
                return await self._begun(response)
            return await self._whole(response)  # or not at all: a broken body is a reset
        except BaseException:
            response.close()  # the connection too: an abandoned exchange must not come back to the pool
            raise

    @staticmethod
    async def _whole(response: aiohttp.ClientResponse) -> Answer:
        body = bytearray()
        while piece := await response.content.readany():
            body += piece
            if len(body) > MOST_CHECKED:
                raise Spoilt("the body is too long")
        return Answer(response.status, bytes(body), _headers(response))

    @staticmethod
    async def _begun(response: aiohttp.ClientResponse) -> Answer:
        """A short answer whole; of a long one, or one that does not turn out short soon, the first bytes."""
        body, whole = bytearray(), False
        short = response.content_length is not None and response.content_length <= MOST_WHOLE
        most = 0 if response.content_length is not None and not short else MOST_WHOLE
        with suppress(TimeoutError):
            async with asyncio.timeout(None) as limit:
                while not whole and (short or len(body) <= most):
                    piece = await response.content.readany()
                    whole = not piece
                    if not (body or short):
                        limit.reschedule(asyncio.get_running_loop().time() + UNTOLD.total_seconds())
                    body += piece
        return Answer(response.status, bytes(body), _headers(response), None if whole else Rest(response))

    @staticmethod
    def _status(answer: Answer, message: Message) -> Status:
        if answer.status in message.served:
            return Status.OK if message.check(answer) else Status.ERROR
        if answer.status in (503, 504) and answer.headers.get("x-never-ran") == "1":
            return Status.FULL
        return Status.ERROR


async def serve(broker: Broker, client: ChunkClient, request: Request, message: Message) -> Answer | Final:
    """A request from its first attempt to its one final answer. Of one that has only begun, the rest is passed on
    by the caller, who tells the broker when it is over."""
    begun = False
    try:
        while True:
            attempt = await broker.pick(request)
            if not isinstance(attempt, Attempt):
                return attempt
            bind(request=request.id, team=request.team, attempt=attempt.number)
            outcome, answer = await client.send(attempt, message)
            broker.report(outcome)
            if outcome.status is Status.OK and answer is not None:
                begun = answer.rest is not None
                return answer
    finally:
        if not begun:
            broker.abandon(request)  # nothing to do unless the client left or we broke
