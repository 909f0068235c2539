"""A stand-in for a controller or a router: answers by a script, and keeps what it was asked."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import Any

RECORDED_HEADERS = ("If-Match", "X-Fleet-Cluster")
NOT_SCRIPTED = (404, {"findings": [{"where": "path", "found": "another", "allowed": "a scripted one"}]})
POLL_INTERVAL_S = 0.01

Answer = tuple[int, Any]  # status, and the document or the bytes of the body
Script = Mapping[str, Answer]  # by method and path, such as "GET /api/status"


class ScriptedController:
    """An HTTP server on loopback. `address` is where it listens; `calls` is one line for each request."""

    def __init__(self, script: Script) -> None:
        self.calls: list[str] = []
        self._script = script
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self.address = f"127.0.0.1:{self._server.server_port}"
        self._thread = Thread(target=self._server.serve_forever, args=(POLL_INTERVAL_S,), daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def answer(self, request: BaseHTTPRequestHandler) -> Answer:
        """Notes a request and looks its answer up."""
        body = request.rfile.read(int(request.headers.get("Content-Length") or 0)).decode()
        headers = [f"{name}: {request.headers[name]}" for name in RECORDED_HEADERS if name in request.headers]
        place = f"{request.command} {request.path}"
        self.calls.append(" | ".join([place, *headers, *([body] if body else [])]))
        return self._script.get(place, NOT_SCRIPTED)

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        controller = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                status, document = controller.answer(self)
                body = document if isinstance(document, bytes) else json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_PUT = do_GET

            def log_message(self, *words: object) -> None:
                """Keeps the test's output free of a line for each request."""

        return Handler


@contextmanager
def scripted_controller(script: Script) -> Iterator[ScriptedController]:
    """A controller for the length of a block."""
    controller = ScriptedController(script)
    try:
        yield controller
    finally:
        controller.close()
