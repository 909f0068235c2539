"""Storage layout of objects on the chunk servers.

Locations are derived from names alone, so every front process finds what another has written. An object consists of
data chunks and a manifest, which is written last. Each chunk begins with a seal, a digest over its name and payload,
which detects truncated, altered and misplaced chunks.
"""

from __future__ import annotations

import hashlib
import hmac
import json
import zlib
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from typing import Any

MAX_BODY_BYTES = 64 * 1024  # largest body that a chunk server stores
SEAL_BYTES = 16  # digest in front of a chunk's payload
PAYLOAD_BYTES = MAX_BODY_BYTES - SEAL_BYTES  # object data per chunk
MAX_PARTS = 1000  # so that the part list fits into the single chunk of the manifest
MAX_RECORD_BYTES = 8 * MAX_BODY_BYTES  # size of a record's JSON text after decompression
DEFAULT_CONTENT_TYPE = "binary/octet-stream"  # S3's default without a Content-Type header

ChunkName = tuple[str, ...]


class CorruptChunk(ValueError):
    """A chunk body that is not what was stored under this name."""


def _digest(chunk_name: ChunkName, size: int) -> bytes:
    return hashlib.blake2b(json.dumps(chunk_name).encode(), digest_size=size).digest()


@dataclass(frozen=True, slots=True)
class ChunkLocation:
    """Volume, key and shard under which a chunk is stored."""

    volume: str
    key: str
    shard: int

    @property
    def target(self) -> str:
        """Path of the request to the chunk server."""
        return f"/api/{self.volume}/{self.key}"


def locate(team: str, chunk_name: ChunkName, shards: int) -> ChunkLocation:
    """Location of the chunk with this name; identical in every front process."""
    digest = _digest(chunk_name, 16)
    shard = int.from_bytes(digest[8:]) % max(1, shards)
    return ChunkLocation(_digest(("team", team), 8).hex(), digest[:8].hex(), shard)


def seal(chunk_name: ChunkName, payload: bytes) -> bytes:
    """Returns the chunk body: a digest of the payload keyed by the chunk's name, followed by the payload."""
    return hashlib.blake2b(payload, digest_size=SEAL_BYTES, key=_digest(chunk_name, 32)).digest() + payload


def unseal(chunk_name: ChunkName, body: bytes) -> bytes:
    """Returns the payload; raises `CorruptChunk` if the seal does not match the payload and the name."""
    payload = body[SEAL_BYTES:]
    if not hmac.compare_digest(seal(chunk_name, payload)[:SEAL_BYTES], body[:SEAL_BYTES]):
        raise CorruptChunk("chunk seal does not match its name and payload")
    return payload


def pack(record: Any) -> bytes:
    """Encodes a record as a chunk payload: compressed JSON."""
    return zlib.compress(json.dumps(record, separators=(",", ":")).encode())


def unpack(payload: bytes) -> Any:
    """Decodes a record; raises `CorruptChunk` if it exceeds MAX_RECORD_BYTES after decompression."""
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(payload, MAX_RECORD_BYTES)
    if unpacker.unconsumed_tail:
        raise CorruptChunk("record exceeds its size limit after decompression")
    return json.loads(text)


@dataclass(frozen=True, slots=True)
class Part:
    """A stored part of an object: one PUT, or one part of a multipart upload. Stored by position, see `row`."""

    number: int
    size: int
    md5: str
    generation: str  # random id in the names of its chunks; each write uses a new one
    modified_ms: int = 0

    def row(self) -> list[Any]:
        """The stored form of the part: a list in field order; `Part(*row)` restores it."""
        return list(asdict(self).values())


@dataclass(frozen=True, slots=True)
class ChunkSlice:
    """The byte range of one chunk that a read returns; `begin` and `end` are offsets in the payload."""

    part: Part
    index: int
    begin: int
    end: int

    @property
    def payload_bytes(self) -> int:
        """Payload size of the complete chunk."""
        return min(PAYLOAD_BYTES, self.part.size - self.index * PAYLOAD_BYTES)


@dataclass(slots=True)
class Manifest:
    """The record that describes an object: its parts in order and its metadata."""

    etag: str
    modified: datetime
    parts: list[Part]
    content_type: str = DEFAULT_CONTENT_TYPE
    meta: dict[str, str] = field(default_factory=dict)
    deleted: bool = False

    @property
    def size(self) -> int:
        """Size of the object in bytes."""
        return sum(part.size for part in self.parts)

    def slices(self, begin: int, end: int) -> Iterator[ChunkSlice]:
        """Yields the chunk slices that contain the bytes from `begin` to `end` (exclusive), in order."""
        offset = 0
        for part in self.parts:
            low, high = max(begin - offset, 0), min(end - offset, part.size)
            for index in range(low // PAYLOAD_BYTES, -(-high // PAYLOAD_BYTES) if high > low else 0):
                start = index * PAYLOAD_BYTES
                yield ChunkSlice(part, index, max(low - start, 0), min(high - start, PAYLOAD_BYTES))
            offset += part.size

    def encode(self) -> bytes:
        """Encodes the manifest as a chunk payload."""
        record = {
            "v": 1,
            "etag": self.etag,
            "modified": self.modified.isoformat(),
            "type": self.content_type,
            "meta": self.meta,
            "deleted": self.deleted,
            "parts": [part.row() for part in self.parts],
        }
        return pack(record)

    @classmethod
    def decode(cls, payload: bytes) -> Manifest:
        """Decodes a manifest from a chunk payload."""
        record = unpack(payload)
        return cls(
            record["etag"],
            datetime.fromisoformat(record["modified"]),
            [Part(*row) for row in record["parts"]],
            record["type"],
            record["meta"],
            record["deleted"],
        )


def etag_of_parts(parts: list[Part]) -> str:
    """The ETag of a multipart object as S3 defines it: MD5 of the parts' MD5 digests, and the number of parts."""
    digests = b"".join(bytes.fromhex(part.md5) for part in parts)
    return f"{hashlib.md5(digests, usedforsecurity=False).hexdigest()}-{len(parts)}"


def now() -> datetime:
    """The current time in UTC."""
    return datetime.now(UTC)


def manifest_chunk_name(bucket: str, key: str) -> ChunkName:
    """Name of the chunk with an object's manifest."""
    return ("manifest", bucket, key)


def data_chunk_name(bucket: str, key: str, part: Part, index: int) -> ChunkName:
    """Name of a data chunk; `index` counts from 0 in the part."""
    return ("data", bucket, key, part.generation, str(part.number), str(index))


def upload_chunk_name(bucket: str, key: str, upload: str) -> ChunkName:
    """Name of the chunk with an upload's state."""
    return ("upload", bucket, key, upload)


def part_list_chunk_name(bucket: str, key: str, upload: str, front_rank: int) -> ChunkName:
    """Name of the chunk in which one front process lists the parts of an upload that it received."""
    return ("parts", bucket, key, upload, str(front_rank))
