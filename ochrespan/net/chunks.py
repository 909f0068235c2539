"""One exchange with a chunk server, and what came of it."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from contextvars import ContextVar
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from ..broker import Broker
from ..logs import bind
from ..requests import Attempt, Counts, Final, Outcome, Request, Status
from ..settings import Links
from .answers import AnswerHandler, Spoilt, Stale
from .discovery import Directory
from .reports import ELSEWHERE, LOAD, Repeats, read_load, read_units

log = logging.getLogger(__name__)

# of the time after which chunk servers close idle connections. Nothing is sent on one that was idle for longer;
# aiohttp sweeps the pool only once in that span, so the last of them is closed after up to twice as long.
IDLE_PART = 0.4


class Withdrawn(aiohttp.ClientConnectionError):
    """The attempt may not begin any more: nothing of it was sent."""


@dataclass(slots=True)
class Progress:
    """How far the request of this exchange got."""

    allowed: Callable[[], bool]  # whether the attempt may still begin
    on_written: Callable[[], None] = lambda: None  # to be told once, as the last byte leaves
    protocol: ResponseHandler | None = None
    transport: asyncio.Transport | None = None
    passed_on: bool = False  # the last byte is the transport's
    told: bool = False  # that it left

    def begin(self) -> None:
        """To be called right before the first byte is written: a connection may have come up late."""
        if not self.allowed():
            raise Withdrawn("too late, or the attempt or its chunk server was taken back, before the first byte")
        assert self.protocol is not None
        self.protocol.expect()  # type: ignore[attr-defined]
        self.protocol.on_drained = self.tell_written  # type: ignore[attr-defined]

    def tell_written(self) -> None:
        """To be called whenever the last byte may have left."""
        if self.written and not self.told:
            self.told = True
            self.on_written()

    def look(self) -> None:
        """To be called in the turn of the first write, or right after it: a connection that broke in it took nothing.
        What breaks it later is seen after that."""
        assert self.transport is not None
        self.passed_on = not self.transport.is_closing()
        self.tell_written()

    def cut(self) -> None:
        """Nothing more leaves on this connection, of what the transport holds or the kernel."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # else the kernel would go on sending what it has of half a request
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    async def abandon(self) -> None:
        """Closes the connection before anything else is sent.

        A closed transport keeps its socket until the loop's next turn, and one with bytes left to write for
        longer. The next attempt was on its way before that: two attempts out at once for the chunk server.
        """
        if self.transport is not None:
            self.cut()
            await asyncio.sleep(0)

    @property
    def written(self) -> bool:
        """Whether the last byte left; what the kernel would not take keeps the protocol's writing paused."""
        return self.passed_on and self.protocol is not None and not self.protocol.writing_paused


PROGRESS: ContextVar[Progress] = ContextVar("progress")


class TrackedRequest(aiohttp.ClientRequest):
    async def send(self, conn):  # type: ignore[no-untyped-def]
        if conn.transport is not None:
            conn.transport.set_write_buffer_limits(0)
        progress = PROGRESS.get()
        progress.protocol, progress.transport = conn.protocol, conn.transport
        if self._body:  # the body's task begins to write, a turn of the loop later
            return await super().send(conn)
        progress.begin()
        response = await super().send(conn)
        progress.look()
        return response

    async def write_bytes(self, writer, conn, content_length=None):  # type: ignore[no-untyped-def]
        progress = PROGRESS.get()
        try:
            progress.begin()
        except (Stale, Withdrawn) as why:
            conn.protocol.set_exception(why)
            return
        progress.passed_on = True  # head and body go to the transport in one piece, before anything else happens
        asyncio.get_running_loop().call_soon(progress.look)
        await super().write_bytes(writer, conn, content_length)


class Pool(aiohttp.TCPConnector):
    """Its limit holds for idle connections too; aiohttp's counts those in use alone, and the others, one chunk server
    after the other, took the descriptors that clients need."""

    async def _create_connection(self, req, traces, timeout):  # type: ignore[no-untyped-def]
        # those in use, with the one that is to be made, are under the limit already
        while self._conns and len(self._acquired) + sum(map(len, self._conns.values())) > self._limit:
            key, idle = min(self._conns.items(), key=lambda item: item[1][0][1])
            idle.popleft()[0].close()
            if not idle:
                del self._conns[key]
        return await super()._create_connection(req, traces, timeout)


