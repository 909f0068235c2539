"""Strict parser for the head of a request (request line and headers): ambiguous input is refused."""

from __future__ import annotations

import re
from dataclasses import dataclass

_FORBIDDEN_BYTES = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n")
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"/[\x21-\x7e\x80-\xff]*")
_DIGITS = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")

BAD_REQUEST, TIMED_OUT, TOO_LARGE, EXPECTATION_FAILED = 400, 408, 413, 417
HEAD_TOO_LARGE, UNAVAILABLE, VERSION_NOT_SUPPORTED = 431, 503, 505


class RequestRefused(ValueError):
    """A malformed or oversized request: the response's status, the faulty part, what was found and what is allowed."""

    def __init__(self, status: int, where: str, found: str, allowed: str, retry_after: float | None = None) -> None:
        super().__init__(f"{where}: found {found}, allowed {allowed}")
        self.status, self.where, self.found, self.allowed = status, where, found, allowed
        self.retry_after = retry_after


class ClientDisconnected(ConnectionError):
    """The client has closed its connection."""


@dataclass(slots=True)
class RequestHead:
    """Request line and headers. Headers keep their case, order and duplicates."""

    method: str
    target: str
    version: str
    headers: list[tuple[str, str]]
    host: str
    content_length: int | None
    chunked: bool
    keep_alive: bool
    expects_continue: bool

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    def values(self, name: str) -> list[str]:
        """All values of a header; `name` is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]


def parse_head(data: bytes) -> RequestHead:
    """Parses the head in `data`, without the final empty line; raises RequestRefused."""
    if forbidden := _FORBIDDEN_BYTES.search(data):
        raise RequestRefused(
            BAD_REQUEST, f"byte {forbidden.start()} of the head", repr(forbidden.group()), "printable text"
        )
    lines = data.decode("latin-1").split("\r\n")
    method, target, version = _request_line(lines[0])
    headers = [_header(line) for line in lines[1:]]
    values_by_name: dict[str, list[str]] = {}
    for name, value in headers:
        values_by_name.setdefault(name.lower(), []).append(value)
    chunked = _is_chunked(values_by_name, version)
    return RequestHead(
        method,
        target,
        version,
        headers,
        host=_host(values_by_name, version),
        content_length=_content_length(values_by_name),
        chunked=chunked,
        keep_alive=_keep_alive(values_by_name, version),
        expects_continue=_expects_continue(values_by_name),
    )


def parse_chunk_size(line: bytes) -> int:
    """Parses the size line of a chunk; raises RequestRefused."""
    digits = line.partition(b";")[0].rstrip(b" \t")
    if not _CHUNK_SIZE.fullmatch(digits) or _FORBIDDEN_BYTES.search(line):
        raise RequestRefused(BAD_REQUEST, "chunk size", repr(line[:40]), "hexadecimal digits")
    return int(digits, 16)


def _request_line(line: str) -> tuple[str, str, str]:
    parts = line.split(" ")
    if len(parts) != 3:
        raise RequestRefused(BAD_REQUEST, "request line", f"{len(parts)} parts", "method, path and version")
    method, target, version = parts
    if not _TOKEN.fullmatch(method):
        raise RequestRefused(BAD_REQUEST, "method", repr(method[:40]), "a token")
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        status = VERSION_NOT_SUPPORTED if re.fullmatch(r"HTTP/\d\.\d", version) else BAD_REQUEST
        raise RequestRefused(status, "version", repr(version[:40]), "HTTP/1.1 or HTTP/1.0")
    if not _TARGET.fullmatch(target):
        raise RequestRefused(BAD_REQUEST, "path", repr(target[:40]), "a path that begins with a slash")
    return method, target, version


def _header(line: str) -> tuple[str, str]:
    name, colon, value = line.partition(":")
    if not colon or not _TOKEN.fullmatch(name):
        raise RequestRefused(BAD_REQUEST, "header name", repr(name[:40]), "a token before a colon, on one line")
    return name, value.strip(" \t")


def _host(values_by_name: dict[str, list[str]], version: str) -> str:
    hosts = values_by_name.get("host", [])
    if len(hosts) != 1 and not (version == "HTTP/1.0" and not hosts):
        raise RequestRefused(BAD_REQUEST, "Host", f"{len(hosts)} headers", "one")
    return hosts[0].lower() if hosts else ""


def _is_chunked(values_by_name: dict[str, list[str]], version: str) -> bool:
    encodings = values_by_name.get("transfer-encoding")
    if encodings is None:
        return False
    if "content-length" in values_by_name:
        raise RequestRefused(BAD_REQUEST, "Transfer-Encoding", "Content-Length as well", "one of both")
    if len(encodings) != 1 or encodings[0].lower() != "chunked" or version == "HTTP/1.0":
        raise RequestRefused(BAD_REQUEST, "Transfer-Encoding", repr(", ".join(encodings)[:40]), "chunked")
    return True


def _content_length(values_by_name: dict[str, list[str]]) -> int | None:
    lengths = values_by_name.get("content-length")
    if lengths is None:
        return None
    if len(lengths) != 1 or not _DIGITS.fullmatch(lengths[0]):
        raise RequestRefused(BAD_REQUEST, "Content-Length", repr(", ".join(lengths)[:40]), "one whole number")
    return int(lengths[0])


def _keep_alive(values_by_name: dict[str, list[str]], version: str) -> bool:
    options = {option.strip().lower() for value in values_by_name.get("connection", ()) for option in value.split(",")}
    return "close" not in options and (version == "HTTP/1.1" or "keep-alive" in options)


def _expects_continue(values_by_name: dict[str, list[str]]) -> bool:
    expectations = values_by_name.get("expect")
    if expectations is None:
        return False
    if [value.lower() for value in expectations] != ["100-continue"]:
        raise RequestRefused(EXPECTATION_FAILED, "Expect", repr(", ".join(expectations)[:40]), "100-continue")
    return True
