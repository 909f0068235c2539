"""Multipart uploads. Their state is stored on the chunk servers, so each request may reach another front process.

Every front process writes the parts that it received to a record of its own, so no two processes write the same
record. The parts of an upload are the union of these lists, with the newest part for each number.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import OrderedDict
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from . import layout
from .layout import Manifest, Part
from .store import ChunkStore, DeadlineExceeded, Scope, StorageFailed, Unavailable

MAX_LOCKS = 1000  # cached upload locks; the least recently used one is evicted first


class NoSuchUpload(Exception):
    """The upload was never created, or has been completed or aborted."""


class InvalidPartList(Exception):
    """The parts named in a completion request are missing, mismatched, out of order or too small."""

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code


@dataclass(slots=True)
class Upload:
    """An open upload and the metadata of the future object."""

    id: str
    content_type: str
    meta: dict[str, str] = field(default_factory=dict)


class Uploads:
    """Multipart uploads as handled by one front process."""

    def __init__(self, store: ChunkStore, front_rank: int, front_count: int, min_part_bytes: int) -> None:
        self._store, self._front_rank, self._front_count = store, front_rank, max(1, front_count, front_rank + 1)
        self._min_part_bytes = min_part_bytes
        self._locks: OrderedDict[str, asyncio.Lock] = OrderedDict()

    def _lock(self, upload_id: str) -> asyncio.Lock:
        """The lock that serializes writes to this process's part list of an upload."""
        lock = self._locks.setdefault(upload_id, asyncio.Lock())
        self._locks.move_to_end(upload_id)
        while len(self._locks) > MAX_LOCKS and not next(iter(self._locks.values())).locked():
            self._locks.popitem(last=False)
        return lock

    async def create(self, scope: Scope, content_type: str, meta: dict[str, str]) -> str:
        """Creates an upload and returns its id."""
        upload_id = secrets.token_hex(16)
        await self._write_state(scope, Upload(upload_id, content_type, meta), "open")
        return upload_id

    async def _write_state(self, scope: Scope, upload: Upload, state: str) -> None:
        chunk_name = layout.upload_chunk_name(scope.bucket, scope.key, upload.id)
        record = {"state": state, "type": upload.content_type, "meta": upload.meta}
        await self._store.write_record(scope, chunk_name, record)

    async def find(self, scope: Scope, upload_id: str) -> Upload:
        """Returns the open upload with this id, or raises `NoSuchUpload`."""
        record = await self._store.read_record(scope, layout.upload_chunk_name(scope.bucket, scope.key, upload_id))
        if record is None or record["state"] != "open":
            raise NoSuchUpload(upload_id)
        return Upload(upload_id, record["type"], record["meta"])

    async def put_part(self, scope: Scope, upload_id: str, part: Part) -> None:
        """Adds a stored part to the part list of this process."""
        chunk_name = layout.part_list_chunk_name(scope.bucket, scope.key, upload_id, self._front_rank)
        async with self._lock(upload_id):
            parts = await self._read_index(scope, upload_id, self._front_rank)
            parts[part.number] = part
            await self._store.write_record(scope, chunk_name, [part.row() for part in parts.values()])

    async def _read_index(self, scope: Scope, upload_id: str, front_rank: int) -> dict[int, Part]:
        chunk_name = layout.part_list_chunk_name(scope.bucket, scope.key, upload_id, front_rank)
        record: list[Any] = await self._store.read_record(scope, chunk_name) or []
        return {part.number: part for part in (Part(*entry) for entry in record)}

    async def parts(self, scope: Scope, upload_id: str) -> dict[int, Part]:
        """All parts by number, from the lists of all front processes."""
        reads = (self._read_index(scope, upload_id, front_rank) for front_rank in range(self._front_count))
        newest_parts: dict[int, Part] = {}
        for index in await asyncio.gather(*reads):
            for number, part in index.items():
                if number not in newest_parts or part.modified_ms > newest_parts[number].modified_ms:
                    newest_parts[number] = part
        return dict(sorted(newest_parts.items()))

    async def complete(self, scope: Scope, upload_id: str, requested: list[tuple[int, str]]) -> Manifest:
        """Creates the object from the requested parts (number and ETag); raises `InvalidPartList` if they are not
        valid."""
        upload = await self.find(scope, upload_id)
        selected = self._select_parts(await self.parts(scope, upload_id), requested)
        manifest = Manifest(layout.etag_of_parts(selected), layout.now(), selected, upload.content_type, upload.meta)
        await self._store.commit(scope, manifest)
        # the object exists from here on: a failure to update the upload's state must not fail the request
        with suppress(Unavailable, StorageFailed, DeadlineExceeded):
            await self._write_state(scope, upload, "complete")
        return manifest

    def _select_parts(self, uploaded: dict[int, Part], requested: list[tuple[int, str]]) -> list[Part]:
        """Returns the uploaded parts that match the requested numbers and ETags, validated."""
        numbers = [number for number, _ in requested]
        if not requested or len(requested) > layout.MAX_PARTS:
            raise InvalidPartList("MalformedXML", f"name 1 to {layout.MAX_PARTS} parts")
        if numbers != sorted(set(numbers)):
            raise InvalidPartList("InvalidPartOrder", "the parts must be named in ascending order")
        selected = []
        for number, etag in requested:
            if number not in uploaded or uploaded[number].md5 != etag.strip('"'):
                raise InvalidPartList("InvalidPart", f"part {number} was not uploaded with this ETag")
            selected.append(uploaded[number])
        if any(part.size < self._min_part_bytes for part in selected[:-1]):
            raise InvalidPartList("EntityTooSmall", f"every part but the last needs {self._min_part_bytes} bytes")
        return selected

    async def abort(self, scope: Scope, upload_id: str) -> None:
        """Aborts an upload; no object is created."""
        await self._write_state(scope, await self.find(scope, upload_id), "aborted")
