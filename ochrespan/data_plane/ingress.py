"""gevent's WSGI server, adapted to a router that faces clients directly.

gevent.pywsgi accepts connections, keeps the order of pipelined requests, calls the application and frames responses.
The handler here replaces it in these respects:

- it parses headers leniently and drops duplicates; `request_head` parses strictly and preserves them;
- it does not limit sizes and times; `client_connection` does;
- it does not notice that a client disconnects while the application waits; here the connection's socket is watched;
- it does not tell clients how long an idle connection stays open, nor that it is about to close one;
- it ends a response that failed midway as if it were complete, or with a second head; here the connection is closed.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import time
from collections import OrderedDict
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer

from .client_connection import BodyMemoryBudget, ClientConnection
from .deadlines import DeadlineHeap
from .exchange import ResponseAborted
from .front import CONNECTION_KEY, HEAD_KEY, Front
from .local_responses import LocalResponse
from .request_head import ClientDisconnected, RequestHead, RequestRefused

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
KEEP_ALIVE_FRACTION = 0.8  # of the idle timeout; announced to clients in the `Keep-Alive` header
MAX_COALESCED_WRITE_BYTES = 64 * 1024  # data up to this size is written in one call with the headers


class _EmptyInput:
    """Replaces the library's input: the application reads the body itself, so there is nothing to discard."""

    def _discard(self) -> None:
        """Called by the library after the application has returned."""


