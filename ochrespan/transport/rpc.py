"""Calls and pushed messages over one framed connection.

A call carries a number that its reply repeats; what comes without a number is a pushed message. Calls have no order
among each other. A call whose connection ends gets no reply: whether it was carried out is not known. Nothing here
sends a call twice: who calls knows whether it may be repeated.
"""

from __future__ import annotations

import contextlib
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import AsyncResult

from ochrespan.common.addresses import Address

from .codec import MessageError, decode, encode, message
from .tcp import Connection, ConnectionClosedError, Listener, dial

log = logging.getLogger(__name__)


CONNECT_TIMEOUT_S = 1.0


@message("call")
@dataclass(slots=True)
class RpcRequest:
    number: int
    body: bytes  # an encoded message


@message("reply")
@dataclass(slots=True)
class RpcResponse:
    number: int
    body: bytes  # an encoded message; empty where the call failed
    error: str = ""


class RpcError(Exception):
    """No reply: the connection ended, the time ran out, or the peer could not carry the call out."""


class RpcClient:
    """Keeps one connection to a peer, opened when it is first needed and again after it has ended."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._connection: Connection | None = None
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[Connection, AsyncResult]] = {}
        self._dialling: AsyncResult | None = None

    def call(self, request: Any, timeout: float) -> Any:
        """The reply's message; raises RpcError after at most `timeout` seconds."""
        try:
            with gevent.Timeout(timeout, TimeoutError):
                return self._call(request)
        except (TimeoutError, OSError, ConnectionClosedError, MessageError) as error:
            raise RpcError(f"{self.address[0]}:{self.address[1]}: {error or 'no reply in time'}") from error

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()

    def _call(self, request: Any) -> Any:
        connection = self._connected()
        number, result = next(self._numbers), AsyncResult()
        self._waiting[number] = (connection, result)
        try:
            connection.send(RpcRequest(number, encode(request)))
            reply = result.get()
        finally:
            self._waiting.pop(number, None)
        if reply.error:
            raise RpcError(reply.error)
        return decode(reply.body)

    def _connected(self) -> Connection:
        while self._connection is None or self._connection.closed:
            if self._dialling is not None:
                self._dialling.wait()
                continue
            self._dialling = AsyncResult()
            try:
                self._connection = dial(self.address, CONNECT_TIMEOUT_S)
                gevent.spawn(self._read, self._connection)
            finally:
                dialling, self._dialling = self._dialling, None
                dialling.set()
        return self._connection

    def _read(self, connection: Connection) -> None:
        try:
            while True:
                reply = connection.receive()
                if isinstance(reply, RpcResponse):
                    self._take(connection, reply)
        except (ConnectionClosedError, MessageError) as error:
            connection.close()
            self._fail_calls(connection, str(error))

    def _take(self, connection: Connection, reply: RpcResponse) -> None:
        """A reply belongs to the call with its number, on the connection that carried the call."""
        asked_on, result = self._waiting.get(reply.number, (None, None))
        if asked_on is connection:
            result.set(reply)

    def _fail_calls(self, connection: Connection, reason: str) -> None:
        """Ends the calls of one connection; those of its successor go on."""
        for asked_on, result in list(self._waiting.values()):
            if asked_on is connection:
                result.set_exception(ConnectionClosedError(reason))


class RpcServer:
    """Answers calls by the type of their message; other messages go to the handler of their type as pushes."""

    def __init__(self, address: Address) -> None:
        self._listener = Listener(address, self._serve)
        self._call_handlers: dict[type, Callable[[Any], Any]] = {}
        self._push_handlers: dict[type, Callable[[Connection, Any], None]] = {}
        self.on_closed: Callable[[Connection], None] = lambda connection: None

    @property
    def address(self) -> Address:
        return self._listener.address

    def on_request(self, request_type: type, handler: Callable[[Any], Any]) -> None:
        """`handler(request)` runs in a greenlet of its own and returns the reply's message."""
        self._call_handlers[request_type] = handler

    def on_push(self, message_type: type, handler: Callable[[Connection, Any], None]) -> None:
        """`handler(connection, message)` runs in the connection's greenlet, in the order of arrival."""
        self._push_handlers[message_type] = handler

    def start(self) -> None:
        self._listener.start()

    def stop(self) -> None:
        self._listener.stop()

    def _serve(self, connection: Connection) -> None:
        try:
            self._receive(connection)
        finally:
            self.on_closed(connection)

    def _receive(self, connection: Connection) -> None:
        while True:
            received = connection.receive()
            if isinstance(received, RpcRequest):
                gevent.spawn(self._answer, connection, received)
            elif handler := self._push_handlers.get(type(received)):
                handler(connection, received)
            else:
                log.warning("unexpected message type=%s", type(received).__name__)

    def _answer(self, connection: Connection, call: RpcRequest) -> None:
        try:
            request = decode(call.body)
            handler = self._call_handlers.get(type(request))
            if handler is None:
                raise MessageError("call", type(request).__name__, "a call that this process answers")
            reply = RpcResponse(call.number, encode(handler(request)))
        except Exception as error:
            log.warning("call failed error=%r", error)
            reply = RpcResponse(call.number, b"", repr(error))
        with contextlib.suppress(ConnectionClosedError):
            connection.send(reply)
