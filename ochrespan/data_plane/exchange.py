"""One client request, from its admission to the end of its answer."""

from __future__ import annotations

import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .attempt import Attempt, AttemptEnded
from .client_connection import ClientConnection
from .deadlines import DeadlineHeap
from .decision_record import DecisionLog
from .decisions import Action, Fail, Outcome, Refuse, Request, Send
from .dispatcher import Dispatcher
from .event_stream import EventStream
from .local_responses import OwnAnswer, StartResponse, answer_for, over_quota
from .quota_ticket import QuotaTicket
from .request_head import ClientGone
from .server_pools import ServerPools
from .server_request import ServerRequest, end_to_end_headers
from .server_response import MISDIRECTED, ServerAnswer

MAX_HELD_BODY_BYTES = 64 * 1024  # a longer answer is passed on before it is whole
FALLBACK_RETRY_AFTER_S = 0.2
FIRST_SERVER_FAILURE = 500
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class AnswerBroken(Exception):
    """An answer that has begun can't be finished, which the end of the connection has to show."""


@dataclass(frozen=True, slots=True)
class ExchangeTools:
    """What all exchanges of a router share."""

    dispatcher: Dispatcher
    pools: ServerPools
    deadlines: DeadlineHeap
    decision_log: DecisionLog = field(default_factory=DecisionLog)