class IngressHandler(WSGIHandler):
    """Serves the requests of one connection."""

    server: IngressServer

    def __init__(self, sock: Any, address: Any, server: IngressServer) -> None:
        client_socket = socket.socket(fileno=sock.detach())
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = ClientConnection(client_socket, server.deadlines, server.body_memory)
        self.socket = self.connection
        self.client_address = address
        self.server = server
        self.rfile = self.connection

    def handle(self) -> None:
        """Serves requests until the connection has to be closed."""
        connection, server = self.connection, self.server
        server.connection_opened(connection)
        try:
            while self._handle_next():
                server.connection_idle(connection)
        finally:
            server.connection_closed(connection)
            connection.close()

    def _handle_next(self) -> bool:
        """Serves one request; returns whether the connection may carry another one."""
        connection = self.connection
        try:
            self.head = connection.read_head(self.server.front.limits)
            if self.head is None:
                return False
            self.server.connection_active(connection)
            self._apply_head(self.head)
            self.environ = self.get_environ()
            self.application = self.server.application
            self.handle_one_response()
            return not self.close_connection and not connection.closed
        except RequestRefused as error:
            self._refuse(error)
            return False
        except (ClientDisconnected, TimeoutError):
            return False
        finally:
            connection.release_body()

    def _apply_head(self, head: RequestHead) -> None:
        """Sets the attributes that the library's own parser would have set."""
        self.command, self.path, self.request_version = head.method, head.target, head.version
        self.requestline = f"{head.method} {head.target} {head.version}"
        self.close_connection = not head.keep_alive
        self.content_length = head.content_length
        self.wsgi_input = _EmptyInput()
        self.connection.write_deadline = time.monotonic() + self.server.front.limits.idle_timeout_s

    def get_environ(self) -> dict[str, Any]:
        environ = self.server.get_environ()
        environ["REQUEST_METHOD"] = self.command
        environ["PATH_INFO"] = self.head.path
        environ["SERVER_PROTOCOL"] = self.request_version
        environ["wsgi.input"] = self.wsgi_input
        environ[CONNECTION_KEY] = self.connection
        environ[HEAD_KEY] = self.head
        return environ

    def finalize_headers(self) -> None:
        super().finalize_headers()
        if self.command == "HEAD" or self.code in (204, 304):
            self.response_use_chunked = False
        if self.server.draining or not self._has_length():
            self.close_connection = True
        if self.close_connection:
            self.response_headers.append((b"Connection", b"close"))
        else:
            self.response_headers.append((b"Keep-Alive", self.server.keep_alive_value))

    def _write_with_headers(self, data: bytes) -> None:
        """Writes the headers together with the first chunk of the body if that is small."""
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status]
        lines += [name + b": " + value for name, value in self.response_headers]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        if self.command == "HEAD":
            data = b""
        if self.response_use_chunked and data:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if len(data) <= MAX_COALESCED_WRITE_BYTES:
            self._sendall(head + data)
        else:
            self._sendall(head)
            self._sendall(data)

    def _sendall(self, data: bytes | bytearray) -> None:
        self.connection.write(data, self.connection.write_deadline)
        self.response_length += len(data)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Handles an exception raised by the application."""
        self.close_connection = True
        if isinstance(v, RequestRefused) and not self.headers_sent:
            self._refuse(v)
        elif isinstance(v, ClientDisconnected | TimeoutError):
            self.connection.close()
        elif isinstance(v, ResponseAborted):
            log.info("answer broken off path=%s reason=%s", self.path, v)
            self._abort_response()
        else:
            log.error("request failed path=%s", self.path, exc_info=(t, v, tb))
            if self.headers_sent:
                self._abort_response()
            else:
                self._send_local_response(LocalResponse(500, "internal error"))

    def log_request(self) -> None:
        """Does nothing: logging each request costs more than serving it."""

    def _has_length(self) -> bool:
        """Whether the framing lets the client distinguish a complete response from a truncated one."""
        return self.response_use_chunked or any(name.lower() == b"content-length" for name, _ in self.response_headers)

    def _abort_response(self) -> None:
        """Ends the connection in the middle of a response, so that the client sees that it is incomplete."""
        if self._has_length():
            self.connection.close()
        else:
            self.connection.reset()

    def _refuse(self, error: RequestRefused) -> None:
        """Responds to a malformed request and closes: the start of the next request cannot be found reliably."""
        self._send_local_response(LocalResponse(error.status, str(error), retry_after=error.retry_after))
        self.connection.linger_and_close()

    def _send_local_response(self, response: LocalResponse) -> None:
        self.command, self.request_version, self.close_connection = "GET", "HTTP/1.1", True
        self.headers_sent, self.response_use_chunked, self.response_length = False, False, 0
        with contextlib.suppress(ClientDisconnected, TimeoutError):
            self.result = response.respond(self.start_response)
            self.process_result()
        self.result = None


class IngressServer(WSGIServer):
    """Accepts client connections up to a limit, and tracks which of them are idle."""

    handler_class = IngressHandler

    def __init__(
        self, listener: Any, front: Front, deadlines: DeadlineHeap, max_connections: int, max_body_bytes: int
    ) -> None:
        environment = {"SERVER_NAME": "router"}  # otherwise the library resolves the host name
        # A socket that already listens has its own backlog.
        backlog = None if isinstance(listener, socket.socket) else LISTEN_BACKLOG
        super().__init__(listener, front, log=None, error_log=None, environ=environment, backlog=backlog)
        self.front = front
        self.deadlines = deadlines
        self.max_connections = max_connections
        self.body_memory = BodyMemoryBudget(max_body_bytes)
        self.draining = False
        self._idle_clients: OrderedDict[ClientConnection, None] = OrderedDict()  # the longest idle one first
        self._open_clients: set[ClientConnection] = set()

    @property
    def open_connections(self) -> int:
        return len(self._open_clients)

    @property
    def idle_connections_with_request_bytes(self) -> int:
        """The number of idle connections that have received part of a request."""
        return sum(connection.has_unread_bytes for connection in self._idle_clients)

    @property
    def keep_alive_value(self) -> bytes:
        return b"timeout=%d" % max(1, int(self.front.limits.idle_timeout_s * KEEP_ALIVE_FRACTION))

    def connection_opened(self, connection: ClientConnection) -> None:
        self._open_clients.add(connection)
        self._idle_clients[connection] = None
        if len(self._open_clients) > self.max_connections:
            self._close_idle(next((each for each in self._idle_clients if not each.has_unread_bytes), connection))

    def connection_idle(self, connection: ClientConnection) -> None:
        self._idle_clients[connection] = None
        if self.draining and not connection.has_unread_bytes:
            self._close_idle(connection)

    def connection_active(self, connection: ClientConnection) -> None:
        self._idle_clients.pop(connection, None)

    def connection_closed(self, connection: ClientConnection) -> None:
        self._open_clients.discard(connection)
        self._idle_clients.pop(connection, None)

    def drain(self) -> None:
        """Sends `Connection: close` with responses from now on, and closes idle connections."""
        self.draining = True
        for connection in list(self._idle_clients):
            if not connection.has_unread_bytes:  # a request that has started to arrive must be served
                self._close_idle(connection)

    def abort_connections(self) -> None:
        """Closes all connections, including those with requests in flight."""
        for connection in list(self._open_clients):
            connection.close_and_notify()

    def _close_idle(self, connection: ClientConnection) -> None:
        self._idle_clients.pop(connection, None)
        connection.close_and_notify()
