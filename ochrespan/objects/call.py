"""Parses and validates a request of the object API: bucket, key, contract, parameters and body."""

from __future__ import annotations

import asyncio
import base64
import binascii
from collections.abc import AsyncIterator, Mapping
from contextlib import aclosing
from datetime import datetime, timedelta
from urllib.parse import parse_qsl, unquote

from ..contracts.gate import ContractGate
from ..contracts.terms import Contract
from ..exchange import Exchange
from ..requests import NotCovered
from . import layout
from .errors import ApiError, denied, invalid_argument, not_implemented
from .section import ObjectsConfig
from .store import Scope

MAX_XML_BYTES = 256 * 1024  # of an XML request body
MAX_METADATA_BYTES = 2048  # of the names and values of x-amz-meta-* headers
MAX_KEY_BYTES = 1024
MAX_CONTENT_TYPE_CHARS = 256  # longer values are truncated
MAX_EXPIRY_MS = 86_400_000  # one day
MD5_BYTES = 16


class Call:
    """A parsed request: its contract, parameters and body."""

    def __init__(self, request: Exchange, objects: ObjectsConfig, gate: ContractGate) -> None:
        """Raises `ApiError` if the request is invalid or no contract covers it."""
        path, _, query = request.target.partition("?")
        bucket, _, key = path.lstrip("/").partition("/")
        try:
            bucket, key = unquote(bucket, errors="strict"), unquote(key, errors="strict")
        except UnicodeDecodeError:
            raise ApiError(400, "InvalidURI", "The path is not UTF-8.") from None
        self.request, self._idle_timeout = request, objects.idle_timeout
        self.query = dict(parse_qsl(query, keep_blank_values=True))
        if not key:
            raise not_implemented("Only objects are served, not lists of them.")
        if len(key.encode()) > MAX_KEY_BYTES:
            raise ApiError(400, "KeyTooLongError", "Your key is too long.")
        contract = self._contract(gate, bucket)
        self.scope = Scope(contract, gate.owner(bucket), bucket, key, self._deadline())
        self.resource = path

    def _contract(self, gate: ContractGate, bucket: str) -> Contract:
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        contract = gate.identify(token.strip() if scheme.lower() == "bearer" else "", bucket)
        if isinstance(contract, NotCovered):
            if contract.rule == "bucket" and not contract.team:
                raise ApiError(404, "NoSuchBucket", "The specified bucket does not exist.")
            raise denied(contract.rule)
        return contract

    def _deadline(self) -> datetime | None:
        """The deadline from the client's X-Expires-In-Ms header; None without the header."""
        header = self.request.headers.get("X-Expires-In-Ms")
        if header is None:
            return None
        if not header.isdecimal() or int(header) > MAX_EXPIRY_MS:
            raise invalid_argument("X-Expires-In-Ms is not a number of milliseconds.")
        return layout.now() + timedelta(milliseconds=int(header))

    def part_number(self) -> int:
        """The part number of a multipart upload, from the query."""
        number = self.query.get("partNumber", "")
        if not number.isdecimal() or not 1 <= int(number) <= layout.MAX_PARTS:
            raise invalid_argument(f"Part number must be 1 to {layout.MAX_PARTS}.")
        return int(number)

    def object_metadata(self) -> tuple[str, dict[str, str]]:
        """The content type and the x-amz-meta-* headers of the request."""
        headers = self.request.headers
        meta = {name.lower(): value for name, value in headers.items() if name.lower().startswith("x-amz-meta-")}
        if sum(len(name) + len(value) for name, value in meta.items()) > MAX_METADATA_BYTES:
            raise ApiError(400, "MetadataTooLarge", "Your metadata headers are too large.")
        return headers.get("Content-Type", layout.DEFAULT_CONTENT_TYPE)[:MAX_CONTENT_TYPE_CHARS], meta

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body in chunk-sized payloads; raises `ApiError` if the client stays idle too long."""
        buffered = bytearray()
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout.total_seconds()):
                    data = await self.request.read_available()
            except TimeoutError:
                raise ApiError(400, "RequestTimeout", "Your connection was idle for too long.") from None
            if not data:
                break
            buffered += data
            while len(buffered) >= layout.PAYLOAD_BYTES:
                yield bytes(buffered[: layout.PAYLOAD_BYTES])
                del buffered[: layout.PAYLOAD_BYTES]
        if buffered:
            yield bytes(buffered)

    async def document(self) -> bytes:
        """Reads a small XML document from the body, up to MAX_XML_BYTES."""
        chunks, size = [], 0
        async with aclosing(self.body()) as body:
            async for data in body:
                chunks.append(data)
                size += len(data)
                if size > MAX_XML_BYTES:
                    raise ApiError(400, "MalformedXML", "The body is too long.")
        return b"".join(chunks)


def expected_md5(headers: Mapping[str, str]) -> str | None:
    """The Content-MD5 header as hex digits; None without the header."""
    if (header := headers.get("Content-MD5")) is None:
        return None
    try:
        digest = base64.b64decode(header, validate=True)
    except (binascii.Error, ValueError):
        digest = b""
    if len(digest) != MD5_BYTES:
        raise ApiError(400, "InvalidDigest", "The Content-MD5 you specified is not valid.")
    return digest.hex()