def open_session(links: Links, sockets: int) -> aiohttp.ClientSession:
    """A session that sends each request once, as it is, and hands back what comes as it is."""
    connector = Pool(
        limit=sockets,
        limit_per_host=0,
        keepalive_timeout=links.idle.total_seconds() * IDLE_PART,
        use_dns_cache=False,
    )
    connector._factory = partial(AnswerHandler, loop=asyncio.get_running_loop())  # there is no public way
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=TrackedRequest,
        auto_decompress=False,
        trust_env=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=links.connect_timeout.total_seconds()),
    )
    # aiohttp would send a GET or PUT again by itself when a kept connection drops: a second copy. It has no
    # public switch for that; tests/test_chunks.py fails if this one stops working.
    session._retry_connection = False
    return session


def resize(session: aiohttp.ClientSession, sockets: int) -> None:
    """Another bound of its connections from now on."""
    assert session.connector is not None
    session.connector._limit = sockets  # there is no public way


@dataclass(slots=True)
class Message:
    """What goes to a chunk server, whichever attempt carries it."""

    method: str
    target: str  # path and query, as on the wire
    body: bytes = b""
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    served: frozenset[int] = frozenset({200})  # the statuses that answer it
    check: Callable[[Answer], bool] = lambda answer: True  # whether a whole answer is what was asked for


@dataclass(slots=True)
class Answer:
    """A whole answer of a chunk server."""

    status: int
    body: bytes
    headers: dict[str, str]


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
        progress = Progress(
            lambda: attempt.may_begin and self._directory.takes(attempt.node), self._count_dispatch)
        answer = None
        try:
            async with attempt.limited():
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
            attempt, status, timedelta(seconds=loop.time() - began),
            load=read_load(headers.get(LOAD, ""), nonsense),
            elsewhere=read_units(headers.get(ELSEWHERE, ""), nonsense))
        return outcome, answer

    def _count_dispatch(self) -> None:
        self._counts.dispatches += 1

    async def _exchange(self, attempt: Attempt, message: Message, progress: Progress) -> Answer:
        address = self._directory.addresses.get(attempt.node)
        if not address:
            raise aiohttp.ClientConnectionError("no address for the chunk server")
        PROGRESS.set(progress)
        wait = max(1, attempt.timeout // timedelta(milliseconds=1))
        headers = CIMultiDict(message.headers)
        headers["X-Expires-In-Ms"] = str(wait)
        while True:
            try:
                response = await self._session.request(
                    message.method, URL(f"http://{address}{message.target}", encoded=True),
                    data=message.body or None, headers=headers, allow_redirects=False)
                break
            except Stale:  # nothing was sent: no attempt yet; each takes one connection out of the pool
                await progress.abandon()
        try:
            if not progress.written:  # an answer to part of a request: its rest must not follow
                body = await response.content.read()
                await progress.abandon()
                answer = Answer(response.status, body, _headers(response))
                if self._status(answer, message) is not Status.FULL:
                    raise Spoilt("an answer came before the request was whole")
                return answer
            body = await response.read()  # whole, or not at all: a broken body is a reset
        except BaseException:
            response.close()  # the connection too: an abandoned exchange must not come back to the pool
            raise
        return Answer(response.status, body, _headers(response))

    @staticmethod
    def _status(answer: Answer, message: Message) -> Status:
        if answer.status in message.served:
            return Status.OK if message.check(answer) else Status.ERROR
        if answer.status in (503, 504) and answer.headers.get("x-never-ran") == "1":
            return Status.FULL
        return Status.ERROR


async def serve(
    broker: Broker, client: ChunkClient, request: Request, message: Message
) -> Answer | Final:
    """A request from its first attempt to its one final answer."""
    try:
        while True:
            attempt = await broker.pick(request)
            if not isinstance(attempt, Attempt):
                return attempt
            bind(request=request.id, team=request.team, attempt=attempt.number)
            outcome, answer = await client.send(attempt, message)
            broker.report(outcome)
            if outcome.status is Status.OK and answer is not None:
                return answer
    finally:
        broker.leave(request)  # nothing to do unless the client left or we broke