class Exchange:
    """Runs in the greenlet of the client's connection."""

    def __init__(
        self,
        tools: ExchangeTools,
        client: ClientConnection,
        request: Request,
        server_request: ServerRequest,
        ticket: QuotaTicket | None = None,
    ) -> None:
        self._dispatcher = tools.dispatcher
        self._pools = tools.pools
        self._deadlines = tools.deadlines
        self._decision_log = tools.decision_log
        self._client = client
        self._request = request
        self._server_request = server_request
        self._ticket = ticket
        self._unsafe = not (request.safe or request.resumable)
        self._decision: Action | None = None
        self._expired = False
        self._was_sent = False
        self._sending_began = False
        self._attempt: Attempt | None = None  # the one that runs
        self._events = EventStream()
        self._ready = b""  # whole events that are to be passed on
        self._break: Outcome | None = None  # the attempt has failed behind what is ready
        self._given: OwnAnswer | ServerAnswer | None = None  # the final answer, once it has left whole

    def respond(self, start_response: StartResponse) -> Iterable[bytes]:
        """The answer as a WSGI result; raises ClientGone."""
        expiry = self._deadlines.schedule(self._request.deadline, self._expire)
        relay: Iterator[bytes] | None = None
        try:
            self._dispatcher.submit(self._request, self)
            found = self._find_answer()
            if isinstance(found, OwnAnswer):
                self._given = found
                return found.respond(start_response)
            answer = found.answer
            if answer.complete and answer.status in _PROMISES_NOT_RUN:
                self._given = self._without_promise(answer)
                return self._given.respond(start_response)
            headers = end_to_end_headers(answer.headers)
            if _carries_events(answer):  # the stream may be taken up elsewhere, so its length is not known
                headers = [header for header in headers if header[0].lower() != "content-length"]
            start_response(f"{answer.status} {answer.reason}", headers)
            if self._attempt is None:
                self._given = answer
                return [answer.take_body()]
            relay = self._relay_events(found) if _carries_events(answer) else self._relay_body(found)
            return _Closing(relay, lambda: self._close(expiry))
        finally:
            if relay is None:
                self._close(expiry)

    def decide(self, action: Action) -> None:
        """Takes the scheduler's decision; called from any greenlet."""
        self._decision = action
        self._client.wakeup.notify()

    def refuse_unsent(self) -> None:
        """Gives the request up if no server has been tried, since the router ends."""
        if not self._was_sent and self._attempt is None and self._decision is None:
            self.decide(Refuse(self._request.id, 503, FALLBACK_RETRY_AFTER_S))

    def _find_answer(self) -> Attempt | OwnAnswer:
        while True:
            decision = self._next_decision()
            if not isinstance(decision, Send):
                return answer_for(decision, self._server_request.request_id)
            if self._ticket is not None and not self._ticket.renew():
                return over_quota(self._server_request.request_id, self._ticket.retry_after_s)
            if attempt := self._begin_attempt(decision):
                return attempt

    def _next_decision(self) -> Action:
        while self._decision is None:
            if self._client.gone:
                raise ClientGone("while the request waited")
            if self._expired:
                return self._late_decision()
            self._client.wakeup.wait()
        decision, self._decision = self._decision, None
        return decision

    def _late_decision(self) -> Action:
        """The deadline has passed before the scheduler has said anything."""
        self._dispatcher.cancel(self._request.id)
        if self._was_sent and self._unsafe:
            return Fail(self._request.id, 504)
        return Refuse(self._request.id, 503, FALLBACK_RETRY_AFTER_S)

    def _begin_attempt(self, send: Send) -> Attempt | None:
        """An attempt whose answer can be passed on; None where it has ended, as the scheduler knows by then."""
        pool = self._pools.of(send.server_id)
        if pool is None:
            self._dispatcher.ended(self._request.id, Outcome.NOT_SENT)
            return None
        attempt = self._attempt = Attempt(pool, self._deadlines, self._client.wakeup, self._interruption)
        try:
            self._send(attempt, send)
            self._read_start(attempt)
        except AttemptEnded as end:
            self._end_attempt(end.outcome)
            return None
        answer = attempt.answer
        if answer.not_executed:
            self._end_attempt(Outcome.MISDIRECTED if answer.status == MISDIRECTED else Outcome.REJECTED_FULL)
            return None
        if answer.complete and not _carries_events(answer):
            self._end_attempt(Outcome.FAILED_STATUS if answer.status >= FIRST_SERVER_FAILURE else Outcome.DONE)
        return attempt

    def _send(self, attempt: Attempt, send: Send) -> None:
        def message() -> bytes:
            left = self._request.deadline - time.monotonic()
            return self._server_request.encode(send.server_id, left, send.priority, self._events.last_id)

        self._events.take_up()
        self._break = None
        answer = ServerAnswer(self._server_request.method, self._server_request.request_id)
        self._sending_began = True
        attempt.send(message, answer, self._unsafe)
        self._was_sent = True

    def _read_start(self, attempt: Attempt) -> None:
        """Reads until the answer can be passed on: it is whole, its first event is, or it is long."""
        answer = attempt.answer
        told = False
        while not (answer.complete or self._ready or len(answer.body) > MAX_HELD_BODY_BYTES):
            self._receive(attempt)
            if answer.head_complete and not answer.not_executed:
                told = told or self._tell_first_event(attempt)
            if self._break is not None and not self._ready:
                raise AttemptEnded(self._break)

    def _tell_first_event(self, attempt: Attempt) -> bool:
        """Whether the first piece has come, which the scheduler is told."""
        if _carries_events(attempt.answer) and not self._ready:
            return False
        self._dispatcher.first_event(self._request.id, time.monotonic() - attempt.sent_at)
        return True

    def _receive(self, attempt: Attempt) -> None:
        """Reads on. Events that came whole before a failure are ready to be passed on, and `_break` tells of it."""
        answer = attempt.answer
        try:
            attempt.receive()
        except AttemptEnded as end:
            if end.outcome is Outcome.CANCELLED:
                raise ClientGone("while a server worked on the request") from end
            self._break = end.outcome
        if answer.head_complete and _carries_events(answer):
            self._ready += self._events.whole_events(answer.take_body())
            if self._events.fault or (answer.complete and self._events.within_event):
                self._break = Outcome.GARBLED

    def _relay_body(self, attempt: Attempt) -> Iterator[bytes]:
        """Passes a long body on as it comes."""
        answer = attempt.answer
        while True:
            if data := answer.take_body():
                yield data
            if answer.complete:
                self._end_attempt(Outcome.DONE)
                self._given = answer
                return
            self._receive(attempt)
            if self._break is not None:
                self._end_attempt(self._break)
                raise AnswerBroken(self._break.value)

    def _relay_events(self, attempt: Attempt) -> Iterator[bytes]:
        """Passes events on as they come, and takes the stream up at another server where that is allowed."""
        while True:
            whole = attempt.answer.complete and self._break is None
            if whole:
                self._end_attempt(Outcome.DONE)
                self._given = attempt.answer
            if self._ready:
                ready, self._ready = self._ready, b""
                if self._request.record is not None:
                    self._request.record.passed_on(time.monotonic() - self._request.arrived)
                yield ready
            if whole:
                return
            if self._break is None:
                self._receive(attempt)
            else:
                attempt = self._resume(self._break)

    def _resume(self, outcome: Outcome) -> Attempt:
        """The attempt that continues the stream; raises AnswerBroken where none does."""
        self._end_attempt(outcome)
        if not self._request.resumable:
            raise AnswerBroken(outcome.value)
        while True:
            decision = self._next_decision()
            if not isinstance(decision, Send):
                raise AnswerBroken(outcome.value)
            attempt = self._begin_attempt(decision)
            if attempt is not None:
                if _carries_events(attempt.answer):
                    return attempt
                raise AnswerBroken(f"status {attempt.answer.status} where a stream was to be continued")

    def _without_promise(self, answer: ServerAnswer) -> OwnAnswer:
        """A server's status that would promise that the request has not run, though the server does not say so."""
        return OwnAnswer(502, f"a server answered {answer.status}", self._server_request.request_id)

    def _interruption(self) -> Outcome | None:
        if self._client.gone:
            return Outcome.CANCELLED
        return Outcome.TIMED_OUT if self._expired else None

    def _end_attempt(self, outcome: Outcome) -> None:
        """Frees the attempt's connection and tells the scheduler; raises ClientGone."""
        attempt, self._attempt = self._attempt, None
        if attempt.answer is not None and attempt.answer.complete:
            attempt.release()
        else:
            attempt.abandon()
        if outcome is Outcome.CANCELLED:
            raise ClientGone("while a server worked on the request")
        self._dispatcher.ended(self._request.id, outcome)

    def _expire(self) -> None:
        self._expired = True
        self._client.wakeup.notify()

    def _close(self, expiry) -> None:
        """Ends what still runs; the scheduler forgets the request."""
        expiry.cancel()
        if self._attempt is not None:
            self._attempt.abandon()
            self._attempt = None
        if self._ticket is not None and not self._sending_began:
            self._ticket.release()
        self._dispatcher.close(self._request.id)
        if self._request.record is not None:
            status = self._given.status if self._given is not None else 0
            retry_after = self._given.retry_after if isinstance(self._given, OwnAnswer) else None
            self._decision_log.finish(self._request.record, self._request.arrived, status, retry_after)


class _Closing:
    """An answer's pieces, with what is to be done once they are over or given up."""

    def __init__(self, pieces: Iterator[bytes], close) -> None:
        self._pieces = pieces
        self.close = close

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces


def _carries_events(answer: ServerAnswer) -> bool:
    return answer.status == 200 and answer.is_event_stream
