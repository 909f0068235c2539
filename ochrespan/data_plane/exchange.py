"""Runs one admitted client request: waits for scheduling, makes attempts at servers and relays the response."""

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
from .local_responses import LocalResponse, StartResponse, quota_exceeded_response, response_for
from .quota_admission import QuotaReservation
from .request_head import ClientDisconnected
from .server_pools import ServerPools
from .server_request import ServerRequest, end_to_end_headers
from .server_response import MISDIRECTED, ServerResponse

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer response is forwarded before it is complete
FALLBACK_RETRY_AFTER_S = 0.2
FIRST_SERVER_FAILURE = 500
# Clients take these statuses as a statement that the request was not executed.
_IMPLIES_NOT_EXECUTED = frozenset({408, 421, 429, 503})


class ResponseAborted(Exception):
    """A response that has started cannot be completed; the connection must end so that the client notices."""


@dataclass(frozen=True, slots=True)
class ExchangeContext:
    """Objects that all exchanges of a router share."""

    dispatcher: Dispatcher
    pools: ServerPools
    deadlines: DeadlineHeap
    decision_log: DecisionLog = field(default_factory=DecisionLog)


class Exchange:
    """One client request and its attempts; runs in the greenlet of the client's connection."""

    def __init__(
        self,
        context: ExchangeContext,
        client: ClientConnection,
        request: Request,
        server_request: ServerRequest,
        ticket: QuotaReservation | None = None,
    ) -> None:
        self._dispatcher = context.dispatcher
        self._pools = context.pools
        self._deadlines = context.deadlines
        self._decision_log = context.decision_log
        self._client = client
        self._request = request
        self._server_request = server_request
        self._ticket = ticket
        self._unsafe = not (request.safe or request.resumable)
        self._decision: Action | None = None
        self._expired = False
        self._was_sent = False
        self._send_started = False
        self._attempt: Attempt | None = None  # the attempt in flight
        self._events = EventStream()
        self._ready_events = b""  # complete events that have not been forwarded yet
        self._failure: Outcome | None = None  # how the attempt failed, after the events in `_ready_events`
        self._final_response: LocalResponse | ServerResponse | None = None  # set once it is sent completely

    def respond(self, start_response: StartResponse) -> Iterable[bytes]:
        """Returns the response as a WSGI result; raises ClientDisconnected."""
        deadline_timer = self._deadlines.schedule(self._request.deadline, self._on_deadline)
        relay: Iterator[bytes] | None = None
        try:
            self._dispatcher.submit(self._request, self)
            result = self._obtain_response()
            if isinstance(result, LocalResponse):
                self._final_response = result
                return result.respond(start_response)
            response = result.response
            if response.complete and response.status in _IMPLIES_NOT_EXECUTED:
                self._final_response = self._bad_gateway_response(response)
                return self._final_response.respond(start_response)
            headers = end_to_end_headers(response.headers)
            if _is_event_response(response):  # the stream may resume at another server, so its length is unknown
                headers = [header for header in headers if header[0].lower() != "content-length"]
            start_response(f"{response.status} {response.reason}", headers)
            if self._attempt is None:
                self._final_response = response
                return [response.take_body()]
            relay = self._relay_events(result) if _is_event_response(response) else self._relay_body(result)
            return _ClosingIterable(relay, lambda: self._close(deadline_timer))
        finally:
            if relay is None:
                self._close(deadline_timer)

    def receive_decision(self, action: Action) -> None:
        """Receives the scheduler's decision; may be called from any greenlet."""
        self._decision = action
        self._client.wakeup.notify()

    def refuse_unsent(self) -> None:
        """Refuses the request with 503 if no server has been tried, because the router is shutting down."""
        if not self._was_sent and self._attempt is None and self._decision is None:
            self.receive_decision(Refuse(self._request.id, 503, FALLBACK_RETRY_AFTER_S))

    def _obtain_response(self) -> Attempt | LocalResponse:
        while True:
            decision = self._next_decision()
            if not isinstance(decision, Send):
                return response_for(decision, self._server_request.request_id)
            if self._ticket is not None and not self._ticket.renew():
                return quota_exceeded_response(self._server_request.request_id, self._ticket.retry_after_s)
            if attempt := self._start_attempt(decision):
                return attempt

    def _next_decision(self) -> Action:
        while self._decision is None:
            if self._client.disconnected:
                raise ClientDisconnected("while the request was queued")
            if self._expired:
                return self._decide_at_deadline()
            self._client.wakeup.wait()
        decision, self._decision = self._decision, None
        return decision

    def _decide_at_deadline(self) -> Action:
        """Cancels the request, whose deadline passed before a decision, and returns the matching action."""
        self._dispatcher.cancel(self._request.id)
        if self._was_sent and self._unsafe:
            return Fail(self._request.id, 504)
        return Refuse(self._request.id, 503, FALLBACK_RETRY_AFTER_S)

    def _start_attempt(self, send: Send) -> Attempt | None:
        """Returns an attempt whose response can be forwarded, or None if it failed; the scheduler is then notified."""
        pool = self._pools.get(send.server_id)
        if pool is None:
            self._dispatcher.attempt_ended(self._request.id, Outcome.NOT_SENT)
            return None
        attempt = self._attempt = Attempt(pool, self._deadlines, self._client.wakeup, self._interruption_outcome)
        try:
            self._send(attempt, send)
            self._read_until_forwardable(attempt)
        except AttemptEnded as error:
            self._end_attempt(error.outcome)
            return None
        response = attempt.response
        if response.not_executed:
            self._end_attempt(Outcome.MISDIRECTED if response.status == MISDIRECTED else Outcome.REJECTED_FULL)
            return None
        if response.complete and not _is_event_response(response):
            self._end_attempt(Outcome.FAILED_STATUS if response.status >= FIRST_SERVER_FAILURE else Outcome.DONE)
        return attempt

    def _send(self, attempt: Attempt, send: Send) -> None:
        def encode_request() -> bytes:
            remaining_s = self._request.deadline - time.monotonic()
            return self._server_request.encode(send.server_id, remaining_s, send.priority, self._events.last_id)

        self._events.start_continuation()
        self._failure = None
        response = ServerResponse(self._server_request.method, self._server_request.request_id)
        self._send_started = True
        attempt.send(encode_request, response, self._unsafe)
        self._was_sent = True

    def _read_until_forwardable(self, attempt: Attempt) -> None:
        """Reads until the response is complete, has a complete event, or exceeds MAX_BUFFERED_BODY_BYTES."""
        response = attempt.response
        first_event_reported = False
        while not (response.complete or self._ready_events or len(response.body) > MAX_BUFFERED_BODY_BYTES):
            self._receive(attempt)
            if response.head_complete and not response.not_executed:
                first_event_reported = first_event_reported or self._report_first_event(attempt)
            if self._failure is not None and not self._ready_events:
                raise AttemptEnded(self._failure)

    def _report_first_event(self, attempt: Attempt) -> bool:
        """Notifies the scheduler once the first event, or the header of another response, has arrived.

        Returns:
            Whether it has arrived.
        """
        if _is_event_response(attempt.response) and not self._ready_events:
            return False
        self._dispatcher.first_event(self._request.id, time.monotonic() - attempt.sent_at)
        return True

    def _receive(self, attempt: Attempt) -> None:
        """Reads the next bytes; a failure is stored in `_failure`, so that events completed before it are forwarded."""
        response = attempt.response
        try:
            attempt.receive()
        except AttemptEnded as error:
            if error.outcome is Outcome.CANCELLED:
                raise ClientDisconnected("while a server processed the request") from error
            self._failure = error.outcome
        if response.head_complete and _is_event_response(response):
            self._ready_events += self._events.take_complete_events(response.take_body())
            if self._events.error or (response.complete and self._events.has_partial_event):
                self._failure = Outcome.GARBLED

    def _relay_body(self, attempt: Attempt) -> Iterator[bytes]:
        """Forwards a long body as it arrives."""
        response = attempt.response
        while True:
            if data := response.take_body():
                yield data
            if response.complete:
                self._end_attempt(Outcome.DONE)
                self._final_response = response
                return
            self._receive(attempt)
            if self._failure is not None:
                self._end_attempt(self._failure)
                raise ResponseAborted(self._failure.value)

    def _relay_events(self, attempt: Attempt) -> Iterator[bytes]:
        """Forwards events as they arrive, and resumes the stream at another server if the route allows it."""
        while True:
            complete = attempt.response.complete and self._failure is None
            if complete:
                self._end_attempt(Outcome.DONE)
                self._final_response = attempt.response
            if self._ready_events:
                events, self._ready_events = self._ready_events, b""
                if self._request.record is not None:
                    self._request.record.record_forwarded(time.monotonic() - self._request.arrived_at)
                yield events
            if complete:
                return
            if self._failure is None:
                self._receive(attempt)
            else:
                attempt = self._resume(self._failure)

    def _resume(self, outcome: Outcome) -> Attempt:
        """Returns the attempt that continues the stream; raises ResponseAborted if there is none."""
        self._end_attempt(outcome)
        if not self._request.resumable:
            raise ResponseAborted(outcome.value)
        while True:
            decision = self._next_decision()
            if not isinstance(decision, Send):
                raise ResponseAborted(outcome.value)
            attempt = self._start_attempt(decision)
            if attempt is not None:
                if _is_event_response(attempt.response):
                    return attempt
                raise ResponseAborted(f"status {attempt.response.status} instead of the rest of the stream")

    def _bad_gateway_response(self, response: ServerResponse) -> LocalResponse:
        """Replaces a status that implies that the request was not executed, which the server has not stated."""
        return LocalResponse(502, f"a server answered {response.status}", self._server_request.request_id)

    def _interruption_outcome(self) -> Outcome | None:
        if self._client.disconnected:
            return Outcome.CANCELLED
        return Outcome.TIMED_OUT if self._expired else None

    def _end_attempt(self, outcome: Outcome) -> None:
        """Releases the attempt's connection, or abandons it if the response is incomplete, and reports the outcome.

        Raises:
            ClientDisconnected: The outcome is CANCELLED, which is not reported to the scheduler here.
        """
        attempt, self._attempt = self._attempt, None
        if attempt.response is not None and attempt.response.complete:
            attempt.release()
        else:
            attempt.abandon()
        if outcome is Outcome.CANCELLED:
            raise ClientDisconnected("while a server processed the request")
        self._dispatcher.attempt_ended(self._request.id, outcome)

    def _on_deadline(self) -> None:
        self._expired = True
        self._client.wakeup.notify()

    def _close(self, deadline_timer) -> None:
        """Ends the exchange: drops a running attempt, returns unused quota tokens and finishes the decision record."""
        deadline_timer.cancel()
        if self._attempt is not None:
            self._attempt.abandon()
            self._attempt = None
        if self._ticket is not None and not self._send_started:
            self._ticket.release()
        self._dispatcher.close(self._request.id)
        if self._request.record is not None:
            status = self._final_response.status if self._final_response is not None else 0
            retry_after = self._final_response.retry_after if isinstance(self._final_response, LocalResponse) else None
            self._decision_log.finish(self._request.record, self._request.arrived_at, status, retry_after)


class _ClosingIterable:
    """A response's chunks with a `close` callback, which the WSGI server calls at the end or on an early stop."""

    def __init__(self, chunks: Iterator[bytes], close) -> None:
        self._chunks = chunks
        self.close = close

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks


def _is_event_response(response: ServerResponse) -> bool:
    return response.status == 200 and response.is_event_stream
