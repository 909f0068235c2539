"""Calls over HTTP as they stand on the wire, written as text in which what varies is masked."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

from gevent import socket

from tests.support.control_plane_world import World

TIMEOUT_S = 10.0
HEADER_END = b"\r\n\r\n"
LONGEST_SHOWN_BODY = 1200
JSON_TYPE = "application/json"
MASKS = (
    (re.compile(r"^Date: .*$", re.MULTILINE), "Date: <date>"),
    (re.compile(r'"received_ms": [1-9]\d{11,}'), '"received_ms": "<time>"'),
)


class Transcript:
    """The calls made so far and their answers. `names` gives the words that stand for addresses."""

    def __init__(self, names: Mapping[str, str] | None = None) -> None:
        self._names = dict(names or {})
        self._parts: list[str] = []

    def __str__(self) -> str:
        return "\n".join(self._parts)

    def call(
        self, address: tuple[str, int], method: str, path: str, document: Any = None, **headers: str
    ) -> tuple[int, bytes]:
        """Makes a call, writes it down and returns the answer's status and body.

        Args:
            address: Where the server listens.
            method: The HTTP method.
            path: The path as sent.
            document: The body: bytes as they are, anything else as JSON, None for none.
            **headers: Further headers, with underscores in place of hyphens.
        """
        body = _body_of(document)
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        answer = _send(address, method, path, body, fields)
        self._write(method, path, body, fields, answer)
        head, _, answer_body = answer.partition(HEADER_END)
        return int(head.split()[1]), answer_body

    def _write(self, method: str, path: str, body: bytes, fields: Mapping[str, str], answer: bytes) -> None:
        head, _, answer_body = answer.partition(HEADER_END)
        answer_head = head.decode("latin-1").replace("\r\n", "\n")
        plain = _shown(answer_body, JSON_TYPE in answer_head)
        shown = self._masked(plain)
        if shown != plain:
            assert f"Content-Length: {len(answer_body)}\n" in f"{answer_head}\n"
            answer_head = re.sub(r"Content-Length: \d+", "Content-Length: <length of the body>", answer_head)
        sent = "".join(f"{name}: {value}\n" for name, value in fields.items())
        call = f">>> {method} {path}\n{sent}{_shown(body, True)}".rstrip()
        self._parts.append(f"{call}\n<<<\n{self._masked(answer_head)}\n\n{shown}\n")

    def _masked(self, text: str) -> str:
        for address, name in self._names.items():
            text = text.replace(address, name)
        for pattern, mask in MASKS:
            text = pattern.sub(mask, text)
        return text


class WorldTranscript(Transcript):
    """The calls to a world's controllers, whose addresses it writes as `<address of core-N>`."""

    def __init__(self, world: World) -> None:
        self._world = world
        super().__init__(
            {f"{host}:{port}": f"<address of core-{number}>" for number, (host, port) in enumerate(world.addresses())}
        )

    def ask(self, number: int, method: str, path: str, document: Any = None, **headers: str) -> tuple[int, bytes]:
        """A call to the controller with this number."""
        address = ("127.0.0.1", self._world.controllers[number].http.server_port)
        return self.call(address, method, path, document, **headers)


def _body_of(document: Any) -> bytes:
    if isinstance(document, bytes):
        return document
    return b"" if document is None else json.dumps(document).encode()


def _shown(body: bytes, is_json: bool) -> str:
    """The body for people: JSON on several lines with its fields in the order sent, long ones by their length."""
    if is_json:
        try:
            text = json.dumps(json.loads(body), indent=2, ensure_ascii=False)
            return text.encode("utf-8", "backslashreplace").decode()  # half a surrogate pair cannot be written
        except (ValueError, RecursionError):
            pass
    if len(body) > LONGEST_SHOWN_BODY:
        return f"<{len(body)} bytes>"
    return body.decode("utf-8", "backslashreplace")


def _send(address: tuple[str, int], method: str, path: str, body: bytes, fields: Mapping[str, str]) -> bytes:
    """The whole answer. A `Content-Length` or `Transfer-Encoding` among the fields replaces the true length."""
    lines = [f"{method} {path} HTTP/1.1", "Host: controller", "Connection: close"]
    if not {"Content-Length", "Transfer-Encoding"} & fields.keys():
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall("\r\n".join(lines).encode("latin-1") + HEADER_END + body)
        connection.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: connection.recv(65536), b""))
