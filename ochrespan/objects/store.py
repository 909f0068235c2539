"""Reads and writes chunks. Each access is a request to the broker under the plan and class of the team."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
from collections import deque
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from ..broker import Broker
from ..contracts.terms import Contract
from ..net.chunk_client import ChunkClient, UpstreamRequest, UpstreamResponse, serve
from ..requests import Claim, Failed, NotCovered, OverBudget, Refused, Request
from . import layout
from .layout import ChunkName, ChunkSlice, Manifest, Part

MAX_CHUNKS_IN_FLIGHT = 4  # per object transfer: limits memory use and the capacity that one client occupies
GENERATION_BYTES = 6  # of the random generation id of a part
TRACE_ID_BYTES = 8


class Unavailable(Exception):
    """The request was refused before it was executed; it is safe to retry."""

    def __init__(self, retry_after: timedelta | None, rule: str = "") -> None:
        super().__init__(f"over budget: {rule}" if rule else "refused")
        self.retry_after, self.rule = retry_after, rule


class Denied(Exception):
    """No contract covers the request."""


class StorageFailed(Exception):
    """The request failed, or stored data is missing or incomplete."""


class DeadlineExceeded(Exception):
    """The deadline set by the client has passed."""


@dataclass(frozen=True, slots=True)
class Scope:
    """The contract, object and deadline of a request."""

    contract: Contract
    owner: str  # team that owns the bucket
    bucket: str
    key: str
    deadline: datetime | None = None

    @property
    def read_class(self) -> str:
        """Request class of reads."""
        return self.contract.read

    @property
    def write_class(self) -> str:
        """Request class of writes."""
        return self.contract.write


class ChunkStore:
    """Reads and writes chunks, records and objects through the broker."""

    def __init__(
        self, broker: Broker, client: ChunkClient, shards: int, max_units: float, deadlines: dict[str, timedelta]
    ) -> None:
        self._broker, self._client = broker, client
        self._shards, self._max_units, self._deadlines = shards, max(1.0, max_units), deadlines

    def _request(self, scope: Scope, cls: str, location: layout.ChunkLocation, size: int) -> Request:
        remaining_time = self._deadlines[cls]
        if scope.deadline is not None:
            remaining_time = min(remaining_time, scope.deadline - layout.now())
            if remaining_time <= timedelta():
                raise DeadlineExceeded
        units = max(1.0, -(-size * self._max_units // layout.MAX_BODY_BYTES))
        claim = Claim(bucket=scope.bucket, contract=scope.contract)
        return Request(
            location.volume, cls, scope.contract.plan, remaining_time, units, location.shard, location.key, claim=claim
        )

    async def _serve(self, request: Request, message: UpstreamRequest) -> UpstreamResponse:
        message.headers["X-Trace-Id"] = secrets.token_hex(TRACE_ID_BYTES)
        match await serve(self._broker, self._client, request, message):
            case Refused(retry_after):
                raise Unavailable(retry_after)
            case OverBudget(rule, _, retry_after):
                raise Unavailable(retry_after, rule)
            case NotCovered(rule, _, detail):
                raise Denied(f"{rule}: {detail}")
            case Failed():
                raise StorageFailed("no chunk server completed the request")
            case response:
                return response

    async def write(self, scope: Scope, cls: str, chunk_name: ChunkName, payload: bytes) -> None:
        """Seals and stores one chunk."""
        if len(payload) > layout.PAYLOAD_BYTES:
            raise StorageFailed("payload exceeds the size of a chunk")
        location = layout.locate(scope.owner, chunk_name, self._shards)
        request = self._request(scope, cls, location, len(payload))
        await self._serve(request, UpstreamRequest("PUT", location.target, layout.seal(chunk_name, payload)))

    async def read(self, scope: Scope, cls: str, chunk_name: ChunkName, size: int) -> bytes | None:
        """Returns the payload, or None if nothing is stored. A response with an invalid seal counts as failed and is
        retried."""
        location = layout.locate(scope.owner, chunk_name, self._shards)

        def is_valid(response: UpstreamResponse) -> bool:
            if response.status == 404:
                return True
            try:
                layout.unseal(chunk_name, response.body)
            except layout.CorruptChunk:
                return False
            return True

        message = UpstreamRequest("GET", location.target, accepted_statuses=frozenset({200, 404}), is_valid=is_valid)
        response = await self._serve(self._request(scope, cls, location, size), message)
        return None if response.status == 404 else response.body[layout.SEAL_BYTES :]

    async def read_record(self, scope: Scope, chunk_name: ChunkName) -> Any:
        """Returns a stored record, or None."""
        payload = await self.read(scope, scope.read_class, chunk_name, 1)
        return None if payload is None else layout.unpack(payload)

    async def write_record(self, scope: Scope, chunk_name: ChunkName, record: Any) -> None:
        """Stores a record."""
        await self.write(scope, scope.write_class, chunk_name, layout.pack(record))

    # ---- objects ----

    async def read_manifest(self, scope: Scope) -> Manifest | None:
        """Returns the manifest of the object, or None if it does not exist or was deleted."""
        chunk_name = layout.manifest_chunk_name(scope.bucket, scope.key)
        payload = await self.read(scope, scope.read_class, chunk_name, 1)
        manifest = Manifest.decode(payload) if payload is not None else None
        return None if manifest is None or manifest.deleted else manifest

    async def commit(self, scope: Scope, manifest: Manifest) -> None:
        """Writes the manifest, the last write of an object: until it completes, readers see the previous version."""
        chunk_name = layout.manifest_chunk_name(scope.bucket, scope.key)
        await self.write(scope, scope.write_class, chunk_name, manifest.encode())

    async def store(self, scope: Scope, body: AsyncIterator[bytes], number: int = 1) -> Part:
        """Stores a part in chunks of a new generation. They stay invisible until a manifest or part list refers to
        them."""
        generation, digest, size = secrets.token_hex(GENERATION_BYTES), hashlib.md5(usedforsecurity=False), 0
        unsized_part = Part(number, 0, "", generation)
        window = TaskWindow()
        try:
            index = 0
            async for payload in body:
                digest.update(payload)
                size += len(payload)
                chunk_name = layout.data_chunk_name(scope.bucket, scope.key, unsized_part, index)
                await window.wait_for_capacity()
                window.add(self.write(scope, scope.write_class, chunk_name, payload))
                index += 1
            await window.wait_all()
        finally:
            await window.cancel()
        modified = int(layout.now().timestamp() * 1000)
        return Part(number, size, digest.hexdigest(), generation, modified)

    async def load(self, scope: Scope, cls: str, slices: list[ChunkSlice]) -> AsyncIterator[bytes]:
        """Yields the bytes of the slices in order; reads up to MAX_CHUNKS_IN_FLIGHT chunks concurrently."""
        window, remaining = TaskWindow(), iter(slices)
        try:
            while True:
                while len(window) < MAX_CHUNKS_IN_FLIGHT and (requested := next(remaining, None)) is not None:
                    window.add(self._load(scope, cls, requested))
                if not len(window):
                    return
                yield await window.next_result()
        finally:
            await window.cancel()

    async def _load(self, scope: Scope, cls: str, requested: ChunkSlice) -> bytes:
        chunk_name = layout.data_chunk_name(scope.bucket, scope.key, requested.part, requested.index)
        payload = await self.read(scope, cls, chunk_name, requested.payload_bytes)
        if payload is None or len(payload) != requested.payload_bytes:
            raise StorageFailed(f"chunk {json.dumps(chunk_name)} is missing")
        return payload[requested.begin : requested.end]


class TaskWindow:
    """An ordered window of concurrent tasks. Waiting raises the failure of the oldest task; `cancel` ends the rest."""

    def __init__(self) -> None:
        self._tasks: deque[asyncio.Task[Any]] = deque()

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, work: Coroutine[Any, Any, Any]) -> None:
        """Starts a task."""
        self._tasks.append(asyncio.create_task(work))

    async def next_result(self) -> Any:
        """Waits for the oldest task, removes it and returns its result."""
        result = await self._tasks[0]
        self._tasks.popleft()
        return result

    async def wait_for_capacity(self) -> None:
        """Waits until fewer than MAX_CHUNKS_IN_FLIGHT tasks are running."""
        while len(self._tasks) >= MAX_CHUNKS_IN_FLIGHT:
            await self.next_result()

    async def wait_all(self) -> None:
        """Waits until all tasks have completed."""
        while self._tasks:
            await self.next_result()

    async def cancel(self) -> None:
        """Cancels all remaining tasks and waits for them to end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
