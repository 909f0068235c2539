"""Chunks in and out: each one is a request of the core, under its team's plan and class."""

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
from .layout import ChunkSlice, Manifest, Names, Part

CHUNKS_IN_FLIGHT = 4  # chunks of one object under way at a time: bounds memory and what one client occupies
GENERATION_BYTES = 6  # of the random name of a stored run
TRACE_ID_BYTES = 8


class Unavailable(Exception):
    """Refused: trying again is harmless."""

    def __init__(self, pause: timedelta | None, rule: str = "") -> None:
        super().__init__(f"over budget: {rule}" if rule else "refused")
        self.pause, self.rule = pause, rule


class Denied(Exception):
    """No contract covers it."""


class StorageFailed(Exception):
    """Failed, or what is stored is not whole."""


class Expired(Exception):
    """The client's own deadline has passed."""


@dataclass(frozen=True, slots=True)
class Scope:
    """On whose behalf, and until when."""

    contract: Contract
    owner: str  # the team whose data it is
    bucket: str
    key: str
    ends: datetime | None = None

    @property
    def read(self) -> str:
        """The class of its reads."""
        return self.contract.read

    @property
    def write(self) -> str:
        """The class of its writes."""
        return self.contract.write


class ChunkStore:
    """Reads and writes chunks, records and whole objects through the core."""

    def __init__(
        self, broker: Broker, client: ChunkClient, shards: int, most_units: float, deadlines: dict[str, timedelta]
    ) -> None:
        self._broker, self._client = broker, client
        self._shards, self._most_units, self._deadlines = shards, max(1.0, most_units), deadlines

    def _request(self, scope: Scope, cls: str, place: layout.ChunkLocation, size: int) -> Request:
        left = self._deadlines[cls]
        if scope.ends is not None:
            left = min(left, scope.ends - layout.now())
            if left <= timedelta():
                raise Expired
        units = max(1.0, -(-size * self._most_units // layout.MOST_BODY))
        claim = Claim(bucket=scope.bucket, contract=scope.contract)
        return Request(place.volume, cls, scope.contract.plan, left, units, place.shard, place.key, claim=claim)

    async def _serve(self, request: Request, message: UpstreamRequest) -> UpstreamResponse:
        message.headers["X-Trace-Id"] = secrets.token_hex(TRACE_ID_BYTES)
        match await serve(self._broker, self._client, request, message):
            case Refused(pause):
                raise Unavailable(pause)
            case OverBudget(rule, _, pause):
                raise Unavailable(pause, rule)
            case NotCovered(rule, _, words):
                raise Denied(f"{rule}: {words}")
            case Failed():
                raise StorageFailed("no chunk server served it")
            case answer:
                return answer

    async def write(self, scope: Scope, cls: str, names: Names, payload: bytes) -> None:
        """Stores one chunk, sealed."""
        if len(payload) > layout.PAYLOAD:
            raise StorageFailed("a record does not fit into a chunk")
        location = layout.locate(scope.owner, names, self._shards)
        request = self._request(scope, cls, location, len(payload))
        await self._serve(request, UpstreamRequest("PUT", location.target, layout.seal(names, payload)))

    async def read(self, scope: Scope, cls: str, names: Names, size: int) -> bytes | None:
        """The payload, or None where nothing is stored. Only a whole body whose seal opens ends the request."""
        location = layout.locate(scope.owner, names, self._shards)

        def whole(answer: UpstreamResponse) -> bool:
            if answer.status == 404:
                return True
            try:
                layout.unseal(names, answer.body)
            except layout.Corrupt:
                return False
            return True

        message = UpstreamRequest("GET", location.target, accepted_statuses=frozenset({200, 404}), is_valid=whole)
        answer = await self._serve(self._request(scope, cls, location, size), message)
        return None if answer.status == 404 else answer.body[layout.SEAL :]

    async def read_record(self, scope: Scope, names: Names) -> Any:
        """A stored record, or None."""
        payload = await self.read(scope, scope.read, names, 1)
        return None if payload is None else layout.unpack(payload)

    async def write_record(self, scope: Scope, names: Names, record: Any) -> None:
        """Stores a record under its name."""
        await self.write(scope, scope.write, names, layout.pack(record))

    # ---- whole objects ----

    async def manifest(self, scope: Scope) -> Manifest | None:
        """The object as it stands, or None where there is none."""
        names = layout.manifest_names(scope.bucket, scope.key)
        payload = await self.read(scope, scope.read, names, 1)
        found = Manifest.decode(payload) if payload is not None else None
        return None if found is None or found.deleted else found

    async def commit(self, scope: Scope, manifest: Manifest) -> None:
        """The last write of an object: until it is done, readers see what was there before."""
        names = layout.manifest_names(scope.bucket, scope.key)
        await self.write(scope, scope.write, names, manifest.encode())

    async def store(self, scope: Scope, body: AsyncIterator[bytes], number: int = 1) -> Part:
        """Stores a run of bytes in chunks of a new generation; nothing refers to them yet."""
        generation, digest, size = secrets.token_hex(GENERATION_BYTES), hashlib.md5(usedforsecurity=False), 0
        blank = Part(number, 0, "", generation)
        window = TaskWindow()
        try:
            index = 0
            async for payload in body:
                digest.update(payload)
                size += len(payload)
                names = layout.data_names(scope.bucket, scope.key, blank, index)
                await window.room()
                window.add(self.write(scope, scope.write, names, payload))
                index += 1
            await window.empty()
        finally:
            await window.cancel()
        modified = int(layout.now().timestamp() * 1000)
        return Part(number, size, digest.hexdigest(), generation, modified)

    async def load(self, scope: Scope, cls: str, slices: list[ChunkSlice]) -> AsyncIterator[bytes]:
        """The bytes of these slices, in order, each once, with a few chunks read ahead."""
        window, coming = TaskWindow(), iter(slices)
        try:
            while True:
                while len(window) < CHUNKS_IN_FLIGHT and (wanted := next(coming, None)) is not None:
                    window.add(self._load(scope, cls, wanted))
                if not len(window):
                    return
                yield await window.first()
        finally:
            await window.cancel()

    async def _load(self, scope: Scope, cls: str, wanted: ChunkSlice) -> bytes:
        names = layout.data_names(scope.bucket, scope.key, wanted.part, wanted.index)
        payload = await self.read(scope, cls, names, wanted.length)
        if payload is None or len(payload) != wanted.length:
            raise StorageFailed(f"chunk {json.dumps(names)} is missing")
        return payload[wanted.begin : wanted.end]


class TaskWindow:
    """A few tasks in order; the first failure ends them all, and none is left behind."""

    def __init__(self) -> None:
        self._tasks: deque[asyncio.Task[Any]] = deque()

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, work: Coroutine[Any, Any, Any]) -> None:
        """Starts one more task."""
        self._tasks.append(asyncio.create_task(work))

    async def first(self) -> Any:
        """The result of the oldest task."""
        result = await self._tasks[0]
        self._tasks.popleft()
        return result

    async def room(self) -> None:
        """Waits until one more task may start."""
        while len(self._tasks) >= CHUNKS_IN_FLIGHT:
            await self.first()

    async def empty(self) -> None:
        """Waits until all are done."""
        while self._tasks:
            await self.first()

    async def cancel(self) -> None:
        """Ends all that are left."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
