"""Remote procedure calls and pushed messages over one framed connection.

A request has a number that its response repeats; any other message is a push. Calls are independent of each
other: responses come in any order. A call whose connection ends gets no response, and it is unknown whether it was
executed. This module never retries a call: the caller knows whether it may be repeated.
"""

from __future__ import annotations

import contextlib
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import gevent
from gevent.event import AsyncResult, Event

from ochrespan.common.addresses import Address

from .codec import decode, encode, message
from .errors import ConnectionClosedError, MessageError
from .errors import RpcError as RpcError  # the alias exports it
from .tcp import Connection, Listener, dial

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0


@message("call")
@dataclass(slots=True)
class RpcRequest:
    """A call. `number` identifies it and is unique among the calls of an `RpcClient`; `body` is an encoded message."""

    number: int
    body: bytes


@message("reply")
@dataclass(slots=True)
class RpcResponse:
    """The response to the call `number`: an encoded message or, where the call failed, an error and no body."""

    number: int
    body: bytes
    error: str = ""


class _PendingCall(NamedTuple):
    """A call without response yet, and the connection that carried its request."""

    connection: Connection
    result: AsyncResult


class RpcClient:
    """Calls one peer over one connection, opened when it is first needed and again after it has ended."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._connection: Connection | None = None
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[int, _PendingCall] = {}
        self._dial_ended: Event | None = None  # while a greenlet opens the connection

    def call(self, request: Any, timeout: float) -> Any:
        """Sends a request and waits for its response.

        Args:
            request: A registered message.
            timeout: Seconds, the time to open a connection included.

        Returns:
            The message of the response.

        Raises:
            RpcError: There is no response within the time-out, or the peer reports that the call failed.
        """
        try:
            with gevent.Timeout(timeout, TimeoutError):
                return self._call(request)
        except (TimeoutError, OSError, ConnectionClosedError, MessageError) as error:
            raise RpcError(f"{self.address[0]}:{self.address[1]}: {error or 'no reply in time'}") from error

    def close(self) -> None:
        """Closes the connection; calls in flight fail. A later call opens a new one."""
        if self._connection is not None:
            self._connection.close()

    def _call(self, request: Any) -> Any:
        connection = self._ensure_connected()
        call_number = next(self._call_numbers)
        result = AsyncResult()
        self._pending_calls[call_number] = _PendingCall(connection, result)
        try:
            connection.send(RpcRequest(call_number, encode(request)))
            response = result.get()
        finally:
            self._pending_calls.pop(call_number, None)
        if response.error:
            raise RpcError(response.error)
        return decode(response.body)

    def _ensure_connected(self) -> Connection:
        """The open connection. One greenlet opens it while others that call meanwhile wait for the outcome."""
        while self._connection is None or self._connection.closed:
            if self._dial_ended is not None:
                self._dial_ended.wait()
                continue
            dial_ended = self._dial_ended = Event()
            try:
                self._connection = dial(self.address, CONNECT_TIMEOUT_S)
                gevent.spawn(self._receive_responses, self._connection)
            finally:
                self._dial_ended = None
                dial_ended.set()
        return self._connection

    def _receive_responses(self, connection: Connection) -> None:
        """Runs until the connection ends, then fails its calls."""
        try:
            while True:
                received = connection.receive()
                if isinstance(received, RpcResponse):
                    self._handle_response(connection, received)
        except (ConnectionClosedError, MessageError) as error:
            connection.close()
            self._fail_calls(connection, str(error))

    def _handle_response(self, connection: Connection, response: RpcResponse) -> None:
        """Completes the call with this number, unless another connection carried it.

        A call that has timed out is no longer pending: its late response is dropped.
        """
        pending = self._pending_calls.get(response.number)
        if pending is not None and pending.connection is connection:
            pending.result.set(response)

    def _fail_calls(self, connection: Connection, reason: str) -> None:
        """Fails the calls of one connection; those of its successor continue.

        A successor may have been opened before this connection's greenlet has seen the end.
        """
        for pending in list(self._pending_calls.values()):
            if pending.connection is connection:
                pending.result.set_exception(ConnectionClosedError(reason))


class RpcServer:
    """Dispatches requests, and pushes, by the type of their message.

    Attributes:
        on_closed: Called with a connection after it has ended, in the connection's greenlet.
    """

    def __init__(self, address: Address) -> None:
        self._listener = Listener(address, self._serve_connection)
        self._request_handlers: dict[type, Callable[[Any], Any]] = {}
        self._push_handlers: dict[type, Callable[[Connection, Any], None]] = {}
        self.on_closed: Callable[[Connection], None] = lambda _connection: None

    @property
    def address(self) -> Address:
        """Where the server listens, once it is started."""
        return self._listener.address

    def on_request(self, request_type: type, handler: Callable[[Any], Any]) -> None:
        """`handler(request)` runs in a greenlet of its own and returns the response's message."""
        self._request_handlers[request_type] = handler

    def on_push(self, message_type: type, handler: Callable[[Connection, Any], None]) -> None:
        """`handler(connection, message)` runs in the connection's greenlet, in the order of arrival."""
        self._push_handlers[message_type] = handler

    def start(self) -> None:
        """Accepts connections from now on."""
        self._listener.start()

    def stop(self) -> None:
        """Accepts no more connections, and closes those that are open."""
        self._listener.stop()

    def _serve_connection(self, connection: Connection) -> None:
        try:
            self._dispatch(connection)
        finally:
            self.on_closed(connection)

    def _dispatch(self, connection: Connection) -> None:
        """Runs until the connection ends, which raises ConnectionClosedError or MessageError."""
        while True:
            received = connection.receive()
            if isinstance(received, RpcRequest):
                gevent.spawn(self._handle_request, connection, received)
            elif handler := self._push_handlers.get(type(received)):
                handler(connection, received)
            else:
                log.warning("unexpected message type=%s", type(received).__name__)

    def _handle_request(self, connection: Connection, call: RpcRequest) -> None:
        try:
            request = decode(call.body)
            handler = self._request_handlers.get(type(request))
            if handler is None:
                raise MessageError("call", type(request).__name__, "a call that this process answers")
            response = RpcResponse(call.number, encode(handler(request)))
        except Exception as error:  # noqa: BLE001 - whatever a handler raises is reported to the caller, which decides
            log.warning("request handler failed error=%r", error)
            response = RpcResponse(call.number, b"", repr(error))
        with contextlib.suppress(ConnectionClosedError):  # the caller has disconnected, or times out by itself
            connection.send(response)
